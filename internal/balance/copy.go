package balance

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// Where engines can copy cached prompt parts from each other, any engine can serve
// a prompt that one of them has prefilled: the copy takes a few milliseconds, the
// prefill takes tens. Entries report to each other which engine has cached what.

// copySetupTime is the time before the first byte of a copy.
const copySetupTime = 2 * time.Millisecond

// maxUnsentPlacements bounds the queue of placements to be reported to other
// entries; the oldest are dropped.
const maxUnsentPlacements = 4096

// PartPlacement says that an endpoint has cached a prompt part.
type PartPlacement struct {
	Endpoint EndpointKey
	Part     uint64
}

// SetCopyTimePerToken sets how long the engines of a service take to copy a cached
// token from each other, 0 if they cannot.
func (t *Table) SetCopyTimePerToken(service string, perToken time.Duration) {
	t.copyTimesPerToken[service] = perToken
}

// TakeNewPlacements returns and clears the placements that this entry has learned from
// its own requests since the last call.
func (t *Table) TakeNewPlacements() []PartPlacement {
	placements := t.unsentPlacements
	t.unsentPlacements = nil
	return placements
}

// AddPeerPlacements applies placements reported by other entries. Unknown endpoints are
// ignored.
func (t *Table) AddPeerPlacements(now time.Time, placements []PartPlacement) {
	for _, p := range placements {
		if e := t.byKey[p.Endpoint]; e != nil {
			e.cachedParts.markPrefilled(now, p.Part)
			e.cachedParts.markSentIfDue(now, p.Part) // all other entries receive the same report
		}
	}
}

// recordPlacements records that an endpoint has cached the shared parts of a prompt.
func (t *Table) recordPlacements(now time.Time, e *endpoint, parts []PromptPart) {
	for _, p := range parts[:max(len(parts)-1, 0)] {
		e.cachedParts.markPrefilled(now, p.ID)
		if e.cachedParts.markSentIfDue(now, p.ID) {
			t.unsentPlacements = append(t.unsentPlacements, PartPlacement{Endpoint: e.key(), Part: p.ID})
		}
	}
	t.unsentPlacements = t.unsentPlacements[max(len(t.unsentPlacements)-maxUnsentPlacements, 0):]
}

// copySource is the endpoint that the parts of a prompt can be copied from.
type copySource struct {
	endpoint *endpoint     // nil for none
	tokens   int           // leading tokens of the prompt that it has cached
	perToken time.Duration // time to copy one token, 0 if engines cannot copy
}

// findCopySource returns the healthy endpoint that has cached most of a prompt's shared
// parts. Among equals it takes the one where they were used last, since caches
// evict the least recently used parts.
func (t *Table) findCopySource(now time.Time, r *Request) copySource {
	s := copySource{perToken: t.copyTimesPerToken[r.Service]}
	if t.config.Off.Has(mechanism.Copies) || s.perToken <= 0 || len(r.Parts) < 2 {
		return s
	}
	shared := r.Parts[:len(r.Parts)-1]
	var latest time.Time
	for _, e := range t.services[r.Service] {
		if !e.canServeCopies(now, r) {
			continue
		}
		tokens, usedAt := e.cachedParts.cachedTokens(now, shared, e.cacheResidence)
		if tokens > s.tokens || tokens == s.tokens && tokens > 0 && usedAt.After(latest) {
			s.endpoint, s.tokens, latest = e, tokens, usedAt
		}
	}
	return s
}

// canServeCopies excludes endpoints that fail, drain or want no requests, because a request that
// copies waits for its source.
func (e *endpoint) canServeCopies(now time.Time, r *Request) bool {
	return e.acceptsRequests() && !e.held(now) && e.ejection.healthy(now) && !r.tried(e.ID)
}

// addedTokens returns how many leading tokens a copy adds to those that an endpoint
// has cached.
func (s copySource) addedTokens(e *endpoint, cached int) int {
	if s.endpoint == nil || s.endpoint == e {
		return 0
	}
	return max(s.tokens-cached, 0)
}

// estimateCacheResidence estimates how long a cached part stays at an endpoint
// without being used: until the recent rate of prefill has filled the space that
// the running requests leave.
func (t *Table) estimateCacheResidence(now time.Time, e *endpoint) time.Duration {
	capacity := t.cacheCapacityTokens[e.Service]
	recent := e.recentPrefill.at(now) + e.peerLoad.RecentPrefillTokens
	if capacity == 0 || recent <= 0 {
		return maxCacheResidence
	}
	available := max(capacity-e.promptTokens-e.peerLoad.PromptTokens, 0)
	return min(time.Duration(float64(available)/float64(recent)*float64(recentPrefillDecayTime)), maxCacheResidence)
}

// ampleCacheResidence is the cache residence from which a copy evicts nothing that
// will be used again.
const ampleCacheResidence = 12 * time.Second

// copyCost returns the cost of copying tokens, beyond the time it takes. Where the
// cache is short, a copy evicts parts that have to be prefilled again.
func (t *Table) copyCost(e *endpoint, tokens int) time.Duration {
	if tokens == 0 {
		return 0
	}
	evicted := 1 - float64(e.cacheResidence)/float64(ampleCacheResidence)
	return time.Duration(float64(tokens) * (float64(t.config.CopyTokenCost) + max(evicted, 0)*float64(t.model(e.Service).speed.work(t.config.PrefillTokenCost))))
}

func (s copySource) copyTime(tokens int) time.Duration {
	if tokens == 0 {
		return 0
	}
	return copySetupTime + time.Duration(tokens)*s.perToken
}
