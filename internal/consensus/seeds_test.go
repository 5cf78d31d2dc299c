package consensus

import (
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// seedHosts is how many hosts find each other through three seeds, of which a
// few have no disk.
const seedHosts = 6

// openSystem is hosts 1 to 6 that know the seeds 1 to 3 only; those in
// ephemeral lose their log with their process.
func openSystem(t failer, rates []int64, ephemeral map[uint64]bool) *network {
	return newNetworkOf(t, rates, func(h *testHost, cfg *Config) {
		cfg.Open, cfg.MinVoters, cfg.Ephemeral, cfg.Leaseless = true, 3, ephemeral[h.id], true
		cfg.Bootstrap = h.id <= 3 && firstStart(h)
	})
}

// firstStart reports whether a host starts for the first time.
func firstStart(h *testHost) bool { return h.disk == 1000*h.id && h.stored.Hard.Formation == 0 }

// evenRates are clocks that agree.
func evenRates(count int) []int64 {
	rates := make([]int64, count)
	for i := range rates {
		rates[i] = 1000
	}
	return rates
}

// end ends a host's process; a host without a disk loses everything.
func (w *network) end(h *testHost, ephemeral map[uint64]bool) {
	w.crash(h)
	if ephemeral[h.id] {
		h.stored = Stored{}
		h.disk++
	}
}

// voters returns the ids of the voters in the newest membership of a host.
func voters(h *testHost) []uint64 {
	var ids []uint64
	for _, m := range h.node.View().Membership.Members {
		if m.Voter {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

var _ = ginkgo.Describe("hosts that know three seeds", func() {
	ginkgo.DescribeTable("form one cluster in which the hosts with a disk vote",
		func(ephemeral map[uint64]bool, want []uint64) {
			w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), ephemeral)
			w.run(8 * time.Second)
			leader := w.holder()
			Expect(leader).NotTo(BeNil())
			Expect(voters(leader)).To(Equal(want))
			Expect(leader.node.View().Membership.Members).To(HaveLen(seedHosts))
			Expect(w.propose(leader, "x")).To(Succeed())
			w.run(time.Second)
			for _, h := range w.hosts {
				Expect(h.applied).To(Equal(leader.applied), "host %d", h.id)
			}
		},
		ginkgo.Entry("all have one", map[uint64]bool{}, []uint64{1, 2, 3, 4, 5, 6}),
		ginkgo.Entry("every other one has none", map[uint64]bool{2: true, 4: true, 6: true}, []uint64{1, 3, 5}),
		ginkgo.Entry("the founder has none", map[uint64]bool{1: true, 2: true, 6: true}, []uint64{3, 4, 5}),
		ginkgo.Entry("no seed has one", map[uint64]bool{1: true, 2: true, 3: true}, []uint64{4, 5, 6}),
	)

	ginkgo.It("replace a voter that is gone for good, and take it back if it returns", func() {
		ephemeral := map[uint64]bool{2: true, 6: true}
		w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), ephemeral)
		w.run(8 * time.Second)
		Expect(voters(w.holder())).To(Equal([]uint64{1, 3, 4, 5}))
		gone := w.hosts[0]
		w.end(gone, ephemeral)
		w.run(15 * time.Second)
		Expect(voters(w.holder())).To(Equal([]uint64{3, 4, 5}))
		w.start(gone)
		w.run(5 * time.Second)
		Expect(voters(w.holder())).To(Equal([]uint64{1, 3, 4, 5}))
	})

	ginkgo.It("keep a silent voter while no more than the least number are left", func() {
		w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), map[uint64]bool{2: true, 4: true, 6: true})
		w.run(8 * time.Second)
		w.crash(w.hosts[4])
		w.run(15 * time.Second)
		Expect(voters(w.holder())).To(Equal([]uint64{1, 3, 5}))
	})

	ginkgo.It("forget a host without a disk that is long silent", func() {
		ephemeral := map[uint64]bool{2: true, 4: true, 6: true}
		w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), ephemeral)
		w.run(8 * time.Second)
		w.end(w.hosts[5], ephemeral)
		w.run(20 * time.Second)
		Expect(w.holder().node.View().Membership.Members).To(HaveLen(seedHosts - 1))
	})

	ginkgo.It("take back a host without a disk that was only cut off", func() {
		w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), map[uint64]bool{2: true, 4: true, 6: true})
		w.run(8 * time.Second)
		w.separate(w.hosts[5], true)
		w.run(20 * time.Second)
		Expect(w.holder().node.View().Membership.Members).To(HaveLen(seedHosts - 1))
		w.separate(w.hosts[5], false)
		w.run(8 * time.Second)
		Expect(w.holder().node.View().Membership.Members).To(HaveLen(seedHosts))
		Expect(w.hosts[5].applied).To(Equal(w.holder().applied))
	})

	ginkgo.It("forget a host that is gone for good, and take it back with its disk", func() {
		ephemeral := map[uint64]bool{2: true, 6: true}
		w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), ephemeral)
		w.run(8 * time.Second)
		gone := w.hosts[0]
		w.crash(gone)
		w.run((forgetLasting + 10) * DefaultElectionTimeout)
		Expect(w.holder().node.View().Membership.Members).To(HaveLen(seedHosts - 1))
		w.start(gone)
		w.run(10 * time.Second)
		Expect(voters(w.holder())).To(Equal([]uint64{1, 3, 4, 5}))
		Expect(gone.applied).To(Equal(w.holder().applied))
	})

	ginkgo.It("never found a second cluster with an emptied disk", func() {
		w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), map[uint64]bool{2: true, 4: true, 6: true})
		w.run(8 * time.Second)
		formation := w.holder().node.View().Formation
		founder := w.hosts[0]
		w.crash(founder)
		w.wipe(founder)
		w.run(4 * time.Second)
		w.start(founder)
		w.run(8 * time.Second)
		Expect(founder.node.View().Formation).To(Equal(formation))
		Expect(voters(w.holder())).To(Equal([]uint64{1, 3, 5}))
	})
})

