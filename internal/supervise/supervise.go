// Package supervise runs the goroutines of a process as a tree. A child that
// fails is restarted with backoff; a child that fails too often takes its
// parent down; a stop goes to the children in the reverse order of their start.
package supervise

import (
	"context"
	"fmt"
	"log/slog"
	"runtime/debug"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Restart bounds of a child.
const (
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 5 * time.Second
	maxRestarts  = 5
	restartSpan  = time.Minute
)

// Child is one supervised duty.
type Child struct {
	Name string
	// Run does the duty until ctx ends. A nil return ends the child for good.
	Run func(ctx context.Context) error
}

// FailedError says that a child failed too often.
type FailedError struct {
	Child string
	Cause error
}

// Error names the child.
func (e *FailedError) Error() string {
	return fmt.Sprintf("child %s failed too often: %v", e.Child, e.Cause)
}

// Unwrap returns the last failure.
func (e *FailedError) Unwrap() error { return e.Cause }

// PanicError is a panic of a child, turned into an error.
type PanicError struct {
	Value any
	Stack []byte
}

// Error gives the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Tree runs children under one parent.
type Tree struct {
	logger   *slog.Logger
	children []Child
}

// New returns an empty tree.
func New(logger *slog.Logger) *Tree { return &Tree{logger: logger} }

// Add appends a child. It must not be called after Run.
func (t *Tree) Add(name string, run func(ctx context.Context) error) {
	t.children = append(t.children, Child{Name: name, Run: run})
}

// Run starts the children in order and waits for all of them. When ctx ends,
// each child is stopped after the ones added later have returned. An error
// is a *FailedError.
func (t *Tree) Run(ctx context.Context) error {
	group, failed := errgroup.WithContext(ctx)
	done := make([]chan struct{}, len(t.children))
	for i := range t.children {
		done[i] = make(chan struct{})
	}
	for i, child := range t.children {
		childCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		group.Go(func() error {
			defer close(done[i])
			defer cancel(nil)
			return t.keep(childCtx, child)
		})
		go func() {
			<-failed.Done()
			for _, later := range done[i+1:] {
				<-later
			}
			cancel(context.Cause(failed))
		}()
	}
	return group.Wait()
}

// keep runs one child and restarts it within the bounds.
func (t *Tree) keep(ctx context.Context, child Child) error {
	backoff := firstBackoff
	var failures []time.Time
	for {
		err := runSafely(ctx, child)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		failures = append(recent(failures, now), now)
		t.logger.Error("child failed", "child", child.Name, "error", err, "failures", len(failures))
		if len(failures) > maxRestarts {
			return &FailedError{Child: child.Name, Cause: err}
		}
		if !wait.For(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// recent keeps the failures inside the restart span.
func recent(failures []time.Time, now time.Time) []time.Time {
	kept := failures[:0]
	for _, at := range failures {
		if now.Sub(at) < restartSpan {
			kept = append(kept, at)
		}
	}
	return kept
}

// runSafely turns a panic into a *PanicError.
func runSafely(ctx context.Context, child Child) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	return child.Run(ctx)
}
