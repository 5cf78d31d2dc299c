package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// testEngine is a kind of engine as the tests play it.
type testEngine struct {
	tokensPerMS    float64
	step           time.Duration
	stepPerRequest time.Duration
	firstEvent     time.Duration // fixed part of the time to the first event
}

var (
	slowEngine = testEngine{tokensPerMS: 40, step: 5 * time.Millisecond, stepPerRequest: 16 * time.Microsecond, firstEvent: 9 * time.Millisecond}
	usualSpeed = testEngine{tokensPerMS: 92, step: 3 * time.Millisecond, stepPerRequest: 120 * time.Microsecond, firstEvent: 60 * time.Millisecond}
	fastEngine = testEngine{tokensPerMS: 180, step: 1500 * time.Microsecond, stepPerRequest: 60 * time.Microsecond, firstEvent: 20 * time.Millisecond}
)

func (e testEngine) prefill(tokens int) time.Duration {
	return time.Duration(float64(tokens) / e.tokensPerMS * float64(time.Millisecond))
}

// teach records samples as requests of mixed lengths on such an engine give them: three in
// ten first events wait for other work besides, and one pause in four has prefill in it.
func (s *engineSpeed) teach(e testEngine, samples int, random *rand.Rand) {
	for range samples {
		tokens := 500 + random.IntN(6000)
		took := e.firstEvent + e.prefill(tokens) + e.step*time.Duration(1+tokens/prefillChunkTokens) + time.Duration(random.IntN(10))*time.Millisecond
		if random.IntN(10) < 3 {
			took += time.Duration(random.IntN(200)) * time.Millisecond
		}
		s.recordPrefill(tokens, 0, took)
		running := 2 + random.IntN(30)
		step := e.step + time.Duration(running)*e.stepPerRequest + time.Duration(random.IntN(500)-250)*time.Microsecond
		if random.IntN(4) == 0 {
			step += e.prefill(random.IntN(1024))
		}
		s.recordStep(running, step)
	}
}

// expectNear checks the estimates to within a quarter of the engine's speed.
func (s *engineSpeed) expectNear(g Gomega, e testEngine) {
	const tolerance = 0.25
	g.Expect(s.prefillTime(10_000)).To(BeNumerically("~", e.prefill(10_000), tolerance*float64(e.prefill(10_000))), "prefill")
	for _, running := range []int{4, 16, 30} {
		want := e.step + time.Duration(running)*e.stepPerRequest
		g.Expect(s.step(running)).To(BeNumerically("~", want, tolerance*float64(want)), "step of %d", running)
	}
}

// Engines of half and of twice the speed of the start values, and such as the start
// values: after 200 requests the estimates are within a quarter.
func TestSpeedOfEnginesIsLearned(t *testing.T) {
	g := NewWithT(t)
	for seed, e := range []testEngine{slowEngine, usualSpeed, fastEngine} {
		speed := newEngineSpeed()
		speed.teach(e, 200, rand.New(rand.NewPCG(1, uint64(seed))))
		speed.expectNear(g, e)
	}
}

// Engines like the start values: in the first seconds the few samples do not make the
// estimates worse than the tolerance of learned ones.
func TestStartValuesHoldUntilEnoughIsMeasured(t *testing.T) {
	g := NewWithT(t)
	for samples := range prefillSamples {
		speed := newEngineSpeed()
		speed.teach(usualSpeed, samples, rand.New(rand.NewPCG(2, uint64(samples))))
		speed.expectNear(g, usualSpeed)
		if samples < minSpeedSamples {
			g.Expect(speed.prefillPerToken).To(Equal(startPrefillPerToken))
			g.Expect(speed.stepTime).To(Equal(startStepTime))
		}
	}
}

