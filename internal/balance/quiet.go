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
	// quietPart is one in so many endpoints of a failure domain.
	quietPart = 4
	// quietFrom is how many endpoints a failure domain must have for a quiet one.
	quietFrom = 3
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

// setQuiet marks the quiet endpoints of a service.
func (t *Table) setQuiet(service string) {
	byDomain := map[string][]*endpoint{}
	for _, e := range t.services[service] {
		e.quiet = false
		if e.serving() {
			byDomain[e.Domain] = append(byDomain[e.Domain], e)
		}
	}
	for _, all := range byDomain {
		if len(all) < quietFrom {
			continue
		}
		slices.SortFunc(all, func(a, b *endpoint) int {
			if mix(a.hash) < mix(b.hash) {
				return -1
			}
			return 1
		})
		for _, e := range all[:max(len(all)/quietPart, 1)] {
			e.quiet = true
		}
	}
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
