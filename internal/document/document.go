// Package document is the state machine of a versioned document that operators
// replace whole: the highest version wins, and every valid one is acknowledged.
package document

import (
	"encoding/binary"
	"fmt"
	"sync"
)

// Machine holds the newest document. Its methods are safe for concurrent use;
// Apply, Snapshot and Restore are called by the replicated log.
type Machine struct {
	mu      sync.Mutex
	version uint64
	content []byte
	changed chan struct{} // closed at the next change
}

// New returns a machine without a document, which is version 0.
func New() *Machine { return &Machine{changed: make(chan struct{})} }

// CorruptError says that a command or snapshot can't be read.
type CorruptError struct {
	Bytes int
}

// Error gives the size.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("document: %d bytes are too few for a version", e.Bytes)
}

// versionBytes is the length of the version before the content.
const versionBytes = 8

// Command returns the command that puts a document.
func Command(version uint64, content []byte) []byte {
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, versionBytes+len(content)), version), content...)
}

// Apply keeps a document with a higher version than the present one and
// returns the version then present.
func (m *Machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(command) >= versionBytes {
		if version := binary.BigEndian.Uint64(command); version > m.version {
			m.set(version, command[versionBytes:])
		}
	}
	return binary.BigEndian.AppendUint64(nil, m.version)
}

// set replaces the document and wakes who waits for a change.
func (m *Machine) set(version uint64, content []byte) {
	m.version, m.content = version, content
	close(m.changed)
	m.changed = make(chan struct{})
}

// Snapshot returns the document as a command that puts it.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return Command(m.version, m.content), nil
}

// Restore replaces the document. The error is a *CorruptError.
func (m *Machine) Restore(snapshot []byte) error {
	if len(snapshot) < versionBytes {
		return &CorruptError{Bytes: len(snapshot)}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.set(binary.BigEndian.Uint64(snapshot), snapshot[versionBytes:])
	return nil
}

// Current returns the document, which must not be changed, and a channel that
// is closed when it is replaced.
func (m *Machine) Current() (version uint64, content []byte, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.version, m.content, m.changed
}
