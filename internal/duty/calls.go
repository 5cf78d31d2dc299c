package duty

import "time"

// calls is what this process knows of its calls out. All times are of the boot clock.
type calls struct {
	results        map[uint64]Outcome // final results by window
	notBefore      time.Duration
	backoff        time.Duration
	renewNotBefore time.Duration // of renewals that are each followed by no call
	renewBackoff   time.Duration
}

// renewed notes a renewal that a call needs.
func (c *calls) renewed(boot time.Duration) {
	c.renewNotBefore = boot + c.renewBackoff
	c.renewBackoff = nextBackoff(c.renewBackoff)
}

// Called ends a call. RetryAfter is what the outside asked for, or 0. Jitter is a random number
// from 0 to 1.
func (k *Keeper) Called(boot time.Duration, window uint64, result CallResult, retryAfter time.Duration, jitter float64) {
	if outcome, final := k.calls.ended(boot, k.config.CallInterval, result, retryAfter, jitter); final {
		k.calls.results[window] = outcome
	}
}

// ended notes the end of a call and sets the time of the next one. Final is false if the call is to be
// repeated.
func (c *calls) ended(boot, interval time.Duration, result CallResult, retryAfter time.Duration, jitter float64) (outcome Outcome, final bool) {
	if result == CallNotSent {
		return Open, false
	}
	c.notBefore = boot + interval
	c.renewNotBefore, c.renewBackoff = 0, 0
	switch result {
	case CallDelivered:
		c.backoff = 0
		return Delivered, true
	case CallRefused:
		c.backoff = 0
		return Abandoned, true
	}
	c.backoff = nextBackoff(c.backoff)
	c.notBefore = max(c.notBefore, boot+jittered(c.backoff, jitter), boot+retryAfter)
	return Open, false
}
