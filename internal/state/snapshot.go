package state

import (
	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/ledger"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
	"google.golang.org/protobuf/proto"
)

// SnapshotError says that a snapshot can't be written or read.
type SnapshotError struct {
	Cause error
}

// Error gives the cause.
func (e *SnapshotError) Error() string { return "state snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Snapshot returns the whole state; an error is a *SnapshotError.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	book, err := m.book.Snapshot()
	if err != nil {
		return nil, errors.WithStack(&SnapshotError{Cause: err})
	}
	s := &pb.StateSnapshot{
		Book:      book,
		Lease:     m.table.Snapshot(),
		Ledger:    m.ledger.Snapshot(),
		NowUnixMs: m.nowMs,
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(&SnapshotError{Cause: err})
	}
	return encoded, nil
}

// Restore replaces the whole state, or changes nothing and returns a *SnapshotError.
func (m *Machine) Restore(snapshot []byte) error {
	s := &pb.StateSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return errors.WithStack(&SnapshotError{Cause: err})
	}
	restored, err := ledger.Restore(s.GetLedger())
	if err != nil {
		return errors.WithStack(&SnapshotError{Cause: err})
	}
	book, err := ticket.RestoreBook(s.GetBook())
	if err != nil {
		return errors.WithStack(&SnapshotError{Cause: err})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book = book
	m.table = lease.Restore(s.GetLease())
	m.ledger = restored
	m.nowMs = s.GetNowUnixMs()
	m.notify(true)
	return nil
}
