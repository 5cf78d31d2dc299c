package consensus

import (
	"fmt"
	"hash/fnv"
	"strconv"
	"time"
)

// testFailer is the part of *rapid.T and of ginkgo that the checks need.
type testFailer interface {
	Fatalf(format string, args ...any)
}

// testHost is a replica, its simulated disk, which keeps only synced writes, and
// its clock, which runs at its own rate.
type testHost struct {
	id                uint64
	running           bool
	diskID            uint64
	persisted         PersistedState
	node              *Node
	pendingWrite      *WriteBatch
	diskStalled       bool          // the disk does not complete writes
	startedAt         time.Duration // simulated real time
	clockRatePerMille int64
	appliedIndex      uint64
	stateHash         string        // hash chain over the applied commands
	reportedLeaseEnd  time.Duration // latest reported lease end, on the host's clock
}

// network simulates hosts and the messages in flight between them, and records what
// the checks compare.
type network struct {
	t          testFailer
	now        time.Duration
	hosts      []*testHost
	messages   []Message
	cutLinks   map[[2]uint64]bool
	startCount uint64

	wipes, snapshotInstalls, membershipChanges int // counts for the coverage log

	configure func(h *testHost, cfg *Config) // may be nil

	leaderDiskByTerm   map[uint64]uint64    // term to disk ID
	contentByIndexTerm map[[2]uint64]string // index and term to content
	stateByIndex       map[uint64]string    // index to state hash after applying it
	observedIndex      uint64               // newest index acknowledged or read under a lease
}

const testHeartbeat = DefaultHeartbeatInterval

func newNetwork(t testFailer, rates []int64) *network { return newConfiguredNetwork(t, rates, nil) }

// newConfiguredNetwork starts one host per clock rate; configure may adjust its
// Config.
func newConfiguredNetwork(t testFailer, rates []int64, configure func(h *testHost, cfg *Config)) *network {
	net := &network{t: t, configure: configure, cutLinks: map[[2]uint64]bool{}, leaderDiskByTerm: map[uint64]uint64{},
		contentByIndexTerm: map[[2]uint64]string{}, stateByIndex: map[uint64]string{}}
	for i, rate := range rates {
		h := &testHost{id: uint64(i + 1), clockRatePerMille: rate, diskID: 1000 * uint64(i+1)}
		net.hosts = append(net.hosts, h)
	}
	for _, h := range net.hosts {
		net.start(h)
	}
	return net
}

// localTime is the time on a host's own monotonic clock.
func (net *network) localTime(h *testHost) time.Duration {
	return (net.now - h.startedAt) * time.Duration(h.clockRatePerMille) / 1000
}

// start starts a host from its disk. Hosts 1 to 3 are the initial hosts.
func (net *network) start(h *testHost) {
	net.startCount++
	h.running, h.pendingWrite, h.startedAt, h.reportedLeaseEnd = true, nil, net.now, distantPast
	h.appliedIndex, h.stateHash = h.persisted.Snapshot.Index, string(h.persisted.Snapshot.Data)
	cfg := Config{ID: h.id, DiskID: h.diskID, RunNumber: net.startCount, Bootstrap: h.id <= 3, Seed: net.startCount*7919 + h.id}
	cfg.InitialMembers = []Member{{ID: 1}, {ID: 2}, {ID: 3}}
	cfg.JoinMembers = cfg.InitialMembers
	if net.configure != nil {
		net.configure(h, &cfg)
	}
	stored := h.persisted
	stored.Entries = append([]Entry(nil), stored.Entries...)
	node, err := New(cfg, stored, 0)
	if err != nil {
		net.t.Fatalf("host %d: %v", h.id, err)
	}
	h.node = node
	net.processOutput(h)
}

// startAll starts every host that is not running.
func (net *network) startAll() {
	for _, h := range net.hosts {
		if !h.running {
			net.start(h)
		}
	}
}

// repairAll ends all faults.
func (net *network) repairAll() {
	clear(net.cutLinks)
	net.startAll()
	for _, h := range net.hosts {
		h.diskStalled = false
	}
}

// wipeDisk empties the disk of a stopped host.
func (net *network) wipeDisk(h *testHost) {
	net.wipes++
	h.persisted = PersistedState{}
	h.diskID++
}