var _ = ginkgo.Describe("elections after all hosts have restarted", func() {
	ginkgo.It("end in the first round and within one election timeout, since the voters take turns", func() {
		w := openSystem(ginkgo.GinkgoT(), evenRates(seedHosts), map[uint64]bool{2: true, 4: true, 6: true})
		w.run(8 * time.Second)
		term := w.holder().node.View().Term
		for range 20 {
			for _, h := range w.hosts {
				w.crash(h)
			}
			w.messages = nil // what was on the way is lost with the connections
			w.startAll()
			w.run(DefaultElectionTimeout)
			Expect(w.holder()).NotTo(BeNil())
			next := w.holder().node.View().Term
			Expect(next).To(Equal(term + 1))
			term = next
		}
	})
})

// reading is a read that waits for its confirmation.
type reading struct {
	host  *testHost
	term  uint64
	index uint64
	at    time.Duration
	least uint64 // newest index acknowledged before it began
}

// seedHistory is a case over hosts that know seeds.
type seedHistory struct {
	*history
	ephemeral map[uint64]bool
	reads     []reading
	confirmed int
}

// read begins a confirmed read wherever a host takes one.
func (h *seedHistory) read(*rapid.T) {
	for _, host := range h.hosts {
		if !host.up {
			continue
		}
		if index, at, err := host.node.Confirm(h.clock(host)); err == nil {
			h.reads = append(h.reads, reading{host, host.node.View().Term, index, at, h.observed})
			h.pump(host)
		}
	}
}

// settle checks the reads that are confirmed by now, and drops the others that
// can't be any more.
func (h *seedHistory) settle(t *rapid.T) {
	var open []reading
	for _, r := range h.reads {
		if !r.host.up || r.host.node.View().Term != r.term {
			continue
		}
		at, ok := r.host.node.Confirmed()
		if !ok {
			continue
		}
		if at < r.at {
			open = append(open, r)
			continue
		}
		if h.confirmed++; r.index < r.least {
			t.Fatalf("a confirmed read shows %d after %d was acknowledged", r.index, r.least)
		}
	}
	h.reads = open
}

