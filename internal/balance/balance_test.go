package balance

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/directory"
)

// rapidSeed makes every run draw the same cases; the flag -rapid.seed overrides it.
const rapidSeed = "20261203"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

var epoch = time.Unix(1_800_000_000, 0)

// testConfig makes it expensive to leave the failure domain.
var testConfig = Config{Domain: "a", CrossDomainByteCost: 7500 * time.Nanosecond, CrossDomainRoundTrip: 8 * time.Millisecond, PrefillTokenCost: 130 * time.Microsecond}

// engine returns an endpoint of the service "llm".
func engine(id, domain string) directory.Endpoint {
	return directory.Endpoint{ID: id, Service: "llm", Address: id + ":1", FailureDomain: domain, Slots: 64, State: directory.Ready, StartedUnixMS: 1, LastReportAt: epoch}
}

// newFleet returns a table with perDomain engines in each of three failure domains.
func newFleet(perDomain int) *Table {
	t := New(testConfig)
	for _, domain := range []string{"a", "b", "c"} {
		for i := range perDomain {
			t.Update(engine(fmt.Sprintf("%s%d", domain, i), domain), 0)
		}
	}
	return t
}

// setPeerLoads sets the load put on endpoints by other entries. domains has it by failure
// domain of the entries and by endpoint ID.
func setPeerLoads(t *Table, now time.Time, domains map[string]map[string]InFlightLoad) {
	sum := map[EndpointKey]InFlightLoad{}
	for _, loads := range domains {
		for id, load := range loads {
			sum[EndpointKeyOf(id)] = sum[EndpointKeyOf(id)].Add(load)
		}
	}
	t.SetPeerLoads(now, slices.Collect(maps.Keys(domains)), sum)
}

// nextPartID numbers the parts that belong to a single request.
var nextPartID uint64 = 1 << 40

// longPrompt returns a request of a session with a long prompt, of which own tokens
// belong to this request alone.
func longPrompt(session uint64, own int) Request {
	nextPartID++
	return Request{Service: "llm", PromptTokens: 6300 + own, ExpectedOutputTokens: 60, BodyBytes: 18000, Urgency: 5, LatencyTarget: 1200 * time.Millisecond, GapTarget: 600 * time.Millisecond,
		Parts: []PromptPart{{ID: session % 4, Tokens: 2520}, {ID: 1000 + session, Tokens: 3780}, {ID: nextPartID, Tokens: own}}}
}

// urgentStream returns a request with a short prompt and a short gap target.
func urgentStream(session uint64) Request {
	nextPartID++
	return Request{Service: "llm", PromptTokens: 700, ExpectedOutputTokens: 280, BodyBytes: 1400, Urgency: 3, LatencyTarget: 250 * time.Millisecond, GapTarget: 150 * time.Millisecond,
		Parts: []PromptPart{{ID: 5000 + session%8, Tokens: 100}, {ID: 6000 + session, Tokens: 70}, {ID: nextPartID, Tokens: 530}}}
}

func chooseAndSend(g Gomega, t *Table, now time.Time, r Request) (Choice, *Attempt) {
	c, err := t.Choose(now, r)
	g.Expect(err).NotTo(HaveOccurred())
	return c, t.RecordSent(now, r, c)
}

// Several entries get requests of the same session and do not know of each other.
// All must send them to the same engine of the failure domain, which has the session
// cached.
func TestSessionsHaveOnePreferredEndpoint(t *testing.T) {
	g := NewWithT(t)
	for session := range uint64(50) {
		chosen := map[string]bool{}
		for range 4 { // entries that do not know of each other
			c, _ := chooseAndSend(g, newFleet(4), epoch, longPrompt(session, 2000))
			chosen[c.ID] = true
			g.Expect(c.CrossDomain).To(BeFalse())
		}
		g.Expect(chosen).To(HaveLen(1))
	}
}

// All prompts have a first part in common. The first engine to cache it must not
// attract every later prompt.
func TestSharedPartDoesNotConcentrateLoad(t *testing.T) {
	g := NewWithT(t)
	table, counts := newFleet(4), map[string]int{}
	for session := range uint64(200) {
		now := epoch.Add(time.Duration(session) * 200 * time.Millisecond)
		c, a := chooseAndSend(g, table, now, longPrompt(session*4, 2000)) // all with the same first part
		counts[c.ID]++
		table.RecordFirstEvent(now.Add(150*time.Millisecond), a, ReportedLoad{})
		table.RecordEnd(now.Add(190*time.Millisecond), a, Succeeded, ReportedLoad{})
	}
	g.Expect(len(counts)).To(BeNumerically(">=", 3), "%v", counts)
	for id, count := range counts {
		g.Expect(count).To(BeNumerically("<", 100), id)
	}
}

