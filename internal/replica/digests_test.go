package replica

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/digest"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/journal"
)

// DigestParts makes the copies of a listMachine comparable.
func (m *listMachine) DigestParts() (format uint32, parts []digest.Part) {
	snapshot, _ := m.Snapshot()
	return 1, []digest.Part{{Name: "list", Chunks: [][]byte{snapshot}}}
}

func (m *listMachine) SnapshotOf(parts []digest.Part) []byte { return parts[0].Chunks[0] }

// flip changes one bit of the state.
func (m *listMachine) flip() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items[0] = string([]byte{m.items[0][0] ^ 1}) + m.items[0][1:]
}

// differenceLog records the differences that a host logs.
type differenceLog struct {
	mu    sync.Mutex
	lines []differenceLine
	state *listMachine // that the host acts on, nil while there is none
	out   int          // how often it gave its state up
}

// observe records the state that a host acts on.
func (l *differenceLog) observe(m StateMachine) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state, _ = m.(*listMachine); l.state == nil {
		l.out++
	}
}

// machine returns the state that a host acts on, nil while there is none.
func (l *differenceLog) machine() *listMachine {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state
}

// timesOut returns how often a host gave its state up.
func (l *differenceLog) timesOut() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.out
}

type differenceLine struct {
	Message  string `json:"msg"`
	Level    string
	Host     uint64
	Hosts    []uint64
	Index    uint64
	Part     string
	Digest   string
	Majority string
}

func (l *differenceLog) Write(b []byte) (int, error) {
	var line differenceLine
	if err := json.Unmarshal(b, &line); err == nil && line.Digest != "" {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.lines = append(l.lines, line)
	}
	return len(b), nil
}

// odd returns the hosts that were called odd.
func (l *differenceLog) odd() []uint64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var hosts []uint64
	for _, line := range l.lines {
		if line.Host != 0 {
			hosts = append(hosts, line.Host)
		}
	}
	slices.Sort(hosts)
	return slices.Compact(hosts)
}

// disputes returns how many lines were logged of differences without a majority.
func (l *differenceLog) disputes() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for _, line := range l.lines {
		if len(line.Hosts) > 0 {
			count++
		}
	}
	return count
}

// newComparedCluster returns a cluster of voters whose differences are recorded, by host.
func newComparedCluster(tb testing.TB, count int, adjust func(*Options)) (*testCluster, map[uint64]*differenceLog) {
	logs := map[uint64]*differenceLog{}
	for id := uint64(1); id <= uint64(count)+1; id++ {
		logs[id] = &differenceLog{}
	}
	c := newCluster(tb, count, func(o *Options) {
		o.DigestInterval = 100 * time.Millisecond
		o.OnState = logs[o.ID].observe
		first := o.NewStateMachine
		o.NewStateMachine = func() StateMachine {
			if first == nil {
				return &listMachine{}
			}
			m := first().(*listMachine)
			first = nil
			logs[o.ID].observe(m)
			return m
		}
		o.Logger = slog.New(slog.NewJSONHandler(logs[o.ID], nil))
		if adjust != nil {
			adjust(o)
		}
	})
	c.waitForVoters(count)
	return c, logs
}

// proposeMany proposes as many commands as lie between two digests.
func (c *testCluster) proposeMany(id uint64, prefix string) {
	for i := range digest.IntervalEntries {
		c.proposeUntilApplied(id, fmt.Sprint(prefix, " ", i))
	}
}

// waitUntilCompared waits until all hosts have the answers of all hosts for an index after from.
func (c *testCluster) waitUntilCompared(from uint64) {
	for _, h := range c.hosts {
		Eventually(func() int {
			d := h.replica.digests
			d.mu.Lock()
			defer d.mu.Unlock()
			most := 0
			for index := from + 1; index < from+40*digest.IntervalEntries; index++ {
				if v, ok := d.table.Compare(index, nil); ok {
					count := 0
					for _, g := range v.Groups {
						count += len(g.Hosts)
					}
					most = max(most, count)
				}
			}
			return most
		}, eventuallyTimeout, 20*time.Millisecond).Should(Equal(len(c.hosts)), "host %d", h.id)
	}
}

