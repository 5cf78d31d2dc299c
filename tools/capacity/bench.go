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

// runTime bounds one run of go test.
const runTime = 3 * time.Minute

// run is one bounded call of go test in the main module.
type run struct {
	bench     string // pattern of the benchmarks
	benchtime string // such as 1x
	pkg       string // package, relative to the main module
}

// args are the arguments of go.
func (r run) args() []string {
	return []string{"test", "-run", "XXX", "-bench", r.bench, "-benchtime", r.benchtime, r.pkg}
}

// String is the command as a reader would type it.
func (r run) String() string {
	return fmt.Sprintf("go test -run XXX -bench '%s' -benchtime %s %s", r.bench, r.benchtime, r.pkg)
}

// runError says which run failed, with what it printed.
type runError struct {
	run    run
	output string
	cause  error
}

// Error names the command and its output.
func (e *runError) Error() string {
	return fmt.Sprintf("%v: %v\n%s", e.run, e.cause, e.output)
}

// Unwrap gives the cause.
func (e *runError) Unwrap() error { return e.cause }

// figures are the values of one or more runs: benchmark, then unit.
type figures map[string]map[string]float64

// measure calls go test in dir and adds the figures it prints. It fails with a
// *runError.
func measure(ctx context.Context, dir string, r run, into figures) error {
	ctx, cancel := context.WithTimeout(ctx, runTime)
	defer cancel()
	command := exec.CommandContext(ctx, "go", r.args()...)
	command.Dir = dir
	output, err := command.CombinedOutput()
	if err != nil {
		return &runError{run: r, output: string(output), cause: err}
	}
	parse(string(output), into)
	return nil
}

// processors is what the testing package appends to a benchmark's name.
var processors = regexp.MustCompile(`-\d+$`)

// parse adds the figures of each benchmark line of output.
func parse(output string, into figures) {
	for line := range strings.Lines(output) {
		fields := strings.Fields(line)
		if len(fields) < 4 || !strings.HasPrefix(fields[0], "Benchmark") {
			continue
		}
		name := processors.ReplaceAllString(strings.TrimPrefix(fields[0], "Benchmark"), "")
		into[name] = pairs(fields[2:])
	}
}

// pairs reads value and unit in turn.
func pairs(fields []string) map[string]float64 {
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

// measureAll makes each run in turn, so that none disturbs another, and
// reports its progress.
func measureAll(ctx context.Context, dir string, progress io.Writer) (figures, error) {
	all := figures{}
	for _, r := range runs {
		fmt.Fprintln(progress, r)
		if err := measure(ctx, dir, r, all); err != nil {
			return nil, err
		}
	}
	return all, nil
}