// completeWrite completes the pending write of a host.
func (net *network) completeWrite(h *testHost) {
	if !h.running || h.pendingWrite == nil {
		return
	}
	batch := h.pendingWrite
	h.pendingWrite = nil
	if batch.HardState != nil {
		h.persisted.HardState = *batch.HardState
	}
	if batch.Snapshot != nil {
		h.persisted.Snapshot, h.persisted.Entries = *batch.Snapshot, nil
		h.appliedIndex, h.stateHash = batch.Snapshot.Index, string(batch.Snapshot.Data)
		net.checkState(h.appliedIndex, h.stateHash)
		net.snapshotInstalls++
	}
	if len(batch.Entries) > 0 {
		kept := h.persisted.Entries
		for len(kept) > 0 && kept[len(kept)-1].Index >= batch.Entries[0].Index {
			kept = kept[:len(kept)-1]
		}
		h.persisted.Entries = append(append([]Entry(nil), kept...), batch.Entries...)
	}
	net.enqueue(h.node.WriteBatchSynced(net.localTime(h), batch))
	net.processOutput(h)
}

// processOutput takes all output of a host and checks it.
func (net *network) processOutput(h *testHost) {
	net.checkLeadership(h)
	net.enqueue(h.node.TakeMessages())
	for h.pendingWrite == nil {
		batch := h.node.TakeWriteBatch()
		if batch == nil {
			break
		}
		net.checkEntries(batch.Entries)
		if batch.NeedsSync() {
			h.pendingWrite = batch
			break
		}
		net.enqueue(h.node.WriteBatchSynced(net.localTime(h), batch))
		net.enqueue(h.node.TakeMessages())
	}
	for _, e := range h.node.TakeCommitted(16, 1<<20) {
		net.apply(h, e)
	}
	net.checkLeadership(h)
}

// enqueue adds messages to those in flight, passing each through the wire encoding.
// A snapshot message gets the snapshot on the sender's disk. At most 300 messages
// are in flight; the oldest are lost.
func (net *network) enqueue(messages []Message) {
	for _, m := range messages {
		if m.Type == MsgSnapshot {
			s := net.hosts[m.From-1].persisted.Snapshot
			m.Snapshot = &s
		}
		encoded, err := EncodeMessage(m)
		if err != nil {
			net.t.Fatalf("encode: %v", err)
		}
		if m, err = DecodeMessage(encoded); err != nil {
			net.t.Fatalf("decode: %v", err)
		}
		net.messages = append(net.messages, m)
	}
	if excess := len(net.messages) - 300; excess > 0 {
		net.messages = append([]Message(nil), net.messages[excess:]...)
	}
}

// deliver delivers one message; duplicate keeps a copy in flight.
func (net *network) deliver(i int, duplicate bool) {
	m := net.messages[i]
	if !duplicate {
		net.messages = append(net.messages[:i:i], net.messages[i+1:]...)
	}
	h := net.hosts[m.To-1]
	if !h.running || net.cutLinks[[2]uint64{m.From, m.To}] {
		return
	}
	h.node.Step(net.localTime(h), m)
	net.processOutput(h)
}

// advanceTime advances all clocks without delivering messages.
func (net *network) advanceTime(d time.Duration) {
	net.now += d
	for _, h := range net.hosts {
		if h.running {
			h.node.Tick(net.localTime(h))
			net.processOutput(h)
		}
	}
}

// runFor delivers messages and completes writes for a period.
func (net *network) runFor(d time.Duration) {
	for end := net.now + d; net.now < end; net.advanceTime(testHeartbeat / 4) {
		for range 12 {
			batch := len(net.messages)
			for range batch {
				net.deliver(0, false)
			}
			for _, h := range net.hosts {
				if !h.diskStalled {
					net.completeWrite(h)
				}
			}
		}
	}
}

// apply applies a committed entry and compares the result with the other hosts.
func (net *network) apply(h *testHost, e Entry) {
	if e.Index != h.appliedIndex+1 {
		net.t.Fatalf("host %d applies %d after %d", h.id, e.Index, h.appliedIndex)
	}
	sum := fnv.New64a()
	fmt.Fprint(sum, h.stateHash, e.Index, e.Term, e.Kind, string(e.Data))
	h.appliedIndex, h.stateHash = e.Index, strconv.FormatUint(sum.Sum64(), 16)
	net.checkState(h.appliedIndex, h.stateHash)
	if e.Kind == EntryMembership {
		net.membershipChanges++
	}
	if status := h.node.Status(); status.Role == Leader && e.Term == status.Term {
		net.observedIndex = max(net.observedIndex, e.Index)
	}
}

