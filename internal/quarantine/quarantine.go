// Package quarantine finds the parts of prompts, and the requests, that crash endpoints. It
// collects the attempts that endpoints broke off and what endpoints have served, from all
// entries, and decides what must be kept from endpoints.
//
// An endpoint that crashes breaks off all its attempts, so a broken attempt alone proves
// nothing. A part is quarantined if attempts with it broke at several endpoints one after
// another, none that was sent since was served, and attempts without it are mostly served. A
// request is quarantined if it was at several endpoints when they crashed, was never served,
// and other requests of its service mostly are.
//
// A Table has no clock, goroutine or I/O. It is not safe for concurrent use.
package quarantine

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// BrokenAttempt is an attempt whose endpoint ended the connection before the response was
// complete.
type BrokenAttempt struct {
	Endpoint uint64 // key of the endpoint's incarnation
	SentAt   time.Time
	BrokenAt time.Time
	HasHead  bool     // the endpoint had begun its response
	Parts    []uint64 // keys of the prompt's parts, without the last one, which is the request's own
	Request  uint64   // key of the request, 0 if not known
	Service  string
}

// requestBit is set in the keys of requests and not in those of prompt parts: callers choose the
// IDs of parts, and must not be able to name a request of others.
const requestBit = 1 << 63

// PartKey returns the key of a prompt part.
func PartKey(id uint64) uint64 { return id &^ requestBit }

// RequestKey returns the key of a request with the given hash.
func RequestKey(hash uint64) uint64 { return hash | requestBit }

// IsRequest reports whether a key is that of a request.
func IsRequest(key uint64) bool { return key&requestBit != 0 }

const (
	// minSequentialBreaks is how many broken attempts, each sent after the one before had
	// broken, a part needs. Attempts that overlap may have a common cause and count once.
	minSequentialBreaks = 3
	// maxChanceProbability is the probability that a quarantined part was hit only by crashes of
	// another cause. It is small because many parts are judged.
	maxChanceProbability = 1e-5
	// priorOffenceBreaks is what an earlier quarantine counts for.
	priorOffenceBreaks = 2
	// settleDelay is how long a break waits until it counts against a part. By then the reports of
	// the other entries about the same time have arrived.
	settleDelay = 400 * time.Millisecond
	// minRequestCrashes is how many endpoints must have crashed under a request.
	minRequestCrashes = 3
	// maxRequestChance is the probability that a quarantined request was hit only by crashes of
	// another cause. Few requests are judged: it takes as many crashed endpoints as
	// minRequestCrashes.
	maxRequestChance = 1e-3
	// requestSettleDelay is settleDelay for requests. By then an endpoint that reset a
	// connection but did not crash has responded to a later attempt.
	requestSettleDelay = 800 * time.Millisecond
	// requestBaseline is how long before the first break of a request the outcomes of others
	// count: if all endpoints of a small service crash, nothing is served between the crashes.
	requestBaseline = 30 * time.Second
	// recentlyServed is how long before its first break a request must not have been served. A
	// request that was has breaks that overlap counted once, as those of a part.
	recentlyServed = 10 * time.Second
	// maxBreakSpread is how long before the last break at an endpoint its crash broke the others. What
	// broke earlier was no crash.
	maxBreakSpread = 200 * time.Millisecond
	// eventGap separates crashes that are not at the same moment. A crash of many endpoints by one
	// cause is seen by different hosts within less.
	eventGap = 50 * time.Millisecond
	// respondedMargin is how much later than a break an attempt must have been sent whose response
	// shows that the endpoint did not crash. Times of different hosts differ by less.
	respondedMargin = 100 * time.Millisecond
	// evidenceTTL is how long breaks and served parts are kept.
	evidenceTTL = 5 * time.Minute
	// outcomeBucket is the resolution at which the outcomes of attempts are counted.
	outcomeBucket = 500 * time.Millisecond
	// crashSpan is how long after a crash its breaks are seen. An incarnation that breaks
	// attempts off again later had not crashed.
	crashSpan  = time.Second
	maxCrashes = 1024
	maxBreaks  = 128 // of one crash
	maxParts   = 16  // of one attempt
	maxServed  = 32768
)

// crash is what broke at one incarnation of an endpoint.
type crash struct {
	service      string
	brokenAt     time.Time // newest break
	respondedAt  time.Time // when the newest attempt was sent to which the incarnation is known to have responded
	breaks       []BrokenAttempt
	ownCount     int // breaks that own entries reported
	earlierCount int // such breaks more than crashSpan before, at the same incarnation
}

