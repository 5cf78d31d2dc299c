package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// isRefuted reports whether an attempt with the key was served that was sent after b.
func (t *Table) isRefuted(key uint64, b *BrokenAttempt) bool {
	return !t.served[key].Before(b.SentAt)
}

// allRefuted reports whether nothing can have caused a crash.
func (t *Table) allRefuted(c *crash) bool {
	if c.hasResponded() {
		return true
	}
	for i := range c.breaks {
		b := &c.breaks[i]
		if slices.ContainsFunc(b.keys(), func(key uint64) bool { return !t.isRefuted(key, b) }) {
			return false
		}
	}
	return true
}

// suspects returns the attempts whose prompt can have caused a crash. An endpoint crashes over a
// part in a response that it has begun, so attempts without a head are innocent where another had
// one. Over a request as a whole it may crash before.
func (c *crash) suspects() []*BrokenAttempt {
	var withHead, all []*BrokenAttempt
	for i := range c.breaks {
		b := &c.breaks[i]
		all = append(all, b)
		if b.HasHead {
			withHead = append(withHead, b)
		}
	}
	if len(withHead) > 0 {
		return withHead
	}
	return all
}

// interval is the time that an attempt was at its endpoint.
type interval struct {
	sentAt, brokenAt time.Time
}

// suspicion is the evidence against one part or request.
type suspicion struct {
	key       uint64
	position  int // in the prompt
	intervals []interval
	endpoints map[uint64]bool
	services  map[string]bool
	breaks    int  // how many crashes count, see Table.countBreaks
	popular   bool // a request that was served shortly before
}

// Decide returns the keys of the parts and requests to quarantine. quarantined tells whether one is
// quarantined already: it explains the crashes of its endpoints. offended tells whether it was before.
func (t *Table) Decide(now time.Time, quarantined, offended func(key uint64) bool) []uint64 {
	t.advance(now)
	explained := t.explainedCrashes(quarantined)
	var decided []uint64
	for {
		worst := t.worstSuspicion(now, explained, offended)
		if worst == nil {
			return decided
		}
		decided = append(decided, worst.key)
		t.addVerdict(worst, offended(worst.key))
		for endpoint := range worst.endpoints {
			explained[endpoint] = true
		}
	}
}

// explainedCrashes returns the endpoints that broke off an attempt with a quarantined part, or a
// quarantined request.
func (t *Table) explainedCrashes(quarantined func(key uint64) bool) map[uint64]bool {
	explained := map[uint64]bool{}
	for endpoint, c := range t.crashes {
		for _, b := range c.suspects() {
			if slices.ContainsFunc(b.Parts, quarantined) {
				explained[endpoint] = true
			}
		}
		if slices.ContainsFunc(c.breaks, func(b BrokenAttempt) bool { return b.Request != 0 && quarantined(b.Request) }) {
			explained[endpoint] = true
		}
	}
	return explained
}

// worstSuspicion returns the strongest suspicion that suffices, nil if there is none. A part is
// blamed, not a request with it, if it was at more endpoints that crashed.
func (t *Table) worstSuspicion(now time.Time, explained map[uint64]bool, offended func(key uint64) bool) *suspicion {
	var part, request *suspicion
	for _, s := range t.suspicions(now, explained) {
		t.countBreaks(s)
		if !t.suffices(s, offended(s.key), explained) {
			continue
		}
		worst := &part
		if IsRequest(s.key) {
			worst = &request
		}
		if *worst == nil || s.compare(*worst) > 0 {
			*worst = s
		}
	}
	if request == nil || part != nil && len(part.endpoints) > len(request.endpoints) {
		return part
	}
	return request
}

// compare compares two suspicions of the same kind by strength. Of several parts that always come
// together it is the last in the prompt, because the parts before it have more prompts in common. Of
// several requests it is the one that came most often.
func (s *suspicion) compare(other *suspicion) int {
	return cmp.Or(cmp.Compare(s.breaks, other.breaks), cmp.Compare(s.position, other.position),
		cmp.Compare(len(s.intervals), len(other.intervals)), cmp.Compare(s.key, other.key))
}

// suspicions returns the unrefuted evidence by key.
func (t *Table) suspicions(now time.Time, explained map[uint64]bool) map[uint64]*suspicion {
	all := map[uint64]*suspicion{}
	for endpoint, c := range t.crashes {
		if explained[endpoint] || now.Sub(c.brokenAt) < settleDelay || c.hasResponded() {
			continue
		}
		for _, b := range c.suspects() {
			for position, part := range b.Parts {
				t.addSuspicion(all, part, position, c, b)
			}
		}
		for i := range c.breaks {
			if b := &c.breaks[i]; b.Request != 0 {
				t.addSuspicion(all, b.Request, 0, c, b)
			}
		}
	}
	return all
}

