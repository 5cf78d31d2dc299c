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

// scheduledAction is run at an offset from the start of the run.
type scheduledAction struct {
	offset time.Duration
	run    func(context.Context) error
}

// eventScheduler runs a scenario's events and records the drain periods.
type eventScheduler struct {
	scenario    *Scenario
	scenarioDir string // directory of the scenario file
	standins    *standinServers
	system      System
	logger      *slog.Logger

	mu     sync.Mutex
	drains []DrainPeriod
}

// actions returns the actions of all events.
func (s *eventScheduler) actions() []scheduledAction {
	var actions []scheduledAction
	for i := range s.scenario.Events {
		e := &s.scenario.Events[i]
		if e.Kind == EventRollingDrain {
			actions = append(actions, s.rollingDrain(e)...)
			continue
		}
		actions = append(actions, scheduledAction{offset: time.Duration(e.At), run: func(ctx context.Context) error { return s.execute(ctx, e) }})
	}
	return actions
}

// rollingDrain returns the actions that drain the endpoints one after another
// and undo each drain.
func (s *eventScheduler) rollingDrain(e *Event) []scheduledAction {
	names := e.Endpoints
	if len(names) == 0 {
		names = s.scenario.endpointNames()
	}
	var actions []scheduledAction
	for i, name := range names {
		at := time.Duration(e.At) + time.Duration(i)*time.Duration(e.DrainInterval)
		actions = append(actions,
			scheduledAction{offset: at, run: func(ctx context.Context) error { return s.drain(ctx, name, false) }},
			scheduledAction{offset: at + time.Duration(e.DrainDuration), run: func(ctx context.Context) error { return s.drain(ctx, name, true) }})
	}
	return actions
}

func (s *eventScheduler) execute(ctx context.Context, e *Event) error {
	switch e.Kind {
	case EventFault:
		return s.forEachEndpoint(e.Endpoints, func(name string) error { return s.injectFault(name, e.Fault) })
	case EventDrain, EventUndrain:
		return s.forEachEndpoint(e.Endpoints, func(name string) error { return s.drain(ctx, name, e.Kind == EventUndrain) })
	case EventFailDomain:
		return s.failDomain(ctx, e.FailureDomain)
	case EventStopControlHosts:
		return s.system.StopControlHosts(ctx)
	case EventTicket:
		next, err := s.scenario.readTicket(s.scenarioDir, e.TicketFile)
		if err != nil {
			return err
		}
		return s.system.Submit(ctx, next)
	}
	return nil
}

func (s *eventScheduler) forEachEndpoint(names []string, action func(string) error) error {
	for _, name := range names {
		if err := action(name); err != nil {
			return err
		}
	}
	return nil
}

func (s *eventScheduler) injectFault(name string, f standin.Fault) error {
	server := s.standins.byName(name)
	if server == nil {
		return &EndpointError{Name: name}
	}
	return server.injectFault(f)
}

// drain drains an endpoint or undoes its drain. It records the drain period only
// if the system accepts the request; the period starts or ends at the time of the
// request, not of its acceptance.
func (s *eventScheduler) drain(ctx context.Context, name string, undo bool) error {
	requestedAt := time.Now()
	if err := s.system.Drain(ctx, name, undo); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !undo {
		s.drains = append(s.drains, DrainPeriod{Endpoint: name, From: requestedAt})
		return nil
	}
	for i := range s.drains {
		if s.drains[i].Endpoint == name && s.drains[i].To.IsZero() {
			s.drains[i].To = requestedAt
		}
	}
	return nil
}

func (s *eventScheduler) failDomain(ctx context.Context, domain string) error {
	for _, server := range s.standins.servers {
		if server.FailureDomain != domain {
			continue
		}
		if err := server.injectFault(standin.Fault{Kind: standin.FaultDown}); err != nil {
			return err
		}
	}
	return s.system.FailDomain(ctx, domain)
}

// run runs each action at its time, unless ctx ends before, and waits for all of
// them.
func (s *eventScheduler) run(ctx context.Context, start time.Time) {
	var running sync.WaitGroup
	for _, action := range s.actions() {
		running.Go(func() {
			if !wait.Until(ctx, start.Add(action.offset)) {
				return
			}
			if err := action.run(ctx); err != nil {
				s.logger.Error("scenario event failed", "at", action.offset.String(), "error", err.Error())
			}
		})
	}
	running.Wait()
}

func (s *eventScheduler) drainPeriods() []DrainPeriod {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]DrainPeriod(nil), s.drains...)
}

func scenarioDir(path string) string { return filepath.Dir(path) }
