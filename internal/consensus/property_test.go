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
	c := &faultCase{network: newNetwork(t, rates)}
	c.runFor(3 * time.Second)
	if c.activeLeader() == nil {
		t.Fatalf("no cluster was formed")
	}
	actions := []func(*rapid.T){
		c.deliverMessage, c.deliverMessage, c.dropMessage, c.advanceClocks, c.runWithoutNewFaults,
		c.runWithoutNewFaults, c.runWithoutNewFaults, c.completeOneWrite, c.stallDisk, c.proposeCommands,
		c.proposeCommands, c.proposeCommands, c.crashHost, c.restartAll, c.wipeHostDisk, c.snapshotHost,
		c.cutLink, c.cutLink, c.isolateHost, c.restoreLinks, c.repairAndRun, c.transferLeadership,
		c.addHost, c.removeHost,
	}
	t.Repeat(map[string]func(*rapid.T){
		"":    func(*rapid.T) { *steps++ },
		"any": func(t *rapid.T) { actions[drawUniform(t, len(actions), "action")](t) },
	})
	c.checkRecovery(t, c.wipes == 0 && !c.hostRemoved)
	totalCoverage.add(c.network)
}

func (c *faultCase) drawHost(t *rapid.T) *testHost {
	return c.hosts[drawUniform(t, len(c.hosts), "host")]
}

// drawMessage draws the index of a message in flight.
func (c *faultCase) drawMessage(t *rapid.T) int {
	if len(c.messages) == 0 {
		t.Skip("no message in flight")
	}
	return drawUniform(t, len(c.messages), "message")
}

func (c *faultCase) deliverMessage(t *rapid.T) {
	c.deliver(c.drawMessage(t), rapid.Bool().Draw(t, "duplicate"))
}

func (c *faultCase) dropMessage(t *rapid.T) {
	i := c.drawMessage(t)
	c.messages = append(c.messages[:i:i], c.messages[i+1:]...)
}

func (c *faultCase) advanceClocks(t *rapid.T) { c.advanceTime(drawMilliseconds(t, 1, 1500)) }

func (c *faultCase) runWithoutNewFaults(t *rapid.T) { c.runFor(drawMilliseconds(t, 20, 4000)) }

func (c *faultCase) completeOneWrite(t *rapid.T) { c.completeWrite(c.drawHost(t)) }

func (c *faultCase) stallDisk(t *rapid.T) { c.drawHost(t).diskStalled = true }

func (c *faultCase) proposeCommands(t *rapid.T) {
	host := c.drawHost(t)
	for range 1 + drawUniform(t, 20, "count") {
		if c.commandCount++; host.running {
			_ = c.propose(host, fmt.Sprint(c.commandCount))
		}
	}
}

func (c *faultCase) crashHost(t *rapid.T) { c.crash(c.drawHost(t)) }

func (c *faultCase) restartAll(*rapid.T) { c.startAll() }

// wipeHostDisk occasionally wipes a disk, if every other initial host has state.
func (c *faultCase) wipeHostDisk(t *rapid.T) {
	host := c.drawHost(t)
	for _, other := range c.hosts[:3] {
		if other != host && other.persisted.HardState.ClusterID == 0 {
			t.Skip("another disk is empty")
		}
	}
	if drawUniform(t, 4, "rare") == 0 {
		c.crash(host)
		c.wipeDisk(host)
	}
}

func (c *faultCase) snapshotHost(t *rapid.T) {
	if host := c.drawHost(t); host.running && host.appliedIndex > 0 {
		c.takeSnapshot(host, uint64(drawUniform(t, int(host.appliedIndex)+1, "compact")))
	}
}

func (c *faultCase) cutLink(t *rapid.T) {
	from, to := c.drawHost(t).id, c.drawHost(t).id
	c.cutLinks[[2]uint64{from, to}] = from != to
}

func (c *faultCase) isolateHost(t *rapid.T) { c.setIsolated(c.drawHost(t), true) }

func (c *faultCase) restoreLinks(*rapid.T) { clear(c.cutLinks) }

func (c *faultCase) repairAndRun(*rapid.T) {
	c.repairAll()
	c.runFor(3 * time.Second)
}

func (c *faultCase) transferLeadership(*rapid.T) {
	if leader := c.activeLeader(); leader != nil {
		_ = leader.node.TransferLeadership(c.localTime(leader), 0)
		c.processOutput(leader)
	}
}

func (c *faultCase) addHost(t *rapid.T) {
	c.changeMember(Member{ID: uint64(4 + drawUniform(t, 2, "id"))}, false)
}

func (c *faultCase) removeHost(t *rapid.T) {
	if drawUniform(t, 4, "rare") == 0 {
		c.hostRemoved = c.changeMember(Member{ID: c.drawHost(t).id}, true) || c.hostRemoved
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
		m := h.node.Status().Membership
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
	for _, m := range leader.node.Status().Membership.Members {
		h := net.hosts[m.ID-1]
		behind := h.appliedIndex != leader.appliedIndex || h.stateHash != leader.stateHash
		if behind && (allDisksKept || m.IsVoter) || allDisksKept && !m.IsVoter {
			t.Fatalf("host %d has not caught up: %d of %d", h.id, h.appliedIndex, leader.appliedIndex)
		}
	}
}
