package retry

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

// Over any outcomes: what may run once is never sent again after it may have
// run; nothing runs on more endpoints than allowed; and the caller hears that a
// request did not run only if it did not.
func TestDecisions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a := Attempts{Repeatable: rapid.Bool().Draw(t, "repeatable"), MaxRuns: rapid.IntRange(1, 3).Draw(t, "runs"),
			Left: 4 * time.Second}
		for range 12 {
			outcome := rapid.SampledFrom([]Outcome{Answered, NotSent, NotRun, Errored, Unknown}).Draw(t, "outcome")
			switch outcome {
			case NotSent, NotRun:
				a.Refused++
			default:
				a.Runs++
			}
			next := a.Decide(outcome)
			if a.Runs > a.MaxRuns {
				t.Fatalf("ran %d times of %d", a.Runs, a.MaxRuns)
			}
			switch {
			case next == Decline && a.Runs > 0:
				t.Fatal("says that it did not run though it may have")
			case next == GiveUp && a.Runs == 0:
				t.Fatal("is uncertain about a request that did not run")
			case next == Again && a.Runs > 0 && !a.Repeatable:
				t.Fatal("sent again though it may have run")
			}
			if next != Again {
				return
			}
			a.Left -= 300 * time.Millisecond
		}
		t.Fatal("tried for ever")
	})
}

func TestNoTimeLeft(t *testing.T) {
	g := NewWithT(t)
	a := Attempts{Repeatable: true, MaxRuns: 3, Left: 20 * time.Millisecond, Refused: 1}
	g.Expect(a.Decide(NotRun)).To(Equal(Decline))
	a.Runs = 1
	g.Expect(a.Decide(Unknown)).To(Equal(GiveUp))
	g.Expect(a.Decide(Errored)).To(Equal(PassOn))
}

// fleetBounds are those of a shared budget.
const (
	ratio   = 0.2
	reserve = 58
	window  = 10 * time.Second
)

// At any number of entries that come, go and learn of each other late, under
// any load: no window holds more attempts beyond the first than the share of its
// requests and the reserve.
func TestBudgetIsSharedByAllEntries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now, start := time.Unix(1000, 0), time.Unix(1000, 0)
		known := rapid.IntRange(2, 8).Draw(t, "entries")
		var entries []*Budget
		for range known {
			entries = append(entries, NewBudget(ratio, reserve, window, known))
		}
		type moment struct {
			at              time.Duration
			request, repeat bool
		}
		var history []moment
		load := rapid.IntRange(1, 40).Draw(t, "requests a step")
		eager := rapid.IntRange(1, 100).Draw(t, "percent that fail")
		for step := range 600 {
			now = now.Add(50 * time.Millisecond)
			if step == 200 && rapid.Bool().Draw(t, "one more") {
				// The others hear of it late; it begins with the right number.
				entries = append(entries, NewBudget(ratio, reserve, window, len(entries)+1))
			}
			for i := range load {
				b := entries[(step*7+i)%len(entries)]
				b.Request(now, "s")
				history = append(history, moment{now.Sub(start), true, false})
				if (step*31+i*17)%100 < eager && b.Take(now, "s") {
					history = append(history, moment{now.Sub(start), false, true})
				}
			}
		}
		first, requests, repeats := 0, 0, 0
		for _, m := range history {
			if m.repeat {
				repeats++
			} else {
				requests++
			}
			for history[first].at < m.at-window {
				if history[first].repeat {
					repeats--
				} else {
					requests--
				}
				first++
			}
			if float64(repeats) > ratio*float64(requests)+reserve {
				t.Fatalf("%d repeats for %d requests in a window", repeats, requests)
			}
		}
	})
}

// A wave of failures in a fleet at rest: the reserve is there to be used.
func TestReserveIsUsable(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1000, 0)
	b := NewBudget(ratio, reserve, window, 3)
	taken := 0
	for b.Take(now, "s") {
		taken++
	}
	g.Expect(taken).To(BeNumerically(">=", 5))
	g.Expect(b.Take(now.Add(window), "s")).To(BeTrue())
	g.Expect(b.Take(now, "other")).To(BeTrue(), "each service has its own")
}
