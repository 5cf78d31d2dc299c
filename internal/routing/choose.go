package routing

import (
	"slices"
	"time"
)

// Choose selects the endpoint for a request. Its only error is *NoEndpointError.
func (t *Table) Choose(now time.Time, r Request, rand Rand) (Decision, error) {
	exclusions := t.filterCandidates(now, &r)
	t.scores = t.scores[:0]
	if len(t.candidates) == 0 && len(r.BusyEndpoints) > 0 {
		return t.chooseAmongBusy(now, r, rand)
	}
	if len(t.candidates) == 0 {
		return t.chooseEjected(&r, exclusions)
	}
	t.excludeSlow(t.betweenTokensTarget(r.Class))
	ownCount := t.partitionByDomain()
	best, score := t.bestOfSample(t.candidates[:ownCount], &r, rand)
	reason := ReasonLowestCost
	if best == nil || score.Cost >= t.config.SpilloverThreshold {
		other, otherScore := t.bestOfSample(t.candidates[ownCount:], &r, rand)
		if best == nil || other != nil && otherScore.Cost < score.Cost {
			best, reason = other, ReasonSpillover
		}
	}
	if holder := t.betterHolder(&r, best); holder != nil {
		best, reason = holder, ReasonAffinity
	}
	if len(t.candidates) == 1 {
		reason = ReasonOnlyCandidate
	}
	return t.recordChoice(&r, best, reason)
}

// chooseAmongBusy repeats the choice with the endpoints that refused the request as
// busy. The chosen one may not do so again.
func (t *Table) chooseAmongBusy(now time.Time, r Request, rand Rand) (Decision, error) {
	r.BusyEndpoints = nil
	d, err := t.Choose(now, r, rand)
	d.MayRefuseAsBusy = false
	if err == nil && d.Reason != ReasonAllEjected {
		d.Reason = ReasonAllBusy
	}
	return d, err
}

func (t *Table) recordChoice(r *Request, e *endpoint, reason string) (Decision, error) {
	if e.ejected {
		e.probeInFlight = true
	}
	t.assumeCached(e, r.Prefix)
	mayRefuseAsBusy := len(r.TriedEndpoints) == 0 && len(r.BusyEndpoints) == 0 && len(t.candidates) > 1
	return Decision{Endpoint: e.descriptor, Candidates: t.scores, Reason: reason, MayRefuseAsBusy: mayRefuseAsBusy}, nil
}

// filterCandidates fills t.candidates and counts the endpoints that it excludes.
func (t *Table) filterCandidates(now time.Time, r *Request) NoEndpointError {
	exclusions := NoEndpointError{Target: r.Target, Workspace: r.Workspace}
	t.candidates = t.candidates[:0]
	t.choiceCount++
	for _, p := range t.pools[targetKey{kind: r.Kind, name: r.Target}] {
		if !p.group.admits(r.Workspace) {
			continue
		}
		exclusions.Serving += len(p.endpoints)
		for _, e := range p.endpoints {
			switch {
			case e.leaving():
				exclusions.Leaving++
			case len(r.TriedEndpoints) > 0 && slices.Contains(r.TriedEndpoints, e.descriptor.GetName()):
				exclusions.Tried++
			case len(r.BusyEndpoints) > 0 && slices.Contains(r.BusyEndpoints, e.descriptor.GetName()):
			case r.RequireLowerTier && !e.hasLowerTier(r.Tier):
				exclusions.WithoutLowerTier++
			case e.ejected && (e.probeInFlight || e.ejectedUntil.After(now)):
			default:
				e.candidateInChoice = t.choiceCount
				t.candidates = append(t.candidates, e)
			}
		}
	}
	return exclusions
}

