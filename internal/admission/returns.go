package admission

import "time"

const (
	// returnTTL is how long after its Retry-After a caller counts as returning.
	returnTTL = 2 * time.Second
	// maxReturns limits the refused callers that are remembered. Beyond it none is added until
	// others expire.
	maxReturns = 4096
	// minReturnIn is the least Retry-After of a refused caller.
	minReturnIn = 300 * time.Millisecond
)

// returnTable remembers the Retry-After of refused callers, by fingerprint.
type returnTable struct {
	at          map[uint64]time.Time
	nextCleanup time.Time
}

// add records when the Retry-After of a caller ends. An earlier time that still counts is kept, so that
// repeating at once changes nothing.
func (t *returnTable) add(now time.Time, fingerprint uint64, at time.Time) {
	t.expire(now)
	if known, ok := t.at[fingerprint]; ok && now.Before(known) || !ok && len(t.at) >= maxReturns {
		return
	}
	if t.at == nil {
		t.at = map[uint64]time.Time{}
	}
	t.at[fingerprint] = at
}

// returnAt returns when the Retry-After of a caller ends, and whether that still counts.
func (t *returnTable) returnAt(now time.Time, fingerprint uint64) (time.Time, bool) {
	at, known := t.at[fingerprint]
	return at, known && now.Sub(at) < returnTTL
}

// expire removes callers whose time is over.
func (t *returnTable) expire(now time.Time) {
	if now.Before(t.nextCleanup) {
		return
	}
	t.nextCleanup = now.Add(returnTTL)
	for fingerprint, at := range t.at {
		if now.Sub(at) >= returnTTL {
			delete(t.at, fingerprint)
		}
	}
}

// ReturnIn returns when a refused caller is to return: when the backlog is expected to have begun,
// spread over as long again so that callers refused together don't return together. It returns 0 if
// the request could then not end within its deadline. spread is at least 0 and below 1.
func ReturnIn(backlog, expectedEnd, timeLeft time.Duration, spread float64) time.Duration {
	base := max(backlog, minReturnIn)
	latest := timeLeft - time.Duration(optimism*float64(expectedEnd))
	if base >= latest {
		return 0
	}
	return base + time.Duration(spread*float64(min(base, latest-base)))
}
