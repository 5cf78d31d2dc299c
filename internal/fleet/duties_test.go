package fleet

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/steady"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
)

// testWindow is the length of a window. Less than duty.MaxWindows are due at once.
const testWindow = 200 * time.Millisecond

// fakeUsage has the same counts in each window from the first one on.
type fakeUsage struct{ first uint64 }

func (u fakeUsage) CollectUsage(_ context.Context, window int64) (usage.Totals, bool, error) {
	if !u.HasUsage(uint64(window)) {
		return usage.Totals{}, true, nil
	}
	return usage.Totals{Counts: map[string]uint64{"w": 3}}, true, nil
}

func (u fakeUsage) HasUsage(window uint64) bool { return window >= u.first }

// fakeReporter records the calls that it may make and fails as often as configured.
type fakeReporter struct {
	failures atomic.Int64
	err      error

	mu    sync.Mutex
	calls []UsageReport
}

func (r *fakeReporter) ReportUsage(_ context.Context, report UsageReport, mayCall func() bool) error {
	if !mayCall() {
		return &ReportDeclinedError{}
	}
	r.mu.Lock()
	r.calls = append(r.calls, report)
	r.mu.Unlock()
	if r.failures.Add(-1) >= 0 {
		return r.err
	}
	return nil
}

func (r *fakeReporter) all() []UsageReport {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]UsageReport(nil), r.calls...)
}

// singleLog is a log with one member, which leads unless it has no quorum.
type singleLog struct {
	*replica.MemoryLog
	noQuorum atomic.Bool
}

func (*singleLog) ReadBarrier(context.Context) error { return nil }

func (l *singleLog) Propose(ctx context.Context, command []byte) ([]byte, error) {
	if l.noQuorum.Load() {
		return nil, &replica.NotRecordedError{Reason: "no quorum"}
	}
	return l.MemoryLog.Propose(ctx, command)
}

func (*singleLog) Status() replica.Status {
	return replica.Status{ID: 1, LeaderID: 1, Members: []replica.Member{{ID: 1, IsVoter: true}}}
}

// dutyHost is a control host that reports windows of 200 ms.
type dutyHost struct {
	machine  *document.StateMachine
	log      *singleLog
	reporter *fakeReporter
	metrics  *metrics.Registry
	ctx      context.Context
	stop     context.CancelFunc
	done     chan error
}

func startDutyHost(t *testing.T, reporter *fakeReporter) *dutyHost {
	machine := document.New()
	return startDutyHostWith(t, reporter, machine, fixedState{machine})
}

func startDutyHostWith(t *testing.T, reporter *fakeReporter, machine *document.StateMachine, state StateSource) *dutyHost {
	h := &dutyHost{machine: machine, log: &singleLog{MemoryLog: replica.NewMemoryLog(machine)}, reporter: reporter, metrics: metrics.New(), done: make(chan error, 1)}
	duties, err := NewDuties(DutiesOptions{Log: h.log, State: state, Reporter: reporter, Usage: fakeUsage{first: uint64(time.Duration(time.Now().UnixNano()) / testWindow)}, HostID: 1, HostName: "control-1",
		CallTimeout: 100 * time.Millisecond, Reuse: time.Second, UsageWindow: testWindow, UsageDue: 40 * testWindow, MaxCallsPerSecond: 1000,
		Logger: slog.New(slog.DiscardHandler), Metrics: h.metrics})
	if err != nil {
		t.Fatal(err)
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	t.Cleanup(h.stop)
	go func() { h.done <- duties.Run(h.ctx) }()
	return h
}

// Guards against a call that failed and is not repeated, or is repeated with other bytes.
func TestFailedReportIsRepeated(t *testing.T) {
	for name, err := range map[string]error{
		"busy":        &OutsideBusyError{RetryAfter: 50 * time.Millisecond},
		"silent":      &OutsideTimeoutError{After: time.Second},
		"unreachable": &OutsideConnectionError{Cause: context.DeadlineExceeded},
		"reset":       &OutsideConnectionError{Sent: true, Cause: context.DeadlineExceeded},
		"failing":     &OutsideRejectedError{Status: 500},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			reporter := &fakeReporter{err: err}
			reporter.failures.Store(2)
			h := startDutyHost(t, reporter)
			g.Eventually(func() int64 { return h.metrics.CounterValue(metrics.UsageReported) }, "20s").Should(BeNumerically(">", 1))
			calls := reporter.all()
			g.Expect(calls[1]).To(Equal(calls[0]))
			g.Expect(calls[2]).To(Equal(calls[0]))
			g.Expect(calls[3].Window).To(Equal(calls[0].Window + 1))
			g.Expect(h.metrics.CounterValue(metrics.UsageFailedCalls)).To(Equal(int64(2)))
		})
	}
}

// Guards against windows that are left out because the log had no quorum at their end.
func TestWindowsWithoutQuorumAreReportedLater(t *testing.T) {
	g := NewWithT(t)
	reporter := &fakeReporter{}
	h := startDutyHost(t, reporter)
	g.Eventually(func() int { return len(reporter.all()) }, "20s").Should(BeNumerically(">", 0))
	h.log.noQuorum.Store(true)
	before := reporter.all()
	until := steady.Now() + 3*testWindow
	g.Eventually(func() bool { return steady.Now() > until }, "20s").Should(BeTrue())
	h.log.noQuorum.Store(false)
	g.Eventually(func() int { return len(reporter.all()) }, "20s").Should(BeNumerically(">", len(before)+4))
	calls := reporter.all()
	for i := range calls[1:] {
		g.Expect(calls[i+1].Window-calls[i].Window).To(BeNumerically("<=", 1), "a repeat, or the next window")
	}
}

// Guards against a planned stop after which other hosts must wait for the lease.
func TestStopReleasesTheDuties(t *testing.T) {
	g := NewWithT(t)
	reporter := &fakeReporter{}
	h := startDutyHost(t, reporter)
	g.Eventually(func() int { return len(reporter.all()) }, "20s").Should(BeNumerically(">", 0))
	record, _ := h.machine.Duties()
	g.Expect(record.Holding.Held()).To(BeTrue())
	h.stop()
	g.Eventually(h.done, "20s").Should(Receive(BeNil()))
	record, _ = h.machine.Duties()
	g.Expect(record.Holding.Held()).To(BeFalse())
}

// Guards against a stop that takes forever because the log takes no command.
func TestStopWithoutQuorumEnds(t *testing.T) {
	g := NewWithT(t)
	reporter := &fakeReporter{}
	h := startDutyHost(t, reporter)
	g.Eventually(func() int { return len(reporter.all()) }, "20s").Should(BeNumerically(">", 0))
	h.log.noQuorum.Store(true)
	h.stop()
	g.Eventually(h.done, "20s").Should(Receive(BeNil()))
}

// Guards against hosts that take over at the same moment, and against hosts without a disk before others.
func TestTakeoverRank(t *testing.T) {
	g := NewWithT(t)
	status := replica.Status{LeaderID: 2, Members: []replica.Member{{ID: 5}, {ID: 4, IsVoter: true}, {ID: 2, IsVoter: true}, {ID: 3, IsVoter: true}}}
	for host, rank := range map[uint64]int{3: 1, 4: 2, 5: 3, 9: 4} {
		g.Expect(takeoverRank(status, host)).To(Equal(rank), "%d", host)
	}
	g.Expect(takeoverRank(replica.Status{}, 1)).To(Equal(1))
}
