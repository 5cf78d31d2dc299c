package state

import (
	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/ledger"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
	"google.golang.org/protobuf/proto"
)

// SnapshotError reports a snapshot that can't be encoded or decoded.
type SnapshotError struct {
	Cause error
}

// Error includes the cause.
func (e *SnapshotError) Error() string { return "state snapshot: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Snapshot returns the encoded state. An error is a *SnapshotError.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	ticketSnapshot, err := m.ticketStore.Snapshot()
	if err != nil {
		return nil, errors.WithStack(&SnapshotError{Cause: err})
	}
	s := &pb.StateSnapshot{
		Book:      ticketSnapshot,
		Lease:     m.leaseTable.Snapshot(),
		Ledger:    m.ledger.Snapshot(),
		NowUnixMs: m.logTimeMs,
	}
	encoded, err := proto.MarshalOptions{Deterministic: true}.Marshal(s)
	if err != nil {
		return nil, errors.WithStack(&SnapshotError{Cause: err})
	}
	return encoded, nil
}

// Restore replaces the whole state by that of a snapshot. On a *SnapshotError it
// changes nothing.
func (m *Machine) Restore(snapshot []byte) error {
	s := &pb.StateSnapshot{}
	if err := proto.Unmarshal(snapshot, s); err != nil {
		return errors.WithStack(&SnapshotError{Cause: err})
	}
	restoredLedger, err := ledger.Restore(s.GetLedger())
	if err != nil {
		return errors.WithStack(&SnapshotError{Cause: err})
	}
	restoredTicketStore, err := ticket.RestoreStore(s.GetBook())
	if err != nil {
		return errors.WithStack(&SnapshotError{Cause: err})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.ticketStore = restoredTicketStore
	m.leaseTable = lease.Restore(s.GetLease())
	m.ledger = restoredLedger
	m.logTimeMs = s.GetNowUnixMs()
	m.notifyIf(true)
	return nil
}