// One session gets a burst of requests. Its preferred engine must not take so many
// that waiting there costs more than prefilling the session elsewhere.
func TestHotSessionSpillsOver(t *testing.T) {
	g := NewWithT(t)
	table, counts := newFleet(4), map[string]int{}
	for range 60 { // all at once
		c, _ := chooseAndSend(g, table, epoch, longPrompt(1, 2000))
		counts[c.ID]++
	}
	for id, count := range counts {
		g.Expect(count).To(BeNumerically("<=", 30), "%s of %v", id, counts)
	}
}

// Long prompts arrive in bursts beside urgent streams, whose events pause during
// prefill. A quarter of the engines of a failure domain must take no long prompt, and
// the urgent streams must stay there.
func TestUrgentStreamsRunApartFromLongPrompts(t *testing.T) {
	g := NewWithT(t)
	table := newFleet(4)
	var urgentCounts, longCounts = map[string]int{}, map[string]int{}
	for i := range uint64(120) {
		now := epoch.Add(time.Duration(i) * 25 * time.Millisecond)
		c, a := chooseAndSend(g, table, now, urgentStream(i))
		urgentCounts[c.ID]++
		table.RecordFirstEvent(now, a, ReportedLoad{})
		c, a = chooseAndSend(g, table, now, longPrompt(i, 2500))
		longCounts[c.ID]++
		table.RecordFirstEvent(now.Add(100*time.Millisecond), a, ReportedLoad{})
		table.RecordEnd(now.Add(400*time.Millisecond), a, Succeeded, ReportedLoad{})
	}
	for id := range urgentCounts {
		g.Expect(longCounts[id]).To(BeZero(), "%s of %v and %v", id, urgentCounts, longCounts)
	}
}

// Without urgent streams every engine takes long prompts.
func TestNoEngineIsReservedWithoutUrgentStreams(t *testing.T) {
	g := NewWithT(t)
	table, used := newFleet(4), map[string]bool{}
	for i := range uint64(100) {
		c, a := chooseAndSend(g, table, epoch, longPrompt(i, 2500))
		used[c.ID] = true
		table.RecordEnd(epoch, a, Succeeded, ReportedLoad{})
	}
	g.Expect(len(used)).To(BeNumerically(">=", 4))
}

// A single answer is very slow, as answer times have a heavy tail. It must not keep
// requests away from the endpoint for good.
func TestLearnedSlowdownDecays(t *testing.T) {
	g := NewWithT(t)
	table := New(testConfig)
	for _, domain := range []string{"a", "b"} {
		e := engine(domain, domain)
		e.Slots = 6
		table.Update(e, 0)
	}
	r := Request{Service: "llm", BodyBytes: 600, LatencyTarget: 150 * time.Millisecond}
	c, a := chooseAndSend(g, table, epoch, r)
	g.Expect(c.ID).To(Equal("a"))
	table.RecordFirstEvent(epoch.Add(2*time.Second), a, ReportedLoad{})
	table.RecordEnd(epoch.Add(2*time.Second), a, Succeeded, ReportedLoad{})
	c, err := table.Choose(epoch.Add(15*time.Second), r)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.ID).To(Equal("a"))
}

// One engine is several times slower than the others. Most requests must go
// elsewhere.
func TestSlowEngineIsAvoided(t *testing.T) {
	g := NewWithT(t)
	table, counts := newFleet(4), map[string]int{}
	for i := range uint64(300) {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		r := longPrompt(i, 2500)
		c, a := chooseAndSend(g, table, now, r)
		if i > 150 {
			counts[c.ID]++
		}
		took := c.ExpectedWait
		if c.ID == "a1" {
			took = 6 * time.Duration(float64(c.ExpectedWait)/table.endpoints["a1"].currentSlowdown(now))
		}
		table.RecordFirstEvent(now.Add(took), a, ReportedLoad{})
		table.RecordEnd(now.Add(took+50*time.Millisecond), a, Succeeded, ReportedLoad{})
	}
	g.Expect(counts["a1"]).To(BeNumerically("<", 20), "%v", counts)
}

