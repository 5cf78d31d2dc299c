package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// runStreams runs urgent streams of 40 events at each of the endpoints. Of the gaps of each stream, one in
// missEvery misses the gap target, none if it is 0. It returns the time at the end.
func runStreams(t *Table, missEvery map[string]int, streams int) time.Time {
	now := epoch
	var attempts []*Attempt
	var every []int
	for id, n := range missEvery {
		for range streams {
			attempts, every = append(attempts, t.RecordSent(now, urgentStream(1), Choice{ID: id})), append(every, n)
		}
	}
	last := make([]time.Time, len(attempts))
	for event := range 40 {
		now = now.Add(20 * time.Millisecond)
		for i, a := range attempts {
			at := now
			if every[i] > 0 && event > 0 && (event+i)%every[i] == 0 {
				at = last[i].Add(a.request.GapTarget + 70*time.Millisecond) // a retransmission
			}
			if event == 0 {
				t.RecordFirstEvent(at, a, ReportedLoad{})
			}
			t.RecordEvent(at, a)
			last[i] = at
		}
	}
	for _, a := range attempts {
		t.RecordEnd(now, a, Succeeded, ReportedLoad{})
	}
	return now
}

// One gap in twenty is too long on the way from another failure domain, where packets are lost: urgent
// streams stay in their own unless it is far busier, and return within seconds after the losses.
func TestUrgentStreamsAvoidALossyPath(t *testing.T) {
	g := NewWithT(t)
	table := newReportingFleet("a", 4)
	missEvery := map[string]int{}
	for id, e := range table.endpoints {
		missEvery[id] = 0
		if e.FailureDomain == "b" {
			missEvery[id] = 20
		}
	}
	now := runStreams(table, missEvery, 3)
	cost := func(domain string, at time.Time) time.Duration {
		r := urgentStream(2)
		r.urgent = true
		in := table.newChoiceInputs(at, &r)
		for _, e := range table.services["llm"] {
			if e.FailureDomain == domain {
				return table.pauseCost(e, &in)
			}
		}
		t.Fatalf("no endpoint in %s", domain)
		return 0
	}
	g.Expect(cost("b", now)).To(BeNumerically(">", 100*time.Millisecond), "most streams would miss their gap target")
	g.Expect(cost("a", now)).To(BeNumerically("<", 10*time.Millisecond))
	g.Expect(cost("c", now)).To(BeNumerically("<", 10*time.Millisecond))
	g.Expect(cost("b", now.Add(15*time.Second))).To(BeNumerically("<", cost("b", now)/2))
}

// One engine of twelve pauses too long, though its first events are in time: urgent streams avoid it.
func TestUrgentStreamsAvoidAnEngineThatPauses(t *testing.T) {
	g := NewWithT(t)
	table := newReportingFleet("a", 4)
	missEvery := map[string]int{}
	for id := range table.endpoints {
		missEvery[id] = 0
	}
	missEvery["a0"] = 10
	now := runStreams(table, missEvery, 3)
	for session := range uint64(40) {
		c, _ := chooseAndSend(g, table, now, urgentStream(session))
		g.Expect(c.ID).NotTo(Equal("a0"))
	}
}

// A single long gap of a single stream, of which nothing else is known, says little.
func TestASingleLongGapSaysLittle(t *testing.T) {
	g := NewWithT(t)
	table := newReportingFleet("a", 4)
	a := table.RecordSent(epoch, urgentStream(1), Choice{ID: "a0"})
	table.RecordEvent(epoch, a)
	table.RecordEvent(epoch.Add(time.Second), a)
	table.RecordEvent(epoch.Add(time.Second+10*time.Millisecond), a)
	r := urgentStream(2)
	r.urgent = true
	in := table.newChoiceInputs(epoch.Add(time.Second), &r)
	g.Expect(table.pauseCost(table.endpoints["a0"], &in)).To(BeNumerically("<=", r.LatencyTarget))
	for _, id := range []string{"a1", "b0"} {
		g.Expect(table.pauseCost(table.endpoints[id], &in)).To(BeNumerically("<", 10*time.Millisecond), id)
	}
	other := longPrompt(1, 1000)
	in = table.newChoiceInputs(epoch, &other)
	g.Expect(table.pauseCost(table.endpoints["a0"], &in)).To(BeZero(), "streams that bear long gaps pay nothing")
}
