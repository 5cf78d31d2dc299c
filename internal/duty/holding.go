package duty

import "time"

// lease is what one host knows of the holding. All times are of the boot clock.
type lease struct {
	startedAt  time.Duration // of this process
	changedAt  time.Duration // this host applied the latest change of the holding, or started
	token      uint64        // of this process's latest holding
	acquiredAt time.Duration // this host applied that holding
	from       time.Duration // before the proposal of the latest applied command of that holding
	valid      bool          // from is set
	released   bool          // this process makes no further call
}

// proposal is a command of this process.
type proposal struct {
	stamp uint64
	at    time.Duration
}

// proposals are the commands of this process.
type proposals struct {
	stamp     uint64     // of the latest one
	recent    []proposal // the latest rememberProposals
	applied   uint64     // the highest stamp in an applied record
	notBefore time.Duration
	backoff   time.Duration
}

// propose returns the proposal of a command, or the wait for its time.
func (k *Keeper) propose(now Clocks, why string, encode func(Holdership) []byte) Action {
	p := &k.proposals
	if now.Boot < p.notBefore {
		return Action{Kind: Wait, Until: p.notBefore}
	}
	p.stamp++
	p.recent = append(p.recent, proposal{stamp: p.stamp, at: now.Boot})
	p.recent = p.recent[max(0, len(p.recent)-rememberProposals):]
	command := encode(Holdership{Token: k.record.Holding.Token, Life: k.config.Life, Stamp: p.stamp})
	return Action{Kind: Propose, Command: command, Why: why}
}

// Proposed ends a proposal: ok tells whether the log reported it as applied. Only the applied
// record shows whether it was accepted. Jitter is a random number from 0 to 1.
func (k *Keeper) Proposed(boot time.Duration, ok bool, jitter float64) {
	p := &k.proposals
	switch {
	case p.applied == p.stamp:
	case ok:
		p.notBefore = boot + firstBackoff // this host applies it soon, unless it was refused
	default:
		p.backoff = nextBackoff(p.backoff)
		p.notBefore = boot + jittered(p.backoff, jitter)
	}
}

// observeOwn takes over an applied holding of this process.
func (k *Keeper) observeOwn(boot time.Duration, h Holding) {
	if h.Token != k.lease.token {
		k.lease.token, k.lease.acquiredAt, k.lease.valid = h.Token, boot, false
	}
	for _, p := range k.proposals.recent {
		if p.stamp != h.Stamp {
			continue
		}
		if !k.lease.valid || p.at > k.lease.from {
			k.lease.from, k.lease.valid = p.at, true
		}
	}
	if h.Stamp > k.proposals.applied {
		k.proposals.applied = h.Stamp
	}
	if h.Stamp == k.proposals.stamp {
		k.proposals.notBefore, k.proposals.backoff = 0, 0
	}
}

// MayCall reports whether a call out may begin; it is to be asked directly before the bytes of
// the call leave, and the call is to be reset CallTimeout later.
func (k *Keeper) MayCall(boot time.Duration) bool {
	token, holds := k.Holds()
	return holds && !k.lease.released && k.lease.valid && k.lease.token == token &&
		boot >= k.callsFrom() && boot <= k.callsUntil()
}

// callsUntil is the latest time at which a call may begin.
func (k *Keeper) callsUntil() time.Duration {
	if !k.lease.valid {
		return k.lease.startedAt
	}
	return k.lease.from + k.config.Lease - k.config.CallTimeout - k.config.Margin
}

// callsFrom is the earliest time at which this holder may call. A host that held the duties before
// another one did waits, so that no two calls of it are around one of the other within Reuse.
func (k *Keeper) callsFrom() time.Duration {
	own, other := false, len(k.record.Earlier) == MaxEarlierHolders
	for _, e := range k.record.Earlier {
		own = own || e.Host == k.config.Host || e.HostName == k.config.HostName
		other = other || e.Host != k.config.Host || e.HostName != k.config.HostName
	}
	if !other || !own && len(k.record.Earlier) < MaxEarlierHolders {
		return k.lease.acquiredAt
	}
	return k.lease.acquiredAt + k.config.Reuse + k.config.Margin
}

// acquireAt is the time at which this host takes over the duties, of which something is left undone
// since a time.
func (k *Keeper) acquireAt(since time.Duration, in Inputs) time.Duration {
	stagger := rankStagger * time.Duration(max(in.Rank, 0))
	if in.IsLeader {
		stagger = 0
	}
	undoneAt := since + stagger
	h := k.record.Holding
	switch {
	case !h.Held():
		return undoneAt
	case h.Host == k.config.Host && h.HostName == k.config.HostName:
		// The recorded process is an earlier one of this host, and is gone.
		return max(undoneAt, k.lease.startedAt+k.config.CallTimeout+k.config.Margin)
	}
	return max(undoneAt+k.config.Lease, k.lease.changedAt+k.config.Lease+k.config.Margin+stagger)
}

func nextBackoff(last time.Duration) time.Duration {
	return min(max(2*last, firstBackoff), maxBackoff)
}

// jittered is a duration between half of d and d.
func jittered(d time.Duration, jitter float64) time.Duration {
	return d/2 + time.Duration(float64(d/2)*min(max(jitter, 0), 1))
}