// One engine answers many requests with errors while it reports itself healthy. It
// must get fewer requests; errors that all engines have must cost nothing.
func TestErrorRateIsComparedWithTheMean(t *testing.T) {
	g := NewWithT(t)
	table, counts := newFleet(4), map[string]int{}
	r := Request{Service: "llm", BodyBytes: 600, LatencyTarget: 150 * time.Millisecond}
	for i := range 400 {
		now := epoch.Add(time.Duration(i) * 20 * time.Millisecond)
		c, a := chooseAndSend(g, table, now, r)
		counts[c.ID]++
		result := Succeeded
		if i%7 == 0 || c.ID == "a2" && i%5 < 3 {
			result = ErrorResponse
		}
		table.RecordFirstEvent(now, a, ReportedLoad{})
		table.RecordEnd(now.Add(5*time.Millisecond), a, result, ReportedLoad{})
	}
	g.Expect(counts["a2"]).To(BeNumerically("<", 60), "%v", counts)
	g.Expect(counts["a0"]+counts["a1"]+counts["a2"]+counts["a3"]).To(BeNumerically(">", 300), "%v", counts)
}

// Endpoints fail. Two consecutive failures eject one, a single probe at a time
// brings it back, and at most half of a service's endpoints are ejected.
func TestFailingEndpointsAreEjected(t *testing.T) {
	g := NewWithT(t)
	table := newFleet(1)
	fail := func(now time.Time, id string) {
		for range failuresToEject {
			a := table.RecordSent(now, Request{Service: "llm"}, Choice{ID: id})
			table.RecordEnd(now, a, Failed, ReportedLoad{})
		}
	}
	fail(epoch, "a0")
	c, err := table.Choose(epoch, Request{Service: "llm"})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.ID).NotTo(Equal("a0"))
	fail(epoch, "b0")
	fail(epoch, "c0")
	_, err = table.Choose(epoch, Request{Service: "llm"})
	g.Expect(err).NotTo(HaveOccurred(), "at most one of three is ejected")
	later := epoch.Add(2 * baseEjectionTime)
	c, err = table.Choose(later, Request{Service: "llm", TriedEndpoints: []string{"b0", "c0"}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.ID).To(Equal("a0"))
	probe := table.RecordSent(later, Request{Service: "llm"}, c)
	g.Expect(table.endpoints["a0"].ejection.admits(later)).To(BeFalse(), "one probe at a time")
	table.RecordEnd(later, probe, Succeeded, ReportedLoad{})
	g.Expect(table.endpoints["a0"].ejection.admits(later)).To(BeTrue())
}

func TestDrainingSilentAndGoneEndpoints(t *testing.T) {
	g := NewWithT(t)
	table := New(testConfig)
	table.Update(engine("a0", "a"), 0)
	table.Update(engine("b0", "b"), 0)
	draining := engine("a0", "a")
	draining.State = directory.Draining
	table.Update(draining, 0)
	for range 20 {
		c, err := table.Choose(epoch, urgentStream(1))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(c.ID).To(Equal("b0"))
	}
	silent := engine("b0", "b")
	silent.State = directory.Silent
	table.Update(silent, 0)
	c, err := table.Choose(epoch, urgentStream(1))
	g.Expect(err).NotTo(HaveOccurred(), "a silent endpoint stays eligible")
	g.Expect(c.ID).To(Equal("b0"))
	gone := engine("b0", "b")
	gone.State = directory.Gone
	table.Update(gone, 0)
	_, err = table.Choose(epoch, urgentStream(1))
	var none *NoEndpointError
	g.Expect(err).To(BeAssignableToTypeOf(none))
}

func TestRequestsPerEndpointAreBounded(t *testing.T) {
	g := NewWithT(t)
	table := New(testConfig)
	table.Update(engine("a0", "a"), 3)
	for range 3 {
		chooseAndSend(g, table, epoch, urgentStream(1))
	}
	_, err := table.Choose(epoch, urgentStream(1))
	g.Expect(err).To(MatchError(ContainSubstring("1 full")))
}

