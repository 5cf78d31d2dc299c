package balance

import (
	"cmp"
	"slices"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// Where a service has urgent streams, some endpoints are reserved for them and
// kept free of long prompts: prefill of a long prompt makes all streams of the
// engine pause. All entries select the same endpoints by the hashes of their IDs,
// without exchanging messages.
const (
	// defaultReservedDivisor makes one in so many endpoints of a failure domain
	// reserved where the number of its urgent streams is not known.
	defaultReservedDivisor = 4
	// maxReservedDivisor makes at most one in so many endpoints reserved, and
	// maxReservedDivisorAtRisk where any long prompt would make urgent streams miss their
	// gap target.
	maxReservedDivisor       = 3
	maxReservedDivisorAtRisk = 2
	// reservedSlotFraction is the fraction of its slots in which a reserved endpoint runs
	// urgent streams, and reservedSlotFractionAtRisk that where long prompts would make
	// them miss their gap target. The rest is for bursts of them.
	reservedSlotFraction       = 0.45
	reservedSlotFractionAtRisk = 0.35
	// reservedPrefillShare is the share of its time in which a reserved endpoint prefills the
	// prompts of its urgent streams, which is when the others pause.
	reservedPrefillShare = 0.2
	// prefillUtilization is the share of their time in which the endpoints that are not
	// reserved may prefill, if more than one in maxReservedDivisor is to be reserved.
	prefillUtilization = 0.5
	// minEndpointsToReserve is how many endpoints a failure domain must have for one
	// to be reserved.
	minEndpointsToReserve = 3
	// reservedReleaseDelay is how long fewer reserved endpoints must suffice before
	// one is released, because releasing one changes the preferred endpoints of
	// prompts.
	reservedReleaseDelay = 5 * time.Second
	// reservedEndpointPromptCost is the cost of a prompt that is not urgent at a
	// reserved endpoint.
	reservedEndpointPromptCost = 250 * time.Millisecond
	// reservedEndpointTokenCost adds to that for each token to be prefilled beyond
	// the first chunk.
	reservedEndpointTokenCost = 100 * time.Microsecond
	// unreservedEndpointUrgentCost is the cost of an urgent stream at an endpoint
	// that is not reserved: long prompts will be sent there while it runs.
	unreservedEndpointUrgentCost = 120 * time.Millisecond
	// reservationDuration is how long endpoints stay reserved after the last urgent
	// stream.
	reservationDuration = 10 * time.Second
)

// reservedTarget is how many reserved endpoints a service needs in each failure
// domain whose load is known.
type reservedTarget struct {
	count            int
	lowerDemandSince time.Time // since when fewer would suffice
}

// assignReserved selects the reserved endpoints of a service.
func (t *Table) assignReserved(service string) {
	byDomain := map[string][]*endpoint{}
	for _, e := range t.services[service] {
		e.reserved = false
		if e.acceptsRequests() {
			byDomain[e.FailureDomain] = append(byDomain[e.FailureDomain], e)
		}
	}
	for domain, candidates := range byDomain {
		if len(candidates) < minEndpointsToReserve {
			continue
		}
		slices.SortFunc(candidates, func(a, b *endpoint) int {
			if mixBits(a.idHash) < mixBits(b.idHash) {
				return -1
			}
			return 1
		})
		count := len(candidates) / defaultReservedDivisor
		if target := t.reservedTargets[service]; target != nil && (domain == t.config.Domain || t.knownLoadDomains[domain]) {
			divisor := maxReservedDivisor
			if m := t.model(service); m.longPromptsBreakGaps(candidates[0]) || m.leavesRoomToPrefill(len(candidates)-len(candidates)/maxReservedDivisorAtRisk) {
				divisor = maxReservedDivisorAtRisk
			}
			count = min(target.count, len(candidates)/divisor)
		}
		for _, e := range candidates[:max(count, 1)] {
			e.reserved = true
		}
	}
}

// adjustReserved updates the number of reserved endpoints from the urgent streams
// of all entries that report. It spreads the streams over their failure domains.
func (t *Table) adjustReserved(now time.Time, domainsChanged bool) {
	for service, endpoints := range t.services {
		// Each increment of the count reserves one more endpoint in every domain.
		streamsPerCount := t.model(service).meanStreamsIfReserved(endpoints) * max(len(t.knownLoadDomains), 1)
		streams, recentTokens := 0, 0
		for _, e := range endpoints {
			recentTokens += e.recentPrefill.at(now) + e.peerLoad.RecentPrefillTokens
			streams += e.urgentRequests + e.peerLoad.UrgentRequests
		}
		if _, known := t.lastUrgentAt[service]; !known {
			continue
		}
		t.model(service).recordPrefillDemand(recentTokens, len(t.knownLoadDomains))
		target := t.reservedTargets[service]
		if target == nil {
			target = &reservedTarget{count: endpointsPerDomain(endpoints) / defaultReservedDivisor}
			t.reservedTargets[service] = target
		}
		if target.update(now, (streams+streamsPerCount-1)/streamsPerCount) || domainsChanged {
			t.assignReserved(service)
		}
	}
}

// endpointsPerDomain returns the mean number of endpoints in a failure domain.
func endpointsPerDomain(endpoints []*endpoint) int {
	domains := map[string]bool{}
	for _, e := range endpoints {
		domains[e.FailureDomain] = true
	}
	return len(endpoints) / max(len(domains), 1)
}

// streamsIfReserved returns how many urgent streams the endpoint runs within their gap
// target if it is reserved.
func (m *engineModel) streamsIfReserved(e *endpoint) int {
	fraction := reservedSlotFraction
	if m.longPromptsBreakGaps(e) {
		fraction = reservedSlotFractionAtRisk
	}
	streams := e.slotsAt(fraction)
	// Each stream adds its prompt to what is prefilled, and a little to each step.
	perStream := m.urgentPromptRatio*float64(m.speed.prefillPerToken) - reservedPrefillShare*float64(m.speed.stepPerRequest)
	if m.speed.differs && m.urgentPromptRatio > 0 && perStream > 0 {
		streams = min(streams, max(int(reservedPrefillShare*float64(m.speed.stepTime)/perStream), 1))
	}
	return streams
}

// slotsAt returns a fraction of the endpoint's slots, at least 1.
func (e *endpoint) slotsAt(fraction float64) int {
	return max(int(fraction*float64(cmp.Or(e.Slots, defaultSlots))), 1)
}

// meanStreamsIfReserved returns the mean of streamsIfReserved, at least 1.
func (m *engineModel) meanStreamsIfReserved(endpoints []*endpoint) int {
	total := 0
	for _, e := range endpoints {
		total += m.streamsIfReserved(e)
	}
	return max(total/max(len(endpoints), 1), 1)
}

// update sets the count for the number of endpoints needed now and reports whether
// it changed. The count rises at once and falls by one after reservedReleaseDelay.
func (r *reservedTarget) update(now time.Time, needed int) bool {
	switch {
	case needed > r.count:
	case needed == r.count:
		r.lowerDemandSince = time.Time{}
		return false
	case r.lowerDemandSince.IsZero():
		r.lowerDemandSince = now
		return false
	case now.Sub(r.lowerDemandSince) < reservedReleaseDelay:
		return false
	default:
		needed = r.count - 1
	}
	r.count, r.lowerDemandSince = needed, time.Time{}
	return true
}

// isolationCost keeps long prompts and urgent streams on different endpoints.
func (e *endpoint) isolationCost(in *choiceInputs, d demand, prefillTokens int) time.Duration {
	speed := &in.model.speed
	switch urgent := in.request.urgentCount() > 0; {
	case urgent && !e.reserved:
		return speed.work(unreservedEndpointUrgentCost)
	case !urgent && e.reserved:
		weight := in.model.pauseWeight(d, prefillTokens)
		return time.Duration(weight * float64(speed.work(reservedEndpointPromptCost+time.Duration(max(prefillTokens-prefillChunkTokens, 0))*reservedEndpointTokenCost)))
	}
	return 0
}

// reservationActive reports whether the reserved endpoints of a service are kept
// free of long prompts.
func (t *Table) reservationActive(now time.Time, service string) bool {
	at, ok := t.lastUrgentAt[service]
	return ok && now.Sub(at) < reservationDuration && !t.config.Off.Has(mechanism.Reservation)
}

// recordPrefillDemand sets how many endpoints of a failure domain the prompt tokens sent of
// late occupy at prefillUtilization.
func (m *engineModel) recordPrefillDemand(recentTokens, domains int) {
	busy := float64(m.speed.prefillTime(recentTokens)) / float64(recentPrefillDecayTime)
	m.endpointsToPrefill = busy / prefillUtilization / float64(max(domains, 1))
}

// leavesRoomToPrefill reports whether long prompts come and as many endpoints of a failure
// domain are enough for them. At the start values of the speed maxReservedDivisor is enough.
func (m *engineModel) leavesRoomToPrefill(endpoints int) bool {
	return m.speed.differs && m.endpointsToPrefill > 0 && m.endpointsToPrefill <= float64(endpoints)
}
