package experiment

import (
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

const (
	startGrace = 100 * time.Millisecond // from a router's choice to the engine's record
	leaveGrace = 3 * time.Second        // until a leaving endpoint gets no new work
)

// Leave is a time in which an endpoint was told to take no new work.
type Leave struct {
	Endpoint string
	From     time.Time
	To       time.Time // zero: until the end
}

// RevisionSample is what one process said of its configuration.
type RevisionSample struct {
	At       time.Time
	Process  string
	Revision uint64
}

// Observation is all that was seen of one run: the callers' side and the
// stand-ins' records.
type Observation struct {
	Started          time.Time
	Ended            time.Time
	StarvationWindow time.Duration
	Calls            []*Call
	Endpoints        []EndpointRecords
	Leaves           []Leave
	Revisions        []RevisionSample
	Lag              *hdrhistogram.Histogram // of the machine's timers, in microseconds; may be nil
}

// Violations counts what must never happen.
type Violations struct {
	// HigherTierShed counts requests that were refused although, while they
	// waited, an endpoint that could serve them began one of a lower tier.
	HigherTierShed int `json:"higher_tier_shed"`
	// Starved counts the windows in which a class had a request waiting for
	// its first token all the time and finished none, and the requests that waited out their
	// deadline untold.
	Starved int `json:"starved"`
	// WrongAnswer counts callers that got something of another answer.
	WrongAnswer int `json:"wrong_answer"`
	// PartialAnswer counts partial answers that ended as whole ones do.
	PartialAnswer int `json:"partial_answer"`
	// FalseNotRun counts callers told not-run of something that ran.
	FalseNotRun int `json:"false_not_run"`
	// DoubleRun counts protected requests that ran more than once.
	DoubleRun int `json:"double_run"`
	// WorkAfterLeave counts requests that reached an endpoint that had been
	// leaving for more than a few seconds.
	WorkAfterLeave int `json:"work_after_leave"`
	// CutInFlight counts requests that ran at an endpoint when it was told to
	// leave and did not reach their waiting caller whole.
	CutInFlight int `json:"cut_in_flight"`
	// RevertedRevision counts processes seen at an older configuration than
	// they had before.
	RevertedRevision int `json:"reverted_revision"`
}

// Total is the sum of all.
func (v Violations) Total() int {
	return v.HigherTierShed + v.Starved + v.WrongAnswer + v.PartialAnswer + v.FalseNotRun +
		v.DoubleRun + v.WorkAfterLeave + v.CutInFlight + v.RevertedRevision
}

// counter counts the violations of one observation.
type counter struct {
	o     *Observation
	byKey map[string]*Call // first call of each key
	runs  map[string]int   // runs of each key over all endpoints
}

// Count counts all violations.
func Count(o *Observation) Violations {
	c := &counter{o: o, byKey: map[string]*Call{}, runs: map[string]int{}}
	for _, call := range o.Calls {
		if call.Copy == 0 {
			c.byKey[call.Arrival.Key] = call
		}
	}
	for _, e := range o.Endpoints {
		for key, n := range e.Records.Runs {
			c.runs[key] += n
		}
	}
	v := Violations{
		HigherTierShed:   c.higherTierShed(),
		Starved:          c.starved(),
		DoubleRun:        c.doubleRun(),
		WorkAfterLeave:   c.workAfterLeave(),
		CutInFlight:      c.cutInFlight(),
		RevertedRevision: c.revertedRevision(),
	}
	c.answers(&v)
	return v
}

// answers counts what the callers got.
func (c *counter) answers(v *Violations) {
	for _, call := range c.o.Calls {
		switch {
		case call.Content == ContentWrong:
			v.WrongAnswer++
		case call.End == EndNormal && call.Content == ContentPartial:
			v.PartialAnswer++
		case call.End == EndNotRun && c.runs[call.Arrival.Key] > 0:
			v.FalseNotRun++
		}
	}
}

func (c *counter) doubleRun() int {
	n := 0
	for key, call := range c.byKey {
		if call.Arrival.Protected != "" && c.runs[key] > 1 {
			n++
		}
	}
	return n
}

// begin is one start at an endpoint.
type begin struct {
	at   time.Time
	tier int
}

// begins gives the starts of each target in order of time.
func (c *counter) begins() map[string][]begin {
	all := map[string][]begin{}
	for _, e := range c.o.Endpoints {
		for i := range e.Records.Arrivals {
			a := &e.Records.Arrivals[i]
			if call := c.byKey[a.Key]; call != nil {
				all[e.Serves] = append(all[e.Serves], begin{at: a.At, tier: int(call.Arrival.Class.Tier)})
			}
		}
	}
	for _, list := range all {
		sort.Slice(list, func(i, k int) bool { return list[i].at.Before(list[k].at) })
	}
	return all
}

func (c *counter) higherTierShed() int {
	begins := c.begins()
	n := 0
	for _, call := range c.o.Calls {
		if call.End == EndNotRun && shedBySystem(call.Refusal) && lowerBegan(begins[call.Arrival.Target], call) {
			n++
		}
	}
	return n
}

// shedBySystem tells a refusal for want of room or time from one that the
// request itself brought about.
func shedBySystem(r dispatch.RefusalType) bool {
	switch r {
	case dispatch.Overloaded, dispatch.PatienceExceeded, dispatch.Preempted, dispatch.DeadlineExceeded:
		return true
	}
	return false
}

// lowerBegan tells whether a request of a lower tier began while call waited.
func lowerBegan(list []begin, call *Call) bool {
	from, to := call.Began.Add(startGrace), call.Ended.Add(-startGrace)
	first := sort.Search(len(list), func(i int) bool { return list[i].at.After(from) })
	for _, b := range list[first:] {
		if !b.at.Before(to) {
			return false
		}
		if b.tier > int(call.Arrival.Class.Tier) {
			return true
		}
	}
	return false
}

// starved counts the windows without a finish and the callers left untold.
func (c *counter) starved() int {
	classes := map[string][]*Call{}
	n := 0
	for _, call := range c.o.Calls {
		name := call.Arrival.Class.Name
		classes[name] = append(classes[name], call)
		if call.End == EndGaveUp && call.First == 0 {
			n++
		}
	}
	for _, calls := range classes {
		for from := c.o.Started; from.Before(c.o.Ended); from = from.Add(c.o.StarvationWindow) {
			if starvedWithin(calls, from, from.Add(c.o.StarvationWindow)) {
				n++
			}
		}
	}
	return n
}

// starvedWithin tells whether one of the calls waited throughout the window
// and none finished in it.
func starvedWithin(calls []*Call, from, to time.Time) bool {
	waited := false
	for _, call := range calls {
		if call.finished() && !call.Ended.Before(from) && call.Ended.Before(to) {
			return false
		}
		waited = waited || !call.Began.After(from) && !call.waitEnded().Before(to)
	}
	return waited
}

func (c *counter) workAfterLeave() int {
	n := 0
	c.eachLeave(func(l Leave, a *standin.Arrival) {
		if a.At.After(l.From.Add(leaveGrace)) && (l.To.IsZero() || a.At.Before(l.To)) {
			n++
		}
	})
	return n
}

func (c *counter) cutInFlight() int {
	n := 0
	c.eachLeave(func(l Leave, a *standin.Arrival) {
		running := a.At.Before(l.From) && (a.Ended.IsZero() || a.Ended.After(l.From))
		call := c.byKey[a.Key]
		if running && a.Outcome != standin.OutcomeWhole && call != nil && !call.finished() && call.End != EndGaveUp {
			n++
		}
	})
	return n
}

// eachLeave visits the requests of every endpoint for each of its leaves.
func (c *counter) eachLeave(visit func(Leave, *standin.Arrival)) {
	for _, l := range c.o.Leaves {
		for _, e := range c.o.Endpoints {
			if e.Name != l.Endpoint {
				continue
			}
			for i := range e.Records.Arrivals {
				visit(l, &e.Records.Arrivals[i])
			}
		}
	}
}

func (c *counter) revertedRevision() int {
	newest := map[string]uint64{}
	n := 0
	for _, s := range c.o.Revisions {
		if s.Revision < newest[s.Process] {
			n++
		}
		newest[s.Process] = max(newest[s.Process], s.Revision)
	}
	return n
}
