// Package cli implements the command line of the gateway: subcommands, flags, signals and the exit code.
package cli

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/rs/zerolog"
	"turnfork.dev/turnfork"
	"turnfork.dev/turnfork/clock"
	"turnfork.dev/turnfork/config"
	"turnfork.dev/turnfork/front/signed"
	"turnfork.dev/turnfork/token"
	"turnfork.dev/turnfork/token/ring"
)

const usage = `usage:
  turnfork [serve] [-config FILE]         serve; without FILE as NODE_CONFIG says
  turnfork token issue -config FILE ...   sign a URL or a token (-h lists the flags)
  turnfork token key                      print a new secret for a key
  turnfork pcap read  [-config FILE] [-front signed|fastcgi] [-port N] PCAP
  turnfork pcap write [-config FILE] [-plain] PCAP
`

// errUsage makes Main print the usage and exit with code 2.
var errUsage = errors.New("usage")

// Main runs the command line and returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	log := zerolog.New(errOut).Level(logLevel(os.Getenv("TURNFORK_LOG"))).With().Timestamp().Logger()
	err := run(args, out, errOut, log)
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return 0
	case errors.Is(err, errUsage):
		fmt.Fprint(errOut, usage)
		return 2
	}
	log.Error().Err(err).Msg("turnfork exits with an error")
	return 1
}

func run(args []string, out, errOut io.Writer, log zerolog.Logger) error {
	if len(args) > 0 && args[0] == "serve" {
		args = args[1:]
	}
	if len(args) == 0 || args[0][0] == '-' {
		flags := flagSet("serve", errOut)
		file := flags.String("config", "", "the operator's file; without it the file that NODE_CONFIG names")
		if err := flags.Parse(args); err != nil {
			return err
		}
		if flags.NArg() > 0 {
			return errUsage
		}
		cfg, err := load(*file, log)
		if err != nil {
			return err
		}
		return serve(cfg, *file)
	}
	if len(args) < 2 {
		return errUsage
	}
	switch args[0] + " " + args[1] {
	case "token issue":
		return issue(args[2:], out, errOut)
	case "token key":
		var secret [32]byte
		rand.Read(secret[:])
		fmt.Fprintln(out, base64.StdEncoding.EncodeToString(secret[:]))
		return nil
	case "pcap read":
		return pcapRead(args[2:], out, errOut, log)
	case "pcap write":
		return pcapWrite(args[2:], errOut, log)
	}
	return errUsage
}

func flagSet(name string, errOut io.Writer) *flag.FlagSet {
	f := flag.NewFlagSet("turnfork "+name, flag.ContinueOnError)
	f.SetOutput(errOut)
	return f
}

// load reads the operator's file; without one, the platform's configuration that NODE_CONFIG names.
func load(file string, log zerolog.Logger) (turnfork.Config, error) {
	cfg := turnfork.Config{Log: log, Clock: clock.System()}
	if file == "" {
		var err error
		cfg.Node, err = config.Load(os.Getenv("NODE_CONFIG"), os.Getenv)
		return cfg, err
	}
	o, err := config.LoadOperator(file)
	if err != nil {
		return cfg, err
	}
	var seed [8]byte
	rand.Read(seed[:])
	cfg.Operator, cfg.Node = o, o.Node(binary.BigEndian.Uint64(seed[:]))
	cfg.Node.SocketFD, err = config.SocketFD(os.Getenv)
	return cfg, err
}

// serve runs the gateway until SIGTERM or SIGINT. SIGHUP reloads the configuration.
func serve(cfg turnfork.Config, file string) error {
	// SIGHUP is caught before the gateway starts serving, since by default it terminates the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	cfg.SharedDir = os.Getenv("TMPDIR")
	turnfork.SetRuntimeLimits(cfg.Node.Cores, cfg.Node.MemoryMB)
	stop, done := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer done()
	cfg.Stop = stop.Done()
	ended := make(chan struct{})
	defer close(ended)
	cfg.Reload = reload(hangups, ended, file, cfg.Log)
	return turnfork.Run(context.Background(), cfg)
}

// reload sends the configuration, read again, at each signal. An invalid file is logged, and the previous configuration
// stays in use.
func reload(hangups <-chan os.Signal, ended <-chan struct{}, file string, log zerolog.Logger) <-chan config.Node {
	out := make(chan config.Node)
	go func() {
		for {
			select {
			case <-ended:
				return
			case <-hangups:
			}
			cfg, err := load(file, log)
			if err != nil {
				log.Error().Err(err).Msg("configuration reload failed; keeping the previous configuration")
				continue
			}
			select {
			case out <- cfg.Node:
			case <-ended:
				return
			}
		}
	}()
	return out
}

// issue signs a URL or token with a key of the operator's file and prints it as JSON.
func issue(args []string, out, errOut io.Writer) error {
	flags := flagSet("token issue", errOut)
	var q signed.IssueRequest
	file := flags.String("config", "", "the operator's file, with the keys")
	kind := flags.String("kind", "hmac", "the dialect: "+kinds())
	flags.StringVar(&q.Key, "key", "", "the key; by default the newest one that can sign")
	flags.StringVar(&q.URI, "uri", "", "the complete URI; a path suffices for hmac and edgeauth")
	flags.StringVar(&q.Regex, "regex", "", "jws: a POSIX regular expression that matches the allowed URIs")
	flags.StringVar(&q.Cover, "cover", "", "a set of URIs in place of one, in the dialect's own form; for edgeauth an acl such as /v1/firmware/*")
	flags.StringVar(&q.Address, "address", "", "the client's address, for dialects that can bind a token to it")
	flags.StringVar(&q.Method, "method", "", "presign: the method; GET by default")
	flags.StringVar(&q.Data, "data", "", "edgeauth: data to include in the token")
	flags.Float64Var(&q.After, "after", 0, "seconds from now until it becomes valid")
	flags.Float64Var(&q.Seconds, "seconds", 3600, "seconds for which it is valid")
	flags.BoolVar(&q.SingleUse, "single-use", false, "include a jti (kinds hmac and cat always have an id)")
	flags.IntVar(&q.Renew, "renew", 0, "jws, cat: lifetime in seconds of a token that is renewed by cookie; 0: none")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if *file == "" {
		return fmt.Errorf("-config: missing; the operator's file is required")
	}
	o, err := config.LoadOperator(*file)
	if err != nil {
		return err
	}
	keys, err := o.Ring()
	if err != nil {
		return err
	}
	q.Kind = token.Kind(*kind)
	maxSeconds := o.TokenS
	if maxSeconds == 0 {
		maxSeconds = signed.DefaultTokenSeconds
	}
	issued, err := signed.Issue(keys, q, clock.System().Unix()/1000, maxSeconds, rand.Text())
	if err != nil {
		return err
	}
	enc := json.NewEncoder(out)
	enc.SetEscapeHTML(false)
	return enc.Encode(issued)
}

// kinds lists the names of the dialects, separated by commas.
func kinds() string {
	var out []string
	for _, k := range ring.Kinds() {
		out = append(out, string(k))
	}
	return strings.Join(out, ", ")
}

// logLevel parses the value of TURNFORK_LOG (debug traces every request); an empty or unknown name means info.
func logLevel(name string) zerolog.Level {
	if l, err := zerolog.ParseLevel(name); err == nil && name != "" {
		return l
	}
	return zerolog.InfoLevel
}
