package routing_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
)

// drawScenario makes a small overload with faults.
func drawScenario(t *rapid.T) scenario {
	s := scenario{name: "drawn", engines: rapid.IntRange(2, 5).Draw(t, "engines"), routers: rapid.IntRange(1, 3).Draw(t, "routers"),
		length: 5 * time.Second, lag: time.Duration(rapid.IntRange(1, 1500).Draw(t, "lag")) * time.Millisecond,
		classes: mix(0.3), trouble: 2500 * time.Millisecond}
	for i := range s.classes {
		c := &s.classes[i]
		c.patience /= 10
		c.burstFrom, c.burstTill = 1500*time.Millisecond, 4*time.Second
		c.burstRate = float64(rapid.IntRange(1, 60).Draw(t, "burst of "+c.name))
	}
	if rapid.Bool().Draw(t, "crash") {
		s.crash = []int{0}
	}
	if rapid.Bool().Draw(t, "slow") {
		s.slow = map[int]float64{1: 4}
	}
	return s
}

// watch checks the refusals of every queue as they happen.
func watch(t *rapid.T, w *world) {
	w.onActions = func(e *engineModel, actions []flow.Action) {
		for _, a := range actions {
			refuse, ok := a.(flow.Refuse)
			if !ok || refuse.Reason != flow.Overloaded {
				continue
			}
			tier := w.jobs[refuse.ID].request.Tier
			for _, load := range e.queue.Load(w.now).GetTiers() {
				if int(load.GetTier()) > tier && load.GetWaiting() > 0 {
					t.Fatalf("%s of tier %d was shed at %s while %d of tier %d waited: %v", refuse.ID, tier, e.name, load.GetWaiting(), load.GetTier(), actions)
				}
			}
		}
	}
	w.onRefused = func(j *job, reason flow.Reason) {
		if reason == flow.Busy {
			t.Fatalf("%s was told busy", j.request.ID)
		}
		if limit := j.request.StartBy.Add(3 * hop); !j.everStarted && w.now.After(limit) {
			t.Fatalf("%s was told not run %v after its patience", j.request.ID, w.now.Sub(j.request.StartBy))
		}
		for _, e := range w.engines {
			if reason == flow.Overloaded && !e.dead && !j.hasTried(e.name) {
				t.Fatalf("%s was shed without trying %s", j.request.ID, e.name)
			}
		}
	}
}

// TestWalkAndBudget: over several queues and routers, a shed reaches a caller
// only after every endpoint refused it and none of them had a lower tier
// waiting; everything ends in time; retries stay within the budget.
func TestWalkAndBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := full()
		p.flow.MaxWaiting = rapid.IntRange(2, 12).Draw(t, "max waiting")
		w := newWorld(drawScenario(t), p, rapid.Uint64().Draw(t, "seed"))
		watch(t, w)
		w.run()
		if len(w.violations) > 0 {
			t.Fatal(w.violations)
		}
		reserve := 3 * len(w.scenario.classes) * w.scenario.routers
		if limit := w.arrivals*110/100 + reserve; w.dispatched-w.preempted > limit {
			t.Fatalf("%d requests reached engines for %d arrivals, limit %d", w.dispatched-w.preempted, w.arrivals, limit)
		}
	})
}

// longBurst is a burst of the top class beyond capacity that outlasts the
// patience of the classes below three times.
func longBurst() scenario {
	s := base("burst-top-long")
	s.classes = burst(s.classes, "stage", 150, 5*time.Second, 60*time.Second)
	return s
}

// TestEveryClassKeepsFinishing: in a burst of any class, every class finishes
// some in each span as long as its patience.
func TestEveryClassKeepsFinishing(t *testing.T) {
	for _, s := range []scenario{scenarios()[1], longBurst()} {
		w := newWorld(s, full(), 1).run()
		for _, c := range s.classes {
			spans := map[time.Duration]int{}
			for _, at := range w.tallies[c.name].ends {
				spans[at/c.patience]++
			}
			for span := range s.length / c.patience {
				if spans[span] == 0 {
					t.Errorf("%s: nothing of %s finished in the span %d of %v", s.name, c.name, span, c.patience)
				}
			}
			t.Log(s.name, c.name, spans)
		}
	}
}
