package balance

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/directory"
)

// smallEngine returns an endpoint of the service "llm" that runs 16 requests at once.
func smallEngine(id, domain string) directory.Endpoint {
	e := engine(id, domain)
	e.Slots = 16
	return e
}

// newLargeFleet returns the table of an entry in domain a, before 15 small engines in each
// of five failure domains whose entries all report their load. The shortest gap target is
// that of a commentary.
func newLargeFleet() *Table {
	t := New(testConfig)
	loads := map[string]map[string]InFlightLoad{}
	for _, domain := range []string{"a", "b", "c", "d", "e"} {
		loads[domain] = map[string]InFlightLoad{}
		for i := range 15 {
			t.Update(smallEngine(fmt.Sprintf("%s%d", domain, i), domain), 0)
		}
	}
	t.SetShortestGapTarget("llm", 120*time.Millisecond)
	t.SetTokensPerEvent("llm", 7)
	setPeerLoads(t, epoch, loads)
	return t
}

// commentary is an urgent stream with a shorter gap target than that of a note.
func commentary(session uint64) Request {
	r := urgentStream(session)
	r.GapTarget = 120 * time.Millisecond
	return r
}

// note is a request with a short prompt whose gap target is short, but not the shortest.
func note(session uint64) Request {
	nextPartID++
	return Request{Service: "llm", PromptTokens: 2400, ExpectedOutputTokens: 22, BodyBytes: 2400, Urgency: 4, RouteRank: 1, LatencyTarget: 300 * time.Millisecond, GapTarget: 200 * time.Millisecond,
		Parts: []PromptPart{{ID: 7000 + session%8, Tokens: 340}, {ID: 8000 + session, Tokens: 230}, {ID: nextPartID, Tokens: 1830}}}
}

// A gap target that is short in itself does not make a stream urgent beside others of the
// service with a much shorter one.
func TestUrgencyIsRelativeToTheService(t *testing.T) {
	g := NewWithT(t)
	table := newLargeFleet()
	urgent := func(r Request) bool { return table.isUrgent(&r) }
	g.Expect(urgent(commentary(1))).To(BeTrue())
	g.Expect(urgent(note(1))).To(BeFalse())
	g.Expect(urgent(longPrompt(1, 100))).To(BeFalse())
	table.SetShortestGapTarget("llm", 200*time.Millisecond)
	g.Expect(urgent(note(1))).To(BeTrue())
}

// Engines of 16 slots need more reserved ones than engines of 64 for the same number of
// urgent streams.
func TestReservedEnginesFollowTheirSlots(t *testing.T) {
	g := NewWithT(t)
	reservedOf := func(table *Table) (count int) {
		for _, e := range table.services["llm"] {
			if e.reserved {
				count++
			}
		}
		return count
	}
	table := newLargeFleet()
	loads := map[string]map[string]InFlightLoad{"a": {}, "b": {}, "c": {}, "d": {}, "e": {}}
	for i := range uint64(70) {
		_, _ = chooseAndSend(g, table, epoch, commentary(i))
	}
	setPeerLoads(table, epoch, loads)
	small := reservedOf(table)
	g.Expect(small).To(BeNumerically(">=", 70/16+1), "70 streams need at least this many engines of 16 slots")
	g.Expect(small).To(BeNumerically("<=", 5*15/maxReservedDivisorAtRisk))
	for _, e := range table.services["llm"] {
		larger := e.Endpoint
		larger.Slots = 64
		table.Update(larger, 0)
	}
	setPeerLoads(table, epoch.Add(time.Minute), loads)
	setPeerLoads(table, epoch.Add(2*time.Minute), loads)
	g.Expect(reservedOf(table)).To(BeNumerically("<", small))
}

// What a prompt costs the urgent streams of an engine depends on whether its prefill
// makes them miss their gap target: one chunk does not, a whole event's worth does.
func TestPrefillThatBreaksAGapTargetCosts(t *testing.T) {
	g := NewWithT(t)
	table := newLargeFleet()
	cost := func(pending, tokens int) time.Duration {
		return table.model("llm").missedGapCost(demand{running: 12, prefillTokens: pending}, tokens)
	}
	g.Expect(cost(0, 1000)).To(BeZero())
	g.Expect(cost(0, 9000)).To(And(BeNumerically(">", missedGapCost/2), BeNumerically("<=", missedGapCost)))
	g.Expect(cost(8000, 1000)).To(Equal(cost(0, 9000)), "prompts that wait there add up")
	g.Expect(cost(0, 6000)).To(And(BeNumerically(">", 0), BeNumerically("<", missedGapCost/2)))
	table.SetShortestGapTarget("llm", 100*time.Millisecond)
	g.Expect(cost(0, 9000)).To(Equal(missedGapCost))
	table.SetShortestGapTarget("llm", 600*time.Millisecond)
	g.Expect(cost(0, 9000)).To(BeZero())
	table.SetShortestGapTarget("llm", 0)
	g.Expect(cost(0, 9000)).To(BeZero(), "no stream has a gap target")
}

