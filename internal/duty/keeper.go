package duty

import (
	"math"
	"time"
)

// Times of the decisions.
const (
	rankStagger       = 500 * time.Millisecond // between the takeovers of two hosts
	firstBackoff      = 250 * time.Millisecond // doubles with each failure
	maxBackoff        = 2 * time.Second
	collectInterval   = 250 * time.Millisecond // until an incomplete collection is repeated
	maxWait           = time.Second            // a step of the wall clock is noticed so soon
	rememberProposals = 16
)

// Config is what a Keeper is made with.
type Config struct {
	Host     uint64 // this host's ID in the replicated log
	HostName string // at most MaxHostNameBytes
	Life     uint64 // random number of this process, not 0

	Lease        time.Duration // how long a command of the holder that was applied allows calls
	CallTimeout  time.Duration // of one call out, from MayCall to the reset of its connection
	Margin       time.Duration // for the rates of clocks and the way of a call
	Reuse        time.Duration // a host that held the duties before another one makes no call for so long
	CallInterval time.Duration // between two calls out at least

	WindowLength time.Duration // windows are counted from the start of 1970
	Due          time.Duration // a report is due so long after its window's end
	SettleDelay  time.Duration // counts are collected so long after their window's end
}

// Clocks are the readings of a host's clocks at one time.
type Clocks struct {
	Boot time.Duration // goes on while the host is suspended, isn't set
	Wall time.Time     // names windows; a step delays or hastens reports, and breaks no rule
}

// Inputs are what a decision goes by besides the record.
type Inputs struct {
	IsLeader bool // of the replicated log
	Rank     int  // of this host among the control hosts that aren't the leader, from 1
	Stopping bool // the process ends; the duties are released
	// HasCounts reports whether this host knows of requests in a window. It may be nil.
	HasCounts func(window uint64) bool
	// Orders are the numbers of endpoints that this host would order.
	Orders []WantedOrder
}

// ActionKind tells what a shell does next.
type ActionKind uint8

// Kinds of actions.
const (
	Wait    ActionKind = iota // until Until, a change of the record, or Stopping
	Propose                   // Command to the log, then Proposed
	Collect                   // the counts of Window from all control hosts, then Collected
	Call                      // the outside, after MayCall, then Called, or CalledForOrder if Order is set
	Stop                      // nothing further: the duties were released, or aren't held
)

// Action is what a shell does next, one at a time.
type Action struct {
	Kind     ActionKind
	Until    time.Duration // Wait: time of the boot clock
	Command  []byte        // Propose
	Why      string        // Propose: for a log line
	Window   uint64        // Collect, Call for a report
	Token    uint64        // Call
	Counts   []byte        // Call for a report: of EncodeCounts
	Order    *Order        // Call for an order; nil otherwise
	Deadline time.Duration // Call: time of the boot clock at which it is reset
	GivenUp  []GivenUp     // any kind: each once, for a log line
}

// GivenUp is a window whose report wasn't delivered while it was due. One that the outside refused
// (CallRefused) isn't among them.
type GivenUp struct {
	Window uint64
	Agreed bool // its counts were agreed, but not delivered
}

// CallResult is how a call out ended.
type CallResult uint8

// Results of calls.
const (
	CallDelivered CallResult = iota // the outside accepted it
	CallFailed                      // no answer, a time-out, a reset, an error of the outside
	CallBusy                        // the outside asks for fewer calls
	CallRefused                     // the outside will not accept it
	CallNotSent                     // MayCall was false; no bytes left
)

// Keeper decides for one control host. It is not safe for concurrent use.
type Keeper struct {
	config Config
	record Record

	lease      lease
	proposals  proposals
	calls      calls
	collection collection
	orders     orders

	pendingSince time.Duration   // boot time at which this holder got something to do, or renewed
	pending      bool            // pendingSince is set
	empty        map[uint64]bool // collected windows without counts, while no window was agreed
	givenUpTo    uint64          // windows below were named as given up
}

