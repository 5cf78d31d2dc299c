package daemon

import (
	"context"
	"encoding/json"
	"log"
	"log/slog"
	"net"
	"net/http"
	"strings"

	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// maxServerLine bounds a line that net/http logs, in bytes: it may quote what
// a peer has sent.
const maxServerLine = 120

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

// administrationHandler serves /healthz, which says that the process runs, and
// /readyz, which says that it can take work.
func (d *Daemon) administrationHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { d.writeHealth(w, http.StatusOK) })
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
		if state := d.client.State(); state != nil {
			h.Revision = state.Revision
		}
		h.RevisionAgeMs = d.client.Age().Milliseconds()
		h.Endpoints = len(d.client.Endpoints())
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(h)
}

// Ready reports whether every role of the process can take work.
func (d *Daemon) Ready() bool {
	if d.router != nil && !d.router.router.Ready() {
		return false
	}
	for _, a := range d.agents {
		if a.agent.Incarnation() == 0 || a.agent.Draining() || d.client.State() == nil {
			return false
		}
	}
	return true
}

// RouterURL is the base URL for callers, "" without the role.
func (d *Daemon) RouterURL() string { return listenURL(d.router.socket()) }

// ControlURL is the base URL of the control role, "" without it.
func (d *Daemon) ControlURL() string { return listenURL(d.control.socket()) }

// AdministrationURL is the base URL of health and metrics, "" without it.
func (d *Daemon) AdministrationURL() string { return listenURL(d.administration) }

// listenURL is the URL of a listener without TLS.
func listenURL(l net.Listener) string {
	if l == nil {
		return ""
	}
	return "http://" + l.Addr().String()
}

// rpcClient returns a client for the calls between processes.
func (d *Daemon) rpcClient() *http.Client { return rpc.Client(d.options.TLS) }

// serverLog passes net/http's own lines on, cut short.
func (d *Daemon) serverLog() *log.Logger { return log.New(shortWriter{d.logger}, "", 0) }

// shortWriter logs the head of each line.
type shortWriter struct {
	logger *slog.Logger
}

// Write logs one line.
func (s shortWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxServerLine)]))
	s.logger.Warn("http", "line", text)
	return len(line), nil
}
