package forward

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/retry"
	"github.com/trefoilkeel/trefoilkeel/internal/upstream"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// RemoveHopByHopHeaders removes the hop-by-hop headers and those that the Connection
// header names.
func RemoveHopByHopHeaders(h http.Header) {
	for _, value := range h["Connection"] {
		for name := range strings.SplitSeq(value, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
}

// writeHeader sends the status and header of an endpoint's response to the caller.
// A negative contentLength means that the length is not known.
func (a *activeRequest) writeHeader(response *http.Response, contentLength int) {
	h := a.writer.Header()
	RemoveHopByHopHeaders(response.Header)
	for name, values := range response.Header {
		h[name] = slices.Clone(values)
	}
	h.Del("Content-Length")
	if contentLength >= 0 {
		h.Set("Content-Length", strconv.Itoa(contentLength))
	}
	if len(h["Content-Type"]) == 0 {
		h["Content-Type"] = nil // else net/http derives one from the body
	}
	if now := time.Now(); now.After(a.request.Deadline) {
		limitWriting(a.writer, now) // this process may have paused for longer than writeGrace
	}
	a.writtenStatus = response.StatusCode
	a.writer.WriteHeader(response.StatusCode)
}

// forwardBuffered writes a response to the caller once it has been read to its end. A
// longer one is written as it is read.
func (a *activeRequest) forwardBuffered(ctx context.Context, x *upstream.Exchange, watch *silenceWatch) (retry.Outcome, error) {
	body, err := io.ReadAll(io.LimitReader(x, maxBufferedResponseBytes+1))
	if err != nil {
		a.recordFailure(ctx, err)
		return retry.Unknown, errors.Wrap(err, "read response")
	}
	a.endWatch(watch, retry.Unknown)
	// How soon an endpoint reports an error says nothing of how fast it runs requests.
	if isSuccess(x.Response.StatusCode) {
		a.recordResponse()
	}
	if len(body) > maxBufferedResponseBytes {
		a.abandonReplacement() // a response that has partly been written can't be replaced
		return a.forwardLong(ctx, x, body)
	}
	if isSuccess(x.Response.StatusCode) {
		a.recordComplete(x)
	}
	if x.Response.StatusCode >= http.StatusInternalServerError {
		a.recordEnd(balance.ErrorResponse)
		if a.replacement != nil || a.decide(retry.Errored) == retry.TryAnother && a.spendRetryBudget(time.Now(), a.request.Service) {
			return a.retryErrorResponse(ctx, x, body)
		}
	} else {
		a.recordEnd(balance.Succeeded)
	}
	a.writeResponse(x.Response, body)
	return retry.Answered, nil
}

// forwardLong writes a response to the caller of which only the beginning has been read.
func (a *activeRequest) forwardLong(ctx context.Context, x *upstream.Exchange, beginning []byte) (retry.Outcome, error) {
	a.writeHeader(x.Response, int(x.Response.ContentLength))
	// A write fails if the caller has disconnected; its context reports that.
	_, _ = a.writer.Write(beginning)
	rest := int64(maxResponseBytes - len(beginning))
	n, err := io.Copy(a.writer, io.LimitReader(x, rest+1))
	if err == nil && n > rest {
		err = &upstream.ProtocolError{Reason: "the answer is too long"}
	}
	if err != nil {
		a.recordFailure(ctx, err)
		return retry.Unknown, errors.Wrap(err, "forward long response")
	}
	if isSuccess(x.Response.StatusCode) {
		a.recordComplete(x)
		a.recordEnd(balance.Succeeded)
	} else {
		a.recordEnd(balance.ErrorResponse)
	}
	return retry.Answered, nil
}

// retryErrorResponse makes another attempt after an endpoint returned an error
// response. If that attempt brings no response, the error response is written.
func (a *activeRequest) retryErrorResponse(ctx context.Context, x *upstream.Exchange, body []byte) (retry.Outcome, error) {
	errorResponse := x.Response
	a.logRetry("request tried again", retry.Errored, &endpointStatusError{Status: errorResponse.StatusCode})
	if outcome, _ := a.nextAttempt(ctx); outcome == retry.Answered || a.writtenStatus != 0 {
		return outcome, nil
	}
	a.writeResponse(errorResponse, body)
	return retry.Answered, nil
}

// writeResponse sends a complete response to the caller.
func (a *activeRequest) writeResponse(response *http.Response, body []byte) {
	a.writeHeader(response, len(body))
	// A write fails if the caller has disconnected; its context reports that.
	_, _ = a.writer.Write(body)
}

// forwardStream writes the events of a stream to the caller as they arrive.
func (a *activeRequest) forwardStream(ctx context.Context, x *upstream.Exchange, watch *silenceWatch) (retry.Outcome, error) {
	flusher := http.NewResponseController(a.writer)
	reader := bufio.NewReaderSize(x, eventBufferBytes)
	var event []byte
	midLine := false   // the previous read filled the buffer before the end of a line
	hasFields := false // the event has more than comments and blank lines
	held := 0          // bytes of complete comments in event
	for {
		line, err := reader.ReadSlice('\n')
		event = append(event, line...)
		hasFields = hasFields || !midLine && isField(line)
		if len(event) > maxEventBytes {
			err = &upstream.ProtocolError{Reason: "an event is too long"}
		}
		if errors.Is(err, bufio.ErrBufferFull) {
			midLine = true
			continue
		}
		if err != nil {
			return a.endStream(ctx, err, len(event) > held, x)
		}
		blank := !midLine && len(bytes.TrimRight(line, "\r\n")) == 0
		midLine = false
		if blank && !hasFields && a.attemptEvents == 0 && a.writtenStatus != 0 {
			held = len(event)
		}
		if !blank || !hasFields && a.attemptEvents == 0 {
			continue // comments before the first event are held back: another attempt may follow
		}
		if err := a.checkEvent(event); err != nil {
			return a.endStream(ctx, err, true, x)
		}
		if hasFields && !watch.claim() {
			return a.endStream(ctx, context.Cause(ctx), true, x)
		}
		if err := a.forwardEvent(x, event, flusher, hasFields); err != nil {
			a.recordEnd(balance.Cancelled)
			return retry.Unknown, err
		}
		if hasFields {
			watch.progressed(max(eventGapTimeoutFactor*a.request.Route.GapTarget, minEventGapTimeout), a.lastEventID)
		}
		event, hasFields, held = event[:0], false, 0
	}
}

const (
	// eventBufferBytes is the read buffer of a stream. Longer events take several reads.
	eventBufferBytes = 2 << 10
	// maxEventBytes limits an event, which is held in memory until it is complete.
	maxEventBytes = 128 << 10
)

// isField reports whether the start of a line of a stream is neither blank nor a comment.
func isField(line []byte) bool {
	line = bytes.TrimRight(line, "\r\n")
	return len(line) > 0 && line[0] != ':'
}

// forwardEvent sends a complete event, or a comment between events, to the caller. It
// skips events that the caller received before the stream was resumed.
func (a *activeRequest) forwardEvent(x *upstream.Exchange, event []byte, flusher *http.ResponseController, hasFields bool) error {
	if hasFields {
		a.recordEvent(time.Now())
		a.recordResponse()
		a.recordGap(time.Now())
		a.origin.CompareAndSwap(nil, &origin.Origin{Service: a.request.Service, Version: a.choice.Version})
	}
	if a.writtenStatus == 0 {
		a.writeHeader(x.Response, -1)
	}
	if id, ok := eventID(event); ok {
		if a.resumeCount > 0 && !isLaterEvent(a.lastEventID, id) {
			return nil
		}
		a.lastEventID = id
	}
	if _, err := a.writer.Write(event); err != nil {
		return errors.Wrap(err, "write to the caller")
	}
	return errors.Wrap(flusher.Flush(), "write to the caller")
}

// recordBegan reports once for each attempt that its endpoint has begun to run the request of a
// workspace, or may have.
func (a *activeRequest) recordBegan() {
	if a.began || a.options.OnBegan == nil || a.request.Workspace == "" {
		return
	}
	a.began = true
	a.options.OnBegan(a.request.Workspace)
}

// recordEvent counts the events of the attempt.
func (a *activeRequest) recordEvent(now time.Time) {
	a.recordBegan()
	if a.attemptEvents++; a.attemptEvents == 1 {
		a.attemptEventAt = now
	}
	if now.Sub(a.attemptEventAt) > servedStreamTime {
		a.recordServed()
	}
}

// recordComplete records a complete response, or one that looks so.
func (a *activeRequest) recordComplete(x *upstream.Exchange) {
	if x.Delimited() {
		a.recordServed()
	} else {
		a.recordUndelimited(time.Now())
	}
}

// recordGap updates the longest gap between events.
func (a *activeRequest) recordGap(now time.Time) {
	if gap := now.Sub(a.lastEventAt); !a.lastEventAt.IsZero() {
		target := a.request.Route.GapTarget
		missesFirst := target > 0 && gap > target && a.longestGap <= target
		a.longestGap = max(a.longestGap, gap)
		a.mu.Lock()
		a.admission.RecordGap(now, a.request.Service, a.request.Route.Name, gap)
		if missesFirst {
			a.admission.RecordStream(now, a.request.Service, a.request.Route.Rank, true)
		}
		a.mu.Unlock()
	}
	a.lastEventAt = now
}

// isLaterEvent reports whether the event id comes after last. Ids that are not
// numbers count as later.
func isLaterEvent(last, id string) bool {
	lastNumber, lastErr := strconv.ParseUint(last, 10, 64)
	number, err := strconv.ParseUint(id, 10, 64)
	return lastErr != nil || err != nil || number > lastNumber
}

// eventID returns the value of the id field of a server-sent event.
func eventID(event []byte) (string, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			return string(bytes.TrimSpace(value)), true
		}
	}
	return "", false
}

// endStream returns the outcome of a stream that has reached err. Only io.EOF
// without a partial event is a complete stream. Without length or chunks,
// a stream that has no event is not complete: its endpoint may have ended first.
func (a *activeRequest) endStream(ctx context.Context, err error, partial bool, x *upstream.Exchange) (retry.Outcome, error) {
	if errors.Is(err, io.EOF) && !partial && (x.Delimited() || a.attemptEvents > 0) {
		a.recordComplete(x)
		if a.writtenStatus == 0 {
			a.writeHeader(x.Response, 0)
		}
		a.recordEnd(balance.Succeeded)
		return retry.Answered, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	if ctx.Err() == nil {
		a.recordBegan() // the endpoint may have begun it before its first event was lost
	}
	a.recordFailure(ctx, err)
	if a.writtenStatus != 0 {
		a.resumeCount++
	}
	return retry.Unknown, errors.Wrap(err, "read stream")
}
