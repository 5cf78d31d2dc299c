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

// freeLoopbackAddress makes a listener choose a free loopback port.
const freeLoopbackAddress = "127.0.0.1:0"

// EmbeddedEndpoint is one endpoint of an embedded system.
type EmbeddedEndpoint struct {
	Name          string
	Group         string
	Kind          string // "engine" or "service"
	FailureDomain string
	URL           string   // base URL of the engine or service
	Models        []string // models, or for a service its name
}

// EmbeddedOptions configure a system that runs in one process on loopback.
type EmbeddedOptions struct {
	Endpoints []EmbeddedEndpoint
	// RouterCount is the number of routers; 0 means 1. Their failure domains are
	// those of the endpoints, assigned round-robin.
	RouterCount int
	// RouterListen is the first router's listen address; "" chooses a free port.
	RouterListen string
	// ControlListen is the control host's listen address; "" chooses a free port.
	ControlListen string
	// DataFolder holds the control state; "" uses a temporary folder that Stop
	// removes.
	DataFolder string
	// AgentQueue is passed to every agent as Options.AgentQueue.
	AgentQueue flow.Config
	// InitialSlots is each agent's initial concurrency limit; 0 means 8.
	InitialSlots int
	Logger       *slog.Logger
}

// Embedded is a system in one process: a control host, routers, and an agent
// per endpoint, each with its own supervisor tree.
type Embedded struct {
	Control *Daemon
	Routers []*Daemon
	Agents  map[string]*Daemon // by endpoint

	tempDataFolder string
	daemons        []*runningDaemon
}

type runningDaemon struct {
	daemon *Daemon
	cancel context.CancelFunc
	done   chan error
}

// StartEmbedded starts a system. It returns once every listener is bound; call
// WaitReady before the first request.
func StartEmbedded(options EmbeddedOptions) (*Embedded, error) {
	e := &Embedded{Agents: map[string]*Daemon{}}
	if err := e.start(options); err != nil {
		_ = e.Stop(context.Background())
		return nil, err
	}
	return e, nil
}

