package balance

import (
	"slices"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// Choose returns the endpoint for a request, or a *NoEndpointError. The caller
// must call RecordSent if it sends the request there.
func (t *Table) Choose(now time.Time, r Request) (Choice, error) {
	r.urgent = t.isUrgent(&r)
	candidates, none := t.candidates(now, &r)
	if len(candidates) == 0 {
		t.recordMissedByAll()
		return Choice{}, &none
	}
	if r.urgentCount() > 0 {
		t.lastUrgentAt[r.Service] = now
	}
	t.recordLeastUrgentRank(&r)
	in := t.newChoiceInputs(now, &r)
	in.source = t.findCopySource(now, &r)
	in.preferred = t.preferredEndpoint(candidates, &in)
	var best *endpoint
	var choice Choice
	for _, cross := range []bool{false, true} {
		if cross && best != nil && choice.Cost <= t.crossDomainCost(&r) {
			break // sending to another failure domain alone costs at least as much
		}
		for _, e := range candidates {
			if e.crossDomain != cross {
				continue
			}
			if c := t.estimate(e, &in); best == nil || c.Cost < choice.Cost {
				best, choice = e, c
			}
		}
	}
	t.recordMissed(candidates, &in, choice.Cost)
	choice.CandidateCount = len(candidates)
	if t.exceedsAdmissionWait(&r, choice) {
		none.TooLate, none.ShortestWait, none.Deferrable = len(candidates), choice.ExpectedWait, t.isDeferrable(&r, choice)
		return Choice{}, &none
	}
	return choice, nil
}

// choiceInputs holds what the estimates of all candidates of one request share.
type choiceInputs struct {
	now               time.Time
	off               mechanism.Set
	request           *Request
	preferred         *endpoint
	reservationActive bool    // reserved endpoints are kept free of long prompts
	meanErrorRate     float64 // of the endpoints of the service
	meanSlowdown      float64 // of the endpoints of the service
	waitFactor        float64
	model             *engineModel
	overhead          time.Duration
	spread            time.Duration // costs within this of each other count as equal
	spreadSeed        uint64        // differs between requests
	serviceEndpoints  []*endpoint
	meanDemand        *[2]demand // of the own failure domain, indexed by demandIndex; nil until it is needed
	sharedTokens      int
	source            copySource
}

func (t *Table) newChoiceInputs(now time.Time, r *Request) choiceInputs {
	in := choiceInputs{now: now, off: t.config.Off, request: r, model: t.model(r.Service), waitFactor: 1, reservationActive: t.reservationActive(now, r.Service), sharedTokens: sharedTokens(r.Parts), serviceEndpoints: t.services[r.Service]}
	if r.PromptTokens > 0 {
		in.waitFactor = t.currentWaitFactor(now, r.Service)
		in.overhead = in.model.overhead()
	}
	if len(r.Parts) > 0 && !t.config.Off.Has(mechanism.Spread) {
		in.spreadSeed = r.Parts[len(r.Parts)-1].ID
		in.spread = minSpread + time.Duration(spreadPerPrefillTime*float64(in.model.speed.prefillTime(r.Parts[len(r.Parts)-1].Tokens)))
	}
	for _, e := range in.serviceEndpoints {
		in.meanErrorRate += e.errorRate.at(now) / float64(len(in.serviceEndpoints))
		in.meanSlowdown += e.currentSlowdown(now) / float64(len(in.serviceEndpoints))
	}
	return in
}

// crossDomainCost returns the cost of sending a request to another failure domain.
func (t *Table) crossDomainCost(r *Request) time.Duration {
	return t.config.CrossDomainRoundTrip + time.Duration(r.BodyBytes+r.ExpectedOutputTokens*bytesPerOutputToken)*t.config.CrossDomainByteCost
}

// candidates returns the endpoints that may take a request, and counts the others. It sets
// t.throttled to those that only lack a permit.
// If only ejected endpoints are left, it returns the one whose ejection ends first; an
// endpoint that asked for no requests gets none in any case.
func (t *Table) candidates(now time.Time, r *Request) ([]*endpoint, NoEndpointError) {
	none := NoEndpointError{Service: r.Service}
	t.scratch, t.throttled = t.scratch[:0], t.throttled[:0]
	var fallback *endpoint
	for _, e := range t.services[r.Service] {
		none.Known++
		switch {
		case r.OnlyVersion && e.Version != r.Version:
			none.OtherVersion++
		case r.UnrecordedVersions[e.Version]:
			none.Unrecorded++
		case !e.acceptsRequests():
			none.Draining++
		case e.held(now):
			if left := e.heldUntil.Sub(now); none.Held == 0 || left < none.HeldFor {
				none.HeldFor = left
			}
			none.Held++
		case r.tried(e.ID) || r.OnlyEndpoints != nil && !slices.Contains(r.OnlyEndpoints, e.ID):
			none.Tried++
		case e.maxRequests > 0 && e.running+e.waiting >= e.maxRequests:
			none.Full++
		case t.exceedsCacheLimit(e, r):
			none.Full++
		case e.isThrottled(now):
			none.Limited++
			t.throttled = append(t.throttled, e)
		case !e.ejection.admits(now):
			none.Ejected++
			if fallback == nil || e.ejection.until.Before(fallback.ejection.until) {
				fallback = e
			}
		default:
			t.scratch = append(t.scratch, e)
		}
	}
	if len(t.scratch) == 0 && fallback != nil {
		t.scratch = append(t.scratch, fallback)
	}
	return t.scratch, none
}

// tried reports whether an earlier attempt was sent to an endpoint.
func (r *Request) tried(id string) bool { return slices.Contains(r.TriedEndpoints, id) }

// Constants of mixBits; all entries must use the same.
const (
	mixMultiplier = 0x9E3779B97F4A7C15
	mixShift      = 32
)

// preferredEndpoint returns the endpoint on which entries agree for a prompt, by
// rendezvous hashing of its last shared part, or nil for none. Failure domains whose
// entries do not report are excluded: their load is unknown, and they may be
// unreachable. Where engines can copy from each other, only endpoints of the own
// failure domain are considered. Reserved endpoints are excluded while the
// reservation is active.
func (t *Table) preferredEndpoint(candidates []*endpoint, in *choiceInputs) *endpoint {
	partID, ok := sharedPartID(in.request.Parts)
	if !ok || t.config.Off.Has(mechanism.Affinity) {
		return nil
	}
	var preferred *endpoint
	var bestWeight uint64
	for _, e := range candidates {
		if e.crossDomain && (!e.domainLoadKnown || in.source.perToken > 0) || in.reservationActive && e.reserved {
			continue
		}
		if weight := mixBits(partID ^ e.idHash); preferred == nil || weight > bestWeight {
			preferred, bestWeight = e, weight
		}
	}
	return preferred
}

// sharedPartID returns the ID of the last part that other requests may share: the one
// before the last, which belongs to the request or its session alone. A single part
// counts as shared.
func sharedPartID(parts []PromptPart) (uint64, bool) {
	if len(parts) == 0 {
		return 0, false
	}
	return parts[max(len(parts)-2, 0)].ID, true
}

// hashID is a stable hash of an endpoint ID (FNV-1a).
func hashID(id string) uint64 {
	h := uint64(14695981039346656037)
	for i := range len(id) {
		h = (h ^ uint64(id[i])) * 1099511628211
	}
	return h
}

// mixBits is the finalizer of the rendezvous hash.
func mixBits(x uint64) uint64 {
	x *= mixMultiplier
	x ^= x >> mixShift
	x *= mixMultiplier
	return x ^ x>>mixShift
}

// Entries know of each other's choices only after a while, and would all choose the same
// endpoint until then. Each request therefore adds a cost of its own to each endpoint, up
// to minSpread and spreadPerPrefillTime of the time to prefill its own tokens.
const (
	minSpread            = 10 * time.Millisecond
	spreadPerPrefillTime = 1.0
)

// unitHash maps a hash to [0, 1).
func unitHash(x uint64) float64 {
	return float64(mixBits(x)>>unitHashShift) / (1 << (64 - unitHashShift))
}

// unitHashShift leaves as many bits as a float64 holds exactly.
const unitHashShift = 11

// estimate returns the expected wait, the prompt tokens to be prefilled or copied, and
// the cost of a request at an endpoint.
func (t *Table) estimate(e *endpoint, in *choiceInputs) Choice {
	now, r := in.now, in.request
	c := Choice{ID: e.ID, Incarnation: e.incarnation, Address: e.Address, Version: e.Version, CrossDomain: e.crossDomain, Preferred: e == in.preferred}
	if !e.reportedAt.IsZero() {
		c.ReportAge = now.Sub(e.reportedAt)
	}
	cached := e.cachedParts.cachedOrPendingTokens(now, r.Parts, e.cacheResidence)
	if t.config.Off.Has(mechanism.CacheAwareness) {
		cached = 0
	}
	if e == in.preferred && !t.placementsKnown(now, e) && e.age(now) > emptyCacheAge {
		cached = max(cached, int(assumedCachedFraction*float64(in.sharedTokens)))
	}
	if c.CopiedTokens = in.source.addedTokens(e, cached); c.CopiedTokens > 0 {
		cached, c.CopySourceAddress = in.source.tokens, in.source.endpoint.Address
	}
	c.PrefillTokens = max(r.PromptTokens-cached, 0)
	c.PrefillTime = in.model.speed.prefillTime(c.PrefillTokens)
	slowdown, load := e.currentSlowdown(now), e.estimatedDemand(in)
	c.load, c.hostFactor = load, e.hostFactor.at(now)
	wait := time.Duration(float64(e.expectedWait(in, load, c.PrefillTokens))*slowdown) + in.source.copyTime(c.CopiedTokens)
	c.Overhead = in.overhead
	c.ExpectedWait = c.Overhead + time.Duration(float64(wait)*in.waitFactor)
	c.Cost = waitCost(wait, r.LatencyTarget) + t.copyCost(e, c.CopiedTokens)
	if e != in.preferred {
		c.Cost += t.repeatedPrefillCost(r, max(in.sharedTokens-cached, 0))
	}
	c.Cost += e.interferenceCost(in, load, c.PrefillTokens) + e.degradationCost(in, slowdown) + t.pauseCost(e, in)
	c.Cost += time.Duration(unitHash(in.spreadSeed^e.idHash) * float64(in.spread))
	if in.reservationActive && r.PromptTokens > 0 {
		c.Cost += e.isolationCost(in, load, c.PrefillTokens)
	}
	if e.crossDomain {
		c.ExpectedWait += t.config.CrossDomainRoundTrip
		c.Cost += t.crossDomainCost(r)
	}
	return c
}

// repeatedPrefillCost returns the cost of prefilling shared tokens at an endpoint that
// is not the preferred one. Later requests with the same parts use the tokens cached
// at the preferred endpoint, so prefill elsewhere is repeated work.
func (t *Table) repeatedPrefillCost(r *Request, tokens int) time.Duration {
	cost := time.Duration(tokens) * t.model(r.Service).speed.work(t.config.PrefillTokenCost)
	if r.urgentCount() > 0 {
		cost /= urgentPrefillCostDivisor
	}
	return cost
}

// degradationCost returns the cost of an endpoint that has more errors or is
// slower than the others, or that is silent.
func (e *endpoint) degradationCost(in *choiceInputs, slowdown float64) time.Duration {
	cost := time.Duration(max(e.errorRate.at(in.now)-in.meanErrorRate-errorRateTolerance, 0) * float64(errorRateCost))
	if in.request.GapTarget > 0 {
		cost += time.Duration(max(slowdown-slowdownThreshold*max(in.meanSlowdown, 1), 0) * float64(slowdownCost))
	}
	if e.State == directory.Silent && in.now.Sub(e.answeredAt) > recentAnswerAge {
		cost += silentEndpointCost
	}
	return cost
}

// Weights of an expected wait. A wait far below the target has a low weight,
// because the request can still wait longer and be in time.
const (
	fullCostFraction = 0.6 // of the target, at which a wait has weight 1
	minWaitWeight    = 0.25
	maxWaitWeight    = 1.2
)

// waitCost weights an expected wait by its ratio to the target. A target of 0 means
// that there is none.
func waitCost(wait, target time.Duration) time.Duration {
	if target <= 0 {
		return wait
	}
	weight := float64(wait) / (fullCostFraction * float64(target))
	return time.Duration(min(max(weight, minWaitWeight), maxWaitWeight) * float64(wait))
}

// placementsKnown reports whether this entry has received reports of cached parts for
// long enough that it need not assume what an endpoint has cached. It returns false if
// the endpoint's failure domain does not report, or if its service cannot copy parts.
// After a restart of all entries and control hosts, an entry has no report of what the
// engines had cached before.
func (t *Table) placementsKnown(now time.Time, e *endpoint) bool {
	return e.domainLoadKnown && t.copyTimesPerToken[e.Service] > 0 && !t.domainLoadsKnownSince.IsZero() && now.Sub(t.domainLoadsKnownSince) > placementWarmup
}

// placementWarmup is the time after which most of the cached parts in use have
// been reported.
const placementWarmup = 10 * time.Second

// assumedCachedFraction is the least fraction of a prompt's shared tokens that its
// preferred endpoint is assumed to hold, since other entries send prompts with the
// same parts there.
const assumedCachedFraction = 0.7

// emptyCacheAge is the age up to which an incarnation is assumed to have an empty
// cache. Clock differences between hosts are a fraction of it.
const emptyCacheAge = 6 * time.Second

// age is the time since the incarnation started, by its own clock.
func (e *endpoint) age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(e.StartedUnixMS)) }