// One request in ten takes seconds, and packets are lost in one pause in ten: neither
// moves the estimates out of their tolerance.
func TestOutliersDoNotMoveTheLearnedSpeed(t *testing.T) {
	g := NewWithT(t)
	random := rand.New(rand.NewPCG(3, 3))
	for _, e := range []testEngine{slowEngine, usualSpeed, fastEngine} {
		speed := newEngineSpeed()
		for range 20 {
			speed.teach(e, 9, random)
			speed.recordPrefill(500+random.IntN(6000), 0, 5*time.Second)
			speed.recordStep(random.IntN(30), 200*time.Millisecond)
		}
		speed.expectNear(g, e)
	}
}

// Whatever is measured, the estimates stay within their bounds.
func TestLearnedSpeedIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		speed := newEngineSpeed()
		for range rapid.IntRange(1, 200).Draw(t, "samples") {
			speed.recordPrefill(rapid.IntRange(0, 200_000).Draw(t, "tokens"), 0, time.Duration(rapid.IntRange(-1000, 100_000).Draw(t, "ms"))*time.Millisecond)
			speed.recordStep(rapid.IntRange(0, 500).Draw(t, "running"), time.Duration(rapid.IntRange(0, 1_000_000).Draw(t, "us"))*time.Microsecond)
		}
		for name, ratio := range map[string]float64{"prefill": float64(speed.prefillPerToken) / float64(startPrefillPerToken),
			"step": float64(speed.stepTime) / float64(startStepTime), "growth": float64(speed.stepPerRequest) / float64(startStepPerRequest)} {
			if ratio < 0.99/maxSpeedRatio || ratio > 1.01*maxSpeedRatio {
				t.Fatalf("%s is %.2f times its start value", name, ratio)
			}
		}
	})
}

// newSlowFleet returns the table of an entry in domain a, before 17 slow engines in each of three
// failure domains. The shortest gap target is 400 ms, and an event has 5 tokens.
func newSlowFleet() *Table {
	t := New(testConfig)
	loads := map[string]map[string]InFlightLoad{}
	for _, domain := range []string{"a", "b", "c"} {
		loads[domain] = map[string]InFlightLoad{}
		for i := range 17 {
			t.Update(engine(fmt.Sprintf("%s%d", domain, i), domain), 0)
		}
	}
	t.SetShortestGapTarget("llm", 400*time.Millisecond)
	t.SetTokensPerEvent("llm", 5)
	setPeerLoads(t, epoch, loads)
	return t
}

// summary is a stream with a short prompt and a gap target that only slow engines put at
// risk.
func summary(session uint64) Request {
	r := urgentStream(session)
	r.LatencyTarget, r.GapTarget = 400*time.Millisecond, 400*time.Millisecond
	return r
}

// Engines of 40 prompt tokens a millisecond: a long prompt makes streams with a gap target
// of 400 ms miss it, so these are kept apart. On engines of twice the start values' speed
// they need not be.
func TestUrgencyFollowsTheSpeedOfTheEngines(t *testing.T) {
	g := NewWithT(t)
	urgentOn := func(e testEngine, r Request) bool {
		table := newSlowFleet()
		table.model("llm").speed.teach(e, 200, rand.New(rand.NewPCG(4, 4)))
		return table.isUrgent(&r)
	}
	g.Expect(urgentOn(slowEngine, summary(1))).To(BeTrue())
	g.Expect(urgentOn(fastEngine, summary(1))).To(BeFalse())
	g.Expect(urgentOn(slowEngine, longPrompt(1, 100))).To(BeFalse())
}

