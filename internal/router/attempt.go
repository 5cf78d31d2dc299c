package router

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// maxRefusalBody bounds what is read of a refusal, in bytes.
const maxRefusalBody = 64 << 10

// attempt is one dispatch of a query to one agent.
type attempt struct {
	query    *query
	number   uint32
	choice   choice
	body     []byte
	hops     int  // attempts before this one
	resumes  bool // continues a stream that has begun
	notAfter int64
}

// UnboundAnswerError says that an agent's answer names another request.
type UnboundAnswerError struct {
	Endpoint string
	Want     string
	Got      string
}

// Error names both identities.
func (e *UnboundAnswerError) Error() string {
	return "endpoint " + e.Endpoint + " answered " + e.Got + " instead of " + e.Want
}

// NotSentError says that no byte of an attempt reached its agent: it did not
// run there and never will.
type NotSentError struct {
	Endpoint string
	Cause    error
}

// Error names the endpoint.
func (e *NotSentError) Error() string {
	return "endpoint " + e.Endpoint + " was not reached: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Cause }

// notSent returns the refusal for an attempt that never left, nil for others.
func notSent(err error) *dispatch.Refusal {
	var unsent *NotSentError
	if !errors.As(err, &unsent) {
		return nil
	}
	return refusal(dispatch.EndpointFailed, http.StatusBadGateway, err.Error())
}

// routingRequest describes a query to the routing table.
func (q *query) routingRequest(w *walk) routing.Request {
	return routing.Request{
		Workspace: q.workspace.Name,
		Target:    q.target,
		Kind:      q.kind,
		Class:     q.class.Name,
		Tier:      int(q.class.Tier),
		Prefix:    q.prefix(),
		Bytes:     len(q.body),
		Tried:     w.tried,
		Busy:      w.busy,
	}
}

// choose picks an endpoint and logs why.
func (rt *Router) choose(q *query, w *walk) (choice, *dispatch.Refusal) {
	picked, err := rt.picker.choose(q.routingRequest(w))
	if err != nil {
		refused := refusal(dispatch.NoEndpoint, http.StatusServiceUnavailable, err.Error())
		refused.RetryAfter = time.Second
		return choice{}, refused
	}
	rt.logger.Info("route",
		"request", q.id, "workspace", q.workspace.Name, "class", q.class.Name, "tier", int(q.class.Tier),
		"target", q.target, "endpoint", picked.endpoint.GetName(), "incarnation", picked.endpoint.GetIncarnation(),
		"reason", picked.reason, "candidates", picked.candidates, "hop", w.hops)
	return picked, nil
}

// send dispatches an attempt to its agent. The returned answer is bound to
// the attempt; the caller closes its body.
func (rt *Router) send(ctx context.Context, t *attempt) (*http.Response, error) {
	target := t.choice.endpoint.GetAgentUrl() + dispatch.PathPrefix + t.query.path
	trace := &dispatch.ConnTrace{}
	request, err := dispatch.NewAttempt(trace.Watch(ctx), t.query.method, target, t.body)
	if err != nil {
		return nil, &NotSentError{Endpoint: t.choice.endpoint.GetName(), Cause: err}
	}
	request.Header = t.query.header.Clone()
	t.meta().Write(request.Header)
	response, err := rt.options.Agents.Do(request)
	if err != nil && !trace.Connected() {
		return nil, &NotSentError{Endpoint: t.choice.endpoint.GetName(), Cause: err}
	}
	if err != nil {
		return nil, err
	}
	rt.picker.observe(t.choice.endpoint, dispatch.DecodeLoad(response.Header.Get(dispatch.HeaderLoad)))
	return response, nil
}

// meta is what the agent is told of the attempt.
func (t *attempt) meta() *dispatch.Meta {
	return &dispatch.Meta{
		RequestID:   t.query.id,
		Attempt:     t.number,
		Incarnation: t.choice.endpoint.GetIncarnation(),
		Workspace:   t.query.workspace.Name,
		Class:       t.query.class.Name,
		Model:       t.query.target,
		Protected:   t.query.protected,
		Budget:      max(time.Until(t.query.deadline()), 0),
		Patience:    t.patience(),
		Revision:    t.query.state.Revision,
		Hops:        t.hops,
		Resumable:   t.query.stream && !t.query.protected && continuable(t.query.parsed),
		MayMove:     t.choice.mayMove,
		NotAfter:    t.notAfter,
	}
}

// patience is how long the attempt may wait for its start. A stream that has
// begun is bounded by its deadline alone.
func (t *attempt) patience() time.Duration {
	if t.resumes {
		return max(time.Until(t.query.deadline()), 0)
	}
	return max(time.Until(t.query.startBy()), 0)
}

// refusalIn returns the agent's refusal if the response is one: an agent's
// own answers carry no request identity, an endpoint's always do.
func refusalIn(response *http.Response) *dispatch.Refusal {
	if response.Header.Get(dispatch.HeaderRequestID) != "" {
		return nil
	}
	body, _ := io.ReadAll(io.LimitReader(response.Body, maxRefusalBody))
	refused, ok := dispatch.ReadRefusal(response, body)
	if !ok {
		return &dispatch.Refusal{Type: dispatch.EndpointUnreadable, Status: http.StatusBadGateway, Execution: dispatch.Unknown,
			Message: "the agent's answer can't be read"}
	}
	return refused
}

// bound checks that the answer is the attempt's own.
func (t *attempt) bound(response *http.Response) error {
	h := response.Header
	got := h.Get(dispatch.HeaderRequestID) + "/" + h.Get(dispatch.HeaderAttempt) + "/" + h.Get(dispatch.HeaderIncarnation)
	want := t.query.id + "/" + strconv.FormatUint(uint64(t.number), 10) + "/" + strconv.FormatUint(t.choice.endpoint.GetIncarnation(), 10)
	if got == want {
		return nil
	}
	return errors.WithStack(&UnboundAnswerError{Endpoint: t.choice.endpoint.GetName(), Want: want, Got: got})
}

// moves reports whether another endpoint may still take what one refused.
func moves(refused *dispatch.Refusal) bool {
	if refused.Execution != dispatch.NotRun {
		return false
	}
	switch refused.Type {
	case dispatch.Overloaded, dispatch.Busy, dispatch.Draining, dispatch.WrongIncarnation, dispatch.EndpointFailed,
		dispatch.NotConfigured, dispatch.Preempted, dispatch.UnknownClass, dispatch.Stopping, dispatch.Tombstoned:
		return true
	default:
		return false
	}
}
