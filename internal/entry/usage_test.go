package entry

import (
	"context"
	"log/slog"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/fleet"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
)

// testWindow is so long that no window ends during a test: window 1 is that of the years 2010 to 2049.
const testWindow = 40 * 365 * 24 * time.Hour

// newUsageExchange returns an exchange whose counter has two requests of workspace w1 in window 0,
// which has ended, and one of w2 in window 1; and what is to be reported of them.
func newUsageExchange(exchanger *fakeExchanger) (x *loadExchange, ended, present usage.Report) {
	e := New(Options{Logger: slog.New(slog.DiscardHandler), UsageWindow: testWindow, UsageRetention: testWindow})
	e.usage.counter.Advance(0)
	e.usage.counter.Add("w1")
	e.usage.counter.Add("w1")
	e.usage.add("w2")
	source := e.usage.counter.Reports().Reports[0].Source
	ended = usage.Report{Source: source, Window: 0, Final: true, Counts: []usage.Count{{Workspace: "w1", Requests: 2}}}
	present = usage.Report{Source: source, Window: 1, Counts: []usage.Count{{Workspace: "w2", Requests: 1}}}
	known := fleet.LoadReport{Cursor: fleet.ExchangeCursor{Incarnation: exchanger.incarnation + 1}} // of an earlier exchange
	return &loadExchange{exchanger: exchanger, entry: e, usage: e.usage, judge: newIsolatedJudge(time.Now()), lastResponse: known}, ended, present
}

// exchangeUsage exchanges load as if the last report were long ago. It returns the usage that the
// control host received, nil if it wasn't reached.
func exchangeUsage(x *loadExchange) []usage.Report {
	exchanger := x.exchanger.(*fakeExchanger)
	exchanger.received = fleet.LoadReport{}
	x.usage.sentAt = time.Time{}
	x.exchangeOnce(context.Background())
	return exchanger.received.Usage
}

// Guards against counts that are dropped before a control host keeps them: a call that failed, and a
// host that counts no usage, must leave them to be reported again.
func TestUsageIsReportedUntilAHostHasReceivedIt(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{usageLife: 1, unreachable: true}
	x, ended, present := newUsageExchange(exchanger)
	g.Expect(exchangeUsage(x)).To(BeNil())
	g.Expect(exchangeUsage(x)).To(BeNil())
	exchanger.unreachable, exchanger.usageLife = false, 0
	for range 2 {
		g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{ended, present}), "the host counts no usage")
	}
	exchanger.usageLife = 1
	g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{ended, present}))
	g.Expect(exchangeUsage(x)).To(BeEmpty(), "all is acknowledged")
	x.usage.add("w3")
	exchanger.unreachable = true
	g.Expect(exchangeUsage(x)).To(BeNil())
	exchanger.unreachable = false
	present.Counts = []usage.Count{{Workspace: "w3", Requests: 1}}
	g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{present}), "only what is new")
}

// Guards against requests that begin while a report is on its way and are taken for reported.
func TestRequestDuringAReportIsReportedLater(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{usageLife: 1}
	x, ended, present := newUsageExchange(exchanger)
	exchanger.onCall = func() { x.usage.add("w2") }
	g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{ended, present}))
	exchanger.onCall = nil
	present.Counts = []usage.Count{{Workspace: "w2", Requests: 2}}
	g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{present}))
	g.Expect(exchangeUsage(x)).To(BeEmpty())
}

// Guards against a host that started anew while this entry had nothing to tell: its cursor says so.
func TestHostThatStartedAnewIsToldWithoutNewRequests(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{usageLife: 1}
	x, ended, present := newUsageExchange(exchanger)
	g.Expect(exchangeUsage(x)).To(HaveLen(2))
	exchanger.incarnation++
	exchanger.usageLife++
	g.Expect(exchangeUsage(x)).To(BeEmpty())
	g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{ended, present}))
}

// Guards against counts that are lost with the memory of a control host. The load it answers: control
// hosts that are restarted, wiped or replaced during a window.
func TestHostThatStartedAnewIsToldAllWindows(t *testing.T) {
	for name, startAnew := range map[string]func(host *fakeExchanger){
		"other life":               func(host *fakeExchanger) { host.usageLife++ },
		"other cursor incarnation": func(host *fakeExchanger) { host.incarnation++ },
		"both":                     func(host *fakeExchanger) { host.usageLife++; host.incarnation++ },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			exchanger := &fakeExchanger{usageLife: 1}
			x, ended, present := newUsageExchange(exchanger)
			settle := func() {
				g.Eventually(func() []usage.Report { return exchangeUsage(x) }).Should(BeEmpty())
			}
			settle()
			startAnew(exchanger)
			x.usage.add("w2")
			present.Counts[0].Requests++
			g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{present}), "only the answer tells that the host started anew")
			g.Expect(x.usage.isDue(time.Now())).To(BeTrue(), "an ended window is told at once")
			g.Expect(exchangeUsage(x)).To(Equal([]usage.Report{ended, present}))
			settle()
		})
	}
}

