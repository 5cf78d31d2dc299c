package replica

import (
	"context"
	"hash/crc32"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/digest"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

const (
	// defaultDigestInterval bounds the bytes between two hosts, at any rate of entries.
	defaultDigestInterval = 4 * time.Second
	// digestCollectTimeout is how long the leader waits for all hosts before it tells them what the
	// others have reported.
	digestCollectTimeout = time.Second

	digestQueueCapacity = 64
)

// DigestSource is a StateMachine whose copies can be compared by their digests.
type DigestSource interface {
	// DigestParts returns the canonical encoding of the state, and the version of its format. The
	// chunks must not change afterwards.
	DigestParts() (format uint32, parts []digest.Part)
	// SnapshotOf returns the snapshot of the state that has the parts.
	SnapshotOf(parts []digest.Part) []byte
}

// membersPart is the name of the last part of a digest, the membership of the log.
const membersPart = "members"

// DigestError reports digests of another host that can't be used.
type DigestError struct {
	From   uint64
	Reason string
}

func (e *DigestError) Error() string { return "digests of another host can't be used: " + e.Reason }

// digestJob is the state at an index, to be hashed.
type digestJob struct {
	index      uint64
	format     uint32
	parts      []digest.Part // membersPart is the last one
	source     DigestSource
	generation uint64 // of the state
}

// digests is what a replica knows of the digests of all hosts.
type digests struct {
	mu         sync.Mutex
	table      *digest.Table
	newest     digestJob         // the newest state that has a digest
	generation uint64            // increases each time that the own state is replaced by the majority's
	round      digestRound       // of the leader
	sent       map[uint64]uint64 // by host, the newest version of a round that it has received
	asked      uint64            // index of the leader's newest round
	askedBy    uint64
	answered   uint64            // index of the newest answer that the leader has received
	odd        map[uint64]uint64 // newest index for which a host was reported as odd
	disputed   uint64            // newest index that was reported as without a majority
}

// digestRound is one index whose digests a leader collects from all hosts.
type digestRound struct {
	index     uint64
	startedAt time.Duration
	closed    bool   // the other hosts receive what all have reported
	version   uint64 // increases with each change that the other hosts receive
}

func newDigests(self uint64) *digests {
	return &digests{table: digest.NewTable(self), sent: map[uint64]uint64{}, odd: map[uint64]uint64{}}
}

// captureDigest queues the state of the present index to be hashed, outside of the goroutine that
// applies entries. Only that goroutine calls it.
func (r *Replica) captureDigest(index uint64) {
	source, ok := r.machine.(DigestSource)
	if !ok || !digest.IsAgreed(index) {
		return
	}
	members, err := consensus.EncodeMembership(r.appliedMembership)
	if err != nil {
		r.logger.Warn("no digest taken", "id", r.options.ID, "index", index, "error", err)
		return
	}
	format, parts := source.DigestParts()
	r.digests.mu.Lock()
	generation := r.digests.generation
	r.digests.mu.Unlock()
	job := digestJob{index: index, format: format, source: source, generation: generation, parts: append(parts, digest.Part{Name: membersPart, Chunks: [][]byte{members}})}
	if err := r.digestJobs.TryPut(job); err != nil {
		r.logger.Debug("no digest taken", "id", r.options.ID, "index", index, "error", err)
	}
}

// applyMembership records the membership of a membership entry.
func (r *Replica) applyMembership(e consensus.Entry) {
	m, err := consensus.DecodeMembership(e.Data)
	if err != nil {
		r.logger.Error("membership not decoded", "id", r.options.ID, "index", e.Index, "error", err)
		return
	}
	r.appliedMembership = m
}

// runDigests hashes the queued states.
func (r *Replica) runDigests(ctx context.Context) error {
	for {
		job, err := r.digestJobs.Take(ctx)
		if err != nil {
			return nil
		}
		r.finishDigest(job)
	}
}

// finishDigest records the digest of a state and compares it with those of the other hosts.
func (r *Replica) finishDigest(job digestJob) {
	d := digest.Compute(job.index, job.format, job.parts)
	r.digests.mu.Lock()
	current := job.generation == r.digests.generation
	if current {
		r.digests.table.RecordOwn(d)
		r.digests.newest = job
	}
	r.digests.mu.Unlock()
	if !current {
		return
	}
	r.count(metrics.StateDigests, 1)
	r.compareDigests(job.index)
}

// isRoundTold reports whether all hosts have what the leader collected in its newest round.
func (d *digests) isRoundTold(members []consensus.Member, self uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, m := range members {
		if m.ID != self && d.sent[m.ID] != d.round.version {
			return false
		}
	}
	return true
}

// isAnswered reports whether the leader has the own digest that it asked for.
func (d *digests) isAnswered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answered == d.asked
}

