package retry

import "time"

// Budget is one entry's part of the attempts beyond the first that all entries
// may make at a service: a share of its requests, and its part of a reserve for
// each window. It is not safe for concurrent use.
type Budget struct {
	ratio    float64
	reserve  float64 // attempts in a window, of all entries
	window   time.Duration
	entries  int
	accounts map[string]*account
}

// account is the credit of one service, in attempts.
type account struct {
	credit float64
	at     time.Time
}

// safety is the part of the shared budget that is used: entries come and go
// before all of them know, and windows slide.
const safety = 0.45

// NewBudget returns the budget of one of so many entries. Ratio is the share
// of the requests, reserve the attempts in a window that are free.
func NewBudget(ratio float64, reserve int, window time.Duration, entries int) *Budget {
	return &Budget{ratio: ratio * safety, reserve: float64(reserve) * safety, window: window,
		entries: max(entries, 1), accounts: map[string]*account{}}
}

// SetEntries takes the number of entries that share the budget.
func (b *Budget) SetEntries(entries int) { b.entries = max(entries, 1) }

// share is this entry's part of the reserve.
func (b *Budget) share() float64 { return b.reserve / float64(b.entries) }

// account returns a service's credit at a time.
func (b *Budget) account(now time.Time, service string) *account {
	a := b.accounts[service]
	if a == nil {
		a = &account{credit: b.share(), at: now}
		b.accounts[service] = a
	}
	grown := b.share() * now.Sub(a.at).Seconds() / b.window.Seconds()
	a.credit, a.at = min(a.credit+max(grown, 0), max(b.share(), 1)), now
	return a
}

// Request credits a service with one request.
func (b *Budget) Request(now time.Time, service string) {
	a := b.account(now, service)
	a.credit = min(a.credit+b.ratio, max(b.share(), 1))
}

// Take spends an attempt beyond the first; false if there is none.
func (b *Budget) Take(now time.Time, service string) bool {
	a := b.account(now, service)
	if a.credit < 1 {
		return false
	}
	a.credit--
	return true
}
