// Package balance chooses the endpoint of a request at an entry that sends to
// endpoints directly, without an agent that knows their queues. It filters the
// endpoints of the service, estimates for each candidate the time to the first
// event and the other costs of choosing it, and picks the cheapest.
//
// A Table has no clock, goroutine or I/O. It is not safe for concurrent use.
package balance

import (
	"cmp"
	"fmt"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
)

// PromptPart is a section of a prompt. Several requests may have a part in common.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is what Choose needs to know about a request.
type Request struct {
	Service              string
	PromptTokens         int          // prompt length, 0 for a service without a model
	Parts                []PromptPart // in the order of the prompt
	ExpectedOutputTokens int
	BodyBytes            int
	Urgency              int             // priority at the endpoint, 0 is served first
	RouteRank            int             // urgency rank of the route, 0 is the most urgent
	LatencyTarget        time.Duration   // for the first event, or for the whole answer without a stream
	GapTarget            time.Duration   // target for the longest pause between events; 0 without a stream
	Waited               bool            // it was refused and returns at its Retry-After, or has waited its turn here
	Allowance            float64         // from 0 to 1, how much longer than others it may then wait for its prefill
	TriedEndpoints       []string        // IDs of endpoints that earlier attempts were sent to
	OnlyEndpoints        []string        // IDs of the endpoints that may take the request, nil for all
	OutsideShare         bool            // its workspace takes more than its share, see package share
	OnlyVersion          bool            // the request continues a stream that Version began
	Version              string          // of the endpoint's software
	UnrecordedVersions   map[string]bool // at which no stream may begin yet

	urgent bool // set by the Table, see isUrgent
}

// Config describes the entry and the costs of its choices, in time. Costs that
// are 0 get their defaults.
type Config struct {
	// Domain is the entry's own failure domain.
	Domain string
	// CrossDomainByteCost is the cost of sending a byte to another failure domain.
	CrossDomainByteCost time.Duration
	// CrossDomainRoundTrip is the network round trip to another failure domain.
	CrossDomainRoundTrip time.Duration
	// CopyTokenCost is the cost of copying a cached prompt token from another
	// engine, beyond the time that the copy takes.
	CopyTokenCost time.Duration
	// PrefillTokenCost is the cost of prefilling a shared prompt token once more,
	// beyond the time that it takes: other requests of the endpoint wait for it too.
	PrefillTokenCost time.Duration
	// Off are the mechanisms that are switched off, to measure what they are worth.
	Off mechanism.Set
}

// Defaults of Config; docs/decisions/061 and 063 give the figures behind them.
const (
	defaultCrossDomainByteCost  = 7500 * time.Nanosecond
	defaultCrossDomainRoundTrip = 8 * time.Millisecond
	defaultPrefillTokenCost     = 600 * time.Microsecond
	defaultCopyTokenCost        = 20 * time.Microsecond
)

// withDefaults sets the costs that are 0 to their defaults.
func (c Config) withDefaults() Config {
	c.CrossDomainByteCost = cmp.Or(c.CrossDomainByteCost, defaultCrossDomainByteCost)
	c.CrossDomainRoundTrip = cmp.Or(c.CrossDomainRoundTrip, defaultCrossDomainRoundTrip)
	c.CopyTokenCost = cmp.Or(c.CopyTokenCost, defaultCopyTokenCost)
	c.PrefillTokenCost = cmp.Or(c.PrefillTokenCost, defaultPrefillTokenCost)
	return c
}

// Constants of the estimates. How fast the engines are is learned; see engineSpeed.
const (
	prefillChunkTokens    = 1024                  // prompt tokens assumed to be prefilled between two steps
	defaultSlots          = 64                    // of an engine that reports none
	promptlessServiceTime = 30 * time.Millisecond // of a request without a prompt

	slowdownWeight      = 0.1 // of one measurement
	minSlowdown         = 0.5
	maxSlowdown         = 20.0
	maxSlowdownIncrease = 3.0                     // factor by which one measurement may exceed the current slowdown, as requests differ
	slowdownDecayTime   = 4 * time.Second         // time constant: about two thirds of the learned slowdown are gone after it
	maxReportAge        = 1500 * time.Millisecond // up to which the load reported by an endpoint is used
	silentEndpointCost  = 500 * time.Millisecond  // of an endpoint in state Silent that has not answered within recentAnswerAge
	recentAnswerAge     = 2 * time.Second
)