// waitUntilClosed waits until a leader has told the other hosts of all digests of an index after from.
func (c *testCluster) waitUntilClosed(leader *testHost, from uint64) {
	Eventually(func() bool {
		d := leader.replica.digests
		d.mu.Lock()
		defer d.mu.Unlock()
		for id := range c.hosts {
			if id != leader.id && d.sent[id] != d.round.version {
				return false
			}
		}
		return d.round.closed && d.round.index > from
	}, eventuallyTimeout, 20*time.Millisecond).Should(BeTrue())
}

var _ = Describe("state digests", func() {
	for _, count := range []int{3, 5} {
		for _, changed := range []string{"the leader", "another voter"} {
			It(fmt.Sprintf("show every one of %d voters that the copy of %s has changed", count, changed), func() {
				c, logs := newComparedCluster(GinkgoTB(), count, nil)
				leader := c.waitForLeader()
				c.proposeMany(leader.id, "before")
				c.waitUntilCompared(0)
				for id := range c.hosts {
					Expect(logs[id].odd()).To(BeEmpty())
				}
				odd := leader
				if changed != "the leader" {
					odd = c.hosts[leader.id%uint64(count)+1]
				}
				Eventually(func() uint64 { return odd.replica.Status().AppliedIndex }, eventuallyTimeout).Should(Equal(leader.replica.Status().CommitIndex))
				odd.machine.flip()
				from := leader.replica.Status().CommitIndex
				c.proposeMany(leader.id, "after")
				for id := range c.hosts {
					Eventually(logs[id].odd, eventuallyTimeout, "20ms").Should(Equal([]uint64{odd.id}), "as host %d sees it", id)
					line := logs[id].lines[0]
					Expect(line.Level).To(Equal("ERROR"))
					Expect(line.Part).To(Equal("list"))
					Expect(line.Index).To(And(BeNumerically(">", from), BeNumerically("<=", from+2*digest.IntervalEntries)))
					Expect(line.Digest).NotTo(Equal(line.Majority))
				}
				c.expectRestored(logs, odd)
				for id := range c.hosts {
					if id != odd.id {
						Expect(logs[id].timesOut()).To(BeZero(), "host %d", id)
					}
				}
			})
		}
	}

	It("show every host that two of five copies have changed", func() {
		c, logs := newComparedCluster(GinkgoTB(), 5, nil)
		leader := c.waitForLeader()
		c.proposeMany(leader.id, "before")
		c.waitUntilCompared(0)
		one, two := leader, c.hosts[leader.id%5+1]
		one.machine.flip()
		two.machine.flip()
		two.machine.Apply(0, []byte("another change"))
		c.proposeMany(leader.id, "after")
		want := []uint64{one.id, two.id}
		slices.Sort(want)
		for id := range c.hosts {
			Eventually(logs[id].odd, eventuallyTimeout, "20ms").Should(Equal(want), "as host %d sees it", id)
		}
		c.expectRestored(logs, one)
		c.expectRestored(logs, two)
	})

	It("show that the copy of a host that follows has changed, which is restored", func() {
		c, logs := newComparedCluster(GinkgoTB(), 3, nil)
		leader := c.waitForLeader()
		follower := c.addFollower(4)
		c.proposeMany(leader.id, "before")
		c.waitUntilCompared(0)
		follower.machine.flip()
		c.proposeMany(leader.id, "after")
		for id := range c.hosts {
			Eventually(logs[id].odd, eventuallyTimeout, "20ms").Should(Equal([]uint64{4}), "as host %d sees it", id)
		}
		c.expectRestored(logs, follower)
	})

	It("keep a host out whose copy differs again after its restore", func() {
		c, logs := newComparedCluster(GinkgoTB(), 3, nil)
		leader := c.waitForLeader()
		c.proposeMany(leader.id, "before")
		c.waitUntilCompared(0)
		leader.machine.flip()
		c.proposeMany(leader.id, "after")
		c.expectRestored(logs, leader)
		logs[leader.id].machine().flip()
		other := c.hosts[leader.id%3+1]
		c.proposeMany(other.id, "again")
		var odd *CopyOddError
		Eventually(func() error { return leader.replica.CopyOdd() }, eventuallyTimeout, "5ms").Should(HaveOccurred())
		Expect(errors.As(leader.replica.CopyOdd(), &odd)).To(BeTrue())
		Expect(odd.Restored).NotTo(BeZero())
		for round := range 3 {
			c.proposeMany(other.id, fmt.Sprint("later ", round))
		}
		Expect(logs[leader.id].timesOut()).To(Equal(2))
		Expect(logs[leader.id].machine()).To(BeNil())
		Expect(leader.replica.ReadBarrier(context.Background())).To(BeAssignableToTypeOf(odd))
		Expect(leader.replica.Status().IsLeader).To(BeFalse())
		Expect(leader.replica.Status().IsVoter).To(BeTrue())
		Expect(leader.replica.Status().UnavailableReason).To(ContainSubstring("again"))
	})

	It("restore a copy that came from a changed snapshot of its own disk, wherever the host is killed", func() {
		c, logs := newComparedCluster(GinkgoTB(), 3, func(o *Options) {
			o.SnapshotIntervalEntries = digest.IntervalEntries * trailingLogDivisor // keeps the log after an agreed index
		})
		leader := c.waitForLeader()
		for i := range 2 * trailingLogDivisor {
			c.proposeMany(leader.id, fmt.Sprint("before ", i))
		}
		c.waitUntilCompared(0)
		odd, other := c.hosts[leader.id%3+1], c.hosts[(leader.id+1)%3+1]
		for i, delay := range []time.Duration{0, 10, 50, 100, 200, 300, 400, 600} {
			c.kill(odd.id)
			flipStoredSnapshot(odd)
			c.start(odd.id, false)
			c.proposeMany(other.id, fmt.Sprint("kill ", i))
			time.Sleep(delay * time.Millisecond)
			c.kill(odd.id)
			c.start(odd.id, false)
			c.proposeMany(other.id, fmt.Sprint("after kill ", i))
			c.expectEqualTo(logs, other, odd)
			c.proposeMany(other.id, fmt.Sprint("stored ", i))
			c.expectEqualTo(logs, other, odd)
			c.kill(odd.id)
			expectStoredPrefix(odd, logs[other.id].machine().list())
			c.start(odd.id, false)
		}
	})

	// Guards against a host that stays out for good because its disk was full just after its copy was restored.
	It("restore a copy again if its disk is full before the restored state is stored", func() {
		repairs := &Repairs{}
		disk := &fullDisk{}
		c, logs := newComparedCluster(GinkgoTB(), 3, func(o *Options) {
			o.SnapshotIntervalEntries = digest.IntervalEntries * trailingLogDivisor
			if observe := o.OnState; o.ID == 1 {
				o.Repairs = repairs
				o.OnState = func(m StateMachine) { observe(m); disk.full.Store(m != nil) }
			}
		})
		odd, other := c.hosts[1], c.hosts[2]
		for i := range 2 * trailingLogDivisor {
			c.proposeMany(other.id, fmt.Sprint("before ", i))
		}
		c.kill(odd.id)
		flipStoredSnapshot(odd)
		c.disks = map[uint64]*fullDisk{odd.id: disk}
		c.start(odd.id, false)
		c.proposeMany(other.id, "after")
		Eventually(odd.replica.stopped, eventuallyTimeout).Should(BeClosed(), "the disk is full")
		c.kill(odd.id)
		disk.full.Store(false)
		c.disks = nil
		c.start(odd.id, false)
		Expect(odd.replica.CopyOdd()).To(HaveOccurred(), "the stored state is known to be odd")
		c.proposeMany(other.id, "later")
		c.expectEqualTo(logs, other, odd)
		Expect(repairs.excluded).To(BeNil())
	})

	It("call nobody odd where no majority agrees", func() {
		c, logs := newComparedCluster(GinkgoTB(), 3, nil)
		leader := c.waitForLeader()
		c.proposeMany(leader.id, "before")
		c.waitUntilCompared(0)
		for id, h := range c.hosts {
			if id > 1 {
				h.machine.Apply(0, fmt.Append(nil, "change of ", id))
			}
		}
		c.proposeMany(leader.id, "after")
		for id := range c.hosts {
			Eventually(logs[id].disputes, eventuallyTimeout, "20ms").Should(BeNumerically(">=", 3), "as host %d sees it", id)
			Expect(logs[id].odd()).To(BeEmpty())
		}
		c.proposeMany(leader.id, "served")
		for id, h := range c.hosts {
			Expect(logs[id].timesOut()).To(BeZero())
			Expect(h.replica.ReadBarrier(context.Background())).To(Succeed())
		}
	})

	It("take only a state that has its digest, and a digest that a majority has", func() {
		c, _ := newComparedCluster(GinkgoTB(), 3, nil)
		leader := c.waitForLeader()
		c.proposeMany(leader.id, "before")
		c.waitUntilCompared(0)
		asking, asked := c.hosts[leader.id%3+1].replica, c.hosts[(leader.id+1)%3+1]
		ctx, voters := context.Background(), []uint64{1, 2, 3}
		state, err := asking.fetchStateFrom(ctx, asked.id)
		Expect(err).NotTo(HaveOccurred())
		Expect(asking.confirmState(ctx, state, asked.id, voters)).To(Succeed())
		Expect(state.machine.(*listMachine).list()).NotTo(BeEmpty())
		state.want.Sums = slices.Clone(state.want.Sums)
		state.want.Sums[0]++
		Expect(asking.confirmState(ctx, state, asked.id, voters)).To(BeAssignableToTypeOf(&noStateError{}), "an odd digest")

		d := asked.replica.digests
		d.mu.Lock()
		d.newest.parts = []digest.Part{{Name: "list", Chunks: [][]byte{[]byte(`["odd"]`)}}}
		d.mu.Unlock()
		_, err = asking.fetchStateFrom(ctx, asked.id)
		Expect(err).To(BeAssignableToTypeOf(&noStateError{}), "an odd state")
		asked.replica.copyOdd.Store(&CopyOddError{Index: 16})
		_, err = asking.fetchStateFrom(ctx, asked.id)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeNotFound), "a host that does not act on its state")
	})

	// Guards against an odd copy that stays out because one voter is silent.
	It("fetch a state while another voter leaves calls for its own unanswered", func() {
		c, _ := newComparedCluster(GinkgoTB(), 5, nil)
		c.proposeMany(c.waitForLeader().id, "before")
		c.waitUntilCompared(0)
		c.hosts[1].stalls.Store(true)
		ctx, cancel := context.WithTimeout(context.Background(), repairTimeout/2)
		defer cancel()
		_, err := c.hosts[5].replica.fetchState(ctx)
		Expect(err).NotTo(HaveOccurred())
	})

	// Guards against a restore that waits for the digest of a voter for as long as for a whole state, where its connection
	// has gone silent.
	It("end a call for a digest within the timeout of a step", func() {
		c, _ := newComparedCluster(GinkgoTB(), 3, nil)
		c.waitForLeader()
		c.hosts[1].stalls.Store(true)
		began := time.Now()
		_, err := c.hosts[3].replica.askState(context.Background(), 1, 16)
		Expect(connect.CodeOf(err)).To(Equal(connect.CodeDeadlineExceeded))
		Expect(time.Since(began)).To(BeNumerically("<", repairTimeout/2))
	})

	It("leave hosts of another build and of another format alone", func() {
		c, logs := newComparedCluster(GinkgoTB(), 5, func(o *Options) {
			inner := o.NewStateMachine
			switch o.ID {
			case 2:
				o.NewStateMachine = func() StateMachine { return undigested{inner()} }
			case 3:
				o.NewStateMachine = func() StateMachine { return otherFormat{inner().(*listMachine)} }
			}
		})
		leader := c.waitForLeader()
		c.proposeMany(leader.id, "before")
		c.hosts[2].machine.flip()
		c.proposeMany(leader.id, "after")
		from := leader.replica.Status().CommitIndex
		for round := range 3 {
			c.proposeMany(leader.id, fmt.Sprint("later ", round))
			c.waitUntilClosed(leader, from)
			from = leader.replica.Status().CommitIndex
		}
		for id := range c.hosts {
			Expect(logs[id].odd()).To(BeEmpty(), "as host %d sees it", id)
			Expect(logs[id].disputes()).To(BeZero(), "as host %d sees it", id)
		}
	})
})