// 40 tokens a millisecond, streams with gaps of 400 ms beside long prompts: no long prompt goes
// to an engine that runs such streams, from the first request on.
func TestStreamsRunApartFromLongPromptsOnSlowEngines(t *testing.T) {
	g := NewWithT(t)
	table := newSlowFleet()
	urgentCounts, longCounts := map[string]int{}, map[string]int{}
	for i := range uint64(200) {
		now := epoch.Add(time.Duration(i) * 25 * time.Millisecond)
		c, a := chooseAndSend(g, table, now, summary(i))
		urgentCounts[c.ID]++
		table.RecordFirstEvent(now.Add(slowEngine.firstEvent+slowEngine.prefill(c.PrefillTokens)), a, ReportedLoad{})
		c, a = chooseAndSend(g, table, now, longPrompt(i, 2500))
		longCounts[c.ID]++
		took := slowEngine.firstEvent + slowEngine.prefill(c.PrefillTokens)
		table.RecordFirstEvent(now.Add(took), a, ReportedLoad{})
		table.RecordEnd(now.Add(took+200*time.Millisecond), a, Succeeded, ReportedLoad{})
	}
	for id := range urgentCounts {
		g.Expect(longCounts[id]).To(BeZero(), "%s of %v and %v", id, urgentCounts, longCounts)
	}
	g.Expect(table.model("llm").speed.prefillTime(10_000)).To(BeNumerically("~", slowEngine.prefill(10_000), 0.25*float64(slowEngine.prefill(10_000))))
}

// Six of 17 engines of the own failure domain take twice as long. They must get fewer requests than the
// others, and not change what is learned of the kind.
func TestSixEnginesSlowByHalf(t *testing.T) {
	g := NewWithT(t)
	table := newSlowFleet()
	slow := map[string]bool{"a0": true, "a3": true, "a6": true, "a9": true, "a12": true, "a15": true}
	counts := map[bool]int{}
	for i := range uint64(600) {
		now := epoch.Add(time.Duration(i) * 40 * time.Millisecond)
		c, a := chooseAndSend(g, table, now, longPrompt(i, 800+700*int(i%5)))
		if i >= 200 {
			counts[slow[c.ID]]++
		}
		took := slowEngine.firstEvent + slowEngine.prefill(c.PrefillTokens) + 7*time.Millisecond
		if slow[c.ID] {
			took *= 2
		}
		table.RecordFirstEvent(now.Add(took), a, ReportedLoad{})
		table.RecordEnd(now.Add(took+50*time.Millisecond), a, Succeeded, ReportedLoad{})
	}
	g.Expect(counts[true]/len(slow)).To(BeNumerically("<", counts[false]/(17-len(slow))), "%v", counts)
	g.Expect(table.model("llm").speed.prefillTime(10_000)).To(BeNumerically("~", slowEngine.prefill(10_000), 0.25*float64(slowEngine.prefill(10_000))))
}

// Streams of one engine pause ten times as long as others, and it runs most of them: pauses
// of one endpoint count once in gapSampleInterval. The prefill rate, without which no step is
// learned, is known.
func TestOneOddEndpointDoesNotFillTheSamples(t *testing.T) {
	g := NewWithT(t)
	table := newSlowFleet()
	random := rand.New(rand.NewPCG(8, 8))
	for range 200 {
		tokens := 500 + random.IntN(6000)
		table.model("llm").speed.recordPrefill(tokens, 0, slowEngine.firstEvent+slowEngine.prefill(tokens))
	}
	send := func(id string) *Attempt {
		a := table.RecordSent(epoch, summary(1), Choice{ID: id})
		table.RecordFirstEvent(epoch, a, ReportedLoad{})
		return a
	}
	var odd, others []*Attempt
	for range 30 {
		odd = append(odd, send("a0"))
	}
	for i := range 10 {
		others = append(others, send(fmt.Sprint("a", i+1)))
	}
	for ms := 0; ms < 5000; ms++ {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		for i, a := range odd {
			if ms%250 == i {
				table.RecordEvent(now, a)
			}
		}
		for i, a := range others {
			if ms%25 == i {
				table.RecordEvent(now, a)
			}
		}
	}
	g.Expect(table.model("llm").speed.step(1)).To(BeNumerically("~", 5*time.Millisecond, 1250*time.Microsecond))
}

