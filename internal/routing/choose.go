package routing

import (
	"slices"
	"time"
)

// Choose returns the endpoint for a request, or a *NoEndpointError.
func (t *Table) Choose(now time.Time, r Request, rand Rand) (Decision, error) {
	missing := t.filter(now, &r)
	t.scores = t.scores[:0]
	if len(t.fit) == 0 && len(r.Busy) > 0 {
		return t.backToBusy(now, r, rand)
	}
	if len(t.fit) == 0 {
		return t.lastResort(&r, missing)
	}
	t.leaveOutSlow(t.betweenTarget(r.Class))
	own := t.partition()
	best, score := t.bestOf(t.fit[:own], &r, rand)
	reason := ReasonBetter
	if best == nil || score.Cost >= t.config.SpillCost {
		other, otherScore := t.bestOf(t.fit[own:], &r, rand)
		if best == nil || other != nil && otherScore.Cost < score.Cost {
			best, reason = other, ReasonSpill
		}
	}
	if holder := t.bestHolder(&r, best); holder != nil {
		best, reason = holder, ReasonAffinity
	}
	if len(t.fit) == 1 {
		reason = ReasonOnly
	}
	return t.decide(&r, best, reason)
}

// backToBusy chooses among the endpoints that gave the request back.
func (t *Table) backToBusy(now time.Time, r Request, rand Rand) (Decision, error) {
	r.Busy = nil
	d, err := t.Choose(now, r, rand)
	d.MayMove = false
	if err == nil && d.Reason != ReasonEjected {
		d.Reason = ReasonBusy
	}
	return d, err
}

func (t *Table) decide(r *Request, e *endpoint, reason string) (Decision, error) {
	if e.ejected {
		e.probing = true
	}
	t.sent(e, r.Prefix)
	mayMove := len(r.Tried) == 0 && len(r.Busy) == 0 && len(t.fit) > 1
	return Decision{Endpoint: e.described, Candidates: t.scores, Reason: reason, MayMove: mayMove}, nil
}

// filter fills t.fit and counts what was left out.
func (t *Table) filter(now time.Time, r *Request) NoEndpointError {
	missing := NoEndpointError{Target: r.Target, Workspace: r.Workspace}
	t.fit = t.fit[:0]
	t.choices++
	for _, p := range t.pools[target{kind: r.Kind, name: r.Target}] {
		if !p.group.admits(r.Workspace) {
			continue
		}
		missing.Serving += len(p.endpoints)
		for _, e := range p.endpoints {
			switch {
			case e.leaving():
				missing.Leaving++
			case len(r.Tried) > 0 && slices.Contains(r.Tried, e.described.GetName()):
				missing.Tried++
			case len(r.Busy) > 0 && slices.Contains(r.Busy, e.described.GetName()):
			case r.LowerTierOnly && !e.lowerTier(r.Tier):
				missing.Unfit++
			case e.ejected && (e.probing || e.ejectedUntil.After(now)):
			default:
				e.fitAt = t.choices
				t.fit = append(t.fit, e)
			}
		}
	}
	return missing
}

// lastResort picks an ejected endpoint where nothing else is left: the one
// whose ejection ends first.
func (t *Table) lastResort(r *Request, missing NoEndpointError) (Decision, error) {
	var best *endpoint
	for _, p := range t.pools[target{kind: r.Kind, name: r.Target}] {
		if !p.group.admits(r.Workspace) {
			continue
		}
		for _, e := range p.endpoints {
			if !e.ejected || e.leaving() || slices.Contains(r.Tried, e.described.GetName()) {
				continue
			}
			if r.LowerTierOnly && !e.lowerTier(r.Tier) {
				continue
			}
			if best == nil || e.ejectedUntil.Before(best.ejectedUntil) {
				best = e
			}
		}
	}
	if best == nil {
		return Decision{}, &missing
	}
	t.score(best, r)
	return t.decide(r, best, ReasonEjected)
}

// leaveOutSlow drops the endpoints whose time between tokens is over the
// class's target, unless that would leave none. An idle endpoint is kept: its
// figure is old.
func (t *Table) leaveOutSlow(target time.Duration) {
	fast := 0
	for i, e := range t.fit {
		if e.load.GetRunning() == 0 || e.tooSlow(target) == 0 {
			t.fit[fast], t.fit[i] = e, t.fit[fast]
			fast++
		}
	}
	if fast == 0 {
		return
	}
	for _, e := range t.fit[fast:] {
		e.fitAt = 0
	}
	t.fit = t.fit[:fast]
}

// partition puts the own failure domain first and returns its size.
func (t *Table) partition() int {
	own := 0
	for i, e := range t.fit {
		if e.own {
			t.fit[own], t.fit[i] = e, t.fit[own]
			own++
		}
	}
	return own
}

// bestOf scores a few random endpoints of from and returns the best. It
// reorders from.
func (t *Table) bestOf(from []*endpoint, r *Request, rand Rand) (*endpoint, Score) {
	var best *endpoint
	var bestScore Score
	for i := range min(len(from), t.config.Choices) {
		j := i + rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		if s := t.score(from[i], r); best == nil || s.Cost < bestScore.Cost {
			best, bestScore = from[i], s
		}
	}
	return best, bestScore
}

// bestHolder scores the endpoints that hold the longest part of the prefix
// and returns the one that beats best. One without a free slot is passed over,
// so that a prefix in demand spreads over more endpoints.
func (t *Table) bestHolder(r *Request, best *endpoint) *endpoint {
	held, _ := t.affinity.longest(r.Prefix)
	if held == nil {
		return nil
	}
	var better *endpoint
	cost := t.score(best, r).Cost
	for _, h := range held.holders {
		if h.endpoint == nil || h.endpoint == best || h.endpoint.fitAt != t.choices || h.endpoint.wait(r.Tier) > 0 {
			continue
		}
		if s := t.score(h.endpoint, r); s.Cost < cost {
			better, cost = h.endpoint, s.Cost
		}
	}
	return better
}

// betweenTarget is the target between tokens of a class; 0 if there is none.
func (t *Table) betweenTarget(class string) time.Duration {
	return time.Duration(t.classes[class].BetweenTokensTarget)
}

// score appends the estimate for e and returns it.
func (t *Table) score(e *endpoint, r *Request) Score {
	s := Score{Endpoint: e.described.GetName(), Own: e.own, Wait: e.wait(r.Tier)}
	s.Cost = s.Wait + e.firstTokenCost(r.Tier) + e.tooSlow(t.betweenTarget(r.Class))
	if len(r.Prefix) > 0 {
		s.Blocks = t.affinity.held(r.Prefix, e)
		s.Cost -= min(time.Duration(s.Blocks)*t.config.BlockTime, s.Cost-s.Wait)
	}
	if !e.own {
		s.Cost += t.config.DomainCost
	}
	t.scores = append(t.scores, s)
	return s
}
