// Package metrics names the metrics of a process and holds them in a go-metrics
// registry.
package metrics

import (
	"io"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Names of the metrics. A name with a trailing dot is a prefix: the caller
// appends a class, a refusal type or an endpoint. agent.waiting. is followed by
// an endpoint, a dot and a tier. An entry appends a route in place of a class, and
// counts every attempt after a request's first as a retry.
const (
	ClassOfferedPrefix    = "class.offered."     // counter, requests
	ClassAttainedPrefix   = "class.attained."    // counter, complete answers within the class's latency targets
	ClassFinishedPrefix   = "class.finished."    // counter, complete answers
	ClassFirstTokenPrefix = "class.first_token." // timer, ns from arrival to the first byte of the answer
	RefusedPrefix         = "refused."           // counter, by refusal type
	StreamsBroken         = "streams.broken"     // counter, streams that ended with an error visible to the caller
	StreamsResumed        = "streams.resumed"    // counter, streams continued at another endpoint
	Retries               = "retries"            // counter, on a router the attempts charged to a retry budget
	Goodput               = "goodput"            // meter, complete answers within target per second

	AgentRunningPrefix       = "agent.running."   // gauge, requests running at the endpoint
	AgentSlotsPrefix         = "agent.slots."     // gauge, current concurrency limit
	AgentWaitingPrefix       = "agent.waiting."   // gauge, queued requests, by endpoint and tier
	AgentRelayedTokensPrefix = "agent.tokens."    // gauge, engine tokens relayed to callers since the start
	AgentWastedTokensPrefix  = "agent.wasted."    // gauge, engine tokens that no caller received since the start
	AgentPreemptionsPrefix   = "agent.preempted." // gauge, preemptions since the start

	Revision          = "revision"           // gauge, newest configuration revision applied
	RevisionAgeMS     = "revision.age_ms"    // gauge, milliseconds since control last confirmed the revision
	RevisionAnnounced = "revision.announced" // gauge, newest configuration revision that any control host has announced to the entry
	Endpoints         = "endpoints"          // gauge, endpoints in the directory
	QuarantinedParts  = "quarantine.parts"   // gauge, prompt parts and requests that are kept from endpoints
	LiveControlHosts  = "control.hosts"      // gauge, control hosts with a live connection
	UpstreamDials     = "upstream.dials"     // gauge, connections opened to endpoints since the start
	UpstreamReuses    = "upstream.reuses"    // gauge, requests sent on reused connections since the start
	ControlLeading    = "control.leading"    // gauge, 1 on the host that holds the leader lease
	ControlTerm       = "control.term"       // gauge, consensus term
	DutyHeld          = "duty.held"          // gauge, 1 on the host that holds the duties
	DutyToken         = "duty.token"         // gauge, fencing token of the newest holding known
	DutyHoldings      = "duty.holdings"      // counter, how often this process gained the duties
	UsageReported     = "usage.reported"     // counter, windows whose usage the outside accepted from this process
	UsageFailedCalls  = "usage.failed"       // counter, calls that the outside did not accept
	UsageGivenUp      = "usage.given_up"     // counter, windows whose usage was not reported in time
	StateDigests      = "state.digests"      // counter, digests taken of the own copy of the state
	StateDifferences  = "state.differences"  // counter, hosts whose copy of the state differed from that of the majority, at one index each
	StateRestores     = "state.restores"     // counter, how often the own copy was replaced by the majority's
	SnapshotRetries   = "snapshot.retries"   // counter, parts of snapshots that another host did not acknowledge in time
	StateOdd          = "state.odd"          // gauge, 1 while this host does not act on its copy because it differs
	StateDisputes     = "state.disputes"     // counter, indexes at which copies of the state differed and no majority agreed
	LogOpen           = "log.open"           // gauge, 1 while the data folder of the log is open
	LogBlocked        = "log.blocked"        // gauge, 1 while the data folder can't be opened until an operator acts
	LogFailures       = "log.failures"       // counter, how often the data folder failed or could not be opened
	LedgerEntries     = "ledger.entries"     // gauge, entries in the ledger
	LedgerBytes       = "ledger.bytes"       // gauge, size of the ledger in bytes

	CallersIdleClosed = "callers.idle_closed" // counter, callers' connections closed at the idle timeout
	CallersRefused    = "callers.refused"     // counter, callers' connections closed for their silence while connections were scarce, or for the head of a request
	CallersCrossed    = "callers.crossed"     // counter, callers' requests that arrived after the close response of their connection
	CallersPanics     = "callers.panics"      // counter, callers' requests whose handler panicked
)

// Registry holds the metrics of one process. Its methods are safe for
// concurrent use.
type Registry struct {
	registry gometrics.Registry
}

// New returns an empty registry.
func New() *Registry { return &Registry{registry: gometrics.NewRegistry()} }

// AddToCounter adds n to a counter.
func (r *Registry) AddToCounter(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, r.registry).Inc(n)
}

// RecordDuration records one duration in a timer.
func (r *Registry) RecordDuration(name string, d time.Duration) {
	gometrics.GetOrRegisterTimer(name, r.registry).Update(d)
}

// MarkMeter records one event in a meter.
func (r *Registry) MarkMeter(name string) { gometrics.GetOrRegisterMeter(name, r.registry).Mark(1) }

// SetGauge sets a gauge.
func (r *Registry) SetGauge(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, r.registry).Update(value)
}

// CounterValue returns the value of a counter, or 0 if it does not exist.
func (r *Registry) CounterValue(name string) int64 {
	if c, ok := r.registry.Get(name).(gometrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// WriteJSON writes all metrics as one JSON object.
func (r *Registry) WriteJSON(w io.Writer) { gometrics.WriteJSONOnce(r.registry, w) }
