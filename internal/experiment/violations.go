package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

const (
	startRecordTolerance = 100 * time.Millisecond // between a router's choice of an endpoint and the endpoint's record
	drainGrace           = 3 * time.Second        // new requests within this time of the start of a drain are no violations
)

// DrainPeriod is an interval in which an endpoint was to receive no new requests.
type DrainPeriod struct {
	Endpoint string
	From     time.Time
	To       time.Time // zero: until the end of the run
}

// RevisionSample is the configuration revision that one process reported.
type RevisionSample struct {
	At       time.Time
	Process  string
	Revision uint64
}

// Observation holds the measurements of one run: what the callers received,
// what the stand-ins recorded, and what the processes reported.
type Observation struct {
	Started          time.Time
	Ended            time.Time
	StarvationWindow time.Duration
	Calls            []*Call
	EndpointRecords  []EndpointRecords
	Drains           []DrainPeriod
	Revisions        []RevisionSample
	TimerLagMicros   *hdrhistogram.Histogram // how late the machine's timers fired; may be nil
}

// Violations counts violations of the system's guarantees. The text report
// prints the field names.
type Violations struct {
	// HigherTierShed counts requests that were refused for capacity or time
	// although, while they waited, an endpoint that could serve them started
	// a request of a lower tier.
	HigherTierShed int `json:"higher_tier_shed"`
	// Starved counts the windows in which a class completed no request while
	// one of its requests waited for its first token throughout, and the
	// requests that reached their deadline without a token or a refusal.
	Starved int `json:"starved"`
	// WrongAnswer counts calls that received anything but a prefix of their answer.
	WrongAnswer int `json:"wrong_answer"`
	// PartialAnswer counts incomplete answers that ended without an error.
	PartialAnswer int `json:"partial_answer"`
	// FalseNotRun counts calls that were told not-run although the request ran.
	FalseNotRun int `json:"false_not_run"`
	// DoubleRun counts protected requests that ran more than once.
	DoubleRun int `json:"double_run"`
	// WorkAfterLeave counts requests that reached a draining endpoint more
	// than drainGrace after its drain started.
	WorkAfterLeave int `json:"work_after_leave"`
	// CutInFlight counts requests that were running at an endpoint when its
	// drain started, did not complete there, and whose caller waited to the end
	// without getting a complete answer.
	CutInFlight int `json:"cut_in_flight"`
	// RevertedRevision counts samples of a process with an older configuration
	// revision than it reported before.
	RevertedRevision int `json:"reverted_revision"`
}

// Total returns the sum of all counts.
func (v Violations) Total() int {
	return v.HigherTierShed + v.Starved + v.WrongAnswer + v.PartialAnswer + v.FalseNotRun +
		v.DoubleRun + v.WorkAfterLeave + v.CutInFlight + v.RevertedRevision
}

type violationCounter struct {
	observation *Observation
	callByKey   map[string]*Call // first copy of each request, by record key
	runsByKey   map[string]int   // over all endpoints, by record key
}

// CountViolations counts the violations of one run.
func CountViolations(o *Observation) Violations {
	c := &violationCounter{observation: o, callByKey: map[string]*Call{}, runsByKey: map[string]int{}}
	for _, call := range o.Calls {
		if call.CopyIndex == 0 {
			c.callByKey[call.Request.RecordKey] = call
		}
	}
	for _, e := range o.EndpointRecords {
		for key, n := range e.Records.Runs {
			c.runsByKey[key] += n
		}
	}
	v := Violations{
		HigherTierShed:   c.countHigherTierShed(),
		Starved:          c.countStarved(),
		DoubleRun:        c.countDoubleRun(),
		WorkAfterLeave:   c.countWorkAfterLeave(),
		CutInFlight:      c.countCutInFlight(),
		RevertedRevision: c.countRevertedRevision(),
	}
	c.countAnswerViolations(&v)
	return v
}

// countAnswerViolations counts the violations in what the callers received.
func (c *violationCounter) countAnswerViolations(v *Violations) {
	for _, call := range c.observation.Calls {
		switch {
		case call.Content == ContentWrong:
			v.WrongAnswer++
		case call.Outcome == OutcomeNormal && call.Content == ContentPartial:
			v.PartialAnswer++
		case call.Outcome == OutcomeNotRun && c.runsByKey[call.Request.RecordKey] > 0:
			v.FalseNotRun++
		}
	}
}

func (c *violationCounter) countDoubleRun() int {
	n := 0
	for key, call := range c.callByKey {
		if call.Request.IdempotencyKey != "" && c.runsByKey[key] > 1 {
			n++
		}
	}
	return n
}

// requestStart is the start of one request at an endpoint.
type requestStart struct {
	startedAt time.Time
	tier      int
}