// An endpoint restarts while a request is in flight. The new incarnation has no
// cached prompt, and the end of the old request must not change its counts.
func TestNewIncarnationStartsEmpty(t *testing.T) {
	g := NewWithT(t)
	table := New(testConfig)
	first := engine("a0", "a")
	first.StartedUnixMS = epoch.UnixMilli() - 1
	table.Update(first, 0)
	c, a := chooseAndSend(g, table, epoch, longPrompt(1, 100))
	g.Expect(c.PrefillTokens).To(Equal(6400))
	c, _ = chooseAndSend(g, table, epoch, longPrompt(1, 100))
	g.Expect(c.PrefillTokens).To(BeNumerically("<=", 100))
	second := engine("a0", "a")
	second.StartedUnixMS = epoch.UnixMilli()
	table.Update(second, 0)
	table.RecordEnd(epoch, a, Succeeded, ReportedLoad{}) // of the previous incarnation
	c, _ = chooseAndSend(g, table, epoch, longPrompt(1, 100))
	g.Expect(c.PrefillTokens).To(Equal(6400))
	g.Expect(table.InFlightByEndpoint(epoch)[EndpointKeyOf("a0")].Waiting).To(Equal(1))
}

// Attempts are sent, begin and end in any order. The counts in flight must match the
// open attempts and never be negative.
func TestInFlightCountsAreConsistent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := newFleet(2), epoch
		var open []*Attempt
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			switch action := rapid.IntRange(0, 3).Draw(t, "action"); {
			case action < 2:
				r := longPrompt(uint64(rapid.IntRange(0, 9).Draw(t, "session")), 500)
				if action == 1 {
					r = urgentStream(uint64(rapid.IntRange(0, 9).Draw(t, "session")))
				}
				c, err := table.Choose(now, r)
				if err != nil {
					t.Fatalf("no endpoint: %v", err)
				}
				open = append(open, table.RecordSent(now, r, c))
			case len(open) > 0 && action == 2:
				table.RecordFirstEvent(now, open[rapid.IntRange(0, len(open)-1).Draw(t, "which")], ReportedLoad{Running: 3, Slots: 64})
			case len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "which")
				result := rapid.SampledFrom([]Result{Succeeded, Failed, ErrorResponse, NotRun, Cancelled}).Draw(t, "result")
				table.RecordEnd(now, open[i], result, ReportedLoad{})
				table.RecordEnd(now, open[i], result, ReportedLoad{}) // a second end has no effect
				open = append(open[:i], open[i+1:]...)
			}
			total := 0
			for _, s := range table.InFlightByEndpoint(now) {
				if s.Running < 0 || s.Waiting < 0 || s.PrefillTokens < 0 || s.UrgentRequests < 0 {
					t.Fatalf("negative count: %+v", s)
				}
				total += s.Running + s.Waiting
			}
			if total != len(open) {
				t.Fatalf("%d in flight, want %d", total, len(open))
			}
		}
	})
}

// BenchmarkChoose measures one choice among the engines of a large fleet.
func BenchmarkChoose(b *testing.B) {
	table := New(testConfig)
	for i := range 136 {
		table.Update(engine(fmt.Sprint("e", i), string(rune('a'+i%3))), 0)
	}
	for i := range uint64(2000) {
		r := longPrompt(i%173, 2000)
		c, _ := table.Choose(epoch, r)
		table.RecordEnd(epoch, table.RecordSent(epoch, r, c), Succeeded, ReportedLoad{})
	}
	r := longPrompt(7, 2000)
	for b.Loop() {
		_, _ = table.Choose(epoch, r)
	}
}

// Long prompts overload every engine. The least urgent prompts are declined, more
// urgent ones are not, and none is declined for its own length.
func TestOverloadDeclinesLeastUrgentPrompts(t *testing.T) {
	g := NewWithT(t)
	table := newFleet(3)
	declined := 0
	for i := range uint64(400) {
		r := longPrompt(i, 2500)
		r.RouteRank = 2
		c, err := table.Choose(epoch, r)
		if err != nil {
			g.Expect(err).To(MatchError(ContainSubstring("too late")))
			declined++
			continue
		}
		table.RecordSent(epoch, r, c)
	}
	g.Expect(declined).To(BeNumerically(">", 100))
	urgent := urgentStream(1)
	urgent.RouteRank = 0
	_, err := table.Choose(epoch, urgent)
	g.Expect(err).NotTo(HaveOccurred())

	long := longPrompt(1000, 30000)
	long.RouteRank = 2
	_, err = newFleet(3).Choose(epoch, long)
	g.Expect(err).NotTo(HaveOccurred())
}

