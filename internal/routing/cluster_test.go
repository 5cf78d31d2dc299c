package routing_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
)

// drawScenario draws a short overload, with or without a crashed and a slow engine.
func drawScenario(t *rapid.T) scenario {
	s := scenario{name: "drawn", engines: rapid.IntRange(2, 5).Draw(t, "engines"), routers: rapid.IntRange(1, 3).Draw(t, "routers"),
		duration: 5 * time.Second, loadLag: time.Duration(rapid.IntRange(1, 1500).Draw(t, "lag")) * time.Millisecond,
		classes: rallyDeskClasses(0.3), faultAt: 2500 * time.Millisecond}
	for i := range s.classes {
		c := &s.classes[i]
		c.patience /= 10
		c.burstFrom, c.burstUntil = 1500*time.Millisecond, 4*time.Second
		c.burstRatePerSecond = float64(rapid.IntRange(1, 60).Draw(t, "burst of "+c.name))
	}
	if rapid.Bool().Draw(t, "crash") {
		s.crashedEngines = []int{0}
	}
	if rapid.Bool().Draw(t, "slow") {
		s.slowdowns = map[int]float64{1: 4}
	}
	return s
}

// checkRefusals installs checks that run on every refusal by a queue or to a
// caller.
func checkRefusals(t *rapid.T, sim *simulation) {
	sim.onActions = func(e *simEngine, actions []flow.Action) {
		for _, a := range actions {
			refuse, ok := a.(flow.Refuse)
			if !ok || refuse.Reason != flow.Overloaded {
				continue
			}
			tier := sim.jobs[refuse.ID].request.Tier
			for _, load := range e.queue.Load(sim.now).GetTiers() {
				if int(load.GetTier()) > tier && load.GetWaiting() > 0 {
					t.Fatalf("%s of tier %d was shed at %s while %d of tier %d waited: %v", refuse.ID, tier, e.name, load.GetWaiting(), load.GetTier(), actions)
				}
			}
		}
	}
	sim.onRefused = func(j *job, reason flow.Reason) {
		if reason == flow.Busy {
			t.Fatalf("the caller of %s got a busy refusal", j.request.ID)
		}
		if limit := j.request.StartBy.Add(3 * networkDelay); !j.everStarted && sim.now.After(limit) {
			t.Fatalf("%s was refused as not run %v after its patience ended", j.request.ID, sim.now.Sub(j.request.StartBy))
		}
		for _, e := range sim.engines {
			if reason == flow.Overloaded && !e.crashed && !j.hasTried(e.name) {
				t.Fatalf("%s was shed without trying %s", j.request.ID, e.name)
			}
		}
	}
}

// TestShedsOnlyWhenEveryEndpointRefuses guards against shedding a request while
// another endpoint would take it or while a lower tier waits. It also checks that
// every request ends in time and that retries stay within the budget.
func TestShedsOnlyWhenEveryEndpointRefuses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := fullPolicy()
		p.flow.MaxWaiting = rapid.IntRange(2, 12).Draw(t, "max waiting")
		sim := newSimulation(drawScenario(t), p, rapid.Uint64().Draw(t, "seed"))
		checkRefusals(t, sim)
		sim.run()
		if len(sim.violations) > 0 {
			t.Fatal(sim.violations)
		}
		initialRetries := 3 * len(sim.scenario.classes) * sim.scenario.routers
		if limit := sim.arrivals*110/100 + initialRetries; sim.dispatched-sim.preempted > limit {
			t.Fatalf("%d requests reached engines for %d arrivals, limit %d", sim.dispatched-sim.preempted, sim.arrivals, limit)
		}
	})
}

// longBurst is a 55-second burst of the top class above capacity. It lasts more
// than three times as long as the patience of the next class.
func longBurst() scenario {
	s := baseScenario("burst-top-long")
	s.classes = withBurst(s.classes, "stage", 150, 5*time.Second, 60*time.Second)
	return s
}

// TestEveryClassKeepsFinishing guards against starvation: during a burst, every
// class must finish requests in each interval as long as its patience.
func TestEveryClassKeepsFinishing(t *testing.T) {
	for _, s := range []scenario{scenarios()[1], longBurst()} {
		sim := newSimulation(s, fullPolicy(), 1).run()
		for _, c := range s.classes {
			spans := map[time.Duration]int{}
			for _, at := range sim.stats[c.name].finishTimes {
				spans[at/c.patience]++
			}
			for span := range s.duration / c.patience {
				if spans[span] == 0 {
					t.Errorf("%s: no request of %s finished in interval %d of %v", s.name, c.name, span, c.patience)
				}
			}
			t.Log(s.name, c.name, spans)
		}
	}
}
