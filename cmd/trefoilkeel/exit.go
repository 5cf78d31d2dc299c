package main

import (
	"fmt"
	"os"

	"github.com/cockroachdb/errors"
)

// Exit codes of the tool.
const (
	exitFailed         = 1 // any error without its own code
	exitRefused        = 2 // the request was understood and refused
	exitUnreachable    = 3 // no control host carried out the call; nothing was changed
	exitOutcomeUnknown = 4 // the response was lost; the message says whether repeating is safe
)

// exitCoder is an error with its own exit code.
type exitCoder interface {
	error
	ExitCode() int
}

// reportError prints the error to standard error and returns the exit code.
func reportError(err error) int {
	fmt.Fprintln(os.Stderr, "trefoilkeel:", err)
	var withCode exitCoder
	if errors.As(err, &withCode) {
		return withCode.ExitCode()
	}
	return exitFailed
}