// NewKeeper returns the keeper of a process that starts at a time of the boot clock. The
// configuration was validated.
func NewKeeper(config Config, boot time.Duration) *Keeper {
	return &Keeper{
		config: config,
		lease:  lease{startedAt: boot, changedAt: boot},
		calls:  calls{results: map[uint64]Outcome{}},
		empty:  map[uint64]bool{},
		orders: orders{results: map[uint64]Outcome{}},
	}
}

// Observe takes over the record that this host has applied. It is to be called soon after each
// change: a takeover of the duties counts from here. The clock is read after the record.
func (k *Keeper) Observe(boot time.Duration, record Record) {
	if record.Holding != k.record.Holding {
		k.lease.changedAt = boot
	}
	k.record = record
	k.orders.observe(boot, &record)
	if _, holds := k.Holds(); !holds {
		k.pending, k.collection = false, collection{}
		return
	}
	k.observeOwn(boot, record.Holding)
}

// Holds reports whether the applied record names this process as the holder, and its token.
func (k *Keeper) Holds() (token uint64, holds bool) {
	h := k.record.Holding
	return h.Token, h.Held() && h.Host == k.config.Host && h.Life == k.config.Life
}

// Next returns the next action. Proposed, Collected or Called ends one of these kinds. The clocks
// are read before: a lease counts from their reading.
func (k *Keeper) Next(now Clocks, in Inputs) Action {
	_, holds := k.Holds()
	k.noteUndoneOrders(now.Boot, in.Orders)
	switch {
	case in.Stopping && !holds:
		return Action{Kind: Stop}
	case in.Stopping:
		return k.releaseDuties(now)
	case !holds:
		return k.nextWithoutDuties(now, in)
	}
	action := k.nextAsHolder(now, in)
	action.GivenUp = k.namesGivenUp(now)
	return action
}

// releaseDuties makes no further call possible and proposes the release.
func (k *Keeper) releaseDuties(now Clocks) Action {
	k.lease.released = true
	return k.propose(now, "the process stops", EncodeRelease)
}

// nextAsHolder reports windows first, and orders endpoints while no report can be sent.
func (k *Keeper) nextAsHolder(now Clocks, in Inputs) Action {
	open := k.openWindows(now, func(w uint64) bool { return !k.empty[w] })
	if len(open) == 0 && !k.orders.undone {
		k.pending = false
		return k.endOverdue(now)
	}
	if !k.pending {
		k.pending, k.pendingSince = true, now.Boot
	}
	action := k.nextUsage(now, open)
	if action.Kind != Wait {
		return action
	}
	until := action.Until
	if k.orders.undone {
		if action = k.nextOrder(now, in.Orders); action.Kind != Wait {
			return action
		}
		until = min(until, action.Until)
	}
	if action = k.endOverdue(now); action.Kind != Wait {
		return action
	}
	return k.keepDuties(now, until)
}

// nextUsage reports the oldest window, and collects and agrees younger ones meanwhile.
func (k *Keeper) nextUsage(now Clocks, open []uint64) Action {
	until := k.nextWindowAt(now)
	if len(open) == 0 {
		return Action{Kind: Wait, Until: until}
	}
	if w, agreed := k.record.Window(open[0]); agreed {
		action := k.nextReport(now, w)
		if action.Kind != Wait {
			return action
		}
		until = min(until, action.Until)
	}
	for _, number := range open {
		if _, agreed := k.record.Window(number); agreed {
			continue
		}
		action := k.nextAgreement(now, number)
		if action.Kind != Wait {
			return action
		}
		until = min(until, action.Until)
		break
	}
	return Action{Kind: Wait, Until: until}
}

// endOverdue ends agreed reports that are long too late, so that their counts aren't kept.
func (k *Keeper) endOverdue(now Clocks) Action {
	for _, w := range k.record.Windows {
		if w.Outcome == Open && now.Wall.Sub(k.windowEnd(w.Number)) > 2*k.config.Due {
			return k.proposeSettle(now, w.Number, Abandoned)
		}
	}
	return Action{Kind: Wait, Until: k.nextWindowAt(now)}
}

