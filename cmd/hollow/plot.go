package main

import (
	"flag"
	"fmt"
	"io"

	"turnfork.dev/turnfork/scale"
)

// plot prints a table of reports, and writes a plot if an output file is given.
func plot(args []string, out, errOut io.Writer) error {
	flags := flag.NewFlagSet("hollow plot", flag.ContinueOnError)
	flags.SetOutput(errOut)
	file := flags.String("o", "", "write the plot there, as SVG")
	if err := flags.Parse(args); err != nil {
		return err
	}
	if flags.NArg() == 0 {
		return errUsage
	}
	var reports []*scale.Report
	for _, path := range flags.Args() {
		report, err := scale.ReadReport(path)
		if err != nil {
			return err
		}
		reports = append(reports, report)
	}
	scale.SortByGateways(reports)
	if *file != "" {
		if err := scale.PlotFile(*file, reports); err != nil {
			return err
		}
	}
	if _, err := io.WriteString(out, scale.Table(reports)); err != nil {
		return fmt.Errorf("table: %w", err)
	}
	return nil
}
