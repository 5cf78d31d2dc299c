package replica

import (
	"context"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// UnknownError says that a command may or may not be applied.
type UnknownError struct {
	Reason string
	Cause  error // may be nil
}

// Error gives the reason.
func (e *UnknownError) Error() string {
	if e.Cause == nil {
		return "outcome of the command is unknown: " + e.Reason
	}
	return fmt.Sprintf("outcome of the command is unknown: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error { return e.Cause }

// refusal is a command that will never be applied. With retry it may be
// proposed again at once, for instance to another leader.
type refusal struct {
	reason string
	retry  bool
}

func (e *refusal) Error() string { return e.reason }

// proposal is a command on its way to the node.
type proposal struct {
	command []byte
	placed  chan uint64 // the index, once in the log
	done    chan outcome
}

// control is a request about the hosts on its way to the node.
type control struct {
	transfer bool
	member   consensus.Member
	remove   bool
	confirm  *confirmation // what a read began with, if it is one
	peers    []Member      // new hosts to join through, if they changed
	done     chan outcome
}

// Propose appends a command, through the leader if this replica follows. It
// looks for a leader for a few seconds; otherwise it answers at once. Errors
// are *NotRecorded, or *UnknownError.
func (r *Replica) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if len(command) > MaxCommandBytes {
		return nil, &NotRecorded{Reason: fmt.Sprintf("%d bytes are over the bound of %d", len(command), MaxCommandBytes)}
	}
	var result []byte
	err := r.viaLeader(ctx, func(local bool, url string) (err error) {
		if local {
			result, err = r.proposeHere(ctx, command)
			return err
		}
		result, err = r.forward(ctx, url, command)
		return err
	})
	return result, err
}

// viaLeader calls at the leader, and again while the call is refused with
// retry, within the wait for a leader.
func (r *Replica) viaLeader(ctx context.Context, call func(local bool, url string) error) error {
	giveUp := time.Now().Add(leaderWait)
	for {
		err := r.callLeader(call)
		var refused *refusal
		if !errors.As(err, &refused) {
			return err
		}
		if !refused.retry || time.Now().After(giveUp) || !r.pause(ctx) {
			return &NotRecorded{Reason: refused.reason}
		}
	}
}

// callLeader makes one call at the leader that is known now.
func (r *Replica) callLeader(call func(local bool, url string) error) error {
	view := r.view.Load()
	if view.Role == consensus.Leader {
		return call(true, "")
	}
	url := r.urlOf(view.Leader)
	if view.Leader == 0 || url == "" {
		return &refusal{reason: r.reason(view), retry: true}
	}
	return call(false, url)
}

// pause waits a little before another try, and reports whether there is one.
func (r *Replica) pause(ctx context.Context) bool {
	timer := time.NewTimer(retryInterval)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	case <-r.stop:
		return false
	}
}

// proposeHere proposes as the leader.
func (r *Replica) proposeHere(ctx context.Context, command []byte) ([]byte, error) {
	p := &proposal{command: command, placed: make(chan uint64, 1), done: make(chan outcome, 1)}
	if err := r.proposals.Put(p); err != nil {
		return nil, &refusal{reason: err.Error()}
	}
	select {
	case end := <-p.done:
		return end.result, end.err
	case <-ctx.Done():
		r.abandon(p)
		return nil, &UnknownError{Reason: "the caller gave up", Cause: context.Cause(ctx)}
	case <-r.stop:
		return nil, &UnknownError{Reason: "the replica stopped"}
	}
}

// abandon forgets a proposal whose caller is gone.
func (r *Replica) abandon(p *proposal) {
	select {
	case index := <-p.placed:
		r.waiting.drop(index, p.done)
	default:
	}
}

// propose gives a command to the node.
func (s *stepper) propose(p *proposal) {
	index, term, err := s.node.Propose(s.now(), p.command)
	if err != nil {
		p.done <- outcome{err: refuse(err)}
		return
	}
	s.waiting.add(index, waiter{term: term, done: p.done})
	p.placed <- index
}

// control gives a request about the hosts to the node.
func (s *stepper) control(c *control) {
	if c.peers != nil {
		s.setPeers(c.peers)
		c.done <- outcome{}
		return
	}
	if c.confirm != nil {
		index, at, err := s.node.Confirm(s.now())
		if err != nil {
			err = refuse(err)
		}
		c.confirm.index, c.confirm.at = index, at
		c.done <- outcome{err: err}
		return
	}
	if c.transfer {
		err := s.node.Transfer(s.now(), 0)
		if err != nil {
			err = refuse(err)
		}
		c.done <- outcome{err: err}
		return
	}
	index, term, err := s.node.ChangeMember(s.now(), c.member, c.remove)
	if err != nil {
		c.done <- outcome{err: refuse(err)}
		return
	}
	s.waiting.add(index, waiter{term: term, done: c.done})
}

// refuse turns an error of the node into a refusal.
func refuse(err error) error {
	var moved *consensus.NotLeaderError
	var busy *consensus.BusyError
	retry := errors.As(err, &moved) || errors.As(err, &busy)
	return &refusal{reason: err.Error(), retry: retry}
}

// Leading reports whether this replica holds the leader lease and has applied
// everything that was acknowledged before its term.
func (r *Replica) Leading() (term uint64, until time.Time, ok bool) {
	view := r.view.Load()
	if !view.HasLease || r.applied.Load() < view.TermStart || r.now() >= view.LeaseEnd {
		return view.Term, time.Time{}, false
	}
	return view.Term, r.epoch.Add(view.LeaseEnd), true
}

// Status describes the replica.
func (r *Replica) Status() Status {
	view := r.view.Load()
	_, _, leading := r.Leading()
	status := Status{ID: r.options.ID, Term: view.Term, Leader: view.Leader, LeaderURL: r.urlOf(view.Leader),
		IsLeader: leading, Commit: view.Commit, Applied: r.applied.Load(), Voter: view.Voter,
		Reason: r.reason(view)}
	for _, m := range view.Membership.Members {
		status.Members = append(status.Members, Member{ID: m.ID, URL: m.URL, Voter: m.Voter, Match: view.Match[m.ID]})
	}
	return status
}

// reason tells why no proposal can be taken, "" if one can.
func (r *Replica) reason(view *consensus.View) string {
	switch {
	case view.Leader != 0:
		return ""
	case len(view.MissingPeers) > 0:
		return fmt.Sprintf("the cluster forms once hosts %v answer with empty data folders", view.MissingPeers)
	case view.Formation == 0:
		return "the data folder is empty: waiting to be admitted as a learner"
	case !view.Registered:
		return "the data folder is not registered: waiting to be admitted as a learner (a removed host needs an empty folder)"
	case !view.Voter:
		return "no leader is known, and this replica is a learner"
	}
	return "no leader is known: a quorum of the voters has not been heard"
}

// AddMember adds a host as a learner; it votes once it has caught up. Errors
// are *NotRecorded or *UnknownError.
func (r *Replica) AddMember(ctx context.Context, id uint64, url string) error {
	return r.change(ctx, consensus.Member{ID: id, URL: url}, false)
}

// RemoveMember removes a host. A leader hands over first if it is the one.
// Errors are *NotRecorded or *UnknownError.
func (r *Replica) RemoveMember(ctx context.Context, id uint64) error {
	if id == r.options.ID {
		if err := r.TransferLeadership(ctx); err != nil {
			return err
		}
	}
	return r.change(ctx, consensus.Member{ID: id}, true)
}

// change asks the leader for a change of the hosts.
func (r *Replica) change(ctx context.Context, member consensus.Member, remove bool) error {
	return r.viaLeader(ctx, func(local bool, url string) error {
		if !local {
			return r.forwardChange(ctx, url, member, remove)
		}
		return r.ask(ctx, &control{member: member, remove: remove, done: make(chan outcome, 1)})
	})
}

// ask waits for the end of a control request.
func (r *Replica) ask(ctx context.Context, c *control) error {
	if err := r.controls.Put(c); err != nil {
		return &refusal{reason: err.Error()}
	}
	select {
	case end := <-c.done:
		return end.err
	case <-ctx.Done():
		return &UnknownError{Reason: "the caller gave up", Cause: context.Cause(ctx)}
	case <-r.stop:
		return &UnknownError{Reason: "the replica stopped"}
	}
}

// TransferLeadership hands over before a planned stop, and returns once
// another replica leads. It does nothing on a replica that does not lead, or
// that is the only voter. It takes about an election timeout, because the lease must end first. Errors
// are *NotRecorded or *UnknownError.
func (r *Replica) TransferLeadership(ctx context.Context) error {
	if view := r.view.Load(); view.Role != consensus.Leader || onlyVoter(view.Membership) {
		return nil
	}
	err := r.ask(ctx, &control{transfer: true, done: make(chan outcome, 1)})
	var refused *refusal
	if errors.As(err, &refused) {
		return &NotRecorded{Reason: refused.reason}
	}
	if err != nil {
		return err
	}
	giveUp := time.Now().Add(2 * leaderWait)
	for view := r.view.Load(); view.Leader == 0 || view.Leader == r.options.ID; view = r.view.Load() {
		if time.Now().After(giveUp) || !r.pause(ctx) {
			return &NotRecorded{Reason: "no other replica has taken the leadership over"}
		}
	}
	return nil
}

// onlyVoter reports whether there is one voter.
func onlyVoter(m consensus.Membership) bool {
	count := 0
	for _, member := range m.Members {
		if member.Voter {
			count++
		}
	}
	return count == 1
}
