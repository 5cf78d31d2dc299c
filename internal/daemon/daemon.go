// Package daemon runs the roles that the settings name (control host, router,
// agents) in one process under a supervisor tree.
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

	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/internal/supervise"
)

// Limits of a router's connection pool to the agents.
const (
	maxIdleConnsPerAgent = 64
	agentIdleTimeout     = 90 * time.Second
	agentDialTimeout     = 2 * time.Second
)

// StartError lists every problem that prevented a process from starting.
type StartError struct {
	Problems []error
}

// Error lists the problems, one per line.
func (e *StartError) Error() string {
	var b strings.Builder
	b.WriteString("the process can't start:")
	for _, p := range e.Problems {
		b.WriteString("\n  " + p.Error())
	}
	return b.String()
}

// ListenError reports that binding the address of a settings key failed.
type ListenError struct {
	Key   string
	Cause error
}

func (e *ListenError) Error() string { return e.Key + ": " + e.Cause.Error() }

func (e *ListenError) Unwrap() error { return e.Cause }

// Options configure a process.
type Options struct {
	Settings *settings.Settings
	Logger   *slog.Logger
	// TLS secures every listener and connection; nil disables TLS, for loopback only.
	TLS *tls.Config
	// AgentQueue configures the agents' queues. If its Slots is 0, the settings
	// of each agent supply the concurrency limits.
	AgentQueue flow.Config
	// DisableAdminAuth disables operator authentication, for loopback only.
	DisableAdminAuth bool
}

// Daemon is one process and the roles that it runs.
type Daemon struct {
	options                Options
	settings               *settings.Settings
	logger                 *slog.Logger
	tree                   *supervise.Tree
	problems               []error
	metrics                *metrics.Registry
	directoryClient        *follow.Client // nil without a router or agent
	control                *controlRole   // nil without the role
	router                 *routerRole    // nil without the role
	agents                 []*agentRole
	administrationListener net.Listener // nil without one
}

// New binds every listener and builds the roles without starting them. An
// error is a *StartError that lists every problem.
func New(options Options) (*Daemon, error) {
	s := options.Settings
	d := &Daemon{options: options, settings: s, tree: supervise.New(options.Logger), metrics: metrics.New()}
	d.logger = options.Logger.With("process", s.Process.Name)
	d.addAdministration()
	d.addControl()
	d.addDirectoryClient()
	d.addAgents()
	d.addRouter()
	if len(d.problems) > 0 {
		d.closeListeners()
		return nil, errors.WithStack(&StartError{Problems: d.problems})
	}
	return d, nil
}

// Run runs the roles until ctx ends, then stops them starting on the callers'
// side: router, agents, control host.
func (d *Daemon) Run(ctx context.Context) error { return d.tree.Run(ctx) }

// listen binds an address. A failure is added to the problems under the
// settings key, and the listener is nil.
func (d *Daemon) listen(key, address string) net.Listener {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		d.problems = append(d.problems, &ListenError{Key: key, Cause: err})
		return nil
	}
	return listener
}

// closeListeners closes every bound listener after a failed start.
func (d *Daemon) closeListeners() {
	closeListener(d.administrationListener)
	closeListener(d.control.boundListener())
	closeListener(d.router.boundListener())
	for _, a := range d.agents {
		closeListener(a.boundListener())
	}
}

// closeListener closes a listener unless it is nil.
func closeListener(l net.Listener) {
	if l != nil {
		_ = l.Close()
	}
}

// addDirectoryClient adds the client that receives the configuration, and for a
// router the directory, from control. A process without router or agents has none.
func (d *Daemon) addDirectoryClient() {
	if d.settings.Router == nil && len(d.settings.Agents) == 0 {
		return
	}
	subscriberRole := "agent"
	if d.settings.Router != nil {
		subscriberRole = "router"
	}
	d.directoryClient = follow.New(follow.Options{
		ControlURLs:    d.controlURLs(),
		SubscriberName: d.settings.Process.Name,
		SubscriberRole: subscriberRole,
		FailureDomain:  d.settings.Process.FailureDomain,
		WithDirectory:  d.settings.Router != nil,
		HTTPClient:     d.rpcClient(),
		Logger:         d.logger,
	})
	d.tree.Add("directory client", d.directoryClient.Run)
}

// controlURLs returns the control hosts to call. A URL with port 0 is replaced
// by the URL of this process's own control host.
func (d *Daemon) controlURLs() []string {
	urls := append([]string(nil), d.settings.Directory.ControlURLs...)
	for i, u := range urls {
		if d.control != nil && strings.HasSuffix(u, ":0") {
			urls[i] = d.control.url
		}
	}
	return urls
}

// withBoundPort replaces port 0 in a URL by the port that the listener has bound.
func withBoundPort(url string, listener net.Listener) string {
	if listener == nil || !strings.HasSuffix(url, ":0") {
		return url
	}
	_, port, err := net.SplitHostPort(listener.Addr().String())
	if err != nil {
		return url
	}
	return strings.TrimSuffix(url, "0") + port
}

// agentHTTPClient returns the HTTP/1.1 client for calls to agents. No agent ends an answer by its connection.
func (d *Daemon) agentHTTPClient() *http.Client {
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext:         answer.ScanHeads((&net.Dialer{Timeout: agentDialTimeout}).DialContext),
			MaxIdleConnsPerHost: maxIdleConnsPerAgent,
			IdleConnTimeout:     agentIdleTimeout,
			TLSClientConfig:     d.options.TLS.Clone(),
			DisableCompression:  true,
		}
	}
	return &http.Client{Transport: &answer.Transport{RequiresEnd: true, Next: rpc.HostTransports(newTransport)}}
}
