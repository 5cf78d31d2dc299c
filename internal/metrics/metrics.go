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
// an endpoint, a dot and a tier.
const (
	ClassOffered    = "class.offered."     // counter, requests
	ClassAttained   = "class.attained."    // counter, complete answers within the class's latency targets
	ClassFinished   = "class.finished."    // counter, complete answers
	ClassFirstToken = "class.first_token." // timer, ns from arrival to the first byte of the answer
	Refused         = "refused."           // counter, by refusal type
	StreamsBroken   = "streams.broken"     // counter, streams that ended with an error visible to the caller
	StreamsResumed  = "streams.resumed"    // counter, streams continued at another endpoint
	Retries         = "retries"            // counter, attempts charged to a retry budget
	Goodput         = "goodput"            // meter, complete answers within target per second

	AgentRunning   = "agent.running."   // gauge, requests running at the endpoint
	AgentSlots     = "agent.slots."     // gauge, current concurrency limit
	AgentWaiting   = "agent.waiting."   // gauge, queued requests, by endpoint and tier
	AgentTokens    = "agent.tokens."    // gauge, engine tokens relayed to callers since the start
	AgentWasted    = "agent.wasted."    // gauge, engine tokens that no caller received since the start
	AgentPreempted = "agent.preempted." // gauge, preemptions since the start

	Revision      = "revision"        // gauge, newest configuration revision applied
	RevisionAge   = "revision.age_ms" // gauge, milliseconds since control last confirmed the revision
	Endpoints     = "endpoints"       // gauge, endpoints in the directory
	ControlHosts  = "control.hosts"   // gauge, control hosts with a live connection
	Dials         = "upstream.dials"  // gauge, connections opened to endpoints since the start
	Reuses        = "upstream.reuses" // gauge, requests sent on reused connections since the start
	Leading       = "control.leading" // gauge, 1 on the host that holds the leader lease
	Term          = "control.term"    // gauge, consensus term
	LedgerEntries = "ledger.entries"  // gauge, entries in the ledger
	LedgerBytes   = "ledger.bytes"    // gauge, size of the ledger in bytes
)

// Registry holds the metrics of one process. Its methods are safe for
// concurrent use.
type Registry struct {
	registry gometrics.Registry
}

// New returns an empty registry.
func New() *Registry { return &Registry{registry: gometrics.NewRegistry()} }

// Add adds n to a counter.
func (r *Registry) Add(name string, n int64) {
	gometrics.GetOrRegisterCounter(name, r.registry).Inc(n)
}

// Time records one duration in a timer.
func (r *Registry) Time(name string, d time.Duration) {
	gometrics.GetOrRegisterTimer(name, r.registry).Update(d)
}

// Mark records one event in a meter.
func (r *Registry) Mark(name string) { gometrics.GetOrRegisterMeter(name, r.registry).Mark(1) }

// Set sets a gauge.
func (r *Registry) Set(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, r.registry).Update(value)
}

// Count returns the value of a counter, or 0 if it does not exist.
func (r *Registry) Count(name string) int64 {
	if c, ok := r.registry.Get(name).(gometrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// Write writes all metrics as one JSON object.
func (r *Registry) Write(w io.Writer) { gometrics.WriteJSONOnce(r.registry, w) }
