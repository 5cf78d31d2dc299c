package main

import (
	"context"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/experiment"
)

// experimentCommand groups the commands for experiments.
type experimentCommand struct {
	Run experimentRunCommand `cmd:"" help:"Run a scenario on loopback and report what each class got."`
}

// experimentRunCommand runs one scenario.
type experimentRunCommand struct {
	Scenario     string `arg:"" type:"existingfile" help:"Scenario file (TOML)."`
	Baseline     bool   `help:"Run the same arrivals through round robin without tiers as well."`
	BaselineOnly bool   `help:"Run only the baseline."`
	Seed         uint64 `help:"Seed of the arrivals; 0: the scenario's own."`
	Report       string `help:"Write the report as JSON to this file."`
	HTML         string `name:"html" help:"Write the report as a page with plots to this file."`
	Calls        string `help:"Write the calls that missed their targets to this file, one JSON object a line."`
	Verbose      bool   `help:"Log the system's own lines to stderr."`
}

// Run runs the scenario, prints the measurements and writes the reports.
func (c *experimentRunCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	options := experiment.Options{
		ScenarioPath: c.Scenario, Seed: c.Seed, RunBaseline: c.Baseline, Progress: os.Stderr, Logger: c.logger(),
	}
	if !c.BaselineOnly {
		options.StartSystem = experiment.StartEmbedded(options.Logger)
	}
	report, err := experiment.Run(ctx, options)
	if err != nil {
		return err
	}
	report.WriteText(os.Stdout)
	if err := writeReport(c.Report, report.WriteJSON); err != nil {
		return err
	}
	if err := writeReport(c.Calls, report.WriteMissedCalls); err != nil {
		return err
	}
	return writeReport(c.HTML, report.WriteHTML)
}

func (c *experimentRunCommand) logger() *slog.Logger {
	level := slog.LevelError
	if c.Verbose {
		level = slog.LevelInfo
	}
	return slog.New(slog.NewJSONHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// writeReport creates a file and writes a report to it; an empty path writes none.
func writeReport(path string, write func(io.Writer) error) error {
	if path == "" {
		return nil
	}
	file, err := os.Create(path)
	if err != nil {
		return errors.Wrap(err, "create the report")
	}
	if err := write(file); err != nil {
		_ = file.Close()
		return errors.Wrap(err, "write the report")
	}
	return errors.Wrap(file.Close(), "close the report")
}
