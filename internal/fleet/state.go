package fleet

import (
	"context"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// StateView is what a host has built from the replicated log: the state machine of one opening of
// its data folder. No view must be kept once another one has taken its place.
type StateView struct {
	Machine  *document.StateMachine // nil while the data folder is not open, or the state differs from the majority's
	Reason   error                  // why Machine is nil; nil if the data folder is not open
	UpToDate bool                   // contains all that was acknowledged before the data folder was opened
	Replaced <-chan struct{}        // closed once another view takes its place
}

// unavailable returns why there is no state machine: a *DataFolderClosedError or a *replica.CopyOddError.
func (v StateView) unavailable() error {
	if v.Reason != nil {
		return v.Reason
	}
	return &DataFolderClosedError{}
}

// StateSource provides the view that holds at present.
type StateSource interface {
	State() StateView
}

// StateReplacedError reports that the data folder was closed or opened again during a read.
type StateReplacedError struct{}

func (e *StateReplacedError) Error() string { return "the state was replaced during the read" }

// StateOutdatedError reports that the state is still being built from the log.
type StateOutdatedError struct {
	Version, RequiredVersion uint64 // of the document
}

func (e *StateOutdatedError) Error() string { return "the state is still being built from the log" }

// readBarrier succeeds once the machine has applied everything that was acknowledged before the call.
// Errors are those of StateView.unavailable, *StateReplacedError or those of the log.
func readBarrier(ctx context.Context, log ReplicatedLog, source StateSource, machine *document.StateMachine) error {
	if machine == nil {
		return source.State().unavailable()
	}
	if err := log.ReadBarrier(ctx); err != nil {
		return err
	}
	// The barrier was that of the log's present opening, which is the machine's if that is still in place.
	if source.State().Machine != machine {
		return &StateReplacedError{}
	}
	return nil
}

// retryBarrier calls a read barrier until it succeeds. It reports false if ctx ends first.
func retryBarrier(ctx context.Context, barrier func(ctx context.Context) error) bool {
	for ctx.Err() == nil {
		tryCtx, cancel := context.WithTimeout(ctx, confirmTimeout)
		err := barrier(tryCtx)
		cancel()
		if err == nil {
			return true
		}
		wait.For(ctx, keepAliveInterval)
	}
	return false
}
