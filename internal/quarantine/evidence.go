package quarantine

import (
	"slices"
	"time"
)

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
	c.addResponse(t.responses[b.Endpoint])
	if own {
		c.ownCount++
	}
	for _, key := range b.keys() {
		if t.isRefuted(key, &b) {
			served = append(served, key)
			continue
		}
		if t.wasServedBefore(key, b.SentAt) {
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
	if sentAt.After(t.responses[endpoint]) {
		t.responses[endpoint] = sentAt
	}
	t.clearVerdicts(endpoint, sentAt)
	c := t.crashes[endpoint]
	return c != nil && c.addResponse(sentAt)
}

// addResponse adds that the endpoint responded to an attempt. It reports whether that clears a break.
func (c *crash) addResponse(sentAt time.Time) (cleared bool) {
	if !sentAt.After(c.respondedAt) || sentAt.Sub(c.brokenAt) > respondedSpan {
		return false
	}
	before := c.respondedAt
	c.respondedAt = sentAt
	return slices.ContainsFunc(c.breaks, func(b BrokenAttempt) bool {
		return sentAt.Sub(b.BrokenAt) > respondedMargin && before.Sub(b.BrokenAt) <= respondedMargin
	})
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
		t.addServedDelay(key, sentAt)
	}
	brokenSentAt, suspected := t.broken[key]
	if refuted = suspected && !sentAt.Before(brokenSentAt); refuted {
		delete(t.broken, key)
	}
	return refuted
}

// addServedDelay adds how long after it was sent an attempt is known to be served.
func (t *Table) addServedDelay(key uint64, sentAt time.Time) {
	old := t.servedDelays[key]
	t.servedDelays[key] = max(t.now.Sub(sentAt), old-old/servedDelayDecay)
}

// isSettled reports whether a break of a crash counts: what shows that it was no crash has arrived. The
// requests of a crash are judged together, since the one that is to blame may be one of those that take longer.
func (t *Table) isSettled(key uint64, c *crash, b *BrokenAttempt) bool {
	delay := t.settleDelay(key, b)
	if IsRequest(key) {
		for i := range c.breaks {
			if other := &c.breaks[i]; other.Request != 0 && !t.isRefuted(other.Request, other) {
				delay = max(delay, t.settleDelay(other.Request, other))
			}
		}
	}
	return t.now.Sub(b.BrokenAt) >= delay
}

// settleDelay returns how long a break waits until it counts. If the key was served shortly before, an
// attempt that was sent settleDelay later could have been served as well.
func (t *Table) settleDelay(key uint64, b *BrokenAttempt) time.Duration {
	if !t.wasServedBefore(key, b.SentAt) {
		return settleDelay
	}
	return settleDelay + min(t.servedDelays[key], maxServedDelay)
}

// LastServed returns when the newest attempt with a key was sent that was served.
func (t *Table) LastServed(key uint64) time.Time { return t.served[key] }

// wasServedBefore reports whether a part or request was served shortly before it was sent at a time.
func (t *Table) wasServedBefore(key uint64, sentAt time.Time) bool {
	servedAt, known := t.served[key]
	return known && sentAt.Sub(servedAt) < recentlyServed
}

// CountServed counts attempts of own entries at a service that were served.
func (t *Table) CountServed(now time.Time, service string, attempts int) {
	t.advance(now)
	counts := t.servedCounts[service]
	if n := len(counts); n == 0 || now.Sub(counts[n-1].beganAt) >= outcomeBucket {
		counts = append(counts, servedCount{beganAt: now})
	}
	counts[len(counts)-1].attempts += attempts
	t.servedCounts[service] = counts
}

// advance keeps the newest time.
func (t *Table) advance(now time.Time) {
	if now.After(t.now) {
		t.now = now
	}
}

// Expire drops evidence that is too old.
func (t *Table) Expire(now time.Time) {
	t.advance(now)
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
	for endpoint, at := range t.responses {
		if now.Sub(at) > evidenceTTL {
			delete(t.responses, endpoint)
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
				delete(t.servedDelays, key)
			}
		}
	}
}
