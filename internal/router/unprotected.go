package router

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

const (
	maxAttempts          = 24
	maxBufferedBodyBytes = 16 << 20
	callerWriteTimeout   = 20 * time.Second // a caller that accepts no data for this long counts as disconnected
)

// IncompleteAnswerError reports an answer that ended early.
type IncompleteAnswerError struct {
	Endpoint string
	Cause    error // nil if no read failed but the answer is not complete and well-formed
}

// Error returns the endpoint and the cause, if there is one.
func (e *IncompleteAnswerError) Error() string {
	if e.Cause == nil {
		return "answer of endpoint " + e.Endpoint + " is not whole"
	}
	return "answer of endpoint " + e.Endpoint + " is not whole: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *IncompleteAnswerError) Unwrap() error { return e.Cause }

// unprotectedCall is an unprotected request, which may run more than once, with its
// attempts at successive endpoints.
type unprotectedCall struct {
	router        *Router
	request       *callerRequest
	writer        http.ResponseWriter
	history       attemptHistory
	attemptNumber uint32
	mayHaveRun    bool
	transcript    *transcript // nil until a stream has started
	// transcriptMemory counts the memory of the transcript.
	transcriptMemory *answer.Buffer
	lastError        *dispatch.RequestError
	// mayReuseEndpoint is set if the latest attempt was refused as busy or
	// preempted, so that its endpoint may be selected again.
	mayReuseEndpoint bool
}

func (rt *Router) serveUnprotected(w http.ResponseWriter, r *http.Request, req *callerRequest) {
	ctx, cancel := context.WithDeadline(r.Context(), req.deadline())
	defer cancel()
	c := &unprotectedCall{router: rt, request: req, writer: w, transcriptMemory: rt.answerMemory.NewBuffer()}
	defer c.transcriptMemory.Release()
	for c.history.attempts < maxAttempts {
		selected, reqErr := rt.selectEndpoint(req, &c.history)
		if reqErr != nil {
			c.recordNoEndpoint(reqErr)
			break
		}
		if c.tryEndpoint(ctx, selected) {
			return
		}
		if ctx.Err() != nil {
			break
		}
	}
	c.endUnanswered(ctx)
}

// recordNoEndpoint keeps an earlier, more specific error over "no endpoint left".
func (c *unprotectedCall) recordNoEndpoint(reqErr *dispatch.RequestError) {
	if c.lastError == nil {
		c.lastError = reqErr
	}
}

// tryEndpoint makes one attempt and reports whether the request has ended.
func (c *unprotectedCall) tryEndpoint(ctx context.Context, selected selection) (done bool) {
	c.attemptNumber++
	name := selected.endpoint.GetName()
	a := &attempt{request: c.request, number: c.attemptNumber, selected: selected, body: c.request.body, attemptsBefore: c.history.attempts}
	if c.transcript != nil {
		a.resumesStream = true
		a.body, _ = c.transcript.continuationBody(c.request)
	}
	result, done := c.sendAndRelay(ctx, a)
	c.history.record(name, c.mayReuseEndpoint)
	c.mayReuseEndpoint = false
	c.router.selector.recordResult(name, int(c.request.class.Tier), result)
	return done
}

// sendAndRelay sends the attempt and relays its response. The result is for the
// endpoint selector; the boolean reports whether the request has ended.
func (c *unprotectedCall) sendAndRelay(ctx context.Context, a *attempt) (routing.Result, bool) {
	response, err := c.router.sendAttempt(ctx, a)
	if reqErr := asNotRunError(err); reqErr != nil && ctx.Err() == nil {
		return c.handleAgentError(a, reqErr)
	}
	if err != nil {
		return c.handleFailure(ctx, a, err)
	}
	defer func() { _ = response.Body.Close() }()
	reqErr, err := c.router.matchResponse(a, response)
	if err != nil {
		return c.handleFailure(ctx, a, err)
	}
	if reqErr != nil {
		return c.handleAgentError(a, reqErr)
	}
	// A stream that has begun goes on only with events.
	if c.request.streaming && response.StatusCode == http.StatusOK && (c.transcript == nil || dispatch.IsEventStream(response.Header)) {
		return c.relayStream(ctx, a, response)
	}
	if c.transcript != nil {
		return c.handleFailure(ctx, a, &IncompleteAnswerError{Endpoint: a.selected.endpoint.GetName()})
	}
	return c.relayBuffered(ctx, a, response)
}

// handleAgentError continues with the next endpoint if the agent's error allows
// it, and otherwise retries within the budget or ends the request.
func (c *unprotectedCall) handleAgentError(a *attempt, reqErr *dispatch.RequestError) (routing.Result, bool) {
	c.router.logger.Info("agent refused", "request", c.request.id, "endpoint", a.selected.endpoint.GetName(),
		"type", reqErr.Type, "execution", reqErr.Execution, "hop", a.attemptsBefore)
	result := routing.Refused
	if reqErr.Type == dispatch.EndpointFailed || reqErr.Type == dispatch.EndpointResponseInvalid {
		result = routing.Failed
	}
	c.mayReuseEndpoint = reqErr.Type == dispatch.Busy
	if c.lastError == nil || !c.mayReuseEndpoint {
		c.lastError = reqErr
	}
	if canTryNextEndpoint(reqErr) {
		return result, false
	}
	if reqErr.Execution == dispatch.ExecutionNotRun {
		c.endWithError(reqErr)
		return result, true
	}
	c.mayHaveRun = true
	return result, !c.retryOrEnd(a, reqErr)
}

// handleFailure retries a failed attempt within the retry budget or ends the
// request.
func (c *unprotectedCall) handleFailure(ctx context.Context, a *attempt, err error) (routing.Result, bool) {
	c.mayHaveRun = true
	if ctx.Err() != nil {
		c.lastError = nil
		return routing.Cancelled, false
	}
	reqErr := &dispatch.RequestError{Type: dispatch.EndpointFailed, Status: http.StatusBadGateway, Execution: dispatch.ExecutionUnknown, Message: err.Error()}
	c.router.logger.Warn("attempt failed", "request", c.request.id, "endpoint", a.selected.endpoint.GetName(), "error", err, "hop", a.attemptsBefore)
	return routing.Failed, !c.retryOrEnd(a, reqErr)
}

// retryOrEnd reports whether the class's retry budget allows another attempt. If
// it does not, the request ends with reqErr.
func (c *unprotectedCall) retryOrEnd(a *attempt, reqErr *dispatch.RequestError) bool {
	c.lastError = reqErr
	if c.router.selector.spendRetryBudget(c.request.class.Name) {
		c.router.options.Metrics.AddToCounter(metrics.Retries, 1)
		c.router.logger.Info("retry", "request", c.request.id, "class", c.request.class.Name, "after", a.selected.endpoint.GetName())
		return true
	}
	c.endWithError(reqErr)
	return false
}

// endUnanswered ends a request whose deadline has passed or that has no endpoint
// or attempt left.
func (c *unprotectedCall) endUnanswered(ctx context.Context) {
	reqErr := c.lastError
	if ctx.Err() != nil || reqErr == nil {
		reqErr = endError(ctx, c.mayHaveRun)
	}
	c.endWithError(reqErr)
}

// endWithError sends the error, or aborts a stream that has started. Callers never
// see busy, and not-run is reported only if no attempt can have run.
func (c *unprotectedCall) endWithError(reqErr *dispatch.RequestError) {
	final := *reqErr
	if final.Type == dispatch.Busy {
		final.Type = dispatch.Overloaded
	}
	if c.mayHaveRun && final.Execution == dispatch.ExecutionNotRun {
		final.Execution = dispatch.ExecutionUnknown
	}
	if c.transcript != nil {
		c.router.abortStream(c.writer, c.request, &final)
	}
	c.router.writeError(c.writer, c.request, &final)
}

// relayBuffered reads the complete answer before sending any of it, so that an
// incomplete one can be retried.
func (c *unprotectedCall) relayBuffered(ctx context.Context, a *attempt, response *http.Response) (routing.Result, bool) {
	buffer := c.router.answerMemory.NewBuffer()
	defer buffer.Release()
	body, err := readCompleteBody(a, response, buffer)
	if err != nil {
		return c.handleFailure(ctx, a, err)
	}
	c.request.outputTokens = completionTokens(body)
	c.router.writeResponse(c.writer, c.request, response.StatusCode, response.Header, body)
	if response.StatusCode >= http.StatusInternalServerError {
		return routing.Failed, true
	}
	c.router.selector.creditRetryBudget(c.request.class.Name)
	return routing.Succeeded, true
}

// readCompleteBody reads an answer into the buffer. The error is an
// *IncompleteAnswerError unless all bytes arrived within the size limit and the
// agent marked the answer as complete.
func readCompleteBody(a *attempt, response *http.Response, buffer *answer.Buffer) ([]byte, error) {
	body, err := buffer.ReadAll(response.Body, maxBufferedBodyBytes)
	incomplete := &IncompleteAnswerError{Endpoint: a.selected.endpoint.GetName(), Cause: err}
	if err != nil || response.Trailer.Get(dispatch.HeaderOutcome) != dispatch.ResponseComplete {
		return nil, errors.WithStack(incomplete)
	}
	return body, nil
}

// completionTokens returns the engine's own token count of an answer, 0 if it has
// none.
func completionTokens(body []byte) int {
	var answer struct {
		Usage struct {
			CompletionTokens int `json:"completion_tokens"`
		} `json:"usage"`
	}
	_ = json.Unmarshal(body, &answer)
	return answer.Usage.CompletionTokens
}

// writeResponse sends a complete answer.
func (rt *Router) writeResponse(w http.ResponseWriter, req *callerRequest, status int, header http.Header, body []byte) {
	h := w.Header()
	dispatch.CopyEndToEndHeaders(h, header)
	h.Set("X-Request-Id", req.id)
	h.Set(dispatch.HeaderExecution, dispatch.ExecutionRan)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	w.WriteHeader(status)
	_, _ = w.Write(body)
	rt.recordCompletion(req, time.Now(), 0)
	rt.logger.Info("answered", "request", req.id, "workspace", req.workspace.Name, "class", req.class.Name, "status", status,
		"bytes", len(body), "after_ms", time.Since(req.receivedAt).Milliseconds())
}
