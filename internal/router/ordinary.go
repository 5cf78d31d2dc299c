package router

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// Bounds of an ordinary request.
const (
	maxHops         = 24
	maxBufferedBody = 16 << 20         // bytes of a buffered answer
	callerStall     = 20 * time.Second // a caller that takes nothing for so long is gone
)

// BrokenAnswerError says that an answer ended before it was whole.
type BrokenAnswerError struct {
	Endpoint string
	Cause    error // nil if the agent marked it as broken
}

// Error names the endpoint.
func (e *BrokenAnswerError) Error() string {
	if e.Cause == nil {
		return "answer of endpoint " + e.Endpoint + " is not whole"
	}
	return "answer of endpoint " + e.Endpoint + " is not whole: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *BrokenAnswerError) Unwrap() error { return e.Cause }

// ordinaryCall is an ordinary request and its attempts at several endpoints.
type ordinaryCall struct {
	router  *Router
	query   *query
	writer  http.ResponseWriter
	walk    walk
	number  uint32
	ran     bool // an earlier attempt may have run
	stream  *transcript
	refused *dispatch.Refusal // the newest refusal
	// handedBack says that the newest attempt may go to its endpoint again.
	handedBack bool
}

// serveOrdinary answers a request that may be tried again.
func (rt *Router) serveOrdinary(w http.ResponseWriter, r *http.Request, q *query) {
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline())
	defer cancel()
	j := &ordinaryCall{router: rt, query: q, writer: w}
	for j.walk.hops < maxHops {
		picked, refused := rt.choose(q, &j.walk)
		if refused != nil {
			j.noEndpoint(refused)
			break
		}
		if j.try(ctx, picked) {
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	j.giveUp(ctx)
}

// noEndpoint keeps the first refusal over a bare "no endpoint left".
func (j *ordinaryCall) noEndpoint(refused *dispatch.Refusal) {
	if j.refused == nil {
		j.refused = refused
	}
}

// try makes one attempt and reports whether the request has come to its end.
func (j *ordinaryCall) try(ctx context.Context, picked choice) (ended bool) {
	j.number++
	name := picked.endpoint.GetName()
	t := &attempt{query: j.query, number: j.number, choice: picked, body: j.query.body, hops: j.walk.hops}
	if j.stream != nil {
		t.resumes = true
		t.body, _ = j.stream.resumeBody(j.query)
	}
	result, ended := j.exchange(ctx, t)
	j.walk.leave(name, j.handedBack)
	j.handedBack = false
	j.router.picker.finished(name, int(j.query.class.Tier), result)
	return ended
}

// exchange sends the attempt and relays its answer.
func (j *ordinaryCall) exchange(ctx context.Context, t *attempt) (routing.Result, bool) {
	response, err := j.router.send(ctx, t)
	if refused := notSent(err); refused != nil && ctx.Err() == nil {
		return j.refusedBy(t, refused)
	}
	if err != nil {
		return j.failed(ctx, t, err)
	}
	defer func() { _ = response.Body.Close() }()
	if refused := refusalIn(response); refused != nil {
		return j.refusedBy(t, refused)
	}
	if err := t.bound(response); err != nil {
		return j.failed(ctx, t, err)
	}
	if j.query.stream && response.StatusCode == http.StatusOK {
		return j.relayStream(ctx, t, response)
	}
	if j.stream != nil {
		return j.failed(ctx, t, &BrokenAnswerError{Endpoint: t.choice.endpoint.GetName()})
	}
	return j.relayBuffered(ctx, t, response)
}

// refusedBy takes an agent's refusal: walk on, or end here.
func (j *ordinaryCall) refusedBy(t *attempt, refused *dispatch.Refusal) (routing.Result, bool) {
	j.router.logger.Info("agent refused", "request", j.query.id, "endpoint", t.choice.endpoint.GetName(),
		"type", refused.Type, "execution", refused.Execution, "hop", t.hops)
	result := routing.Refused
	if refused.Type == dispatch.EndpointFailed || refused.Type == dispatch.EndpointUnreadable {
		result = routing.Failed
	}
	j.handedBack = refused.Type == dispatch.Busy
	if j.refused == nil || !j.handedBack {
		j.refused = refused
	}
	if moves(refused) {
		return result, false
	}
	if refused.Execution == dispatch.NotRun {
		j.end(refused)
		return result, true
	}
	j.ran = true
	return result, !j.retry(t, refused)
}

// failed takes an attempt that broke: pay for another, or end here.
func (j *ordinaryCall) failed(ctx context.Context, t *attempt, err error) (routing.Result, bool) {
	j.ran = true
	if ctx.Err() != nil {
		j.refused = nil
		return routing.Cancelled, false
	}
	refused := &dispatch.Refusal{Type: dispatch.EndpointFailed, Status: http.StatusBadGateway, Execution: dispatch.Unknown, Message: err.Error()}
	j.router.logger.Warn("attempt failed", "request", j.query.id, "endpoint", t.choice.endpoint.GetName(), "error", err, "hop", t.hops)
	return routing.Failed, !j.retry(t, refused)
}

// retry pays for one more attempt from the class's budget; without credit the
// request ends with the refusal.
func (j *ordinaryCall) retry(t *attempt, refused *dispatch.Refusal) bool {
	j.refused = refused
	if j.router.picker.takeRetry(j.query.class.Name) {
		j.router.options.Metrics.Add(metrics.Retries, 1)
		j.router.logger.Info("retry", "request", j.query.id, "class", j.query.class.Name, "after", t.choice.endpoint.GetName())
		return true
	}
	j.end(refused)
	return false
}

// giveUp ends a request for which no endpoint is left or the time is over.
func (j *ordinaryCall) giveUp(ctx context.Context) {
	refused := j.refused
	if ctx.Err() != nil || refused == nil {
		refused = refusal(dispatch.DeadlineExceeded, http.StatusGatewayTimeout, "the class's deadline passed")
	}
	j.end(refused)
}

// end answers with a refusal, or breaks off a stream that has begun.
func (j *ordinaryCall) end(refused *dispatch.Refusal) {
	final := *refused
	if final.Type == dispatch.Busy {
		final.Type = dispatch.Overloaded
	}
	if j.ran && final.Execution == dispatch.NotRun {
		final.Execution = dispatch.Unknown
	}
	if j.stream != nil {
		j.router.breakStream(j.writer, j.query, &final)
	}
	j.router.refuse(j.writer, j.query, &final)
}

// relayBuffered reads the whole answer and sends it only then.
func (j *ordinaryCall) relayBuffered(ctx context.Context, t *attempt, response *http.Response) (routing.Result, bool) {
	body, err := readWhole(t, response)
	if err != nil {
		return j.failed(ctx, t, err)
	}
	j.query.tokens = usedTokens(body)
	j.router.writeAnswer(j.writer, j.query, response.StatusCode, response.Header, body)
	if response.StatusCode >= http.StatusInternalServerError {
		return routing.Failed, true
	}
	j.router.picker.succeeded(j.query.class.Name)
	return routing.Succeeded, true
}

// readWhole reads a buffered answer; the error is a *BrokenAnswerError unless
// every byte came and the agent called it whole.
func readWhole(t *attempt, response *http.Response) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, maxBufferedBody+1))
	broken := &BrokenAnswerError{Endpoint: t.choice.endpoint.GetName(), Cause: err}
	if err != nil || len(body) > maxBufferedBody || response.Trailer.Get(dispatch.HeaderOutcome) != dispatch.Whole {
		return nil, errors.WithStack(broken)
	}
	return body, nil
}

// usedTokens reads the engine's own count of an answer's tokens, 0 if there is none.
func usedTokens(body []byte) int {
	var answer struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.Usage.CompletionTokens
}

// writeAnswer sends a whole answer.
func (rt *Router) writeAnswer(w http.ResponseWriter, q *query, status int, header http.Header, body []byte) {
	h := w.Header()
	dispatch.CopyHeaders(h, header)
	h.Set("X-Request-Id", q.id)
	h.Set(dispatch.HeaderExecution, dispatch.Ran)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerStall))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	rt.finished(q, time.Now(), 0)
	rt.logger.Info("answered", "request", q.id, "workspace", q.workspace.Name, "class", q.class.Name, "status", status,
		"bytes", len(body), "after_ms", time.Since(q.received).Milliseconds())
}
