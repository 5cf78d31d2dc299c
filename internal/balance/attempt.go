package balance

import (
	"cmp"
	"maps"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// Result says how an attempt ended.
type Result uint8

// Results of an attempt.
const (
	Succeeded     Result = iota
	Failed               // no connection, an incomplete or invalid answer, or none in time
	ErrorResponse        // a complete answer that reports an error of the endpoint
	NotRun               // the endpoint answered that it did not run the request
	Cancelled            // ended by this entry or the caller; says nothing about the endpoint
	Unreachable          // the endpoint's host refused the connection: no process listens
)

// InFlightLoad is the load that one or more entries have put on an endpoint.
type InFlightLoad struct {
	Running, Waiting, PrefillTokens int // requests after their first event and before it; prompt tokens of the latter to be prefilled
	UrgentRequests                  int // requests with a short gap target, running or waiting
	RecentPrefillTokens             int // prompt tokens sent for prefill, decaying with recentPrefillDecayTime
	PromptTokens                    int // prompt tokens of all requests in flight, cached or not
}

// Add returns the sum of two loads.
func (s InFlightLoad) Add(o InFlightLoad) InFlightLoad {
	return InFlightLoad{Running: s.Running + o.Running, Waiting: s.Waiting + o.Waiting, PrefillTokens: s.PrefillTokens + o.PrefillTokens, UrgentRequests: s.UrgentRequests + o.UrgentRequests, RecentPrefillTokens: s.RecentPrefillTokens + o.RecentPrefillTokens, PromptTokens: s.PromptTokens + o.PromptTokens}
}

// Attempt is a request in flight at an endpoint.
type Attempt struct {
	endpoint      *endpoint
	request       Request
	prefillTokens int
	expectedWait  time.Duration
	overhead      time.Duration // part of expectedWait
	crossDomain   bool
	copiedTokens  int
	load          demand  // at the endpoint when it was chosen
	hostFactor    float64 // that expectedWait assumes
	lastEventAt   time.Time
	sentAt        time.Time
	started       bool
	ended         bool
}

// RecordSent records that a request is sent to the chosen endpoint. It returns nil if
// the endpoint has been removed since the choice.
func (t *Table) RecordSent(now time.Time, r Request, c Choice) *Attempt {
	e := t.endpoints[c.ID]
	if e == nil {
		return nil
	}
	r.urgent = t.isUrgent(&r)
	if r.urgent {
		t.model(r.Service).recordUrgentStream(c.PrefillTokens, r.ExpectedOutputTokens)
	}
	e.takePermit(now)
	e.waiting++
	e.prefillTokens += c.PrefillTokens
	e.urgentRequests += r.urgentCount()
	e.promptTokens += r.PromptTokens
	// The first chunk of a prompt does not count: it is prefilled within an ordinary step.
	e.recentPrefill.add(now, max(c.PrefillTokens-prefillChunkTokens, 0))
	e.cachedParts.recordUse(now, r.Parts)
	e.ejection.sent(now)
	return &Attempt{endpoint: e, request: r, prefillTokens: c.PrefillTokens, expectedWait: c.ExpectedWait, overhead: c.Overhead, crossDomain: c.CrossDomain, copiedTokens: c.CopiedTokens, load: c.load, hostFactor: cmp.Or(c.hostFactor, 1), sentAt: now}
}

// RecordFirstEvent records the first event of an attempt, or its complete answer if it
// is not a stream.
func (t *Table) RecordFirstEvent(now time.Time, a *Attempt, load ReportedLoad) {
	if a == nil || a.started || a.ended {
		return
	}
	a.started = true
	e := a.endpoint
	e.waiting--
	e.running++
	e.prefillTokens -= a.prefillTokens
	e.answeredAt = now
	t.recordPlacements(now, e, a.request.Parts)
	t.recordReportedLoad(now, e, load)
	if a.expectedWait > 0 {
		t.updateEstimates(now, a, now.Sub(a.sentAt))
	}
}

// updateEstimates compares the time to the first event with its estimate. It
// updates the slowdown of the endpoint and, for prompts, the wait factor of the
// service.
func (t *Table) updateEstimates(now time.Time, a *Attempt, took time.Duration) {
	e := a.endpoint
	if a.request.PromptTokens > 0 {
		t.model(e.Service).recordOverhead(took - (a.expectedWait - a.overhead))
		t.learnPrefill(a, took)
	}
	// What is left after the overhead depends on the load.
	took, expected := max(took-a.overhead, 0), a.expectedWait-a.overhead
	if a.request.PromptTokens > 0 {
		t.updateWaitFactor(now, e, took, expected)
	}
	// The host's own state is no property of the endpoint: what is learned leaves it out.
	current := e.learnedSlowdown(now)
	ratio := float64(took) / float64(max(expected, minLearnedWait)) * current * a.hostFactor / e.hostFactor.at(now)
	ratio = max(min(ratio, current*maxSlowdownIncrease, maxSlowdown), minSlowdown)
	if !t.config.Off.Has(mechanism.Slowdown) {
		e.slowdown, e.slowdownAt = current+slowdownWeight*(ratio-current), now
	}
}

// currentSlowdown returns the learned slowdown as corrected by the state of the host that
// the endpoint reports.
func (e *endpoint) currentSlowdown(now time.Time) float64 {
	return e.learnedSlowdown(now) * e.hostFactor.at(now)
}

// learnedSlowdown returns the learned slowdown, which decays towards 1 while
// nothing is sent to the endpoint.
func (e *endpoint) learnedSlowdown(now time.Time) float64 {
	if e.slowdown == 1 {
		return 1
	}
	return 1 + (e.slowdown-1)*decay(now.Sub(e.slowdownAt), slowdownDecayTime)
}

// minLearnedWait is the lower bound of an expected wait that is compared with a
// measured one. It keeps noise on short waits out of the estimates.
const minLearnedWait = 30 * time.Millisecond

// recordReportedLoad stores the load that an endpoint reported with an answer.
func (t *Table) recordReportedLoad(now time.Time, e *endpoint, load ReportedLoad) {
	if load == (ReportedLoad{}) {
		return
	}
	e.reportedLoad, e.reportedAt = load, now
	e.ownRequestsAtReport = e.running + e.waiting
	if !t.config.Off.Has(mechanism.HostFactor) {
		e.hostFactor.record(now, load.HostPercent)
	}
}

// RecordEnd records the end of an attempt. A second call for the same attempt has no
// effect.
func (t *Table) RecordEnd(now time.Time, a *Attempt, result Result, load ReportedLoad) {
	if a == nil || a.ended {
		return
	}
	a.ended = true
	e := a.endpoint
	e.urgentRequests -= a.request.urgentCount()
	e.promptTokens -= a.request.PromptTokens
	if a.started {
		e.running--
	} else {
		e.waiting--
		e.prefillTokens -= a.prefillTokens
	}
	t.recordReportedLoad(now, e, load)
	switch result {
	case Succeeded:
		e.answeredAt = now
		e.ejection.succeeded()
		e.errorRate.add(now, 0)
	case ErrorResponse:
		e.answeredAt = now
		e.ejection.succeeded()
		t.recordError(now, e)
	case Failed:
		t.recordError(now, e)
		e.ejection.failed(now, t.mayEject(now, e))
	case Unreachable:
		t.recordError(now, e)
		e.ejection.unreachable(now, t.mayEject(now, e))
	case NotRun:
		e.ejection.busy(now)
	case Cancelled:
		e.ejection.cancelled()
	}
}

// recordError counts an error in the rate of errors of an endpoint.
func (t *Table) recordError(now time.Time, e *endpoint) {
	if !t.config.Off.Has(mechanism.ErrorRate) {
		e.errorRate.add(now, 1)
	}
}

// maxEjectedFraction bounds the endpoints of a service that are ejected at the
// same time.
const maxEjectedFraction = 0.5

// mayEject reports whether ejecting an endpoint keeps the service within
// maxEjectedFraction.
func (t *Table) mayEject(now time.Time, e *endpoint) bool {
	if t.config.Off.Has(mechanism.Ejection) {
		return false
	}
	total, ejected := 0, 0
	for _, other := range t.services[e.Service] {
		total++
		if other != e && !other.ejection.admits(now) {
			ejected++
		}
	}
	return float64(ejected+1) <= maxEjectedFraction*float64(total)
}

// EndpointKey is a short hash of an endpoint's ID, which keeps the frequent messages
// between entries small. Two endpoints with the same key share one load figure,
// which is rare and harmless.
type EndpointKey uint32

// EndpointKeyOf returns the key of an endpoint ID.
func EndpointKeyOf(id string) EndpointKey { return EndpointKey(hashID(id)) }

// InFlightByEndpoint returns the load that this entry has put on each endpoint. Endpoints without
// any are omitted.
func (t *Table) InFlightByEndpoint(now time.Time) map[EndpointKey]InFlightLoad {
	loads := map[EndpointKey]InFlightLoad{}
	for _, e := range t.endpoints {
		load := InFlightLoad{Running: e.running, Waiting: e.waiting, PrefillTokens: e.prefillTokens, UrgentRequests: e.urgentRequests, RecentPrefillTokens: e.recentPrefill.at(now), PromptTokens: e.promptTokens}
		if load != (InFlightLoad{}) {
			loads[e.key()] = load
		}
	}
	return loads
}

// SetPeerLoads sets the load that other entries have put on each endpoint. domains
// are the failure domains whose entries report their load.
func (t *Table) SetPeerLoads(now time.Time, domains []string, loads map[EndpointKey]InFlightLoad) {
	known := map[string]bool{}
	for _, domain := range domains {
		known[domain] = true
	}
	if t.domainLoadsKnownSince.IsZero() && len(known) > 0 {
		t.domainLoadsKnownSince = now
	}
	changed := !maps.Equal(known, t.knownLoadDomains)
	t.knownLoadDomains = known
	for _, e := range t.endpoints {
		e.domainLoadKnown = t.knownLoadDomains[e.FailureDomain]
		e.peerLoad = loads[e.key()]
		e.cacheResidence = t.estimateCacheResidence(now, e)
	}
	t.adjustReserved(now, changed)
}
