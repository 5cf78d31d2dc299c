package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/inbound"
	"github.com/trefoilkeel/trefoilkeel/internal/router"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
)

// Limits of callers' connections.
const (
	callerHeaderTimeout  = 5 * time.Second
	callerReadTimeout    = 30 * time.Second // header and body of one request
	callerIdleTimeout    = 2 * time.Minute
	callerMaxHeaderBytes = 32 << 10
)

// routerRole runs the router and its listener for callers.
type routerRole struct {
	daemon   *Daemon
	settings *settings.Router
	listener net.Listener
	router   *router.Router
}

// boundListener returns the listener, or nil without the role or if binding failed.
func (r *routerRole) boundListener() net.Listener {
	if r == nil {
		return nil
	}
	return r.listener
}

// addRouter adds the router if the settings have one.
func (d *Daemon) addRouter() {
	s := d.settings.Router
	if s == nil {
		return
	}
	role := &routerRole{daemon: d, settings: s, listener: d.listen("router.listen", s.Listen)}
	role.router = router.New(router.Options{
		Name:         d.settings.Process.Name,
		ConfigSource: d.directoryClient,
		LedgerClient: d.ledgerClient(),
		Routing:      routing.Config{FailureDomain: d.settings.Process.FailureDomain},
		AgentClient:  d.agentHTTPClient(),
		MaxBodyBytes: s.MaxBodyBytes, MaxAnswerMemoryBytes: s.MaxAnswerMemoryBytes,
		Metrics: d.metrics,
		Logger:  d.logger,
	})
	d.router = role
	d.tree.Add("usage reports", func(ctx context.Context) error { return role.router.RunUsageReports(ctx, d.usageClients()) })
	d.tree.Add("router", role.run)
}

// usageClients returns a usage service client for each control host.
func (d *Daemon) usageClients() []trefoilkeelv1connect.UsageServiceClient {
	httpClient := d.rpcClient()
	var clients []trefoilkeelv1connect.UsageServiceClient
	for _, url := range d.controlURLs() {
		clients = append(clients, trefoilkeelv1connect.NewUsageServiceClient(httpClient, url))
	}
	return clients
}

// ledgerClient returns a ledger service client that tries the control hosts in
// turn.
func (d *Daemon) ledgerClient() trefoilkeelv1connect.LedgerServiceClient {
	httpClient := d.rpcClient()
	var clients []trefoilkeelv1connect.LedgerServiceClient
	for _, url := range d.controlURLs() {
		clients = append(clients, trefoilkeelv1connect.NewLedgerServiceClient(httpClient, url))
	}
	return router.NewLedgerFailover(clients)
}

// run serves callers until ctx ends, then accepts no new requests and returns
// once every response in flight is complete or the stop timeout expires.
func (r *routerRole) run(ctx context.Context) error {
	limited := inbound.NewListener(r.listener, r.inboundOptions())
	server := &http.Server{
		Handler:           limited.Handler(r.router.Handler()),
		BaseContext:       r.router.RequestContext,
		ConnContext:       limited.ConnContext,
		ConnState:         limited.ConnState,
		TLSConfig:         callerTLS(r.daemon.options.TLS),
		ReadHeaderTimeout: callerHeaderTimeout,
		ReadTimeout:       callerReadTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerMaxHeaderBytes,
		ErrorLog:          r.daemon.serverErrorLog(),
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- serve(server, limited) }()
	select {
	case err := <-serveErr:
		return err
	case <-ctx.Done():
	}
	r.router.SetStopping()
	stopTimeout := time.Duration(r.daemon.settings.Process.StopTimeout)
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	ending := time.AfterFunc(stopTimeout-min(finalResponseTime, stopTimeout/finalResponseDivisor), r.router.EndRequests)
	defer ending.Stop()
	if err := server.Shutdown(shutdownCtx); err != nil {
		r.daemon.logger.Warn("stop timeout expired with responses in flight; closing their connections", "error", err)
		_ = server.Close()
	}
	return nil
}

// inboundOptions returns the limits of callers' connections. Under TLS the heads of requests can't be read on the
// connection; callerMaxHeaderBytes alone limits them there.
func (r *routerRole) inboundOptions() inbound.Options {
	o := inbound.Options{MaxConnections: r.settings.MaxConnections, HeadTimeout: callerHeaderTimeout,
		OnRefused: func(caller net.Addr, reason error) {
			r.daemon.logger.Info("caller's connection refused", "caller", caller.String(), "reason", reason.Error())
		}}
	if r.daemon.options.TLS == nil {
		o.MaxHeadBytes, o.Memory = func() int { return callerMaxHeaderBytes }, inbound.NewHeadBudget(r.settings.MaxHeadMemoryBytes)
	}
	return o
}

// finalResponseTime is how long before the end of the stop timeout running requests are cancelled, so that
// they are answered before their connections are closed. It is limited to the timeout divided by
// finalResponseDivisor.
const (
	finalResponseTime    = 300 * time.Millisecond
	finalResponseDivisor = 4
)

// serve runs the server on the listener, over TLS if the server has a TLS
// configuration.
func serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}
