package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// healthReport is the JSON body of /healthz and /readyz.
type healthReport struct {
	Process       string `json:"process"`
	Ready         bool   `json:"ready"`
	Revision      uint64 `json:"revision"`
	RevisionAgeMS int64  `json:"revision_age_ms"`
	Endpoints     int    `json:"endpoints"`
}

// addAdministration adds the administration server if its listen address is set.
func (d *Daemon) addAdministration() {
	if d.settings.Administration.Listen == "" {
		return
	}
	listener := d.listen("administration.listen", d.settings.Administration.Listen)
	d.administrationListener = listener
	d.tree.Add("administration", func(ctx context.Context) error {
		return rpc.Serve(ctx, listener, d.administrationHandler(), d.options.TLS, d.logger)
	})
}

// administrationHandler serves /healthz (200 while the process runs), /readyz
// (503 unless the process can take work) and /metrics.
func (d *Daemon) administrationHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { d.writeHealth(w, http.StatusOK) })
	mux.HandleFunc("GET /metrics", d.serveMetrics)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusOK
		if !d.Ready() {
			status = http.StatusServiceUnavailable
		}
		d.writeHealth(w, status)
	})
	return mux
}

// writeHealth sends the health report with an HTTP status.
func (d *Daemon) writeHealth(w http.ResponseWriter, status int) {
	report := healthReport{Process: d.settings.Process.Name, Ready: d.Ready()}
	if d.directoryClient != nil {
		report.Revision = d.Revision()
		report.RevisionAgeMS = d.directoryClient.TimeSinceConfirmed().Milliseconds()
		report.Endpoints = len(d.directoryClient.Endpoints())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(report)
}

// Ready reports whether the router and all agents of the process can take work. A
// process with only a control host is always ready.
func (d *Daemon) Ready() bool {
	if d.directoryClient != nil && d.Revision() == 0 {
		return false
	}
	if d.router != nil && !d.router.router.Ready() {
		return false
	}
	for _, a := range d.agents {
		if a.agent.Incarnation() == 0 || a.agent.Draining() {
			return false
		}
	}
	return true
}

// Revision returns the newest configuration revision applied by the process's
// router and agents, or 0 before the first ticket.
func (d *Daemon) Revision() uint64 {
	if d.directoryClient == nil || d.directoryClient.Configuration() == nil {
		return 0
	}
	return d.directoryClient.Configuration().Revision
}

// RouterURL returns the base URL for callers, or "" without a router.
func (d *Daemon) RouterURL() string { return d.baseURL(d.router.boundListener()) }

// AgentURLs returns the base URLs of the agents.
func (d *Daemon) AgentURLs() []string {
	var urls []string
	for _, a := range d.agents {
		urls = append(urls, d.baseURL(a.boundListener()))
	}
	return urls
}

// ControlURL returns the base URL of the control host, or "" without one.
func (d *Daemon) ControlURL() string { return d.baseURL(d.control.boundListener()) }

// AdministrationURL returns the base URL of health and metrics, or "" if they
// are not served.
func (d *Daemon) AdministrationURL() string { return d.baseURL(d.administrationListener) }

// baseURL returns the URL of a listener, or "" if it is nil.
func (d *Daemon) baseURL(l net.Listener) string {
	if l == nil || d.options.TLS == nil {
		return httpURL(l)
	}
	return "https://" + l.Addr().String()
}

// httpURL returns the URL of a listener without TLS, or "" if it is nil.
func httpURL(l net.Listener) string {
	if l == nil {
		return ""
	}
	return "http://" + l.Addr().String()
}

// rpcClient returns an HTTP/2 client for calls between processes.
func (d *Daemon) rpcClient() *http.Client { return rpc.Client(d.options.TLS) }