// addSuspicion adds a broken attempt of a crash to the evidence against one of its keys, unless it
// is refuted, not settled or the endpoint went on.
func (t *Table) addSuspicion(all map[uint64]*suspicion, key uint64, position int, c *crash, b *BrokenAttempt) {
	if t.isRefuted(key, b) || !t.isSettled(key, c, b) || c.respondedSince(b.BrokenAt) {
		return
	}
	s := all[key]
	if s == nil {
		s = &suspicion{key: key, position: position, endpoints: map[uint64]bool{}, services: map[string]bool{}}
		all[key] = s
	}
	s.endpoints[b.Endpoint], s.services[b.Service] = true, true
	s.intervals = append(s.intervals, interval{sentAt: b.SentAt, brokenAt: b.BrokenAt})
}

// countBreaks sets how many crashes count. A request may be at several endpoints at the same
// time, and they all crash under it. One that was served shortly before may be popular and sound,
// so those at the same time count once, as with parts.
func (t *Table) countBreaks(s *suspicion) {
	s.breaks = longestSequence(s.intervals)
	first := slices.MinFunc(s.intervals, func(a, b interval) int { return a.sentAt.Compare(b.sentAt) })
	if s.popular = IsRequest(s.key) && t.wasServedBefore(s.key, first.sentAt); IsRequest(s.key) && !s.popular {
		s.breaks = len(s.endpoints)
	}
}

// longestSequence returns the largest number of intervals that follow one another.
func longestSequence(intervals []interval) int {
	slices.SortFunc(intervals, func(a, b interval) int { return a.brokenAt.Compare(b.brokenAt) })
	count := 0
	var last time.Time
	for _, i := range intervals {
		if count == 0 || !i.sentAt.Before(last) {
			count, last = count+1, i.brokenAt
		}
	}
	return count
}

// suffices reports whether a suspicion is strong enough. The share of the attempts without
// the key that broke meanwhile is the probability that one of its breaks is chance. Crashes that
// are explained already say nothing of a request.
func (t *Table) suffices(s *suspicion, offended bool, explained map[uint64]bool) bool {
	needed, maxChance := neededCrashes(s.key, offended), maxChanceProbability
	if IsRequest(s.key) && !s.popular {
		maxChance = maxRequestChance
	}
	weight := s.breaks
	if offended {
		weight += priorOffenceBreaks
	}
	if s.breaks < needed || len(s.endpoints) < needed || IsRequest(s.key) && !offended && t.isAmongOthers(s, explained) {
		return false
	}
	return math.Pow(t.chanceOfBreak(s, explained), float64(weight)) <= maxChance
}

// neededCrashes returns how many endpoints must have crashed for a verdict on a key.
func neededCrashes(key uint64, offended bool) int {
	switch {
	case offended:
		return 1
	case IsRequest(key):
		return minRequestCrashes
	default:
		return minSequentialBreaks
	}
}

// isAmongOthers reports whether a request was at no more crashes than happened elsewhere in its
// services meanwhile: those may all have another cause. Crashes at the same moment count once.
func (t *Table) isAmongOthers(s *suspicion, explained map[uint64]bool) bool {
	first, last := s.intervals[0].sentAt, s.intervals[0].brokenAt
	for _, i := range s.intervals {
		if i.sentAt.Before(first) {
			first = i.sentAt
		}
		if i.brokenAt.After(last) {
			last = i.brokenAt
		}
	}
	var own, others []time.Time
	for endpoint, c := range t.crashes {
		switch {
		case s.endpoints[endpoint]:
			own = append(own, c.brokenAt)
		case explained[endpoint]:
		case s.services[c.service] && !c.hasResponded() && !c.brokenAt.Before(first) && !c.brokenAt.After(last.Add(eventGap)):
			others = append(others, c.brokenAt)
		}
	}
	return countEvents(own) <= countEvents(others)
}

// countEvents counts the groups of times that are eventGap apart.
func countEvents(times []time.Time) int {
	slices.SortFunc(times, time.Time.Compare)
	count := 0
	for i, at := range times {
		if i == 0 || at.Sub(times[i-1]) > eventGap {
			count++
		}
	}
	return count
}

// chanceOfBreak estimates the probability that an attempt breaks by another cause. For a request
// nothing served at all counts as one half, since endpoints of a service with no other traffic
// may crash under it.
func (t *Table) chanceOfBreak(s *suspicion, explained map[uint64]bool) float64 {
	since := s.intervals[0].sentAt
	prior := 1
	if IsRequest(s.key) {
		since, prior = since.Add(-requestBaseline), 2
	} else {
		explained = nil
	}
	broken, served := t.otherOutcomes(since, s, explained)
	return float64(broken+1) / float64(broken+served+prior)
}

// otherOutcomes counts the attempts of own entries at the services of a suspicion since a time: those
// that were served, and those that broke at other endpoints, without the given ones.
func (t *Table) otherOutcomes(since time.Time, s *suspicion, without map[uint64]bool) (broken, served int) {
	for service := range s.services {
		for _, count := range t.servedCounts[service] {
			if count.beganAt.Add(outcomeBucket).After(since) {
				served += count.attempts
			}
		}
	}
	for endpoint, c := range t.crashes {
		if s.endpoints[endpoint] || without[endpoint] || !s.services[c.service] || c.hasResponded() || c.brokenAt.Before(since) {
			continue
		}
		broken += c.ownCount + c.earlierCount
	}
	return broken, served
}
