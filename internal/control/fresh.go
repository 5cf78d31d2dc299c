package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// NotConfirmedError says that this host could not find out whether it is behind.
type NotConfirmedError struct{}

// Error says so.
func (e *NotConfirmedError) Error() string {
	return "this control host can't confirm that its state is the newest"
}

// freshness is what the leader last said of its own state.
type freshness struct {
	mu        sync.Mutex
	asked     time.Time // the leader was asked at this time
	revision  uint64
	directory uint64
	changed   chan struct{}
}

func newFreshness() *freshness { return &freshness{changed: make(chan struct{})} }

// confirm notes an answer of the leader.
func (f *freshness) confirm(asked time.Time, revision, directory uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.asked = asked
	f.revision = max(f.revision, revision)
	f.directory = max(f.directory, directory)
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *freshness) read() (asked time.Time, revision, directory uint64, changed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.asked, f.revision, f.directory, f.changed
}

// awaitFresh returns once this host is known to hold all that was accepted
// before the call. A process that has restarted holds no revision to compare
// with, so a host that is behind could turn it back.
func (s *Server) awaitFresh(ctx context.Context) error {
	arrived := s.now()
	timeout := time.NewTimer(s.settings.ConfirmTimeout)
	defer timeout.Stop()
	for {
		applied := s.machine.Changed()
		asked, revision, directory, confirmed := s.fresh.read()
		if _, ok := s.leading(); ok {
			return nil
		}
		if asked.After(arrived) && s.holds(revision, directory) {
			return nil
		}
		if !asked.After(arrived) {
			s.beats.hurry()
		}
		select {
		case <-applied:
		case <-confirmed:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.stopping:
			return connect.NewError(connect.CodeUnavailable, &StoppingError{})
		case <-timeout.C:
			return connect.NewError(connect.CodeUnavailable, &NotConfirmedError{})
		}
	}
}

func (s *Server) holds(revision, directory uint64) bool {
	_, version := s.machine.Endpoints()
	return s.machine.Configuration().Revision >= revision && version >= directory
}
