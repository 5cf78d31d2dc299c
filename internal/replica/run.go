package replica

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// journalJob is one synced write: a Save, or a local snapshot.
type journalJob struct {
	save      *consensus.Save
	snapshot  *consensus.Snapshot
	compactTo uint64
}

// Run drives the replica until ctx ends or the journal fails, then closes
// the data folder. A second call is refused with *OptionsError. Other errors
// are those of package journal, or of the state machine's Restore.
func (r *Replica) Run(ctx context.Context) error {
	if r.started.Swap(true) {
		return &OptionsError{Field: "Run", Reason: "was called before; open the data folder again"}
	}
	defer close(r.stop)
	group, ctx := errgroup.WithContext(ctx)
	s := &stepper{Replica: r, group: group, peers: map[uint64]*ring.Ring[consensus.Message]{}}
	group.Go(func() error { return s.run(ctx) })
	group.Go(func() error { return r.runJournal(ctx) })
	group.Go(func() error { return r.runApply(ctx) })
	group.Go(func() error { return r.runInstalls(ctx) })
	err := group.Wait()
	view := *r.view.Load()
	view.Role, view.HasLease, view.Leader = consensus.Follower, false, 0
	r.view.Store(&view)
	return errors.CombineErrors(err, r.journal.Close())
}

// runJournal syncs one write at a time.
func (r *Replica) runJournal(ctx context.Context) error {
	for {
		job, err := r.writes.Take(ctx)
		if err != nil {
			return nil
		}
		if err := r.write(job); err != nil {
			return err
		}
		if err := r.written.PutWait(ctx, job); err != nil {
			return nil
		}
	}
}

// write syncs one job.
func (r *Replica) write(job journalJob) error {
	r.stats.Syncs.Add(1)
	if job.snapshot != nil {
		return r.journal.WriteSnapshot(*job.snapshot, job.compactTo)
	}
	r.stats.Entries.Add(uint64(len(job.save.Entries)))
	return r.journal.Write(job.save)
}

// stepper is the duty that owns the node.
type stepper struct {
	*Replica
	group   *errgroup.Group
	peers   map[uint64]*ring.Ring[consensus.Message]
	writing bool             // the journal has a job
	pending *machineSnapshot // waits for the journal
}

// run takes inputs in batches, and sends what follows after each batch.
func (s *stepper) run(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	s.node.Tick(s.now())
	s.flush(ctx)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.node.Tick(s.now())
		case batch := <-s.messages.Out():
			s.step(batch)
		case p := <-s.proposals.Out():
			s.propose(p)
		case c := <-s.controls.Out():
			s.control(c)
		case job := <-s.written.Out():
			s.finish(ctx, job)
		case snapshot := <-s.snapshots.Out():
			s.pending = &snapshot
		}
		s.drain()
		s.flush(ctx)
	}
}

// now is the node's clock, which is monotonic.
func (r *Replica) now() time.Duration { return time.Since(r.epoch) }

// step feeds messages to the node.
func (s *stepper) step(batch []consensus.Message) {
	now := s.now()
	for _, m := range batch {
		s.node.Step(now, m)
	}
}

// drain takes the inputs that are there already, up to a bound.
func (s *stepper) drain() {
	for range maxDrain {
		select {
		case batch := <-s.messages.Out():
			s.step(batch)
		case p := <-s.proposals.Out():
			s.propose(p)
		default:
			return
		}
	}
}

// flush passes on everything that the node has put out. The view goes first:
// no successor hears of a hand-over before the lease is withdrawn here.
func (s *stepper) flush(ctx context.Context) {
	s.publish()
	s.sendAll(ctx, s.node.TakeMessages())
	s.startWrite(ctx)
	s.startApply(ctx)
}

// startWrite gives the journal its next job. A snapshot goes first, so that a
// steady load does not keep it waiting. What needs no write goes on.
func (s *stepper) startWrite(ctx context.Context) {
	if !s.writing {
		s.startSnapshot(ctx)
	}
	for !s.writing {
		save := s.node.TakeSave()
		if save != nil && save.Writes() {
			s.writing = true
			_ = s.writes.PutWait(ctx, journalJob{save: save})
			return
		}
		if save == nil {
			return
		}
		s.sendAll(ctx, s.node.Saved(s.now(), save))
		s.sendAll(ctx, s.node.TakeMessages())
	}
}

// startSnapshot gives the journal a snapshot that waits.
func (s *stepper) startSnapshot(ctx context.Context) {
	if s.pending == nil {
		return
	}
	pending := s.pending
	s.pending = nil
	snapshot, ok := s.node.SnapshotAt(pending.index)
	if !ok {
		return
	}
	snapshot.Data = pending.data
	trailing := s.options.SnapshotEntries / trailingShare
	job := journalJob{snapshot: &snapshot, compactTo: snapshot.Index - min(snapshot.Index, trailing)}
	s.writing = true
	_ = s.writes.PutWait(ctx, job)
}

// finish goes on after a job of the journal.
func (s *stepper) finish(ctx context.Context, job journalJob) {
	s.writing = false
	if job.snapshot != nil {
		s.node.SetSnapshot(*job.snapshot, job.compactTo)
		return
	}
	if job.save.Snapshot != nil {
		_ = s.applies.PutWait(ctx, applyJob{restore: job.save.Snapshot})
	}
	s.sendAll(ctx, s.node.Saved(s.now(), job.save))
}

// startApply gives the state machine what is committed, while it has room.
func (s *stepper) startApply(ctx context.Context) {
	for s.applies.Len() < applySlots-1 {
		entries := s.node.TakeCommitted(maxApplyCount, maxApplyBytes)
		if len(entries) == 0 {
			return
		}
		_ = s.applies.PutWait(ctx, applyJob{entries: entries})
	}
}

// publish makes the node's view visible to the other duties.
func (s *stepper) publish() {
	view := s.node.View()
	old := s.view.Swap(&view)
	if old.Term == view.Term && old.Role == view.Role && old.Leader == view.Leader &&
		old.Voter == view.Voter && len(old.MissingPeers) == len(view.MissingPeers) {
		return
	}
	s.logger.Info("replica changed", "id", s.options.ID, "term", view.Term, "leader", view.Leader,
		"leading", view.Role == consensus.Leader, "voter", view.Voter, "missing", view.MissingPeers)
}
