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
	cases     = 60
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

// uniform draws a number below limit. The library's own integers lean towards
// small ones, which would leave most hosts and actions out.
func uniform(t *rapid.T, limit int, label string) int {
	value := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 16, 16).Draw(t, label) {
		value *= 2
		if bit {
			value++
		}
	}
	return value % limit
}

// millis draws a time from least to most milliseconds.
func millis(t *rapid.T, least, most int) time.Duration {
	return time.Duration(least+uniform(t, most-least+1, "ms")) * time.Millisecond
}

// history is a case under way.
type history struct {
	*network
	command int
	removed bool
}

// runCase is one history.
func runCase(t *rapid.T, steps *int) {
	var rates []int64
	for range 5 {
		rates = append(rates, int64(1000-MaxClockDrift+uniform(t, 2*MaxClockDrift+1, "rate")))
	}
	h := &history{network: newNetwork(t, rates)}
	h.run(3 * time.Second)
	if h.holder() == nil {
		t.Fatalf("no cluster was formed")
	}
	actions := []func(*rapid.T){h.deliverOne, h.deliverOne, h.loseOne, h.wait, h.goOn, h.goOn, h.goOn, h.syncOne, h.stallOne,
		h.proposeSome, h.proposeSome, h.proposeSome, h.crashOne, h.restart, h.empty, h.snapshotOne, h.cutOne,
		h.cutOne, h.isolate, h.heal, h.calm, h.transfer, h.add, h.remove}
	t.Repeat(map[string]func(*rapid.T){
		"":    func(*rapid.T) { *steps++ },
		"any": func(t *rapid.T) { actions[uniform(t, len(actions), "action")](t) },
	})
	h.recover(t, h.wipes == 0 && !h.removed)
	covered.add(h.network)
}

func (h *history) host(t *rapid.T) *testHost { return h.hosts[uniform(t, len(h.hosts), "host")] }

// message draws one that is on the way.
func (h *history) message(t *rapid.T) int {
	if len(h.messages) == 0 {
		t.Skip("nothing on the way")
	}
	return uniform(t, len(h.messages), "message")
}

func (h *history) deliverOne(t *rapid.T) { h.deliver(h.message(t), rapid.Bool().Draw(t, "duplicate")) }

func (h *history) loseOne(t *rapid.T) {
	i := h.message(t)
	h.messages = append(h.messages[:i:i], h.messages[i+1:]...)
}

func (h *history) wait(t *rapid.T) { h.advance(millis(t, 1, 1500)) }

func (h *history) goOn(t *rapid.T) { h.run(millis(t, 20, 4000)) }

func (h *history) syncOne(t *rapid.T) { h.sync(h.host(t)) }

func (h *history) stallOne(t *rapid.T) { h.host(t).stalled = true }

func (h *history) proposeSome(t *rapid.T) {
	host := h.host(t)
	for range 1 + uniform(t, 20, "count") {
		if h.command++; host.up {
			_ = h.propose(host, fmt.Sprint(h.command))
		}
	}
}

func (h *history) crashOne(t *rapid.T) { h.crash(h.host(t)) }

func (h *history) restart(*rapid.T) { h.startAll() }

// empty wipes a disk now and then, while every other initial host has state.
func (h *history) empty(t *rapid.T) {
	host := h.host(t)
	for _, other := range h.hosts[:3] {
		if other != host && other.stored.Hard.Formation == 0 {
			t.Skip("another disk is empty")
		}
	}
	if uniform(t, 4, "rare") == 0 {
		h.crash(host)
		h.wipe(host)
	}
}

func (h *history) snapshotOne(t *rapid.T) {
	if host := h.host(t); host.up && host.applied > 0 {
		h.snapshot(host, uint64(uniform(t, int(host.applied)+1, "compact")))
	}
}

func (h *history) cutOne(t *rapid.T) {
	from, to := h.host(t).id, h.host(t).id
	h.cut[[2]uint64{from, to}] = from != to
}

func (h *history) isolate(t *rapid.T) { h.separate(h.host(t), true) }

func (h *history) heal(*rapid.T) { clear(h.cut) }

func (h *history) calm(*rapid.T) {
	h.mend()
	h.run(3 * time.Second)
}

func (h *history) transfer(*rapid.T) {
	if leader := h.holder(); leader != nil {
		_ = leader.node.Transfer(h.clock(leader), 0)
		h.pump(leader)
	}
}

func (h *history) add(t *rapid.T) { h.change(Member{ID: uint64(4 + uniform(t, 2, "id"))}, false) }

func (h *history) remove(t *rapid.T) {
	if uniform(t, 4, "rare") == 0 {
		h.removed = h.change(Member{ID: h.host(t).id}, true) || h.removed
	}
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

// intact reports whether every membership that any host holds still has a
// quorum of its registered disks.
func (w *network) intact() bool {
	for _, h := range w.hosts {
		m := h.node.View().Membership
		count := 0
		for _, member := range m.Members {
			if m.isVoter(member.ID, w.hosts[member.ID-1].disk) {
				count++
			}
		}
		if len(m.Members) > 0 && count < m.quorum() {
			return false
		}
	}
	return true
}

// recover checks that a cluster with a quorum of its disks goes on once the
// faults are over, and, if no disk was ever lost, on every host.
func (w *network) recover(t *rapid.T, whole bool) {
	w.mend()
	if !w.intact() {
		return
	}
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
		h := w.hosts[m.ID-1]
		behind := h.applied != leader.applied || h.state != leader.state
		if behind && (whole || m.Voter) || whole && !m.Voter {
			t.Fatalf("host %d stays behind at %d of %d", h.id, h.applied, leader.applied)
		}
	}
}
