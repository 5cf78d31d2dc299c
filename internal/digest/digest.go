// Package digest compares the copies of a replicated state by digests that all hosts take of it
// at the same log indexes.
package digest

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
)

// IntervalEntries is the number of log entries from one index of a digest to the next.
const IntervalEntries = 16

// IsAgreed reports whether hosts take a digest at a log index.
func IsAgreed(index uint64) bool { return index > 0 && index%IntervalEntries == 0 }

// Part is the canonical encoding of a part of the state, as chunks to be hashed one after the other.
type Part struct {
	Name   string
	Chunks [][]byte
}

// Sum is the beginning of the SHA-256 hash of a part.
type Sum uint64

// String returns the sum in hexadecimal.
func (s Sum) String() string { return fmt.Sprintf("%016x", uint64(s)) }

// Digest is the digest of a host's state after it has applied the entry at an index.
type Digest struct {
	Index  uint64
	Format uint32 // of the state's encoding; digests of different formats can't be compared
	Names  []string
	Sums   []Sum // one for each of Names
}

// Compute returns the digest of the parts of a state.
func Compute(index uint64, format uint32, parts []Part) Digest {
	d := Digest{Index: index, Format: format}
	for _, p := range parts {
		h := sha256.New()
		for _, chunk := range p.Chunks {
			_, _ = h.Write(chunk) // never fails
		}
		d.Names, d.Sums = append(d.Names, p.Name), append(d.Sums, Sum(binary.BigEndian.Uint64(h.Sum(nil))))
	}
	return d
}

// Difference is a part in which two digests differ.
type Difference struct {
	Part         string
	Sum, WantSum Sum
}

// Differences returns the parts in which sums differ from those of d; both have the same length.
func (d Digest) Differences(sums []Sum) []Difference {
	var differences []Difference
	for i, want := range d.Sums {
		if sums[i] != want {
			differences = append(differences, Difference{Part: d.Names[i], Sum: sums[i], WantSum: want})
		}
	}
	return differences
}