// NoEndpointError reports that no endpoint can take a request. It counts the
// endpoints of the service by the reason that ruled them out.
type NoEndpointError struct {
	Service      string
	Known        int // endpoints of the service
	Tried        int // or not among the request's OnlyEndpoints
	OtherVersion int // of another software version than the stream
	Unrecorded   int // of a version at which no stream may begin yet
	Draining     int
	Ejected      int
	Held         int           // asked for no requests for a time
	Limited      int           // this entry has no permit under the rate that the endpoint takes
	Full         int           // at the limit of requests from this entry, or of prompt tokens in flight
	TooLate      int           // prefill would start too late for the request to meet its target
	Deferrable   bool          // none is too late for the request once it has waited its turn
	ShortestWait time.Duration // shortest expected wait among the endpoints that are too late
	HeldFor      time.Duration // until the first endpoint that asked for no requests takes some
}

func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("no endpoint left for service %s: %d known, %d tried, %d of other versions, %d of versions not recorded, %d draining, %d ejected, %d held, %d limited, %d full, %d too late (soonest in %d ms)",
		e.Service, e.Known, e.Tried, e.OtherVersion, e.Unrecorded, e.Draining, e.Ejected, e.Held, e.Limited, e.Full, e.TooLate, e.ShortestWait.Milliseconds())
}

// ReportedLoad is the load that an endpoint reports with an answer.
type ReportedLoad struct {
	Running, Waiting, Slots int
	HostPercent             int // how long work takes on the endpoint's host now, 100 as usual, 0 if not reported
}

// Choice is the endpoint chosen for an attempt, with the estimates behind it.
type Choice struct {
	ID                string
	Incarnation       uint64 // key of the incarnation, see directory.Endpoint.IncarnationKey
	Address           string
	Version           string        // of its software
	CrossDomain       bool          // in another failure domain
	Preferred         bool          // the endpoint that entries agree on for the prompt; see preferredEndpoint
	Cost              time.Duration // estimated cost, by which the candidates were compared
	ExpectedWait      time.Duration // expected time to the first event or the answer
	Overhead          time.Duration // part of ExpectedWait that does not depend on the load
	PrefillTokens     int           // prompt tokens expected to be prefilled
	PrefillTime       time.Duration // expected time to prefill them, part of ExpectedWait
	CopySourceAddress string        // address of the endpoint to copy cached parts from, "" for none
	CopiedTokens      int           // cached tokens copied from there
	ReportAge         time.Duration // age of the endpoint's reported load, 0 if there is none
	CandidateCount    int

	load       demand  // at the endpoint when it was chosen
	hostFactor float64 // that the estimates assumed
}

// endpoint is the state of one incarnation of an endpoint.
type endpoint struct {
	directory.Endpoint
	crossDomain     bool // in another failure domain
	idHash          uint64
	incarnation     uint64 // see directory.Endpoint.IncarnationKey
	reserved        bool   // for urgent streams, kept free of long prompts
	domainLoadKnown bool   // the entries of its failure domain report their load

	running        int // own requests after their first event
	waiting        int // own requests before their first event
	prefillTokens  int // prompt tokens of the waiting requests that are to be prefilled
	urgentRequests int // own requests with a short gap target
	promptTokens   int // of all own requests, cached or not
	recentPrefill  recentTokens
	errorRate      errorRate
	peerLoad       InFlightLoad // load put on it by other entries

	reportedLoad        ReportedLoad
	reportedAt          time.Time
	ownRequestsAtReport int     // own requests in flight when reportedLoad arrived
	slowdown            float64 // measured time to the first event over the expected one, without hostFactor
	hostFactor          hostFactor
	slowdownAt          time.Time
	gapSampledAt        time.Time // when a pause of a stream was last used to learn the engine's speed
	answeredAt          time.Time
	cachedParts         *partCache
	cacheResidence      time.Duration // how long an unused cached part stays, estimated when peerLoad was set
	pauses              pauseRate     // of urgent streams
	ejection            ejection
	leaving             bool      // it has announced its departure in a response
	heldUntil           time.Time // it has asked for no requests before this time
	maxRequests         int       // limit of own requests, 0 for none
	limit               endpointLimit
}

