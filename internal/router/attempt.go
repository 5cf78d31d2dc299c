package router

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// maxErrorBodyBytes limits how much of an agent's error response is read.
const maxErrorBodyBytes = 64 << 10

// attempt is one dispatch of a request to one agent.
type attempt struct {
	request           *callerRequest
	number            uint32
	selected          selection
	body              []byte
	attemptsBefore    int
	resumesStream     bool
	latestStartUnixMS int64 // 0 for none
}

// IdentityMismatchError reports a response that belongs to another attempt: its
// request ID, attempt number or incarnation differs.
type IdentityMismatchError struct {
	Endpoint string
	Want     string
	Got      string
}

// Error returns the received and the expected identity.
func (e *IdentityMismatchError) Error() string {
	return "endpoint " + e.Endpoint + " answered " + e.Got + " instead of " + e.Want
}

// NotSentError reports that no byte of an attempt reached its agent: it did not
// run there and never will.
type NotSentError struct {
	Endpoint string
	Cause    error
}

// Error returns the endpoint and the cause.
func (e *NotSentError) Error() string {
	return "endpoint " + e.Endpoint + " was not reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// asNotRunError converts a *NotSentError into a not-run error and returns nil for
// any other error.
func asNotRunError(err error) *dispatch.RequestError {
	var unsent *NotSentError
	if !errors.As(err, &unsent) {
		return nil
	}
	return notRunError(dispatch.EndpointFailed, http.StatusBadGateway, err.Error())
}

// routingRequest describes the request to the routing table.
func (req *callerRequest) routingRequest(h *attemptHistory) routing.Request {
	return routing.Request{
		Workspace:      req.workspace.Name,
		Target:         req.modelOrService,
		Kind:           req.endpointKind,
		Class:          req.class.Name,
		Tier:           int(req.class.Tier),
		Prefix:         req.prefixHashes(),
		BodyBytes:      len(req.body),
		TriedEndpoints: h.excluded,
		BusyEndpoints:  h.lastResort,
	}
}

// selectEndpoint selects an endpoint and logs the reason and the candidates.
func (rt *Router) selectEndpoint(req *callerRequest, h *attemptHistory) (selection, *dispatch.RequestError) {
	selected, err := rt.selector.selectEndpoint(req.routingRequest(h))
	if err != nil {
		reqErr := notRunError(dispatch.NoEndpoint, http.StatusServiceUnavailable, err.Error())
		reqErr.RetryAfter = time.Second
		return selection{}, reqErr
	}
	rt.logger.Info("route",
		"request", req.id, "workspace", req.workspace.Name, "class", req.class.Name, "tier", int(req.class.Tier),
		"target", req.modelOrService, "endpoint", selected.endpoint.GetName(), "incarnation", selected.endpoint.GetIncarnation(),
		"reason", selected.reason, "candidates", selected.candidates, "hop", h.attempts)
	return selected, nil
}

// sendAttempt sends an attempt to its agent. The response is not checked yet: see
// matchResponse. The caller of sendAttempt closes its body.
func (rt *Router) sendAttempt(ctx context.Context, a *attempt) (*http.Response, error) {
	targetURL := a.selected.endpoint.GetAgentUrl() + dispatch.PathPrefix + a.request.endpointURI
	trace := &dispatch.ConnTrace{}
	httpRequest, err := dispatch.NewAttemptRequest(trace.TraceContext(ctx), a.request.method, targetURL, a.body)
	if err != nil {
		return nil, &NotSentError{Endpoint: a.selected.endpoint.GetName(), Cause: err}
	}
	httpRequest.Header = a.request.endpointHeader.Clone()
	a.metadata().SetHeaders(httpRequest.Header)
	response, err := rt.options.AgentClient.Do(httpRequest)
	if err != nil && !trace.MayHaveSent() {
		return nil, &NotSentError{Endpoint: a.selected.endpoint.GetName(), Cause: err}
	}
	return response, err
}

// matchResponse checks that a response is to the attempt before anything of it is used. It returns
// the agent's error, nil if the response comes from the endpoint, or an *IdentityMismatchError.
func (rt *Router) matchResponse(a *attempt, response *http.Response) (*dispatch.RequestError, error) {
	if err := a.verifyIdentity(response); err != nil {
		return nil, err
	}
	rt.selector.observeLoad(a.selected.endpoint, dispatch.DecodeLoad(response.Header.Get(dispatch.HeaderLoad)))
	return parseAgentError(response), nil
}

// metadata returns the dispatch headers of the attempt.
func (a *attempt) metadata() *dispatch.Metadata {
	return &dispatch.Metadata{
		RequestID:         a.request.id,
		AttemptNumber:     a.number,
		Incarnation:       a.selected.endpoint.GetIncarnation(),
		Workspace:         a.request.workspace.Name,
		Class:             a.request.class.Name,
		Model:             a.request.modelOrService,
		Protected:         a.request.protected,
		TimeToDeadline:    max(time.Until(a.request.deadline()), 0),
		StartTimeout:      a.startTimeout(),
		ConfigRevision:    a.request.config.Revision,
		CandidatesTried:   a.attemptsBefore,
		Resumable:         a.request.streaming && !a.request.protected && supportsContinuation(a.request.parsedBody),
		MayRefuseAsBusy:   a.selected.mayRefuseAsBusy,
		LatestStartUnixMS: a.latestStartUnixMS,
	}
}

// startTimeout is how long the attempt may wait in queues before it starts. A
// resumed stream has already started, so only its deadline applies.
func (a *attempt) startTimeout() time.Duration {
	if a.resumesStream {
		return max(time.Until(a.request.deadline()), 0)
	}
	return max(time.Until(a.request.startDeadline()), 0)
}

// parseAgentError returns the agent's error, or nil if the response comes from the
// endpoint. An endpoint's response always carries a request ID, an agent's own
// response never does.
func parseAgentError(response *http.Response) *dispatch.RequestError {
	if response.Header.Get(dispatch.HeaderRequestID) != "" {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBodyBytes))
	reqErr, ok := dispatch.ParseRequestError(response, body)
	if !ok {
		return &dispatch.RequestError{Type: dispatch.EndpointResponseInvalid, Status: http.StatusBadGateway, Execution: dispatch.ExecutionUnknown,
			Message: "the agent's answer can't be read"}
	}
	return reqErr
}

