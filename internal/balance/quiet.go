package balance

import (
	"slices"
	"time"
)

// Quiet endpoints are kept free of long prompts where a service has streams
// with a short gap target: a prompt that is read beside such streams makes all
// of them pause. All entries agree on them without a message, by the hashes of
// the ids.
const (
	// quietPart is one in so many endpoints of a failure domain, where the number
	// of its urgent streams is not known.
	quietPart = 4
	// quietMost is one in so many endpoints that may be quiet at most.
	quietMost = 3
	// quietStreams is how many urgent streams one quiet endpoint runs well.
	quietStreams = 22
	// quietFrom is how many endpoints a failure domain must have for a quiet one.
	quietFrom = 3
	// quietHold is how long fewer quiet endpoints must suffice before one is
	// given back: prompts have their homes on the others.
	quietHold = 5 * time.Second
	// quietCost is how much sooner a quiet endpoint must serve a prompt.
	quietCost = 250 * time.Millisecond
	// quietTokenCost is what each prompt token beyond a chunk adds to that.
	quietTokenCost = 100 * time.Microsecond
	// loudCost is how much sooner another endpoint must serve an urgent stream:
	// long prompts will come there while it runs.
	loudCost = 120 * time.Millisecond
	// quietFor is how long endpoints stay quiet after the last urgent stream.
	quietFor = 10 * time.Second
)

// quietNeed is how many quiet endpoints each failure domain that is heard needs for a
// service, and since when fewer would do.
type quietNeed struct {
	count     int
	fewerFrom time.Time
}

// setQuiet marks the quiet endpoints of a service.
func (t *Table) setQuiet(service string) {
	byDomain := map[string][]*endpoint{}
	for _, e := range t.services[service] {
		e.quiet = false
		if e.serving() {
			byDomain[e.Domain] = append(byDomain[e.Domain], e)
		}
	}
	for domain, all := range byDomain {
		if len(all) < quietFrom {
			continue
		}
		slices.SortFunc(all, func(a, b *endpoint) int {
			if mix(a.hash) < mix(b.hash) {
				return -1
			}
			return 1
		})
		count := len(all) / quietPart
		if need := t.quietNeeds[service]; need != nil && (domain == t.config.Domain || t.heard[domain]) {
			count = min(need.count, len(all)/quietMost)
		}
		for _, e := range all[:max(count, 1)] {
			e.quiet = true
		}
	}
}

// adjustQuiet goes by the urgent streams that the entries of the heard failure
// domains have running, spread over these.
func (t *Table) adjustQuiet(now time.Time, heardChanged bool) {
	perEngine := quietStreams * max(len(t.heard), 1)
	for service, all := range t.services {
		streams := 0
		for _, e := range all {
			streams += e.urgent + e.others.Urgent
		}
		if _, known := t.urgentAt[service]; !known {
			continue
		}
		need := t.quietNeeds[service]
		if need == nil {
			need = &quietNeed{}
			t.quietNeeds[service] = need
		}
		if need.change(now, (streams+perEngine-1)/perEngine) || heardChanged {
			t.setQuiet(service)
		}
	}
}

// change takes a number of endpoints wanted now; more at once, fewer later.
func (q *quietNeed) change(now time.Time, wanted int) bool {
	switch {
	case wanted > q.count:
	case wanted == q.count:
		q.fewerFrom = time.Time{}
		return false
	case q.fewerFrom.IsZero():
		q.fewerFrom = now
		return false
	case now.Sub(q.fewerFrom) < quietHold:
		return false
	default:
		wanted = q.count - 1
	}
	q.count, q.fewerFrom = wanted, time.Time{}
	return true
}

// placeCost keeps long prompts and urgent streams apart.
func (e *endpoint) placeCost(r *Request, unread int) time.Duration {
	switch urgent := r.urgent() > 0; {
	case urgent && !e.quiet:
		return loudCost
	case !urgent && e.quiet:
		return quietCost + time.Duration(max(unread-chunkTokens, 0))*quietTokenCost
	}
	return 0
}

// keptQuiet reports whether the quiet endpoints of a service are to be kept so.
func (t *Table) keptQuiet(now time.Time, service string) bool {
	at, ok := t.urgentAt[service]
	return ok && now.Sub(at) < quietFor
}
