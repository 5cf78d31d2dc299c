package experiment

import (
	"context"
	"log/slog"
	"path/filepath"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// step is one thing to do at a time after the start.
type step struct {
	at time.Duration
	do func(context.Context) error
}

// timeline carries out a scenario's events and notes what they mean.
type timeline struct {
	scenario *Scenario
	folder   string // of the scenario file
	fleet    *fleet
	system   System
	logger   *slog.Logger

	mu     sync.Mutex
	leaves []Leave
}

// steps turns the events into what is to be done.
func (t *timeline) steps() []step {
	var all []step
	for i := range t.scenario.Events {
		e := &t.scenario.Events[i]
		if e.Kind == EventRollingDrain {
			all = append(all, t.rolling(e)...)
			continue
		}
		all = append(all, step{at: time.Duration(e.At), do: func(ctx context.Context) error { return t.carryOut(ctx, e) }})
	}
	return all
}

// rolling drains one endpoint after another and takes each back.
func (t *timeline) rolling(e *Event) []step {
	names := e.Endpoints
	if len(names) == 0 {
		names = t.scenario.endpointNames()
	}
	var all []step
	for i, name := range names {
		at := time.Duration(e.At) + time.Duration(i)*time.Duration(e.Every)
		all = append(all,
			step{at: at, do: func(ctx context.Context) error { return t.drain(ctx, name, false) }},
			step{at: at + time.Duration(e.Hold), do: func(ctx context.Context) error { return t.drain(ctx, name, true) }})
	}
	return all
}

func (t *timeline) carryOut(ctx context.Context, e *Event) error {
	switch e.Kind {
	case EventFault:
		return t.each(e.Endpoints, func(name string) error { return t.fault(name, e.Fault) })
	case EventDrain, EventUndrain:
		return t.each(e.Endpoints, func(name string) error { return t.drain(ctx, name, e.Kind == EventUndrain) })
	case EventLoseDomain:
		return t.loseDomain(ctx, e.Domain)
	case EventLoseControl:
		return t.system.LoseControl(ctx)
	case EventTicket:
		next, err := t.scenario.readTicket(t.folder, e.Ticket)
		if err != nil {
			return err
		}
		return t.system.Submit(ctx, next)
	}
	return nil
}

func (t *timeline) each(names []string, do func(string) error) error {
	for _, name := range names {
		if err := do(name); err != nil {
			return err
		}
	}
	return nil
}

func (t *timeline) fault(name string, f standin.Fault) error {
	b := t.fleet.get(name)
	if b == nil {
		return &EndpointError{Name: name}
	}
	return b.fault(f)
}

// drain notes a leave only once the system has taken the order.
func (t *timeline) drain(ctx context.Context, name string, undo bool) error {
	asked := time.Now()
	if err := t.system.Drain(ctx, name, undo); err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !undo {
		t.leaves = append(t.leaves, Leave{Endpoint: name, From: asked})
		return nil
	}
	for i := range t.leaves {
		if t.leaves[i].Endpoint == name && t.leaves[i].To.IsZero() {
			t.leaves[i].To = asked
		}
	}
	return nil
}

func (t *timeline) loseDomain(ctx context.Context, domain string) error {
	for _, b := range t.fleet.backs {
		if b.Domain != domain {
			continue
		}
		if err := b.fault(standin.Fault{Kind: standin.FaultDown}); err != nil {
			return err
		}
	}
	return t.system.LoseDomain(ctx, domain)
}

// run carries the steps out, each at its time.
func (t *timeline) run(ctx context.Context, start time.Time) {
	var group sync.WaitGroup
	for _, s := range t.steps() {
		group.Go(func() {
			if !wait.Until(ctx, start.Add(s.at)) {
				return
			}
			if err := s.do(ctx); err != nil {
				t.logger.Error("an event of the scenario failed", "at", s.at.String(), "error", err.Error())
			}
		})
	}
	group.Wait()
}

func (t *timeline) noted() []Leave {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Leave(nil), t.leaves...)
}

func scenarioFolder(path string) string { return filepath.Dir(path) }
