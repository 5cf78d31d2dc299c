package replica

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/digest"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

const (
	repairInterval = 200 * time.Millisecond
	repairTimeout  = 10 * time.Second // of one call for the state of another host
	repairAskDelay = time.Second      // until the next host is asked as well
	// handOverTimeout limits how long an odd host waits until the others have its digest, before it steps down and is restored.
	handOverTimeout = 500 * time.Millisecond
)

// CopyOddError reports that this host's copy of the state differs from that of a majority of the voters.
type CopyOddError struct {
	Index uint64 // of the log
	// Restored is the index up to which the present copy had been restored before, 0 if it was not. Such
	// a copy is not restored again by this process.
	Restored uint64
	// MembersDiffer tells that the members in the own log are not those of the majority's state, which
	// no state of another host mends.
	MembersDiffer bool
}

// isFinal reports whether the copy is not restored by this process.
func (e *CopyOddError) isFinal() bool { return e.Restored > 0 || e.MembersDiffer }

func (e *CopyOddError) Error() string {
	if e.MembersDiffer {
		return fmt.Sprintf("the members in the log differ from the majority's at index %d", e.Index)
	}
	if e.Restored > 0 {
		return fmt.Sprintf("the copy of the state differs from the majority's at index %d, again after it was restored at %d", e.Index, e.Restored)
	}
	return fmt.Sprintf("the copy of the state differs from the majority's at index %d", e.Index)
}

// noStateError reports why a state can't be restored now.
type noStateError struct {
	reason string
}

func (e *noStateError) Error() string { return "no state to restore: " + e.reason }

// Repairs is what a process remembers of the repairs of its copy of the state, across all openings of
// the data folder.
type Repairs struct {
	mu       sync.Mutex
	restored uint64        // index of the newest restored state, 0 for none
	odd      *CopyOddError // the copy that was given up, nil once a newer snapshot was found stored
	// oddSnapshot is the newest index of a stored snapshot that may contain the difference.
	oddSnapshot uint64
	excluded    *CopyOddError // set once the copy is not restored any more
}

// unknownIndex stands for an index that is not known yet and may be any.
const unknownIndex = math.MaxUint64

// beginOpening returns why an opening that starts from a stored snapshot must not act on it, nil if it may.
// A snapshot that may contain a difference found before is given up again: the restored state was never stored.
func (r *Repairs) beginOpening(snapshotIndex uint64) *CopyOddError {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.excluded != nil {
		return r.excluded
	}
	if snapshotIndex > r.oddSnapshot {
		r.odd = nil
	}
	if r.odd != nil {
		r.restored = 0
	}
	return r.odd
}

// exclude ends the repairs.
func (r *Repairs) exclude(odd *CopyOddError) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.excluded = odd
}

// rebuild is a state of another host whose digest is that of the majority.
type rebuild struct {
	want    digest.Digest
	machine StateMachine
	done    chan struct{} // closed once the state is replaced or refused
	// Filled in by the node loop:
	membership    consensus.Membership // at the index of want
	snapshotIndex uint64               // of the newest own snapshot, which may contain the difference
}

// CopyOdd returns why this replica does not act on its state, nil if it does.
func (r *Replica) CopyOdd() error {
	if odd := r.copyOdd.Load(); odd != nil {
		return odd
	}
	return nil
}

// giveUp stops acting on the own state, which differs from that of the majority at an index.
func (r *Replica) giveUp(index uint64) {
	repairs := r.options.Repairs
	repairs.mu.Lock()
	if index <= repairs.restored { // found in a request that outlives an opening: it was of the copy before
		repairs.mu.Unlock()
		return
	}
	odd := &CopyOddError{Index: index, Restored: repairs.restored}
	if odd.Restored > 0 {
		repairs.excluded = odd
	} else {
		repairs.odd, repairs.oddSnapshot = odd, unknownIndex
	}
	repairs.mu.Unlock()
	if !r.copyOdd.CompareAndSwap(nil, odd) {
		return
	}
	select {
	case <-r.stopped: // found in a request that outlives this opening of the data folder
		return
	default:
	}
	r.options.OnState(nil)
	r.setGauge(metrics.StateOdd, 1)
	if odd.Restored > 0 {
		r.logger.Error("copy of the state differs again, staying out", "id", r.options.ID, "index", index, "restored", odd.Restored)
	} else {
		r.logger.Error("copy of the state given up", "id", r.options.ID, "index", index)
	}
	r.repairWanted <- struct{}{}
}

func (r *Replica) setGauge(name string, value int64) {
	if r.options.Metrics != nil {
		r.options.Metrics.SetGauge(name, value)
	}
}