// startsByTarget returns the starts of each model or service, ordered by time.
func (c *violationCounter) startsByTarget() map[string][]requestStart {
	starts := map[string][]requestStart{}
	for _, e := range c.observation.EndpointRecords {
		for i := range e.Records.Requests {
			rec := &e.Records.Requests[i]
			if call := c.callByKey[rec.Key]; call != nil {
				starts[e.Serves] = append(starts[e.Serves], requestStart{startedAt: rec.ReceivedAt, tier: int(call.Request.Class.Tier)})
			}
		}
	}
	for _, list := range starts {
		sort.Slice(list, func(i, k int) bool { return list[i].startedAt.Before(list[k].startedAt) })
	}
	return starts
}

func (c *violationCounter) countHigherTierShed() int {
	starts := c.startsByTarget()
	n := 0
	for _, call := range c.observation.Calls {
		if call.Outcome == OutcomeNotRun && isCapacityRefusal(call.Refusal) && lowerTierStarted(starts[call.Request.Target], call) {
			n++
		}
	}
	return n
}

// isCapacityRefusal reports whether a request was refused for lack of capacity
// or time, and not for a reason of its own, such as a limit of its workspace.
func isCapacityRefusal(r dispatch.ErrorType) bool {
	switch r {
	case dispatch.Overloaded, dispatch.PatienceExceeded, dispatch.Preempted, dispatch.DeadlineExceeded:
		return true
	}
	return false
}

// lowerTierStarted reports whether a request of a lower tier (a higher number)
// started while the call waited.
func lowerTierStarted(starts []requestStart, call *Call) bool {
	from, to := call.ScheduledAt.Add(startRecordTolerance), call.EndedAt.Add(-startRecordTolerance)
	first := sort.Search(len(starts), func(i int) bool { return starts[i].startedAt.After(from) })
	for _, s := range starts[first:] {
		if !s.startedAt.Before(to) {
			return false
		}
		if s.tier > int(call.Request.Class.Tier) {
			return true
		}
	}
	return false
}

// countStarved counts the windows in which a class was starved, and the calls
// that timed out before their first token.
func (c *violationCounter) countStarved() int {
	classes := map[string][]*Call{}
	n := 0
	for _, call := range c.observation.Calls {
		name := call.Request.Class.Name
		classes[name] = append(classes[name], call)
		if call.Outcome == OutcomeTimedOut && call.FirstTokenDelay == 0 {
			n++
		}
	}
	for _, calls := range classes {
		for from := c.observation.Started; from.Before(c.observation.Ended); from = from.Add(c.observation.StarvationWindow) {
			if starvedInWindow(calls, from, from.Add(c.observation.StarvationWindow)) {
				n++
			}
		}
	}
	return n
}

// starvedInWindow reports whether one of the calls waited throughout the window
// and none completed in it.
func starvedInWindow(calls []*Call, from, to time.Time) bool {
	waited := false
	for _, call := range calls {
		if call.gotCompleteAnswer() && !call.EndedAt.Before(from) && call.EndedAt.Before(to) {
			return false
		}
		waited = waited || !call.ScheduledAt.After(from) && !call.waitEndedAt().Before(to)
	}
	return waited
}

func (c *violationCounter) countWorkAfterLeave() int {
	n := 0
	c.forEachDrainedRequest(func(drain DrainPeriod, rec *standin.RequestRecord) {
		if rec.ReceivedAt.After(drain.From.Add(drainGrace)) && (drain.To.IsZero() || rec.ReceivedAt.Before(drain.To)) {
			n++
		}
	})
	return n
}

func (c *violationCounter) countCutInFlight() int {
	n := 0
	c.forEachDrainedRequest(func(drain DrainPeriod, rec *standin.RequestRecord) {
		running := rec.ReceivedAt.Before(drain.From) && (rec.EndedAt.IsZero() || rec.EndedAt.After(drain.From))
		call := c.callByKey[rec.Key]
		if running && rec.Outcome != standin.OutcomeCompleted && call != nil && !call.gotCompleteAnswer() && call.Outcome != OutcomeTimedOut {
			n++
		}
	})
	return n
}

// forEachDrainedRequest calls visit with each drain period and each request that
// the drained endpoint recorded, at whatever time.
func (c *violationCounter) forEachDrainedRequest(visit func(DrainPeriod, *standin.RequestRecord)) {
	for _, drain := range c.observation.Drains {
		for _, e := range c.observation.EndpointRecords {
			if e.Name != drain.Endpoint {
				continue
			}
			for i := range e.Records.Requests {
				visit(drain, &e.Records.Requests[i])
			}
		}
	}
}

func (c *violationCounter) countRevertedRevision() int {
	newest := map[string]uint64{}
	n := 0
	for _, s := range c.observation.Revisions {
		if s.Revision < newest[s.Process] {
			n++
		}
		newest[s.Process] = max(newest[s.Process], s.Revision)
	}
	return n
}
