package document

import (
	"encoding/binary"
	"math"

	"github.com/trefoilkeel/trefoilkeel/internal/duty"
)

// A command on duties has the version of a quarantine command and then dutyCommandKind, which no
// QuarantineChange uses. The duties' section of a snapshot comes first and begins like that of the
// quarantined parts, with a number of parts that is over MaxQuarantinedParts.
//
// A build that knows quarantines but no duties ignores such a command because of its length, and
// refuses a snapshot with the section by a *CorruptError. It must not rejoin a deployment that has
// had duties. So the settings may have duties only once every control host runs a build that
// knows them.
const (
	dutyCommandKind   = 0xD0
	dutyHeadBytes     = versionBytes + 1
	dutySnapshotParts = math.MaxUint32
	dutySectionBytes  = versionBytes + 4
)

// EncodeDutyCommand encodes a command of package duty for the replicated log.
func EncodeDutyCommand(command []byte) []byte {
	encoded := binary.BigEndian.AppendUint64(make([]byte, 0, dutyHeadBytes+len(command)+1), quarantineCommandVersion)
	encoded = append(append(encoded, dutyCommandKind), command...)
	if len(encoded) == quarantineCommandBytes {
		encoded = append(encoded, 0) // a command that is malformed in any case
	}
	return encoded
}

// isDutyCommand reports whether a command with version 0 is of EncodeDutyCommand.
func isDutyCommand(command []byte) bool {
	return len(command) >= dutyHeadBytes && len(command) != quarantineCommandBytes && command[versionBytes] == dutyCommandKind
}

// applyDuty applies a command of EncodeDutyCommand. The caller holds the lock.
func (m *StateMachine) applyDuty(command []byte) {
	if m.duties.Apply(command[dutyHeadBytes:]) {
		m.notify()
	}
}

// Duties returns the record of duties, and a channel that is closed at the next change of the
// state machine. The record's counts must not be modified.
func (m *StateMachine) Duties() (record duty.Record, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.duties.Clone(), m.changed
}

// appendDuties appends the duties' section of a snapshot, nothing while the record is zero: such a
// snapshot has the form that it had before there were duties.
func (m *StateMachine) appendDuties(snapshot []byte) []byte {
	if m.duties.IsZero() {
		return snapshot
	}
	snapshot = binary.BigEndian.AppendUint64(snapshot, quarantineSnapshotVersion)
	return m.duties.AppendSnapshot(binary.BigEndian.AppendUint32(snapshot, dutySnapshotParts))
}

// cutDuties decodes the duties' section of a snapshot and returns the rest of it. An error is a
// *CorruptError.
func cutDuties(snapshot []byte) (record duty.Record, rest []byte, err error) {
	if len(snapshot) < dutySectionBytes || binary.BigEndian.Uint64(snapshot) != quarantineSnapshotVersion ||
		binary.BigEndian.Uint32(snapshot[versionBytes:]) != dutySnapshotParts {
		return duty.Record{}, snapshot, nil
	}
	record, rest, ok := duty.CutSnapshot(snapshot[dutySectionBytes:])
	if !ok {
		return duty.Record{}, nil, &CorruptError{SizeBytes: len(snapshot)}
	}
	return record, rest, nil
}