// Table is what an entry knows about the endpoints of all services. Maps from
// strings are by service unless their comment says otherwise.
type Table struct {
	config                Config
	endpoints             map[string]*endpoint // by ID
	byKey                 map[EndpointKey]*endpoint
	byIncarnation         map[uint64]*endpoint // by directory.Endpoint.IncarnationKey
	services              map[string][]*endpoint
	knownLoadDomains      map[string]bool      // failure domains whose entries report their load
	domainLoadsKnownSince time.Time            // when the first of them reported
	scratch               []*endpoint          // reused by candidates
	throttled             []*endpoint          // reused by candidates, which could take the request with a permit
	lastUrgentAt          map[string]time.Time // of the last choice for an urgent stream
	reservedTargets       map[string]*reservedTarget
	waitFactors           map[string]*waitFactor
	pathPauses            map[pathKey]*pauseRate
	cacheCapacityTokens   map[string]int // of one engine, 0 if not known
	leastUrgentRanks      map[string]int
	engineModels          map[string]*engineModel
	copyTimesPerToken     map[string]time.Duration // between engines, 0 if they cannot copy
	unsentPlacements      []PartPlacement          // to be reported to other entries
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config.withDefaults(), endpoints: map[string]*endpoint{}, byKey: map[EndpointKey]*endpoint{}, byIncarnation: map[uint64]*endpoint{}, services: map[string][]*endpoint{}, knownLoadDomains: map[string]bool{}, lastUrgentAt: map[string]time.Time{},
		reservedTargets: map[string]*reservedTarget{}, waitFactors: map[string]*waitFactor{}, leastUrgentRanks: map[string]int{}, engineModels: map[string]*engineModel{}, cacheCapacityTokens: map[string]int{}, pathPauses: map[pathKey]*pauseRate{}, copyTimesPerToken: map[string]time.Duration{}}
}

// Update applies a change of the directory. maxRequests limits this entry's requests
// in flight at the endpoint, 0 for no limit. A new incarnation starts without state.
func (t *Table) Update(e directory.Endpoint, maxRequests int) {
	known := t.endpoints[e.ID]
	if e.State == directory.Gone || e.Service == "" {
		t.remove(known)
		return
	}
	if known != nil && known.StartedUnixMS == e.StartedUnixMS && known.Service == e.Service && known.Address == e.Address {
		known.Endpoint, known.maxRequests = e, maxRequests
		t.assignReserved(e.Service)
		return
	}
	t.remove(known)
	added := &endpoint{Endpoint: e, crossDomain: e.FailureDomain != t.config.Domain, domainLoadKnown: t.knownLoadDomains[e.FailureDomain], idHash: hashID(e.ID), incarnation: e.IncarnationKey(), slowdown: 1, cachedParts: newPartCache(), cacheResidence: maxCacheResidence, maxRequests: maxRequests}
	t.endpoints[e.ID] = added
	t.byKey[added.key()] = added
	t.byIncarnation[added.incarnation] = added
	t.services[e.Service] = append(t.services[e.Service], added)
	t.assignReserved(e.Service)
}

// SetMaxRequests sets the limit of this entry's requests in flight at each endpoint
// of a service.
func (t *Table) SetMaxRequests(service string, maxRequests int) {
	for _, e := range t.services[service] {
		e.maxRequests = maxRequests
	}
}

// SetCacheCapacity sets how many prompt tokens an engine of a service can cache, 0 if
// that is not known.
func (t *Table) SetCacheCapacity(service string, tokens int) { t.cacheCapacityTokens[service] = tokens }

// remove deletes an endpoint; nil is ignored.
func (t *Table) remove(e *endpoint) {
	if e == nil {
		return
	}
	delete(t.endpoints, e.ID)
	delete(t.byKey, e.key())
	delete(t.byIncarnation, e.incarnation)
	remaining := t.services[e.Service][:0:0]
	for _, other := range t.services[e.Service] {
		if other != e {
			remaining = append(remaining, other)
		}
	}
	t.services[e.Service] = remaining
	t.assignReserved(e.Service)
}

func (e *endpoint) key() EndpointKey { return EndpointKey(e.idHash) }

func (e *endpoint) acceptsRequests() bool {
	return e.State != directory.Draining && e.State != directory.Gone && !e.leaving
}

// HasEndpoints reports whether the service has any endpoint.
func (t *Table) HasEndpoints(service string) bool { return len(t.services[service]) > 0 }

// Addresses returns the set of addresses of all endpoints that may take requests.
func (t *Table) Addresses() map[string]bool {
	all := make(map[string]bool, len(t.endpoints))
	for _, e := range t.endpoints {
		if e.acceptsRequests() {
			all[e.Address] = true
		}
	}
	return all
}