// hasResponded reports whether the endpoint did not crash: it responded to a later attempt.
func (c *crash) hasResponded() bool { return c.respondedAt.Sub(c.brokenAt) > respondedMargin }

// servedCount counts served attempts of the own entries in a bucket of time.
type servedCount struct {
	beganAt  time.Time
	attempts int
}

// Table holds the evidence of one host. Its keys are those of prompt parts and requests.
type Table struct {
	crashes      map[uint64]*crash        // by key of the endpoint's incarnation
	served       map[uint64]time.Time     // by key: when the newest served attempt was sent
	broken       map[uint64]time.Time     // by key: when the newest broken attempt was sent, unless one sent later was served
	servedCounts map[string][]servedCount // by service, oldest first
}

// New returns an empty table.
func New() *Table {
	return &Table{crashes: map[uint64]*crash{}, served: map[uint64]time.Time{}, broken: map[uint64]time.Time{}, servedCounts: map[string][]servedCount{}}
}

// keys returns the keys that an attempt is evidence on.
func (b *BrokenAttempt) keys() []uint64 {
	if b.Request == 0 {
		return b.Parts
	}
	return append(slices.Clone(b.Parts), b.Request)
}

// AddBroken adds a broken attempt. own tells whether an entry reported it to this host. It
// returns the keys of which this host knows a served attempt that other hosts must know to judge.
func (t *Table) AddBroken(b BrokenAttempt, own bool) (served []uint64) {
	if len(b.Parts) > maxParts {
		b.Parts = b.Parts[:maxParts]
	}
	c := t.crashes[b.Endpoint]
	if c == nil || b.BrokenAt.Sub(c.brokenAt) > crashSpan {
		if c == nil && len(t.crashes) >= maxCrashes {
			t.dropOldestCrash()
		}
		c = newCrash(c, &b)
		t.crashes[b.Endpoint] = c
	}
	if len(c.breaks) >= maxBreaks || c.brokenAt.Sub(b.BrokenAt) > crashSpan || c.contains(&b) {
		return nil
	}
	c.breaks = append(c.breaks, b)
	if b.BrokenAt.After(c.brokenAt) {
		c.brokenAt = b.BrokenAt
	}
	if own {
		c.ownCount++
	}
	for _, key := range b.keys() {
		if t.isRefuted(key, &b) {
			served = append(served, key)
			continue
		}
		if IsRequest(key) && t.wasServedBefore(key, b.SentAt) {
			served = append(served, key)
		}
		if b.SentAt.After(t.broken[key]) {
			t.broken[key] = b.SentAt
		}
	}
	return served
}

// newCrash returns the record that takes the place of old, which may be nil.
func newCrash(old *crash, b *BrokenAttempt) *crash {
	c := &crash{service: b.Service, brokenAt: b.BrokenAt}
	if old != nil {
		c.earlierCount, c.respondedAt = old.earlierCount+old.ownCount, old.respondedAt
	}
	return c
}

// AddResponse adds that an incarnation of an endpoint has responded to an attempt. It reports
// whether that shows that it did not crash, which other hosts must know to judge.
func (t *Table) AddResponse(endpoint uint64, sentAt time.Time) (refuted bool) {
	c := t.crashes[endpoint]
	if c == nil || !sentAt.After(c.respondedAt) {
		return false
	}
	before := c.hasResponded()
	c.respondedAt = sentAt
	return c.hasResponded() && !before
}

// LastResponse returns when the newest attempt was sent to which an incarnation is known to have
// responded.
func (t *Table) LastResponse(endpoint uint64) time.Time {
	if c := t.crashes[endpoint]; c != nil {
		return c.respondedAt
	}
	return time.Time{}
}

// repeatTolerance is how far apart the times of the same attempt may be that was reported
// twice, since only its age is sent.
const repeatTolerance = 50 * time.Millisecond

// contains reports whether the crash holds an attempt, which may have been reported twice.
func (c *crash) contains(b *BrokenAttempt) bool {
	for i := range c.breaks {
		old := &c.breaks[i]
		if old.Request == b.Request && old.SentAt.Sub(b.SentAt).Abs() < repeatTolerance && old.BrokenAt.Sub(b.BrokenAt).Abs() < repeatTolerance && slices.Equal(old.Parts, b.Parts) {
			return true
		}
	}
	return false
}

