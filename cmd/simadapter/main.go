// Command simadapter runs instances of the decision module for the simulator: it reads batches of events from standard input
// and writes one reply to each on standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"turnfork.dev/turnfork/control"
	"turnfork.dev/turnfork/internal/simproto"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// instance is a running decision module with the names of its load report values.
type instance struct {
	module     *control.Controller
	fieldOrder simproto.LoadFields
}

func run(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<20), bufio.NewWriterSize(out, 1<<20)
	instances := map[uint32]instance{}
	var (
		frame   []byte
		reply   simproto.Reply
		actions []control.Action
	)
	fieldOrder := func(i uint32) simproto.LoadFields { return instances[i].fieldOrder }
	handle := func(now time.Duration, rec simproto.Record) error {
		switch {
		case rec.Start != nil:
			settings, order, err := simproto.Settings(rec.Start.Settings)
			if err != nil {
				return fmt.Errorf("instance %d: %w", rec.Instance, err)
			}
			module, err := control.New(settings, rec.Start.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", rec.Instance, err)
			}
			instances[rec.Instance] = instance{module, order}
		case rec.Stop:
			delete(instances, rec.Instance)
		case rec.Event != nil:
			inst, ok := instances[rec.Instance]
			if !ok {
				return nil // the instance is not running: ignore the event
			}
			actions = inst.module.Handle(now, rec.Event, actions[:0])
			for _, a := range actions {
				reply.Add(rec.Instance, a)
			}
		}
		return nil
	}
	for {
		var err error
		if frame, err = simproto.ReadFrame(r, frame); err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
		reply.Reset()
		if err := simproto.Decode(frame, fieldOrder, handle); err != nil {
			return err
		}
		if _, err := w.Write(reply.Bytes()); err != nil {
			return err
		}
		if err := w.Flush(); err != nil {
			return err
		}
	}
}
