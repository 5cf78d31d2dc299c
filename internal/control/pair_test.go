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

// pair is a log with two replicas in memory, one of which leads. A replica
// can be cut off: it applies nothing and nothing goes through it.
type pair struct {
	mu       sync.Mutex
	machines [2]*state.Machine
	urls     [2]string
	leader   int
	cut      [2]bool
	commands [][]byte
	applied  [2]int
}

// replicaOf is the log as one of the two hosts sees it.
type replicaOf struct {
	*replica.Solo
	pair *pair
	id   int
}

// newPair starts two hosts; the first one leads.
func newPair(s control.Settings, now ...func() time.Time) (*pair, [2]*host) {
	GinkgoHelper()
	p := &pair{}
	var hosts [2]*host
	for i := range hosts {
		p.machines[i] = state.New(state.Options{})
		hosts[i] = start("", p.machines[i], &replicaOf{pair: p, id: i}, s, now...)
		p.mu.Lock()
		p.urls[i] = hosts[i].url
		p.mu.Unlock()
	}
	return p, hosts
}

// set changes who leads and who is cut off.
func (p *pair) set(leader int, cut ...int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.leader = leader
	p.cut = [2]bool{}
	for _, i := range cut {
		p.cut[i] = true
	}
	p.apply()
}

// apply brings the replicas in reach up to date.
func (p *pair) apply() (result []byte) {
	for i, m := range p.machines {
		if p.cut[i] {
			continue
		}
		for ; p.applied[i] < len(p.commands); p.applied[i]++ {
			result = m.Apply(uint64(p.applied[i]+1), p.commands[p.applied[i]])
		}
	}
	return result
}

func (r *replicaOf) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.pair.mu.Lock()
	defer r.pair.mu.Unlock()
	if r.pair.cut[r.id] || r.pair.cut[r.pair.leader] {
		return nil, &replica.NotRecorded{Reason: "no leader"}
	}
	r.pair.commands = append(r.pair.commands, command)
	return r.pair.apply(), nil
}

func (r *replicaOf) Leading() (uint64, time.Time, bool) {
	r.pair.mu.Lock()
	defer r.pair.mu.Unlock()
	leads := r.pair.leader == r.id && !r.pair.cut[r.id]
	return uint64(r.pair.leader + 1), time.Now().Add(time.Hour), leads
}

func (r *replicaOf) Status() replica.Status {
	r.pair.mu.Lock()
	defer r.pair.mu.Unlock()
	s := replica.Status{ID: uint64(r.id + 1), Term: uint64(r.pair.leader + 1)}
	if !r.pair.cut[r.id] {
		s.Leader, s.LeaderURL = uint64(r.pair.leader+1), r.pair.urls[r.pair.leader]
		s.IsLeader = r.pair.leader == r.id
	}
	return s
}
