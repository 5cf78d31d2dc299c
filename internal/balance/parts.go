package balance

import "time"

// Limits of what is tracked of an endpoint's prompt cache.
const (
	maxTrackedParts   = 1024             // of one endpoint
	maxCacheResidence = 90 * time.Second // an unused part is assumed to be evicted by then
	// placementResendInterval is how often a part in use is reported to other entries.
	placementResendInterval = 2 * time.Second
)

// partCache tracks which prompt parts an endpoint holds, as known from own requests
// and the reports of other entries. Above maxTrackedParts the least recently used
// are dropped.
type partCache struct {
	parts map[uint64]partState
}

// partState is the tracked state of one part.
type partState struct {
	usedAt    time.Time
	prefilled bool      // by a request that was answered; otherwise a prompt with it is in flight
	sentAt    time.Time // when it was last reported to other entries
}

func newPartCache() *partCache { return &partCache{parts: map[uint64]partState{}} }

// cachedOrPendingTokens returns how many leading tokens of a prompt the endpoint
// holds, or will hold once it has prefilled the prompts in flight to it. An engine
// keeps a part only while it keeps all parts before it, so the last known part
// decides. Parts unused for longer than residence are taken as evicted.
func (c *partCache) cachedOrPendingTokens(now time.Time, parts []PromptPart, residence time.Duration) int {
	tokens, _ := c.prefixTokens(now, parts, residence, false)
	return tokens
}

// cachedTokens returns how many leading tokens of a prompt the endpoint has
// prefilled, and when the last part of them was used.
func (c *partCache) cachedTokens(now time.Time, parts []PromptPart, residence time.Duration) (int, time.Time) {
	return c.prefixTokens(now, parts, residence, true)
}

// prefixTokens counts the tokens up to the last part that is known, or known to be
// prefilled.
func (c *partCache) prefixTokens(now time.Time, parts []PromptPart, residence time.Duration, onlyPrefilled bool) (count int, usedAt time.Time) {
	for i := len(parts) - 1; i >= 0; i-- {
		state, ok := c.parts[parts[i].ID]
		if ok && now.Sub(state.usedAt) <= residence && (state.prefilled || !onlyPrefilled) {
			return countTokens(parts[:i+1]), state.usedAt
		}
	}
	return 0, time.Time{}
}

// recordUse records that a request with these parts is sent to the endpoint.
func (c *partCache) recordUse(now time.Time, parts []PromptPart) {
	for _, p := range parts {
		state := c.parts[p.ID]
		state.usedAt = now
		c.parts[p.ID] = state
	}
	if len(c.parts) > maxTrackedParts {
		c.evictOlderHalf()
	}
}

// markPrefilled records that the endpoint has prefilled a part.
func (c *partCache) markPrefilled(now time.Time, part uint64) {
	state := c.parts[part]
	state.usedAt, state.prefilled = now, true
	c.parts[part] = state
	if len(c.parts) > maxTrackedParts {
		c.evictOlderHalf()
	}
}

// markSentIfDue reports whether a part is due to be reported to other entries, and
// if so marks it as sent.
func (c *partCache) markSentIfDue(now time.Time, part uint64) bool {
	state := c.parts[part]
	if now.Sub(state.sentAt) < placementResendInterval {
		return false
	}
	state.sentAt = now
	c.parts[part] = state
	return true
}

// evictOlderHalf drops the parts last used in the older half of the time span that
// all uses cover.
func (c *partCache) evictOlderHalf() {
	var oldest, newest time.Time
	for _, state := range c.parts {
		if oldest.IsZero() || state.usedAt.Before(oldest) {
			oldest = state.usedAt
		}
		if state.usedAt.After(newest) {
			newest = state.usedAt
		}
	}
	middle := oldest.Add(newest.Sub(oldest) / 2)
	for id, state := range c.parts {
		if !state.usedAt.After(middle) {
			delete(c.parts, id)
		}
	}
}
