package consensus

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// openNetworkSize is the number of hosts that find each other through three seed
// hosts.
const openNetworkSize = 6

// newOpenNetwork starts a network that admits unknown hosts. Its hosts are configured
// with the seed hosts 1 to 3 only. Those in ephemeral lose their log when their
// process ends.
func newOpenNetwork(t testFailer, rates []int64, ephemeral map[uint64]bool) *network {
	return newConfiguredNetwork(t, rates, func(h *testHost, cfg *Config) {
		cfg.AdmitUnknownHosts, cfg.MinVoters, cfg.Ephemeral, cfg.DisableLease = true, 3, ephemeral[h.id], true
		cfg.Bootstrap = h.id <= 3 && isFirstStart(h)
	})
}

func isFirstStart(h *testHost) bool {
	return h.diskID == 1000*h.id && h.persisted.HardState.ClusterID == 0
}

func equalClockRates(count int) []int64 {
	rates := make([]int64, count)
	for i := range rates {
		rates[i] = 1000
	}
	return rates
}

// endProcess stops a host; an ephemeral one loses its data folder.
func (net *network) endProcess(h *testHost, ephemeral map[uint64]bool) {
	net.crash(h)
	if ephemeral[h.id] {
		h.persisted = PersistedState{}
		h.diskID++
	}
}