// Many long prompts arrive at once. Those in flight must leave cache space for the
// parts that later prompts share.
func TestPromptsInFlightLeaveRoomForCachedParts(t *testing.T) {
	g := NewWithT(t)
	table := New(testConfig)
	table.Update(engine("a0", "a"), 0)
	table.SetCacheCapacity("llm", 100_000)
	sent := 0
	for i := range uint64(30) {
		r := longPrompt(i, 2500)
		c, err := table.Choose(epoch, r)
		if err != nil {
			g.Expect(err).To(MatchError(ContainSubstring("1 full")))
			break
		}
		sent += r.PromptTokens
		table.RecordSent(epoch, r, c)
	}
	g.Expect(sent).To(And(BeNumerically("<=", 80_000), BeNumerically(">", 60_000)))
	_, err := table.Choose(epoch, urgentStream(1))
	g.Expect(err).NotTo(HaveOccurred(), "urgent streams are admitted")
}

// The load of the other failure domains is not known while the own one is busy. It
// is assumed to be similar, so that prompts stay in the own failure domain.
func TestUnknownLoadElsewhereDoesNotAttractPrompts(t *testing.T) {
	g := NewWithT(t)
	table := newFleet(4)
	loads := map[string]InFlightLoad{}
	for _, id := range []string{"a0", "a1", "a2", "a3"} {
		loads[id] = InFlightLoad{Running: 20, Waiting: 4, PrefillTokens: 15000}
	}
	setPeerLoads(table, epoch, map[string]map[string]InFlightLoad{"a": loads})
	cross := 0
	for i := range uint64(60) {
		now := epoch.Add(time.Duration(i) * 50 * time.Millisecond)
		c, a := chooseAndSend(g, table, now, longPrompt(i, 2500))
		if c.CrossDomain {
			cross++
		}
		table.RecordFirstEvent(now.Add(300*time.Millisecond), a, ReportedLoad{})
		table.RecordEnd(now.Add(600*time.Millisecond), a, Succeeded, ReportedLoad{})
	}
	g.Expect(cross).To(BeNumerically("<=", 6))
}

// The number of reserved engines follows the urgent streams. It rises at once and
// falls slowly, because preferred endpoints of prompts change with it.
func TestReservedEnginesFollowUrgentStreams(t *testing.T) {
	g := NewWithT(t)
	table := newFleet(12)
	reserved := func() (count int) {
		for _, e := range table.services["llm"] {
			if e.reserved && !e.crossDomain {
				count++
			}
		}
		return count
	}
	own := map[string]map[string]InFlightLoad{"a": {}}
	var open []*Attempt
	for i := range uint64(60) {
		_, a := chooseAndSend(g, table, epoch, urgentStream(i))
		open = append(open, a)
	}
	setPeerLoads(table, epoch, own)
	g.Expect(reserved()).To(Equal(3))
	for _, a := range open {
		table.RecordEnd(epoch, a, Succeeded, ReportedLoad{})
	}
	setPeerLoads(table, epoch.Add(time.Second), own)
	g.Expect(reserved()).To(Equal(3))
	setPeerLoads(table, epoch.Add(time.Second+reservedReleaseDelay), own)
	g.Expect(reserved()).To(Equal(2))
}

// An entry has just started and has sent nothing. It must assume that the preferred
// endpoint of a session holds what other entries sent, and not overestimate its wait.
func TestPreferredEndpointIsAssumedToHoldSharedParts(t *testing.T) {
	g := NewWithT(t)
	c, err := newFleet(4).Choose(epoch, longPrompt(1, 2000))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Preferred).To(BeTrue())
	g.Expect(c.PrefillTokens).To(BeNumerically("<", 4000))
}

// newReportingFleet returns the table of an entry in a failure domain. The entries of
// all domains report their load.
func newReportingFleet(domain string, perDomain int) *Table {
	config := testConfig
	config.Domain = domain
	t := New(config)
	for _, d := range []string{"a", "b", "c"} {
		for i := range perDomain {
			t.Update(engine(fmt.Sprintf("%s%d", d, i), d), 0)
		}
	}
	setPeerLoads(t, epoch, map[string]map[string]InFlightLoad{"a": {}, "b": {}, "c": {}})
	return t
}