// An endpoint reports that its host is slow by two and a half. The report corrects the
// estimate while it is fresh, is not learned as the endpoint's own slowness, and an
// endpoint without the figure is estimated as before.
func TestReportedHostPercentCountsWhileFresh(t *testing.T) {
	g := NewWithT(t)
	table := New(testConfig)
	table.Update(engine("a0", "a"), 0)
	c, a := chooseAndSend(g, table, epoch, longPrompt(1, 2000))
	now := epoch.Add(c.ExpectedWait * 5 / 2)
	table.RecordFirstEvent(now, a, ReportedLoad{Running: 1, Slots: 64, HostPercent: 250})
	e := table.endpoints["a0"]
	g.Expect(e.learnedSlowdown(now)).To(BeNumerically("~", 1, 0.01), "the host explains it")
	g.Expect(e.currentSlowdown(now)).To(BeNumerically("~", 2.5, 0.1))
	g.Expect(e.currentSlowdown(now.Add(maxHostFactorAge / 2))).To(BeNumerically("~", 1.8, 0.2))
	g.Expect(e.currentSlowdown(now.Add(maxHostFactorAge))).To(BeNumerically("<", 1.2))

	without := New(testConfig)
	without.Update(engine("a0", "a"), 0)
	c, a = chooseAndSend(g, without, epoch, longPrompt(1, 2000))
	now = epoch.Add(c.ExpectedWait * 5 / 2)
	without.RecordFirstEvent(now, a, ReportedLoad{Running: 1, Slots: 64})
	g.Expect(without.endpoints["a0"].currentSlowdown(now)).To(BeNumerically("~", 1+slowdownWeight*1.5, 0.01), "it may be the endpoint")
}

// Streams with gaps of 400 ms on engines of 40 tokens a millisecond: a prompt of 2,000
// tokens makes a pause that they bear better than one of 20,000 does, which counts in full. Where no
// gap target is known every prompt does.
func TestWeightOfAPauseFollowsTheGapTarget(t *testing.T) {
	g := NewWithT(t)
	m := newSlowFleet().model("llm")
	m.speed.teach(slowEngine, 200, rand.New(rand.NewPCG(5, 5)))
	g.Expect(m.pauseWeight(demand{running: 10}, 0)).To(BeZero())
	g.Expect(m.pauseWeight(demand{running: 10}, 2000)).To(And(BeNumerically(">", 0), BeNumerically("<", 0.9)))
	g.Expect(m.pauseWeight(demand{running: 10}, 20_000)).To(Equal(1.0))
	g.Expect(m.pauseWeight(demand{running: 10, prefillTokens: 18_000}, 2000)).To(Equal(1.0))
	m.shortestGapTarget = 0
	g.Expect(m.pauseWeight(demand{}, 0)).To(Equal(1.0))
}

// Slow engines of 128 slots, streams with 700 prompt tokens to 280 output tokens: a
// reserved engine runs no more of them than leave it four fifths of its time for steps.
func TestReservedEngineRunsWhatItCanPrefill(t *testing.T) {
	g := NewWithT(t)
	table := newSlowFleet()
	e := table.endpoints["a0"]
	e.Slots = 128
	m := table.model("llm")
	m.speed.teach(slowEngine, 200, rand.New(rand.NewPCG(6, 6)))
	bySlots := m.streamsIfReserved(e)
	m.recordUrgentStream(700, 280)
	streams := m.streamsIfReserved(e)
	g.Expect(streams).To(And(BeNumerically(">", 5), BeNumerically("<", bySlots)))
	share := float64(streams) * float64(m.speed.prefillTime(700)) / float64(280*m.speed.step(streams))
	g.Expect(share).To(BeNumerically("<=", reservedPrefillShare*1.05))
}

