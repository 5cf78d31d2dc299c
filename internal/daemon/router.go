package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/router"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
)

// Bounds of callers' connections.
const (
	callerHeaderTimeout = 5 * time.Second
	callerReadTimeout   = 30 * time.Second // head and body of one request
	callerIdleTimeout   = 2 * time.Minute
	callerHeaderBytes   = 32 << 10
)

// routerRole is the router with its listener.
type routerRole struct {
	daemon   *Daemon
	settings *settings.Router
	listener net.Listener
	router   *router.Router
}

// socket is the role's listener, nil if it was not bound.
func (r *routerRole) socket() net.Listener {
	if r == nil {
		return nil
	}
	return r.listener
}

// addRouter builds the router.
func (d *Daemon) addRouter() {
	s := d.settings.Router
	if s == nil {
		return
	}
	role := &routerRole{daemon: d, settings: s, listener: d.listen("router.listen", s.Listen)}
	role.router = router.New(router.Options{
		Name:    d.settings.Process.Name,
		Source:  d.client,
		Ledger:  d.ledgerClient(),
		Routing: routing.Config{FailureDomain: d.settings.Process.FailureDomain},
		Agents:  d.agentClient(),
		MaxBody: s.MaxBody,
		Metrics: d.metrics,
		Logger:  d.logger,
	})
	d.router = role
	d.tree.Add("usage reports", func(ctx context.Context) error { return role.router.ReportUsage(ctx, d.usageClients()) })
	d.tree.Add("router", role.run)
}

// usageClients call the sums of usage at each control host.
func (d *Daemon) usageClients() []trefoilkeelv1connect.UsageServiceClient {
	client := d.rpcClient()
	var hosts []trefoilkeelv1connect.UsageServiceClient
	for _, url := range d.controlURLs() {
		hosts = append(hosts, trefoilkeelv1connect.NewUsageServiceClient(client, url))
	}
	return hosts
}

// ledgerClient calls the ledger at the control hosts in turn.
func (d *Daemon) ledgerClient() trefoilkeelv1connect.LedgerServiceClient {
	client := d.rpcClient()
	var hosts []trefoilkeelv1connect.LedgerServiceClient
	for _, url := range d.controlURLs() {
		hosts = append(hosts, trefoilkeelv1connect.NewLedgerServiceClient(client, url))
	}
	return router.NewLedgerHosts(hosts)
}

// run serves callers until ctx ends, then takes no new ones and returns once
// every answer in flight is whole.
func (r *routerRole) run(ctx context.Context) error {
	server := &http.Server{
		Handler:           r.router.Handler(),
		TLSConfig:         callerTLS(r.daemon.options.TLS),
		ReadHeaderTimeout: callerHeaderTimeout,
		ReadTimeout:       callerReadTimeout,
		IdleTimeout:       callerIdleTimeout,
		MaxHeaderBytes:    callerHeaderBytes,
		ErrorLog:          r.daemon.serverLog(),
	}
	failed := make(chan error, 1)
	go func() { failed <- serve(server, rpc.LimitListener(r.listener, r.settings.MaxConnections)) }()
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
	}
	r.router.SetStopping()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(r.daemon.settings.Process.StopTimeout))
	defer cancel()
	if err := server.Shutdown(limit); err != nil {
		r.daemon.logger.Warn("answers in flight at the end of the stop timeout", "error", err)
		_ = server.Close()
	}
	return nil
}

// serve answers on the listener, over TLS if the server has a certificate.
func serve(server *http.Server, listener net.Listener) error {
	if server.TLSConfig != nil {
		return server.ServeTLS(listener, "", "")
	}
	return server.Serve(listener)
}
