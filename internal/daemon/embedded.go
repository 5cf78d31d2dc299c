package daemon

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// anyPort is a loopback address with a free port.
const anyPort = "127.0.0.1:0"

// EmbeddedEndpoint is one endpoint of an embedded system.
type EmbeddedEndpoint struct {
	Name          string
	Group         string
	Kind          string // engine or service
	FailureDomain string
	URL           string   // base URL of the engine or service
	Models        []string // models or the service that it serves
}

// EmbeddedOptions set up a whole system in one process on loopback.
type EmbeddedOptions struct {
	Endpoints []EmbeddedEndpoint
	// Routers is the number of routers, at least 1; their failure domains are
	// those of the endpoints in turn.
	Routers int
	// RouterListen is the first router's address; "" for a free port.
	RouterListen string
	// ControlListen is the control host's address; "" for a free port.
	ControlListen string
	// DataFolder holds the control state; "" for a folder that Stop removes.
	DataFolder string
	Flow       flow.Config
	// Slots is each agent's concurrency at the start; 0 for a small default.
	Slots  int
	Logger *slog.Logger
}

// Embedded is a whole system in one process: a control host, routers, and an
// agent per endpoint, each in a supervisor tree of its own.
type Embedded struct {
	Control *Daemon
	Routers []*Daemon
	Agents  map[string]*Daemon // by endpoint

	folder  string
	members []*member
}

// member is one running daemon.
type member struct {
	daemon *Daemon
	cancel context.CancelFunc
	done   chan error
}

// StartEmbedded starts the system. It returns once every listener is bound;
// use WaitReady before the first request.
func StartEmbedded(options EmbeddedOptions) (*Embedded, error) {
	e := &Embedded{Agents: map[string]*Daemon{}}
	if err := e.start(options); err != nil {
		_ = e.Stop(context.Background())
		return nil, err
	}
	return e, nil
}

// start starts control, then routers, then agents.
func (e *Embedded) start(o EmbeddedOptions) error {
	control, err := e.controlSettings(o)
	if err != nil {
		return err
	}
	if e.Control, err = e.launch(o, control); err != nil {
		return err
	}
	domains := embeddedDomains(o.Endpoints)
	for i := range max(o.Routers, 1) {
		listen := anyPort
		if i == 0 && o.RouterListen != "" {
			listen = o.RouterListen
		}
		s := e.base("router-"+strconv.Itoa(i+1), domains[i%len(domains)])
		s.Router = &settings.Router{Listen: listen, MaxBody: embeddedBody, MaxConnections: embeddedConnections}
		d, err := e.launch(o, s)
		if err != nil {
			return err
		}
		e.Routers = append(e.Routers, d)
	}
	for _, endpoint := range o.Endpoints {
		if err := e.startAgent(o, endpoint); err != nil {
			return err
		}
	}
	return nil
}

// Bounds of an embedded system.
const (
	embeddedBody        = 4 << 20 // bytes
	embeddedConnections = 10_000
	embeddedSlots       = 8
	embeddedMaxSlots    = 256
	embeddedStop        = 30 * time.Second
	readyPoll           = 20 * time.Millisecond
)

// embeddedDomains lists the failure domains of the endpoints, each once.
func embeddedDomains(endpoints []EmbeddedEndpoint) []string {
	var domains []string
	seen := map[string]bool{}
	for _, e := range endpoints {
		if !seen[e.FailureDomain] {
			seen[e.FailureDomain] = true
			domains = append(domains, e.FailureDomain)
		}
	}
	if len(domains) == 0 {
		return []string{"local"}
	}
	return domains
}

// base is what the settings of every embedded process share.
func (e *Embedded) base(name, domain string) *settings.Settings {
	s := &settings.Settings{}
	s.Process = settings.Process{Name: name, Host: "localhost", FailureDomain: domain, LogLevel: "info", StopTimeout: settings.Duration(embeddedStop)}
	if e.Control != nil {
		s.Directory.ControlURLs = []string{e.Control.ControlURL()}
	}
	return s
}

// controlSettings makes the settings of the only control host.
func (e *Embedded) controlSettings(o EmbeddedOptions) (*settings.Settings, error) {
	folder := o.DataFolder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "trefoilkeel-"); err != nil {
			return nil, errors.WithStack(&StartError{Problems: []error{err}})
		}
		e.folder = folder
	}
	listen := anyPort
	if o.ControlListen != "" {
		listen = o.ControlListen
	}
	s := e.base("control-1", "local")
	s.Process.DataFolder = folder
	s.Control = &settings.Control{ID: 1, Listen: listen, URL: "http://" + listen, ClusterID: "embedded", Bootstrap: true,
		Members: []settings.Member{{ID: 1, URL: "http://" + listen}}}
	return s, nil
}