// checkState compares the state at an index with the state seen there before.
func (net *network) checkState(index uint64, state string) {
	if previous, ok := net.stateByIndex[index]; ok && previous != state {
		net.t.Fatalf("two states at index %d: an acknowledged entry was lost", index)
	}
	net.stateByIndex[index] = state
}

// checkEntries checks the log matching property (entries with the same index and
// term are equal) and that terms do not decrease.
func (net *network) checkEntries(entries []Entry) {
	for i, e := range entries {
		content := fmt.Sprint(e.Kind, string(e.Data))
		key := [2]uint64{e.Index, e.Term}
		if previous, ok := net.contentByIndexTerm[key]; ok && previous != content {
			net.t.Fatalf("logs do not match at index %d of term %d", e.Index, e.Term)
		}
		net.contentByIndexTerm[key] = content
		if i > 0 && e.Term < entries[i-1].Term {
			net.t.Fatalf("term decreases at index %d", e.Index)
		}
	}
}

// checkLeadership checks that a term has one leader and that two leases don't
// overlap, and does a read under the lease. A reported lease counts until its
// end, even if the leader has stepped down.
func (net *network) checkLeadership(h *testHost) {
	status := h.node.Status()
	if status.Role == Leader {
		if previous, ok := net.leaderDiskByTerm[status.Term]; ok && previous != h.diskID {
			net.t.Fatalf("two leaders in term %d", status.Term)
		}
		net.leaderDiskByTerm[status.Term] = h.diskID
	}
	if !status.HasLease || h.appliedIndex < status.TermStartIndex {
		return
	}
	h.reportedLeaseEnd = max(h.reportedLeaseEnd, status.LeaseEnd)
	for _, other := range net.hosts {
		if other != h && other.running && net.localTime(other) < other.reportedLeaseEnd {
			net.t.Fatalf("hosts %d and %d hold a lease at once", h.id, other.id)
		}
	}
	if h.appliedIndex < net.observedIndex {
		net.t.Fatalf("stale read at host %d: index %d was observed before, %d is applied", h.id, net.observedIndex, h.appliedIndex)
	}
	net.observedIndex = h.appliedIndex
}

// activeLeader returns the host that can serve reads, or nil: the one with a
// lease or, without leases, the leader that a quorum has followed recently.
func (net *network) activeLeader() *testHost {
	for _, h := range net.hosts {
		if h.running {
			status := h.node.Status()
			active := status.HasLease
			if h.node.cfg.DisableLease {
				active = status.Role == Leader && status.CommitIndex >= status.TermStartIndex && net.localTime(h)-status.QuorumContactAt < DefaultElectionTimeout
			}
			if active && h.appliedIndex >= status.TermStartIndex {
				return h
			}
		}
	}
	return nil
}

// propose proposes a command at a host.
func (net *network) propose(h *testHost, command string) error {
	_, _, err := h.node.Propose(net.localTime(h), []byte(command))
	net.processOutput(h)
	return err
}

// takeSnapshot takes and syncs a snapshot, and drops the entries up to compactIndex.
func (net *network) takeSnapshot(h *testHost, compactIndex uint64) {
	s, ok := h.node.SnapshotMetadata(h.appliedIndex)
	if !ok || h.pendingWrite != nil {
		return
	}
	s.Data = []byte(h.stateHash)
	h.persisted.Snapshot = s
	for len(h.persisted.Entries) > 0 && h.persisted.Entries[0].Index <= min(compactIndex, s.Index) {
		h.persisted.Entries = h.persisted.Entries[1:]
	}
	h.node.SetSnapshot(s, compactIndex)
}

// setIsolated cuts or restores all links of a host, in both directions.
func (net *network) setIsolated(h *testHost, cut bool) {
	for _, other := range net.hosts {
		net.cutLinks[[2]uint64{h.id, other.id}] = cut
		net.cutLinks[[2]uint64{other.id, h.id}] = cut
	}
}
