// Package metrics names the figures that a process publishes and gathers them
// in one go-metrics registry.
package metrics

import (
	"io"
	"time"

	gometrics "github.com/rcrowley/go-metrics"
)

// Names of the metrics. Those with a trailing dot are followed by a class, a
// refusal type, a tier or an endpoint.
const (
	ClassOffered    = "class.offered."     // counter, requests
	ClassAttained   = "class.attained."    // counter, whole answers within the class's targets
	ClassFinished   = "class.finished."    // counter, whole answers
	ClassFirstToken = "class.first_token." // timer, ns from arrival to the first byte of the answer
	Refused         = "refused."           // counter, by refusal type
	StreamsBroken   = "streams.broken"     // counter, streams that ended visibly failed
	StreamsResumed  = "streams.resumed"    // counter, streams continued at another endpoint
	Retries         = "retries"            // counter, attempts paid from a retry budget
	Goodput         = "goodput"            // meter, whole answers within target a second

	AgentRunning   = "agent.running."   // gauge, requests at the endpoint
	AgentSlots     = "agent.slots."     // gauge, present concurrency limit
	AgentWaiting   = "agent.waiting."   // gauge, waiting requests, by endpoint and tier
	AgentTokens    = "agent.tokens."    // gauge, engine tokens relayed since the start
	AgentWasted    = "agent.wasted."    // gauge, engine tokens without a receiver since the start
	AgentPreempted = "agent.preempted." // gauge, preemptions since the start

	Revision      = "revision"        // gauge, newest configuration revision applied
	RevisionAge   = "revision.age_ms" // gauge, ms since control confirmed it
	Endpoints     = "endpoints"       // gauge, endpoints in the directory
	ControlHosts  = "control.hosts"   // gauge, control hosts heard
	Dials         = "upstream.dials"  // gauge, connections made to endpoints since the start
	Reuses        = "upstream.reuses" // gauge, requests on kept connections since the start
	Leading       = "control.leading" // gauge, 1 on the host that holds the leader lease
	Term          = "control.term"    // gauge
	LedgerEntries = "ledger.entries"  // gauge
	LedgerBytes   = "ledger.bytes"    // gauge, bytes
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

// Time adds one measurement to a timer.
func (r *Registry) Time(name string, d time.Duration) {
	gometrics.GetOrRegisterTimer(name, r.registry).Update(d)
}

// Mark adds one event to a meter.
func (r *Registry) Mark(name string) { gometrics.GetOrRegisterMeter(name, r.registry).Mark(1) }

// Set sets a gauge.
func (r *Registry) Set(name string, value int64) {
	gometrics.GetOrRegisterGauge(name, r.registry).Update(value)
}

// Count returns the value of a counter, 0 if there is none.
func (r *Registry) Count(name string) int64 {
	if c, ok := r.registry.Get(name).(gometrics.Counter); ok {
		return c.Count()
	}
	return 0
}

// Write writes every metric as one JSON object.
func (r *Registry) Write(w io.Writer) { gometrics.WriteJSONOnce(r.registry, w) }
