package entry

import (
	"context"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/fleet"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	exchangeTimeout = 300 * time.Millisecond
	// minLoadTTL is the least time for which the last response counts, and
	// maxLostResponses how many responses in a row may be lost before it no longer
	// counts. A few lost ones must not change which endpoints prompts are routed to.
	minLoadTTL       = 1200 * time.Millisecond
	maxLostResponses = 3
	// urgentExchangeInterval is the time until broken attempts are reported and permits are
	// requested. Where the load is exchanged less often, it is left out then.
	urgentExchangeInterval = 100 * time.Millisecond
	// streamStartInterval is the longest time until starts of streams are reported. It is shorter
	// than the time to a first event, before which no caller takes a stream up.
	streamStartInterval = 300 * time.Millisecond
	// handOverTimeout is how long a stopping entry tries to hand its usage over. It is shorter than
	// the time in which a host is to stop.
	handOverTimeout = 2 * time.Second
	// maxPendingBroken limits the broken attempts that no control host has acknowledged.
	maxPendingBroken = 256
	// maxPendingPlacements limits the placements, and the served parts, that no control host
	// has acknowledged.
	maxPendingPlacements = 1024
	// maxPendingStarts limits the starts of streams that no control host has acknowledged.
	maxPendingStarts = 8192
)

// LoadExchanger exchanges load between entries.
type LoadExchanger interface {
	// ExchangeLoad sends the load of this entry and returns that of the others.
	ExchangeLoad(ctx context.Context, own fleet.LoadReport) (fleet.LoadReport, error)
	// ExchangeInterval returns the time between two exchanges.
	ExchangeInterval() time.Duration
}

// loadExchange keeps the load of the other entries up to date. It is not safe for
// concurrent use.
type loadExchange struct {
	exchanger         LoadExchanger
	entry             *Entry
	pendingPlacements []balance.PartPlacement
	pendingOutcomes   fleet.AttemptOutcomes
	pendingStarts     []origin.Start // of streams
	judge             *isolatedJudge
	exchangedAt       time.Time // last exchange of load
	reportedAt        time.Time // last exchange of any kind
	lastResponse      fleet.LoadReport
	lastResponseAt    time.Time
	knownDomains      map[string]bool // failure domains whose load is known
	usage             *usageCounter   // nil if usage is not counted
}

// run exchanges load until ctx ends.
func (x *loadExchange) run(ctx context.Context) error {
	x.judge = newIsolatedJudge(time.Now())
	for wait.For(ctx, min(urgentExchangeInterval, x.exchanger.ExchangeInterval())) {
		switch {
		case time.Since(x.exchangedAt) >= x.exchanger.ExchangeInterval():
			x.exchangedAt = time.Now()
			x.exchangeOnce(ctx)
		case x.entry.router.HasBrokenAttempts() || x.entry.router.HasLimitWishes() || x.usage != nil && x.usage.isDue(time.Now()) ||
			time.Since(x.reportedAt) >= streamStartInterval && x.entry.router.HasStreamStarts():
			_, _ = x.exchange(ctx, fleet.LoadReport{Urgent: true}) // logged there
		}
	}
	if x.usage != nil {
		x.handOverUsage(context.WithoutCancel(ctx))
	}
	return nil
}

// handOverUsage ends the windows of this process and reports them until a control host has received
// all, for handOverTimeout at most: a call may fail, and a host that has started anew needs all.
func (x *loadExchange) handOverUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handOverTimeout)
	defer cancel()
	x.usage.close()
	for {
		_, err := x.exchange(ctx, fleet.LoadReport{Urgent: true})
		if !x.usage.hasEnded() {
			return
		}
		if !wait.For(ctx, urgentExchangeInterval) {
			x.entry.options.Logger.Warn("usage not handed over, no control host took it in time", "error", err)
			return
		}
	}
}

// takeOutcomes adds the outcomes of attempts since the last exchange to the pending ones.
func (x *loadExchange) takeOutcomes() {
	taken, pending := x.entry.router.TakeOutcomes(), &x.pendingOutcomes
	outcomes := fleet.AttemptOutcomes{Broken: taken.Broken, ServedAttempts: taken.ServedAttempts}
	for key, sentAt := range taken.Served {
		outcomes.Served = append(outcomes.Served, fleet.ServedKey{Key: key, SentAt: sentAt})
	}
	for endpoint, sentAt := range taken.Responses {
		outcomes.Responses = append(outcomes.Responses, fleet.Response{Endpoint: endpoint, SentAt: sentAt})
	}
	x.judge.add(time.Now(), outcomes)
	pending.Broken = append(pending.Broken, outcomes.Broken...)
	pending.Broken = pending.Broken[max(len(pending.Broken)-maxPendingBroken, 0):]
	if pending.ServedAttempts == nil {
		pending.ServedAttempts = map[string]int{}
	}
	for service, attempts := range outcomes.ServedAttempts {
		pending.ServedAttempts[service] += attempts
	}
	pending.Served = append(pending.Served, outcomes.Served...)
	pending.Served = pending.Served[max(len(pending.Served)-maxPendingPlacements, 0):]
	pending.Responses = append(pending.Responses, outcomes.Responses...)
	pending.Responses = pending.Responses[max(len(pending.Responses)-maxPendingBroken, 0):]
}

