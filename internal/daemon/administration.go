package daemon

import (
	"context"
	"encoding/json"
	"net"
	"net/http"

	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// health is the answer of the administration listener.
type health struct {
	Process       string `json:"process"`
	Ready         bool   `json:"ready"`
	Revision      uint64 `json:"revision"`
	RevisionAgeMs int64  `json:"revision_age_ms"`
	Endpoints     int    `json:"endpoints"`
}

// addAdministration serves health and readiness.
func (d *Daemon) addAdministration() {
	if d.settings.Administration.Listen == "" {
		return
	}
	listener := d.listen("administration.listen", d.settings.Administration.Listen)
	d.administration = listener
	d.tree.Add("administration", func(ctx context.Context) error {
		return rpc.Serve(ctx, listener, d.administrationHandler(), d.options.TLS, d.logger)
	})
}

// administrationHandler serves /healthz, which says that the process runs,
// /readyz, which says that it can take work, and /metrics.
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

// writeHealth sends the state of the process.
func (d *Daemon) writeHealth(w http.ResponseWriter, status int) {
	h := health{Process: d.settings.Process.Name, Ready: d.Ready()}
	if d.client != nil {
		h.Revision = d.Revision()
		h.RevisionAgeMs = d.client.Age().Milliseconds()
		h.Endpoints = len(d.client.Endpoints())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(h)
}

// Ready reports whether every role of the process can take work.
func (d *Daemon) Ready() bool {
	if d.client != nil && d.Revision() == 0 {
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

// Revision is the newest configuration revision applied by the process's
// router and agents, 0 before the first ticket.
func (d *Daemon) Revision() uint64 {
	if d.client == nil || d.client.State() == nil {
		return 0
	}
	return d.client.State().Revision
}

// RouterURL is the base URL for callers, "" without the role.
func (d *Daemon) RouterURL() string { return d.baseURL(d.router.socket()) }

// AgentURLs are the base URLs of the agents.
func (d *Daemon) AgentURLs() []string {
	var urls []string
	for _, a := range d.agents {
		urls = append(urls, d.baseURL(a.socket()))
	}
	return urls
}

// ControlURL is the base URL of the control role, "" without it.
func (d *Daemon) ControlURL() string { return d.baseURL(d.control.socket()) }

// AdministrationURL is the base URL of health and metrics, "" without it.
func (d *Daemon) AdministrationURL() string { return d.baseURL(d.administration) }

// baseURL is the URL of a listener, "" without one.
func (d *Daemon) baseURL(l net.Listener) string {
	if l == nil || d.options.TLS == nil {
		return listenURL(l)
	}
	return "https://" + l.Addr().String()
}

// listenURL is the URL of a listener without TLS.
func listenURL(l net.Listener) string {
	if l == nil {
		return ""
	}
	return "http://" + l.Addr().String()
}

// rpcClient returns a client for the calls between processes.
func (d *Daemon) rpcClient() *http.Client { return rpc.Client(d.options.TLS) }