// forgetOwn removes the digests of the own state, which is replaced.
func (d *digests) forgetOwn() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.table.ForgetOwn()
	d.newest = digestJob{}
	d.generation++
}

// count adds to a counter, if there are metrics.
func (r *Replica) count(name string, n int64) {
	if r.options.Metrics != nil {
		r.options.Metrics.AddToCounter(name, n)
	}
}

// voterIDs returns the voters of the present membership.
func (r *Replica) voterIDs() []uint64 {
	var voters []uint64
	for _, m := range r.nodeStatus.Load().Membership.Members {
		if m.IsVoter {
			voters = append(voters, m.ID)
		}
	}
	return voters
}

// compareDigests compares the digests of an index, and reports each host that differs once.
func (r *Replica) compareDigests(index uint64) {
	d := r.digests
	d.mu.Lock()
	defer d.mu.Unlock()
	v, ok := d.table.Compare(index, r.voterIDs())
	if !ok || !v.Differs() || !v.IsFinal() {
		return
	}
	if !v.HasMajority {
		if d.disputed < index {
			d.disputed = index
			r.reportDispute(v)
		}
		return
	}
	majority := v.Own
	majority.Sums = v.Groups[0].Sums
	for _, g := range v.Odd() {
		for _, host := range g.Hosts {
			if d.odd[host] < index {
				d.odd[host] = index
				r.reportOdd(host, majority, g.Sums)
			}
		}
	}
	if v.IsOdd(r.options.ID) {
		if d.round.index == index && !d.round.closed {
			d.round.closed = true
			d.round.version++
		}
		r.giveUp(index)
	}
}

// reportOdd reports that a host's copy of the state differs from that of the majority.
func (r *Replica) reportOdd(host uint64, majority digest.Digest, sums []digest.Sum) {
	r.count(metrics.StateDifferences, 1)
	for _, difference := range majority.Differences(sums) {
		r.logger.Error("copy of the state differs", "id", r.options.ID, "host", host, "index", majority.Index,
			"part", difference.Part, "digest", difference.Sum.String(), "majority", difference.WantSum.String())
	}
}

// reportDispute reports that copies of the state differ, and that no majority agrees.
func (r *Replica) reportDispute(v digest.Verdict) {
	r.count(metrics.StateDisputes, 1)
	for _, g := range v.Groups {
		for i, part := range v.Own.Names {
			r.logger.Error("copies of the state differ and no majority agrees", "id", r.options.ID, "hosts", g.Hosts,
				"index", v.Own.Index, "part", part, "digest", g.Sums[i].String())
		}
	}
}

