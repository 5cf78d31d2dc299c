// Package router takes requests from callers, chooses an endpoint for each,
// and relays the answer. It holds no truth: everything it knows it can learn
// again from control and from the agents.
package router

import (
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Source gives the configuration and the directory in force.
type Source interface {
	State() *ticket.State
	Endpoints() []*trefoilkeelv1.Endpoint
}

// Options set up a router.
type Options struct {
	Name    string // of the process
	Source  Source
	Ledger  trefoilkeelv1connect.LedgerServiceClient
	Routing routing.Config
	// Agents reaches the agents' dispatch path and AgentService.
	Agents *http.Client
	// MaxBody bounds a caller's body, in bytes.
	MaxBody int64
	// Metrics takes the figures; nil for a registry of its own.
	Metrics *metrics.Registry
	Logger  *slog.Logger
}

// Router is the entry for callers.
type Router struct {
	options   Options
	logger    *slog.Logger
	picker    *picker
	keys      atomic.Pointer[keyIndex]
	stopping  atomic.Bool
	requests  *requestIDs
	admission *admission
}

// New returns a router. It serves once the source has a configuration.
func New(options Options) *Router {
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	rt := &Router{options: options, logger: options.Logger, admission: newAdmission()}
	rt.picker = newPicker(options.Routing, options.Source)
	rt.requests = newRequestIDs(options.Name)
	return rt
}

// Handler serves callers.
func (rt *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", rt.serveModel)
	mux.HandleFunc("POST /v1/completions", rt.serveModel)
	mux.HandleFunc("GET /v1/models", rt.serveModels)
	mux.HandleFunc("/services/{service}/", rt.serveService)
	mux.HandleFunc("/", rt.serveNothing)
	return mux
}

// SetStopping makes the router not ready, so that the balancer moves on.
func (rt *Router) SetStopping() { rt.stopping.Store(true) }

// Ready reports whether a configuration is in force and an endpoint is known.
func (rt *Router) Ready() bool {
	if rt.stopping.Load() || rt.options.Source.State() == nil {
		return false
	}
	return len(rt.options.Source.Endpoints()) > 0
}

// serveNothing answers paths that do not exist.
func (rt *Router) serveNothing(w http.ResponseWriter, r *http.Request) {
	rt.refuse(w, nil, refusal(dispatch.InvalidRequest, http.StatusNotFound, "no such path: "+r.Method+" "+r.URL.Path))
}

// serveModels lists the models that the workspace may use.
func (rt *Router) serveModels(w http.ResponseWriter, r *http.Request) {
	state, workspace, refused := rt.authenticate(r)
	if refused != nil {
		rt.refuse(w, nil, refused)
		return
	}
	writeModels(w, modelsOf(state, workspace.Name))
}

// serveModel takes a request for a language model.
func (rt *Router) serveModel(w http.ResponseWriter, r *http.Request) {
	q, refused := rt.modelQuery(w, r)
	if refused != nil {
		rt.refuse(w, nil, refused)
		return
	}
	rt.serve(w, r, q)
}

// serveService takes a request for a plain service.
func (rt *Router) serveService(w http.ResponseWriter, r *http.Request) {
	q, refused := rt.serviceQuery(w, r)
	if refused != nil {
		rt.refuse(w, nil, refused)
		return
	}
	rt.serve(w, r, q)
}

// serve runs a classified request to its end.
func (rt *Router) serve(w http.ResponseWriter, r *http.Request, q *query) {
	rt.offered(q)
	if refused := rt.admission.enter(q); refused != nil {
		rt.refuse(w, q, refused)
		return
	}
	defer rt.admission.leave(q)
	if q.protected {
		rt.serveProtected(w, r, q)
		return
	}
	rt.serveOrdinary(w, r, q)
}

// refuse sends a refusal and logs it.
func (rt *Router) refuse(w http.ResponseWriter, q *query, refused *dispatch.Refusal) {
	attrs := []any{"type", refused.Type, "status", refused.Status, "execution", refused.Execution, "message", refused.Message}
	if q != nil {
		attrs = append(attrs, "request", q.id, "workspace", q.workspace.Name, "class", q.class.Name, "after_ms", time.Since(q.received).Milliseconds())
		w.Header().Set("X-Request-Id", q.id)
	}
	rt.counted(refused)
	rt.logger.Info("refused", attrs...)
	refused.Write(w)
}

// refusal is one for a request that did not run.
func refusal(kind dispatch.RefusalType, status int, message string) *dispatch.Refusal {
	return &dispatch.Refusal{Type: kind, Status: status, Execution: dispatch.NotRun, Message: message}
}