// addFollower adds a host without a disk.
func (c *testCluster) addFollower(id uint64) *testHost {
	h := &testHost{id: id}
	c.listen(h)
	c.hosts[id] = h
	adjust := c.adjustOptions
	c.adjustOptions = func(o *Options) { o.Ephemeral, o.DataDir, o.AdmitUnknownHosts = true, "", true; adjust(o) }
	leader := c.waitForLeader()
	Expect(leader.replica.AddMember(context.Background(), id, h.url)).To(Succeed())
	c.start(id, false)
	c.adjustOptions = adjust
	return h
}

// expectEqualTo waits until a host acts on a state that equals another one's.
func (c *testCluster) expectEqualTo(logs map[uint64]*differenceLog, other, h *testHost) {
	Eventually(func() error {
		machine := logs[h.id].machine()
		if machine == nil {
			return h.replica.CopyOdd()
		}
		status := h.replica.Status()
		if status.AppliedIndex != other.replica.Status().CommitIndex {
			return fmt.Errorf("applied %d", status.AppliedIndex)
		}
		if !slices.Equal(machine.list(), logs[other.id].machine().list()) {
			return fmt.Errorf("%v, want %v", machine.list(), logs[other.id].machine().list())
		}
		return nil
	}, eventuallyTimeout, "20ms").Should(Succeed(), "host %d", h.id)
	Expect(h.replica.ReadBarrier(context.Background())).To(Succeed())
}

