package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	progressInterval       = time.Second      // on a terminal
	progressLogInterval    = 10 * time.Second // elsewhere
	timerProbeInterval     = 5 * time.Millisecond
	revisionSampleInterval = 500 * time.Millisecond
	stopTimeout            = 20 * time.Second
)

// StartFunc starts the system under test in front of the stand-ins.
type StartFunc func(ctx context.Context, s *Scenario, standins *StandinSet) (System, error)

// StandinSet is what a StartFunc may know of the stand-ins.
type StandinSet struct{ Standins []Standin }

// Standin describes one running stand-in endpoint.
type Standin struct {
	Name, Group, Kind, Serves, FailureDomain, URL string
	Slots                                         int
}

// Options configures Run.
type Options struct {
	ScenarioPath string    // path of the scenario file
	Seed         uint64    // 0: the seed of the scenario
	RunBaseline  bool      // also run the baseline proxy with the same requests
	StartSystem  StartFunc // nil: the baseline proxy, reported as the system
	Progress     io.Writer // nil: no progress is shown
	Logger       *slog.Logger
}

// Run runs a scenario against the system and then, if requested, against the
// baseline proxy with the same requests.
func Run(ctx context.Context, o Options) (*Report, error) {
	s, err := LoadScenario(o.ScenarioPath)
	if err != nil {
		return nil, err
	}
	seed := orDefault(o.Seed, s.Seed)
	requests := planRequests(s, seed)
	report := &Report{Scenario: s.Name, Seed: seed}
	systemReport, err := runSystem(ctx, s, requests, &o, "trefoilkeel", o.StartSystem)
	if err != nil {
		return nil, err
	}
	report.RunReport = *systemReport
	if !o.RunBaseline {
		return report, nil
	}
	report.Baseline, err = runSystem(ctx, s, requests, &o, "baseline", nil)
	return report, err
}

// runSystem starts new stand-ins and a system, and runs the scenario on them. A
// nil start selects the baseline proxy.
func runSystem(ctx context.Context, s *Scenario, requests []*PlannedRequest, o *Options, systemName string, start StartFunc) (*RunReport, error) {
	standins, err := startStandins(s)
	if err != nil {
		return nil, err
	}
	defer standins.close()
	system, err := startSystem(ctx, s, standins, start)
	if err != nil {
		return nil, err
	}
	d := &loadDriver{
		scenario:   s,
		requests:   requests,
		system:     system,
		events:     &eventScheduler{scenario: s, scenarioDir: scenarioDir(o.ScenarioPath), standins: standins, system: system, logger: o.Logger},
		standins:   standins,
		systemName: systemName,
		progress:   o.Progress,
		client:     callerClient{httpClient: newHTTPClient(), apiKey: func(w string) string { return "demo-" + w + "-key" }},
	}
	observation := d.run(ctx)
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if err := system.Close(stopCtx); err != nil {
		o.Logger.Error("failed to stop the system", "run", systemName, "error", err.Error())
	}
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "run the scenario")
	}
	return buildRunReport(observation, time.Duration(s.Duration)), nil
}

func startSystem(ctx context.Context, s *Scenario, standins *standinServers, start StartFunc) (System, error) {
	if start == nil {
		return startBaseline(standins)
	}
	set := &StandinSet{}
	for _, server := range standins.servers {
		set.Standins = append(set.Standins, Standin{
			Name: server.Name, Group: server.Group, Kind: server.Kind, Serves: server.Serves, FailureDomain: server.FailureDomain, URL: server.URL, Slots: server.Slots})
	}
	return start(ctx, s, set)
}

// loadDriver sends the requests of one run and collects the measurements.
type loadDriver struct {
	scenario   *Scenario
	requests   []*PlannedRequest
	system     System
	events     *eventScheduler
	standins   *standinServers
	client     callerClient
	systemName string
	progress   io.Writer

	offered, finished, shed, ended atomic.Int64

	mu              sync.Mutex
	calls           []*Call
	revisionSamples []RevisionSample
}

// run runs the scenario until every call has ended.
func (d *loadDriver) run(ctx context.Context) *Observation {
	backgroundCtx, stopBackground := context.WithCancel(ctx)
	start := time.Now()
	var background sync.WaitGroup
	background.Go(func() { d.events.run(backgroundCtx, start) })
	background.Go(func() { d.sampleRevisions(backgroundCtx) })
	background.Go(func() { d.reportProgress(backgroundCtx, start) })
	timerLag := hdrhistogram.New(1, histogramMaxMicros, histogramSignificantDigits)
	background.Go(func() { measureTimerLag(backgroundCtx, timerLag) })
	d.sendRequests(ctx, start)
	stopBackground()
	background.Wait()
	d.httpClient().CloseIdleConnections()
	return &Observation{
		Started: start, Ended: time.Now(), StarvationWindow: time.Duration(d.scenario.StarvationWindow),
		Calls: d.calls, EndpointRecords: d.standins.records(), Drains: d.events.drainPeriods(), Revisions: d.revisionSamples,
		TimerLagMicros: timerLag,
	}
}

