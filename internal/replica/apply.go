package replica

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// applyJob is one unit of work for the state machine: committed entries to
// apply, a snapshot to restore or a state that replaces an odd one.
type applyJob struct {
	entries  []consensus.Entry
	snapshot *consensus.Snapshot
	rebuild  *rebuild
}

// stateSnapshot is the state after the entry at index was applied.
type stateSnapshot struct {
	index uint64
	data  []byte
}

// runApply runs the only goroutine that calls the state machine.
func (r *Replica) runApply(ctx context.Context) error {
	entries, bytes := uint64(0), 0
	for {
		job, err := r.applyJobs.Take(ctx)
		if err != nil {
			return nil
		}
		if job.snapshot != nil {
			if err := r.restoreSnapshot(job.snapshot); err != nil {
				return err
			}
			entries, bytes = 0, 0
			continue
		}
		if job.rebuild != nil {
			if err := r.finishRebuild(job.rebuild); err != nil {
				return err
			}
			entries, bytes = 0, 0
			continue
		}
		if r.CopyOdd() != nil {
			r.skipEntries(job.entries)
			continue
		}
		bytes += r.applyEntries(job.entries)
		entries += uint64(len(job.entries))
		if err := r.replaceOddSnapshot(); err != nil {
			return err
		}
		if entries < r.options.SnapshotIntervalEntries && bytes < r.options.SnapshotIntervalBytes {
			continue
		}
		entries, bytes = 0, 0
		if err := r.takeSnapshot(); err != nil {
			return err
		}
	}
}

// restoreSnapshot replaces the state, unless the entries that the snapshot
// covers are applied already. The pending proposals that it covers fail, since
// a snapshot does not contain their results.
func (r *Replica) restoreSnapshot(s *consensus.Snapshot) error {
	if s.Index <= r.appliedIndex.Load() {
		return nil
	}
	if r.CopyOdd() != nil {
		r.pendingProposals.failThrough(s.Index, copyOddReason)
		return nil
	}
	if err := r.machine.Restore(s.Data); err != nil {
		return errors.Wrap(err, "restore the state machine")
	}
	r.appliedMembership = s.Membership
	r.appliedIndex.Store(s.Index)
	r.captureDigest(s.Index)
	r.pendingProposals.failThrough(s.Index, "a snapshot covers it")
	r.logger.Info("state machine restored", "id", r.options.ID, "index", s.Index, "bytes", len(s.Data))
	return nil
}

// copyOddReason is why the result of a command is unknown that was committed but not applied.
const copyOddReason = "the copy of the state is being restored"

// skipEntries leaves entries out while this replica does not act on its state. They are applied once
// it is replaced.
func (r *Replica) skipEntries(entries []consensus.Entry) {
	if len(entries) > 0 {
		r.pendingProposals.failThrough(entries[len(entries)-1].Index, copyOddReason)
	}
}

// applyEntries applies entries and returns the total size of their commands
// in bytes.
func (r *Replica) applyEntries(entries []consensus.Entry) int {
	bytes := 0
	for _, e := range entries {
		var result []byte
		switch e.Kind {
		case consensus.EntryCommand:
			result = r.machine.Apply(e.Index, e.Data)
			bytes += len(e.Data)
		case consensus.EntryMembership:
			r.applyMembership(e)
		}
		r.appliedIndex.Store(e.Index)
		r.pendingProposals.resolve(e.Index, e.Term, result)
		r.captureDigest(e.Index)
	}
	return bytes
}

// takeSnapshot queues a snapshot of the state for the journal.
func (r *Replica) takeSnapshot() error {
	data, err := r.machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "snapshot the state machine")
	}
	r.stats.SnapshotsTaken.Add(1)
	index := r.appliedIndex.Load()
	r.logger.Info("snapshot taken", "id", r.options.ID, "index", index, "bytes", len(data))
	// The node loop must never block on this goroutine, so this goroutine does
	// not block on the node loop either: if the previous snapshot is still
	// queued, this one is skipped.
	if err := r.stateSnapshots.TryPut(stateSnapshot{index: index, data: data}); err != nil {
		r.logger.Warn("snapshot skipped", "id", r.options.ID, "index", index, "error", err)
	}
	return nil
}

// outcome is the final result of a proposal or a control request.
type outcome struct {
	result []byte
	err    error
}

// pendingProposal is a proposal that is in the log and not yet applied.
type pendingProposal struct {
	term uint64
	done chan outcome
}

// pendingProposals holds the proposals in the log by index.
type pendingProposals struct {
	mu      sync.Mutex
	byIndex map[uint64]pendingProposal
}

// add registers a proposal before its entry can be committed. An earlier
// proposal at the same index was overwritten after a change of leader and fails.
func (p *pendingProposals) add(index uint64, proposal pendingProposal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.byIndex == nil {
		p.byIndex = map[uint64]pendingProposal{}
	}
	if old, ok := p.byIndex[index]; ok {
		old.done <- outcome{err: &OutcomeUnknownError{Reason: "the leadership changed"}}
	}
	p.byIndex[index] = proposal
}

// resolve completes the proposal at an applied index. The proposal fails if the
// applied entry is of another term, since then another command took the index.
func (p *pendingProposals) resolve(index, term uint64, result []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pending, ok := p.byIndex[index]
	if !ok {
		return
	}
	delete(p.byIndex, index)
	if pending.term != term {
		pending.done <- outcome{err: &refusedError{reason: "another command took its place"}}
		return
	}
	pending.done <- outcome{result: result}
}

// failThrough fails the proposals up to and including index, whose results are unknown.
func (p *pendingProposals) failThrough(index uint64, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i, pending := range p.byIndex {
		if i <= index {
			delete(p.byIndex, i)
			pending.done <- outcome{err: &OutcomeUnknownError{Reason: reason}}
		}
	}
}

// remove deletes a proposal whose caller has stopped waiting.
func (p *pendingProposals) remove(index uint64, done chan outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pending, ok := p.byIndex[index]; ok && pending.done == done {
		delete(p.byIndex, index)
	}
}
