package replica

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// journalJob is one synced write to the journal: either a batch of the node's
// changes, or a snapshot of the local state machine. After a snapshot the
// entries up to compactIndex are deleted.
type journalJob struct {
	batch        *consensus.WriteBatch
	snapshot     *consensus.Snapshot
	compactIndex uint64
}

// Run runs the replica until ctx ends or the journal or the state machine
// fails, then closes the data folder. A second call returns an *OptionsError.
// Other errors are those of package journal or of the state machine.
func (r *Replica) Run(ctx context.Context) error {
	if r.started.Swap(true) {
		return &OptionsError{Field: "Run", Reason: "was called before; open the data folder again"}
	}
	defer close(r.stopped)
	group, ctx := errgroup.WithContext(ctx)
	loop := &nodeLoop{Replica: r, group: group, peerQueues: map[uint64]*ring.Ring[consensus.Message]{},
		snapshotQueues: map[uint64]*ring.Ring[consensus.Message]{}}
	group.Go(func() error { return loop.run(ctx) })
	group.Go(func() error { return r.runJournal(ctx) })
	group.Go(func() error { return r.runApply(ctx) })
	group.Go(func() error { return r.runDigests(ctx) })
	group.Go(func() error { return r.runRepair(ctx) })
	err := group.Wait()
	nodeStatus := *r.nodeStatus.Load()
	nodeStatus.Role, nodeStatus.HasLease, nodeStatus.LeaderID = consensus.Follower, false, 0
	r.nodeStatus.Store(&nodeStatus)
	return errors.CombineErrors(err, r.journal.Close())
}

// runJournal carries out the journal jobs one at a time.
func (r *Replica) runJournal(ctx context.Context) error {
	for {
		job, err := r.journalJobs.Take(ctx)
		if err != nil {
			return nil
		}
		if err := r.writeJournal(job); err != nil {
			r.logger.Error("journal not written, closing the data folder", "id", r.options.ID, "error", err)
			return err
		}
		if err := r.journalDone.PutWait(ctx, job); err != nil {
			return nil
		}
	}
}

// writeJournal writes and syncs one job.
func (r *Replica) writeJournal(job journalJob) error {
	r.stats.JournalSyncs.Add(1)
	if job.snapshot != nil {
		return r.journal.WriteSnapshot(*job.snapshot, job.compactIndex)
	}
	r.stats.EntriesWritten.Add(uint64(len(job.batch.Entries)))
	if err := r.journal.Write(job.batch); err != nil {
		return err
	}
	if job.batch.HardState != nil && job.batch.HardState.ClusterID != 0 {
		r.belongsToCluster.Store(true)
	}
	return nil
}

// nodeLoop is the state of the goroutine that owns the consensus node.
type nodeLoop struct {
	*Replica
	group *errgroup.Group
	// By host:
	peerQueues, snapshotQueues map[uint64]*ring.Ring[consensus.Message]

	journalBusy     bool           // a journal job is under way
	writingSnapshot bool           // it is a snapshot of the own state
	pendingSnapshot *stateSnapshot // to be written to the journal next
	ledAt           time.Duration  // when this replica last led
	nodeJoinMembers *[]Member      // that the node has
}

// run handles inputs in batches, and passes on the node's output after each batch.
func (l *nodeLoop) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	l.updateJoinMembers()
	l.node.Tick(l.now())
	l.flush(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			l.updateJoinMembers()
			l.node.Tick(l.now())
			l.snapshotReceiver.dropStale(l.now(), l.nodeStatus.Load().Term)
			l.failStranded()
		case batch := <-l.messages.Chan():
			l.handleMessages(batch)
		case p := <-l.proposals.Chan():
			l.handleProposal(p)
		case c := <-l.controls.Chan():
			l.handleControl(ctx, c)
		case job := <-l.journalDone.Chan():
			l.finishJournalJob(ctx, job)
		case snapshot := <-l.stateSnapshots.Chan():
			l.pendingSnapshot = &snapshot
		}
		l.handleQueuedInputs()
		l.flush(ctx)
	}
}

// now returns the time on the node's clock, which is monotonic.
func (r *Replica) now() time.Duration { return time.Since(r.clockStart) }

// handleMessages passes messages of other hosts to the node.
func (l *nodeLoop) handleMessages(batch []consensus.Message) {
	now := l.now()
	for _, m := range batch {
		l.node.Step(now, m)
	}
}

// failStranded fails the proposals of an earlier leadership that no leader has committed or replaced: one that is cut off
// may not learn of either for any time.
func (l *nodeLoop) failStranded() {
	if l.nodeStatus.Load().Role == consensus.Leader {
		l.ledAt = l.now()
	} else if l.now()-l.ledAt > strandedTimeout {
		l.pendingProposals.failThrough(math.MaxUint64, "this host stopped leading")
	}
}

