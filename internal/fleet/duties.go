package fleet

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/steady"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timing of duties.
const (
	dutyProposeTimeout = time.Second
	dutyCollectTimeout = time.Second
	// dutyStopTimeout limits what a host that stops does for its duties: the end of a call out, and
	// the release of the holding.
	dutyStopTimeout = 2 * time.Second
	// dutyLease is how long an applied command of the holder allows calls.
	dutyLease = 2 * time.Second
	// dutyMargin covers the way of a call, and how far the clocks of two hosts may differ in rate over
	// a lease.
	dutyMargin = 300 * time.Millisecond
	// usageSettleDelay is how long after the end of a window its counts are collected: entries report
	// a window that has ended at once.
	usageSettleDelay = 500 * time.Millisecond
)

// UsageSource is a control host's knowledge of usage; a Server is one.
type UsageSource interface {
	// CollectUsage returns the counts of a window from all control hosts. Complete is false if a host
	// or an entry that should have reported has not.
	CollectUsage(ctx context.Context, window int64) (totals usage.Totals, complete bool, err error)
	// HasUsage reports whether entries reported requests of a window to this host.
	HasUsage(window uint64) bool
}

// DutiesOptions configures Duties.
type DutiesOptions struct {
	Log      ReplicatedLog
	State    StateSource // of the log
	Reporter UsageReporter
	Usage    UsageSource

	HostID            uint64
	HostName          string        // under which the outside knows this host
	CallTimeout       time.Duration // of the Reporter, from mayCall on
	Reuse             time.Duration // two hosts must not call in turns within this time
	UsageWindow       time.Duration // length of a window
	UsageDue          time.Duration // from the end of a window
	MaxCallsPerSecond float64       // of all hosts together

	Logger  *slog.Logger
	Metrics *metrics.Registry
}

// Duties does on a control host what only one host at a time may do: package duty decides, and Run
// carries it out.
type Duties struct {
	options DutiesOptions
	config  duty.Config            // Life is set for each keeper
	keeper  *duty.Keeper           // decides by machine; nil while that isn't up to date; used by Run alone, as all below
	machine *document.StateMachine // of the opening of the log that the keeper decides for
	clock   *windowTime
	log     *dutyLog
}

// NewDuties returns duties that Run performs. An error is a *duty.ConfigError.
func NewDuties(o DutiesOptions) (*Duties, error) {
	config := duty.Config{Host: o.HostID, HostName: o.HostName, Life: newLife(),
		Lease: max(dutyLease, 2*(o.CallTimeout+dutyMargin)), CallTimeout: o.CallTimeout, Margin: dutyMargin, Reuse: o.Reuse,
		CallInterval: time.Duration(float64(time.Second) / o.MaxCallsPerSecond),
		WindowLength: o.UsageWindow, Due: o.UsageDue, SettleDelay: min(usageSettleDelay, o.UsageDue/4)}
	if err := config.Validate(); err != nil {
		return nil, err
	}
	return &Duties{options: o, config: config, clock: newWindowTime(o.UsageWindow),
		log: &dutyLog{logger: o.Logger, metrics: o.Metrics, windowLength: o.UsageWindow, failures: map[uint64]error{}}}, nil
}

// newLife returns a random number that isn't 0.
func newLife() uint64 { return max(rand.Uint64(), 1) }

// Run performs the duties until ctx ends and then releases them. The log must run until Run has
// returned.
func (d *Duties) Run(ctx context.Context) error {
	// What has begun when ctx ends goes on until its own time-out, so that its end is known.
	background := context.WithoutCancel(ctx)
	var stopBy time.Duration
	for {
		stopping := ctx.Err() != nil
		if stopping && stopBy == 0 {
			stopBy = steady.Now() + dutyStopTimeout
		}
		changed, replaced := d.observe()
		if d.keeper == nil {
			select {
			case <-ctx.Done():
				return nil // what this process held before is no longer its own
			case <-replaced:
			}
			continue
		}
		action := d.keeper.Next(d.clock.now(), d.inputs(stopping))
		d.log.givenUp(action.GivenUp, d.options.Log.Status().UnavailableReason)
		switch action.Kind {
		case duty.Stop:
			return nil
		case duty.Wait:
			if stopping && steady.Now() >= stopBy {
				d.options.Logger.Warn("duties not released")
				return nil
			}
			d.waitFor(ctx, changed, replaced, action.Until)
		case duty.Propose:
			d.propose(background, action)
		case duty.Collect:
			d.collect(background, action)
		case duty.Call:
			d.call(background, action)
		}
	}
}

// observe passes the record that this host has applied to the keeper. It returns channels that are
// closed at the next change of the record and once the state is replaced. Each opening of the log has
// a keeper with a life of its own: what an earlier one held or was waiting for rests on a state that
// was given up. Without a state that is up to date there is no keeper.
func (d *Duties) observe() (changed, replaced <-chan struct{}) {
	view := d.options.State.State()
	if !view.UpToDate {
		d.keeper, d.machine = nil, nil
		d.log.holding(false, duty.Holding{Token: d.log.token})
		return nil, view.Replaced
	}
	if view.Machine != d.machine {
		config := d.config
		config.Life = newLife()
		d.keeper, d.machine = duty.NewKeeper(config, steady.Now()), view.Machine
	}
	record, changed := view.Machine.Duties()
	d.keeper.Observe(steady.Now(), record)
	_, holds := d.keeper.Holds()
	d.log.holding(holds, record.Holding)
	return changed, view.Replaced
}

// inputs returns what the keeper decides by besides the record.
func (d *Duties) inputs(stopping bool) duty.Inputs {
	status := d.options.Log.Status()
	return duty.Inputs{IsLeader: status.LeaderID == d.options.HostID, Rank: takeoverRank(status, d.options.HostID), Stopping: stopping, HasCounts: d.options.Usage.HasUsage}
}

// waitFor waits until a time of the steady clock, a change of the record or another state. Once ctx has
// ended it waits at most stopPollInterval.
func (d *Duties) waitFor(ctx context.Context, changed, replaced <-chan struct{}, until time.Duration) {
	if ctx.Err() != nil {
		wait.For(context.WithoutCancel(ctx), min(max(until-steady.Now(), 0), stopPollInterval))
		return
	}
	timer := time.NewTimer(until - steady.Now())
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-changed:
	case <-replaced:
	case <-timer.C:
	}
}

// stopPollInterval is how soon a host that stops notices that its release was applied.
const stopPollInterval = 20 * time.Millisecond
