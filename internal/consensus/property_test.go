package consensus

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Size of a run: at least minSteps, by cases of about caseSteps.
const (
	minSteps  = 10000
	caseSteps = 300
	cases     = 40
	// longVariable names the environment variable with the number of cases
	// of a longer run, each with a seed of its own.
	longVariable = "CONSENSUS_LONG_CASES"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", strconv.Itoa(cases))
	_ = flag.Set("rapid.steps", strconv.Itoa(caseSteps))
}

// TestProperties brings about any order of loss, duplication, delay,
// reordering, one-way cuts, crashes that lose unsynced writes, restarts,
// emptied disks, snapshots and membership changes.
func TestProperties(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) { runCase(t, &steps) })
	t.Logf("%d steps, %+v", steps, covered)
	if steps < minSteps {
		t.Fatalf("%d steps are fewer than %d", steps, minSteps)
	}
}

// TestPropertiesLong runs more cases, by `make test-long`.
func TestPropertiesLong(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv(longVariable))
	if err != nil {
		t.Skip("set " + longVariable + " to a number of cases")
	}
	steps := 0
	for first := uint64(time.Now().UnixNano()); count > 0; first++ {
		_ = flag.Set("rapid.seed", strconv.FormatUint(first, 10))
		t.Logf("seed %d", first)
		rapid.Check(t, func(t *rapid.T) { runCase(t, &steps) })
		count -= cases
	}
	t.Logf("%d steps, %+v", steps, covered)
}

// coverage counts what the histories have brought about.
type coverage struct {
	terms, commits, wipes, installs, changes int
}

var covered coverage

func (c *coverage) add(w *network) {
	c.terms += len(w.leaders)
	c.commits += len(w.committed)
	c.wipes += w.wipes
	c.installs += w.installs
	c.changes += w.changes
}

// runCase is one history.
func runCase(t *rapid.T, steps *int) {
	rate := rapid.Int64Range(1000-MaxClockDrift, 1000+MaxClockDrift)
	w := newNetwork(t, rapid.SliceOfN(rate, 5, 5).Draw(t, "rates"))
	w.run(3 * time.Second)
	if w.holder() == nil {
		t.Fatalf("no cluster was formed")
	}
	host := func(t *rapid.T) *testHost { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
	message := func(t *rapid.T) int {
		if len(w.messages) == 0 {
			t.Skip("nothing on the way")
		}
		return rapid.IntRange(0, len(w.messages)-1).Draw(t, "message")
	}
	command, removed := 0, false
	t.Repeat(map[string]func(*rapid.T){
		"":          func(*rapid.T) { *steps++ },
		"deliver":   func(t *rapid.T) { w.deliver(message(t), false) },
		"duplicate": func(t *rapid.T) { w.deliver(message(t), true) },
		"lose": func(t *rapid.T) {
			i := message(t)
			w.messages = append(w.messages[:i:i], w.messages[i+1:]...)
		},
		"wait": func(t *rapid.T) {
			w.advance(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		},
		"run": func(t *rapid.T) {
			w.run(time.Duration(rapid.IntRange(100, 4000).Draw(t, "ms")) * time.Millisecond)
		},
		"sync": func(t *rapid.T) { w.sync(host(t)) },
		"propose": func(t *rapid.T) {
			h := host(t)
			for range rapid.IntRange(1, 20).Draw(t, "count") {
				if command++; h.up {
					_ = w.propose(h, fmt.Sprint(command))
				}
			}
		},
		"crash":   func(t *rapid.T) { host(t).up = false },
		"restart": func(*rapid.T) { w.startAll() },
		"empty": func(t *rapid.T) {
			h := host(t)
			if rapid.IntRange(0, 3).Draw(t, "rare") > 0 {
				t.Skip("rare")
			}
			for _, other := range w.hosts[:3] {
				if other != h && other.stored.Hard.Formation == 0 {
					t.Skip("another disk is empty")
				}
			}
			h.up = false
			w.wipe(h)
		},
		"snapshot": func(t *rapid.T) {
			h := host(t)
			if h.up && h.applied > 0 {
				w.snapshot(h, rapid.Uint64Range(0, h.applied).Draw(t, "compact"))
			}
		},
		"cut": func(t *rapid.T) {
			from, to := host(t).id, host(t).id
			w.cut[[2]uint64{from, to}] = from != to
		},
		"isolate": func(t *rapid.T) { w.separate(host(t), true) },
		"heal":    func(*rapid.T) { clear(w.cut) },
		"calm": func(*rapid.T) {
			clear(w.cut)
			w.startAll()
			w.run(3 * time.Second)
		},
		"transfer": func(t *rapid.T) {
			if h := w.holder(); h != nil {
				_ = h.node.Transfer(w.clock(h), 0)
				w.pump(h)
			}
		},
		"add": func(t *rapid.T) { w.change(Member{ID: rapid.Uint64Range(4, 5).Draw(t, "id")}, false) },
		"remove": func(t *rapid.T) {
			removed = w.change(Member{ID: host(t).id}, true) || removed
		},
	})
	if w.wipes == 0 && !removed {
		w.recover(t)
	}
	covered.add(w)
}

// change proposes a membership change at the leader.
func (w *network) change(m Member, remove bool) bool {
	h := w.holder()
	if h == nil {
		return false
	}
	_, _, err := h.node.ChangeMember(w.clock(h), m, remove)
	w.pump(h)
	return err == nil
}

// recover checks that a cluster whose disks are whole goes on once the
// faults are over, with everything that was acknowledged on every host.
func (w *network) recover(t *rapid.T) {
	clear(w.cut)
	w.startAll()
	w.run(20 * time.Second)
	leader := w.holder()
	if leader == nil {
		t.Fatalf("no leader after the faults")
	}
	if err := w.propose(leader, "last"); err != nil {
		t.Fatalf("no command is taken after the faults: %v", err)
	}
	w.run(2 * time.Second)
	for _, m := range leader.node.View().Membership.Members {
		if h := w.hosts[m.ID-1]; h.applied != leader.applied || h.state != leader.state || !m.Voter {
			t.Fatalf("host %d stays behind at %d of %d", h.id, h.applied, leader.applied)
		}
	}
}
