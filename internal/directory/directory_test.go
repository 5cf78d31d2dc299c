package directory

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// rapidSeed makes every run draw the same cases; a flag overrides it.
const rapidSeed = "20261203"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

var epoch = time.Unix(1_800_000_000, 0)

// report is one endpoint's report at an address of its own.
func report(id string, born int64, sequence uint64, state State) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: id + ":1", Domain: "a", Slots: 4, State: state, Born: born, Sequence: sequence, HeardAt: epoch}
}

// Reports may come late, twice and in any order, over any number of hosts: who
// has heard all of them holds the same.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var reports []Endpoint
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			reports = append(reports, report("x", rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 4).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Ready, Silent, Draining, Gone}).Draw(t, "state")))
		}
		here, there := New(), New()
		for _, r := range reports {
			here.Put(r)
		}
		for _, r := range append(rapid.Permutation(reports).Draw(t, "order"), reports[0]) {
			there.Put(r)
		}
		a, _ := here.Get("x")
		b, _ := there.Get("x")
		if a.Born != b.Born || a.State != b.State || a.State != Gone && a.Sequence != b.Sequence {
			t.Fatalf("%+v is not %+v", a, b)
		}
	})
}

func TestIncarnations(t *testing.T) {
	g := NewWithT(t)
	d := New()
	g.Expect(d.Put(report("x", 5, 7, Ready))).To(BeTrue())
	g.Expect(d.Put(report("x", 5, 8, Ready))).To(BeFalse(), "only the time changed")
	g.Expect(d.Leave("x", 0, epoch)).To(BeTrue())
	g.Expect(d.Put(report("x", 5, 9, Ready))).To(BeFalse(), "a late report of one that left")
	g.Expect(d.Put(report("x", 6, 1, Ready))).To(BeTrue(), "started again under its id, counting anew")
	g.Expect(d.Put(report("x", 5, 10, Draining))).To(BeFalse(), "a late report of the life before")
	e, _ := d.Get("x")
	g.Expect(e.State).To(Equal(Ready))
}

// An address that was given to another endpoint is the one's that was born
// last, whichever report comes first.
func TestAddressesAreUsedAgain(t *testing.T) {
	for _, lateFirst := range []bool{false, true} {
		g := NewWithT(t)
		d := New()
		old, young := report("old", 5, 9, Ready), report("young", 6, 1, Ready)
		young.Address, young.Service = old.Address, "other"
		if lateFirst {
			d.Put(young)
			g.Expect(d.Put(old)).To(BeFalse())
		} else {
			d.Put(old)
			d.Put(young)
			gone, _ := d.Get("old")
			g.Expect(gone.State).To(Equal(Gone))
		}
		e, _ := d.Get("young")
		g.Expect(e.State).To(Equal(Ready))
	}
}

func TestSilence(t *testing.T) {
	g := NewWithT(t)
	d := New()
	d.Put(report("x", 1, 3, Ready))
	g.Expect(d.Expire(epoch.Add(SilentAfter))).To(BeFalse())
	g.Expect(d.Expire(epoch.Add(SilentAfter + time.Second))).To(BeTrue())
	e, _ := d.Get("x")
	g.Expect(e.State).To(Equal(Silent))
	again := report("x", 1, 4, Ready)
	again.HeardAt = epoch.Add(10 * time.Second)
	g.Expect(d.Put(again)).To(BeTrue())
	d.Leave("x", 1, epoch.Add(11*time.Second))
	d.Expire(epoch.Add(12*time.Second + ForgetAfter))
	g.Expect(d.Len()).To(BeZero())
}

// A follower that asks for what changed since its last revision misses nothing.
func TestSince(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d, copied, revision := New(), map[string]State{}, uint64(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			id := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "id")
			d.Put(report(id, rapid.Int64Range(1, 3).Draw(t, "born"), rapid.Uint64Range(1, 9).Draw(t, "sequence"),
				rapid.SampledFrom([]State{Ready, Draining, Gone}).Draw(t, "state")))
			if rapid.Bool().Draw(t, "ask") {
				var changed []Endpoint
				changed, revision = d.Since(revision)
				for _, e := range changed {
					copied[e.ID] = e.State
				}
				for id, state := range copied {
					if e, _ := d.Get(id); e.State != state {
						t.Fatalf("%s is %v, the follower has %v", id, e.State, state)
					}
				}
			}
		}
	})
}
