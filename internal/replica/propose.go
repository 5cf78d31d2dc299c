package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// OutcomeUnknownError reports that a command may or may not be applied.
type OutcomeUnknownError struct {
	Reason string
	Cause  error // may be nil
}

func (e *OutcomeUnknownError) Error() string {
	if e.Cause == nil {
		return "outcome of the command is unknown: " + e.Reason
	}
	return fmt.Sprintf("outcome of the command is unknown: %s: %v", e.Reason, e.Cause)
}

func (e *OutcomeUnknownError) Unwrap() error { return e.Cause }

// refusedError reports that a command will never be applied. If retryable, the
// command may be proposed again at once, for example to another leader.
type refusedError struct {
	reason    string
	retryable bool
}

func (e *refusedError) Error() string { return e.reason }

// proposal is a command to be proposed by the node loop.
type proposal struct {
	command  []byte
	appended chan uint64 // receives the index once the command is in the log
	done     chan outcome
}

// controlRequest asks the node loop for one operation: to read the read index,
// to transfer the leadership, or else to change the membership.
type controlRequest struct {
	transferLeadership bool
	member             consensus.Member
	remove             bool
	readIndex          *readIndex // filled in by the node loop; nil for other operations
	mayLead            *bool      // nil for other operations
	rebuild            *rebuild   // nil for other operations
	done               chan outcome
}

// Propose appends a command and returns the result of applying it. A follower
// forwards it to the leader. While no leader is known or the refusal is
// retryable, Propose retries for up to leaderWaitTimeout. Errors are
// *NotRecordedError or *OutcomeUnknownError.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, &NotRecordedError{Reason: fmt.Sprintf("%d bytes are over the bound of %d", len(command), MaxCommandBytes)}
	}
	var result []byte
	err := r.callLeaderWithRetry(ctx, func(ctx context.Context, isLeader bool, leaderURL string) (err error) {
		if isLeader {
			result, err = r.proposeAsLeader(ctx, command)
			return err
		}
		result, err = r.forwardProposal(ctx, leaderURL, command)
		return err
	})
	return result, err
}

// callLeaderWithRetry calls the leader, and retries for up to leaderWaitTimeout
// while the call is refused with a retryable error.
func (r *Replica) callLeaderWithRetry(ctx context.Context, call func(ctx context.Context, isLeader bool, leaderURL string) error) error {
	deadline := time.Now().Add(leaderWaitTimeout)
	for {
		err := r.callLeader(ctx, call)
		var refused *refusedError
		if !errors.As(err, &refused) {
			return err
		}
		if !refused.retryable || time.Now().After(deadline) || !r.waitRetryInterval(ctx) {
			return &NotRecordedError{Reason: refused.reason}
		}
	}
}

// callLeader calls the currently known leader once. A call to another host ends as soon as that is not the known leader any more.
func (r *Replica) callLeader(ctx context.Context, call func(ctx context.Context, isLeader bool, leaderURL string) error) error {
	nodeStatus := r.nodeStatus.Load()
	if nodeStatus.Role == consensus.Leader {
		return call(ctx, true, "")
	}
	leaderURL := r.hostURL(nodeStatus.LeaderID)
	if nodeStatus.LeaderID == 0 || leaderURL == "" {
		return &refusedError{reason: r.unavailableReason(nodeStatus), retryable: true}
	}
	ctx, cancel := r.whileFollowing(ctx, leaderURL)
	defer cancel()
	err := call(ctx, false, leaderURL)
	var unknown *OutcomeUnknownError
	if errors.As(err, &unknown) && errors.Is(context.Cause(ctx), errLeaderChanged) {
		unknown.Reason = errLeaderChanged.reason
	}
	return err
}

// waitRetryInterval waits before a retry. It returns false if ctx ended or the
// replica stopped.
func (r *Replica) waitRetryInterval(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-r.stopped:
		return false
	}
}