// expectRestored waits until an odd host acts on the state of the others again, and has done so once.
func (c *testCluster) expectRestored(logs map[uint64]*differenceLog, odd *testHost) {
	for _, h := range c.hosts {
		if h.id != odd.id && logs[h.id].timesOut() == 0 {
			c.expectEqualTo(logs, h, odd)
		}
	}
	Expect(logs[odd.id].timesOut()).To(Equal(1))
	Expect(logs[odd.id].machine()).NotTo(BeIdenticalTo(odd.machine))
}

// flipStoredSnapshot changes one bit of the state in the stored snapshot of a host that is not running.
func flipStoredSnapshot(h *testHost) {
	j, stored, err := journal.Open(h.dir, "test", h.id)
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(j.Close()).To(Succeed()) }()
	Expect(stored.Snapshot.Index).NotTo(BeZero())
	m := &listMachine{}
	Expect(m.Restore(stored.Snapshot.Data)).To(Succeed())
	m.flip()
	stored.Snapshot.Data, err = m.Snapshot()
	Expect(err).NotTo(HaveOccurred())
	// Only a write that replaces the log stores a snapshot of the same index.
	Expect(j.Write(&consensus.WriteBatch{Snapshot: &stored.Snapshot, Entries: entriesAfter(stored)})).To(Succeed())
}

