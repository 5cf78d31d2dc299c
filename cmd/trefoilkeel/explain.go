package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/explain"
)

// explainCommand reports why a request ended as it did.
type explainCommand struct {
	Request string   `arg:"" help:"Id of the request."`
	Logs    *os.File `arg:"" optional:"" default:"-" help:"File with the lines of all hosts, standard input by default."`
	JSON    bool     `name:"json" help:"Print JSON for programs."`
}

// Run reads the log lines and prints the cause of the request's end with the
// lines that show it.
func (c *explainCommand) Run(out io.Writer) error {
	requestLog, err := explain.ReadRequestLog(c.Logs, c.Request)
	if err != nil {
		return err
	}
	report, err := requestLog.Report()
	if err != nil {
		return err
	}
	if c.JSON {
		text, err := json.Marshal(report)
		if err != nil {
			return errors.WithStack(err)
		}
		return printLine(out, string(text))
	}
	return printReport(out, report)
}

// printReport prints a report as text, with the cause first.
func printReport(out io.Writer, r *explain.Report) error {
	lines := []string{"request  " + r.Request, "cause    " + r.Cause}
	if r.SimilarFailures > 0 {
		lines = append(lines, fmt.Sprintf("alike    %d other requests failed there within two seconds: look at the endpoint", r.SimilarFailures))
	}
	lines = append(lines, "", "its lines:")
	lines = append(lines, r.RequestLines...)
	if len(r.ContextLines) > 0 {
		lines = append(lines, "", "what its hosts and endpoints said before:")
		lines = append(lines, r.ContextLines...)
	}
	for _, l := range lines {
		if err := printLine(out, l); err != nil {
			return err
		}
	}
	return nil
}
