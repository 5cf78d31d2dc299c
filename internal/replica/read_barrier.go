package replica

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// readPollInterval is how often a read checks for the answers of a quorum. It
// is well below the round-trip time between failure domains.
const readPollInterval = 2 * time.Millisecond

// readIndex is the log index that a read must wait for. The read is valid once a
// quorum has acknowledged a message that the leader sent at requestedAt or later,
// on the leader's clock.
type readIndex struct {
	index       uint64
	requestedAt time.Duration
}

// ReadBarrier returns once this replica has applied every command that any replica
// acknowledged before the call, so that a read of the state machine is
// linearizable. It does not rely on the lease: a quorum must have answered the
// leader after the call began. Errors are *NotRecordedError or
// *OutcomeUnknownError or *CopyOddError; after an error the state machine may be out of date.
func (r *Replica) ReadBarrier(ctx context.Context) error {
	if err := r.CopyOdd(); err != nil {
		return err
	}
	var index uint64
	err := r.callLeaderWithRetry(ctx, func(ctx context.Context, isLeader bool, leaderURL string) (err error) {
		if isLeader {
			index, err = r.leaderReadIndex(ctx)
			return err
		}
		index, err = r.forwardReadIndex(ctx, leaderURL)
		return err
	})
	if err != nil {
		return err
	}
	if err := r.pollUntil(ctx, func() bool { return r.appliedIndex.Load() >= index }); err != nil {
		return err
	}
	return r.CopyOdd()
}

// errLeaderChanged ends a call to a leader that no longer is the known one.
var errLeaderChanged = &refusedError{reason: "the leadership changed before the leader answered", retryable: true}

// forwardReadIndex asks the leader for the read index.
func (r *Replica) forwardReadIndex(ctx context.Context, leaderURL string) (uint64, error) {
	response, err := r.client(leaderURL).Confirm(ctx, connect.NewRequest(&pb.ConfirmRequest{Cluster: r.options.ClusterName}))
	switch {
	case err == nil:
		return response.Msg.Index, nil
	case errors.Is(context.Cause(ctx), errLeaderChanged):
		return 0, errLeaderChanged
	}
	return 0, classifyForwardError(err)
}

// whileFollowing returns a context that ends with errLeaderChanged as soon as another leader is known, or none: a leader that
// is paused does not answer.
func (r *Replica) whileFollowing(ctx context.Context, leaderURL string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	go func() {
		if r.pollUntil(ctx, func() bool { return !r.isFollowing(leaderURL) }) == nil {
			cancel(errLeaderChanged)
		}
	}()
	return ctx, func() { cancel(nil) }
}

// isFollowing reports whether the known leader is another host with this URL.
func (r *Replica) isFollowing(leaderURL string) bool {
	nodeStatus := r.nodeStatus.Load()
	return nodeStatus.Role != consensus.Leader && r.hostURL(nodeStatus.LeaderID) == leaderURL
}

// leaderReadIndex returns the read index once a quorum has confirmed that this
// replica still leads. It fails on a follower.
func (r *Replica) leaderReadIndex(ctx context.Context) (uint64, error) {
	c := &controlRequest{readIndex: &readIndex{}, done: make(chan outcome, 1)}
	if err := r.submitControl(ctx, c); err != nil {
		return 0, err
	}
	lostLeadership := false
	err := r.pollUntil(ctx, func() bool {
		nodeStatus := r.nodeStatus.Load()
		lostLeadership = nodeStatus.Role != consensus.Leader
		return lostLeadership || nodeStatus.QuorumContactAt >= c.readIndex.requestedAt
	})
	if err == nil && lostLeadership {
		err = &refusedError{reason: "this host stopped leading", retryable: true}
	}
	return c.readIndex.index, err
}

// pollUntil polls done until it returns true. The error is an
// *OutcomeUnknownError.
func (r *Replica) pollUntil(ctx context.Context, done func() bool) error {
	ticker := time.NewTicker(readPollInterval)
	defer ticker.Stop()
	for !done() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return &OutcomeUnknownError{Reason: "the caller gave up", Cause: context.Cause(ctx)}
		case <-r.stopped:
			return &OutcomeUnknownError{Reason: "the replica stopped"}
		}
	}
	return nil
}

// SetJoinMembers replaces the hosts that this one asks for admission to the
// cluster, from the next tick on.
func (r *Replica) SetJoinMembers(members []Member) { r.joinMembers.Store(&members) }

// updateJoinMembers passes the hosts to ask for admission to the node if they were replaced.
func (l *nodeLoop) updateJoinMembers() {
	if members := l.joinMembers.Load(); members != l.nodeJoinMembers {
		l.nodeJoinMembers = members
		l.node.SetJoinMembers(toConsensusMembers(*members))
	}
}
