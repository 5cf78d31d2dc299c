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
	agentStopTimeout  = 5 * time.Second
	agentInitialSlots = 8
	agentMaxSlots     = 256
	agentMaxBodyBytes = 4 << 20
	readyTimeout      = 20 * time.Second
	retryInterval     = 50 * time.Millisecond
	adminTimeout      = 5 * time.Second
)

// TicketRefusedError reports that the control hosts refused a ticket.
type TicketRefusedError struct{ Verdict pb.Verdict }

// Error includes the verdict.
func (e *TicketRefusedError) Error() string {
	return "the ticket was not accepted: " + e.Verdict.String()
}

// NotReadyError reports that the system did not become ready in time.
type NotReadyError struct {
	AnnouncedEndpoints, WantedEndpoints int
	ReadyRouters                        int // routers with the configuration
}

// Error includes the number of announced endpoints and of ready routers.
func (e *NotReadyError) Error() string {
	return "the system is not ready: " + strconv.Itoa(e.AnnouncedEndpoints) + " of " + strconv.Itoa(e.WantedEndpoints) +
		" endpoints, " + strconv.Itoa(e.ReadyRouters) + " routers with the configuration"
}

// embeddedSystem runs the whole system in this process. If an event of the
// scenario fails a failure domain, the routers and agents of the domain are
// reached through TCP relays, and its agents reach the control host through
// relays. FailDomain shuts these relays down.
type embeddedSystem struct {
	daemons *daemon.Embedded
	admin   trefoilkeelv1connect.AdminServiceClient
	agents  []*agentDaemon

	mu      sync.Mutex
	entries []entryRouter
	relays  map[string][]*tcpRelay // by failure domain

	failingDomains map[string]bool // failure domains that an event fails
}

// entryRouter is one router that callers can reach.
type entryRouter struct{ failureDomain, url string }

// agentDaemon is one agent, run as a separate daemon within this process.
type agentDaemon struct {
	cancel context.CancelFunc
	done   chan error
}

// StartEmbedded returns a StartFunc for a system of a control host, routers and
// one agent per endpoint, all in this process on loopback.
func StartEmbedded(logger *slog.Logger) StartFunc {
	return func(ctx context.Context, s *Scenario, standins *StandinSet) (System, error) {
		e := &embeddedSystem{relays: map[string][]*tcpRelay{}, failingDomains: s.failingDomains()}
		if err := e.start(ctx, s, standins, logger); err != nil {
			stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
			defer cancel()
			return nil, errors.CombineErrors(err, e.Close(stopCtx))
		}
		return e, nil
	}
}

func (e *embeddedSystem) start(ctx context.Context, s *Scenario, standins *StandinSet, logger *slog.Logger) error {
	daemons, err := daemon.StartEmbedded(daemon.EmbeddedOptions{RouterCount: s.RouterCount, Logger: logger})
	if err != nil {
		return err
	}
	e.daemons = daemons
	e.admin = trefoilkeelv1connect.NewAdminServiceClient(http.DefaultClient, daemons.Control.ControlURL())
	if err := e.Submit(ctx, s.initialTicket); err != nil {
		return err
	}
	domains := s.failureDomains()
	for i, r := range daemons.Routers {
		domain := domains[i%len(domains)]
		url, err := e.throughRelay(domain, r.RouterURL())
		if err != nil {
			return err
		}
		e.entries = append(e.entries, entryRouter{failureDomain: domain, url: url})
	}
	for i := range standins.Standins {
		if err := e.startAgent(&standins.Standins[i], logger); err != nil {
			return err
		}
	}
	return e.waitReady(ctx, len(standins.Standins))
}

// throughRelay returns the URL of a new relay to a base URL, or the base URL
// itself if no event fails the domain.
func (e *embeddedSystem) throughRelay(domain, url string) (string, error) {
	if !e.failingDomains[domain] {
		return url, nil
	}
	relay, err := newTCPRelay(url[len("http://"):])
	if err != nil {
		return "", err
	}
	e.relays[domain] = append(e.relays[domain], relay)
	return "http://" + relay.address(), nil
}

func (e *embeddedSystem) startAgent(s *Standin, logger *slog.Logger) error {
	address, err := freeAddress()
	if err != nil {
		return err
	}
	announced, err := e.throughRelay(s.FailureDomain, "http://"+address)
	if err != nil {
		return err
	}
	control, err := e.throughRelay(s.FailureDomain, e.daemons.Control.ControlURL())
	if err != nil {
		return err
	}
	d, err := daemon.New(daemon.Options{Logger: logger, DisableAdminAuth: true, Settings: &settings.Settings{
		Process: settings.Process{Name: "agent-" + s.Name, Host: s.Name, FailureDomain: s.FailureDomain,
			LogLevel: "info", StopTimeout: settings.Duration(agentStopTimeout)},
		Directory: settings.Directory{ControlURLs: []string{control}},
		Agents: []settings.Agent{{Endpoint: s.Name, Group: s.Group, Kind: s.Kind, Listen: address, URL: announced,
			EndpointURL: s.URL, Models: []string{s.Serves}, InitialSlots: agentInitialSlots, MaxSlots: agentMaxSlots, MaxBodyBytes: agentMaxBodyBytes}},
	}})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	a := &agentDaemon{cancel: cancel, done: make(chan error, 1)}
	e.agents = append(e.agents, a)
	go func() { a.done <- d.Run(ctx) }()
	return nil
}

