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

// A run has caseCount cases of about caseSteps steps, at least minSteps in total.
const (
	minSteps  = 10000
	caseSteps = 300
	caseCount = 60
	// longCasesVariable is the environment variable with the number of cases of a
	// longer run, in batches that each have their own seed.
	longCasesVariable = "CONSENSUS_LONG_CASES"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", strconv.Itoa(caseCount))
	_ = flag.Set("rapid.steps", strconv.Itoa(caseSteps))
}

// TestProperties checks safety, and recovery once the faults end, under random
// message loss, duplication, delay, reordering, one-way partitions, crashes that
// lose unsynced writes, restarts, wiped disks, snapshots and membership changes.
func TestProperties(t *testing.T) {
	steps := 0
	rapid.Check(t, func(t *rapid.T) { runCase(t, &steps) })
	t.Logf("%d steps, %+v", steps, totalCoverage)
	if steps < minSteps {
		t.Fatalf("%d steps are fewer than %d", steps, minSteps)
	}
}

// TestPropertiesLong runs more cases for `make test-long`.
func TestPropertiesLong(t *testing.T) {
	casesLeft, err := strconv.Atoi(os.Getenv(longCasesVariable))
	if err != nil {
		t.Skip("set " + longCasesVariable + " to a number of cases")
	}
	steps := 0
	for seed := uint64(time.Now().UnixNano()); casesLeft > 0; seed++ {
		_ = flag.Set("rapid.seed", strconv.FormatUint(seed, 10))
		t.Logf("seed %d", seed)
		rapid.Check(t, func(t *rapid.T) { runCase(t, &steps) })
		casesLeft -= caseCount
	}
	t.Logf("%d steps, %+v", steps, totalCoverage)
}

// coverage counts the events in the cases.
type coverage struct {
	terms, commits, wipes, snapshotInstalls, membershipChanges int
}

var totalCoverage coverage

func (c *coverage) add(net *network) {
	c.terms += len(net.leaderDiskByTerm)
	c.commits += len(net.stateByIndex)
	c.wipes += net.wipes
	c.snapshotInstalls += net.snapshotInstalls
	c.membershipChanges += net.membershipChanges
}

// drawUniform draws a number below limit. rapid's own integers are biased
// towards small ones, which would leave out most hosts and actions.
func drawUniform(t *rapid.T, limit int, label string) int {
	value := 0
	for _, bit := range rapid.SliceOfN(rapid.Bool(), 16, 16).Draw(t, label) {
		value *= 2
		if bit {
			value++
		}
	}
	return value % limit
}

// drawMilliseconds draws a duration of minMS to maxMS milliseconds.
func drawMilliseconds(t *rapid.T, minMS, maxMS int) time.Duration {
	return time.Duration(minMS+drawUniform(t, maxMS-minMS+1, "ms")) * time.Millisecond
}

// faultCase is a random test case in progress.
type faultCase struct {
	*network
	commandCount int
	hostRemoved  bool
}

// runCase runs a network of five hosts through random faults and then checks its
// recovery.
func runCase(t *rapid.T, steps *int) {
	var rates []int64
	for range 5 {
		rates = append(rates, int64(1000-MaxClockDriftPerMille+drawUniform(t, 2*MaxClockDriftPerMille+1, "rate")))
	}
	h := &faultCase{network: newNetwork(t, rates)}
	h.runFor(3 * time.Second)
	if h.activeLeader() == nil {
		t.Fatalf("no cluster was formed")
	}
	actions := []func(*rapid.T){
		h.deliverMessage, h.deliverMessage, h.dropMessage, h.advanceClocks, h.runWithoutNewFaults,
		h.runWithoutNewFaults, h.runWithoutNewFaults, h.completeOneWrite, h.stallDisk, h.proposeCommands,
		h.proposeCommands, h.proposeCommands, h.crashHost, h.restartAll, h.wipeHostDisk, h.snapshotHost,
		h.cutLink, h.cutLink, h.isolateHost, h.restoreLinks, h.repairAndRun, h.transferLeadership,
		h.addHost, h.removeHost,
	}
	t.Repeat(map[string]func(*rapid.T){
		"":    func(*rapid.T) { *steps++ },
		"any": func(t *rapid.T) { actions[drawUniform(t, len(actions), "action")](t) },
	})
	h.checkRecovery(t, h.wipes == 0 && !h.hostRemoved)
	totalCoverage.add(h.network)
}

func (h *faultCase) drawHost(t *rapid.T) *testHost {
	return h.hosts[drawUniform(t, len(h.hosts), "host")]
}

// drawMessage draws the index of a message in flight.
func (h *faultCase) drawMessage(t *rapid.T) int {
	if len(h.messages) == 0 {
		t.Skip("no message in flight")
	}
	return drawUniform(t, len(h.messages), "message")
}

func (h *faultCase) deliverMessage(t *rapid.T) {
	h.deliver(h.drawMessage(t), rapid.Bool().Draw(t, "duplicate"))
}

