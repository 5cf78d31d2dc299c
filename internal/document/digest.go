package document

import (
	"bytes"
	"encoding/binary"

	"github.com/trefoilkeel/trefoilkeel/internal/digest"
)

// digestFormat is the version of the encoding of DigestParts and of what commands do to the state.
// A build in which either differs must have another one: its copies can't be compared.
const digestFormat = 1

// Names of the parts.
const (
	documentPart   = "document"
	quarantinePart = "quarantine"
	dutiesPart     = "duties"
	servedPart     = "served versions"
)

// SnapshotOf returns the snapshot of the state that has the parts of DigestParts.
func (m *StateMachine) SnapshotOf(parts []digest.Part) []byte {
	var snapshot []byte
	for _, name := range []string{dutiesPart, servedPart, quarantinePart, documentPart} {
		for _, p := range parts {
			if p.Name == name {
				snapshot = append(snapshot, bytes.Join(p.Chunks, nil)...)
			}
		}
	}
	return snapshot
}

// DigestParts returns the canonical encoding of the state, and the version of its format. The
// content of the document is not copied.
func (m *StateMachine) DigestParts() (format uint32, parts []digest.Part) {
	m.mu.Lock()
	defer m.mu.Unlock()
	version := binary.BigEndian.AppendUint64(nil, m.version)
	return digestFormat, []digest.Part{
		{Name: documentPart, Chunks: [][]byte{version, m.content}},
		{Name: quarantinePart, Chunks: [][]byte{m.appendQuarantine(nil)}},
		{Name: dutiesPart, Chunks: [][]byte{m.appendDuties(nil)}},
		{Name: servedPart, Chunks: [][]byte{m.appendServed(nil)}},
	}
}