// exchangeOnce exchanges load once. After a failure the last response still counts for
// a while.
func (x *loadExchange) exchangeOnce(ctx context.Context) {
	x.pendingPlacements = append(x.pendingPlacements, x.entry.router.TakeNewPlacements()...)
	x.pendingPlacements = x.pendingPlacements[max(len(x.pendingPlacements)-maxPendingPlacements, 0):]
	response, err := x.exchange(ctx, fleet.LoadReport{Loads: x.entry.router.InFlightByEndpoint(), Placements: x.pendingPlacements, Cursor: x.lastResponse.Cursor, ClassUses: x.entry.router.TakeClassUses()})
	if err == nil {
		x.entry.router.ApplyClassShares(response.ClassShares.Pressed, response.ClassShares.Excesses)
		if response.Cursor.Incarnation != x.lastResponse.Cursor.Incarnation {
			x.pendingStarts = x.entry.router.TakeStreamStarts(true) // the control host knows none of them
			if x.usage != nil {
				x.usage.forget()
			}
		}
		x.pendingPlacements, x.lastResponse, x.lastResponseAt = nil, response, time.Now()
		x.entry.router.AddPeerPlacements(response.Placements)
	}
	x.entry.router.SetPeerLoads(x.currentLoad(time.Now()))
}

// exchange sends a report with the outcomes of attempts and the permits that this entry wants, and
// applies the permits that it gets.
func (x *loadExchange) exchange(ctx context.Context, report fleet.LoadReport) (fleet.LoadReport, error) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	x.reportedAt = time.Now()
	x.takeOutcomes()
	x.pendingStarts = append(x.pendingStarts, x.entry.router.TakeStreamStarts(false)...)
	x.pendingStarts = x.pendingStarts[max(len(x.pendingStarts)-maxPendingStarts, 0):]
	report.StreamStarts = x.pendingStarts
	if x.usage != nil {
		report.Usage = x.usage.take(time.Now())
	}
	report.Outcomes, report.LimitWishes = x.pendingOutcomes, x.entry.router.TakeLimitWishes(!report.Urgent)
	response, err := x.exchanger.ExchangeLoad(ctx, report)
	if err != nil {
		x.entry.options.Logger.Debug("exchange of load failed", "error", err)
		if time.Since(x.lastResponseAt) > minLoadTTL {
			x.entry.router.GrantFallbackPermits(x.entry.EntryCount())
		}
	} else {
		x.pendingOutcomes, x.pendingStarts = fleet.AttemptOutcomes{}, nil
		x.entry.router.ApplyLimitGrants(response.LimitGrants)
		if x.usage != nil {
			x.usage.received(response.UsageLife)
		}
	}
	x.entry.setIsolatedQuarantine(x.judge.decide(time.Now(), err == nil))
	return response, err
}

// currentLoad returns the failure domains whose load is known and the load of their
// entries. It is empty once the last response is too old.
func (x *loadExchange) currentLoad(now time.Time) ([]string, fleet.EndpointLoads) {
	counted := x.lastResponse
	if now.Sub(x.lastResponseAt) > max(minLoadTTL, maxLostResponses*x.exchanger.ExchangeInterval()) {
		counted = fleet.LoadReport{}
	}
	x.logDomainChanges(counted.FailureDomains)
	return counted.FailureDomains, counted.Loads
}

// logDomainChanges logs the failure domains whose load has become known or unknown.
func (x *loadExchange) logDomainChanges(domains []string) {
	known := map[string]bool{}
	for _, domain := range domains {
		known[domain] = true
		if !x.knownDomains[domain] {
			x.entry.options.Logger.Info("load of a failure domain known", "failure_domain", domain)
		}
	}
	for domain := range x.knownDomains {
		if !known[domain] {
			x.entry.options.Logger.Info("load of a failure domain not known", "failure_domain", domain, "age_ms", time.Since(x.lastResponseAt).Milliseconds())
		}
	}
	x.knownDomains = known
}
