package ticket

import (
	"testing"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// A ticket whose number was evicted must be stale rather than decided again. The
// test adds more verdicts and faults than the table keeps.
func TestEvictedNumbersAreStale(t *testing.T) {
	var v verdictTable
	const evicted = 100
	for number := uint64(1); number <= maxRecordedVerdicts+evicted; number++ {
		v.add(recordedVerdict{Number: number, Kind: pb.Verdict_VERDICT_REFUSED}, make([]Fault, 3))
	}
	if len(v.recorded) != maxRecordedVerdicts || v.highestEvicted != evicted || v.contains(evicted) || !v.contains(evicted+1) {
		t.Fatalf("%d recorded verdicts, highest evicted number %d", len(v.recorded), v.highestEvicted)
	}
	if v.faultCount > maxStoredFaults || len(v.faultsOf(maxRecordedVerdicts)) != 3 || len(v.faultsOf(evicted+1)) != 1 {
		t.Fatalf("%d faults are stored", v.faultCount)
	}
	store := NewStore()
	store.verdicts = v
	encoded, err := Encode(&Ticket{Number: evicted, Author: "desk"})
	if err != nil {
		t.Fatal(err)
	}
	if got := store.Submit(encoded, 1).Kind; got != pb.Verdict_VERDICT_STALE {
		t.Fatalf("verdict %v for an evicted number, want stale", got)
	}
}
