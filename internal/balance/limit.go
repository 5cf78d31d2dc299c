package balance

import (
	"math"
	"slices"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/throttle"
)

// endpointLimit is what an entry knows of the rate of requests that an endpoint takes from all
// entries together.
type endpointLimit struct {
	notice           throttle.Notice
	permits          int // of requests that may be sent
	permitsExpireAt  time.Time
	demand           float64 // requests of late that used a permit, or would have
	unused           int     // permits that expired since the last wishes
	reported         throttle.Notice
	fallbackTokens   float64 // see GrantFallbackPermits
	fallbackFilledAt time.Time
}

// maxWantedPermits bounds the permits that an entry wants of one endpoint at a time.
const maxWantedPermits = 64

// LimitWish tells other hosts what an entry knows of an endpoint's limit, and how many permits it
// wants.
type LimitWish struct {
	Endpoint uint64 // key of the incarnation
	Notice   throttle.Notice
	Wanted   int
	Unused   int // permits that were granted before and expired
}

// LimitGrant is what other hosts tell an entry of an endpoint's limit, and its new permits.
type LimitGrant struct {
	Endpoint uint64 // key of the incarnation
	Notice   throttle.Notice
	Permits  int
}

// RecordLimit records what a response says of the limit of its endpoint.
func (t *Table) RecordLimit(now time.Time, a *Attempt, limited bool, perSecond float64) {
	if a == nil {
		return
	}
	notice := throttle.Notice{Limited: limited, PerSecond: perSecond, At: now}
	if !limited {
		notice.At = a.sentAt
	}
	a.endpoint.applyNotice(notice)
}

func (e *endpoint) applyNotice(n throttle.Notice) {
	if !n.Supersedes(e.limit.notice) || !n.Limited && !e.limit.notice.Limited {
		return
	}
	if !e.limit.notice.Limited {
		e.limit = endpointLimit{}
	}
	e.limit.notice = n
}

// expirePermits counts permits that can't be used any more as unused.
func (l *endpointLimit) expirePermits(now time.Time) {
	if l.permits > l.heldPermits(now) {
		l.unused, l.permits = l.unused+l.permits, 0
	}
}

// heldPermits returns the permits that can be used.
func (l *endpointLimit) heldPermits(now time.Time) int {
	if now.After(l.permitsExpireAt) {
		return 0
	}
	return l.permits
}

// isThrottled reports whether a request to the endpoint needs a permit that this entry does
// not have.
func (e *endpoint) isThrottled(now time.Time) bool {
	return e.limit.notice.Limited && e.limit.heldPermits(now) == 0
}

// recordMissed counts a request that would have gone to a throttled endpoint, at a lower cost
// than that of its choice. Entries that want a permit of every endpoint would keep them from
// those that use them.
func (t *Table) recordMissed(candidates []*endpoint, in *choiceInputs, cost time.Duration) {
	if len(t.throttled) == 0 {
		return
	}
	withPermits := *in
	withPermits.preferred = t.preferredEndpoint(slices.Concat(candidates, t.throttled), in)
	var best *endpoint
	for _, e := range t.throttled {
		if c := t.estimate(e, &withPermits); c.Cost < cost {
			best, cost = e, c.Cost
		}
	}
	if best != nil {
		best.limit.demand++
	}
}

// recordMissedByAll counts a request that no endpoint can take, for lack of permits.
func (t *Table) recordMissedByAll() {
	for _, e := range t.throttled {
		e.limit.demand += 1 / float64(len(t.throttled))
	}
}

// takePermit uses a permit, if the endpoint has a limit.
func (e *endpoint) takePermit(now time.Time) {
	if e.limit.notice.Limited && e.limit.heldPermits(now) > 0 {
		e.limit.permits--
		e.limit.demand++
	}
}

// TakeLimitWishes returns the limits that this entry knows, the permits that it wants, as
// many as it had requests of late, and those that it has not used. Unless all is set, it leaves out
// limits of which there is nothing new to tell.
func (t *Table) TakeLimitWishes(now time.Time, all bool) []LimitWish {
	var wishes []LimitWish
	for _, e := range t.endpoints {
		l := &e.limit
		if l.notice.At.IsZero() || !l.notice.Limited && now.Sub(l.notice.At) > throttle.LiftedNoticeTTL {
			continue
		}
		l.expirePermits(now)
		wish := LimitWish{Endpoint: e.incarnation, Notice: l.notice, Unused: l.unused}
		if l.notice.Limited {
			wish.Wanted = max(min(int(math.Ceil(l.demand)), maxWantedPermits)-l.permits, 0)
		}
		isNew := wish.Wanted > 0 || wish.Unused > 0 || l.notice != l.reported
		l.demand, l.unused = throttle.AgedDemand(l.demand), 0
		if all || isNew {
			l.reported = l.notice
			wishes = append(wishes, wish)
		}
	}
	return wishes
}

// HasLimitWishes reports whether there are requests for endpoints with a limit.
func (t *Table) HasLimitWishes() bool {
	for _, e := range t.endpoints {
		if e.limit.demand > 0 {
			return true
		}
	}
	return false
}

// ApplyLimitGrants applies the notices and permits of a control host.
func (t *Table) ApplyLimitGrants(now time.Time, grants []LimitGrant) {
	for _, grant := range grants {
		e := t.byIncarnation[grant.Endpoint]
		if e == nil {
			continue
		}
		e.applyNotice(grant.Notice)
		e.addPermits(now, grant.Permits)
	}
}

func (e *endpoint) addPermits(now time.Time, permits int) {
	if permits > 0 && e.limit.notice.Limited {
		e.limit.expirePermits(now)
		e.limit.permits += permits
		e.limit.permitsExpireAt = now.Add(throttle.PermitTTL)
	}
}

// GrantFallbackPermits is called from time to time while no control host is reachable. The entry
// then uses an even share of each limit, as one of this many entries.
func (t *Table) GrantFallbackPermits(now time.Time, entries int) {
	for _, e := range t.endpoints {
		l := &e.limit
		if !l.notice.Limited {
			continue
		}
		if elapsed := now.Sub(l.fallbackFilledAt); elapsed < throttle.PermitTTL {
			l.fallbackTokens = min(l.fallbackTokens+l.notice.PerSecond*elapsed.Seconds()/float64(max(entries, 1)), 1)
		}
		l.fallbackFilledAt = now
		if l.fallbackTokens >= 1 && l.heldPermits(now) == 0 {
			l.fallbackTokens--
			e.addPermits(now, 1)
		}
	}
}
