package agent

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
)

// Limits of the relay between endpoint and router.
const (
	relayBufferBytes = 8 << 10
	writeTimeout     = 20 * time.Second // for one write to the router, which otherwise counts as disconnected
	tokensPerReport  = 16
	maxTrailingBytes = 4 << 10 // read after the final event, so that the connection can be reused
)

var relayBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, relayBufferBytes)
	return &buffer
}}

// PreemptedError is the cancellation cause of a call whose slot was given to a higher tier.
type PreemptedError struct{}

func (*PreemptedError) Error() string { return "preempted by a higher tier" }

// serveUnprotected queues and relays an unprotected request, which may run more than once.
func (a *Agent) serveUnprotected(w http.ResponseWriter, r *http.Request, att *attempt) {
	ctx, cancel := context.WithTimeout(r.Context(), att.meta.TimeToDeadline)
	defer cancel()
	if err := a.queue.enqueue(att.queueRequest(), att.waiter); err != nil {
		a.writeError(w, r, notRunError(dispatch.Overloaded, http.StatusTooManyRequests, err.Error()))
		return
	}
	for {
		if reqErr := a.awaitSlot(ctx, att); reqErr != nil {
			a.writeError(w, r, reqErr)
			return
		}
		if !a.runInSlot(ctx, w, r, att) {
			return
		}
	}
}

// runInSlot runs the call in the granted slot. It returns true if the call was
// preempted before response headers arrived: the request is queued again.
func (a *Agent) runInSlot(ctx context.Context, w http.ResponseWriter, r *http.Request, att *attempt) (requeued bool) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatching := a.cancelOnPreemption(callCtx, att, cancel)
	response, err := a.client.Do(callCtx, att.call)
	if err != nil {
		stopWatching()
		return a.handleCallError(callCtx, w, r, att, err)
	}
	defer func() { _ = response.Body.Close() }()
	outcome := a.relayResponse(callCtx, w, att, response)
	stopWatching()
	a.queue.finish(att.key, outcome)
	return false
}

// cancelOnPreemption cancels the call when the queue preempts it. The returned
// function ends the watch.
func (a *Agent) cancelOnPreemption(ctx context.Context, att *attempt, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-att.waiter.preemptions:
			cancel(&PreemptedError{})
		case <-done:
		case <-ctx.Done():
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// handleCallError handles a call that failed before response headers arrived.
func (a *Agent) handleCallError(ctx context.Context, w http.ResponseWriter, r *http.Request, att *attempt, err error) (requeued bool) {
	if _, preempted := context.Cause(ctx).(*PreemptedError); preempted {
		return true
	}
	a.queue.finish(att.key, flow.EndpointFailed)
	a.writeError(w, r, endpointError(err))
	return false
}

// relayResponse streams the response to the router. A trailer reports whether
// the response is complete.
func (a *Agent) relayResponse(ctx context.Context, w http.ResponseWriter, att *attempt, response *http.Response) flow.Outcome {
	a.setResponseHeaders(ctx, w, att, response)
	w.WriteHeader(response.StatusCode)
	r := &responseRelay{agent: a, attempt: att, writer: w, controller: http.NewResponseController(w)}
	r.pacer = newPacer(time.Duration(att.class.BetweenTokensTarget))
	r.eventStream = dispatch.IsEventStream(response.Header)
	r.delimited = hasDelimitedBody(response)
	complete := r.relayBody(ctx, response.Body)
	outcome := responseOutcome(ctx, complete)
	w.Header().Set(dispatch.HeaderOutcome, outcome)
	a.relayedTokens.Add(uint64(r.tracker.EventCount()))
	if outcome == dispatch.ResponsePreempted {
		return flow.Cancelled
	}
	if ctx.Err() != nil {
		a.wastedTokens.Add(uint64(r.tracker.EventCount()))
		return flow.Cancelled
	}
	if !complete || response.StatusCode >= http.StatusInternalServerError {
		return flow.EndpointFailed
	}
	return flow.Completed
}

// hasDelimitedBody reports whether the end of the body is marked by a content
// length or by chunked encoding. A body that ends with the connection can't be
// told from a truncated one.
func hasDelimitedBody(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// responseOutcome returns the value of the outcome trailer.
func responseOutcome(ctx context.Context, complete bool) string {
	if complete {
		return dispatch.ResponseComplete
	}
	if _, preempted := context.Cause(ctx).(*PreemptedError); preempted {
		return dispatch.ResponsePreempted
	}
	return dispatch.ResponseTruncated
}

// setResponseHeaders copies the endpoint's headers and adds those that identify
// the request, the attempt and the incarnation.
func (a *Agent) setResponseHeaders(ctx context.Context, w http.ResponseWriter, att *attempt, response *http.Response) {
	h := w.Header()
	dispatch.CopyEndToEndHeaders(h, response.Header)
	h.Set(dispatch.HeaderRequestID, att.meta.RequestID)
	h.Set(dispatch.HeaderAttempt, strconv.FormatUint(uint64(att.meta.AttemptNumber), 10))
	h.Set(dispatch.HeaderIncarnation, strconv.FormatUint(att.incarnation.number, 10))
	h.Set(dispatch.HeaderExecution, dispatch.ExecutionRan)
	h.Set("Trailer", dispatch.HeaderOutcome)
	a.setLoadHeader(ctx, h)
}

// responseRelay copies one response body from the endpoint to the router.
type responseRelay struct {
	agent          *Agent
	attempt        *attempt
	writer         http.ResponseWriter
	controller     *http.ResponseController
	pacer          *pacer
	tracker        engine.EventTracker
	eventStream    bool
	delimited      bool // see hasDelimitedBody
	reportedEvents int
}

// relayBody relays the body and reports whether it was complete.
func (r *responseRelay) relayBody(ctx context.Context, body io.Reader) bool {
	buffer := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(buffer)
	for {
		n, err := body.Read(*buffer)
		if n > 0 && !r.writeChunk((*buffer)[:n]) {
			return false
		}
		if r.eventStream && r.tracker.Done() {
			_, _ = io.CopyN(io.Discard, body, maxTrailingBytes)
			return true
		}
		if err != nil {
			return err == io.EOF && r.delimited && !r.eventStream
		}
		if r.eventStream && n < len(*buffer) {
			r.pacer.wait(ctx, r.tracker.EventCount())
		}
	}
}

// writeChunk writes one chunk to the router and reports success.
func (r *responseRelay) writeChunk(chunk []byte) bool {
	if r.eventStream {
		chunk = chunk[:r.tracker.Feed(chunk)]
	}
	_ = r.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
	if _, err := r.writer.Write(chunk); err != nil {
		return false
	}
	if r.eventStream {
		r.reportTokens()
		return r.controller.Flush() == nil
	}
	return true
}

// reportTokens reports relayed tokens to the queue: the first at once, later ones in
// batches of at least tokensPerReport. Tokens relayed together with the first are not
// counted.
func (r *responseRelay) reportTokens() {
	events := r.tracker.EventCount()
	if r.reportedEvents == 0 && events > 0 {
		r.agent.queue.recordFirstToken(r.attempt.key)
		r.reportedEvents = events
		return
	}
	if events-r.reportedEvents >= tokensPerReport {
		r.agent.queue.recordTokens(r.attempt.key, events-r.reportedEvents)
		r.reportedEvents = events
	}
}
