package replica

import (
	"bytes"
	"hash/crc32"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// blobMachine keeps all commands, one after the other.
type blobMachine struct {
	mu   sync.Mutex
	data []byte
}

func (m *blobMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = append(m.data, command...)
	return nil
}

func (m *blobMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return bytes.Clone(m.data), nil
}

func (m *blobMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.data = bytes.Clone(b)
	return nil
}

// Timing of the hosts on the platform.
const (
	platformHeartbeat   = 100 * time.Millisecond
	platformElection    = 320 * time.Millisecond
	platformStepTimeout = 800 * time.Millisecond
)

// newBlobCluster starts hosts with the timing and the client of the platform, and builds up a state of that many bytes that a host
// with an empty data folder needs a snapshot for.
func newBlobCluster(tb testing.TB, count, stateBytes int) *testCluster {
	const interval = 64 << 10
	client := rpc.HTTP1Client(time.Second)
	tb.Cleanup(client.CloseIdleConnections)
	c := newCluster(tb, count, func(o *Options) {
		o.HeartbeatInterval, o.ElectionTimeout, o.StepTimeout = platformHeartbeat, platformElection, platformStepTimeout
		o.SnapshotIntervalBytes = min(interval, max(stateBytes/4, 1))
		o.NewStateMachine = func() StateMachine { return &blobMachine{} }
		o.HTTPClient = client
	})
	c.waitForVoters(count)
	leader := c.waitForLeader()
	command := bytes.Repeat([]byte("x"), min(stateBytes/4, MaxCommandBytes/2))
	for size := 0; size < stateBytes; size += len(command) {
		c.proposeUntilApplied(leader.id, string(command))
	}
	Eventually(func() int {
		snapshot, _ := leader.replica.journal.ReadSnapshot()
		return len(snapshot.Data)
	}, eventuallyTimeout, 5*time.Millisecond).Should(BeNumerically(">=", stateBytes/2))
	return c
}

// replaceDisk kills a host that does not lead, and starts it over the link with an empty disk.
func (c *testCluster) replaceDisk(l *link) *testHost {
	host := c.hosts[c.waitForLeader().id%uint64(len(c.hosts))+1]
	c.kill(host.id)
	Expect(os.RemoveAll(host.dir)).To(Succeed())
	host.link = l
	c.start(host.id, false)
	return host
}

// Guards against a host that stays without a vote because the connection that carries its snapshot has gone silent, so that the
// loss of others, which must be borne once it counts again, leaves no majority.
var _ = DescribeTable("a host whose disk was replaced votes in time, and others may be lost", func(voters, losses, stateBytes int, l *link) {
	c := newBlobCluster(GinkgoTB(), voters, stateBytes)
	began := time.Now()
	host := c.replaceDisk(l)
	Eventually(func() bool { return host.replica.Status().IsVoter }, closeBound, 5*time.Millisecond).Should(BeTrue())
	GinkgoWriter.Println("votes after", time.Since(began), "silences:", l.silences)
	for id := uint64(1); losses > 0; id++ {
		if id != host.id {
			c.kill(id)
			losses--
		}
	}
	c.proposeUntilApplied(host.id, "after")
},
	Entry("three voters", 3, 1, 640<<10, &link{silentAfter: 48 << 10}),
	Entry("six voters", 6, 2, 640<<10, &link{silentAfter: 48 << 10}),
	Entry("three voters, a small state", 3, 1, 150<<10, &link{silentAfter: 48 << 10}),
	Entry("three voters, a slow link", 3, 1, 2<<20, &link{bytesPerSecond: 1 << 20}),
)

// Guards against a large snapshot that begins anew after each silence, and so never arrives.
var _ = It("goes on with a snapshot where it was when a connection went silent", func() {
	const stateBytes = 3 << 20
	c := newBlobCluster(GinkgoTB(), 3, stateBytes)
	l := &link{silentAfter: 1 << 20, repeats: true}
	host := c.replaceDisk(l)
	// Each silence costs a timeout and a pause, and comes after a megabyte at the earliest.
	Eventually(func() bool { return host.replica.Status().IsVoter }, closeBound+4*2*platformStepTimeout, 5*time.Millisecond).Should(BeTrue())
	Expect(l.silences).To(BeNumerically(">=", 2))
})

var _ = Describe("the parts of a snapshot", func() {
	data := bytes.Repeat([]byte("0123456789"), 10)
	transferOf := func(term, index uint64) snapshotTransfer {
		return snapshotTransfer{from: 1, term: term, index: index, logTerm: 1, size: uint64(len(data)), checksum: crc32.Checksum(data, castagnoli)}
	}
	// add adds the part from begin to end.
	add := func(r *snapshotReceiver, transfer snapshotTransfer, begin, end int) (uint64, error) {
		return r.add(transfer, uint64(begin), data[begin:end], 0)
	}

	It("make up the snapshot, also if some come twice or are missing in between", func() {
		r, transfer := &snapshotReceiver{}, transferOf(2, 5)
		for _, part := range []struct{ begin, end, received int }{{0, 40, 40}, {0, 40, 40}, {60, 100, 40}, {40, 60, 60}, {20, 60, 60}, {60, 100, 100}} {
			Expect(add(r, transfer, part.begin, part.end)).To(BeEquivalentTo(part.received))
		}
		Expect(r.complete(transfer)).To(Equal(data))
	})

	DescribeTable("are replaced by those of another transfer", func(next snapshotTransfer) {
		r, first := &snapshotReceiver{}, transferOf(2, 5)
		Expect(add(r, first, 0, 40)).To(BeEquivalentTo(40))
		Expect(add(r, next, 40, 60)).To(BeEquivalentTo(0))
		Expect(add(r, next, 0, 100)).To(BeEquivalentTo(100))
		Expect(r.complete(first)).To(BeNil())
		Expect(r.complete(next)).To(Equal(data))
	},
		Entry("of a later term", transferOf(3, 5)),
		Entry("of a newer snapshot", transferOf(2, 6)),
	)

	It("are kept beside a leader of an earlier term, whose parts are refused", func() {
		r, newer := &snapshotReceiver{}, transferOf(3, 5)
		Expect(add(r, newer, 0, 40)).To(BeEquivalentTo(40))
		_, err := add(r, transferOf(2, 9), 0, 40)
		Expect(err).To(BeAssignableToTypeOf(&PartError{}))
		Expect(add(r, newer, 40, 100)).To(BeEquivalentTo(100))
	})

	DescribeTable("are refused", func(change func(t *snapshotTransfer)) {
		r, transfer := &snapshotReceiver{}, transferOf(2, 5)
		change(&transfer)
		_, err := r.add(transfer, 0, data, 0)
		Expect(err).To(BeAssignableToTypeOf(&PartError{}))
		Expect(r.complete(transfer)).To(BeNil())
	},
		Entry("damaged", func(t *snapshotTransfer) { t.checksum++ }),
		Entry("longer than the snapshot", func(t *snapshotTransfer) { t.size = 50 }),
		Entry("of a snapshot over the limit", func(t *snapshotTransfer) { t.size = maxPeerMessageBytes + 1 }),
	)

	DescribeTable("are dropped", func(now time.Duration, term uint64, kept uint64) {
		r, transfer := &snapshotReceiver{}, transferOf(2, 5)
		Expect(add(r, transfer, 0, 40)).To(BeEquivalentTo(40))
		r.dropStale(now, term)
		Expect(add(r, transfer, 60, 100)).To(Equal(kept))
	},
		Entry("in a later term", time.Duration(0), uint64(3), uint64(0)),
		Entry("once nothing more has come for long", 2*partialSnapshotTimeout, uint64(2), uint64(0)),
		Entry("not before", partialSnapshotTimeout/2, uint64(2), uint64(40)),
	)
})

// Guards against a host of the build before parts that is not brought up to date. It takes the snapshot in one Step, as it
// sends its own.
var _ = It("sends a snapshot whole to a host without SnapshotPart", func() {
	c := newBlobCluster(GinkgoTB(), 3, 640<<10)
	host := c.hosts[c.waitForLeader().id%3+1]
	host.lacksParts.Store(true)
	c.replaceDisk(nil)
	Eventually(func() bool { return host.replica.Status().IsVoter }, closeBound, 5*time.Millisecond).Should(BeTrue())
})

// Guards against a host that is not brought up to date because something else changes while it receives a snapshot.
var _ = DescribeTable("a host receives a snapshot over a slow link while", func(disturb func(c *testCluster, host *testHost)) {
	const stateBytes = 3 << 20
	c := newBlobCluster(GinkgoTB(), 5, stateBytes)
	host := c.replaceDisk(&link{bytesPerSecond: 1 << 20})
	Eventually(func() bool { return host.replica.snapshotReceiver.isReceiving() }, closeBound, 5*time.Millisecond).Should(BeTrue())
	disturb(c, host)
	Eventually(func() bool { return host.replica.Status().IsVoter }, eventuallyTimeout, 5*time.Millisecond).Should(BeTrue())
	c.proposeUntilApplied(host.id, "after")
	leader := c.waitForLeader()
	Eventually(func() bool { return bytes.Equal(blobOf(host), blobOf(leader)) }, closeBound, 5*time.Millisecond).Should(BeTrue())
},
	Entry("the leader changes", func(c *testCluster, _ *testHost) { c.kill(c.waitForLeader().id) }),
	Entry("its disk is replaced once more", func(c *testCluster, host *testHost) {
		c.kill(host.id)
		Expect(os.RemoveAll(host.dir)).To(Succeed())
		c.start(host.id, false)
	}),
	Entry("its process is started again", func(c *testCluster, host *testHost) {
		c.kill(host.id)
		c.start(host.id, false)
	}),
	Entry("newer snapshots are taken", func(c *testCluster, _ *testHost) {
		for range 8 {
			c.proposeUntilApplied(c.waitForLeader().id, strings.Repeat("y", 64<<10))
		}
	}),
	Entry("another one receives one too", func(c *testCluster, host *testHost) {
		other := c.waitForLeader().id%5 + 1
		if other == host.id {
			other = other%5 + 1
		}
		c.kill(other)
		Expect(os.RemoveAll(c.hosts[other].dir)).To(Succeed())
		c.start(other, false)
		Eventually(func() bool { return c.hosts[other].replica.Status().IsVoter }, closeBound, 5*time.Millisecond).Should(BeTrue())
	}),
)

// isReceiving reports whether a part of a snapshot has come.
func (s *snapshotReceiver) isReceiving() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.data) > 0
}

// blobOf returns the state of a host of newBlobCluster.
func blobOf(h *testHost) []byte {
	data, _ := h.replica.machine.Snapshot()
	return data
}
