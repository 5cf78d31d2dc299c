// Package daemon joins the roles that the settings name into one process
// under a supervisor tree.
package daemon

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/internal/supervise"
)

// Connection pool of a router towards the agents.
const (
	maxIdlePerAgent = 64
	agentIdle       = 90 * time.Second
	agentDial       = 2 * time.Second
)

// StartError lists everything that kept a process from starting.
type StartError struct {
	Problems []error
}

// Error lists the problems, one a line.
func (e *StartError) Error() string {
	var b strings.Builder
	b.WriteString("the process can't start:")
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.Error())
	}
	return b.String()
}

// ListenError says that the address of a settings key can't be listened on.
type ListenError struct {
	Key   string
	Cause error
}

// Error names the key.
func (e *ListenError) Error() string { return e.Key + ": " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Options set up a process beyond its settings.
type Options struct {
	Settings *settings.Settings
	Logger   *slog.Logger
	// TLS secures every listener and connection; nil on loopback.
	TLS *tls.Config
	// Flow overrides the agents' queue settings where it is not the zero value.
	Flow flow.Config
	// OpenAdministration lets every caller on loopback administrate.
	OpenAdministration bool
}

// Daemon is one process with its roles.
type Daemon struct {
	options  Options
	settings *settings.Settings
	logger   *slog.Logger
	tree     *supervise.Tree
	problems []error
	metrics  *metrics.Registry
	client   *follow.Client // nil without a router or agent
	control  *controlRole   // nil without the role
	router   *routerRole    // nil without the role
	agents   []*agentRole
	// administration is the listener of health and metrics, nil without one.
	administration net.Listener
}

// New binds every listener and builds the roles; nothing runs yet. An error is
// a *StartError with every problem.
func New(options Options) (*Daemon, error) {
	s := options.Settings
	d := &Daemon{options: options, settings: s, tree: supervise.New(options.Logger), metrics: metrics.New()}
	d.logger = options.Logger.With("process", s.Process.Name)
	d.addAdministration()
	d.addControl()
	d.addClient()
	d.addAgents()
	d.addRouter()
	if len(d.problems) > 0 {
		d.closeListeners()
		return nil, errors.WithStack(&StartError{Problems: d.problems})
	}
	return d, nil
}

// Run runs the roles until ctx ends, then stops them from the callers' side
// down: router, agents, control.
func (d *Daemon) Run(ctx context.Context) error { return d.tree.Run(ctx) }

// listen binds an address and notes a problem under its key.
func (d *Daemon) listen(key, address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.problems = append(d.problems, &ListenError{Key: key, Cause: err})
		return nil
	}
	return listener
}

// closeListeners frees what a failed start has bound.
func (d *Daemon) closeListeners() {
	closeListener(d.administration)
	closeListener(d.control.socket())
	closeListener(d.router.socket())
	for _, a := range d.agents {
		closeListener(a.socket())
	}
}

// closeListener closes a listener that may be nil.
func closeListener(l net.Listener) {
	if l != nil {
		_ = l.Close()
	}
}

// addClient follows control for the routers and agents of the process.
func (d *Daemon) addClient() {
	if d.settings.Router == nil && len(d.settings.Agents) == 0 {
		return
	}
	kind := "agent"
	if d.settings.Router != nil {
		kind = "router"
	}
	d.client = follow.New(follow.Options{
		ControlURLs:   d.controlURLs(),
		Subscriber:    d.settings.Process.Name,
		Kind:          kind,
		FailureDomain: d.settings.Process.FailureDomain,
		WithDirectory: d.settings.Router != nil,
		HTTP:          d.rpcClient(),
		Logger:        d.logger,
	})
	d.tree.Add("directory client", d.client.Run)
}

// controlURLs are the control hosts to call; a URL with port 0 stands for the
// control role of this process.
func (d *Daemon) controlURLs() []string {
	urls := append([]string(nil), d.settings.Directory.ControlURLs...)
	for i, u := range urls {
		if d.control != nil && strings.HasSuffix(u, ":0") {
			urls[i] = d.control.url
		}
	}
	return urls
}

// boundURL fills in the port that was bound for a URL with port 0.
func boundURL(url string, listener net.Listener) string {
	if listener == nil || !strings.HasSuffix(url, ":0") {
		return url
	}
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return url
	}
	return strings.TrimSuffix(url, "0") + port
}

// agentClient returns the HTTP/1.1 client towards agents.
func (d *Daemon) agentClient() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         (&net.Dialer{Timeout: agentDial}).DialContext,
		MaxIdleConnsPerHost: maxIdlePerAgent,
		IdleConnTimeout:     agentIdle,
		TLSClientConfig:     d.options.TLS.Clone(),
		DisableCompression:  true,
	}}
}
