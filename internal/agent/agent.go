// Package agent is the only door to one endpoint. It announces the endpoint,
// queues requests, passes them on, drains and cancels. What it refuses did not
// run; what it has passed on it never passes on again.
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
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Configuration is the source of the configuration in force, nil before the first.
type Configuration interface {
	State() *ticket.State
}

// Options set up an agent.
type Options struct {
	// Endpoint is what the agent announces; incarnation and fence are ignored.
	Endpoint *trefoilkeelv1.Endpoint
	// EndpointURL is the base URL of the engine or service.
	EndpointURL *url.URL
	// Configuration gives the classes.
	Configuration Configuration
	// Flow sets the queue.
	Flow flow.Config
	// MaxBody bounds a request body, in bytes.
	MaxBody int64
	Logger  *slog.Logger
}

// identity is one incarnation of the endpoint.
type identity struct {
	incarnation uint64
	records     *records
}

// Agent is the door to one endpoint.
type Agent struct {
	options  Options
	client   *engine.Client
	queue    *queueDuty
	logger   *slog.Logger
	identity atomic.Pointer[identity]
	draining atomic.Bool // a stop or a direct call asks for it
	wanted   atomic.Bool // control asks for it
	inFlight flights
	running  atomic.Int64
	fence    fence
	modelsMu sync.Mutex
	models   []string // sorted; replaced, never changed
	onFull   atomic.Pointer[func()]
	tokens   atomic.Uint64 // engine tokens relayed
	wasted   atomic.Uint64 // engine tokens that had no receiver
	preempts atomic.Uint64
}

// New returns an agent without an incarnation: it refuses every request until
// SetIncarnation is called.
func New(options Options) *Agent {
	a := &Agent{options: options, client: engine.New(options.EndpointURL)}
	a.logger = options.Logger.With("endpoint", options.Endpoint.GetName())
	a.models = slices.Sorted(slices.Values(options.Endpoint.GetModels()))
	a.queue = newQueueDuty(options.Flow, a.logAction)
	return a
}

// Run owns the queue until ctx ends.
func (a *Agent) Run(ctx context.Context) error { return a.queue.run(ctx) }

// SetIncarnation begins a new incarnation. Requests under the old number are
// refused from now on; those that run go on.
func (a *Agent) SetIncarnation(incarnation uint64) {
	old := a.identity.Load()
	if old != nil && old.incarnation >= incarnation {
		return
	}
	a.identity.Store(&identity{incarnation: incarnation, records: newRecords(time.Now)})
	a.logger.Info("incarnation granted", "incarnation", incarnation)
}

// Incarnation is the present incarnation, 0 before the first.
func (a *Agent) Incarnation() uint64 {
	if id := a.identity.Load(); id != nil {
		return id.incarnation
	}
	return 0
}

// OnRecordsFull sets what asks for a new incarnation once the present one can
// remember no more protected requests.
func (a *Agent) OnRecordsFull(ask func()) { a.onFull.Store(&ask) }

// SetDraining refuses new work from now on, or takes it again. What waits is
// refused as not run, so that its router moves it; what runs goes on.
func (a *Agent) SetDraining(draining bool) {
	if a.draining.Swap(draining) != draining {
		a.logger.Info("drain", "draining", draining, "running", a.running.Load())
		if draining {
			a.queue.refuseWaiting(flow.Draining)
		}
	}
}

// SetWantedDrain takes over the operators' wish from control.
func (a *Agent) SetWantedDrain(wanted bool) {
	if a.wanted.Swap(wanted) != wanted {
		a.logger.Info("drain wanted", "wanted", wanted, "running", a.running.Load())
		if wanted {
			a.queue.refuseWaiting(flow.Draining)
		}
	}
}

// Draining reports whether new work is refused.
func (a *Agent) Draining() bool { return a.draining.Load() || a.wanted.Load() }

// Load returns the queue's figures, nil if ctx ends first.
func (a *Agent) Load(ctx context.Context) *trefoilkeelv1.Load { return a.queue.load(ctx) }

// Tokens returns the engine tokens relayed and those without a receiver.
func (a *Agent) Tokens() (relayed, wasted uint64) { return a.tokens.Load(), a.wasted.Load() }

// Preempted returns the number of preemptions since the start.
func (a *Agent) Preempted() uint64 { return a.preempts.Load() }

// Name is the endpoint's name.
func (a *Agent) Name() string { return a.options.Endpoint.GetName() }

// Stop drains and waits until no request is in flight or ctx ends.
func (a *Agent) Stop(ctx context.Context) error {
	a.SetDraining(true)
	return a.inFlight.wait(ctx)
}

// logAction writes the line of one queue decision.
func (a *Agent) logAction(action flow.Action) {
	switch v := action.(type) {
	case flow.Start:
		a.logger.Debug("start", "request", v.ID)
	case flow.Refuse:
		a.logger.Info("refuse", "request", v.ID, "reason", v.Reason, "retry_after", v.RetryAfter)
	case flow.Preempt:
		a.preempts.Add(1)
		a.logger.Info("preempt", "request", v.ID)
	}
}
