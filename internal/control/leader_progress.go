package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
)

// UnconfirmedStateError reports that this host could not confirm that its state
// is up to date.
type UnconfirmedStateError struct{}

// Error implements the error interface.
func (e *UnconfirmedStateError) Error() string {
	return "this control host can't confirm that its state is the newest"
}

// leaderProgress is the newest state that the leader has reported to this host.
type leaderProgress struct {
	mu               sync.Mutex
	reportSentAt     time.Time // of the last report that the leader answered
	revision         uint64
	directoryVersion uint64
	changed          chan struct{}
}

func newLeaderProgress() *leaderProgress { return &leaderProgress{changed: make(chan struct{})} }

// update records the leader's response to a report.
func (p *leaderProgress) update(reportSentAt time.Time, revision, directoryVersion uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reportSentAt = reportSentAt
	p.revision = max(p.revision, revision)
	p.directoryVersion = max(p.directoryVersion, directoryVersion)
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *leaderProgress) snapshot() (reportSentAt time.Time, revision, directoryVersion uint64, changed <-chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reportSentAt, p.revision, p.directoryVersion, p.changed
}

// awaitUpToDate waits until this host has applied everything that was accepted
// before the call. A restarted process has no revision to compare with, so a
// host that is behind could give it an older configuration than it had.
func (s *Server) awaitUpToDate(ctx context.Context) error {
	calledAt := s.now()
	timeout := time.NewTimer(s.settings.ConfirmTimeout)
	defer timeout.Stop()
	for {
		applied := s.machine.Changed()
		reportSentAt, revision, directoryVersion, reported := s.leaderProgress.snapshot()
		if _, ok := s.leaderTerm(); ok {
			return nil
		}
		if reportSentAt.After(calledAt) && s.hasApplied(revision, directoryVersion) {
			return nil
		}
		if !reportSentAt.After(calledAt) {
			s.heartbeats.requestReport()
		}
		select {
		case <-applied:
		case <-reported:
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-s.stopping:
			return connect.NewError(connect.CodeUnavailable, &StoppingError{})
		case <-timeout.C:
			return connect.NewError(connect.CodeUnavailable, &UnconfirmedStateError{})
		}
	}
}

func (s *Server) hasApplied(revision, directoryVersion uint64) bool {
	_, version := s.machine.Endpoints()
	return s.machine.Configuration().Revision >= revision && version >= directoryVersion
}
