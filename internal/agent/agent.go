// Package agent is the proxy in front of one endpoint; every request to the
// endpoint goes through it. It queues, forwards, preempts and cancels requests
// and drains the endpoint. A request that it refuses has not run, unless the
// error says otherwise. A request that may have reached the endpoint is sent
// again only after a preemption, and a protected one never.
package agent

import (
	"context"
	"log/slog"
	"net/url"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// ConfigSource provides the configuration in force, nil before the first one is received.
type ConfigSource interface {
	Configuration() *ticket.Configuration
}

// Options configure an Agent.
type Options struct {
	// Endpoint describes the endpoint; its incarnation and fence are ignored.
	Endpoint *trefoilkeelv1.Endpoint
	// EndpointURL is the base URL of the engine or service.
	EndpointURL *url.URL
	// ConfigSource is the source of the classes and the workspaces.
	ConfigSource ConfigSource
	// Flow configures the request queue.
	Flow flow.Config
	// MaxBodyBytes is the size limit of a request body, in bytes.
	MaxBodyBytes int64
	// MaxAnswerMemoryBytes bounds the memory of long answers of protected requests that are being read, and that of all those
	// that are kept for repeats, each, in bytes. 0 means no bound.
	MaxAnswerMemoryBytes int64
	Logger               *slog.Logger
}

// incarnationState holds the number of an incarnation and the protected
// attempts received during it.
type incarnationState struct {
	number   uint64
	attempts *attemptRecords
}

// Agent is the proxy of one endpoint.
type Agent struct {
	options               Options
	client                *engine.Client
	answerMemory          *answer.Budget // nil without a bound
	queue                 *queueLoop
	logger                *slog.Logger
	incarnation           atomic.Pointer[incarnationState]
	localDrainRequested   atomic.Bool // by Stop or by the Drain RPC
	controlDrainRequested atomic.Bool // by an operator, through control
	inFlight              inFlightCounter
	activeRequests        atomic.Int64 // in a handler, queued ones included
	fence                 fenceGate
	modelsMu              sync.Mutex
	models                []string // sorted; replaced, never modified in place
	onRecordsFull         atomic.Pointer[func()]
	relayedTokens         atomic.Uint64 // counted in stream events
	wastedTokens          atomic.Uint64 // relayed for calls that were cancelled or timed out
	preemptions           atomic.Uint64
}

// New returns an agent without an incarnation, which refuses every request
// until SetIncarnation is called.
func New(options Options) *Agent {
	a := &Agent{options: options, client: engine.New(options.EndpointURL)}
	if options.MaxAnswerMemoryBytes > 0 {
		a.answerMemory = answer.NewBudget(options.MaxAnswerMemoryBytes)
	}
	a.logger = options.Logger.With("endpoint", options.Endpoint.GetName())
	a.models = slices.Sorted(slices.Values(options.Endpoint.GetModels()))
	a.queue = newQueueLoop(options.Flow, a.logAction)
	return a
}

// Run runs the queue until ctx ends.
func (a *Agent) Run(ctx context.Context) error { return a.queue.run(ctx) }

// SetIncarnation starts a new incarnation; a number that is not newer is
// ignored. New requests for the old incarnation are refused; those already
// admitted continue.
func (a *Agent) SetIncarnation(incarnation uint64) {
	current := a.incarnation.Load()
	if current != nil && current.number >= incarnation {
		return
	}
	a.incarnation.Store(&incarnationState{number: incarnation, attempts: newAttemptRecords(time.Now, a.options.MaxAnswerMemoryBytes)})
	a.logger.Info("incarnation granted", "incarnation", incarnation)
}

// Incarnation returns the current incarnation number, 0 before the first.
func (a *Agent) Incarnation() uint64 {
	if current := a.incarnation.Load(); current != nil {
		return current.number
	}
	return 0
}

// OnRecordsFull sets a callback for when the current incarnation can record no
// more protected attempts. The callback must request a new incarnation.
func (a *Agent) OnRecordsFull(callback func()) { a.onRecordsFull.Store(&callback) }

// SetDraining starts or ends a drain. While draining, new requests are refused.
// Queued requests are refused as not run, so that their routers send them to
// another endpoint; running requests continue.
func (a *Agent) SetDraining(draining bool) {
	if a.localDrainRequested.Swap(draining) != draining {
		a.logger.Info("drain", "draining", draining, "running", a.activeRequests.Load())
		if draining {
			a.queue.refuseWaiting(flow.Draining)
		}
	}
}

// SetControlDraining starts or ends a drain that an operator requested through control.
func (a *Agent) SetControlDraining(draining bool) {
	if a.controlDrainRequested.Swap(draining) != draining {
		a.logger.Info("drain wanted", "wanted", draining, "running", a.activeRequests.Load())
		if draining {
			a.queue.refuseWaiting(flow.Draining)
		}
	}
}

// Draining reports whether new requests are refused.
func (a *Agent) Draining() bool {
	return a.localDrainRequested.Load() || a.controlDrainRequested.Load()
}

// Load returns the load of the queue, nil if ctx ends first.
func (a *Agent) Load(ctx context.Context) *trefoilkeelv1.Load { return a.queue.load(ctx) }

// TokenCounts returns the number of relayed engine tokens, and how many of them
// belonged to calls that were cancelled or timed out.
func (a *Agent) TokenCounts() (relayed, wasted uint64) {
	return a.relayedTokens.Load(), a.wastedTokens.Load()
}

// PreemptionCount returns the number of preemptions since the process started.
func (a *Agent) PreemptionCount() uint64 { return a.preemptions.Load() }

// Name returns the endpoint's name.
func (a *Agent) Name() string { return a.options.Endpoint.GetName() }

// Stop drains the agent and waits until no request is in flight or ctx ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.SetDraining(true)
	return a.inFlight.wait(ctx)
}

// logAction logs a decision of the queue and counts preemptions.
func (a *Agent) logAction(action flow.Action) {
	switch v := action.(type) {
	case flow.Start:
		a.logger.Debug("start", "request", v.ID)
	case flow.Refuse:
		a.logger.Info("refuse", "request", v.ID, "reason", v.Reason, "retry_after", v.RetryAfter)
	case flow.Preempt:
		a.preemptions.Add(1)
		a.logger.Info("preempt", "request", v.ID)
	}
}
