package experiment

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	agentStopTimeout = 5 * time.Second
	agentSlots       = 8
	agentMaxSlots    = 256
	agentMaxBody     = 4 << 20 // bytes
	readyTimeout     = 20 * time.Second
	readyPoll        = 50 * time.Millisecond
	adminTimeout     = 5 * time.Second
)

// TicketRefusedError says that the control hosts refused a ticket.
type TicketRefusedError struct{ Verdict pb.Verdict }

// Error gives the verdict.
func (e *TicketRefusedError) Error() string {
	return "the ticket was not accepted: " + e.Verdict.String()
}

// NotReadyError says that the system did not become ready in time.
type NotReadyError struct {
	Endpoints, Wanted int // announced endpoints
	Routers           int // routers with the configuration
}

// Error gives what was missing.
func (e *NotReadyError) Error() string {
	return "the system is not ready: " + strconv.Itoa(e.Endpoints) + " of " + strconv.Itoa(e.Wanted) +
		" endpoints, " + strconv.Itoa(e.Routers) + " routers with the configuration"
}

// embedded is the whole system in this process. Everything of a failure
// domain that will be lost is reached through links that can be cut.
type embedded struct {
	core   *daemon.Embedded
	admin  trefoilkeelv1connect.AdminServiceClient
	agents []*agentProcess

	mu    sync.Mutex
	entry []entry
	links map[string][]*link // by failure domain

	losing map[string]bool // failure domains that an event will lose
}

// entry is one router as the platform's balancer sees it.
type entry struct{ domain, url string }

// agentProcess is one agent in a supervisor tree of its own.
type agentProcess struct {
	cancel context.CancelFunc
	done   chan error
}

// StartEmbedded returns a starter of a control host, routers and an agent for
// each endpoint, all in this process on loopback.
func StartEmbedded(logger *slog.Logger) Starter {
	return func(ctx context.Context, s *Scenario, f *Fleet) (System, error) {
		e := &embedded{links: map[string][]*link{}, losing: s.lostDomains()}
		if err := e.start(ctx, s, f, logger); err != nil {
			stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), closeTimeout)
			defer cancel()
			return nil, errors.CombineErrors(err, e.Close(stop))
		}
		return e, nil
	}
}

func (e *embedded) start(ctx context.Context, s *Scenario, f *Fleet, logger *slog.Logger) error {
	core, err := daemon.StartEmbedded(daemon.EmbeddedOptions{Routers: s.Routers, Logger: logger})
	if err != nil {
		return err
	}
	e.core = core
	e.admin = trefoilkeelv1connect.NewAdminServiceClient(http.DefaultClient, core.Control.ControlURL())
	if err := e.Submit(ctx, s.configuration); err != nil {
		return err
	}
	domains := s.domains()
	for i, r := range core.Routers {
		domain := domains[i%len(domains)]
		url, err := e.linked(domain, r.RouterURL())
		if err != nil {
			return err
		}
		e.entry = append(e.entry, entry{domain: domain, url: url})
	}
	for i := range f.Members {
		if err := e.startAgent(&f.Members[i], logger); err != nil {
			return err
		}
	}
	return e.waitReady(ctx, len(f.Members))
}

// linked puts a link before a base URL if the domain is to be lost.
func (e *embedded) linked(domain, url string) (string, error) {
	if !e.losing[domain] {
		return url, nil
	}
	l, err := newLink(url[len("http://"):])
	if err != nil {
		return "", err
	}
	e.links[domain] = append(e.links[domain], l)
	return "http://" + l.address(), nil
}

// startAgent starts the agent of one stand-in.
func (e *embedded) startAgent(m *Member, logger *slog.Logger) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	announced, err := e.linked(m.Domain, "http://"+address)
	if err != nil {
		return err
	}
	control, err := e.linked(m.Domain, e.core.Control.ControlURL())
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Options{Logger: logger, OpenAdministration: true, Settings: &settings.Settings{
		Process: settings.Process{Name: "agent-" + m.Name, Host: m.Name, FailureDomain: m.Domain,
			LogLevel: "info", StopTimeout: settings.Duration(agentStopTimeout)},
		Directory: settings.Directory{ControlURLs: []string{control}},
		Agents: []settings.Agent{{Endpoint: m.Name, Group: m.Group, Kind: m.Kind, Listen: address, URL: announced,
			EndpointURL: m.URL, Models: []string{m.Serves}, Slots: agentSlots, MaxSlots: agentMaxSlots, MaxBody: agentMaxBody}},
	}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	p := &agentProcess{cancel: cancel, done: make(chan error, 1)}
	e.agents = append(e.agents, p)
	go func() { p.done <- d.Run(ctx) }()
	return nil
}

