package document

import (
	"encoding/binary"
	"math"

	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

// A command on the versions that serve has the version of a quarantine command and then
// servedCommandKind, which neither a QuarantineChange nor a command on duties uses. The section of
// a snapshot begins like that of the quarantined parts, with a number of parts that is over
// MaxQuarantinedParts.
//
// A build that does not know them ignores such a command because of its length, and refuses a
// snapshot with the section by a *CorruptError: it must not rejoin.
const (
	servedCommandKind   = 0xD1
	servedHeadBytes     = versionBytes + 1
	servedSnapshotParts = math.MaxUint32 - 1
	servedSectionBytes  = versionBytes + 4
)

// EncodeServedCommand encodes a change of the versions that serve for the replicated log.
func EncodeServedCommand(change origin.Change) []byte {
	encoded := binary.BigEndian.AppendUint64(make([]byte, 0, 2*servedHeadBytes), quarantineCommandVersion)
	encoded = append(append(encoded, servedCommandKind), change.Encode()...)
	if len(encoded) == quarantineCommandBytes {
		encoded = append(encoded, 0) // without a meaning
	}
	return encoded
}

// isServedCommand reports whether a command with version 0 is of EncodeServedCommand.
func isServedCommand(command []byte) bool {
	return len(command) >= servedHeadBytes && len(command) != quarantineCommandBytes && command[versionBytes] == servedCommandKind
}

// applyServed applies a command of EncodeServedCommand. The caller holds the lock.
func (m *StateMachine) applyServed(command []byte) {
	if m.served.Apply(command[servedHeadBytes:]) {
		m.notify()
	}
}

// Served returns the record of the versions that serve, and a channel that is closed at the next
// change of the state machine.
func (m *StateMachine) Served() (record origin.Record, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.served.Clone(), m.changed
}

// appendServed appends the section of a snapshot, nothing while no version is recorded.
func (m *StateMachine) appendServed(snapshot []byte) []byte {
	if m.served.IsZero() {
		return snapshot
	}
	snapshot = binary.BigEndian.AppendUint64(snapshot, quarantineSnapshotVersion)
	return m.served.AppendSnapshot(binary.BigEndian.AppendUint32(snapshot, servedSnapshotParts))
}

// cutServed decodes the section of a snapshot and returns the rest of it. An error is a
// *CorruptError.
func cutServed(snapshot []byte) (record origin.Record, rest []byte, err error) {
	if len(snapshot) < servedSectionBytes || binary.BigEndian.Uint64(snapshot) != quarantineSnapshotVersion ||
		binary.BigEndian.Uint32(snapshot[versionBytes:]) != servedSnapshotParts {
		return origin.Record{}, snapshot, nil
	}
	record, rest, ok := origin.CutSnapshot(snapshot[servedSectionBytes:])
	if !ok {
		return origin.Record{}, nil, &CorruptError{SizeBytes: len(snapshot)}
	}
	return record, rest, nil
}
