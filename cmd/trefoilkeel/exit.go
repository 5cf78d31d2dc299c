package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Exit codes of the tool.
const (
	exitFailed      = 1 // anything without a code of its own
	exitRefused     = 2 // the request was understood and refused
	exitUnreachable = 3 // no control host answered; nothing was changed
	exitUnknown     = 4 // the answer was lost; repeating is safe
)

// codedError is an error that decides the exit code.
type codedError interface {
	error
	ExitCode() int
}

// exitCode prints the error and returns the code for it.
func exitCode(err error) int {
	fmt.Fprintln(os.Stderr, "trefoilkeel:", err)
	var coded codedError
	if errors.As(err, &coded) {
		return coded.ExitCode()
	}
	return exitFailed
}
