package main

import (
	"context"
	"fmt"
	"io"
	"os/exec"
	"regexp"
	"strconv"
	"strings"
	"time"
)

const benchmarkTimeout = 3 * time.Minute

// benchmarkRun is one invocation of go test in the main module, limited by
// benchmarkTimeout.
type benchmarkRun struct {
	pattern   string // regular expression, for -bench
	benchtime string // such as 1x, for -benchtime
	pkg       string // package path, relative to the main module
}

// goArguments returns the arguments of the go command.
func (r benchmarkRun) goArguments() []string {
	return []string{"test", "-run", "XXX", "-bench", r.pattern, "-benchtime", r.benchtime, r.pkg}
}

// String returns the command as it is typed in a shell.
func (r benchmarkRun) String() string {
	return fmt.Sprintf("go test -run XXX -bench '%s' -benchtime %s %s", r.pattern, r.benchtime, r.pkg)
}

// benchmarkError reports a failed run with its output.
type benchmarkError struct {
	run    benchmarkRun
	output string
	err    error
}

// Error implements error.
func (e *benchmarkError) Error() string {
	return fmt.Sprintf("%v: %v\n%s", e.run, e.err, e.output)
}

// Unwrap returns the error of the go command.
func (e *benchmarkError) Unwrap() error { return e.err }

// measurements maps benchmark names and metric units to measured values.
type measurements map[string]map[string]float64

// runBenchmark runs go test in dir and adds the metrics that it prints. It fails
// with a *benchmarkError.
func runBenchmark(ctx context.Context, dir string, r benchmarkRun, results measurements) error {
	ctx, cancel := context.WithTimeout(ctx, benchmarkTimeout)
	defer cancel()
	command := exec.CommandContext(ctx, "go", r.goArguments()...)
	command.Dir = dir
	output, err := command.CombinedOutput()
	if err != nil {
		return &benchmarkError{run: r, output: string(output), err: err}
	}
	parseOutput(string(output), results)
	return nil
}

// procsSuffix matches the number of processors that the testing package appends
// to a benchmark's name.
var procsSuffix = regexp.MustCompile(`-\d+$`)

// parseOutput adds the metrics of each benchmark line in the output of go test.
func parseOutput(output string, results measurements) {
	for line := range strings.Lines(output) {
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := procsSuffix.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), "")
		results[name] = parseMetrics(fields[2:])
	}
}

// parseMetrics parses alternating values and units.
func parseMetrics(fields []string) map[string]float64 {
	values := map[string]float64{}
	for i := 0; i+1 < len(fields); i += 2 {
		value, err := strconv.ParseFloat(fields[i], 64)
		if err != nil {
			continue
		}
		values[fields[i+1]] = value
	}
	return values
}

// runBenchmarks does the runs one at a time, so that none disturbs another, and
// reports its progress.
func runBenchmarks(ctx context.Context, dir string, progress io.Writer) (measurements, error) {
	results := measurements{}
	for _, r := range benchmarkRuns {
		fmt.Fprintln(progress, r)
		if err := runBenchmark(ctx, dir, r, results); err != nil {
			return nil, err
		}
	}
	return results, nil
}
