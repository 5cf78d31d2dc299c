package router

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// The relay buffer grows until it holds the largest event.
const (
	initialRelayBufferBytes = 8 << 10
	maxEventBytes           = 1 << 20
)

// doneEvent is the last event of a complete stream.
const doneEvent = "data: [DONE]\n\n"

var (
	relayBufferPool = sync.Pool{New: func() any {
		buffer := make([]byte, initialRelayBufferBytes)
		return &buffer
	}}
	eventSeparator = []byte("\n\n")
)

// relayStream relays complete events as they arrive and handles the end of the
// stream.
func (c *unprotectedCall) relayStream(ctx context.Context, a *attempt, response *http.Response) (routing.Result, bool) {
	if c.transcript == nil {
		c.transcript = &transcript{memory: c.transcriptMemory}
		c.writeStreamHeader(response)
	} else {
		c.transcript.startResumedPart()
		c.router.options.Metrics.AddToCounter(metrics.StreamsResumed, 1)
		c.router.logger.Info("resume", "request", c.request.id, "endpoint", a.selected.endpoint.GetName(), "events", c.transcript.eventCount)
	}
	err := c.relayEvents(response.Body)
	c.request.outputTokens = c.transcript.eventCount
	complete := err == nil && c.transcript.doneEventReceived && response.Trailer.Get(dispatch.HeaderOutcome) == dispatch.ResponseComplete
	if complete || (ctx.Err() == nil && c.isCompleteWithoutDoneEvent()) {
		c.endCompleteStream()
		return routing.Succeeded, true
	}
	if _, disconnected := err.(*callerDisconnectedError); disconnected || ctx.Err() != nil {
		return c.endCancelledStream(ctx)
	}
	incomplete := &IncompleteAnswerError{Endpoint: a.selected.endpoint.GetName(), Cause: err}
	if c.continueAfterPreemption(response) {
		return routing.Refused, false
	}
	if !c.transcript.resumable(c.request) {
		return c.endUnresumableStream(a, incomplete)
	}
	return c.handleFailure(ctx, a, incomplete)
}

// continueAfterPreemption reports whether the agent preempted the stream and another
// attempt can continue it. A preemption is not a failure of the endpoint, so it does
// not use the retry budget.
func (c *unprotectedCall) continueAfterPreemption(response *http.Response) bool {
	if response.Trailer.Get(dispatch.HeaderOutcome) != dispatch.ResponsePreempted || !c.transcript.resumable(c.request) {
		return false
	}
	c.mayReuseEndpoint = true
	c.mayHaveRun = true
	c.router.logger.Info("stream preempted", "request", c.request.id, "class", c.request.class.Name, "events", c.transcript.eventCount)
	return true
}

// writeStreamHeader sends the status and headers of the first stream to the caller.
func (c *unprotectedCall) writeStreamHeader(response *http.Response) {
	h := c.writer.Header()
	dispatch.CopyEndToEndHeaders(h, response.Header)
	h.Set("X-Request-Id", c.request.id)
	h.Set(dispatch.HeaderExecution, dispatch.ExecutionRan)
	c.writer.WriteHeader(response.StatusCode)
}

// callerDisconnectedError reports that writing to the caller failed.
type callerDisconnectedError struct {
	cause error
}

func (e *callerDisconnectedError) Error() string { return "caller gone: " + e.cause.Error() }

