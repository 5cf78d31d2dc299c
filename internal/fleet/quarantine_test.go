package fleet

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
)

const crashingPart uint64 = 99

// brokenAttempt is an attempt with the crashing part that broke just now.
func brokenAttempt(endpoint uint64) quarantine.BrokenAttempt {
	now := time.Now()
	return quarantine.BrokenAttempt{Endpoint: endpoint, SentAt: now.Add(-20 * time.Millisecond), BrokenAt: now, HasHead: true, Parts: []uint64{1, crashingPart}}
}

// reportCrashes lets each entry in turn report one attempt that broke, and many served ones.
func reportCrashes(t *testing.T, reporters ...*Follower) {
	g := NewWithT(t)
	for i, reporter := range reporters {
		g.Eventually(func() error {
			_, err := reporter.ExchangeLoad(context.Background(), LoadReport{Outcomes: AttemptOutcomes{Broken: []quarantine.BrokenAttempt{brokenAttempt(uint64(i))}, ServedAttempts: map[string]int{"": 200}}})
			return err
		}, "3s").Should(Succeed())
		time.Sleep(50 * time.Millisecond)
	}
	_, err := reporters[0].ExchangeLoad(context.Background(), LoadReport{Outcomes: AttemptOutcomes{Served: []ServedKey{{Key: 1, SentAt: time.Now()}}}})
	g.Expect(err).NotTo(HaveOccurred())
}

func (c *recordingConsumer) quarantine() map[uint64]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.quarantined
}

// Guards against evidence that is kept by each host: three entries in three failure domains see
// one crash each, and all entries must learn the verdict, also one that comes later and
// after all control hosts have restarted.
func TestCrashesSeenByDifferentEntriesAddUp(t *testing.T) {
	g := NewWithT(t)
	hosts := []*controlHost{newControlHost(t, "a"), newControlHost(t, "b"), newControlHost(t, "c")}
	connectPeers(hosts...)
	var reporters []*Follower
	var consumers []*recordingConsumer
	for i, domain := range []string{"a", "b", "c"} {
		f, c := startFollowerIn(t, "e"+domain, domain, hosts...)
		reporters, consumers = append(reporters, f), append(consumers, c)
		g.Eventually(func() int { return f.Status().LiveHostCount }, "3s").Should(Equal(len(hosts)), "entry %d", i)
	}
	// Control hosts poll one another only while entries report to them.
	for _, f := range reporters {
		_, err := f.ExchangeLoad(context.Background(), LoadReport{})
		g.Expect(err).NotTo(HaveOccurred())
	}
	reportCrashes(t, reporters...)
	stop := keepReporting(reporters)
	defer stop()
	for _, c := range consumers {
		g.Eventually(c.quarantine, "3s").Should(Equal(map[uint64]bool{crashingPart: true}))
	}
	_, newcomer := startFollower(t, "newcomer", hosts...)
	g.Eventually(newcomer.quarantine, "3s").Should(Equal(map[uint64]bool{crashingPart: true}))

	stored := func() []document.QuarantinedPart {
		parts, _ := hosts[0].state.State().Machine.Quarantined()
		return parts
	}
	g.Eventually(stored, "3s").Should(ConsistOf(document.QuarantinedPart{Part: crashingPart, Active: true, Offences: 1}))
	restarted := startControlHost(t, "a", hosts[0].log, hosts[0].state.State().Machine)
	_, afterRestart := startFollower(t, "after", restarted)
	g.Eventually(afterRestart.quarantine, "3s").Should(Equal(map[uint64]bool{crashingPart: true}))
}

// keepReporting lets entries exchange their load until the returned function is called.
func keepReporting(reporters []*Follower) (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, f := range reporters {
				_, _ = f.ExchangeLoad(ctx, LoadReport{Outcomes: AttemptOutcomes{ServedAttempts: map[string]int{"": 10}}})
			}
			time.Sleep(50 * time.Millisecond)
		}
	}()
	return func() { cancel(); <-done }
}

// A part that endpoints serve after its verdict is released for good: the verdict was wrong.
func TestServedPartIsExonerated(t *testing.T) {
	g := NewWithT(t)
	host := newControlHost(t, "a")
	f, c := startFollower(t, "e1", host)
	g.Eventually(func() int { return f.Status().LiveHostCount }, "3s").Should(Equal(1))
	reportCrashes(t, f, f, f)
	g.Eventually(c.quarantine, "3s").Should(Equal(map[uint64]bool{crashingPart: true}))
	_, err := f.ExchangeLoad(context.Background(), LoadReport{Outcomes: AttemptOutcomes{Served: []ServedKey{{Key: crashingPart, SentAt: time.Now()}}}})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(c.quarantine, "3s").Should(BeEmpty())
	stored := func() []document.QuarantinedPart { parts, _ := host.state.State().Machine.Quarantined(); return parts }
	g.Eventually(stored, "3s").Should(BeEmpty())
}