// expectStoredPrefix expects that the stored snapshot of a host that is not running holds the beginning
// of a list.
func expectStoredPrefix(h *testHost, list []string) {
	j, stored, err := journal.Open(h.dir, "test", h.id)
	Expect(err).NotTo(HaveOccurred())
	defer func() { Expect(j.Close()).To(Succeed()) }()
	m := &listMachine{}
	Expect(m.Restore(stored.Snapshot.Data)).To(Succeed())
	items := m.list()
	Expect(items).NotTo(BeEmpty())
	Expect(items).To(Equal(list[:len(items)]))
}

// entriesAfter returns the stored entries that a stored snapshot does not cover.
func entriesAfter(stored consensus.PersistedState) []consensus.Entry {
	i := slices.IndexFunc(stored.Entries, func(e consensus.Entry) bool { return e.Index > stored.Snapshot.Index })
	if i < 0 {
		return nil
	}
	return stored.Entries[i:]
}

// undigested is the state machine of a build without digests.
type undigested struct{ StateMachine }

// otherFormat is the state machine of a build whose state is encoded otherwise.
type otherFormat struct{ *listMachine }

func (m otherFormat) DigestParts() (format uint32, parts []digest.Part) {
	return 2, []digest.Part{{Name: "list", Chunks: [][]byte{[]byte("other")}}}
}

