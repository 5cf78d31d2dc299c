package admission

import (
	"flag"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// rapidSeed makes every run draw the same cases; the flag -rapid.seed overrides it.
const rapidSeed = "20261204"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

var epoch = time.Unix(1_800_000_000, 0)

// draft is a request of the least urgent class, and chat one of the most urgent class.
func draft(fingerprint uint64) Request {
	return Request{Service: "llm", Route: "draft", Fingerprint: fingerprint, Rank: 2, IsPrompt: true, Events: 10, LatencyTarget: 2 * time.Second,
		FirstEvent: time.Second, QueueWait: 800 * time.Millisecond, TimeLeft: 8 * time.Second}
}

func chat(fingerprint uint64) Request {
	return Request{Service: "llm", Route: "chat", Fingerprint: fingerprint, IsPrompt: true, Events: 60, LatencyTarget: 500 * time.Millisecond,
		FirstEvent: time.Second, QueueWait: 800 * time.Millisecond, TimeLeft: 15 * time.Second}
}

// recordChats records streams of the most urgent class, of which a number missed their targets.
func recordChats(c *Controller, now time.Time, streams, missed int) {
	for i := range streams {
		c.RecordStream(now, "llm", 0, i < missed)
	}
}

// A burst of all classes at three times the capacity: two of three urgent streams miss their targets.
func TestBurstAtThreeTimesCapacityRefusesTheLeastUrgentClassOnly(t *testing.T) {
	g := NewWithT(t)
	c := New()
	recordChats(c, epoch, 30, 20)
	drafts := 0
	for i := range uint64(300) {
		g.Expect(c.Decide(epoch, chat(i))).To(BeNil())
		if refusal := c.Decide(epoch, draft(1000+i)); refusal != nil {
			g.Expect(refusal.Reason).To(Equal(MoreUrgentFirst))
			drafts++
		}
	}
	g.Expect(drafts).To(BeNumerically(">=", 100), "two thirds of the urgent streams are late")
	g.Expect(drafts).To(BeNumerically("<", 300), "the class keeps a share")
}

// A burst that is over, and one that endpoints still have room for.
func TestNothingIsRefusedWithoutAQueue(t *testing.T) {
	g := NewWithT(t)
	c := New()
	recordChats(c, epoch, 30, 30)
	idle := draft(1)
	idle.QueueWait = 0
	g.Expect(c.Decide(epoch, idle)).To(BeNil())
	later := epoch.Add(time.Minute)
	recordChats(c, later, 30, 0)
	for i := range uint64(100) {
		g.Expect(c.Decide(later, draft(i))).To(BeNil())
	}
}

// One caller in ten repeats at once, ten times, while the class is refused in part.
func TestCallersThatRepeatAtOnceGainNothing(t *testing.T) {
	g := NewWithT(t)
	c := New()
	recordChats(c, epoch, 30, 30)
	for i := range uint64(200) {
		if c.Decide(epoch, draft(i)) == nil {
			continue
		}
		c.RecordRefused(epoch, i, time.Second)
		if i%10 != 0 {
			continue
		}
		for repeat := range 10 {
			at := epoch.Add(time.Duration(repeat) * 50 * time.Millisecond)
			refusal := c.Decide(at, draft(i))
			g.Expect(refusal).NotTo(BeNil())
			g.Expect(refusal.Reason).To(Equal(ReturnedTooEarly))
			g.Expect(at.Add(refusal.ReturnIn)).To(Equal(epoch.Add(time.Second)), "the time it was told stays")
			c.RecordRefused(at, i, time.Minute)
		}
	}
}

// Callers refused in a burst return at their time while it lasts.
func TestReturningCallersGoBeforeNewOnesOfTheirClass(t *testing.T) {
	g := NewWithT(t)
	c := New()
	recordChats(c, epoch, 30, 30)
	var refused []uint64
	for i := range uint64(50) {
		if c.Decide(epoch, draft(i)) != nil {
			c.RecordRefused(epoch, i, time.Second)
			refused = append(refused, i)
		}
	}
	g.Expect(len(refused)).To(BeNumerically(">", 20))
	back := epoch.Add(1100 * time.Millisecond)
	recordChats(c, back, 30, 30)
	for _, i := range refused {
		g.Expect(c.Returned(back, i)).To(BeTrue())
		g.Expect(c.Decide(back, draft(i))).To(BeNil())
	}
	for i := range uint64(3) {
		g.Expect(c.Decide(back, draft(1000+i))).NotTo(BeNil(), "new requests make up for those that returned")
	}
}

// Deadlines of 600 ms beside 15 s, at a pace of 100 ms an event.
func TestWorkThatCannotEndIsNotBegun(t *testing.T) {
	g := NewWithT(t)
	c := New()
	for range 20 {
		c.RecordGap(epoch, "llm", "chat", 100*time.Millisecond)
	}
	short, long := chat(1), chat(2)
	short.TimeLeft = 600 * time.Millisecond
	refusal := c.Decide(epoch, short)
	g.Expect(refusal).NotTo(BeNil())
	g.Expect(refusal.Reason).To(Equal(TooLittleTime))
	g.Expect(refusal.ExpectedEnd).To(BeNumerically("~", 6900*time.Millisecond, 10*time.Millisecond))
	g.Expect(c.Decide(epoch, long)).To(BeNil())
	lookup := Request{Service: "app", Route: "lookup", FirstEvent: 30 * time.Millisecond, TimeLeft: 600 * time.Millisecond}
	g.Expect(c.Decide(epoch, lookup)).To(BeNil())
	prompt := Request{Service: "llm", Route: "other", IsPrompt: true, FirstEvent: 500 * time.Millisecond, TimeLeft: 600 * time.Millisecond}
	g.Expect(c.Decide(epoch, prompt)).To(BeNil(), "it can end")
	prompt.FirstEvent = 2 * time.Second
	g.Expect(c.Decide(epoch, prompt)).NotTo(BeNil())
}

// Long requests beside short ones of the same class, when about half of it is refused.
func TestLongRequestsAreServedAsOftenAsShortOnes(t *testing.T) {
	g := NewWithT(t)
	c := New()
	recordChats(c, epoch, 100, 62)
	begun := map[bool]int{}
	for i := range uint64(1000) {
		r := draft(i)
		isLong := i%10 == 3
		if isLong {
			r.Events = 30
		}
		if c.Decide(epoch, r) == nil {
			begun[isLong]++
		}
	}
	g.Expect(float64(begun[true]) / 100).To(BeNumerically("~", float64(begun[false])/900, 0.15))
}

// A burst of four seconds that slows streams to a third of their pace: long streams have until after it.
func TestLongStreamsAreBegunInAShortBurst(t *testing.T) {
	g := NewWithT(t)
	c := New()
	for i := range 40 {
		c.RecordGap(epoch.Add(time.Duration(i)*50*time.Millisecond), "llm", "chat", 50*time.Millisecond)
	}
	burst := epoch.Add(6 * time.Second)
	for i := range 200 {
		c.RecordGap(burst.Add(time.Duration(i)*20*time.Millisecond), "llm", "chat", 300*time.Millisecond)
	}
	r := chat(1)
	r.Events = 150
	at := burst.Add(4 * time.Second)
	g.Expect(c.Decide(at, r)).To(BeNil(), "150 events would take 45 s if the burst went on")
	r.TimeLeft = time.Second
	g.Expect(c.Decide(at, r)).NotTo(BeNil())
}

func TestReturnTimesLeaveTimeToEndAndAreSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		millis := func(name string, limit int) time.Duration {
			return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
		}
		backlog, end, left := millis("backlog", 5000), millis("end", 20000), millis("left", 15000)
		first := ReturnIn(backlog, end, left, 0)
		last := ReturnIn(backlog, end, left, 0.999)
		if first == 0 {
			g.Expect(max(backlog, minReturnIn) + time.Duration(optimism*float64(end))).To(BeNumerically(">=", left))
			return
		}
		g.Expect(first).To(BeNumerically(">=", backlog))
		g.Expect(last).To(BeNumerically(">", first), "callers refused together return spread")
		g.Expect(last + time.Duration(optimism*float64(end))).To(BeNumerically("<=", left))
	})
}