// Every engine takes 60 ms for any first event, beside what its load explains. That time
// is learned: it neither counts as slowness of the endpoints nor as load, so that nothing
// is refused while they are idle.
func TestFixedTimeOfAFirstEventIsLearned(t *testing.T) {
	g := NewWithT(t)
	table := newLargeFleet()
	const fixed = 60 * time.Millisecond
	now := epoch
	for i := range uint64(300) {
		r := note(i)
		if i%3 == 0 {
			r = longPrompt(i, 2000)
			r.RouteRank, r.LatencyTarget = 2, time.Second
		}
		c, a := chooseAndSend(g, table, now, r)
		took := fixed + c.ExpectedWait - c.Overhead
		table.RecordFirstEvent(now.Add(took), a, ReportedLoad{})
		table.RecordEnd(now.Add(took), a, Succeeded, ReportedLoad{})
		now = now.Add(100 * time.Millisecond)
	}
	c, err := table.Choose(now, note(1000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Overhead).To(BeNumerically("~", fixed, 10*time.Millisecond))
	g.Expect(table.currentWaitFactor(now, "llm")).To(BeNumerically("<", 1.2))
	for _, e := range table.services["llm"] {
		g.Expect(e.currentSlowdown(now)).To(BeNumerically("<", 1.5), e.ID)
	}
}

// A refused connection shows that no process listens, so one of them ejects an endpoint;
// a failed request may have other causes.
func TestUnreachableEndpointIsEjectedAtOnce(t *testing.T) {
	g := NewWithT(t)
	table := newLargeFleet()
	c, a := chooseAndSend(g, table, epoch, commentary(1))
	table.RecordEnd(epoch, a, Unreachable, ReportedLoad{})
	g.Expect(table.endpoints[c.ID].ejection.admits(epoch.Add(time.Millisecond))).To(BeFalse())
	c, a = chooseAndSend(g, table, epoch, commentary(2))
	table.RecordEnd(epoch, a, Failed, ReportedLoad{})
	g.Expect(table.endpoints[c.ID].ejection.admits(epoch.Add(time.Millisecond))).To(BeTrue())
	// Not more than maxEjectedFraction of the endpoints are ejected.
	for range 200 {
		_, a := chooseAndSend(g, table, epoch, commentary(3))
		table.RecordEnd(epoch, a, Unreachable, ReportedLoad{})
	}
	ejected := 0
	for _, e := range table.services["llm"] {
		if !e.ejection.admits(epoch.Add(time.Millisecond)) {
			ejected++
		}
	}
	g.Expect(ejected).To(BeNumerically("<=", maxEjectedFraction*75+1))
}

// 70 entries know of each other's choices only after 200 ms. Within that time they get 80
// short prompts of different sessions, and must not send all of them to the one engine that
// has a little less load than the others.
func TestEntriesWithOldReportsDoNotChooseTheSameEngine(t *testing.T) {
	g := NewWithT(t)
	const entries, requests = 70, 80
	busy := map[string]InFlightLoad{}
	for i := range 15 {
		busy[fmt.Sprint("a", i)] = InFlightLoad{Running: 4}
	}
	delete(busy, "a3")
	tables := make([]*Table, entries)
	for i := range entries {
		tables[i] = newLargeFleet()
		setPeerLoads(tables[i], epoch, map[string]map[string]InFlightLoad{"a": busy, "b": {}, "c": {}, "d": {}, "e": {}})
	}
	counts := map[string]int{}
	for i := range uint64(requests) {
		r := note(i)
		r.Parts = r.Parts[2:] // nothing is shared
		c, err := tables[i%entries].Choose(epoch, r)
		g.Expect(err).NotTo(HaveOccurred())
		counts[c.ID]++
	}
	for id, count := range counts {
		g.Expect(count).To(BeNumerically("<=", requests/2), "%s of %v", id, counts)
	}
}

// Reserving half of the engines helps only where a long prompt would break the gap targets;
// elsewhere long prompts need the engines.
func TestMoreEnginesAreReservedWherePrefillBreaksGaps(t *testing.T) {
	g := NewWithT(t)
	reservedWith := func(target time.Duration) (count int) {
		table := newLargeFleet()
		table.SetShortestGapTarget("llm", target)
		for i := range uint64(400) {
			_, _ = chooseAndSend(g, table, epoch, commentary(i))
		}
		setPeerLoads(table, epoch, map[string]map[string]InFlightLoad{"a": {}, "b": {}, "c": {}, "d": {}, "e": {}})
		for _, e := range table.services["llm"] {
			if e.reserved {
				count++
			}
		}
		return count
	}
	g.Expect(reservedWith(120 * time.Millisecond)).To(Equal(5 * (15 / maxReservedDivisorAtRisk)))
	g.Expect(reservedWith(190 * time.Millisecond)).To(Equal(5 * (15 / maxReservedDivisor)))
}
