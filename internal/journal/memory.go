package journal

import (
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// MemoryJournal is the journal of a host without a disk. Its state is lost when the
// process ends, and each start has a new disk ID. It stores only the newest snapshot,
// which the replica may have to send to a follower.
type MemoryJournal struct {
	identity Identity
	mu       sync.Mutex
	snapshot consensus.Snapshot
}

// OpenMemory returns an empty journal with a new disk ID.
func OpenMemory(cluster string, id uint64) (*MemoryJournal, error) {
	diskID, err := newDiskID()
	return &MemoryJournal{identity: Identity{Cluster: cluster, HostID: id, DiskID: diskID, RunNumber: uint64(time.Now().UnixMilli())}}, err
}

// Identity returns the identity of this run.
func (m *MemoryJournal) Identity() Identity { return m.identity }

// BytesRead returns 0.
func (m *MemoryJournal) BytesRead() int64 { return 0 }

// Write stores the snapshot of a batch, if any. The replica has the entries in its
// own memory.
func (m *MemoryJournal) Write(batch *consensus.WriteBatch) error {
	if batch.Snapshot != nil {
		return m.WriteSnapshot(*batch.Snapshot, 0)
	}
	return nil
}

// WriteSnapshot stores a snapshot if it is newer than the stored one.
func (m *MemoryJournal) WriteSnapshot(s consensus.Snapshot, _ uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Index > m.snapshot.Index {
		m.snapshot = s
	}
	return nil
}

// ReadSnapshot returns the newest snapshot, with Index 0 if there is none.
func (m *MemoryJournal) ReadSnapshot() (consensus.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot, nil
}

// Close does nothing.
func (m *MemoryJournal) Close() error { return nil }