// startAgent starts the agent of one endpoint.
func (e *Embedded) startAgent(o EmbeddedOptions, endpoint EmbeddedEndpoint) error {
	s := e.base("agent-"+endpoint.Name, endpoint.FailureDomain)
	slots := o.Slots
	if slots == 0 {
		slots = embeddedSlots
	}
	s.Agents = []settings.Agent{{
		Endpoint: endpoint.Name, Group: endpoint.Group, Kind: endpoint.Kind, Listen: anyPort, URL: "http://" + anyPort,
		EndpointURL: endpoint.URL, Models: endpoint.Models, Slots: slots, MaxSlots: max(slots, embeddedMaxSlots), MaxBody: embeddedBody,
	}}
	d, err := e.launch(o, s)
	e.Agents[endpoint.Name] = d
	return err
}

// launch starts one daemon.
func (e *Embedded) launch(o EmbeddedOptions, s *settings.Settings) (*Daemon, error) {
	d, err := New(Options{Settings: s, Logger: o.Logger, Flow: o.Flow, OpenAdministration: true})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &member{daemon: d, cancel: cancel, done: make(chan error, 1)}
	e.members = append(e.members, m)
	go func() { m.done <- d.Run(ctx) }()
	return d, nil
}

// WaitReady returns once every router and agent can take work under the
// revision or a newer one, or with the cause of ctx.
func (e *Embedded) WaitReady(ctx context.Context, revision uint64) error {
	for !e.ready(revision) {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// ready reports whether every process is ready and every router knows every endpoint.
func (e *Embedded) ready(revision uint64) bool {
	for _, m := range e.members {
		if !m.daemon.Ready() || (m.daemon.client != nil && m.daemon.Revision() < revision) {
			return false
		}
	}
	for _, r := range e.Routers {
		if len(r.client.Endpoints()) < len(e.Agents) {
			return false
		}
	}
	return true
}

// StopMember stops one daemon of the system as planned and waits for it.
func (e *Embedded) StopMember(d *Daemon) error {
	for i, m := range e.members {
		if m.daemon == d {
			e.members = append(e.members[:i], e.members[i+1:]...)
			m.cancel()
			return <-m.done
		}
	}
	return nil
}

// Stop stops routers, agents and control, in this order, and returns the
// first failure.
func (e *Embedded) Stop(context.Context) error {
	var first error
	keep := func(err error) {
		if first == nil {
			first = err
		}
	}
	for _, r := range e.Routers {
		keep(e.StopMember(r))
	}
	for _, a := range e.Agents {
		keep(e.StopMember(a))
	}
	if e.Control != nil {
		keep(e.StopMember(e.Control))
	}
	if e.folder != "" {
		keep(os.RemoveAll(e.folder))
	}
	return first
}

// StandinServers are the stand-ins of the embedded defaults with their listeners.
type StandinServers struct {
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	servers  []*http.Server
}

// StartStandins starts the endpoints of the embedded defaults: stand-in
// engines and services for the deployment in examples/rally.
func StartStandins() (*StandinServers, []EmbeddedEndpoint, error) {
	s := &StandinServers{Engines: map[string]*standin.Engine{}, Services: map[string]*standin.Service{}}
	var endpoints []EmbeddedEndpoint
	domains := []string{"santiago-a", "santiago-b", "santiago-c"}
	for i, domain := range domains {
		name := "rally-text-" + strconv.Itoa(i+1)
		s.Engines[name] = standin.NewEngine(standin.EngineConfig{Name: name})
		url, err := s.serve(s.Engines[name].Handler())
		if err != nil {
			return nil, nil, err
		}
		endpoints = append(endpoints, EmbeddedEndpoint{Name: name, Group: "rally-text", Kind: "engine", FailureDomain: domain, URL: url, Models: []string{"rally-text"}})
	}
	s.Services["entries"] = standin.NewService(standin.ServiceConfig{Name: "entries"})
	url, err := s.serve(s.Services["entries"].Handler())
	if err != nil {
		return nil, nil, err
	}
	for i, domain := range domains {
		endpoints = append(endpoints, EmbeddedEndpoint{Name: "entries-" + strconv.Itoa(i+1), Group: "entries", Kind: "service", FailureDomain: domain, URL: url, Models: []string{"entries"}})
	}
	return s, endpoints, nil
}

// Add serves one more engine and returns its base URL.
func (s *StandinServers) Add(name string, e *standin.Engine) (url string, err error) {
	s.Engines[name] = e
	return s.serve(e.Handler())
}

// serve answers on a free loopback port.
func (s *StandinServers) serve(h http.Handler) (url string, err error) {
	listener, err := net.Listen("tcp", anyPort)
	if err != nil {
		return "", errors.WithStack(&ListenError{Key: "stand-in", Cause: err})
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callerHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listenURL(listener), nil
}

// Stop closes the stand-ins.
func (s *StandinServers) Stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