// Guards against a verdict that restarts of all control hosts lift: until one is up to date, what
// they list is not complete.
func TestControlHostsThatCatchUpReleaseNoPart(t *testing.T) {
	g := NewWithT(t)
	c := &recordingConsumer{}
	f := NewFollower(FollowerOptions{Consumer: c, Logger: discardLogger})
	h := &host{url: "u", live: true}
	f.hosts[h.url] = h
	event := func(confirmed bool, parts ...uint64) *pb.FleetEvent {
		return &pb.FleetEvent{Confirmed: confirmed, Quarantine: &pb.QuarantinedParts{Parts: parts}}
	}
	f.applyEvent(h, event(true, crashingPart))
	g.Expect(c.quarantine()).To(Equal(map[uint64]bool{crashingPart: true}))
	f.setLive(h, false, nil)
	f.applyEvent(h, event(false))
	f.setLive(h, true, nil)
	f.applyEvent(h, event(false))
	g.Expect(c.quarantine()).To(Equal(map[uint64]bool{crashingPart: true}))
	f.applyEvent(h, event(false, 7))
	g.Expect(c.quarantine()).To(Equal(map[uint64]bool{crashingPart: true, 7: true}))
	f.applyEvent(h, event(true))
	g.Expect(c.quarantine()).To(BeEmpty())
}

// The time of a quarantine doubles with each offence, up to a limit.
func TestQuarantineTime(t *testing.T) {
	g := NewWithT(t)
	g.Expect(quarantineTime(1)).To(Equal(firstQuarantine))
	g.Expect(quarantineTime(2)).To(Equal(2 * firstQuarantine))
	g.Expect(quarantineTime(100)).To(Equal(maxQuarantine))
}

// A part is released after its time, and quarantined again at its first crash.
func TestQuarantineEndsAndReturns(t *testing.T) {
	g := NewWithT(t)
	k, now := newQuarantineKeeper(), time.Unix(1_800_000_000, 0)
	stored := []document.QuarantinedPart{{Part: crashingPart, Active: true, Offences: 1}}
	changes, _ := k.decide(now, stored)
	g.Expect(changes).To(BeEmpty())
	changes, _ = k.decide(now.Add(firstQuarantine), stored)
	g.Expect(changes).To(BeEmpty())
	later := now.Add(firstQuarantine + time.Second)
	changes, _ = k.decide(later, stored)
	g.Expect(changes).To(Equal(map[uint64]document.QuarantineChange{crashingPart: document.Release}))
	stored[0].Active = false
	changes, _ = k.decide(later, stored)
	g.Expect(changes).To(BeEmpty())
	k.add(later, "e", AttemptOutcomes{ServedAttempts: map[string]int{"": 100}, Broken: []quarantine.BrokenAttempt{{Endpoint: 1, SentAt: later, BrokenAt: later, HasHead: true, Parts: []uint64{crashingPart}}}})
	changes, added := k.decide(later.Add(time.Second), stored)
	g.Expect(added).To(Equal([]uint64{crashingPart}))
	g.Expect(changes).To(Equal(map[uint64]document.QuarantineChange{crashingPart: document.Quarantine}))
}

// At 350 entries the outcomes of ten attempts a second cost an entry under a tenth of the
// 5 KB/s that a node may use for control.
func TestOutcomesStayWithinTheirByteRate(t *testing.T) {
	g := NewWithT(t)
	var o AttemptOutcomes
	now := time.Now()
	for i := range uint64(20) { // ten prompts of three parts, exchanged once a second
		o.Served = append(o.Served, ServedKey{Key: i << 40, SentAt: now.Add(-time.Duration(i) * 50 * time.Millisecond)})
	}
	o.ServedAttempts = map[string]int{"service": 10}
	for i := range uint64(10) { // each at another endpoint
		o.Responses = append(o.Responses, Response{Endpoint: i << 40, SentAt: now.Add(-time.Duration(i) * 100 * time.Millisecond)})
	}
	g.Expect(proto.Size(outcomesToProto(now, o))).To(BeNumerically("<", 500))
}

// Guards against breaks that are taken for crashes by a control host whose entries did not see that
// the endpoint goes on, and against a popular request that is condemned where few entries saw it served.
func TestControlHostsPassOnWhatClearsARequest(t *testing.T) {
	g := NewWithT(t)
	now := time.Unix(1_800_000_000, 0)
	request := quarantine.RequestKey(7)
	broken := quarantine.BrokenAttempt{Endpoint: 1, SentAt: now, BrokenAt: now.Add(30 * time.Millisecond), Request: request, Service: "s"}
	k := newQuarantineKeeper()
	k.add(now, "e1", AttemptOutcomes{Served: []ServedKey{{Key: request, SentAt: now.Add(-time.Second)}}})
	k.add(now, "e1", AttemptOutcomes{Broken: []quarantine.BrokenAttempt{broken}})
	response := Response{Endpoint: 1, SentAt: now.Add(time.Second)}
	k.add(now, "e2", AttemptOutcomes{Responses: []Response{response}})
	records, _ := k.outcomes.since(ExchangeCursor{}, "")
	passed := outcomesFromProto(now, outcomesToProto(now, outcomesOf(records)))
	g.Expect(passed.Broken).To(HaveLen(1))
	g.Expect(passed.Broken[0].Request).To(Equal(request))
	g.Expect(passed.Broken[0].Service).To(Equal("s"))
	g.Expect(passed.Served).To(Equal([]ServedKey{{Key: request, SentAt: now.Add(-time.Second)}}))
	g.Expect(passed.Responses).To(HaveLen(1))
	g.Expect(passed.Responses[0].Endpoint).To(Equal(uint64(1)))
}