// verifyIdentity checks that the response belongs to this attempt. An agent's own response names its
// attempt in another header, which agents of earlier releases leave out.
func (a *attempt) verifyIdentity(response *http.Response) error {
	want := a.request.id + "/" + strconv.FormatUint(uint64(a.number), 10) + "/" + strconv.FormatUint(a.selected.endpoint.GetIncarnation(), 10)
	got := dispatch.AttemptID(response.Header)
	if response.Header.Get(dispatch.HeaderRequestID) == "" {
		got = cmp.Or(response.Header.Get(dispatch.HeaderRefused), want)
	}
	if got == want {
		return nil
	}
	return errors.WithStack(&IdentityMismatchError{Endpoint: a.selected.endpoint.GetName(), Want: want, Got: got})
}

// canTryNextEndpoint reports whether the request did not run and another endpoint
// may accept it.
func canTryNextEndpoint(reqErr *dispatch.RequestError) bool {
	if reqErr.Execution != dispatch.ExecutionNotRun {
		return false
	}
	switch reqErr.Type {
	case dispatch.Overloaded, dispatch.Busy, dispatch.Draining, dispatch.WrongIncarnation, dispatch.EndpointFailed,
		dispatch.NotConfigured, dispatch.Preempted, dispatch.UnknownClass, dispatch.Stopping, dispatch.Tombstoned:
		return true
	default:
		return false
	}
}
