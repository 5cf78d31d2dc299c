package main

import "strings"

// refusedError reports a call that a control host, or the tool itself, refused.
type refusedError struct {
	Reason string
}

// Error implements error.
func (e *refusedError) Error() string { return "refused, nothing was changed: " + e.Reason }

// ExitCode implements exitCoder.
func (*refusedError) ExitCode() int { return exitRefused }

// unreachableError reports that no control host carried out the call.
type unreachableError struct {
	Reasons []string
}

// Error implements error.
func (e *unreachableError) Error() string {
	return "no control host took the call, nothing was changed: " + strings.Join(e.Reasons, "; ")
}

// ExitCode implements exitCoder.
func (*unreachableError) ExitCode() int { return exitUnreachable }

// outcomeUnknownError reports that the response to a call was lost, so that the
// call may have been carried out.
type outcomeUnknownError struct {
	Reasons     []string
	SafeToRetry bool
}

// Error includes advice on what to do next.
func (e *outcomeUnknownError) Error() string {
	advice := "look at `trefoilkeel status` before you repeat it"
	if e.SafeToRetry {
		advice = "it is safe to repeat the same command: it is carried out at most once"
	}
	return "the answer was lost; " + advice + ": " + strings.Join(e.Reasons, "; ")
}

// ExitCode implements exitCoder.
func (*outcomeUnknownError) ExitCode() int { return exitOutcomeUnknown }

// fileError reports a file with unusable contents.
type fileError struct {
	File    string
	Problem string
}

// Error implements error.
func (e *fileError) Error() string { return e.File + ": " + e.Problem }
