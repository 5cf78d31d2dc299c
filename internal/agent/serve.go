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

// loadWait bounds the time to ask the queue for its figures.
const loadWait = 50 * time.Millisecond

// Handler serves requests under dispatch.PathPrefix and the AgentService.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(trefoilkeelv1connect.NewAgentServiceHandler(&service{agent: a}))
	mux.HandleFunc(dispatch.PathPrefix+"/", a.serveDispatch)
	return mux
}

// attempt is one request on its way through the agent.
type attempt struct {
	meta     *dispatch.Meta
	identity *identity
	class    ticket.Class
	share    int
	call     *engine.Call
	key      string // identity of the attempt in the queue and at the endpoint
	waiter   *waiter
	received time.Time
}

// serveDispatch takes one request from a router.
func (a *Agent) serveDispatch(w http.ResponseWriter, r *http.Request) {
	a.inFlight.enter()
	a.running.Add(1)
	defer a.inFlight.leave()
	defer a.running.Add(-1)
	t, refusal := a.accept(w, r)
	if refusal != nil {
		a.refuse(w, r, refusal)
		return
	}
	if t.meta.Protected {
		a.serveProtected(w, r, t)
		return
	}
	a.serveOrdinary(w, r, t)
}

// accept checks a request before it is queued. Nothing of it has run.
func (a *Agent) accept(w http.ResponseWriter, r *http.Request) (*attempt, *dispatch.Refusal) {
	meta, err := dispatch.Read(r.Header)
	if err != nil {
		return nil, notRun(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
	}
	if a.Draining() {
		return nil, notRun(dispatch.Draining, http.StatusServiceUnavailable, "endpoint is leaving")
	}
	id := a.identity.Load()
	if id == nil || id.incarnation != meta.Incarnation {
		return nil, notRun(dispatch.WrongIncarnation, http.StatusConflict, "another incarnation serves here")
	}
	if meta.NotAfter != 0 && time.Now().UnixMilli() > meta.NotAfter {
		return nil, notRun(dispatch.DeadlineExceeded, http.StatusGatewayTimeout, "the attempt is too old to start")
	}
	state := a.options.Configuration.State()
	if state == nil {
		return nil, notRun(dispatch.NotConfigured, http.StatusServiceUnavailable, "no configuration yet")
	}
	class, known := state.Classes[meta.Class]
	if !known {
		return nil, notRun(dispatch.UnknownClass, http.StatusBadRequest, "class "+strconv.Quote(meta.Class)+" is unknown here")
	}
	body, refusal := a.readBody(w, r)
	if refusal != nil {
		return nil, refusal
	}
	return a.newAttempt(r, meta, id, class, state, body)
}

// newAttempt builds the call to the endpoint.
func (a *Agent) newAttempt(r *http.Request, meta *dispatch.Meta, id *identity, class ticket.Class, state *ticket.State, body []byte) (*attempt, *dispatch.Refusal) {
	t := &attempt{meta: meta, identity: id, class: class, waiter: newWaiter(), received: time.Now()}
	t.share = max(state.Workspaces[meta.Workspace].Share, 1)
	t.key = meta.RequestID + "." + strconv.FormatUint(uint64(meta.Attempt), 10)
	if a.options.Endpoint.GetKind() == trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE {
		var err error
		body, err = withPriority(body, class.Tier)
		if err != nil {
			return nil, notRun(dispatch.InvalidRequest, http.StatusBadRequest, err.Error())
		}
	}
	header := http.Header{}
	dispatch.CopyHeaders(header, r.Header)
	t.call = &engine.Call{
		ID:     t.key,
		Method: r.Method,
		Path:   strings.TrimPrefix(r.URL.RequestURI(), dispatch.PathPrefix),
		Header: header,
		Body:   body,
	}
	return t, nil
}

// withPriority sets the engine's priority to the tier.
func withPriority(data []byte, tier ticket.Tier) ([]byte, error) {
	if len(data) == 0 {
		return data, nil
	}
	body, err := engine.ParseBody(data)
	if err != nil {
		return nil, err
	}
	body.SetNumber("priority", int(tier))
	return body.Encode()
}

// readBody reads the body within the bound.
func (a *Agent) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *dispatch.Refusal) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.options.MaxBody))
	if err == nil {
		return body, nil
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, notRun(dispatch.BodyTooLarge, http.StatusRequestEntityTooLarge, "body is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes")
	}
	return nil, notRun(dispatch.InvalidRequest, http.StatusBadRequest, "body ended early")
}