// Many sessions get a few requests each, through entries of every failure domain.
// Their shared parts must be prefilled on one engine, not on one in each domain.
func TestSessionsHaveOnePreferredEndpointInAllFailureDomains(t *testing.T) {
	g := NewWithT(t)
	tables := []*Table{newReportingFleet("a", 4), newReportingFleet("b", 4), newReportingFleet("c", 4)}
	used := map[string]int{}
	for session := range uint64(120) {
		chosen := map[string]bool{}
		for _, table := range tables {
			c, a := chooseAndSend(g, table, epoch, longPrompt(session, 2000))
			table.RecordFirstEvent(epoch, a, ReportedLoad{})
			table.RecordEnd(epoch, a, Succeeded, ReportedLoad{})
			g.Expect(c.Preferred).To(BeTrue())
			chosen[c.ID] = true
		}
		g.Expect(chosen).To(HaveLen(1))
		for id := range chosen {
			used[id]++
		}
	}
	g.Expect(len(used)).To(BeNumerically(">=", 11), "the sessions are spread over all engines")
}

// A failure domain is cut off, so that its entries do not report. No session may
// have its preferred endpoint there.
func TestNoPreferredEndpointWhereLoadIsUnknown(t *testing.T) {
	g := NewWithT(t)
	table := newReportingFleet("a", 4)
	setPeerLoads(table, epoch, map[string]map[string]InFlightLoad{"a": {}, "b": {}})
	for session := range uint64(60) {
		c, a := chooseAndSend(g, table, epoch, longPrompt(session, 2000))
		table.RecordFirstEvent(epoch, a, ReportedLoad{})
		table.RecordEnd(epoch, a, Succeeded, ReportedLoad{})
		g.Expect(c.ID).NotTo(HavePrefix("c"))
	}
}

// Entries elsewhere keep an engine busy. Urgent streams must avoid it.
func TestLoadFromOtherFailureDomainsCounts(t *testing.T) {
	g := NewWithT(t)
	table := newReportingFleet("a", 1)
	setPeerLoads(table, epoch, map[string]map[string]InFlightLoad{"a": {}, "b": {"a0": {Running: 40, Waiting: 10, PrefillTokens: 40000}}, "c": {}})
	c, _ := chooseAndSend(g, table, epoch, urgentStream(1))
	g.Expect(c.ID).NotTo(Equal("a0"))
}

// Urgent streams arrive in a burst, a third of them of one session. No reserved engine
// may take so many that all its streams pause for long.
func TestABurstOfUrgentStreamsIsSpread(t *testing.T) {
	g := NewWithT(t)
	table, counts := newReportingFleet("a", 8), map[string]int{}
	noLoad := map[string]map[string]InFlightLoad{"a": {}, "b": {}, "c": {}}
	for i := range uint64(150) {
		session := i
		if i%3 == 0 {
			session = 1000
		}
		c, a := chooseAndSend(g, table, epoch.Add(time.Duration(i)*time.Millisecond), urgentStream(session))
		table.RecordFirstEvent(epoch, a, ReportedLoad{})
		counts[c.ID]++
		setPeerLoads(table, epoch, noLoad)
	}
	for id, count := range counts {
		g.Expect(count).To(BeNumerically("<=", 3*22/2), "%s of %v", id, counts)
	}
}

// Long prompts overload the engines without urgent streams. However late those
// engines are, no long prompt may go to one that runs urgent streams.
func TestLongPromptsAvoidUrgentStreamsUnderOverload(t *testing.T) {
	g := NewWithT(t)
	table := newReportingFleet("a", 6)
	busy := map[string]InFlightLoad{}
	runsStreams := map[string]bool{}
	for i := range uint64(80) {
		c, a := chooseAndSend(g, table, epoch, urgentStream(i))
		table.RecordFirstEvent(epoch, a, ReportedLoad{})
		runsStreams[c.ID] = true
	}
	for id := range table.endpoints {
		if !runsStreams[id] {
			busy[id] = InFlightLoad{Running: 25, Waiting: 8, PrefillTokens: 90_000}
		}
	}
	setPeerLoads(table, epoch, map[string]map[string]InFlightLoad{"a": busy, "b": {}, "c": {}})
	for i := range uint64(60) {
		c, _ := chooseAndSend(g, table, epoch, longPrompt(i, 2500))
		g.Expect(runsStreams).NotTo(HaveKey(c.ID))
	}
}