// More than a third of the engines of a failure domain are reserved only while long prompts
// come and leave room.
func TestLongPromptsKeepTheEnginesThatTheyNeed(t *testing.T) {
	g := NewWithT(t)
	m := newSlowFleet().model("llm")
	m.speed.teach(slowEngine, 200, rand.New(rand.NewPCG(7, 7)))
	g.Expect(m.leavesRoomToPrefill(9)).To(BeFalse(), "no long prompt comes")
	for tokens, room := range map[int]bool{100_000: true, 2_000_000: false} {
		m.recordPrefillDemand(tokens, 3)
		g.Expect(m.leavesRoomToPrefill(9)).To(Equal(room), "%d tokens", tokens)
	}
}

// Engines whose prefill rate is a tenth above or below the start value, with steps that don't grow
// with the batch: the start values hold throughout, as do the costs and reservations that assume them.
func TestStartValuesHoldWithinTheErrorOfLearning(t *testing.T) {
	g := NewWithT(t)
	for seed, tokensPerMS := range []float64{82, 93, 99} {
		table := newSlowFleet()
		m, e := table.model("llm"), table.endpoints["a0"]
		bySlots := m.streamsIfReserved(e)
		similar := testEngine{tokensPerMS: tokensPerMS, step: 3300 * time.Microsecond, firstEvent: 80 * time.Millisecond}
		random := rand.New(rand.NewPCG(9, uint64(seed)))
		for range 20 {
			m.speed.teach(similar, 20, random)
			g.Expect(m.speed.prefillPerToken).To(Equal(startPrefillPerToken))
			g.Expect(m.speed.stepTime).To(Equal(startStepTime))
			g.Expect(m.speed.stepPerRequest).To(Equal(startStepPerRequest))
		}
		m.recordUrgentStream(7000, 280)
		g.Expect(m.streamsIfReserved(e)).To(Equal(bySlots))
		m.recordPrefillDemand(100_000, 3)
		g.Expect(m.leavesRoomToPrefill(9)).To(BeFalse())
		g.Expect(m.pauseWeight(demand{running: 10}, 100)).To(Equal(1.0))
	}
}

// Slow engines that are replaced by such as the start values: what was learned of the slow ones
// is given up as a whole.
func TestStartValuesHoldAgainAfterOtherEngines(t *testing.T) {
	g := NewWithT(t)
	speed, random := newEngineSpeed(), rand.New(rand.NewPCG(10, 10))
	speed.teach(slowEngine, 200, random)
	speed.expectNear(g, slowEngine)
	speed.teach(usualSpeed, 200, random)
	speed.expectNear(g, usualSpeed)
	g.Expect(speed.step(16)).To(Equal(startStepTime + 16*startStepPerRequest))
}

// Engines like the start values under long prompts, whose tokens take longer as each attends to all before it
// (a token takes twice as long at 18,000), in bursts that make most of them wait: the start values hold. Slow
// engines under the same load count as slow throughout.
func TestLongPromptsInBurstsAreNoSlowEngine(t *testing.T) {
	const attended = 18_000
	for _, c := range []struct {
		engine  testEngine
		differs bool
	}{{usualSpeed, false}, {slowEngine, true}} {
		g := NewWithT(t)
		speed, random := newEngineSpeed(), rand.New(rand.NewPCG(11, 11))
		switches, differed := 0, false
		for i := range 600 {
			tokens := 500 + random.IntN(3500)
			context := tokens * (1 + random.IntN(4)) // most of long prompts is cached
			took := c.engine.firstEvent + c.engine.prefill(tokens*(attended+context)/attended) + c.engine.step*time.Duration(1+tokens/prefillChunkTokens)
			if i/100%2 == 1 && random.IntN(10) < 8 {
				took += time.Duration(random.IntN(400)) * time.Millisecond
			}
			speed.recordPrefill(tokens, 0, took)
			if speed.differs != differed {
				switches, differed = switches+1, speed.differs
			}
		}
		g.Expect(differed).To(Equal(c.differs))
		g.Expect(switches).To(BeNumerically("<=", 1))
	}
}
