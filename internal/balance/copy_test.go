package balance

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/directory"
)

// newCopyFleet returns a table whose engines can cache cacheTokens tokens and copy a
// token from each other in 250 ns. The entries of all domains report their load.
func newCopyFleet(cacheTokens int) *Table {
	t := newFleet(4)
	t.SetCopyTimePerToken("llm", 250*time.Nanosecond)
	t.SetCacheCapacity("llm", cacheTokens)
	setPeerLoads(t, epoch, map[string]map[string]InFlightLoad{"a": nil, "b": nil, "c": nil})
	return t
}

// reportCached reports to a table that an endpoint has cached the shared parts of a
// prompt.
func reportCached(t *Table, now time.Time, id string, r Request) {
	for _, p := range r.Parts[:len(r.Parts)-1] {
		t.AddPeerPlacements(now, []PartPlacement{{Endpoint: EndpointKeyOf(id), Part: p.ID}})
	}
}

// An engine in another failure domain has cached the shared parts of a prompt. The
// prompt must stay in the own domain, where an engine copies the parts instead of
// prefilling them.
func TestPartsCachedInAnotherFailureDomainAreCopied(t *testing.T) {
	g := NewWithT(t)
	table := newCopyFleet(500_000)
	for session := range uint64(40) {
		now := epoch.Add(time.Duration(session) * 100 * time.Millisecond)
		r := longPrompt(session, 2000)
		reportCached(table, now, "b1", r)
		c, a := chooseAndSend(g, table, now, r)
		g.Expect(c.CrossDomain).To(BeFalse())
		g.Expect(c.CopySourceAddress).To(Equal("b1:1"))
		g.Expect(c.PrefillTokens).To(Equal(2000))
		table.RecordFirstEvent(now.Add(60*time.Millisecond), a, ReportedLoad{})
		table.RecordEnd(now.Add(80*time.Millisecond), a, Succeeded, ReportedLoad{})
	}
}

// One session gets many requests. Other engines than the preferred one must copy its
// shared parts from there and not prefill them.
func TestAHotSessionIsCopiedWithinTheFailureDomain(t *testing.T) {
	g := NewWithT(t)
	table, used := newCopyFleet(500_000), map[string]int{}
	preferred, a := chooseAndSend(g, table, epoch, longPrompt(1, 2000))
	table.RecordFirstEvent(epoch, a, ReportedLoad{})
	for range 40 {
		c, _ := chooseAndSend(g, table, epoch.Add(10*time.Millisecond), longPrompt(1, 2000))
		used[c.ID]++
		g.Expect(c.CrossDomain).To(BeFalse())
		g.Expect(c.PrefillTokens).To(Equal(2000))
		if c.ID != preferred.ID && c.CopiedTokens > 0 {
			g.Expect(c.CopySourceAddress).To(Equal(preferred.Address))
		}
	}
	g.Expect(len(used)).To(BeNumerically(">=", 3), "%v", used)
}

// A request that copies waits for the source. An endpoint that fails, drains, failed
// this request, restarted, or still waits for the prompt must not be the source.
func TestOnlyHealthyEndpointsAreCopySources(t *testing.T) {
	g := NewWithT(t)
	r := longPrompt(1, 2000)
	source := func(prepare func(*Table, *Request)) string {
		table, request := newCopyFleet(500_000), r
		reportCached(table, epoch, "b1", r)
		prepare(table, &request)
		c, err := table.Choose(epoch, request)
		g.Expect(err).NotTo(HaveOccurred())
		return c.CopySourceAddress
	}
	g.Expect(source(func(*Table, *Request) {})).To(Equal("b1:1"))
	g.Expect(source(func(t *Table, _ *Request) {
		t.RecordEnd(epoch, t.RecordSent(epoch, urgentStream(1), Choice{ID: "b1"}), Failed, ReportedLoad{})
	})).To(BeEmpty())
	g.Expect(source(func(t *Table, _ *Request) {
		draining := engine("b1", "b")
		draining.State = directory.Draining
		t.Update(draining, 0)
	})).To(BeEmpty())
	g.Expect(source(func(_ *Table, r *Request) { r.TriedEndpoints = []string{"b1"} })).To(BeEmpty())
	g.Expect(source(func(t *Table, _ *Request) {
		restarted := engine("b1", "b")
		restarted.StartedUnixMS = 2
		t.Update(restarted, 0)
	})).To(BeEmpty(), "a new incarnation has an empty cache")
	table := newCopyFleet(500_000)
	table.RecordSent(epoch, r, Choice{ID: "b1"})
	c, err := table.Choose(epoch, r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.CopySourceAddress).To(BeEmpty(), "not prefilled yet")
}

