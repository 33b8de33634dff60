package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork"
	"turnfork.dev/turnfork/pcapio"
)

const (
	maxOpenRequests = 256             // in flight while a file is replayed
	responseTimeout = 8 * time.Second // longer than the deadlines that sites usually configure
	pollInterval    = 2 * time.Millisecond
)

// pcapWrite runs the gateway like serve and records the traffic of its frontends in a pcap file.
func pcapWrite(args []string, errOut io.Writer, log zerolog.Logger) (err error) {
	flags := flagSet("pcap write", errOut)
	file := flags.String("config", "", "the operator's file; without it the file that NODE_CONFIG names")
	plain := flags.Bool("plain", false, "write tokens and secrets unmasked")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 {
		return errUsage
	}
	cfg, err := load(*file, log)
	if err != nil {
		return err
	}
	f, err := os.OpenFile(flags.Arg(0), os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, f.Close()) }()
	w, err := pcapio.NewWriter(f, cfg.Clock, *plain)
	if err != nil {
		return err
	}
	cfg.WrapConn = func(_ string, c net.Conn) net.Conn { return w.Tap(c) }
	return errors.Join(serve(cfg, *file), w.Flush())
}

// pcapRead replays the conversations of a pcap file to the frontends and prints a JSON report with the number of conversations
// and bytes.
func pcapRead(args []string, out, errOut io.Writer, log zerolog.Logger) error {
	flags := flagSet("pcap read", errOut)
	file := flags.String("config", "", "the operator's file; without it the file that NODE_CONFIG names")
	frontend := flags.String("front", "", "signed or fastcgi; by default chosen for each conversation by its first byte")
	port := flags.Int("port", 0, "read only conversations to this port; 0: all")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() != 1 || *frontend != "" && *frontend != "signed" && *frontend != "fastcgi" {
		return errUsage
	}
	cfg, err := load(*file, log)
	if err != nil {
		return err
	}
	f, err := os.Open(flags.Arg(0))
	if err != nil {
		return err
	}
	defer f.Close()
	turnfork.SetRuntimeLimits(cfg.Node.Cores, cfg.Node.MemoryMB)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ready, ended := make(chan turnfork.Addrs, 1), make(chan error, 1)
	cfg.Ready = func(a turnfork.Addrs) { ready <- a }
	go func() { ended <- turnfork.Run(ctx, cfg) }()
	player := &replayer{frontend: *frontend, port: uint16(*port), conversations: map[int]*conversation{}}
	select {
	case player.frontends = <-ready:
	case err := <-ended:
		return err
	}
	report, err := pcapio.Read(f, player)
	player.wait()
	cancel()
	result := struct {
		pcapio.Report
		Fed, PassedOver  int
		BytesIn, BytesTo int64
	}{report, player.replayed, player.skipped, player.bytesIn, player.bytesOut.Load()}
	return errors.Join(err, json.NewEncoder(out).Encode(result), <-ended)
}

// replayer sends the recorded client data of each conversation to a frontend through a pipe within the process.
type replayer struct {
	frontends     turnfork.Addrs
	frontend      string
	port          uint16
	conversations map[int]*conversation
	replayed      int
	skipped       int
	bytesIn       int64
	bytesOut      atomic.Int64
	wg            sync.WaitGroup
}

// conversation is one recorded connection. The two ends of its pipe are nil until the first byte determines the frontend.
type conversation struct {
	clientEnd   net.Conn
	frontendEnd *frontendConn
	bytesSent   int64
}

// frontendConn is the frontend's end of a pipe. It records whether the frontend has read everything that was sent and waits
// for more: only then does the number of open requests include all requests of the conversation.
type frontendConn struct {
	net.Conn
	bytesReceived atomic.Int64
	reading       atomic.Bool
	closed        atomic.Bool
}

// Read reads from the pipe, sets the reading flag meanwhile, and counts the bytes received.
func (w *frontendConn) Read(b []byte) (int, error) {
	w.reading.Store(true)
	n, err := w.Conn.Read(b)
	w.reading.Store(false)
	w.bytesReceived.Add(int64(n))
	return n, err
}

// Close closes the pipe and records that the frontend has closed it.
func (w *frontendConn) Close() error {
	w.closed.Store(true)
	return w.Conn.Close()
}

// waitConsumed waits until the frontend has processed all bytes of the conversation or closed it, at most responseTimeout.
func (r *conversation) waitConsumed() {
	for end := time.Now().Add(responseTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		if r.frontendEnd.closed.Load() || r.frontendEnd.bytesReceived.Load() == r.bytesSent && r.frontendEnd.reading.Load() {
			return
		}
	}
}

// Open registers a conversation, unless its server port is filtered out.
func (f *replayer) Open(id int, server uint16) error {
	if f.port != 0 && server != f.port {
		f.skipped++
		return nil
	}
	f.conversations[id] = &conversation{}
	return nil
}

// Data writes client data to the frontend. It first waits while more than maxOpenRequests requests are open.
func (f *replayer) Data(id int, b []byte) error {
	r := f.conversations[id]
	if r == nil {
		return nil
	}
	if r.clientEnd == nil {
		serveConn := f.frontends.Frontends.Signed
		if f.frontend == "fastcgi" || f.frontend == "" && b[0] == 1 { // 1 is the FastCGI version; no HTTP method starts with it
			serveConn = f.frontends.Frontends.FastCGI
		}
		if serveConn == nil {
			f.skipped++
			delete(f.conversations, id)
			return nil
		}
		var frontendEnd net.Conn
		r.clientEnd, frontendEnd = net.Pipe()
		r.frontendEnd = &frontendConn{Conn: frontendEnd}
		f.replayed++
		f.wg.Add(2)
		go func() { defer f.wg.Done(); serveConn(r.frontendEnd) }()
		go func() {
			defer f.wg.Done()
			n, _ := io.Copy(io.Discard, r.clientEnd)
			f.bytesOut.Add(n)
		}()
	}
	f.waitOpenRequests(maxOpenRequests)
	r.clientEnd.SetWriteDeadline(time.Now().Add(responseTimeout))
	n, err := r.clientEnd.Write(b)
	f.bytesIn += int64(n)
	r.bytesSent += int64(n)
	if err != nil { // the frontend closed this conversation; the others continue
		r.clientEnd.Close()
		delete(f.conversations, id)
	}
	return nil
}

// waitOpenRequests waits until at most maxOpen requests are open, but no longer than responseTimeout.
func (f *replayer) waitOpenRequests(maxOpen int) {
	for end := time.Now().Add(responseTimeout); f.frontends.Frontends.OpenRequests() > maxOpen && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
}

// Close closes a conversation after its responses have been received.
func (f *replayer) Close(id int, gap int) error {
	r := f.conversations[id]
	delete(f.conversations, id)
	if r == nil || r.clientEnd == nil {
		return nil
	}
	if gap > 0 {
		fmt.Fprintf(os.Stderr, "conversation %d: %d bytes are missing from the file; replayed up to the gap\n", id, gap)
	}
	r.waitConsumed()
	f.waitOpenRequests(0)
	return r.clientEnd.Close()
}

// wait waits for the responses of the conversations that are still open, and closes these.
func (f *replayer) wait() {
	for _, r := range f.conversations {
		if r.clientEnd != nil {
			r.waitConsumed()
		}
	}
	f.waitOpenRequests(0)
	for _, r := range f.conversations {
		if r.clientEnd != nil {
			r.clientEnd.Close()
		}
	}
	f.wg.Wait()
}