func (h *faultCase) dropMessage(t *rapid.T) {
	i := h.drawMessage(t)
	h.messages = append(h.messages[:i:i], h.messages[i+1:]...)
}

func (h *faultCase) advanceClocks(t *rapid.T) { h.advanceTime(drawMilliseconds(t, 1, 1500)) }

func (h *faultCase) runWithoutNewFaults(t *rapid.T) { h.runFor(drawMilliseconds(t, 20, 4000)) }

func (h *faultCase) completeOneWrite(t *rapid.T) { h.completeWrite(h.drawHost(t)) }

func (h *faultCase) stallDisk(t *rapid.T) { h.drawHost(t).diskStalled = true }

func (h *faultCase) proposeCommands(t *rapid.T) {
	host := h.drawHost(t)
	for range 1 + drawUniform(t, 20, "count") {
		if h.commandCount++; host.running {
			_ = h.propose(host, fmt.Sprint(h.commandCount))
		}
	}
}

func (h *faultCase) crashHost(t *rapid.T) { h.crash(h.drawHost(t)) }

func (h *faultCase) restartAll(*rapid.T) { h.startAll() }

// wipeHostDisk occasionally wipes a disk, if every other initial host has state.
func (h *faultCase) wipeHostDisk(t *rapid.T) {
	host := h.drawHost(t)
	for _, other := range h.hosts[:3] {
		if other != host && other.persisted.Hard.ClusterID == 0 {
			t.Skip("another disk is empty")
		}
	}
	if drawUniform(t, 4, "rare") == 0 {
		h.crash(host)
		h.wipeDisk(host)
	}
}

func (h *faultCase) snapshotHost(t *rapid.T) {
	if host := h.drawHost(t); host.running && host.appliedIndex > 0 {
		h.takeSnapshot(host, uint64(drawUniform(t, int(host.appliedIndex)+1, "compact")))
	}
}

func (h *faultCase) cutLink(t *rapid.T) {
	from, to := h.drawHost(t).id, h.drawHost(t).id
	h.cutLinks[[2]uint64{from, to}] = from != to
}

func (h *faultCase) isolateHost(t *rapid.T) { h.setIsolated(h.drawHost(t), true) }

func (h *faultCase) restoreLinks(*rapid.T) { clear(h.cutLinks) }

func (h *faultCase) repairAndRun(*rapid.T) {
	h.repairAll()
	h.runFor(3 * time.Second)
}

func (h *faultCase) transferLeadership(*rapid.T) {
	if leader := h.activeLeader(); leader != nil {
		_ = leader.node.TransferLeadership(h.localTime(leader), 0)
		h.processOutput(leader)
	}
}

func (h *faultCase) addHost(t *rapid.T) {
	h.changeMember(Member{ID: uint64(4 + drawUniform(t, 2, "id"))}, false)
}

func (h *faultCase) removeHost(t *rapid.T) {
	if drawUniform(t, 4, "rare") == 0 {
		h.hostRemoved = h.changeMember(Member{ID: h.drawHost(t).id}, true) || h.hostRemoved
	}
}

// changeMember proposes a membership change at the leader.
func (net *network) changeMember(m Member, remove bool) bool {
	h := net.activeLeader()
	if h == nil {
		return false
	}
	_, _, err := h.node.ChangeMember(net.localTime(h), m, remove)
	net.processOutput(h)
	return err == nil
}

// hasQuorumOfDisks reports whether each host's newest membership still has a quorum
// of voters with their registered disks.
func (net *network) hasQuorumOfDisks() bool {
	for _, h := range net.hosts {
		m := h.node.View().Membership
		count := 0
		for _, member := range m.Members {
			if m.isVoter(member.ID, net.hosts[member.ID-1].diskID) {
				count++
			}
		}
		if len(m.Members) > 0 && count < m.quorumSize() {
			return false
		}
	}
	return true
}

// checkRecovery checks that a cluster with a quorum of its disks accepts commands
// after the faults and that its voters catch up. If no disk was wiped and no host
// removed, every member must be a voter and catch up.
func (net *network) checkRecovery(t *rapid.T, allDisksKept bool) {
	net.repairAll()
	if !net.hasQuorumOfDisks() {
		return
	}
	net.runFor(20 * time.Second)
	leader := net.activeLeader()
	if leader == nil {
		t.Fatalf("no leader after the faults")
	}
	if err := net.propose(leader, "last"); err != nil {
		t.Fatalf("command rejected after the faults: %v", err)
	}
	net.runFor(2 * time.Second)
	for _, m := range leader.node.View().Membership.Members {
		h := net.hosts[m.ID-1]
		behind := h.appliedIndex != leader.appliedIndex || h.stateHash != leader.stateHash
		if behind && (allDisksKept || m.IsVoter) || allDisksKept && !m.IsVoter {
			t.Fatalf("host %d has not caught up: %d of %d", h.id, h.appliedIndex, leader.appliedIndex)
		}
	}
}
