package journal

import (
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// Memory is the journal of a host without a disk: what it holds ends with the
// process, whose identity is drawn anew at each start. It keeps the newest
// snapshot only, which is what a follower may be asked for.
type Memory struct {
	identity Identity
	mu       sync.Mutex
	snapshot consensus.Snapshot
}

// OpenMemory returns an empty journal with a new identity.
func OpenMemory(cluster string, id uint64) (*Memory, error) {
	disk, err := drawDisk()
	return &Memory{identity: Identity{Cluster: cluster, ID: id, Disk: disk, Run: uint64(time.Now().UnixMilli())}}, err
}

// Identity returns the identity of this life.
func (m *Memory) Identity() Identity { return m.identity }

// BytesRead is 0.
func (m *Memory) BytesRead() int64 { return 0 }

// Write keeps a snapshot; the entries are in the memory of the replica.
func (m *Memory) Write(s *consensus.Save) error {
	if s.Snapshot != nil {
		return m.WriteSnapshot(*s.Snapshot, 0)
	}
	return nil
}

// WriteSnapshot keeps a snapshot unless a newer one is kept.
func (m *Memory) WriteSnapshot(s consensus.Snapshot, _ uint64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if s.Index > m.snapshot.Index {
		m.snapshot = s
	}
	return nil
}

// ReadSnapshot returns the newest snapshot, with Index 0 if there is none.
func (m *Memory) ReadSnapshot() (consensus.Snapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.snapshot, nil
}

// Close does nothing.
func (m *Memory) Close() error { return nil }