// runRepair keeps this host from leading while its copy is odd, and restores the copy.
func (r *Replica) runRepair(ctx context.Context) error {
	lastReason := ""
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.repairWanted:
		}
		r.waitUntilTold(ctx)
		for r.CopyOdd() != nil {
			if err := r.repair(ctx); err != nil && err.Error() != lastReason {
				lastReason = err.Error()
				r.logger.Warn("copy of the state not restored yet", "id", r.options.ID, "error", err)
			}
			if !r.waitFor(ctx, repairInterval) {
				return nil
			}
		}
		mayLead := true
		if err := r.submitControl(ctx, &controlRequest{mayLead: &mayLead, done: make(chan outcome, 1)}); err != nil {
			r.logger.Warn("this host does not lead until it is started again", "id", r.options.ID, "error", err)
		}
	}
}

// waitUntilTold waits until the other hosts have the digest that differs: a leader tells them in its round, another host
// answers the leader. Once the copy is restored, its digest is that of the majority.
func (r *Replica) waitUntilTold(ctx context.Context) {
	deadline := r.now() + handOverTimeout
	for !r.hasToldDigest() && r.now() < deadline && r.waitFor(ctx, retryInterval) {
	}
}

// hasToldDigest reports whether the leader's newest round has the own digest.
func (r *Replica) hasToldDigest() bool {
	if nodeStatus := r.nodeStatus.Load(); nodeStatus.Role == consensus.Leader {
		return r.digests.isRoundTold(nodeStatus.Membership.Members, r.options.ID)
	}
	return r.digests.isAnswered()
}

// waitFor waits and reports false if ctx ended first.
func (r *Replica) waitFor(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// repair queues a state of the majority to replace the own one. A copy that differed again after it
// was restored is only kept from leading.
func (r *Replica) repair(ctx context.Context) error {
	mayLead := false
	if err := r.submitControl(ctx, &controlRequest{mayLead: &mayLead, done: make(chan outcome, 1)}); err != nil {
		return err
	}
	odd := r.copyOdd.Load()
	if odd == nil || odd.isFinal() {
		return nil
	}
	state, err := r.fetchState(ctx)
	if err != nil {
		return err
	}
	if err := r.submitControl(ctx, &controlRequest{rebuild: state, done: make(chan outcome, 1)}); err != nil {
		return err
	}
	select {
	case <-state.done:
	case <-ctx.Done():
	}
	return nil
}

// fetchState returns a state whose digest a majority of the voters shares. It asks one voter after the other, the next one
// also while those before have not answered.
func (r *Replica) fetchState(ctx context.Context) (*rebuild, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	voters := r.voterIDs()
	others := slices.DeleteFunc(slices.Clone(voters), func(id uint64) bool { return id == r.options.ID })
	type result struct {
		state *rebuild
		err   error
	}
	results := make(chan result, len(others))
	err := error(&noStateError{reason: "no other voter is known"})
	for asked, failed := 0, 0; failed < len(others); {
		if asked < len(others) {
			host := others[asked]
			asked++
			go func() {
				state, err := r.fetchStateFrom(ctx, host)
				if err == nil {
					err = r.confirmState(ctx, state, host, voters)
				}
				results <- result{state, err}
			}()
		}
		select {
		case got := <-results:
			if got.err == nil {
				return got.state, nil
			}
			err = got.err
			failed++
		case <-time.After(repairAskDelay):
		}
	}
	return nil, err
}

// fetchStateFrom returns the newest state of a host, checked against the digest that it has of it.
func (r *Replica) fetchStateFrom(ctx context.Context, host uint64) (*rebuild, error) {
	response, err := r.askState(ctx, host, 0)
	if err != nil {
		return nil, err
	}
	machine := r.options.NewStateMachine()
	if err := machine.Restore(response.Snapshot); err != nil {
		return nil, errors.Wrap(err, "restore the state machine")
	}
	source, ok := machine.(DigestSource)
	if !ok {
		return nil, &noStateError{reason: "this state has no digest"}
	}
	format, parts := source.DigestParts()
	// The membership is that of the own log.
	sums := sumsFromProto(response.Digests.Groups[0].Sums)
	own := digest.Compute(response.Digests.Index, format, parts)
	if format != response.Digests.Format || len(sums) != len(own.Sums)+1 || !slices.Equal(own.Sums, sums[:len(own.Sums)]) {
		return nil, &noStateError{reason: fmt.Sprintf("host %d sent a state that does not have its digest", host)}
	}
	own.Names, own.Sums = append(own.Names, membersPart), sums
	return &rebuild{want: own, machine: machine, done: make(chan struct{})}, nil
}

// confirmState succeeds once a majority of the voters has the digest of a state of one of them.
func (r *Replica) confirmState(ctx context.Context, state *rebuild, from uint64, voters []uint64) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan bool, len(voters))
	asked := 0
	for _, host := range voters {
		if host == from || host == r.options.ID {
			continue
		}
		asked++
		go func() {
			response, err := r.askState(ctx, host, state.want.Index)
			answers <- err == nil && response.Digests.Index == state.want.Index && response.Digests.Format == state.want.Format &&
				slices.Equal(sumsFromProto(response.Digests.Groups[0].Sums), state.want.Sums)
		}()
	}
	agree := 1
	for ; asked > 0 && 2*agree <= len(voters); asked-- {
		if <-answers {
			agree++
		}
	}
	if 2*agree <= len(voters) {
		return &noStateError{reason: "no majority of the voters has confirmed the newest one"}
	}
	return nil
}

