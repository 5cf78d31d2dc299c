// Package document implements a replicated state machine that holds one versioned
// document. Operators replace it as a whole. The highest version wins; an older
// or equal one is acknowledged, but not stored. Beside the document it holds the prompt
// parts and requests that are quarantined, the record of the duties that one host holds, and that
// of the software versions that serve.
package document

import (
	"encoding/binary"
	"fmt"
	"math"
	"sync"

	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

// StateMachine holds the newest document. Its methods are safe for concurrent use. The
// replicated log calls Apply, Snapshot and Restore.
type StateMachine struct {
	mu         sync.Mutex
	version    uint64
	content    []byte
	quarantine map[uint64]QuarantinedPart // by part
	duties     duty.Record
	served     origin.Record
	changed    chan struct{} // closed at the next change
}

// New returns a state machine with an empty document of version 0.
func New() *StateMachine {
	return &StateMachine{quarantine: map[uint64]QuarantinedPart{}, changed: make(chan struct{})}
}

// CorruptError reports a snapshot that is too short for what it must contain.
type CorruptError struct {
	SizeBytes int
}

// Error includes the size.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("document: %d bytes are too few for a snapshot", e.SizeBytes)
}

// MaxVersion is the highest version of a document; a command with a higher one has no effect. The
// next number marks a section of a snapshot.
const MaxVersion = math.MaxUint64 - 1

// versionBytes is the size of the version that precedes the content.
const versionBytes = 8

// EncodeCommand encodes the command that stores a document.
func EncodeCommand(version uint64, content []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, versionBytes+len(content)), version), content...)
}

// Apply stores the document of a command if its version is higher than the current
// one, or changes
// the quarantine of a prompt part, the record of duties or that of the versions that serve. It
// returns the resulting version, encoded in big-endian order.
func (m *StateMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(command) >= versionBytes {
		switch version := binary.BigEndian.Uint64(command); {
		case version == quarantineCommandVersion && isDutyCommand(command):
			m.applyDuty(command)
		case version == quarantineCommandVersion && isServedCommand(command):
			m.applyServed(command)
		case version == quarantineCommandVersion:
			m.applyQuarantine(command)
		case version > m.version && version <= MaxVersion:
			m.replace(version, command[versionBytes:])
		}
	}
	return binary.BigEndian.AppendUint64(nil, m.version)
}

// replace stores a document and closes the channel changed. The caller holds the lock.
func (m *StateMachine) replace(version uint64, content []byte) {
	m.version, m.content = version, content
	m.notify()
}

// notify closes the channel changed. The caller holds the lock.
func (m *StateMachine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the records of duties and of versions that serve, and the quarantined parts, if there are any,
// and the encoded command that stores the current document.
func (m *StateMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append(m.appendQuarantine(m.appendServed(m.appendDuties(nil))), EncodeCommand(m.version, m.content)...), nil
}

// Restore replaces the document, the quarantined parts and the records by those of a
// snapshot. An error is a *CorruptError.
func (m *StateMachine) Restore(snapshot []byte) error {
	duties, snapshot, err := cutDuties(snapshot)
	if err != nil {
		return err
	}
	served, snapshot, err := cutServed(snapshot)
	if err != nil {
		return err
	}
	quarantine, snapshot, err := cutQuarantine(snapshot)
	if err != nil {
		return err
	}
	if len(snapshot) < versionBytes {
		return &CorruptError{SizeBytes: len(snapshot)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.quarantine, m.duties, m.served = quarantine, duties, served
	m.replace(binary.BigEndian.Uint64(snapshot), snapshot[versionBytes:])
	return nil
}

// Current returns the document, which must not be modified, and a channel that is
// closed at the next change of the state machine.
func (m *StateMachine) Current() (version uint64, content []byte, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.content, m.changed
}
