package experiment

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	progressInterval = time.Second
	probeInterval    = 5 * time.Millisecond
	sampleInterval   = 500 * time.Millisecond
	closeTimeout     = 20 * time.Second
)

// Starter starts the system under test before the stand-ins of a fleet.
type Starter func(ctx context.Context, s *Scenario, f *Fleet) (System, error)

// Fleet is what a starter may know of the stand-ins.
type Fleet struct{ Members []Member }

// Member is one stand-in.
type Member struct {
	Name, Group, Kind, Serves, Domain, URL string
	Slots                                  int
}

// Options set up Run.
type Options struct {
	Path     string // of the scenario file
	Seed     uint64 // 0: the scenario's own
	Baseline bool
	Start    Starter
	Progress io.Writer
	Logger   *slog.Logger
}

// Run runs a scenario, and the baseline after it with the same arrivals.
func Run(ctx context.Context, o Options) (*Report, error) {
	s, err := LoadScenario(o.Path)
	if err != nil {
		return nil, err
	}
	seed := orDefault(o.Seed, s.Seed)
	arrivals := plan(s, seed)
	report := &Report{Scenario: s.Name, Seed: seed}
	own, err := runOnce(ctx, s, arrivals, &o, "trefoilkeel", o.Start)
	if err != nil {
		return nil, err
	}
	report.RunReport = *own
	if !o.Baseline {
		return report, nil
	}
	report.Baseline, err = runOnce(ctx, s, arrivals, &o, "baseline", nil)
	return report, err
}

// runOnce starts fresh stand-ins and a system, and drives them.
func runOnce(ctx context.Context, s *Scenario, arrivals []*Arrival, o *Options, name string, start Starter) (*RunReport, error) {
	f, err := startFleet(s)
	if err != nil {
		return nil, err
	}
	defer f.close()
	system, err := startSystem(ctx, s, f, start)
	if err != nil {
		return nil, err
	}
	d := &driver{
		scenario: s,
		arrivals: arrivals,
		system:   system,
		timeline: &timeline{scenario: s, folder: scenarioFolder(o.Path), fleet: f, system: system, logger: o.Logger},
		fleet:    f,
		name:     name,
		progress: o.Progress,
		caller:   caller{client: newClient(), keys: func(w string) string { return "demo-" + w + "-key" }},
	}
	observation := d.run(ctx)
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
	defer cancel()
	if err := system.Close(stop); err != nil {
		o.Logger.Error("the system did not stop", "run", name, "error", err.Error())
	}
	if err := ctx.Err(); err != nil {
		return nil, errors.Wrap(err, "run the scenario")
	}
	return measure(observation, time.Duration(s.Duration)), nil
}

func startSystem(ctx context.Context, s *Scenario, f *fleet, start Starter) (System, error) {
	if start == nil {
		return newBaseline(f)
	}
	members := &Fleet{}
	for _, b := range f.backs {
		members.Members = append(members.Members, Member{
			Name: b.Name, Group: b.Group, Kind: b.Kind, Serves: b.Serves, Domain: b.Domain, URL: b.URL, Slots: b.Slots})
	}
	return start(ctx, s, members)
}

// driver makes the arrivals of one run.
type driver struct {
	scenario *Scenario
	arrivals []*Arrival
	system   System
	timeline *timeline
	fleet    *fleet
	caller   caller
	name     string
	progress io.Writer

	offered, finished, shed, ended atomic.Int64

	mu      sync.Mutex
	calls   []*Call
	samples []RevisionSample
}

// run drives the system until every caller has an end.
func (d *driver) run(ctx context.Context) *Observation {
	watch, stop := context.WithCancel(ctx)
	start := time.Now()
	var side sync.WaitGroup
	side.Go(func() { d.timeline.run(watch, start) })
	side.Go(func() { d.sample(watch) })
	side.Go(func() { d.report(watch, start) })
	lag := hdrhistogram.New(1, histogramMax, histogramDigits)
	side.Go(func() { probe(watch, lag) })
	d.arrive(ctx, start)
	stop()
	side.Wait()
	d.client().CloseIdleConnections()
	return &Observation{
		Started: start, Ended: time.Now(), StarvationWindow: time.Duration(d.scenario.StarvationWindow),
		Calls: d.calls, Endpoints: d.fleet.records(), Leaves: d.timeline.noted(), Revisions: d.samples,
		Lag: lag,
	}
}

func (d *driver) client() *http.Client { return d.caller.client }

// arrive makes every call at its time, whether or not others have ended, and
// waits for the ends. Callers that still wait after the settling time leave.
func (d *driver) arrive(ctx context.Context, start time.Time) {
	end := start.Add(time.Duration(d.scenario.Duration + d.scenario.Settle))
	ctx, cancel := context.WithDeadline(ctx, end)
	defer cancel()
	var group sync.WaitGroup
	for i, a := range d.arrivals {
		if !wait.Until(ctx, start.Add(a.At)) {
			break
		}
		for copy := range a.Copies {
			due := start.Add(a.At + time.Duration(copy)*repeatAfter)
			group.Go(func() {
				if wait.Until(ctx, due) {
					d.call(ctx, d.base(i+copy), a, copy, due)
				}
			})
		}
	}
	group.Wait()
}

// base is the router that the platform's balancer gives the n-th call to.
func (d *driver) base(n int) string {
	urls := d.system.CallerURLs()
	return urls[n%len(urls)]
}

func (d *driver) call(ctx context.Context, base string, a *Arrival, copy int, due time.Time) {
	d.offered.Add(1)
	c := d.caller.do(ctx, base, a, copy, due)
	d.ended.Add(1)
	if c.finished() {
		d.finished.Add(1)
	}
	if c.End == EndNotRun {
		d.shed.Add(1)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls = append(d.calls, c)
}

// sample asks each process for its revision.
func (d *driver) sample(ctx context.Context) {
	for at := time.Now(); wait.Until(ctx, at); at = at.Add(sampleInterval) {
		revisions, err := d.system.Revisions(ctx)
		if err != nil {
			continue
		}
		now := time.Now()
		for process, revision := range revisions {
			d.samples = append(d.samples, RevisionSample{At: now, Process: process, Revision: revision})
		}
	}
}

// probe records how late the machine wakes a goroutine that sleeps: what the
// figures of the run can't be more exact than.
func probe(ctx context.Context, lag *hdrhistogram.Histogram) {
	for {
		due := time.Now().Add(probeInterval)
		if !wait.Until(ctx, due) {
			return
		}
		_ = lag.RecordValue(min(time.Since(due).Microseconds(), histogramMax))
	}
}

// report writes the progress line.
func (d *driver) report(ctx context.Context, start time.Time) {
	if d.progress == nil {
		return
	}
	for at := start.Add(progressInterval); wait.Until(ctx, at); at = at.Add(progressInterval) {
		d.line(time.Since(start))
	}
	d.line(time.Since(start))
	_, _ = fmt.Fprintln(d.progress)
}

func (d *driver) line(since time.Duration) {
	offered, ended := d.offered.Load(), d.ended.Load()
	_, _ = fmt.Fprintf(d.progress, "\r%s %-12s %5.1fs of %s: offered %d, finished %d, shed %d, open %d   ",
		d.scenario.Name, d.name, since.Seconds(), time.Duration(d.scenario.Duration), offered,
		d.finished.Load(), d.shed.Load(), offered-ended)
}