// voterIDs returns the IDs of the voters in the newest membership of a host.
func voterIDs(h *testHost) []uint64 {
	var ids []uint64
	for _, m := range h.node.Status().Membership.Members {
		if m.IsVoter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

var _ = ginkgo.Describe("hosts with three seed hosts", func() {
	ginkgo.DescribeTable("form one cluster in which the persistent hosts vote",
		func(ephemeral map[uint64]bool, want []uint64) {
			net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), ephemeral)
			net.runFor(8 * time.Second)
			leader := net.activeLeader()
			Expect(leader).NotTo(BeNil())
			Expect(voterIDs(leader)).To(Equal(want))
			Expect(leader.node.Status().Membership.Members).To(HaveLen(openNetworkSize))
			Expect(net.propose(leader, "x")).To(Succeed())
			net.runFor(time.Second)
			for _, h := range net.hosts {
				Expect(h.appliedIndex).To(Equal(leader.appliedIndex), "host %d", h.id)
			}
		},
		ginkgo.Entry("all are persistent", map[uint64]bool{}, []uint64{1, 2, 3, 4, 5, 6}),
		ginkgo.Entry("every second one is ephemeral", map[uint64]bool{2: true, 4: true, 6: true}, []uint64{1, 3, 5}),
		ginkgo.Entry("the bootstrapping host is ephemeral", map[uint64]bool{1: true, 2: true, 6: true}, []uint64{3, 4, 5}),
		ginkgo.Entry("all seed hosts are ephemeral", map[uint64]bool{1: true, 2: true, 3: true}, []uint64{4, 5, 6}),
	)

	ginkgo.It("demote a voter that stays unreachable, and promote it again if it returns", func() {
		ephemeral := map[uint64]bool{2: true, 6: true}
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), ephemeral)
		net.runFor(8 * time.Second)
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{1, 3, 4, 5}))
		lost := net.hosts[0]
		net.endProcess(lost, ephemeral)
		net.runFor(15 * time.Second)
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{3, 4, 5}))
		net.start(lost)
		net.runFor(5 * time.Second)
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{1, 3, 4, 5}))
	})

	ginkgo.It("keep a silent voter while fewer than MinVoters others are reachable", func() {
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), map[uint64]bool{2: true, 4: true, 6: true})
		net.runFor(8 * time.Second)
		net.crash(net.hosts[4])
		net.runFor(15 * time.Second)
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{1, 3, 5}))
	})

	ginkgo.It("remove an ephemeral host after a long silence", func() {
		ephemeral := map[uint64]bool{2: true, 4: true, 6: true}
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), ephemeral)
		net.runFor(8 * time.Second)
		net.endProcess(net.hosts[5], ephemeral)
		net.runFor(20 * time.Second)
		Expect(net.activeLeader().node.Status().Membership.Members).To(HaveLen(openNetworkSize - 1))
	})

	ginkgo.It("readmit an ephemeral host that was only partitioned", func() {
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), map[uint64]bool{2: true, 4: true, 6: true})
		net.runFor(8 * time.Second)
		net.setIsolated(net.hosts[5], true)
		net.runFor(20 * time.Second)
		Expect(net.activeLeader().node.Status().Membership.Members).To(HaveLen(openNetworkSize - 1))
		net.setIsolated(net.hosts[5], false)
		net.runFor(8 * time.Second)
		Expect(net.activeLeader().node.Status().Membership.Members).To(HaveLen(openNetworkSize))
		Expect(net.hosts[5].appliedIndex).To(Equal(net.activeLeader().appliedIndex))
	})

	ginkgo.It("remove a persistent host after a longer silence, and readmit it with its disk", func() {
		ephemeral := map[uint64]bool{2: true, 6: true}
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), ephemeral)
		net.runFor(8 * time.Second)
		lost := net.hosts[0]
		net.crash(lost)
		net.runFor((removePersistentElectionTimeouts + 10) * DefaultElectionTimeout)
		Expect(net.activeLeader().node.Status().Membership.Members).To(HaveLen(openNetworkSize - 1))
		net.start(lost)
		net.runFor(10 * time.Second)
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{1, 3, 4, 5}))
		Expect(lost.appliedIndex).To(Equal(net.activeLeader().appliedIndex))
	})

	// All hosts lose power, one voter its disk too. The new leader has had no reply of the lost folders, and
	// must not wait for one.
	ginkgo.It("readmit hosts with new folders within an election timeout after a loss of power of all", func() {
		ephemeral := map[uint64]bool{2: true, 4: true, 6: true}
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), ephemeral)
		net.runFor(8 * time.Second)
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{1, 3, 5}))
		for _, h := range net.hosts {
			net.endProcess(h, ephemeral)
		}
		net.wipeDisk(net.hosts[0])
		net.messages = nil // lost with the connections
		net.runFor(time.Second)
		net.startAll()
		for net.activeLeader() == nil {
			net.runFor(10 * time.Millisecond)
		}
		net.runFor(DefaultElectionTimeout)
		for _, h := range net.hosts {
			Expect(h.appliedIndex).To(BeNumerically(">", 0), "host %d", h.id)
		}
		net.runFor(DefaultElectionTimeout)
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{1, 3, 5}))
	})

	ginkgo.It("never bootstrap a second cluster from a wiped disk", func() {
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), map[uint64]bool{2: true, 4: true, 6: true})
		net.runFor(8 * time.Second)
		clusterID := net.activeLeader().node.Status().ClusterID
		bootstrapHost := net.hosts[0]
		net.crash(bootstrapHost)
		net.wipeDisk(bootstrapHost)
		net.runFor(4 * time.Second)
		net.start(bootstrapHost)
		net.runFor(8 * time.Second)
		Expect(bootstrapHost.node.Status().ClusterID).To(Equal(clusterID))
		Expect(voterIDs(net.activeLeader())).To(Equal([]uint64{1, 3, 5}))
	})
})

var _ = ginkgo.Describe("elections after all hosts have restarted", func() {
	ginkgo.It("end in the first round and within one election timeout, since each voter has its own slot", func() {
		net := newOpenNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), map[uint64]bool{2: true, 4: true, 6: true})
		net.runFor(8 * time.Second)
		term := net.activeLeader().node.Status().Term
		for range 20 {
			for _, h := range net.hosts {
				net.crash(h)
			}
			net.messages = nil // messages in flight are lost with the connections
			net.startAll()
			net.runFor(DefaultElectionTimeout)
			Expect(net.activeLeader()).NotTo(BeNil())
			next := net.activeLeader().node.Status().Term
			Expect(next).To(Equal(term + 1))
			term = next
		}
	})
})

// pendingRead is a read that a quorum has not confirmed yet.
type pendingRead struct {
	host        *testHost
	term        uint64
	index       uint64
	requestedAt time.Duration
	minIndex    uint64 // newest index acknowledged before the read began
}