// A window that hasn't ended is reported once in usageReportInterval, one that has ended at once.
func TestUsageIsDue(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{usageLife: 1}
	x, _, present := newUsageExchange(exchanger)
	now := time.Now()
	g.Expect(x.usage.take(now)).To(HaveLen(2))
	g.Expect(x.usage.isDue(now)).To(BeTrue(), "the ended window isn't acknowledged")
	x.usage.received(1)
	g.Expect(x.usage.isDue(now.Add(usageReportInterval - 1))).To(BeFalse())
	x.usage.add("w2")
	g.Expect(x.usage.take(now.Add(usageReportInterval - 1))).To(BeEmpty())
	g.Expect(x.usage.isDue(now.Add(usageReportInterval))).To(BeTrue())
	present.Counts = []usage.Count{{Workspace: "w2", Requests: 2}}
	g.Expect(x.usage.take(now.Add(usageReportInterval))).To(Equal([]usage.Report{present}))
}

// A planned stop hands over what the entry counted since its last report, though that was just now
// and the context of the exchange has ended.
func TestStopHandsOverTheLastCounts(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{usageLife: 1}
	x, ended, present := newUsageExchange(exchanger)
	present.Final, present.Last = true, true
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	x.usage.sentAt = time.Now()
	g.Expect(x.run(ctx)).To(Succeed())
	g.Expect(exchanger.received.Usage).To(Equal([]usage.Report{ended, present}))
	g.Expect(exchanger.received.Urgent).To(BeTrue())
}

// Guards against last counts that are lost with a call that fails, and with a control host that has started
// anew and answers without the windows before.
func TestStopHandsOverUntilAHostHasAllCounts(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{usageLife: 1}
	x, ended, present := newUsageExchange(exchanger)
	g.Eventually(func() []usage.Report { return exchangeUsage(x) }).Should(BeEmpty())
	present.Final, present.Last = true, true
	var received [][]usage.Report
	calls := 0
	exchanger.onCall = func() {
		calls++
		if exchanger.received.Usage != nil {
			received = append(received, exchanger.received.Usage)
		}
		exchanger.received = fleet.LoadReport{}
		exchanger.unreachable = calls <= 2
		if calls == 3 {
			exchanger.usageLife++ // the host has started anew
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(x.run(ctx)).To(Succeed())
	received = append(received, exchanger.received.Usage)
	g.Expect(received).To(Equal([][]usage.Report{{present}, {ended, present}}))
	g.Expect(x.usage.hasEnded()).To(BeFalse())
}

// A host that counts no usage, or none, ends the hand-over after handOverTimeout.
func TestHandOverIsBounded(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{unreachable: true}
	x, _, _ := newUsageExchange(exchanger)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(x.run(ctx)).To(Succeed())
	g.Expect(x.usage.hasEnded()).To(BeTrue())
}

// After a report of all counts, the last one still says that the window has ended here, so that the
// control hosts needn't wait for this entry.
func TestStopWithoutNewCountsEndsTheWindow(t *testing.T) {
	g := NewWithT(t)
	exchanger := &fakeExchanger{usageLife: 1}
	x, _, present := newUsageExchange(exchanger)
	present.Final, present.Last = true, true
	g.Eventually(func() []usage.Report { return exchangeUsage(x) }).Should(BeEmpty())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(x.run(ctx)).To(Succeed())
	g.Expect(exchanger.received.Usage).To(Equal([]usage.Report{present}))
}

// Deployments that count no usage must exchange reports without it, and make no last call at a stop.
func TestNoUsageWithoutAWindow(t *testing.T) {
	g := NewWithT(t)
	calls := 0
	exchanger := &fakeExchanger{usageLife: 1, onCall: func() { calls++ }}
	e := New(Options{Logger: slog.New(slog.DiscardHandler), UsageRetention: testWindow})
	g.Expect(e.usage).To(BeNil())
	x := &loadExchange{exchanger: exchanger, entry: e, usage: e.usage, judge: newIsolatedJudge(time.Now())}
	x.exchangeOnce(context.Background())
	g.Expect(exchanger.received.Usage).To(BeNil())
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	g.Expect(x.run(ctx)).To(Succeed())
	g.Expect(calls).To(Equal(1))
}
