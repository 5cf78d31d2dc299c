package replica

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// applyJob is what the state machine gets next: entries or a snapshot.
type applyJob struct {
	entries []consensus.Entry
	restore *consensus.Snapshot
}

// machineSnapshot is the state machine at an index.
type machineSnapshot struct {
	index uint64
	data  []byte
}

// runApply is the one duty that touches the state machine.
func (r *Replica) runApply(ctx context.Context) error {
	entries, bytes := uint64(0), 0
	for {
		job, err := r.applies.Take(ctx)
		if err != nil {
			return nil
		}
		if job.restore != nil {
			if err := r.restore(job.restore); err != nil {
				return err
			}
			entries, bytes = 0, 0
			continue
		}
		bytes += r.apply(job.entries)
		entries += uint64(len(job.entries))
		if entries < r.options.SnapshotEntries && bytes < r.options.SnapshotBytes {
			continue
		}
		entries, bytes = 0, 0
		if err := r.takeSnapshot(); err != nil {
			return err
		}
	}
}

// restore replaces the state machine. What waits below the snapshot can't be
// told its result.
func (r *Replica) restore(s *consensus.Snapshot) error {
	if s.Index <= r.applied.Load() {
		return nil
	}
	if err := r.options.Machine.Restore(s.Data); err != nil {
		return errors.Wrap(err, "restore the state machine")
	}
	r.applied.Store(s.Index)
	r.waiting.skip(s.Index)
	r.logger.Info("state machine restored", "id", r.options.ID, "index", s.Index, "bytes", len(s.Data))
	return nil
}

// apply carries out entries and returns the bytes of their commands.
func (r *Replica) apply(entries []consensus.Entry) int {
	bytes := 0
	for _, e := range entries {
		var result []byte
		if e.Kind == consensus.EntryCommand {
			result = r.options.Machine.Apply(e.Index, e.Data)
			bytes += len(e.Data)
		}
		r.applied.Store(e.Index)
		r.waiting.resolve(e.Index, e.Term, result)
	}
	return bytes
}

// takeSnapshot hands the state of the machine to the journal.
func (r *Replica) takeSnapshot() error {
	data, err := r.options.Machine.Snapshot()
	if err != nil {
		return errors.Wrap(err, "snapshot the state machine")
	}
	r.stats.Snapshots.Add(1)
	index := r.applied.Load()
	r.logger.Info("snapshot taken", "id", r.options.ID, "index", index, "bytes", len(data))
	// The step duty must never wait for this one, so this one does not wait
	// for it: with the last snapshot not taken yet, this one is left out.
	if err := r.snapshots.Put(machineSnapshot{index: index, data: data}); err != nil {
		r.logger.Warn("snapshot left out", "id", r.options.ID, "index", index, "error", err)
	}
	return nil
}

// outcome is the end of one proposal.
type outcome struct {
	result []byte
	err    error
}

// waiter is a proposal in the log.
type waiter struct {
	term uint64
	done chan outcome
}

// waiters holds the proposals in the log by index.
type waiters struct {
	mu      sync.Mutex
	byIndex map[uint64]waiter
}

// add registers a proposal before its entry can be committed. One that waits
// at the same index lost its place.
func (w *waiters) add(index uint64, added waiter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.byIndex == nil {
		w.byIndex = map[uint64]waiter{}
	}
	if old, ok := w.byIndex[index]; ok {
		old.done <- outcome{err: &UnknownError{Reason: "the leadership changed"}}
	}
	w.byIndex[index] = added
}

// resolve ends the proposal at an applied index.
func (w *waiters) resolve(index, term uint64, result []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting, ok := w.byIndex[index]
	if !ok {
		return
	}
	delete(w.byIndex, index)
	if waiting.term != term {
		waiting.done <- outcome{err: &refusal{reason: "another command took its place"}}
		return
	}
	waiting.done <- outcome{result: result}
}

// skip ends the proposals up to an index whose results are not known here.
func (w *waiters) skip(index uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, waiting := range w.byIndex {
		if i <= index {
			delete(w.byIndex, i)
			waiting.done <- outcome{err: &UnknownError{Reason: "a snapshot covers it"}}
		}
	}
}

// drop forgets a proposal that is no longer waited for.
func (w *waiters) drop(index uint64, done chan outcome) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if waiting, ok := w.byIndex[index]; ok && waiting.done == done {
		delete(w.byIndex, index)
	}
}
