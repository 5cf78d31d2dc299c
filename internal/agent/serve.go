package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// loadTimeout is the longest wait for the load of the queue.
const loadTimeout = 50 * time.Millisecond

// Handler returns the handler of the requests under dispatch.PathPrefix and of the AgentService.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(trefoilkeelv1connect.NewAgentServiceHandler(&agentService{agent: a}))
	mux.HandleFunc(dispatch.PathPrefix+"/", a.serveDispatch)
	return mux
}

// attempt is one admitted attempt of a request.
type attempt struct {
	meta           *dispatch.Metadata
	incarnation    *incarnationState
	class          ticket.Class
	workspaceShare int
	call           *engine.Call
	key            string // identifies the attempt in the queue and at the endpoint
	waiter         *waiter
	receivedAt     time.Time
}

// serveDispatch serves one request from a router.
func (a *Agent) serveDispatch(w http.ResponseWriter, r *http.Request) {
	a.inFlight.add()
	a.activeRequests.Add(1)
	defer a.inFlight.done()
	defer a.activeRequests.Add(-1)
	att, reqErr := a.admit(w, r)
	if reqErr != nil {
		a.writeError(w, r, reqErr)
		return
	}
	if att.meta.Protected {
		a.serveProtected(w, r, att)
		return
	}
	a.serveUnprotected(w, r, att)
}