// openCase is a random test case over hosts that join through seed hosts.
type openCase struct {
	*faultCase
	ephemeralIDs   map[uint64]bool
	pendingReads   []pendingRead
	confirmedReads int
}

// beginReads starts a read at every host that accepts one.
func (c *openCase) beginReads(*rapid.T) {
	for _, host := range c.hosts {
		if !host.running {
			continue
		}
		if index, at, err := host.node.ReadIndex(c.localTime(host)); err == nil {
			c.pendingReads = append(c.pendingReads, pendingRead{host, host.node.Status().Term, index, at, c.observedIndex})
			c.processOutput(host)
		}
	}
}

// checkReads checks the reads that are confirmed now, and drops those that no
// longer can be.
func (c *openCase) checkReads(t *rapid.T) {
	var stillPending []pendingRead
	for _, r := range c.pendingReads {
		if !r.host.running || r.host.node.Status().Term != r.term {
			continue
		}
		at, ok := r.host.node.LastQuorumContact()
		if !ok {
			continue
		}
		if at < r.requestedAt {
			stillPending = append(stillPending, r)
			continue
		}
		if c.confirmedReads++; r.index < r.minIndex {
			t.Fatalf("a confirmed read shows %d after %d was acknowledged", r.index, r.minIndex)
		}
	}
	c.pendingReads = stillPending
}

func (c *openCase) endHostProcess(t *rapid.T) { c.endProcess(c.drawHost(t), c.ephemeralIDs) }

// wipeVoterDisk occasionally wipes the disk of a persistent host, if all persistent
// hosts vote.
func (c *openCase) wipeVoterDisk(t *rapid.T) {
	leader := c.activeLeader()
	if leader == nil {
		t.Skip("no leader")
	}
	persistentVoters := 0
	for _, m := range leader.node.Status().Membership.Members {
		if other := c.hosts[m.ID-1]; m.IsVoter && other.running && other.diskID == m.DiskID && other.persisted.HardState.ClusterID != 0 {
			persistentVoters++
		}
	}
	victim := c.drawHost(t)
	if persistentVoters < openNetworkSize-len(c.ephemeralIDs) || c.ephemeralIDs[victim.id] || drawUniform(t, 4, "rare") != 0 {
		t.Skip("not every disk is in use")
	}
	c.crash(victim)
	c.wipeDisk(victim)
	c.runFor(3 * time.Second) // a second disk is wiped only after the first host is back
	c.repairAll()
	c.runFor(8 * time.Second)
}

// checkNoEphemeralVoter checks that no ephemeral host votes once enough others do.
func (c *openCase) checkNoEphemeralVoter(t *rapid.T) {
	leader := c.activeLeader()
	if leader == nil {
		t.Fatalf("no leader after the faults ended")
	}
	for _, id := range voterIDs(leader) {
		if c.ephemeralIDs[id] {
			t.Fatalf("ephemeral host %d votes", id)
		}
	}
}

// runOpenCase runs hosts that join through seed hosts through random faults and
// reads.
func runOpenCase(t *rapid.T, steps *int, confirmed *int) {
	var rates []int64
	for range openNetworkSize {
		rates = append(rates, int64(1000-MaxClockDriftPerMille+drawUniform(t, 2*MaxClockDriftPerMille+1, "rate")))
	}
	c := &openCase{ephemeralIDs: map[uint64]bool{}}
	for len(c.ephemeralIDs) < openNetworkSize-3 {
		c.ephemeralIDs[uint64(1+drawUniform(t, openNetworkSize, "ephemeral"))] = true
	}
	c.faultCase = &faultCase{network: newOpenNetwork(t, rates, c.ephemeralIDs)}
	c.runFor(10 * time.Second)
	c.checkNoEphemeralVoter(t)
	actions := []func(*rapid.T){
		c.deliverMessage, c.dropMessage, c.advanceClocks, c.runWithoutNewFaults, c.runWithoutNewFaults,
		c.runWithoutNewFaults, c.completeOneWrite, c.stallDisk, c.proposeCommands, c.proposeCommands,
		c.proposeCommands, c.endHostProcess, c.restartAll, c.wipeVoterDisk, c.snapshotHost, c.cutLink,
		c.isolateHost, c.restoreLinks, c.repairAndRun, c.transferLeadership, c.beginReads, c.beginReads,
		c.beginReads,
	}
	t.Repeat(map[string]func(*rapid.T){
		"":    func(t *rapid.T) { *steps++; c.checkReads(t) },
		"any": func(t *rapid.T) { actions[drawUniform(t, len(actions), "action")](t) },
	})
	c.repairAll()
	c.runFor(12 * time.Second)
	c.checkNoEphemeralVoter(t)
	leader := c.activeLeader()
	if err := c.propose(leader, "last"); err != nil {
		t.Fatalf("command rejected after recovery: %v", err)
	}
	c.runFor(3 * time.Second)
	for _, host := range c.hosts {
		if host.appliedIndex != leader.appliedIndex {
			t.Fatalf("host %d applied %d, the leader %d", host.id, host.appliedIndex, leader.appliedIndex)
		}
	}
	*confirmed += c.confirmedReads
}