// Guards against a verdict that stands although the endpoints that it rests on are known to go on: what it
// refuses can't be served any more, and so not lift it.
func TestVerdictEndsIfItsEndpointsGoOn(t *testing.T) {
	for name, test := range map[string]struct {
		responding int // of the four endpoints
		change     map[uint64]document.QuarantineChange
	}{
		"one goes on":  {1, map[uint64]document.QuarantineChange{}},
		"two go on":    {2, map[uint64]document.QuarantineChange{quarantine.RequestKey(7): document.Exonerate}},
		"all going on": {4, map[uint64]document.QuarantineChange{quarantine.RequestKey(7): document.Exonerate}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			start, request := time.Unix(1_800_000_000, 0), quarantine.RequestKey(7)
			after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
			k := newQuarantineKeeper()
			k.add(start, "e", AttemptOutcomes{ServedAttempts: map[string]int{"s": 200}, Served: []ServedKey{{Key: request, SentAt: start}}})
			for i := range 4 {
				at := after(100 + 60*i)
				k.add(at, "e", AttemptOutcomes{Broken: []quarantine.BrokenAttempt{{Endpoint: uint64(i), SentAt: at.Add(-time.Millisecond), BrokenAt: at, Request: request, Service: "s"}}})
			}
			_, added := k.decide(after(4000), nil)
			g.Expect(added).To(Equal([]uint64{request}))
			stored := []document.QuarantinedPart{{Part: request, Active: true, Offences: 1}}
			changes, _ := k.decide(after(4100), stored)
			g.Expect(changes).To(BeEmpty())
			for i := range test.responding {
				k.add(after(4200), "e", AttemptOutcomes{Responses: []Response{{Endpoint: uint64(i), SentAt: after(1500)}}})
			}
			changes, _ = k.decide(after(4300), stored)
			g.Expect(changes).To(Equal(test.change))
		})
	}
}

// Guards against a wrong verdict on a part that offended before, whose end makes its earlier offences forgotten: it
// would have to crash three endpoints again.
func TestEndOfAWrongVerdictKeepsEarlierOffences(t *testing.T) {
	g := NewWithT(t)
	start, request := time.Unix(1_800_000_000, 0), quarantine.RequestKey(7)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	k := newQuarantineKeeper()
	k.add(start, "e", AttemptOutcomes{ServedAttempts: map[string]int{"s": 200}})
	k.add(after(100), "e", AttemptOutcomes{Broken: []quarantine.BrokenAttempt{{Endpoint: 1, SentAt: start, BrokenAt: after(100), Request: request, Service: "s"}}})
	_, added := k.decide(after(4000), []document.QuarantinedPart{{Part: request, Offences: 1}})
	g.Expect(added).To(Equal([]uint64{request}))
	stored := []document.QuarantinedPart{{Part: request, Active: true, Offences: 2}}
	k.decide(after(4100), stored)
	k.add(after(4200), "e", AttemptOutcomes{Responses: []Response{{Endpoint: 1, SentAt: after(1500)}}})
	changes, _ := k.decide(after(4300), stored)
	g.Expect(changes).To(Equal(map[uint64]document.QuarantineChange{request: document.Release}))
}

// Guards against a wrong verdict that stands as long as the process runs, because the log has no room for it.
func TestVerdictThatIsNotStoredEndsIfItsEndpointsGoOn(t *testing.T) {
	g := NewWithT(t)
	start, request := time.Unix(1_800_000_000, 0), quarantine.RequestKey(7)
	after := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	k := newQuarantineKeeper()
	var full []document.QuarantinedPart
	for i := range document.MaxQuarantinedParts {
		full = append(full, document.QuarantinedPart{Part: uint64(1000 + i), Active: true, Offences: 1})
	}
	k.add(start, "e", AttemptOutcomes{ServedAttempts: map[string]int{"s": 200}})
	for i := range 3 {
		at := after(100 + 60*i)
		k.add(at, "e", AttemptOutcomes{Broken: []quarantine.BrokenAttempt{{Endpoint: uint64(i), SentAt: at.Add(-time.Millisecond), BrokenAt: at, Request: request, Service: "s"}}})
	}
	_, added := k.decide(after(4000), full)
	g.Expect(added).To(Equal([]uint64{request}))
	for i := range 3 {
		k.add(after(4200), "e", AttemptOutcomes{Responses: []Response{{Endpoint: uint64(i), SentAt: after(1500)}}})
	}
	k.decide(after(4300), full)
	g.Expect(k.quarantined(full)).NotTo(ContainElement(request))
}
