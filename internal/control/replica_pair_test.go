package control_test

import (
	"context"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"

	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
)

// replicaPair is a log with two in-memory replicas, one of which leads. A
// partitioned replica applies nothing and accepts no proposals.
type replicaPair struct {
	mu          sync.Mutex
	machines    [2]*state.Machine
	urls        [2]string
	leader      int
	partitioned [2]bool
	commands    [][]byte
	applied     [2]int
}

// pairedLog is the replica.Log of one of the two hosts.
type pairedLog struct {
	*replica.MemoryLog
	pair *replicaPair
	id   int
}

// startPair starts two hosts; the first one leads.
func startPair(settings control.Settings, now ...func() time.Time) (*replicaPair, [2]*host) {
	GinkgoHelper()
	p := &replicaPair{}
	var hosts [2]*host
	for i := range hosts {
		p.machines[i] = state.New(state.Options{})
		hosts[i] = startHost("", p.machines[i], &pairedLog{pair: p, id: i}, settings, now...)
		p.mu.Lock()
		p.urls[i] = hosts[i].url
		p.mu.Unlock()
	}
	return p, hosts
}

// setLeader sets the leader and the partitioned replicas.
func (p *replicaPair) setLeader(leader int, partitioned ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = leader
	p.partitioned = [2]bool{}
	for _, i := range partitioned {
		p.partitioned[i] = true
	}
	p.applyPending()
}

// applyPending applies the outstanding commands on the replicas that are not
// partitioned.
func (p *replicaPair) applyPending() (result []byte) {
	for i, m := range p.machines {
		if p.partitioned[i] {
			continue
		}
		for ; p.applied[i] < len(p.commands); p.applied[i]++ {
			result = m.Apply(uint64(p.applied[i]+1), p.commands[p.applied[i]])
		}
	}
	return result
}

func (r *pairedLog) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.pair.mu.Lock()
	defer r.pair.mu.Unlock()
	if r.pair.partitioned[r.id] || r.pair.partitioned[r.pair.leader] {
		return nil, &replica.NotRecordedError{Reason: "no leader"}
	}
	r.pair.commands = append(r.pair.commands, command)
	return r.pair.applyPending(), nil
}

func (r *pairedLog) LeaderLease() (uint64, time.Time, bool) {
	r.pair.mu.Lock()
	defer r.pair.mu.Unlock()
	isLeader := r.pair.leader == r.id && !r.pair.partitioned[r.id]
	return uint64(r.pair.leader + 1), time.Now().Add(time.Hour), isLeader
}

func (r *pairedLog) Status() replica.Status {
	r.pair.mu.Lock()
	defer r.pair.mu.Unlock()
	s := replica.Status{ID: uint64(r.id + 1), Term: uint64(r.pair.leader + 1)}
	if !r.pair.partitioned[r.id] {
		s.LeaderID, s.LeaderURL = uint64(r.pair.leader+1), r.pair.urls[r.pair.leader]
		s.IsLeader = r.pair.leader == r.id
	}
	return s
}