// proposeAsLeader proposes a command on this replica, which must lead.
func (r *Replica) proposeAsLeader(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, appended: make(chan uint64, 1), done: make(chan outcome, 1)}
	if err := r.proposals.TryPut(p); err != nil {
		return nil, &refusedError{reason: err.Error()}
	}
	select {
	case out := <-p.done:
		return out.result, out.err
	case <-ctx.Done():
		r.abandonProposal(p)
		return nil, &OutcomeUnknownError{Reason: "the caller gave up", Cause: context.Cause(ctx)}
	case <-r.stopped:
		return nil, &OutcomeUnknownError{Reason: "the replica stopped"}
	}
}

// abandonProposal removes a proposal whose caller has stopped waiting.
func (r *Replica) abandonProposal(p *proposal) {
	select {
	case index := <-p.appended:
		r.pendingProposals.remove(index, p.done)
	default:
	}
}

// handleProposal proposes a command to the node.
func (l *nodeLoop) handleProposal(p *proposal) {
	if err := l.CopyOdd(); err != nil {
		p.done <- outcome{err: &refusedError{reason: err.Error(), retryable: true}}
		return
	}
	index, term, err := l.node.Propose(l.now(), p.command)
	if err != nil {
		p.done <- outcome{err: newRefusedError(err)}
		return
	}
	l.pendingProposals.add(index, pendingProposal{term: term, done: p.done})
	p.appended <- index
}

// handleControl carries out a control request on the node.
func (l *nodeLoop) handleControl(ctx context.Context, c *controlRequest) {
	if c.mayLead != nil {
		l.node.SetMayLead(*c.mayLead)
		c.done <- outcome{}
		return
	}
	if c.rebuild != nil {
		c.done <- outcome{err: l.startRebuild(ctx, c.rebuild)}
		return
	}
	if c.readIndex != nil {
		index, at, err := l.node.ReadIndex(l.now())
		if err != nil {
			err = newRefusedError(err)
		}
		c.readIndex.index, c.readIndex.requestedAt = index, at
		c.done <- outcome{err: err}
		return
	}
	if c.transferLeadership {
		err := l.node.TransferLeadership(l.now(), 0)
		if err != nil {
			err = newRefusedError(err)
		}
		c.done <- outcome{err: err}
		return
	}
	index, term, err := l.node.ChangeMember(l.now(), c.member, c.remove)
	if err != nil {
		c.done <- outcome{err: newRefusedError(err)}
		return
	}
	l.pendingProposals.add(index, pendingProposal{term: term, done: c.done})
}

// newRefusedError converts an error of the node. It is retryable if another
// replica leads or the node is busy.
func newRefusedError(err error) error {
	var notLeader *consensus.NotLeaderError
	var busy *consensus.BusyError
	retryable := errors.As(err, &notLeader) || errors.As(err, &busy)
	return &refusedError{reason: err.Error(), retryable: retryable}
}

// LeaderLease reports whether this replica holds the leader lease and has applied
// all entries of earlier terms, and when the lease ends.
func (r *Replica) LeaderLease() (term uint64, until time.Time, ok bool) {
	nodeStatus := r.nodeStatus.Load()
	if !nodeStatus.HasLease || r.appliedIndex.Load() < nodeStatus.TermStartIndex || r.now() >= nodeStatus.LeaseEnd {
		return nodeStatus.Term, time.Time{}, false
	}
	return nodeStatus.Term, r.clockStart.Add(nodeStatus.LeaseEnd), true
}

// Status returns the current state of the replica.
func (r *Replica) Status() Status {
	nodeStatus := r.nodeStatus.Load()
	_, _, isLeader := r.LeaderLease()
	status := Status{ID: r.options.ID, Term: nodeStatus.Term, LeaderID: nodeStatus.LeaderID, LeaderURL: r.hostURL(nodeStatus.LeaderID),
		IsLeader: isLeader, CommitIndex: nodeStatus.CommitIndex, AppliedIndex: r.appliedIndex.Load(), IsVoter: nodeStatus.IsVoter,
		UnavailableReason: r.unavailableReason(nodeStatus)}
	if err := r.CopyOdd(); err != nil {
		status.UnavailableReason = err.Error()
	}
	for _, m := range nodeStatus.Membership.Members {
		status.Members = append(status.Members, Member{ID: m.ID, URL: m.URL, IsVoter: m.IsVoter, MatchIndex: nodeStatus.MatchIndex[m.ID]})
	}
	return status
}

