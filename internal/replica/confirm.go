package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// confirmInterval is how often a read looks whether a quorum has answered;
// well under a round trip between failure domains.
const confirmInterval = 2 * time.Millisecond

// confirmation is where a read began: the log's index and the leader's time.
type confirmation struct {
	index uint64
	at    time.Duration
}

// Confirm returns once this replica has applied everything that was
// acknowledged anywhere before the call. It relies on no lease: a quorum must
// have followed the leader after the call began. Errors are *NotRecorded or
// *UnknownError; the state machine may be out of date then.
func (r *Replica) Confirm(ctx context.Context) error {
	var index uint64
	err := r.viaLeader(ctx, func(local bool, url string) (err error) {
		if local {
			index, err = r.confirmHere(ctx)
			return err
		}
		response, err := r.client(url).Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{Cluster: r.options.ClusterID}))
		if err != nil {
			return forwardError(err)
		}
		index = response.Msg.Index
		return nil
	})
	if err != nil {
		return err
	}
	return r.await(ctx, func() bool { return r.applied.Load() >= index })
}

// confirmHere confirms as the leader.
func (r *Replica) confirmHere(ctx context.Context) (uint64, error) {
	c := &control{confirm: &confirmation{}, done: make(chan outcome, 1)}
	if err := r.ask(ctx, c); err != nil {
		return 0, err
	}
	moved := false
	err := r.await(ctx, func() bool {
		view := r.view.Load()
		moved = view.Role != consensus.Leader
		return moved || view.Confirmed >= c.confirm.at
	})
	if err == nil && moved {
		err = &refusal{reason: "this host stopped leading", retry: true}
	}
	return c.confirm.index, err
}

// await waits until done reports true. The error is an *UnknownError.
func (r *Replica) await(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(confirmInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &UnknownError{Reason: "the caller gave up", Cause: context.Cause(ctx)}
		case <-r.stop:
			return &UnknownError{Reason: "the replica stopped"}
		}
	}
	return nil
}

// SetMembers replaces the hosts through which this one asks to join. The error
// is an *UnknownError or a refusal that may be tried again.
func (r *Replica) SetMembers(ctx context.Context, members []Member) error {
	r.seeds.Store(&members)
	return r.ask(ctx, &control{peers: members, done: make(chan outcome, 1)})
}

// setPeers tells the node about the hosts to join through.
func (s *stepper) setPeers(members []Member) {
	var peers []consensus.Member
	for _, m := range members {
		peers = append(peers, consensus.Member{ID: m.ID, URL: m.URL})
	}
	s.node.SetPeers(peers)
}