// admit validates a request before it is queued. A request that fails has not run.
func (a *Agent) admit(w http.ResponseWriter, r *http.Request) (*attempt, *dispatch.RequestError) {
	meta, err := dispatch.ParseMetadata(r.Header)
	if err != nil {
		return nil, notRunError(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
	}
	if a.Draining() {
		return nil, notRunError(dispatch.Draining, http.StatusServiceUnavailable, "endpoint is leaving")
	}
	current := a.incarnation.Load()
	if current == nil || current.number != meta.Incarnation {
		return nil, notRunError(dispatch.WrongIncarnation, http.StatusConflict, "another incarnation serves here")
	}
	if meta.LatestStartUnixMS != 0 && time.Now().UnixMilli() > meta.LatestStartUnixMS {
		return nil, notRunError(dispatch.DeadlineExceeded, http.StatusGatewayTimeout, "the attempt is too old to start")
	}
	config := a.options.ConfigSource.Configuration()
	if config == nil {
		return nil, notRunError(dispatch.NotConfigured, http.StatusServiceUnavailable, "no configuration yet")
	}
	class, known := config.Classes[meta.Class]
	if !known {
		return nil, notRunError(dispatch.UnknownClass, http.StatusBadRequest, "class "+strconv.Quote(meta.Class)+" is unknown here")
	}
	body, reqErr := a.readBody(w, r)
	if reqErr != nil {
		return nil, reqErr
	}
	return a.newAttempt(r, meta, current, class, config, body)
}

// newAttempt returns the attempt with the call to the endpoint.
func (a *Agent) newAttempt(r *http.Request, meta *dispatch.Metadata, incarnation *incarnationState, class ticket.Class, config *ticket.Configuration, body []byte) (*attempt, *dispatch.RequestError) {
	att := &attempt{meta: meta, incarnation: incarnation, class: class, waiter: newWaiter(), receivedAt: time.Now()}
	att.workspaceShare = max(config.Workspaces[meta.Workspace].Share, 1)
	att.key = meta.RequestID + "." + strconv.FormatUint(uint64(meta.AttemptNumber), 10)
	if a.options.Endpoint.GetKind() == trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE {
		var err error
		body, err = setPriority(body, class.Tier)
		if err != nil {
			return nil, notRunError(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
		}
	}
	header := http.Header{}
	dispatch.CopyEndToEndHeaders(header, r.Header)
	att.call = &engine.Call{
		ID:         att.key,
		Method:     r.Method,
		RequestURI: strings.TrimPrefix(r.URL.RequestURI(), dispatch.PathPrefix),
		Header:     header,
		Body:       body,
	}
	return att, nil
}

// setPriority sets the body's priority field, which the engine reads, to the tier.
func setPriority(data []byte, tier ticket.Tier) ([]byte, error) {
	if len(data) == 0 {
		return data, nil
	}
	body, err := engine.ParseBody(data)
	if err != nil {
		return nil, err
	}
	body.SetIntField("priority", int(tier))
	return body.Encode()
}

// readBody reads the body up to the configured size limit.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *dispatch.RequestError) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.options.MaxBodyBytes))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRunError(dispatch.BodyTooLarge, http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return nil, notRunError(dispatch.InvalidRequest, http.StatusBadRequest, "body ended early")
}

// queueRequest returns the description of the attempt for the queue.
func (att *attempt) queueRequest() flow.Request {
	return flow.Request{
		ID:                    att.key,
		Tier:                  int(att.class.Tier),
		Class:                 att.class.Name,
		Workspace:             att.meta.Workspace,
		Weight:                att.workspaceShare,
		Arrived:               att.arrivedAtRouter(),
		StartBy:               att.receivedAt.Add(att.meta.StartTimeout),
		Deadline:              att.receivedAt.Add(att.meta.TimeToDeadline),
		BodyBytes:             len(att.call.Body),
		Preemptible:           !att.meta.Protected,
		PreemptibleAfterToken: att.meta.Resumable,
		Resumable:             att.meta.Resumable,
		MayRefuseAsBusy:       att.meta.MayRefuseAsBusy,
		FirstTokenTarget:      time.Duration(att.class.FirstTokenTarget),
		BetweenTokensTarget:   time.Duration(att.class.BetweenTokensTarget),
	}
}

// arrivedAtRouter returns when the caller's request reached its router, so that
// a request keeps its position in the queue when it moves to another endpoint.
// It is computed from the remaining time of the request, so that clock skew
// between the two hosts has no effect.
func (att *attempt) arrivedAtRouter() time.Time {
	elapsed := time.Duration(att.class.Deadline) - att.meta.TimeToDeadline
	return att.receivedAt.Add(-max(elapsed, 0))
}

// awaitSlot waits for the queue's decision. It returns nil if a slot was granted.
func (a *Agent) awaitSlot(ctx context.Context, att *attempt) *dispatch.RequestError {
	select {
	case decision := <-att.waiter.decisions:
		if decision.granted {
			return nil
		}
		return queueError(decision.refusal)
	case <-ctx.Done():
		a.queue.cancel(att.key)
		return notRunError(dispatch.DeadlineExceeded, http.StatusGatewayTimeout, "caller gone or deadline passed before the start")
	}
}

// queueError converts a refusal of the queue into the error for the router.
func queueError(r *flow.Refuse) *dispatch.RequestError {
	reqErr := notRunError(dispatch.ErrorType(r.Reason), queueErrorStatus(r.Reason), "the queue refused: "+string(r.Reason))
	reqErr.RetryAfter = r.RetryAfter
	if r.Ran {
		reqErr.Execution = dispatch.ExecutionUnknown
	}
	return reqErr
}

// queueErrorStatus returns the HTTP status for a refusal of the queue.
func queueErrorStatus(reason flow.Reason) int {
	switch reason {
	case flow.Overloaded, flow.Busy:
		return http.StatusTooManyRequests
	case flow.PatienceExceeded, flow.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case flow.Duplicate:
		return http.StatusConflict
	default:
		return http.StatusServiceUnavailable
	}
}

// writeError logs an error and sends it to the router with the load of the queue.
func (a *Agent) writeError(w http.ResponseWriter, r *http.Request, reqErr *dispatch.RequestError) {
	a.logger.Info("request refused",
		"request", r.Header.Get(dispatch.HeaderRequestID), "workspace", r.Header.Get(dispatch.HeaderWorkspace),
		"class", r.Header.Get(dispatch.HeaderClass), "type", reqErr.Type, "execution", reqErr.Execution)
	w.Header().Set(dispatch.HeaderRefused, dispatch.AttemptID(r.Header))
	a.setLoadHeader(r.Context(), w.Header())
	reqErr.Write(w)
}

// setLoadHeader adds a header with the load of the queue.
func (a *Agent) setLoadHeader(ctx context.Context, h http.Header) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	if text := dispatch.EncodeLoad(a.Load(ctx)); text != "" {
		h.Set(dispatch.HeaderLoad, text)
	}
}

// notRunError returns an error for a request that the endpoint has not run.
func notRunError(errorType dispatch.ErrorType, status int, message string) *dispatch.RequestError {
	return &dispatch.RequestError{Type: errorType, Status: status, Execution: dispatch.ExecutionNotRun, Message: message}
}

// badGatewayError returns an error with status 502; execution says whether the
// endpoint has run the request.
func badGatewayError(errorType dispatch.ErrorType, execution, message string) *dispatch.RequestError {
	return &dispatch.RequestError{Type: errorType, Status: http.StatusBadGateway, Execution: execution, Message: message}
}

// endpointError converts an error of the endpoint's client into the error for the router.
func endpointError(err error) *dispatch.RequestError {
	var unreachable *engine.UnreachableError
	if errors.As(err, &unreachable) {
		return badGatewayError(dispatch.EndpointFailed, dispatch.ExecutionNotRun, err.Error())
	}
	return badGatewayError(dispatch.EndpointFailed, dispatch.ExecutionUnknown, err.Error())
}