// Guards against a digest that depends on how a copy came to its state, and against a changed copy
// that is not found at the next agreed index.
func TestDigestsAgreeHoweverCopiesAreReopened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const copyCount = 3
		reference := newDocumentCopy(t)
		var log []consensus.Entry
		var copies []*documentCopy
		for range copyCount {
			copies = append(copies, newDocumentCopy(t))
		}
		propose := func() {
			e := consensus.Entry{Index: uint64(len(log) + 1), Term: 1, Kind: consensus.EntryCommand, Data: drawDocumentCommand(t, reference.machine)}
			if rapid.IntRange(0, 9).Draw(t, "kind") == 0 {
				e.Kind = consensus.EntryMembership
				e.Data, _ = consensus.EncodeMembership(consensus.Membership{Members: []consensus.Member{{ID: e.Index, DiskID: e.Index, URL: "u", IsVoter: true}}})
			}
			log = append(log, e)
			reference.applyUntil(log, e.Index)
			reference.finishDigests()
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := copies[rapid.IntRange(0, copyCount-1).Draw(t, "copy")]
			switch rapid.SampledFrom([]string{"propose", "apply", "snapshot", "install", "reopen"}).Draw(t, "step") {
			case "propose":
				for range rapid.IntRange(1, 2*digest.IntervalEntries).Draw(t, "commands") {
					propose()
				}
			case "apply":
				c.applyUntil(log, rapid.Uint64Range(c.replica.appliedIndex.Load(), uint64(len(log))).Draw(t, "until"))
			case "snapshot":
				c.takeSnapshot(t, rapid.Uint64Range(0, 8).Draw(t, "kept"))
			case "install":
				c.install(t, copies[rapid.IntRange(0, copyCount-1).Draw(t, "from")])
			case "reopen":
				c.reopen(t)
			}
			c.finishDigests()
			c.expectDigestsOf(t, reference)
		}
		c := copies[0]
		c.applyUntil(log, uint64(len(log)))
		c.finishDigests()
		at := uint64(len(log))
		if !c.change(t) {
			return
		}
		// A snapshot is stored only if it is newer than the stored one.
		if at > c.disk.stored.Snapshot.Index && rapid.Bool().Draw(t, "reopened from a snapshot with the change") {
			c.takeSnapshot(t, 0)
			c.reopen(t)
		}
		for {
			e := consensus.Entry{Index: uint64(len(log) + 1), Term: 1, Kind: consensus.EntryNoOp}
			log = append(log, e)
			reference.applyUntil(log, e.Index)
			c.applyUntil(log, e.Index)
			if digest.IsAgreed(e.Index) {
				break
			}
		}
		reference.finishDigests()
		c.finishDigests()
		index := uint64(len(log))
		want, _ := reference.replica.digests.table.Own(index)
		got, ok := c.replica.digests.table.Own(index)
		if !ok || len(want.Differences(got.Sums)) == 0 || index > at+digest.IntervalEntries {
			t.Fatalf("a copy changed at %d has the digest %v at %d", at, got, index)
		}
	})
}