// receiveDigests records the digests in a request of another host. An error is a *DigestError.
func (r *Replica) receiveDigests(request *pb.StepRequest) error {
	if len(request.Digests) == 0 {
		return nil
	}
	if crc32.Checksum(request.Digests, castagnoli) != request.DigestsChecksum {
		return &DigestError{From: request.From, Reason: "wrong checksum"}
	}
	var m pb.StateDigests
	if err := proto.Unmarshal(request.Digests, &m); err != nil {
		return &DigestError{From: request.From, Reason: err.Error()}
	}
	if !digest.IsAgreed(m.Index) {
		return &DigestError{From: request.From, Reason: "not at an agreed index"}
	}
	r.recordDigests(request.From, &m)
	r.compareDigests(m.Index)
	return nil
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// recordDigests records the digests that another host has sent.
func (r *Replica) recordDigests(from uint64, m *pb.StateDigests) {
	d := r.digests
	d.mu.Lock()
	defer d.mu.Unlock()
	if from == r.nodeStatus.Load().LeaderID && (m.Index > d.asked || from != d.askedBy) {
		d.asked, d.askedBy, d.answered = m.Index, from, 0
	}
	for _, g := range m.Groups {
		sums := sumsFromProto(g.Sums)
		for _, host := range g.Hosts {
			late := d.round.closed && d.round.index == m.Index && !d.table.HasReport(host, m.Index)
			d.table.RecordReport(host, m.Index, m.Format, sums)
			if own, ok := d.table.Own(m.Index); late && ok && !slices.Equal(own.Sums, sums) {
				d.round.version++
			}
		}
	}
}

// addDigests adds to a request what its receiver has not received yet. The result is called once
// the receiver has the request.
func (r *Replica) addDigests(request *pb.StepRequest) (received func()) {
	d := r.digests
	d.mu.Lock()
	defer d.mu.Unlock()
	nodeStatus := r.nodeStatus.Load()
	var m *pb.StateDigests
	switch {
	case nodeStatus.Role == consensus.Leader:
		m, received = r.roundFor(request.To, nodeStatus)
	case request.To == nodeStatus.LeaderID && request.To == d.askedBy:
		m, received = r.answer()
	}
	if m == nil {
		return func() {}
	}
	encoded, err := proto.Marshal(m)
	if err != nil {
		r.logger.Warn("digests not sent", "id", r.options.ID, "error", errors.Wrap(err, "encode digests"))
		return func() {}
	}
	request.Digests, request.DigestsChecksum = encoded, crc32.Checksum(encoded, castagnoli)
	recordReceipt := received
	return func() {
		r.stats.DigestBytesSent.Add(uint64(len(encoded)))
		recordReceipt()
	}
}

// roundFor returns what a host lacks of the leader's newest round, nil if it has all. The caller holds the lock.
func (r *Replica) roundFor(host uint64, nodeStatus *consensus.Status) (m *pb.StateDigests, received func()) {
	d := r.digests
	r.advanceRound(nodeStatus)
	version := d.round.version
	if d.sent[host] == version {
		return nil, nil
	}
	v, ok := d.table.Compare(d.round.index, nil)
	if !ok {
		return nil, nil
	}
	m = &pb.StateDigests{Index: v.Own.Index, Format: v.Own.Format}
	for _, g := range v.Groups {
		m.Groups = append(m.Groups, &pb.DigestGroup{Sums: sumsToProto(g.Sums), Hosts: g.Hosts})
	}
	return m, func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.sent[host] = max(d.sent[host], version)
	}
}

// advanceRound closes the leader's round once all hosts have answered or have had the time to, and
// begins the next one once there is a newer digest. The caller holds the lock.
func (r *Replica) advanceRound(nodeStatus *consensus.Status) {
	d, now := r.digests, r.now()
	if !d.round.closed && d.round.index > 0 {
		complete := true
		for _, member := range nodeStatus.Membership.Members {
			complete = complete && (member.ID == r.options.ID || d.table.HasReport(member.ID, d.round.index))
		}
		if complete || now-d.round.startedAt >= digestCollectTimeout {
			d.round.closed = true
			d.round.version++
		}
	}
	newest, ok := d.table.NewestOwn()
	if ok && newest.Index > d.round.index && (d.round.index == 0 || d.round.closed && now-d.round.startedAt >= r.options.DigestInterval) {
		d.round = digestRound{index: newest.Index, startedAt: now, version: d.round.version + 1}
	}
}

// answer returns the own digest that the leader has asked for, nil if the leader has it or there is
// none. The caller holds the lock.
func (r *Replica) answer() (m *pb.StateDigests, received func()) {
	d := r.digests
	asked, askedBy := d.asked, d.askedBy
	own, ok := d.table.Reported(asked)
	if !ok || d.answered == asked {
		return nil, nil
	}
	return r.ownToProto(own), func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.asked == asked && d.askedBy == askedBy {
			d.answered = asked
		}
	}
}

func sumsToProto(sums []digest.Sum) []uint64 {
	out := make([]uint64, len(sums))
	for i, s := range sums {
		out[i] = uint64(s)
	}
	return out
}

func sumsFromProto(sums []uint64) []digest.Sum {
	out := make([]digest.Sum, len(sums))
	for i, s := range sums {
		out[i] = digest.Sum(s)
	}
	return out
}

// ownToProto encodes a digest of the own state.
func (r *Replica) ownToProto(own digest.Digest) *pb.StateDigests {
	return &pb.StateDigests{Index: own.Index, Format: own.Format,
		Groups: []*pb.DigestGroup{{Sums: sumsToProto(own.Sums), Hosts: []uint64{r.options.ID}}}}
}