// flowRequest describes the attempt to the queue.
func (t *attempt) flowRequest() flow.Request {
	return flow.Request{
		ID:          t.key,
		Tier:        int(t.class.Tier),
		Class:       t.class.Name,
		Workspace:   t.meta.Workspace,
		Share:       t.share,
		Arrived:     t.arrived(),
		StartBy:     t.received.Add(t.meta.Patience),
		Deadline:    t.received.Add(t.meta.Budget),
		Bytes:       len(t.call.Body),
		Preemptible: !t.meta.Protected,

		PreemptibleAfterToken: t.meta.Resumable,
		Resumable:             t.meta.Resumable,

		MayMove:             t.meta.MayMove,
		FirstTokenTarget:    time.Duration(t.class.FirstTokenTarget),
		BetweenTokensTarget: time.Duration(t.class.BetweenTokensTarget),
	}
}

// arrived is when the caller's request came to its router: a request that was
// moved keeps its place. The two hosts' clocks play no part in it.
func (t *attempt) arrived() time.Time {
	elapsed := time.Duration(t.class.Deadline) - t.meta.Budget
	return t.received.Add(-max(elapsed, 0))
}

// await waits for the queue's verdict. A nil refusal means start.
func (a *Agent) await(ctx context.Context, t *attempt) *dispatch.Refusal {
	select {
	case v := <-t.waiter.verdicts:
		if v.start {
			return nil
		}
		return fromQueue(v.refusal)
	case <-ctx.Done():
		a.queue.cancel(t.key)
		return notRun(dispatch.DeadlineExceeded, http.StatusGatewayTimeout, "caller gone or deadline passed before the start")
	}
}

// fromQueue turns the queue's refusal into the caller's.
func fromQueue(r *flow.Refuse) *dispatch.Refusal {
	refusal := notRun(dispatch.RefusalType(r.Reason), statusOf(r.Reason), "the queue refused: "+string(r.Reason))
	refusal.RetryAfter = r.RetryAfter
	if r.Ran {
		refusal.Execution = dispatch.Unknown
	}
	return refusal
}

// statusOf is the HTTP status for a queue's reason.
func statusOf(reason flow.Reason) int {
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

// refuse sends a refusal with the queue's figures.
func (a *Agent) refuse(w http.ResponseWriter, r *http.Request, refusal *dispatch.Refusal) {
	a.logger.Info("request refused",
		"request", r.Header.Get(dispatch.HeaderRequestID), "workspace", r.Header.Get(dispatch.HeaderWorkspace),
		"class", r.Header.Get(dispatch.HeaderClass), "type", refusal.Type, "execution", refusal.Execution)
	a.setLoad(r.Context(), w.Header())
	refusal.Write(w)
}

// setLoad adds the queue's figures.
func (a *Agent) setLoad(ctx context.Context, h http.Header) {
	ctx, cancel := context.WithTimeout(ctx, loadWait)
	defer cancel()
	if text := dispatch.EncodeLoad(a.Load(ctx)); text != "" {
		h.Set(dispatch.HeaderLoad, text)
	}
}

// notRun is a refusal of a request that did not run here.
func notRun(kind dispatch.RefusalType, status int, message string) *dispatch.Refusal {
	return &dispatch.Refusal{Type: kind, Status: status, Execution: dispatch.NotRun, Message: message}
}

// failed is a refusal of a request whose run is uncertain.
func failed(kind dispatch.RefusalType, execution, message string) *dispatch.Refusal {
	return &dispatch.Refusal{Type: kind, Status: http.StatusBadGateway, Execution: execution, Message: message}
}

// fromEngine turns an engine client's error into a refusal.
func fromEngine(err error) *dispatch.Refusal {
	var unreachable *engine.UnreachableError
	if errors.As(err, &unreachable) {
		return failed(dispatch.EndpointFailed, dispatch.NotRun, err.Error())
	}
	return failed(dispatch.EndpointFailed, dispatch.Unknown, err.Error())
}
