package retry

import "time"

// Budget bounds the retries that one entry sends to each service. The bound is a
// fraction of the entry's requests plus the entry's share of a reserve per window
// that all entries divide among themselves. It is not safe for concurrent use.
type Budget struct {
	ratio   float64 // retries per request
	reserve float64 // retries per window, of all entries together
	window  time.Duration
	entries int
	credits map[string]*serviceCredit
}

// serviceCredit is the credit of one service, in retries.
type serviceCredit struct {
	credit    float64
	updatedAt time.Time
}

// usableReserveFraction is the part of the shared reserve that is refilled in a window. As much
// may have been saved before it and be spent within it. The rest covers entries whose joining or
// leaving is not known to all others yet. usableRatioFraction is the part of the retries per
// request: what they earn beyond the saved credit is lost, so a window earns it once.
const (
	usableReserveFraction = 0.45
	usableRatioFraction   = 0.9
)

// NewBudget returns the budget of one of the given number of entries. ratio is the
// number of retries per request. reserve is the number of further retries per window
// that all entries together may make.
func NewBudget(ratio float64, reserve int, window time.Duration, entries int) *Budget {
	return &Budget{ratio: ratio * usableRatioFraction, reserve: float64(reserve) * usableReserveFraction, window: window,
		entries: max(entries, 1), credits: map[string]*serviceCredit{}}
}

// SetEntries sets the number of entries that share the budget.
func (b *Budget) SetEntries(entries int) { b.entries = max(entries, 1) }

// reserveShare is one entry's part of the reserve.
func (b *Budget) reserveShare() float64 { return b.reserve / float64(b.entries) }

// creditAt returns the credit of a service, refilled up to now.
func (b *Budget) creditAt(now time.Time, service string) *serviceCredit {
	c := b.credits[service]
	if c == nil {
		c = &serviceCredit{credit: b.reserveShare(), updatedAt: now}
		b.credits[service] = c
	}
	refill := b.reserveShare() * now.Sub(c.updatedAt).Seconds() / b.window.Seconds()
	c.credit, c.updatedAt = min(c.credit+max(refill, 0), max(b.reserveShare(), 1)), now
	return c
}

// AddRequest adds the credit for one request to a service.
func (b *Budget) AddRequest(now time.Time, service string) {
	c := b.creditAt(now, service)
	c.credit = min(c.credit+b.ratio, max(b.reserveShare(), 1))
}

// TryTake spends the credit of one retry; false if there is too little.
func (b *Budget) TryTake(now time.Time, service string) bool {
	c := b.creditAt(now, service)
	if c.credit < 1 {
		return false
	}
	c.credit--
	return true
}
