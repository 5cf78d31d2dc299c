package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"hash"
	"strconv"

	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
)

// fingerprint identifies what a request asks for, on all hosts alike: requests of the same
// workspace with the same method, host, path, query and body have the same one, whatever their
// IDs.
func fingerprint(r *Request) uint64 {
	h := sha256.New()
	for _, field := range []string{r.Workspace, r.Method, r.Host, r.RequestURI} {
		// The lengths keep fields apart whose bytes would run together.
		writeNumber(h, uint64(len(field)))
		_, _ = h.Write([]byte(field)) // a hash returns no error
	}
	_, _ = h.Write(r.Body)
	return quarantine.RequestKey(binary.BigEndian.Uint64(h.Sum(nil)))
}

func writeNumber(h hash.Hash, n uint64) {
	_, _ = h.Write(binary.BigEndian.AppendUint64(nil, n))
}

// formatKey formats a fingerprint or the ID of a prompt part.
func formatKey(key uint64) string { return strconv.FormatUint(key, 16) }

// maxRememberedFingerprints limits each half of a fingerprintMemory.
const maxRememberedFingerprints = 4096

// fingerprintMemory remembers at least the newest maxRememberedFingerprints fingerprints. It is not
// safe for concurrent use.
type fingerprintMemory struct {
	newer, older map[uint64]bool
}

// add adds a fingerprint and reports whether it was remembered already.
func (m *fingerprintMemory) add(f uint64) bool {
	known := m.newer[f] || m.older[f]
	if m.newer == nil || len(m.newer) >= maxRememberedFingerprints {
		m.newer, m.older = map[uint64]bool{}, m.newer
	}
	m.newer[f] = true
	return known
}