// askState calls State on a host and checks the form of the response.
func (r *Replica) askState(ctx context.Context, host, index uint64) (*pb.StateResponse, error) {
	url := r.hostURL(host)
	if url == "" {
		return nil, &refusedError{reason: "its URL is not known"}
	}
	timeout := repairTimeout
	if index != 0 { // a digest alone
		timeout = r.options.StepTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	response, err := r.client(url).State(ctx, connect.NewRequest(&pb.StateRequest{Cluster: r.options.ClusterName, Index: index}))
	if err != nil {
		return nil, errors.Wrapf(err, "ask host %d for its state", host)
	}
	if len(response.Msg.GetDigests().GetGroups()) != 1 {
		return nil, &DigestError{From: host, Reason: "not the digest of one host"}
	}
	return response.Msg, nil
}

// State returns the newest state with a digest, or the digest of an index, to another host.
func (s *peerService) State(_ context.Context, req *connect.Request[pb.StateRequest]) (*connect.Response[pb.StateResponse], error) {
	if err := s.checkCluster(req.Msg.Cluster); err != nil {
		return nil, err
	}
	if err := s.CopyOdd(); err != nil {
		return nil, connect.NewError(connect.CodeNotFound, err)
	}
	s.digests.mu.Lock()
	newest, index := s.digests.newest, req.Msg.Index
	if index == 0 {
		index = newest.index
	}
	own, ok := s.digests.table.Own(index)
	s.digests.mu.Unlock()
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, &noStateError{reason: fmt.Sprintf("no digest of index %d", index)})
	}
	response := &pb.StateResponse{Digests: s.ownToProto(own)}
	if req.Msg.Index == 0 {
		response.Snapshot = newest.source.SnapshotOf(newest.parts)
	}
	return connect.NewResponse(response), nil
}

// startRebuild makes the goroutine that applies entries replace the state and apply the entries after
// it again. It is refused while the node can't return them.
func (l *nodeLoop) startRebuild(ctx context.Context, state *rebuild) error {
	if l.writingSnapshot {
		return &refusedError{reason: "a snapshot of the own state is being written"}
	}
	membership, snapshotIndex, ok := l.node.Reapply(state.want.Index)
	if !ok {
		return &noStateError{reason: fmt.Sprintf("the log does not lead on from index %d yet", state.want.Index)}
	}
	l.pendingSnapshot = nil
	for l.stateSnapshots.Len() > 0 {
		<-l.stateSnapshots.Chan()
	}
	state.membership, state.snapshotIndex = membership, snapshotIndex
	return l.applyJobs.PutWait(ctx, applyJob{rebuild: state})
}

// finishRebuild replaces the state, if the membership is that of the majority too.
func (r *Replica) finishRebuild(state *rebuild) error {
	defer close(state.done)
	members, err := consensus.EncodeMembership(state.membership)
	if err != nil {
		return err
	}
	sums := digest.Compute(state.want.Index, state.want.Format, []digest.Part{{Name: membersPart, Chunks: [][]byte{members}}}).Sums
	if last := len(state.want.Sums) - 1; sums[0] != state.want.Sums[last] {
		r.logger.Error("membership differs, staying out", "id", r.options.ID, "index", state.want.Index,
			"digest", sums[0].String(), "majority", state.want.Sums[last].String())
		odd := &CopyOddError{Index: state.want.Index, MembersDiffer: true}
		r.options.Repairs.exclude(odd)
		r.copyOdd.Store(odd)
		return nil
	}
	r.digests.forgetOwn()
	repairs := r.options.Repairs
	repairs.mu.Lock()
	repairs.restored = state.want.Index // after the last digest of the old state is gone
	repairs.oddSnapshot = state.snapshotIndex
	repairs.mu.Unlock()
	r.machine, r.appliedMembership = state.machine, state.membership
	r.appliedIndex.Store(state.want.Index)
	r.copyOdd.Store(nil)
	r.options.OnState(state.machine)
	r.setGauge(metrics.StateOdd, 0)
	r.count(metrics.StateRestores, 1)
	r.logger.Info("copy of the state restored", "id", r.options.ID, "index", state.want.Index)
	r.captureDigest(state.want.Index)
	r.replaceSnapshot = true
	r.snapshotToReplace = state.snapshotIndex
	return r.replaceOddSnapshot()
}

// replaceOddSnapshot takes a snapshot of a restored state once it can replace the one that was stored
// before. Only the goroutine that applies entries calls it.
func (r *Replica) replaceOddSnapshot() error {
	if !r.replaceSnapshot || r.appliedIndex.Load() <= r.snapshotToReplace {
		return nil
	}
	r.replaceSnapshot = false
	return r.takeSnapshot()
}
