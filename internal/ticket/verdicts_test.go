package ticket

import (
	"testing"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// TestForgottenNumbersAreStale fills the table over its bounds.
func TestForgottenNumbersAreStale(t *testing.T) {
	var v verdictTable
	const extra = 100
	for n := uint64(1); n <= maxVerdicts+extra; n++ {
		v.add(decision{Number: n, Kind: pb.Verdict_VERDICT_REFUSED}, make([]Fault, 3))
	}
	if len(v.decisions) != maxVerdicts || v.floor != extra || v.has(extra) || !v.has(extra+1) {
		t.Fatalf("%d decisions, floor %d", len(v.decisions), v.floor)
	}
	if v.faultCount > maxKeptFaults || len(v.faultsOf(maxVerdicts)) != 3 || len(v.faultsOf(extra+1)) != 1 {
		t.Fatalf("%d faults are kept", v.faultCount)
	}
	book := NewBook()
	book.verdicts = v
	encoded, err := Encode(&Ticket{Number: extra, Author: "desk"})
	if err != nil {
		t.Fatal(err)
	}
	if got := book.Submit(encoded, 1).Kind; got != pb.Verdict_VERDICT_STALE {
		t.Fatalf("a forgotten number was answered %v", got)
	}
}
