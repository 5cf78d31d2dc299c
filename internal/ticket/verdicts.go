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

// MarshalText writes the digest in hex.
func (d digest) MarshalText() ([]byte, error) { return []byte(hex.EncodeToString(d[:])), nil }

// UnmarshalText reads what MarshalText wrote.
func (d *digest) UnmarshalText(text []byte) error {
	if n, err := hex.Decode(d[:], text[:min(len(text), 2*len(d))]); err != nil || n != len(d) {
		return errors.WithStack(&DecodeError{Problems: []string{"digest is malformed"}})
	}
	return nil
}

// canonicalForm encodes a ticket so that one content has one digest.
func canonicalForm(t *Ticket) ([]byte, digest, error) {
	canonical, err := Encode(t)
	if err != nil {
		return nil, digest{}, errors.WithStack(err)
	}
	return canonical, sha256.Sum256(canonical), nil
}

// decision is the first verdict on a number.
type decision struct {
	Number   uint64     `json:"n"`
	Digest   digest     `json:"d"`
	Kind     pb.Verdict `json:"k"`
	Revision uint64     `json:"r,omitempty"`
}

// refusal holds the faults of a refused number.
type refusal struct {
	Number uint64  `json:"number"`
	Faults []Fault `json:"faults"`
}

// verdictTable holds decisions by number. Over its bound it forgets the
// lowest number and raises the floor to it: a number at or below the floor
// that is not in the table was or may have been decided.
type verdictTable struct {
	decisions  []decision // by number
	floor      uint64
	refusals   []refusal // by time
	faultCount int
}

func (v *verdictTable) search(number uint64) (int, bool) {
	return slices.BinarySearchFunc(v.decisions, number, func(d decision, n uint64) int {
		return cmp.Compare(d.Number, n)
	})
}

func (v *verdictTable) has(number uint64) bool {
	_, found := v.search(number)
	return found
}

func (v *verdictTable) find(number uint64) (decision, bool) {
	i, found := v.search(number)
	if !found {
		return decision{}, false
	}
	return v.decisions[i], true
}

func (v *verdictTable) add(d decision, faults []Fault) {
	i, _ := v.search(d.Number)
	v.decisions = slices.Insert(v.decisions, i, d)
	if extra := len(v.decisions) - maxVerdicts; extra > 0 {
		v.floor = v.decisions[extra-1].Number
		v.decisions = v.decisions[extra:]
	}
	if d.Kind != pb.Verdict_VERDICT_REFUSED {
		return
	}
	v.refusals = append(v.refusals, refusal{Number: d.Number, Faults: faults})
	v.faultCount += len(faults)
	for v.faultCount > maxKeptFaults && len(v.refusals) > 1 {
		v.faultCount -= len(v.refusals[0].Faults)
		v.refusals = v.refusals[1:]
	}
}

// faultsOf returns the faults of a refused number, or one that says that they
// are no longer kept.
func (v *verdictTable) faultsOf(number uint64) []Fault {
	for _, r := range v.refusals {
		if r.Number == number {
			return r.Faults
		}
	}
	return []Fault{{
		Object:  objectTicket,
		Problem: "refused before; its faults are no longer kept",
		Remedy:  "run `trefoilkeel ticket check` with a new number",
	}}
}