// Overload fills small caches. Parts unused for a while are evicted, so they must be
// neither copied nor counted as cached, and a copy that evicts parts that will be used
// again costs as much as prefill.
func TestCopiesAreAvoidedWhenCacheIsShort(t *testing.T) {
	g := NewWithT(t)
	r := longPrompt(1, 2000)
	withRecentPrefill := func(tokens int) *Table {
		table, load := newCopyFleet(340_000), map[string]map[string]InFlightLoad{"a": {}, "b": {}, "c": {}}
		for id, e := range table.endpoints {
			load[e.FailureDomain][id] = InFlightLoad{RecentPrefillTokens: tokens, PromptTokens: 150_000}
		}
		setPeerLoads(table, epoch, load)
		return table
	}
	idle, loaded := withRecentPrefill(1000), withRecentPrefill(100_000)
	for _, table := range []*Table{idle, loaded} {
		reportCached(table, epoch, "b1", r)
	}
	later := epoch.Add(6 * time.Second)
	c, err := idle.Choose(later, r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.CopySourceAddress).NotTo(BeEmpty())
	c, err = loaded.Choose(later, r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.CopySourceAddress).To(BeEmpty(), "100,000 tokens prefilled in the last 1.5 s, space for 190,000")
	a0 := idle.endpoints["a0"]
	g.Expect(loaded.copyCost(loaded.endpoints["a0"], 6000)).To(BeNumerically(">", 4*idle.copyCost(a0, 6000)))
}

// Placements are reported to other entries once, and again while they are in use. What
// other entries report is not passed on.
func TestPlacementsAreResentWhileInUse(t *testing.T) {
	g := NewWithT(t)
	table := newCopyFleet(500_000)
	sendAndTake := func(now time.Time) []PartPlacement {
		_, a := chooseAndSend(g, table, now, longPrompt(1, 2000))
		table.RecordFirstEvent(now, a, ReportedLoad{})
		table.RecordEnd(now, a, Succeeded, ReportedLoad{})
		return table.TakeNewPlacements()
	}
	first := sendAndTake(epoch)
	g.Expect(first).To(HaveLen(2), "the shared parts, not the request's own")
	g.Expect(sendAndTake(epoch.Add(placementResendInterval / 2))).To(BeEmpty())
	g.Expect(sendAndTake(epoch.Add(placementResendInterval))).To(ConsistOf(first))
	g.Expect(table.TakeNewPlacements()).To(BeEmpty())
	other := newCopyFleet(500_000)
	other.AddPeerPlacements(epoch, append(first, PartPlacement{Endpoint: EndpointKeyOf("unknown"), Part: 1}))
	g.Expect(other.TakeNewPlacements()).To(BeEmpty())
}

// The tracked parts of an endpoint are bounded, also where this entry sends nothing
// and only gets reports of other entries.
func TestTrackedPartsAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := newCopyFleet(500_000)
	for part := range uint64(5 * maxTrackedParts) {
		table.AddPeerPlacements(epoch.Add(time.Duration(part)*time.Millisecond), []PartPlacement{{Endpoint: EndpointKeyOf("b1"), Part: part}})
	}
	parts := table.endpoints["b1"].cachedParts.parts
	g.Expect(len(parts)).To(BeNumerically("<=", maxTrackedParts))
	g.Expect(parts).To(HaveKey(uint64(5*maxTrackedParts - 1)))
}

// All entries restart while the engines keep their caches, so nobody can report them.
// A new entry must assume that the preferred endpoint has most of a session cached
// until reports have had time to arrive; then unreported parts count as not cached.
func TestCachedPartsAreAssumedAfterAllEntriesRestart(t *testing.T) {
	g := NewWithT(t)
	table := newCopyFleet(500_000)
	c, err := table.Choose(epoch.Add(time.Second), longPrompt(1, 2000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Preferred).To(BeTrue())
	g.Expect(c.PrefillTokens).To(BeNumerically("<", 4000))
	c, err = table.Choose(epoch.Add(placementWarmup+time.Second), longPrompt(1, 2000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Preferred).To(BeTrue())
	g.Expect(c.PrefillTokens).To(Equal(8300))
}