// finishDigests takes the queued digests.
func (c *documentCopy) finishDigests() {
	for c.replica.digestJobs.Len() > 0 {
		c.replica.finishDigest(<-c.replica.digestJobs.Chan())
	}
}

// expectDigestsOf compares all digests with those of another copy at the same index.
func (c *documentCopy) expectDigestsOf(t *rapid.T, reference *documentCopy) {
	for _, own := range c.replica.digests.table.AllOwn() {
		if want, ok := reference.replica.digests.table.Own(own.Index); ok && !slices.Equal(own.Sums, want.Sums) {
			t.Fatalf("digest %v, want %v", own, want)
		}
	}
}

// change changes a copy: one bit, or a command that is applied once more. It reports whether the
// state differs from before.
func (c *documentCopy) change(t *rapid.T) bool {
	before, err := c.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	if rapid.Bool().Draw(t, "command applied twice") {
		c.machine.Apply(0, drawDocumentCommand(t, c.machine))
	} else {
		changed := slices.Clone(before)
		changed[rapid.IntRange(0, len(changed)-1).Draw(t, "byte")] ^= 1 << rapid.IntRange(0, 7).Draw(t, "bit")
		if c.machine.Restore(changed) != nil {
			return false
		}
	}
	after, err := c.machine.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	return !bytes.Equal(before, after)
}

// Guards against a damaged message by which a host is taken for odd.
func TestDamagedDigestsAreLeftOut(t *testing.T) {
	c := &documentCopy{disk: &memoryDisk{}}
	c.options = Options{ID: 1, Ephemeral: true, NewStateMachine: func() StateMachine { return document.New() }}.withDefaults()
	r, err := newReplica(c.options, c.disk, c.disk.stored)
	if err != nil {
		t.Fatal(err)
	}
	encoded, err := proto.Marshal(&pb.StateDigests{Index: digest.IntervalEntries, Format: 1, Groups: []*pb.DigestGroup{{Sums: []uint64{1, 2}, Hosts: []uint64{2, 3}}}})
	if err != nil {
		t.Fatal(err)
	}
	for i := range 8 * len(encoded) {
		damaged := slices.Clone(encoded)
		damaged[i/8] ^= 1 << (i % 8)
		err := r.receiveDigests(&pb.StepRequest{From: 2, Digests: damaged, DigestsChecksum: crc32.Checksum(encoded, castagnoli)})
		NewWithT(t).Expect(err).To(BeAssignableToTypeOf(&DigestError{}))
	}
	if r.digests.table.HasReport(2, digest.IntervalEntries) {
		t.Fatal("a damaged digest was recorded")
	}
	if err := r.receiveDigests(&pb.StepRequest{From: 2, Digests: encoded, DigestsChecksum: crc32.Checksum(encoded, castagnoli)}); err != nil || !r.digests.table.HasReport(2, digest.IntervalEntries) {
		t.Fatalf("an intact digest was left out: %v", err)
	}
}