// bytesPerOutputToken is the approximate size of a token in a stream.
const bytesPerOutputToken = 12

// sharedTokens returns the number of tokens in all parts but the last.
func sharedTokens(parts []PromptPart) int {
	return countTokens(parts[:max(len(parts)-1, 0)])
}

func countTokens(parts []PromptPart) int {
	total := 0
	for _, p := range parts {
		total += p.Tokens
	}
	return total
}

// expectedWait returns the expected time to the first event, or to the answer of a
// request without a prompt, at an endpoint without slowdown.
func (e *endpoint) expectedWait(in *choiceInputs, d demand, prefillTokens int) time.Duration {
	running, waiting, pendingTokens := d.running, d.waiting, d.prefillTokens
	if in.request.PromptTokens == 0 {
		slots := max(e.Slots, 1)
		excess := max(running+waiting+1-slots, 0)
		utilization := float64(running+waiting) / float64(slots)
		return promptlessServiceTime + time.Duration(excess)*promptlessServiceTime/time.Duration(slots) + time.Duration(utilization*utilization*float64(promptlessServiceTime)/2)
	}
	speed := &in.model.speed
	tokens := pendingTokens + prefillTokens
	wait := speed.prefillTime(tokens) + speed.chunkSteps(tokens, running)
	slots := e.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	if excess := running + waiting + 1 - slots; excess > 0 {
		wait += time.Duration(excess) * speed.work(slotReleaseTime)
	}
	return wait
}

// slotReleaseTime is the time assumed until a slot of a full engine is released, at the
// start values of its speed.
const slotReleaseTime = 40 * time.Millisecond
