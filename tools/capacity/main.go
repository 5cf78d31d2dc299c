// Command capacity measures the slopes that docs/CAPACITY.md stands on, by the
// benchmarks of the main module in bounded runs, and prints them times the size
// to design for as a Markdown table.
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

// report measures in dir and prints the table. A figure over its limit is a
// finding and no error.
func report(dir string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	measured, err := measureAll(ctx, dir, os.Stderr)
	if err != nil {
		return err
	}
	return writeTable(os.Stdout, measured)
}