// An ejected endpoint may be tried if nothing else is left; one that wants no requests for
// a time is not, and is no source of copies either.
func TestHeldEndpointIsNoFallback(t *testing.T) {
	g := NewWithT(t)
	table := newReportingFleet("a", 2)
	table.SetCopyTimePerToken("llm", time.Microsecond)
	now := epoch
	var last *Attempt
	for range 2 {
		_, last = chooseAndSend(g, table, now, longPrompt(1, 100))
		table.RecordFirstEvent(now, last, ReportedLoad{})
		table.RecordHold(now, last, time.Second)
		table.RecordEnd(now, last, Failed, ReportedLoad{})
	}
	for _, e := range table.services["llm"] {
		if !e.held(now) {
			table.remove(e)
		}
	}
	g.Expect(table.services["llm"]).NotTo(BeEmpty())
	_, err := table.Choose(now.Add(900*time.Millisecond), longPrompt(1, 100))
	var none *NoEndpointError
	g.Expect(errors.As(err, &none)).To(BeTrue(), "%v", err)
	g.Expect(none.Held).To(Equal(none.Known))
	g.Expect(none.HeldFor).To(Equal(100 * time.Millisecond))
	request := longPrompt(1, 100)
	g.Expect(table.findCopySource(now.Add(900*time.Millisecond), &request).endpoint).To(BeNil())
	_, err = table.Choose(now.Add(1001*time.Millisecond), longPrompt(1, 100))
	g.Expect(err).NotTo(HaveOccurred())
	// A newer response replaces the time that an older one asked for.
	table.RecordHold(now, last, time.Minute)
	table.RecordHold(now, last, 10*time.Millisecond)
	g.Expect(last.endpoint.held(now.Add(20 * time.Millisecond))).To(BeFalse())
}

// One workspace of 24 that sends six times as much as each other one, with too little room:
// its requests beyond its share are refused while those of the others are still taken, and are
// taken where an endpoint is idle.
func TestRequestsOutsideTheShareAreRefusedFirst(t *testing.T) {
	g := NewWithT(t)
	table := newFleet(3)
	refused, refusedOutside := 0, 0
	for i := range uint64(400) {
		r := longPrompt(i, 2500)
		r.RouteRank, r.OutsideShare = 2, i%2 == 0
		c, err := table.Choose(epoch, r)
		switch {
		case err == nil:
			table.RecordSent(epoch, r, c)
		case r.OutsideShare:
			refusedOutside++
		default:
			refused++
		}
		if refused == 1 {
			break
		}
	}
	g.Expect(refusedOutside).To(BeNumerically(">", 10))

	idle := longPrompt(1000, 2500)
	idle.RouteRank, idle.OutsideShare = 2, true
	_, err := newFleet(3).Choose(epoch, idle)
	g.Expect(err).NotTo(HaveOccurred())
}

// A prompt of the least urgent class meets a queue at every engine, behind which it would begin after 0.6 of its
// target: others go first. Once it has waited its turn it is begun, unless the queue is several targets long.
func TestPromptsBehindAQueueAreDeferredBeforeTheyAreRefused(t *testing.T) {
	for _, c := range []struct {
		queuedTokens int
		deferrable   bool
	}{{100_000, true}, {1_000_000, false}} {
		g := NewWithT(t)
		table := newFleet(1)
		for id := range table.endpoints {
			table.RecordSent(epoch, Request{Service: "llm", PromptTokens: c.queuedTokens}, Choice{ID: id, PrefillTokens: c.queuedTokens})
		}
		r := longPrompt(1, 2500)
		r.RouteRank, r.Allowance = 2, 1
		_, err := table.Choose(epoch, r)
		var none *NoEndpointError
		g.Expect(errors.As(err, &none)).To(BeTrue())
		g.Expect(none.TooLate).To(BeNumerically(">", 0))
		g.Expect(none.Deferrable).To(Equal(c.deferrable))
		r.Waited, r.Allowance = true, 1
		_, err = table.Choose(epoch, r)
		g.Expect(err == nil).To(Equal(c.deferrable), "%v", err)
	}
}