// handleQueuedInputs handles up to maxInputsPerFlush messages and proposals that
// are queued already, without waiting.
func (l *nodeLoop) handleQueuedInputs() {
	for range maxInputsPerFlush {
		select {
		case batch := <-l.messages.Chan():
			l.handleMessages(batch)
		case p := <-l.proposals.Chan():
			l.handleProposal(p)
		default:
			return
		}
	}
}

// flush passes on the node's output. The node's status is published first, so that
// this replica gives up its lease before the next leader learns of the transfer.
func (l *nodeLoop) flush(ctx context.Context) {
	l.publishNodeStatus()
	l.queueMessages(ctx, l.node.TakeMessages())
	l.startJournalJob(ctx)
	l.queueCommitted(ctx)
}

// startJournalJob starts the next journal job, if none is under way. A pending
// snapshot is written first, so that a steady load of entries can't delay it
// forever. A batch that needs no write is completed at once.
func (l *nodeLoop) startJournalJob(ctx context.Context) {
	if !l.journalBusy {
		l.startSnapshotJob(ctx)
	}
	for !l.journalBusy {
		batch := l.node.TakeWriteBatch()
		if batch != nil && batch.NeedsSync() {
			l.journalBusy = true
			_ = l.journalJobs.PutWait(ctx, journalJob{batch: batch})
			return
		}
		if batch == nil {
			return
		}
		l.queueMessages(ctx, l.node.WriteBatchSynced(l.now(), batch))
		l.queueMessages(ctx, l.node.TakeMessages())
	}
}

// startSnapshotJob starts a journal job for the pending snapshot, if any.
func (l *nodeLoop) startSnapshotJob(ctx context.Context) {
	if l.pendingSnapshot == nil {
		return
	}
	pending := l.pendingSnapshot
	l.pendingSnapshot = nil
	snapshot, ok := l.node.SnapshotMetadata(pending.index)
	if !ok {
		return
	}
	snapshot.Data = pending.data
	job := journalJob{snapshot: &snapshot, compactIndex: l.node.CompactionIndex(snapshot,
		l.options.SnapshotIntervalEntries/trailingLogDivisor, l.options.SnapshotIntervalBytes/trailingLogDivisor)}
	l.journalBusy, l.writingSnapshot = true, true
	_ = l.journalJobs.PutWait(ctx, job)
}

// finishJournalJob tells the node that a journal job is synced.
func (l *nodeLoop) finishJournalJob(ctx context.Context, job journalJob) {
	l.journalBusy, l.writingSnapshot = false, false
	if job.snapshot != nil {
		l.node.SetSnapshot(*job.snapshot, job.compactIndex)
		return
	}
	if job.batch.Snapshot != nil {
		_ = l.applyJobs.PutWait(ctx, applyJob{snapshot: job.batch.Snapshot})
	}
	l.queueMessages(ctx, l.node.WriteBatchSynced(l.now(), job.batch))
}

// queueCommitted queues committed entries for the state machine while its queue
// has room. One slot is left free for a snapshot to restore.
func (l *nodeLoop) queueCommitted(ctx context.Context) {
	for l.applyJobs.Len() < applyQueueCapacity-1 {
		entries := l.node.TakeCommitted(maxApplyEntries, maxApplyBytes)
		if len(entries) == 0 {
			return
		}
		_ = l.applyJobs.PutWait(ctx, applyJob{entries: entries})
	}
}

// publishNodeStatus publishes the node's status to the other goroutines. It logs a
// change of term, role, leader or voter status, or of the number of hosts that the
// bootstrap waits for.
func (l *nodeLoop) publishNodeStatus() {
	nodeStatus := l.node.Status()
	old := l.nodeStatus.Swap(&nodeStatus)
	l.logMembers(old.Membership.Members, nodeStatus.Membership.Members)
	if old.Term == nodeStatus.Term && old.Role == nodeStatus.Role && old.LeaderID == nodeStatus.LeaderID &&
		old.IsVoter == nodeStatus.IsVoter && len(old.BootstrapBlockers) == len(nodeStatus.BootstrapBlockers) {
		return
	}
	l.logger.Info("replica changed", "id", l.options.ID, "term", nodeStatus.Term, "leader", nodeStatus.LeaderID,
		"leading", nodeStatus.Role == consensus.Leader, "voter", nodeStatus.IsVoter, "missing", nodeStatus.BootstrapBlockers)
}

// logMembers logs a change of the members, which are the newest ones in the log, committed or not.
func (l *nodeLoop) logMembers(before, after []consensus.Member) {
	if slices.Equal(before, after) {
		return
	}
	var voters, learners []uint64
	for _, m := range after {
		if m.IsVoter {
			voters = append(voters, m.ID)
		} else {
			learners = append(learners, m.ID)
		}
	}
	l.logger.Info("members changed", "id", l.options.ID, "voters", voters, "learners", learners)
}