// relayEvents relays complete events until the end of the body. The done event is
// not relayed: it is sent once the agent has marked the stream as complete.
func (c *unprotectedCall) relayEvents(source io.Reader) error {
	pooledBuffer := relayBufferPool.Get().(*[]byte)
	defer relayBufferPool.Put(pooledBuffer)
	buffer := *pooledBuffer
	memory := c.router.answerMemory.NewBuffer()
	defer memory.Release()
	controller := http.NewResponseController(c.writer)
	pendingBytes := 0 // length of the incomplete event at the start of the buffer
	for {
		if pendingBytes == maxEventBytes {
			return &EventTooLongError{LimitBytes: maxEventBytes}
		}
		if pendingBytes == len(buffer) {
			grown, err := memory.Grow(buffer, maxEventBytes)
			if err != nil {
				return err
			}
			buffer = grown
		}
		n, err := source.Read(buffer[pendingBytes:])
		data := buffer[:pendingBytes+n]
		completeBytes := 0
		if lastSeparator := bytes.LastIndex(data, eventSeparator); lastSeparator >= 0 {
			completeBytes = lastSeparator + len(eventSeparator)
			if sendErr := c.writeEvents(controller, data[:completeBytes]); sendErr != nil {
				return sendErr
			}
		}
		pendingBytes = copy(buffer, data[completeBytes:])
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// EventTooLongError reports a stream event that exceeds the size limit.
type EventTooLongError struct {
	LimitBytes int
}

// Error returns the limit.
func (e *EventTooLongError) Error() string {
	return "an event is longer than " + strconv.Itoa(e.LimitBytes) + " bytes"
}

// writeEvents records complete events in the transcript and writes them to the
// caller.
func (c *unprotectedCall) writeEvents(controller *http.ResponseController, events []byte) error {
	events = c.transcript.record(events)
	if len(events) == 0 {
		return nil
	}
	now := time.Now()
	if c.transcript.firstEventAt.IsZero() {
		c.transcript.firstEventAt = now
	}
	_ = controller.SetWriteDeadline(now.Add(callerWriteTimeout))
	if _, err := c.writer.Write(events); err != nil {
		return &callerDisconnectedError{cause: err}
	}
	if err := controller.Flush(); err != nil {
		return &callerDisconnectedError{cause: err}
	}
	return nil
}

// isCompleteWithoutDoneEvent reports whether the caller has the whole answer although
// the done event never came: the engine failed after the last token.
func (c *unprotectedCall) isCompleteWithoutDoneEvent() bool {
	return !c.request.wantsUsageEvent() && c.transcript.hasFinishReason()
}

// wantsUsageEvent reports whether the caller expects a usage event after the last
// token.
func (req *callerRequest) wantsUsageEvent() bool {
	return strings.Contains(string(req.parsedBody.Raw("stream_options")), "include_usage")
}

// endCompleteStream sends the done event and records the answer.
func (c *unprotectedCall) endCompleteStream() {
	_, err := io.WriteString(c.writer, doneEvent)
	c.router.selector.creditRetryBudget(c.request.class.Name)
	c.router.recordCompletion(c.request, c.transcript.firstEventAt, c.transcript.eventCount)
	c.router.logger.Info("answered", "request", c.request.id, "workspace", c.request.workspace.Name, "class", c.request.class.Name,
		"status", http.StatusOK, "events", c.transcript.eventCount, "delivered", err == nil, "after_ms", time.Since(c.request.receivedAt).Milliseconds())
}

// endCancelledStream ends a stream whose caller disconnected, whose deadline
// passed, or whose router stops.
func (c *unprotectedCall) endCancelledStream(ctx context.Context) (routing.Result, bool) {
	cause := "caller gone"
	errorType := dispatch.DeadlineExceeded
	var stopped *stoppedError
	switch {
	case ctx.Err() == context.DeadlineExceeded:
		cause = "the class's deadline passed"
	case errors.As(context.Cause(ctx), &stopped):
		cause, errorType = stopped.Error(), dispatch.Stopping
	}
	reqErr := &dispatch.RequestError{Type: errorType, Status: http.StatusGatewayTimeout, Execution: dispatch.ExecutionRan, Message: cause}
	c.router.abortStream(c.writer, c.request, reqErr)
	return routing.Cancelled, true
}

// endUnresumableStream ends a failed stream that no other endpoint can continue.
func (c *unprotectedCall) endUnresumableStream(a *attempt, cause error) (routing.Result, bool) {
	c.router.logger.Warn("attempt failed", "request", c.request.id, "endpoint", a.selected.endpoint.GetName(), "error", cause, "resumable", false)
	reqErr := &dispatch.RequestError{Type: dispatch.EndpointFailed, Status: http.StatusBadGateway, Execution: dispatch.ExecutionRan, Message: cause.Error()}
	c.router.abortStream(c.writer, c.request, reqErr)
	return routing.Failed, true
}

// abortStream sends an error event and aborts the connection, so that no client can
// take the stream for complete. It panics with http.ErrAbortHandler.
func (rt *Router) abortStream(w http.ResponseWriter, req *callerRequest, reqErr *dispatch.RequestError) {
	rt.options.Metrics.AddToCounter(metrics.StreamsBroken, 1)
	rt.logger.Warn("stream broken off", "request", req.id, "workspace", req.workspace.Name, "class", req.class.Name, "type", reqErr.Type, "message", reqErr.Message)
	_, _ = w.Write(append(append([]byte("data: "), reqErr.Body()...), eventSeparator...))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