func (t *Table) dropOldestCrash() {
	var oldest uint64
	var at time.Time
	for key, c := range t.crashes {
		if at.IsZero() || c.brokenAt.Before(at) {
			oldest, at = key, c.brokenAt
		}
	}
	delete(t.crashes, oldest)
}

// AddServed adds a key of a served attempt: the response was complete, or went on long enough.
// It reports whether the key was suspected and no longer is. An attempt that was sent
// before others broke proves nothing: the part may crash endpoints since then only.
func (t *Table) AddServed(key uint64, sentAt time.Time) (refuted bool) {
	if sentAt.After(t.served[key]) {
		t.served[key] = sentAt
	}
	brokenSentAt, suspected := t.broken[key]
	if refuted = suspected && !sentAt.Before(brokenSentAt); refuted {
		delete(t.broken, key)
	}
	return refuted
}

// LastServed returns when the newest attempt with a key was sent that was served.
func (t *Table) LastServed(key uint64) time.Time { return t.served[key] }

// wasServedBefore reports whether a request was served shortly before it was sent at a time.
func (t *Table) wasServedBefore(request uint64, sentAt time.Time) bool {
	servedAt, known := t.served[request]
	return known && sentAt.Sub(servedAt) < recentlyServed
}

// CountServed counts attempts of own entries at a service that were served.
func (t *Table) CountServed(now time.Time, service string, attempts int) {
	counts := t.servedCounts[service]
	if n := len(counts); n == 0 || now.Sub(counts[n-1].beganAt) >= outcomeBucket {
		counts = append(counts, servedCount{beganAt: now})
	}
	counts[len(counts)-1].attempts += attempts
	t.servedCounts[service] = counts
}

// Expire drops evidence that is too old.
func (t *Table) Expire(now time.Time) {
	for key, c := range t.crashes {
		if now.Sub(c.brokenAt) > evidenceTTL {
			delete(t.crashes, key)
		} else if now.Sub(c.brokenAt) > 2*crashSpan && t.allRefuted(c) {
			c.breaks = nil // only their number counts
		}
	}
	for service, counts := range t.servedCounts {
		for len(counts) > 0 && now.Sub(counts[0].beganAt) > evidenceTTL {
			counts = counts[1:]
		}
		if t.servedCounts[service] = counts; len(counts) == 0 {
			delete(t.servedCounts, service)
		}
	}
	for key, at := range t.broken {
		if now.Sub(at) > evidenceTTL {
			delete(t.broken, key)
		}
	}
	ttl := evidenceTTL
	for ; len(t.served) > maxServed || ttl == evidenceTTL; ttl /= 2 {
		for key, at := range t.served {
			if now.Sub(at) > ttl {
				delete(t.served, key)
			}
		}
	}
}

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
	explained := t.explainedCrashes(quarantined)
	var decided []uint64
	for {
		worst := t.worstSuspicion(now, explained, offended)
		if worst == nil {
			return decided
		}
		decided = append(decided, worst.key)
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
		age := now.Sub(c.brokenAt)
		if explained[endpoint] || age < settleDelay || c.hasResponded() {
			continue
		}
		for _, b := range c.suspects() {
			for position, part := range b.Parts {
				t.addSuspicion(all, part, position, b)
			}
		}
		for i := range c.breaks {
			if b := &c.breaks[i]; b.Request != 0 && age >= requestSettleDelay && c.brokenAt.Sub(b.BrokenAt) <= maxBreakSpread {
				t.addSuspicion(all, b.Request, 0, b)
			}
		}
	}
	return all
}

// addSuspicion adds a broken attempt to the evidence against one of its keys, unless it is refuted.
func (t *Table) addSuspicion(all map[uint64]*suspicion, key uint64, position int, b *BrokenAttempt) {
	if t.isRefuted(key, b) {
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
	needed, maxChance := minSequentialBreaks, maxChanceProbability
	if IsRequest(s.key) {
		needed = minRequestCrashes
		if !s.popular {
			maxChance = maxRequestChance
		}
	}
	weight := s.breaks
	if offended {
		needed, weight = 1, s.breaks+priorOffenceBreaks
	}
	if s.breaks < needed || len(s.endpoints) < needed || IsRequest(s.key) && !offended && t.isAmongOthers(s, explained) {
		return false
	}
	return math.Pow(t.chanceOfBreak(s, explained), float64(weight)) <= maxChance
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
