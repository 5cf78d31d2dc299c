package document

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
)

// QuarantineChange is what a command does to the quarantine of a prompt part.
type QuarantineChange uint8

// Changes of a quarantine.
const (
	Quarantine QuarantineChange = iota + 1 // keep the part from endpoints
	Release                                // the time of the quarantine is over; the offence is remembered
	Exonerate                              // endpoints serve the part; nothing is remembered
)

// MaxQuarantinedParts limits the parts whose quarantine is stored, past ones included.
const MaxQuarantinedParts = 256

// QuarantinedPart is the state of a prompt part that is or was quarantined.
type QuarantinedPart struct {
	Part     uint64
	Active   bool
	Offences uint32 // how often it was quarantined
}

// Commands and snapshots with quarantined parts begin with a version that no document has: its
// version is not 0, and not the highest number.
const (
	quarantineCommandVersion  = 0
	quarantineSnapshotVersion = math.MaxUint64
	quarantineCommandBytes    = versionBytes + 1 + 8
	quarantineRecordBytes     = 8 + 1 + 4
)

// EncodeQuarantineCommand encodes the command that changes the quarantine of a part.
func EncodeQuarantineCommand(change QuarantineChange, part uint64) []byte {
	command := binary.BigEndian.AppendUint64(make([]byte, 0, quarantineCommandBytes), quarantineCommandVersion)
	return binary.BigEndian.AppendUint64(append(command, byte(change)), part)
}

// applyQuarantine applies a command of EncodeQuarantineCommand. The caller holds the lock.
func (m *StateMachine) applyQuarantine(command []byte) {
	if len(command) != quarantineCommandBytes {
		return
	}
	change, part := QuarantineChange(command[versionBytes]), binary.BigEndian.Uint64(command[versionBytes+1:])
	state, known := m.quarantine[part]
	switch {
	case change == Quarantine && !state.Active:
		if !known && !m.makeQuarantineRoom() {
			return
		}
		m.quarantine[part] = QuarantinedPart{Part: part, Active: true, Offences: state.Offences + 1}
	case change == Release && state.Active:
		state.Active = false
		m.quarantine[part] = state
	case change == Exonerate && known:
		delete(m.quarantine, part)
	default:
		return
	}
	m.notify()
}

// makeQuarantineRoom forgets a past quarantine if there is no room for another part. It
// reports whether there is room. All hosts must choose the same part.
func (m *StateMachine) makeQuarantineRoom() bool {
	if len(m.quarantine) < MaxQuarantinedParts {
		return true
	}
	for _, state := range m.sortedQuarantine() {
		if !state.Active {
			delete(m.quarantine, state.Part)
			return true
		}
	}
	return false
}

// Quarantined returns the parts that are or were quarantined, in order of their IDs, and a
// channel that is closed at the next change of the state machine.
func (m *StateMachine) Quarantined() (parts []QuarantinedPart, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sortedQuarantine(), m.changed
}

// sortedQuarantine requires the lock.
func (m *StateMachine) sortedQuarantine() []QuarantinedPart {
	parts := make([]QuarantinedPart, 0, len(m.quarantine))
	for _, state := range m.quarantine {
		parts = append(parts, state)
	}
	slices.SortFunc(parts, func(a, b QuarantinedPart) int { return cmp.Compare(a.Part, b.Part) })
	return parts
}

// appendQuarantine appends the quarantined parts of a snapshot, nothing if there are none: such a
// snapshot has the form that it had before parts were quarantined.
func (m *StateMachine) appendQuarantine(snapshot []byte) []byte {
	if len(m.quarantine) == 0 {
		return snapshot
	}
	snapshot = binary.BigEndian.AppendUint64(snapshot, quarantineSnapshotVersion)
	snapshot = binary.BigEndian.AppendUint32(snapshot, uint32(len(m.quarantine)))
	for _, state := range m.sortedQuarantine() {
		active := byte(0)
		if state.Active {
			active = 1
		}
		snapshot = append(binary.BigEndian.AppendUint64(snapshot, state.Part), active)
		snapshot = binary.BigEndian.AppendUint32(snapshot, state.Offences)
	}
	return snapshot
}

// cutQuarantine decodes the quarantined parts of a snapshot and returns the rest of it. An error
// is a *CorruptError.
func cutQuarantine(snapshot []byte) (quarantine map[uint64]QuarantinedPart, rest []byte, err error) {
	quarantine = map[uint64]QuarantinedPart{}
	if len(snapshot) < versionBytes || binary.BigEndian.Uint64(snapshot) != quarantineSnapshotVersion {
		return quarantine, snapshot, nil
	}
	rest = snapshot[versionBytes:]
	if len(rest) < 4 {
		return nil, nil, &CorruptError{SizeBytes: len(snapshot)}
	}
	count := int(binary.BigEndian.Uint32(rest))
	rest = rest[4:]
	if count > MaxQuarantinedParts || len(rest) < count*quarantineRecordBytes {
		return nil, nil, &CorruptError{SizeBytes: len(snapshot)}
	}
	for range count {
		part := binary.BigEndian.Uint64(rest)
		quarantine[part] = QuarantinedPart{Part: part, Active: rest[8] == 1, Offences: binary.BigEndian.Uint32(rest[9:])}
		rest = rest[quarantineRecordBytes:]
	}
	return quarantine, rest, nil
}
