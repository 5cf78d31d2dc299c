package fleet

import (
	"context"
	"fmt"
	"time"
)

// UsageReport is what the holder of the duties tells the outside about a window.
type UsageReport struct {
	Holder string // name of the host
	Token  uint64 // fencing token of its holding
	Window uint64
	Counts map[string]uint64 // requests by workspace
}

// UsageReporter calls the outside.
type UsageReporter interface {
	// ReportUsage sends a report. It asks mayCall on the calling goroutine directly before the
	// first byte leaves, and sends nothing if the answer is false. After an error no byte of the
	// call can leave any more. Errors are *ReportDeclinedError, *OutsideBusyError,
	// *OutsideRejectedError, *OutsideTimeoutError and *OutsideConnectionError.
	ReportUsage(ctx context.Context, report UsageReport, mayCall func() bool) error
}

// ReportDeclinedError reports that mayCall was false, so that nothing was sent.
type ReportDeclinedError struct{}

func (e *ReportDeclinedError) Error() string { return "the lease does not cover the call" }

// OutsideBusyError reports that the outside asks for fewer calls.
type OutsideBusyError struct {
	RetryAfter time.Duration // 0 if the response has none
}

func (e *OutsideBusyError) Error() string {
	return fmt.Sprintf("the outside is busy, to be asked again after %v", e.RetryAfter)
}

// OutsideRejectedError reports a response with another status.
type OutsideRejectedError struct {
	Status int
}

func (e *OutsideRejectedError) Error() string {
	return fmt.Sprintf("the outside responded with status %d", e.Status)
}

// IsFinal reports whether the outside will not accept the same call later.
func (e *OutsideRejectedError) IsFinal() bool { return e.Status >= 400 && e.Status < 500 }

// OutsideTimeoutError reports that a call was sent and got no response in time. It may have
// arrived.
type OutsideTimeoutError struct {
	After time.Duration
}

func (e *OutsideTimeoutError) Error() string {
	return fmt.Sprintf("no response of the outside within %v", e.After)
}

// OutsideConnectionError reports that the outside could not be reached, or that a connection failed.
type OutsideConnectionError struct {
	Sent  bool // bytes of the call may have arrived
	Cause error
}

func (e *OutsideConnectionError) Error() string {
	if e.Sent {
		return fmt.Sprintf("connection to the outside lost: %v", e.Cause)
	}
	return fmt.Sprintf("the outside can't be reached: %v", e.Cause)
}

func (e *OutsideConnectionError) Unwrap() error { return e.Cause }