// freeAddress finds a loopback address that nothing listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	return listener.Addr().String(), errors.Wrap(listener.Close(), "find a free port")
}

// waitReady returns once every endpoint is announced and every router has the
// configuration.
func (e *embedded) waitReady(ctx context.Context, endpoints int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	missing := &NotReadyError{Wanted: endpoints}
	for {
		status, err := e.admin.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err == nil {
			missing.Endpoints, missing.Routers = len(status.Msg.GetEndpoints()), 0
			for _, r := range e.core.Routers {
				if r.Ready() {
					missing.Routers++
				}
			}
			if missing.Endpoints >= endpoints && missing.Routers == len(e.core.Routers) {
				return nil
			}
		}
		if !wait.For(ctx, readyPoll) {
			return errors.WithStack(missing)
		}
	}
}

// CallerURLs are the routers that the platform's balancer still reaches.
func (e *embedded) CallerURLs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	urls := make([]string, 0, len(e.entry))
	for _, r := range e.entry {
		urls = append(urls, r.url)
	}
	return urls
}

// Drain asks control to drain an endpoint.
func (e *embedded) Drain(ctx context.Context, endpoint string, undo bool) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	_, err := e.admin.Drain(ctx, connect.NewRequest(&pb.DrainRequest{Endpoint: endpoint, Undo: undo}))
	return errors.Wrap(err, "drain an endpoint")
}

// LoseDomain cuts every link of a failure domain.
func (e *embedded) LoseDomain(_ context.Context, domain string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	kept := e.entry[:0:0]
	for _, r := range e.entry {
		if r.domain != domain {
			kept = append(kept, r)
		}
	}
	e.entry = kept
	for _, l := range e.links[domain] {
		l.cut()
	}
	return nil
}

// LoseControl stops the control host for good.
func (e *embedded) LoseControl(context.Context) error { return e.core.StopMember(e.core.Control) }

// Submit applies a ticket.
func (e *embedded) Submit(ctx context.Context, t *ticket.Ticket) error {
	encoded, err := ticket.Encode(t)
	if err != nil {
		return errors.Wrap(err, "encode a ticket")
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	for {
		answer, err := e.admin.SubmitTicket(ctx, connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encoded}))
		if err == nil && answer.Msg.GetVerdict() == pb.Verdict_VERDICT_ACCEPTED {
			return nil
		}
		if err == nil {
			return &TicketRefusedError{Verdict: answer.Msg.GetVerdict()}
		}
		if !wait.For(ctx, readyPoll) {
			return errors.Wrap(err, "submit a ticket")
		}
	}
}

// Revisions gives what each follower has in force.
func (e *embedded) Revisions(ctx context.Context) (map[string]uint64, error) {
	status, err := e.admin.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "ask for the status")
	}
	revisions := map[string]uint64{"control": status.Msg.GetRevision()}
	for _, s := range status.Msg.GetSubscribers() {
		revisions[s.GetName()] = s.GetRevision()
	}
	return revisions, nil
}

// Close stops everything: agents, routers, control.
func (e *embedded) Close(ctx context.Context) error {
	var first error
	for _, a := range e.agents {
		a.cancel()
	}
	for _, a := range e.agents {
		select {
		case err := <-a.done:
			first = errors.CombineErrors(first, err)
		case <-ctx.Done():
			first = errors.CombineErrors(first, context.Cause(ctx))
		}
	}
	if e.core != nil {
		first = errors.CombineErrors(first, e.core.Stop(ctx))
	}
	for _, links := range e.links {
		for _, l := range links {
			l.cut()
		}
	}
	return first
}