// chooseEjected is used when no other endpoint is left. It selects the ejected
// endpoint whose ejection ends first.
func (t *Table) chooseEjected(r *Request, exclusions NoEndpointError) (Decision, error) {
	var best *endpoint
	for _, p := range t.pools[targetKey{kind: r.Kind, name: r.Target}] {
		if !p.group.admits(r.Workspace) {
			continue
		}
		for _, e := range p.endpoints {
			if !e.ejected || e.leaving() || slices.Contains(r.TriedEndpoints, e.descriptor.GetName()) {
				continue
			}
			if r.RequireLowerTier && !e.hasLowerTier(r.Tier) {
				continue
			}
			if best == nil || e.ejectedUntil.Before(best.ejectedUntil) {
				best = e
			}
		}
	}
	if best == nil {
		return Decision{}, &exclusions
	}
	t.score(best, r)
	return t.recordChoice(r, best, ReasonAllEjected)
}

// excludeSlow drops the candidates whose time between tokens exceeds the class's
// target, unless none would be left. Idle endpoints stay, because their last
// measurement is stale.
func (t *Table) excludeSlow(target time.Duration) {
	kept := 0
	for i, e := range t.candidates {
		if e.load.GetRunning() == 0 || e.betweenTokensPenalty(target) == 0 {
			t.candidates[kept], t.candidates[i] = e, t.candidates[kept]
			kept++
		}
	}
	if kept == 0 {
		return
	}
	for _, e := range t.candidates[kept:] {
		e.candidateInChoice = 0
	}
	t.candidates = t.candidates[:kept]
}

// partitionByDomain moves the candidates of the router's own failure domain to the
// front and returns their number.
func (t *Table) partitionByDomain() int {
	ownCount := 0
	for i, e := range t.candidates {
		if e.inOwnDomain {
			t.candidates[ownCount], t.candidates[i] = e, t.candidates[ownCount]
			ownCount++
		}
	}
	return ownCount
}

// bestOfSample scores up to SampleSize random endpoints of from and returns the
// one of lowest cost. It reorders from.
func (t *Table) bestOfSample(from []*endpoint, r *Request, rand Rand) (*endpoint, Score) {
	var best *endpoint
	var bestScore Score
	for i := range min(len(from), t.config.SampleSize) {
		j := i + rand.IntN(len(from)-i)
		from[i], from[j] = from[j], from[i]
		if s := t.score(from[i], r); best == nil || s.Cost < bestScore.Cost {
			best, bestScore = from[i], s
		}
	}
	return best, bestScore
}

// betterHolder returns the endpoint of lowest cost among those that cache the
// longest known part of the prefix, if it costs less than best; otherwise nil.
// Endpoints without a free slot are skipped, so that a popular prefix spreads to
// more endpoints.
func (t *Table) betterHolder(r *Request, best *endpoint) *endpoint {
	entry, _ := t.affinity.longestMatch(r.Prefix)
	if entry == nil {
		return nil
	}
	var better *endpoint
	cost := t.score(best, r).Cost
	for _, h := range entry.holders {
		if h.endpoint == nil || h.endpoint == best || h.endpoint.candidateInChoice != t.choiceCount || h.endpoint.expectedWait(r.Tier) > 0 {
			continue
		}
		if s := t.score(h.endpoint, r); s.Cost < cost {
			better, cost = h.endpoint, s.Cost
		}
	}
	return better
}

// betweenTokensTarget returns the class's target for the time between tokens; 0 if
// there is none.
func (t *Table) betweenTokensTarget(class string) time.Duration {
	return time.Duration(t.classes[class].BetweenTokensTarget)
}

// score estimates the cost of sending r to e and appends it to t.scores.
func (t *Table) score(e *endpoint, r *Request) Score {
	s := Score{Endpoint: e.descriptor.GetName(), OwnDomain: e.inOwnDomain, ExpectedWait: e.expectedWait(r.Tier)}
	s.Cost = s.ExpectedWait + e.expectedFirstToken(r.Tier) + e.betweenTokensPenalty(t.betweenTokensTarget(r.Class))
	if len(r.Prefix) > 0 {
		s.CachedBlocks = t.affinity.expectedCachedBlocks(r.Prefix, e)
		s.Cost -= min(time.Duration(s.CachedBlocks)*t.config.CachedBlockBonus, s.Cost-s.ExpectedWait)
	}
	if !e.inOwnDomain {
		s.Cost += t.config.CrossDomainCost
	}
	t.scores = append(t.scores, s)
	return s
}
