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

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// Sizes of a stream's buffer, in bytes.
const (
	relayBuffer = 8 << 10 // at the start
	maxEvent    = 1 << 20 // at most: one event
)

// endMark is the last event of a whole stream.
const endMark = "data: [DONE]\n\n"

var (
	relayBuffers = sync.Pool{New: func() any {
		buffer := make([]byte, relayBuffer)
		return &buffer
	}}
	eventEnd = []byte("\n\n")
)

// relayStream passes events on as they come, only whole ones.
func (j *ordinaryCall) relayStream(ctx context.Context, t *attempt, response *http.Response) (routing.Result, bool) {
	if j.stream == nil {
		j.stream = &transcript{}
		j.streamHead(response)
	} else {
		j.stream.resumed()
		j.router.options.Metrics.Add(metrics.StreamsResumed, 1)
		j.router.logger.Info("resume", "request", j.query.id, "endpoint", t.choice.endpoint.GetName(), "events", j.stream.events)
	}
	err := j.copyEvents(response.Body)
	j.query.tokens = j.stream.events
	whole := err == nil && j.stream.done && response.Trailer.Get(dispatch.HeaderOutcome) == dispatch.Whole
	if whole || (ctx.Err() == nil && j.finishOver()) {
		j.streamDone()
		return routing.Succeeded, true
	}
	if _, gone := err.(*callerGoneError); gone || ctx.Err() != nil {
		return j.callerLeft(ctx)
	}
	broken := &BrokenAnswerError{Endpoint: t.choice.endpoint.GetName(), Cause: err}
	if j.givenBack(response) {
		return routing.Refused, false
	}
	if !j.stream.resumable(j.query) {
		return j.unresumable(t, broken)
	}
	return j.failed(ctx, t, broken)
}

// givenBack reports whether the agent preempted the stream, which goes on at
// another endpoint then. That is the system's own doing and no failure, so it
// costs nothing of the retry budget.
func (j *ordinaryCall) givenBack(response *http.Response) bool {
	if response.Trailer.Get(dispatch.HeaderOutcome) != dispatch.GivenBack || !j.stream.resumable(j.query) {
		return false
	}
	j.handedBack = true
	j.ran = true
	j.router.logger.Info("given back", "request", j.query.id, "class", j.query.class.Name, "events", j.stream.events)
	return true
}

// streamHead sends the head of the first stream.
func (j *ordinaryCall) streamHead(response *http.Response) {
	h := j.writer.Header()
	dispatch.CopyHeaders(h, response.Header)
	h.Set("X-Request-Id", j.query.id)
	h.Set(dispatch.HeaderExecution, dispatch.Ran)
	j.writer.WriteHeader(response.StatusCode)
}

// callerGoneError says that the caller takes no more bytes.
type callerGoneError struct {
	cause error
}

// Error gives the cause.
func (e *callerGoneError) Error() string { return "caller gone: " + e.cause.Error() }

// copyEvents relays whole events until the end of the body. The end mark is
// held back: it is sent once the agent has called the stream whole.
func (j *ordinaryCall) copyEvents(from io.Reader) error {
	pooled := relayBuffers.Get().(*[]byte)
	defer relayBuffers.Put(pooled)
	buffer := *pooled
	control := http.NewResponseController(j.writer)
	held := 0 // bytes of an unfinished event at the start of the buffer
	for {
		if held == maxEvent {
			return &EventTooLongError{Limit: maxEvent}
		}
		if held == len(buffer) {
			buffer = append(buffer, make([]byte, len(buffer))...)
		}
		n, err := from.Read(buffer[held:])
		piece := buffer[:held+n]
		cut := 0
		if at := bytes.LastIndex(piece, eventEnd); at >= 0 {
			cut = at + len(eventEnd)
			if sendErr := j.send(control, piece[:cut]); sendErr != nil {
				return sendErr
			}
		}
		held = copy(buffer, piece[cut:])
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// EventTooLongError says that one event of a stream exceeds the bound.
type EventTooLongError struct {
	Limit int // bytes
}

// Error gives the bound.
func (e *EventTooLongError) Error() string {
	return "an event is longer than " + strconv.Itoa(e.Limit) + " bytes"
}

// send passes whole events to the caller and notes them.
func (j *ordinaryCall) send(control *http.ResponseController, events []byte) error {
	events = j.stream.note(events)
	if len(events) == 0 {
		return nil
	}
	now := time.Now()
	if j.stream.first.IsZero() {
		j.stream.first = now
	}
	_ = control.SetWriteDeadline(now.Add(callerStall))
	if _, err := j.writer.Write(events); err != nil {
		return &callerGoneError{cause: err}
	}
	if err := control.Flush(); err != nil {
		return &callerGoneError{cause: err}
	}
	return nil
}

// finishOver reports whether the stream has every token although its end mark
// never came: the engine broke after the last token.
func (j *ordinaryCall) finishOver() bool {
	return !j.query.wantsUsage() && j.stream.finished()
}

// wantsUsage reports whether the caller waits for a usage event at the end.
func (q *query) wantsUsage() bool {
	return strings.Contains(string(q.parsed.Raw("stream_options")), "include_usage")
}

// streamDone sends the end mark.
func (j *ordinaryCall) streamDone() {
	_, err := io.WriteString(j.writer, endMark)
	j.router.picker.succeeded(j.query.class.Name)
	j.router.finished(j.query, j.stream.first, j.stream.events)
	j.router.logger.Info("answered", "request", j.query.id, "workspace", j.query.workspace.Name, "class", j.query.class.Name,
		"status", http.StatusOK, "events", j.stream.events, "delivered", err == nil, "after_ms", time.Since(j.query.received).Milliseconds())
}

// callerLeft ends a stream that nobody reads any more, or whose time is over.
func (j *ordinaryCall) callerLeft(ctx context.Context) (routing.Result, bool) {
	cause := "caller gone"
	if ctx.Err() == context.DeadlineExceeded {
		cause = "the class's deadline passed"
	}
	refused := &dispatch.Refusal{Type: dispatch.DeadlineExceeded, Status: http.StatusGatewayTimeout, Execution: dispatch.Ran, Message: cause}
	j.router.breakStream(j.writer, j.query, refused)
	return routing.Cancelled, true
}

// unresumable ends a stream that broke and can't go on elsewhere.
func (j *ordinaryCall) unresumable(t *attempt, cause error) (routing.Result, bool) {
	j.router.logger.Warn("attempt failed", "request", j.query.id, "endpoint", t.choice.endpoint.GetName(), "error", cause, "resumable", false)
	refused := &dispatch.Refusal{Type: dispatch.EndpointFailed, Status: http.StatusBadGateway, Execution: dispatch.Ran, Message: cause.Error()}
	j.router.breakStream(j.writer, j.query, refused)
	return routing.Failed, true
}

// breakStream ends a stream so that nobody can take it for whole: an error
// event, then an aborted connection. It does not return.
func (rt *Router) breakStream(w http.ResponseWriter, q *query, refused *dispatch.Refusal) {
	rt.options.Metrics.Add(metrics.StreamsBroken, 1)
	rt.logger.Warn("stream broken off", "request", q.id, "workspace", q.workspace.Name, "class", q.class.Name, "type", refused.Type, "message", refused.Message)
	_, _ = w.Write(append(append([]byte("data: "), refused.Body()...), eventEnd...))
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}
