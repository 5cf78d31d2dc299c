// Package router accepts callers' requests, selects an endpoint for each, and
// relays the response. A router keeps no durable state: after a restart it
// rebuilds everything from the control hosts and the agents.
package router

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// ConfigSource provides the current configuration and endpoint directory.
type ConfigSource interface {
	Configuration() *ticket.Configuration
	Endpoints() []*trefoilkeelv1.Endpoint
}

// Options configure a Router.
type Options struct {
	Name         string // process name: prefix of request IDs, reporter of usage
	ConfigSource ConfigSource
	LedgerClient trefoilkeelv1connect.LedgerServiceClient
	Routing      routing.Config
	// AgentClient calls the agents' dispatch path and AgentService.
	AgentClient *http.Client
	// MaxBodyBytes is the largest accepted request body, in bytes.
	MaxBodyBytes int64
	// MaxAnswerMemoryBytes bounds the memory that long answers take together, in bytes. 0 means no bound.
	MaxAnswerMemoryBytes int64
	// Metrics is the registry to record in; nil creates a private one.
	Metrics *metrics.Registry
	Logger  *slog.Logger
}

// Router is the HTTP entry point for callers.
type Router struct {
	options    Options
	logger     *slog.Logger
	selector   *endpointSelector
	apiKeys    atomic.Pointer[apiKeyIndex]
	stopping   atomic.Bool
	requestIDs *requestIDGenerator
	// requestCtx is the base of the contexts of requests. EndRequests cancels it.
	requestCtx  context.Context
	endRequests context.CancelCauseFunc
	admission   *admissionControl
	// answerMemory is nil without a bound.
	answerMemory *answer.Budget
}

// New returns a Router. It refuses requests until the source has a configuration.
func New(options Options) *Router {
	if options.Metrics == nil {
		options.Metrics = metrics.New()
	}
	rt := &Router{options: options, logger: options.Logger, admission: newAdmissionControl()}
	rt.requestCtx, rt.endRequests = context.WithCancelCause(context.Background())
	if options.MaxAnswerMemoryBytes > 0 {
		rt.answerMemory = answer.NewBudget(options.MaxAnswerMemoryBytes)
	}
	rt.selector = newEndpointSelector(options.Routing, options.ConfigSource)
	rt.requestIDs = newRequestIDGenerator(options.Name)
	return rt
}

// Handler returns the HTTP handler for callers' requests.
func (rt *Router) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", rt.serveModelRequest)
	mux.HandleFunc("POST /v1/completions", rt.serveModelRequest)
	mux.HandleFunc("GET /v1/models", rt.serveModels)
	mux.HandleFunc("/services/{service}/", rt.serveServiceRequest)
	mux.HandleFunc("/", rt.serveNotFound)
	return mux
}

// SetStopping makes the router report not ready, so that the load balancer stops
// sending to it, and refuse new requests.
func (rt *Router) SetStopping() { rt.stopping.Store(true) }

// RequestContext is the BaseContext of the http.Server that serves Handler.
func (rt *Router) RequestContext(net.Listener) context.Context { return rt.requestCtx }

// EndRequests cancels the requests that still run, so that they are answered before the process ends.
func (rt *Router) EndRequests() { rt.endRequests(&stoppedError{}) }

// stoppedError is the cancellation cause of requests that EndRequests ends.
type stoppedError struct{}

func (*stoppedError) Error() string { return "this entry is stopping" }

// endError returns the error of a request whose context has ended before it was answered.
func endError(ctx context.Context, mayHaveRun bool) *dispatch.RequestError {
	var stopped *stoppedError
	if !errors.As(context.Cause(ctx), &stopped) {
		return notRunError(dispatch.DeadlineExceeded, http.StatusGatewayTimeout, "the class's deadline passed")
	}
	if mayHaveRun {
		return &dispatch.RequestError{Type: dispatch.Stopping, Status: http.StatusBadGateway, Execution: dispatch.ExecutionUnknown, Message: stopped.Error()}
	}
	reqErr := notRunError(dispatch.Stopping, http.StatusServiceUnavailable, stopped.Error()+"; call again")
	reqErr.RetryAfter = time.Second
	return reqErr
}

// Ready reports whether the router is not stopping, has a configuration and
// knows at least one endpoint.
func (rt *Router) Ready() bool {
	if rt.stopping.Load() || rt.options.ConfigSource.Configuration() == nil {
		return false
	}
	return len(rt.options.ConfigSource.Endpoints()) > 0
}

func (rt *Router) serveNotFound(w http.ResponseWriter, r *http.Request) {
	rt.writeError(w, nil, notRunError(dispatch.InvalidRequest, http.StatusNotFound, "no such path: "+r.Method+" "+r.URL.Path))
}

// serveModels lists the models that the workspace may use.
func (rt *Router) serveModels(w http.ResponseWriter, r *http.Request) {
	config, workspace, reqErr := rt.authenticate(r)
	if reqErr != nil {
		rt.writeError(w, nil, reqErr)
		return
	}
	writeModels(w, modelsForWorkspace(config, workspace.Name))
}

func (rt *Router) serveModelRequest(w http.ResponseWriter, r *http.Request) {
	req, reqErr := rt.readModelRequest(w, r)
	if reqErr != nil {
		rt.writeError(w, nil, reqErr)
		return
	}
	rt.serveRequest(w, r, req)
}

func (rt *Router) serveServiceRequest(w http.ResponseWriter, r *http.Request) {
	req, reqErr := rt.readServiceRequest(w, r)
	if reqErr != nil {
		rt.writeError(w, nil, reqErr)
		return
	}
	rt.serveRequest(w, r, req)
}

// serveRequest applies admission control and answers a classified request.
func (rt *Router) serveRequest(w http.ResponseWriter, r *http.Request, req *callerRequest) {
	rt.countOffered(req)
	if reqErr := rt.admission.admit(req); reqErr != nil {
		rt.writeError(w, req, reqErr)
		return
	}
	defer rt.admission.release(req)
	if req.protected {
		rt.serveProtected(w, r, req)
		return
	}
	rt.serveUnprotected(w, r, req)
}

// writeError sends, counts and logs an error response. req is nil if the request
// was refused before it was classified.
func (rt *Router) writeError(w http.ResponseWriter, req *callerRequest, reqErr *dispatch.RequestError) {
	attrs := []any{"type", reqErr.Type, "status", reqErr.Status, "execution", reqErr.Execution, "message", reqErr.Message}
	if req != nil {
		attrs = append(attrs, "request", req.id, "workspace", req.workspace.Name, "class", req.class.Name, "after_ms", time.Since(req.receivedAt).Milliseconds())
		w.Header().Set("X-Request-Id", req.id)
	}
	rt.countError(reqErr)
	rt.logger.Info("refused", attrs...)
	reqErr.Write(w)
}

// notRunError returns the error for a request that did not run.
func notRunError(errorType dispatch.ErrorType, status int, message string) *dispatch.RequestError {
	return &dispatch.RequestError{Type: errorType, Status: status, Execution: dispatch.ExecutionNotRun, Message: message}
}