// nextReport calls out for an agreed window, or settles its report.
func (k *Keeper) nextReport(now Clocks, w Window) Action {
	if outcome, known := k.calls.results[w.Number]; known {
		return k.proposeSettle(now, w.Number, outcome)
	}
	action := k.nextCall(now)
	if action.Kind == Call {
		action.Window, action.Counts = w.Number, w.Counts
	}
	return action
}

// nextCall calls out, or renews the lease that a call needs. The caller adds what is sent.
func (k *Keeper) nextCall(now Clocks) Action {
	if wait := max(k.calls.notBefore, k.callsFrom()); now.Boot < wait {
		return Action{Kind: Wait, Until: wait}
	}
	if !k.MayCall(now.Boot) {
		if wait := k.calls.renewNotBefore; now.Boot < wait {
			return Action{Kind: Wait, Until: wait}
		}
		action := k.propose(now, "a call needs a fresh lease", EncodeRenew)
		if action.Kind == Propose {
			k.calls.renewed(now.Boot)
		}
		return action
	}
	return Action{Kind: Call, Token: k.record.Holding.Token, Deadline: now.Boot + k.config.CallTimeout}
}

// nextAgreement collects the counts of a window and proposes what is reported of it.
func (k *Keeper) nextAgreement(now Clocks, number uint64) Action {
	c := &k.collection
	switch {
	case c.window == number && c.ready:
		counts := EncodeCounts(c.counts)
		return k.propose(now, "the counts of a window are collected", func(h Holdership) []byte {
			return EncodeAgreeUsage(h, number, counts)
		})
	case c.window == number && now.Boot < c.nextAt:
		return Action{Kind: Wait, Until: c.nextAt}
	}
	return Action{Kind: Collect, Window: number}
}

func (k *Keeper) proposeSettle(now Clocks, number uint64, outcome Outcome) Action {
	why := "a report was delivered"
	if outcome == Abandoned {
		why = "a report is abandoned"
	}
	return k.propose(now, why, func(h Holdership) []byte { return EncodeSettleUsage(h, number, outcome) })
}

// keepDuties renews a lease that no longer allows a call, while this holder waits with something
// to do: other hosts would take the duties over.
func (k *Keeper) keepDuties(now Clocks, until time.Duration) Action {
	renewAt := max(k.callsUntil()+1, k.pendingSince+k.config.Lease/2)
	if now.Boot >= renewAt {
		if action := k.propose(now, "a report waits", EncodeRenew); action.Kind == Propose {
			k.pendingSince = now.Boot
			return action
		}
		renewAt = k.proposals.notBefore
	}
	return Action{Kind: Wait, Until: min(until, renewAt)}
}

// nextWithoutDuties takes the duties over once there is something to do that their holder leaves
// undone.
func (k *Keeper) nextWithoutDuties(now Clocks, in Inputs) Action {
	open := k.openWindows(now, func(w uint64) bool {
		return in.HasCounts != nil && in.HasCounts(w)
	})
	at, why := time.Duration(math.MaxInt64), "a report is left undone"
	if len(open) > 0 {
		at = k.acquireAt(now.Boot+k.windowEnd(open[0]).Add(k.config.SettleDelay).Sub(now.Wall), in)
	}
	if k.orders.undone {
		if orderAt := k.acquireAt(k.orders.undoneSince, in); orderAt < at {
			at, why = orderAt, "an order of endpoints is left undone"
		}
	}
	if now.Boot < at {
		return Action{Kind: Wait, Until: min(at, k.nextWindowAt(now))}
	}
	seen := k.record.Holding
	return k.propose(now, why, func(h Holdership) []byte {
		return EncodeAcquire(k.config.Host, k.config.HostName, h.Life, h.Stamp, seen)
	})
}