// start starts the control host, then routers, then agents.
func (e *Embedded) start(o EmbeddedOptions) error {
	control, err := e.controlSettings(o)
	if err != nil {
		return err
	}
	if e.Control, err = e.startDaemon(o, control); err != nil {
		return err
	}
	domains := endpointFailureDomains(o.Endpoints)
	for i := range max(o.RouterCount, 1) {
		listen := freeLoopbackAddress
		if i == 0 && o.RouterListen != "" {
			listen = o.RouterListen
		}
		s := e.commonSettings("router-"+strconv.Itoa(i+1), domains[i%len(domains)])
		s.Router = &settings.Router{Listen: listen, MaxBodyBytes: embeddedMaxBodyBytes, MaxConnections: embeddedMaxConnections, MaxHeadMemoryBytes: embeddedMaxHeadMemory, MaxAnswerMemoryBytes: embeddedMaxAnswerMemory}
		d, err := e.startDaemon(o, s)
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

// Limits of an embedded system.
const (
	embeddedMaxBodyBytes    = 4 << 20
	embeddedMaxConnections  = 10_000
	embeddedMaxHeadMemory   = 64 << 20
	embeddedMaxAnswerMemory = 32 << 20
	embeddedInitialSlots    = 8
	embeddedMaxSlots        = 256
	embeddedStopTimeout     = 30 * time.Second
	readyPollInterval       = 20 * time.Millisecond
)

// endpointFailureDomains returns the distinct failure domains of the endpoints,
// or "local" without endpoints.
func endpointFailureDomains(endpoints []EmbeddedEndpoint) []string {
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

// commonSettings returns the settings that every embedded process shares.
func (e *Embedded) commonSettings(name, domain string) *settings.Settings {
	s := &settings.Settings{}
	s.Process = settings.Process{Name: name, Host: "localhost", FailureDomain: domain, LogLevel: "info", StopTimeout: settings.Duration(embeddedStopTimeout)}
	if e.Control != nil {
		s.Directory.ControlURLs = []string{e.Control.ControlURL()}
	}
	return s
}

// controlSettings returns the settings of the single control host.
func (e *Embedded) controlSettings(o EmbeddedOptions) (*settings.Settings, error) {
	folder := o.DataFolder
	if folder == "" {
		var err error
		if folder, err = os.MkdirTemp("", "trefoilkeel-"); err != nil {
			return nil, errors.WithStack(&StartError{Problems: []error{err}})
		}
		e.tempDataFolder = folder
	}
	listen := freeLoopbackAddress
	if o.ControlListen != "" {
		listen = o.ControlListen
	}
	s := e.commonSettings("control-1", "local")
	s.Process.DataFolder = folder
	s.Control = &settings.Control{ID: 1, Listen: listen, URL: "http://" + listen, ClusterID: "embedded", Bootstrap: true,
		InitialMembers: []settings.Member{{ID: 1, URL: "http://" + listen}}}
	return s, nil
}

func (e *Embedded) startAgent(o EmbeddedOptions, endpoint EmbeddedEndpoint) error {
	s := e.commonSettings("agent-"+endpoint.Name, endpoint.FailureDomain)
	slots := o.InitialSlots
	if slots == 0 {
		slots = embeddedInitialSlots
	}
	s.Agents = []settings.Agent{{
		Endpoint: endpoint.Name, Group: endpoint.Group, Kind: endpoint.Kind, Listen: freeLoopbackAddress, URL: "http://" + freeLoopbackAddress,
		EndpointURL: endpoint.URL, Models: endpoint.Models, InitialSlots: slots, MaxSlots: max(slots, embeddedMaxSlots), MaxBodyBytes: embeddedMaxBodyBytes, MaxAnswerMemoryBytes: embeddedMaxAnswerMemory,
	}}
	d, err := e.startDaemon(o, s)
	e.Agents[endpoint.Name] = d
	return err
}

func (e *Embedded) startDaemon(o EmbeddedOptions, s *settings.Settings) (*Daemon, error) {
	d, err := New(Options{Settings: s, Logger: o.Logger, AgentQueue: o.AgentQueue, DisableAdminAuth: true})
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	running := &runningDaemon{daemon: d, cancel: cancel, done: make(chan error, 1)}
	e.daemons = append(e.daemons, running)
	go func() { running.done <- d.Run(ctx) }()
	return d, nil
}

// WaitReady waits until every router and agent can take work with this
// configuration revision or a newer one. It returns the cause if ctx ends first.
func (e *Embedded) WaitReady(ctx context.Context, revision uint64) error {
	for !e.ready(revision) {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
	return nil
}

// ready reports whether every daemon is ready at the revision and every router
// has every endpoint in its directory.
func (e *Embedded) ready(revision uint64) bool {
	for _, running := range e.daemons {
		if !running.daemon.Ready() || (running.daemon.directoryClient != nil && running.daemon.Revision() < revision) {
			return false
		}
	}
	for _, r := range e.Routers {
		if len(r.directoryClient.Endpoints()) < len(e.Agents) {
			return false
		}
	}
	return true
}

// StopDaemon gracefully stops one daemon of the system and waits for it.
func (e *Embedded) StopDaemon(d *Daemon) error {
	for i, running := range e.daemons {
		if running.daemon == d {
			e.daemons = append(e.daemons[:i], e.daemons[i+1:]...)
			running.cancel()
			return <-running.done
		}
	}
	return nil
}

// Stop stops the routers, the agents and the control host in this order and
// returns the first error.
func (e *Embedded) Stop(context.Context) error {
	var firstErr error
	recordErr := func(err error) {
		if firstErr == nil {
			firstErr = err
		}
	}
	for _, r := range e.Routers {
		recordErr(e.StopDaemon(r))
	}
	for _, a := range e.Agents {
		recordErr(e.StopDaemon(a))
	}
	if e.Control != nil {
		recordErr(e.StopDaemon(e.Control))
	}
	if e.tempDataFolder != "" {
		recordErr(os.RemoveAll(e.tempDataFolder))
	}
	return firstErr
}

// StandinServers are running stand-in engines and services, by name.
type StandinServers struct {
	Engines  map[string]*standin.Engine
	Services map[string]*standin.Service
	servers  []*http.Server
}

// StartStandins starts the stand-in engines and services of the deployment in
// examples/rally and returns their endpoints.
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

// AddEngine starts a server for one more engine and returns its base URL.
func (s *StandinServers) AddEngine(name string, e *standin.Engine) (url string, err error) {
	s.Engines[name] = e
	return s.serve(e.Handler())
}

// serve starts a server on a free loopback port and returns its URL.
func (s *StandinServers) serve(h http.Handler) (url string, err error) {
	listener, err := net.Listen("tcp", freeLoopbackAddress)
	if err != nil {
		return "", errors.WithStack(&ListenError{Key: "stand-in", Cause: err})
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: callerHeaderTimeout}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return httpURL(listener), nil
}

// Stop closes the stand-in servers.
func (s *StandinServers) Stop() {
	for _, server := range s.servers {
		_ = server.Close()
	}
}