// unavailableReason returns why this replica can't accept proposals, "" if it can.
func (r *Replica) unavailableReason(nodeStatus *consensus.Status) string {
	switch {
	case nodeStatus.LeaderID != 0:
		return ""
	case len(nodeStatus.BootstrapBlockers) > 0:
		return fmt.Sprintf("the cluster forms once hosts %v answer with empty data folders", nodeStatus.BootstrapBlockers)
	case nodeStatus.ClusterID == 0 && r.options.FormerMember:
		return "the data folder was emptied: waiting to be admitted as a learner by the cluster that it belonged to"
	case nodeStatus.ClusterID == 0:
		return "the data folder is empty: waiting to be admitted as a learner"
	case !nodeStatus.IsRegistered:
		return "the data folder is not registered: waiting to be admitted as a learner (a removed host needs an empty folder)"
	case !nodeStatus.IsVoter:
		return "no leader is known, and this replica is a learner"
	}
	return "no leader is known: a quorum of the voters has not been heard"
}

// AddMember adds a host as a learner, which votes once it has caught up. Errors
// are *NotRecordedError or *OutcomeUnknownError.
func (r *Replica) AddMember(ctx context.Context, id uint64, url string) error {
	return r.changeMember(ctx, consensus.Member{ID: id, URL: url}, false)
}

// RemoveMember removes a host. A leader that removes itself transfers the
// leadership first. Errors are *NotRecordedError or *OutcomeUnknownError.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	if id == r.options.ID {
		if err := r.TransferLeadership(ctx); err != nil {
			return err
		}
	}
	return r.changeMember(ctx, consensus.Member{ID: id}, true)
}

// changeMember asks the leader for a membership change.
func (r *Replica) changeMember(ctx context.Context, member consensus.Member, remove bool) error {
	return r.callLeaderWithRetry(ctx, func(ctx context.Context, isLeader bool, leaderURL string) error {
		if !isLeader {
			return r.forwardMemberChange(ctx, leaderURL, member, remove)
		}
		return r.submitControl(ctx, &controlRequest{member: member, remove: remove, done: make(chan outcome, 1)})
	})
}

// submitControl queues a control request and waits for its outcome.
func (r *Replica) submitControl(ctx context.Context, c *controlRequest) error {
	if err := r.controls.TryPut(c); err != nil {
		return &refusedError{reason: err.Error()}
	}
	select {
	case out := <-c.done:
		return out.err
	case <-ctx.Done():
		return &OutcomeUnknownError{Reason: "the caller gave up", Cause: context.Cause(ctx)}
	case <-r.stopped:
		return &OutcomeUnknownError{Reason: "the replica stopped"}
	}
}

// TransferLeadership makes another voter the leader, for a planned stop, and
// returns once another replica leads. It does nothing on a replica that does
// not lead or that is the only voter. It takes about an election timeout,
// because the lease must end first. Errors are *NotRecordedError or
// *OutcomeUnknownError.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	if nodeStatus := r.nodeStatus.Load(); nodeStatus.Role != consensus.Leader || hasSingleVoter(nodeStatus.Membership) {
		return nil
	}
	err := r.submitControl(ctx, &controlRequest{transferLeadership: true, done: make(chan outcome, 1)})
	var refused *refusedError
	if errors.As(err, &refused) {
		return &NotRecordedError{Reason: refused.reason}
	}
	if err != nil {
		return err
	}
	deadline := time.Now().Add(2 * leaderWaitTimeout)
	for nodeStatus := r.nodeStatus.Load(); nodeStatus.LeaderID == 0 || nodeStatus.LeaderID == r.options.ID; nodeStatus = r.nodeStatus.Load() {
		if time.Now().After(deadline) || !r.waitRetryInterval(ctx) {
			return &NotRecordedError{Reason: "no other replica has taken the leadership over"}
		}
	}
	return nil
}

func hasSingleVoter(m consensus.Membership) bool {
	count := 0
	for _, member := range m.Members {
		if member.IsVoter {
			count++
		}
	}
	return count == 1
}