// TestOpenNetworkProperties checks the same properties as TestProperties for
// hosts that join through seed hosts, some of them ephemeral, and for confirmed
// reads.
func TestOpenNetworkProperties(t *testing.T) {
	steps, confirmed := 0, 0
	rapid.Check(t, func(t *rapid.T) { runOpenCase(t, &steps, &confirmed) })
	t.Logf("%d steps, %d confirmed reads", steps, confirmed)
	if steps < minSteps || confirmed == 0 {
		t.Fatalf("%d steps and %d confirmed reads are too few", steps, confirmed)
	}
}

// clusterIDs returns the clusters that the data folders of the hosts belong to, without 0.
func (net *network) clusterIDs() map[uint64]bool {
	ids := map[uint64]bool{}
	for _, h := range net.hosts {
		if id := h.node.Status().ClusterID; id != 0 {
			ids[id] = true
		}
	}
	return ids
}

func membersWithIDs(ids ...uint64) []Member {
	var members []Member
	for _, id := range ids {
		members = append(members, Member{ID: id})
	}
	return members
}

// Guards against a second cluster, and against none, where the hosts disagree about the list of those that form it.
var _ = ginkgo.Describe("hosts that differ in their initial members", func() {
	start := func(listOf map[uint64][]Member) *network {
		return newConfiguredNetwork(ginkgo.GinkgoT(), equalClockRates(openNetworkSize), func(h *testHost, cfg *Config) {
			cfg.AdmitUnknownHosts, cfg.MinVoters, cfg.DisableLease = true, 3, true
			cfg.Bootstrap = listOf[h.id] != nil && isFirstStart(h)
			cfg.InitialMembers, cfg.JoinMembers = listOf[h.id], listOf[h.id]
			if listOf[h.id] == nil {
				cfg.JoinMembers = membersWithIDs(1, 2)
			}
		})
	}

	ginkgo.It("form one cluster, with the host that both lists name", func() {
		former, latter := membersWithIDs(1, 2, 3), membersWithIDs(2, 4, 5)
		net := start(map[uint64][]Member{1: former, 2: latter, 3: former, 4: latter, 5: latter})
		net.runFor(8 * time.Second)
		Expect(net.clusterIDs()).To(HaveLen(1))
		Expect(net.activeLeader().node.Status().Membership.Members).To(HaveLen(openNetworkSize))
	})

	ginkgo.It("form one cluster though the hosts to join through were exchanged before", func() {
		initial := membersWithIDs(1, 2, 3)
		net := start(map[uint64][]Member{1: initial, 2: initial, 3: initial})
		for _, h := range net.hosts[:3] {
			h.node.SetJoinMembers(membersWithIDs(4, 5, 6))
		}
		net.runFor(8 * time.Second)
		Expect(net.clusterIDs()).To(HaveLen(1))
		Expect(net.activeLeader().node.Status().Membership.Members).To(HaveLen(openNetworkSize))
	})

	ginkgo.It("form none without any initial member", func() {
		net := start(map[uint64][]Member{1: {}})
		net.runFor(8 * time.Second)
		Expect(net.clusterIDs()).To(BeEmpty())
	})
})