// Guards against a host that restores its copy over and over although its members differ, or once its
// data folder is opened again.
func TestDifferingMembersEndTheRepairs(t *testing.T) {
	g := NewWithT(t)
	machine := document.New()
	format, parts := machine.DigestParts()
	members := consensus.Membership{Members: []consensus.Member{{ID: 1, IsVoter: true}}}
	encoded, err := consensus.EncodeMembership(members)
	g.Expect(err).NotTo(HaveOccurred())
	want := digest.Compute(digest.IntervalEntries, format, append(parts, digest.Part{Name: membersPart, Chunks: [][]byte{encoded}}))
	open := func(repairs *Repairs) *Replica {
		o := Options{ID: 1, Ephemeral: true, Repairs: repairs, NewStateMachine: func() StateMachine { return document.New() }}.withDefaults()
		r, err := newReplica(o, &memoryDisk{}, consensus.PersistedState{})
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	r := open(nil)
	r.giveUp(digest.IntervalEntries)
	g.Expect(r.CopyOdd()).To(HaveOccurred())
	g.Expect(r.finishRebuild(&rebuild{want: want, machine: machine, membership: members, done: make(chan struct{})})).To(Succeed())
	g.Expect(r.CopyOdd()).NotTo(HaveOccurred())
	g.Expect(r.appliedIndex.Load()).To(BeEquivalentTo(digest.IntervalEntries))

	r = open(nil)
	r.giveUp(digest.IntervalEntries)
	g.Expect(r.finishRebuild(&rebuild{want: want, machine: machine, done: make(chan struct{})})).To(Succeed())
	var odd *CopyOddError
	g.Expect(errors.As(r.CopyOdd(), &odd)).To(BeTrue())
	g.Expect(odd.isFinal()).To(BeTrue())
	g.Expect(r.appliedIndex.Load()).To(BeZero())
	g.Expect(open(r.options.Repairs).CopyOdd()).To(Equal(odd), "after the data folder is opened again")
}

// Guards against an opening that acts on a snapshot with a known difference, and against a copy that is
// restored over and over although the restored state was stored.
func TestARestoredStateCountsOnceItIsStored(t *testing.T) {
	g := NewWithT(t)
	repairs := &Repairs{}
	open := func(snapshotIndex uint64) *Replica {
		snapshot, err := document.New().Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		o := Options{ID: 1, Ephemeral: true, Repairs: repairs, NewStateMachine: func() StateMachine { return document.New() }}.withDefaults()
		r, err := newReplica(o, &memoryDisk{}, consensus.PersistedState{Snapshot: consensus.Snapshot{Index: snapshotIndex, Data: snapshot}})
		g.Expect(err).NotTo(HaveOccurred())
		return r
	}
	restore := func(r *Replica, snapshotIndex uint64) {
		format, parts := document.New().DigestParts()
		members, err := consensus.EncodeMembership(consensus.Membership{})
		g.Expect(err).NotTo(HaveOccurred())
		want := digest.Compute(4*digest.IntervalEntries, format, append(parts, digest.Part{Name: membersPart, Chunks: [][]byte{members}}))
		g.Expect(r.finishRebuild(&rebuild{want: want, machine: document.New(), snapshotIndex: snapshotIndex, done: make(chan struct{})})).To(Succeed())
		g.Expect(r.CopyOdd()).NotTo(HaveOccurred())
	}
	r := open(10)
	g.Expect(r.CopyOdd()).NotTo(HaveOccurred())
	r.giveUp(digest.IntervalEntries)
	g.Expect(open(30).CopyOdd()).To(HaveOccurred(), "not restored yet, and a snapshot of the odd copy was stored")
	restore(r, 30)
	for range 2 {
		r = open(30)
		g.Expect(r.CopyOdd()).To(HaveOccurred(), "the stored snapshot is still that of the odd copy")
		g.Expect(r.copyOdd.Load().isFinal()).To(BeFalse())
		restore(r, 30)
	}
	r = open(31)
	g.Expect(r.CopyOdd()).NotTo(HaveOccurred(), "the restored state is stored")
	r.giveUp(8 * digest.IntervalEntries)
	g.Expect(r.copyOdd.Load().isFinal()).To(BeTrue())
	g.Expect(open(31).CopyOdd()).To(HaveOccurred())
}

// Guards against a verdict on the copy of an earlier opening of the data folder that excludes the one restored since.
var _ = It("leaves a restored copy in use after a late verdict on the one before", func() {
	repairs := &Repairs{restored: 500, oddSnapshot: 400}
	earlier := &Replica{options: Options{Repairs: repairs}.withDefaults(), stopped: make(chan struct{})}
	close(earlier.stopped)
	earlier.logger = earlier.options.Logger
	earlier.giveUp(100)
	Expect(repairs.beginOpening(600)).To(BeNil())
})