// freeAddress returns a loopback address on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", errors.Wrap(err, "find a free port")
	}
	return listener.Addr().String(), errors.Wrap(listener.Close(), "find a free port")
}

// waitReady waits until every endpoint is announced and every router has the
// configuration.
func (e *embeddedSystem) waitReady(ctx context.Context, endpointCount int) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	notReady := &NotReadyError{WantedEndpoints: endpointCount}
	for {
		status, err := e.admin.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err == nil {
			notReady.AnnouncedEndpoints, notReady.ReadyRouters = len(status.Msg.GetEndpoints()), 0
			for _, r := range e.daemons.Routers {
				if r.Ready() {
					notReady.ReadyRouters++
				}
			}
			if notReady.AnnouncedEndpoints >= endpointCount && notReady.ReadyRouters == len(e.daemons.Routers) {
				return nil
			}
		}
		if !wait.For(ctx, retryInterval) {
			return errors.WithStack(notReady)
		}
	}
}

// CallerURLs returns the URLs of the routers outside failed domains, as the
// platform's load balancer would.
func (e *embeddedSystem) CallerURLs() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	urls := make([]string, 0, len(e.entries))
	for _, router := range e.entries {
		urls = append(urls, router.url)
	}
	return urls
}

// Drain asks the control host to drain an endpoint, or to undo its drain.
func (e *embeddedSystem) Drain(ctx context.Context, endpoint string, undo bool) error {
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	_, err := e.admin.Drain(ctx, connect.NewRequest(&pb.DrainRequest{Endpoint: endpoint, Undo: undo}))
	return errors.Wrap(err, "drain an endpoint")
}

// FailDomain removes the domain's routers from CallerURLs and shuts down its
// relays.
func (e *embeddedSystem) FailDomain(_ context.Context, domain string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	remaining := e.entries[:0:0]
	for _, router := range e.entries {
		if router.failureDomain != domain {
			remaining = append(remaining, router)
		}
	}
	e.entries = remaining
	for _, relay := range e.relays[domain] {
		relay.shutDown()
	}
	return nil
}

// StopControlHosts stops the only control host; it is not restarted.
func (e *embeddedSystem) StopControlHosts(context.Context) error {
	return e.daemons.StopDaemon(e.daemons.Control)
}

// Submit submits a ticket, retrying failed calls until adminTimeout.
func (e *embeddedSystem) Submit(ctx context.Context, t *ticket.Ticket) error {
	encoded, err := ticket.Encode(t)
	if err != nil {
		return errors.Wrap(err, "encode a ticket")
	}
	ctx, cancel := context.WithTimeout(ctx, adminTimeout)
	defer cancel()
	for {
		response, err := e.admin.SubmitTicket(ctx, connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encoded}))
		if err == nil && response.Msg.GetVerdict() == pb.Verdict_VERDICT_ACCEPTED {
			return nil
		}
		if err == nil {
			return &TicketRefusedError{Verdict: response.Msg.GetVerdict()}
		}
		if !wait.For(ctx, retryInterval) {
			return errors.Wrap(err, "submit a ticket")
		}
	}
}

// Revisions returns the revision in force at the control host and at each
// subscriber.
func (e *embeddedSystem) Revisions(ctx context.Context) (map[string]uint64, error) {
	status, err := e.admin.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil, errors.Wrap(err, "get the status from the control host")
	}
	revisions := map[string]uint64{"control": status.Msg.GetRevision()}
	for _, s := range status.Msg.GetSubscribers() {
		revisions[s.GetName()] = s.GetRevision()
	}
	return revisions, nil
}

// Close stops the agents, then the routers and the control host, then the relays.
func (e *embeddedSystem) Close(ctx context.Context) error {
	var closeErr error
	for _, a := range e.agents {
		a.cancel()
	}
	for _, a := range e.agents {
		select {
		case err := <-a.done:
			closeErr = errors.CombineErrors(closeErr, err)
		case <-ctx.Done():
			closeErr = errors.CombineErrors(closeErr, context.Cause(ctx))
		}
	}
	if e.daemons != nil {
		closeErr = errors.CombineErrors(closeErr, e.daemons.Stop(ctx))
	}
	for _, relays := range e.relays {
		for _, relay := range relays {
			relay.shutDown()
		}
	}
	return closeErr
}
