package routing

import (
	"slices"
	"time"
)

// Choose returns the endpoint for a request, or a *NoEndpointError.
func (t *Table) Choose(now time.Time, r Request, rand Rand) (Decision, error) {
	missing := t.filter(now, &r)
	t.scores = t.scores[:0]
	if len(t.fit) == 0 {
		return t.lastResort(now, &r, missing)
	}
	own := t.partition()
	best, reason := t.bestOfTwo(t.fit[:own], &r, rand)
	if best == nil || t.scoreOf(best).Wait >= t.config.SpillWait {
		other, _ := t.bestOfTwo(t.fit[own:], &r, rand)
		if other != nil && (best == nil || t.scoreOf(other).Cost < t.scoreOf(best).Cost) {
			best, reason = other, ReasonSpill
		}
	}
	return t.decide(now, best, reason)
}

func (t *Table) decide(now time.Time, e *endpoint, reason string) (Decision, error) {
	if e.ejected {
		e.probing = true
	}
	return Decision{Endpoint: e.described, Candidates: t.scores, Reason: reason}, nil
}

// filter fills t.fit and counts what was left out.
func (t *Table) filter(now time.Time, r *Request) NoEndpointError {
	missing := NoEndpointError{Target: r.Target, Workspace: r.Workspace}
	t.fit = t.fit[:0]
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
			case r.LowerTierOnly && !e.lowerTier(r.Tier):
				missing.Unfit++
			case e.ejected && (e.probing || e.ejectedUntil.After(now)):
			default:
				t.fit = append(t.fit, e)
			}
		}
	}
	return missing
}

// lastResort picks an ejected endpoint where nothing else is left: the one
// whose ejection ends first.
func (t *Table) lastResort(now time.Time, r *Request, missing NoEndpointError) (Decision, error) {
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
	return t.decide(now, best, ReasonEjected)
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

// bestOfTwo scores two random endpoints of from and returns the better.
func (t *Table) bestOfTwo(from []*endpoint, r *Request, rand Rand) (*endpoint, string) {
	switch len(from) {
	case 0:
		return nil, ""
	case 1:
		t.score(from[0], r)
		return from[0], ReasonOnly
	}
	i := rand.IntN(len(from))
	j := rand.IntN(len(from) - 1)
	if j >= i {
		j++
	}
	a, b := t.score(from[i], r), t.score(from[j], r)
	if b < a {
		return from[j], ReasonBetter
	}
	return from[i], ReasonBetter
}

// score appends the estimate for e and returns its cost.
func (t *Table) score(e *endpoint, r *Request) time.Duration {
	s := Score{Endpoint: e.described.GetName(), Own: e.own, Wait: e.wait(r.Tier)}
	s.Cost = s.Wait
	if e.load != nil {
		s.Cost += e.firstToken() + e.serviceTime()*time.Duration(e.busy())/100
	}
	if !e.own {
		s.Cost += t.config.DomainCost
	}
	t.scores = append(t.scores, s)
	return s.Cost
}

func (t *Table) scoreOf(e *endpoint) Score {
	for _, s := range t.scores {
		if s.Endpoint == e.described.GetName() {
			return s
		}
	}
	return Score{}
}
