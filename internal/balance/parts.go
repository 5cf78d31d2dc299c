package balance

import "time"

// Bounds of what is remembered of an endpoint's prompt cache.
const (
	maxParts  = 512
	partsKept = 90 * time.Second // a part that nobody asked for is gone by then
)

// partCache is which prompt parts an endpoint holds, as far as we sent them
// there: the parts used longest ago are forgotten first.
type partCache struct {
	usedAt map[uint64]time.Time
}

func newPartCache() *partCache { return &partCache{usedAt: map[uint64]time.Time{}} }

// held is how many leading tokens of a prompt the endpoint holds.
func (c *partCache) held(now time.Time, parts []Part) int {
	total := 0
	for _, p := range parts {
		used, ok := c.usedAt[p.ID]
		if !ok || now.Sub(used) > partsKept {
			break
		}
		total += p.Tokens
	}
	return total
}

// use notes that a request with the parts was read there.
func (c *partCache) use(now time.Time, parts []Part) {
	for _, p := range parts {
		c.usedAt[p.ID] = now
	}
	if len(c.usedAt) > maxParts {
		c.shrink()
	}
}

// shrink forgets the older half.
func (c *partCache) shrink() {
	var oldest, newest time.Time
	for _, used := range c.usedAt {
		if oldest.IsZero() || used.Before(oldest) {
			oldest = used
		}
		if used.After(newest) {
			newest = used
		}
	}
	middle := oldest.Add(newest.Sub(oldest) / 2)
	for id, used := range c.usedAt {
		if !used.After(middle) {
			delete(c.usedAt, id)
		}
	}
}
