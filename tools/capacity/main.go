// Command capacity measures the unit costs that docs/CAPACITY.md is based on. It
// runs benchmarks of the main module, each with a timeout, multiplies their
// results by the load to design for and prints a Markdown table.
//
// Usage, from the tools folder: go run ./capacity ..
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
)

func main() {
	dir := ".."
	if len(os.Args) > 1 {
		dir = os.Args[1]
	}
	if err := report(dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// report runs the benchmarks in dir and prints the table. A result over its limit
// is reported in the table and is not an error.
func report(dir string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	measured, err := runBenchmarks(ctx, dir, os.Stderr)
	if err != nil {
		return err
	}
	return writeTable(os.Stdout, measured)
}
