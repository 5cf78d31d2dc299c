package main

import "strings"

// refusedError says that a call was understood and refused.
type refusedError struct {
	Reason string
}

// Error gives the reason.
func (e *refusedError) Error() string { return "refused, nothing was changed: " + e.Reason }

// ExitCode is the code for refused.
func (*refusedError) ExitCode() int { return exitRefused }

// unreachableError says that no control host took the call.
type unreachableError struct {
	Reasons []string
}

// Error lists what was tried.
func (e *unreachableError) Error() string {
	return "no control host took the call, nothing was changed: " + strings.Join(e.Reasons, "; ")
}

// ExitCode is the code for unreachable.
func (*unreachableError) ExitCode() int { return exitUnreachable }

// unknownError says that a call was sent and its answer lost.
type unknownError struct {
	Reasons    []string
	Repeatable bool
}

// Error says what to do next.
func (e *unknownError) Error() string {
	advice := "look at `trefoilkeel status` before you repeat it"
	if e.Repeatable {
		advice = "it is safe to repeat the same command: it is carried out at most once"
	}
	return "the answer was lost; " + advice + ": " + strings.Join(e.Reasons, "; ")
}

// ExitCode is the code for unknown.
func (*unknownError) ExitCode() int { return exitUnknown }

// fileError reports a file that can't be used.
type fileError struct {
	File    string
	Problem string
}

// Error names the file.
func (e *fileError) Error() string { return e.File + ": " + e.Problem }
