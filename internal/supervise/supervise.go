// Package supervise runs the goroutines of a process as a supervisor tree. A
// child that fails is restarted with backoff. If it fails too often, the whole
// tree stops with an error. Children stop in the reverse order of their start.
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

// Restart limits of a child. The backoff doubles with each restart; more than
// maxRestarts failures within restartWindow stop the tree.
const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 5 * time.Second
	maxRestarts    = 5
	restartWindow  = time.Minute
)

// Child is one supervised task.
type Child struct {
	Name string
	// Run works until ctx ends. A child that returns nil is not restarted.
	Run func(ctx context.Context) error
}

// RestartLimitError reports that a child exceeded its restart limit. Cause is its
// last failure.
type RestartLimitError struct {
	Child string
	Cause error
}

// Error returns the child's name and its last failure.
func (e *RestartLimitError) Error() string {
	return fmt.Sprintf("child %s failed too often: %v", e.Child, e.Cause)
}

// Unwrap returns the child's last failure.
func (e *RestartLimitError) Unwrap() error { return e.Cause }

// PanicError is a recovered panic of a child.
type PanicError struct {
	Value any
	Stack []byte
}

// Error returns the value of the panic.
func (e *PanicError) Error() string { return fmt.Sprintf("panic: %v", e.Value) }

// Tree supervises a list of children.
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

// Run starts the children in order and waits for all of them. When ctx ends or
// a child exceeds its restart limit, each child is stopped once those added
// after it have returned. An error is a *RestartLimitError.
func (t *Tree) Run(ctx context.Context) error {
	group, groupCtx := errgroup.WithContext(ctx)
	returned := make([]chan struct{}, len(t.children))
	for i := range t.children {
		returned[i] = make(chan struct{})
	}
	for i, child := range t.children {
		childCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
		group.Go(func() error {
			defer close(returned[i])
			defer cancel(nil)
			return t.runWithRestarts(childCtx, child)
		})
		go func() {
			<-groupCtx.Done()
			for _, later := range returned[i+1:] {
				<-later
			}
			cancel(context.Cause(groupCtx))
		}()
	}
	return group.Wait()
}

// runWithRestarts runs one child and restarts it with backoff until it returns
// nil, ctx ends or it exceeds its restart limit.
func (t *Tree) runWithRestarts(ctx context.Context, child Child) error {
	backoff := initialBackoff
	var failures []time.Time
	for {
		err := runRecoveringPanics(ctx, child)
		if err == nil || ctx.Err() != nil {
			return nil
		}
		now := time.Now()
		failures = append(withinRestartWindow(failures, now), now)
		t.logger.Error("child failed", "child", child.Name, "error", err, "failures", len(failures))
		if len(failures) > maxRestarts {
			return &RestartLimitError{Child: child.Name, Cause: err}
		}
		if !wait.For(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// withinRestartWindow returns the failures of the last restartWindow. It reuses
// the slice.
func withinRestartWindow(failures []time.Time, now time.Time) []time.Time {
	kept := failures[:0]
	for _, at := range failures {
		if now.Sub(at) < restartWindow {
			kept = append(kept, at)
		}
	}
	return kept
}

// runRecoveringPanics runs the child once and returns a panic as a *PanicError.
func runRecoveringPanics(ctx context.Context, child Child) (err error) {
	defer func() {
		if v := recover(); v != nil {
			err = &PanicError{Value: v, Stack: debug.Stack()}
		}
	}()
	return child.Run(ctx)
}
