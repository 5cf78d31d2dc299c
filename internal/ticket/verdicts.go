package ticket

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"slices"

	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// digest is the SHA-256 of a ticket's canonical form.
type digest [sha256.Size]byte

// MarshalText encodes the digest in hex.
func (d digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText decodes the output of MarshalText.
func (d *digest) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(d[:], text[:min(len(text), 2*len(d))]); err != nil || n != len(d) {
		return errors.WithStack(&DecodeError{Problems: []string{"digest is malformed"}})
	}
	return nil
}

// canonicalForm returns the ticket's canonical form and its digest. Tickets with
// equal content have equal digests.
func canonicalForm(t *Ticket) ([]byte, digest, error) {
	canonical, err := Encode(t)
	if err != nil {
		return nil, digest{}, errors.WithStack(err)
	}
	return canonical, sha256.Sum256(canonical), nil
}

// recordedVerdict is the verdict on a ticket number, with the digest of its ticket.
// The faults of a refused ticket are kept in a refusal, and for fewer tickets.
type recordedVerdict struct {
	Number   uint64     `json:"n"`
	Digest   digest     `json:"d"`
	Kind     pb.Verdict `json:"k"`
	Revision uint64     `json:"r,omitempty"`
}

// refusal holds the faults of a refused ticket.
type refusal struct {
	Number uint64  `json:"number"`
	Faults []Fault `json:"faults"`
}

// verdictTable holds the recorded verdicts by ticket number. When it is full, it
// evicts the lowest number. A number up to highestEvicted that is not in the table
// may have been decided.
type verdictTable struct {
	recorded       []recordedVerdict // sorted by number
	highestEvicted uint64
	refusals       []refusal // oldest first
	faultCount     int
}

func (v *verdictTable) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(v.recorded, number, func(r recordedVerdict, n uint64) int {
		return cmp.Compare(r.Number, n)
	})
}

func (v *verdictTable) contains(number uint64) bool {
	_, found := v.search(number)
	return found
}

func (v *verdictTable) find(number uint64) (recordedVerdict, bool) {
	i, found := v.search(number)
	if !found {
		return recordedVerdict{}, false
	}
	return v.recorded[i], true
}

func (v *verdictTable) add(r recordedVerdict, faults []Fault) {
	i, _ := v.search(r.Number)
	v.recorded = slices.Insert(v.recorded, i, r)
	if excess := len(v.recorded) - maxRecordedVerdicts; excess > 0 {
		v.highestEvicted = v.recorded[excess-1].Number
		v.recorded = v.recorded[excess:]
	}
	if r.Kind != pb.Verdict_VERDICT_REFUSED {
		return
	}
	v.refusals = append(v.refusals, refusal{Number: r.Number, Faults: faults})
	v.faultCount += len(faults)
	for v.faultCount > maxStoredFaults && len(v.refusals) > 1 {
		v.faultCount -= len(v.refusals[0].Faults)
		v.refusals = v.refusals[1:]
	}
}

// faultsOf returns the faults of a refused ticket, or a fault saying that they are
// no longer kept.
func (v *verdictTable) faultsOf(number uint64) []Fault {
	for _, r := range v.refusals {
		if r.Number == number {
			return r.Faults
		}
	}
	return []Fault{{
		Object:  wholeTicket,
		Problem: "refused before; its faults are no longer kept",
		Remedy:  "run `trefoilkeel ticket check` with a new number",
	}}
}