func (d *loadDriver) httpClient() *http.Client { return d.client.httpClient }

// sendRequests sends every request at its scheduled time, whether or not
// earlier calls have ended, and waits for all calls. Calls still open after the
// settle timeout are cancelled.
func (d *loadDriver) sendRequests(ctx context.Context, start time.Time) {
	end := start.Add(time.Duration(d.scenario.Duration + d.scenario.SettleTimeout))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var calls sync.WaitGroup
	for i, r := range d.requests {
		if !wait.Until(ctx, start.Add(r.Offset)) {
			break
		}
		for copyIndex := range r.Copies {
			due := start.Add(r.Offset + time.Duration(copyIndex)*repeatDelay)
			calls.Go(func() {
				if wait.Until(ctx, due) {
					d.send(ctx, d.callerURL(i+copyIndex), r, copyIndex, due)
				}
			})
		}
	}
	calls.Wait()
}

// callerURL returns the URL to which the n-th request is sent. It takes the URLs
// in round robin, as the platform's load balancer would.
func (d *loadDriver) callerURL(n int) string {
	urls := d.system.CallerURLs()
	return urls[n%len(urls)]
}

func (d *loadDriver) send(ctx context.Context, baseURL string, r *PlannedRequest, copyIndex int, due time.Time) {
	d.offered.Add(1)
	c := d.client.call(ctx, baseURL, r, copyIndex, due)
	d.ended.Add(1)
	if c.gotCompleteAnswer() {
		d.finished.Add(1)
	}
	if c.Outcome == OutcomeNotRun {
		d.shed.Add(1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c)
}

// sampleRevisions periodically records the revision of each process.
func (d *loadDriver) sampleRevisions(ctx context.Context) {
	for at := time.Now(); wait.Until(ctx, at); at = at.Add(revisionSampleInterval) {
		revisions, err := d.system.Revisions(ctx)
		if err != nil {
			continue
		}
		now := time.Now()
		for process, revision := range revisions {
			d.revisionSamples = append(d.revisionSamples, RevisionSample{At: now, Process: process, Revision: revision})
		}
	}
}

// measureTimerLag records how late the machine wakes a sleeping goroutine. This
// limits the accuracy of the measured latencies.
func measureTimerLag(ctx context.Context, lag *hdrhistogram.Histogram) {
	for {
		due := time.Now().Add(timerProbeInterval)
		if !wait.Until(ctx, due) {
			return
		}
		_ = lag.RecordValue(min(time.Since(due).Microseconds(), histogramMaxMicros))
	}
}

// reportProgress reports until the context ends: on a terminal in one line that is updated,
// elsewhere in a few lines of their own.
func (d *loadDriver) reportProgress(ctx context.Context, start time.Time) {
	if d.progress == nil {
		return
	}
	interval, prefix, suffix := progressLogInterval, "", "\n"
	if isTerminal(d.progress) {
		interval, prefix, suffix = progressInterval, "\r", "   "
		defer func() { _, _ = fmt.Fprintln(d.progress) }()
	}
	for at := start.Add(interval); wait.Until(ctx, at); at = at.Add(interval) {
		d.writeProgress(time.Since(start), prefix, suffix)
	}
	d.writeProgress(time.Since(start), prefix, suffix)
}

// isTerminal reports whether w is a terminal.
func isTerminal(w io.Writer) bool {
	file, ok := w.(*os.File)
	if !ok {
		return false
	}
	_, err := unix.IoctlGetTermios(int(file.Fd()), unix.TCGETS)
	return err == nil
}

func (d *loadDriver) writeProgress(elapsed time.Duration, prefix, suffix string) {
	offered, ended := d.offered.Load(), d.ended.Load()
	_, _ = fmt.Fprintf(d.progress, "%s%s %-12s %5.1fs of %s: offered %d, finished %d, shed %d, open %d%s", prefix,
		d.scenario.Name, d.systemName, elapsed.Seconds(), time.Duration(d.scenario.Duration), offered,
		d.finished.Load(), d.shed.Load(), offered-ended, suffix)
}