func TestRefusedCallersAreForgottenAndBounded(t *testing.T) {
	g := NewWithT(t)
	c := New()
	for i := range uint64(2 * maxReturns) {
		c.RecordRefused(epoch, i, time.Second)
	}
	g.Expect(len(c.returns.at)).To(Equal(maxReturns))
	later := epoch.Add(time.Second + returnTTL)
	g.Expect(c.Returned(later, 1)).To(BeFalse())
	c.RecordRefused(later, 1<<40, time.Second)
	g.Expect(len(c.returns.at)).To(Equal(1))
}

// Digests that have waited their turn are begun behind long queues while the more urgent notes are in time, and
// the less of that the more notes miss their targets: their work would add to the notes' pauses.
func TestTurnsAreWorthLessWhileMoreUrgentStreamsAreLate(t *testing.T) {
	g := NewWithT(t)
	c := New()
	g.Expect(c.Allowance(epoch, "llm", 2)).To(Equal(1.0), "nothing is known")
	last := 1.0
	for _, missedOfTwenty := range []int{0, 1, 2, 4} {
		c := New()
		for i := range 20 {
			c.RecordStream(epoch, "llm", 0, i < missedOfTwenty)
			c.RecordStream(epoch, "llm", 2, true)
		}
		allowance := c.Allowance(epoch, "llm", 2)
		g.Expect(allowance).To(BeNumerically("<=", last))
		last = allowance
		g.Expect(c.Allowance(epoch, "llm", 0)).To(Equal(1.0), "no rank is more urgent")
	}
	g.Expect(last).To(BeZero())
}
