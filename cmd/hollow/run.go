package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"turnfork.dev/turnfork/internal/hollow"
	"turnfork.dev/turnfork/scale"
)

const usage = `usage:
  hollow [flags]                          measure; -h lists the flags
  hollow plot [-o FILE.svg] REPORT...     plot and tabulate reports
`

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1 // the run or a check failed
	exitUsage  = 2
)

// run executes a command line and returns the exit code.
func run(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var err error
	if len(args) > 0 && args[0] == "plot" {
		err = plot(args[1:], out, errOut)
	} else {
		err = measure(ctx, args, out, errOut)
	}
	switch {
	case err == nil || errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errUsage):
		fmt.Fprint(errOut, usage)
		return exitUsage
	}
	fmt.Fprintln(errOut, "hollow:", err)
	return exitFailed
}

var (
	errUsage  = errors.New("usage")
	errChecks = errors.New("a check failed")
)

// settings are the parsed flags of a run.
type settings struct {
	mode    string
	options scale.Options
	members string // comma-separated cluster sizes, for scale.ModeVoters only
	report  string
}

func parseFlags(args []string, errOut io.Writer) (settings, error) {
	var s settings
	options := &s.options
	flags := flag.NewFlagSet("hollow", flag.ContinueOnError)
	flags.SetOutput(errOut)
	flags.StringVar(&s.mode, "mode", scale.ModeWatch, "watch: gateways subscribe; voters: all members vote, as the program was")
	flags.StringVar(&s.members, "members", "3,5,9,15,25,51,101", "mode voters: the numbers of members, for each of which there is a run")
	flags.IntVar(&options.Gateways, "count", 100, "hollow gateways")
	flags.IntVar(&options.Sites, "sites", scale.FullSites, "sites that they stand at")
	flags.IntVar(&options.Voters, "voters", scale.FullVoters, "voters")
	flags.IntVar(&options.Endpoints, "stores", hollow.DefaultEndpoints, "stores that each gateway knows")
	flags.DurationVar(&options.Duration, "for", time.Minute, "how long the load lasts")
	flags.Uint64Var(&options.Seed, "seed", 1, "of the load and the faults")
	flags.Float64Var(&options.Load.Purges, "purges", 46, "purges a second")
	flags.Float64Var(&options.Load.ChangesPerDay, "changes-per-day", 8100, "changes of configuration a day")
	flags.IntVar(&options.Load.Burst, "burst", 100, "changes of configuration within one second, in the middle of the run")
	flags.Float64Var(&options.Load.Revocations, "revocations", 0.5, "revocations a second")
	flags.DurationVar(&options.Load.EndpointListInterval, "store-interval", 20*time.Second, "between changes of the store list; 0: none")
	flags.Float64Var(&options.RestartsPerDay, "restarts-per-day", 330, "restarts a day among 3,400 gateways, scaled to those that run")
	flags.StringVar(&options.Scenario, "faults", scale.ScenarioQuiet, "one of "+strings.Join(scale.Scenarios(), ", "))
	flags.StringVar(&s.report, "report", "", "write the report there, as JSON")
	if err := flags.Parse(args); err != nil {
		return s, err
	}
	if flags.NArg() > 0 {
		return s, errUsage
	}
	options.Progress = errOut
	return s, nil
}

// measure runs the rig in the requested mode and writes its report.
func measure(ctx context.Context, args []string, out, errOut io.Writer) error {
	s, err := parseFlags(args, errOut)
	if err != nil {
		return err
	}
	switch s.mode {
	case scale.ModeWatch:
		return measureWatch(ctx, s, out, errOut)
	case scale.ModeVoters:
		return measureVoters(ctx, s, out)
	}
	return errUsage
}

// measureVoters measures clusters in which all members vote.
func measureVoters(ctx context.Context, s settings, out io.Writer) error {
	options := scale.VotersOptions{Duration: s.options.Duration, Seed: s.options.Seed, Progress: s.options.Progress}
	for number := range strings.SplitSeq(s.members, ",") {
		members, err := strconv.Atoi(number)
		if err != nil || members < 1 {
			return fmt.Errorf("-members: %q is not a positive number", number)
		}
		options.Counts = append(options.Counts, members)
	}
	report, err := scale.RunVoters(ctx, options)
	if err != nil {
		return err
	}
	if s.report != "" {
		if err := report.WriteFile(s.report); err != nil {
			return err
		}
	}
	return report.WriteBenchmark(out)
}

// measureWatch measures gateways that subscribe to voters.
func measureWatch(ctx context.Context, s settings, out, errOut io.Writer) error {
	report, err := scale.Run(ctx, s.options)
	if err != nil {
		return err
	}
	if s.report != "" {
		if err := report.WriteFile(s.report); err != nil {
			return err
		}
	}
	if err := report.WriteBenchmark(out); err != nil {
		return err
	}
	return printChecks(report, errOut)
}

// printChecks prints the checks, and returns errChecks if one failed.
func printChecks(report *scale.Report, errOut io.Writer) error {
	for _, check := range report.Checks {
		verdict := "ok"
		if !check.OK {
			verdict = "FAILED"
		}
		fmt.Fprintf(errOut, "%-45s %14.4f  limit %14.1f  %s\n", check.Name, check.Value, check.Limit, verdict)
	}
	if !report.Passed() {
		return errChecks
	}
	return nil
}