// crashSome ends a process.
func (h *seedHistory) crashSome(t *rapid.T) { h.end(h.host(t), h.ephemeral) }

// emptyOne wipes the disk of a voter while every other lasting host votes.
func (h *seedHistory) emptyOne(t *rapid.T) {
	leader := h.holder()
	if leader == nil {
		t.Skip("no leader")
	}
	lasting := 0
	for _, m := range leader.node.View().Membership.Members {
		if other := h.hosts[m.ID-1]; m.Voter && other.up && other.disk == m.Disk && other.stored.Hard.Formation != 0 {
			lasting++
		}
	}
	victim := h.host(t)
	if lasting < seedHosts-len(h.ephemeral) || h.ephemeral[victim.id] || uniform(t, 4, "rare") != 0 {
		t.Skip("not every disk is in use")
	}
	h.crash(victim)
	h.wipe(victim)
	h.run(3 * time.Second) // a second disk is lost only once the first is back
	h.mend()
	h.run(8 * time.Second)
}

// noTemporaryVoter checks that hosts without a disk don't decide, once enough
// others vote.
func (h *seedHistory) noTemporaryVoter(t *rapid.T) {
	leader := h.holder()
	if leader == nil {
		t.Fatalf("no leader after calm")
	}
	for _, id := range voters(leader) {
		if h.ephemeral[id] {
			t.Fatalf("host %d votes without a disk", id)
		}
	}
}

// runSeedCase is one history of hosts that find each other through seeds.
func runSeedCase(t *rapid.T, steps *int, confirmed *int) {
	var rates []int64
	for range seedHosts {
		rates = append(rates, int64(1000-MaxClockDrift+uniform(t, 2*MaxClockDrift+1, "rate")))
	}
	h := &seedHistory{ephemeral: map[uint64]bool{}}
	for len(h.ephemeral) < seedHosts-3 {
		h.ephemeral[uint64(1+uniform(t, seedHosts, "ephemeral"))] = true
	}
	h.history = &history{network: openSystem(t, rates, h.ephemeral)}
	h.run(10 * time.Second)
	h.noTemporaryVoter(t)
	actions := []func(*rapid.T){h.deliverOne, h.loseOne, h.wait, h.goOn, h.goOn, h.goOn, h.syncOne, h.stallOne, h.proposeSome,
		h.proposeSome, h.proposeSome, h.crashSome, h.restart, h.emptyOne, h.snapshotOne, h.cutOne, h.isolate, h.heal, h.calm,
		h.transfer, h.read, h.read, h.read}
	t.Repeat(map[string]func(*rapid.T){
		"":    func(t *rapid.T) { *steps++; h.settle(t) },
		"any": func(t *rapid.T) { actions[uniform(t, len(actions), "action")](t) },
	})
	h.mend()
	h.run(12 * time.Second)
	h.noTemporaryVoter(t)
	leader := h.holder()
	if err := h.propose(leader, "last"); err != nil {
		t.Fatalf("no command is taken after recovery: %v", err)
	}
	h.run(3 * time.Second)
	for _, host := range h.hosts {
		if host.applied != leader.applied {
			t.Fatalf("host %d applied %d, the leader %d", host.id, host.applied, leader.applied)
		}
	}
	*confirmed += h.confirmed
}

// TestSeedProperties brings about the same faults over hosts that join through
// seeds, some without a disk, with confirmed reads.
func TestSeedProperties(t *testing.T) {
	steps, confirmed := 0, 0
	rapid.Check(t, func(t *rapid.T) { runSeedCase(t, &steps, &confirmed) })
	t.Logf("%d steps, %d confirmed reads", steps, confirmed)
	if steps < minSteps || confirmed == 0 {
		t.Fatalf("%d steps and %d confirmed reads are too few", steps, confirmed)
	}
}
