package agent

import (
	"context"
	"net/http"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
)

// maxProtectedAnswerBytes is the size limit of the response body of a protected request.
const maxProtectedAnswerBytes = 4 << 20

// serveProtected queues a protected request, which must run at most once. A request
// that has started continues if its router disconnects, and its answer is stored.
func (a *Agent) serveProtected(w http.ResponseWriter, r *http.Request, att *attempt) {
	id := attemptID{request: att.meta.RequestID, attempt: att.meta.AttemptNumber}
	rec, created, err := att.incarnation.attempts.register(id)
	if err != nil {
		a.requestNewIncarnation()
		a.writeError(w, r, notRunError(dispatch.Overloaded, http.StatusServiceUnavailable, err.Error()))
		return
	}
	if !created {
		a.writeError(w, r, a.duplicateError(att, rec))
		return
	}
	result := make(chan *dispatch.RequestError, 1)
	a.inFlight.add()
	go func() {
		defer a.inFlight.done()
		result <- a.runProtected(att, id, rec)
	}()
	select {
	case reqErr := <-result:
		a.writeProtectedAnswer(w, r, att, rec, reqErr)
	case <-r.Context().Done():
		// A queued attempt is refused permanently; a running one continues.
		_, _ = att.incarnation.attempts.tombstone(id)
	}
}

// duplicateError returns the error for an attempt that was received before.
func (a *Agent) duplicateError(att *attempt, rec *attemptRecord) *dispatch.RequestError {
	phase, _ := att.incarnation.attempts.phaseAndAnswer(rec)
	if phase == trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED {
		return notRunError(dispatch.Tombstoned, http.StatusConflict, "the attempt was refused before")
	}
	reqErr := badGatewayError(dispatch.Duplicate, dispatch.ExecutionUnknown, "the attempt was received before")
	reqErr.Status = http.StatusConflict
	return reqErr
}

// runProtected waits for a slot and makes the call. When it returns, the record
// holds the outcome.
func (a *Agent) runProtected(att *attempt, id attemptID, rec *attemptRecord) *dispatch.RequestError {
	ctx, cancel := context.WithTimeout(context.Background(), att.meta.TimeToDeadline)
	defer cancel()
	reqErr := a.acquireProtectedSlot(ctx, att, rec)
	if reqErr != nil {
		att.incarnation.attempts.finish(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED, nil)
		return reqErr
	}
	buffer := a.answerMemory.NewBuffer()
	defer buffer.Release()
	answer, reqErr := a.callProtected(ctx, att, buffer)
	switch {
	case reqErr == nil:
		att.incarnation.attempts.finish(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_FINISHED, answer)
		a.queue.finish(att.key, flow.Completed)
	case reqErr.Execution == dispatch.ExecutionNotRun:
		att.incarnation.attempts.finish(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED, nil)
		a.queue.finish(att.key, flow.EndpointFailed)
	default:
		att.incarnation.attempts.finish(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_FAILED, nil)
		a.queue.finish(att.key, flow.EndpointFailed)
	}
	return reqErr
}

// acquireProtectedSlot queues the attempt. It returns nil once the attempt holds
// a slot and is marked as running.
func (a *Agent) acquireProtectedSlot(ctx context.Context, att *attempt, rec *attemptRecord) *dispatch.RequestError {
	if err := a.queue.enqueue(att.queueRequest(), att.waiter); err != nil {
		return notRunError(dispatch.Overloaded, http.StatusTooManyRequests, err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-rec.done: // tombstoned while queued
			cancel()
		case <-ctx.Done():
		}
	}()
	if reqErr := a.awaitSlot(ctx, att); reqErr != nil {
		select {
		case <-rec.done: // the tombstone ended the wait, not the deadline
			return tombstonedWhileWaiting()
		default:
			return reqErr
		}
	}
	if !att.incarnation.attempts.markRunning(rec) {
		a.queue.cancel(att.key)
		return tombstonedWhileWaiting()
	}
	return nil
}

// tombstonedWhileWaiting returns the error of an attempt that was tombstoned before its
// start. Its router may claim another attempt.
func tombstonedWhileWaiting() *dispatch.RequestError {
	return notRunError(dispatch.Tombstoned, http.StatusConflict, "the attempt was refused while it waited")
}

// callProtected makes the only call to the endpoint and reads the whole response into the buffer.
func (a *Agent) callProtected(ctx context.Context, att *attempt, buffer *answer.Buffer) (*trefoilkeelv1.StoredAnswer, *dispatch.RequestError) {
	response, err := a.client.Do(ctx, att.call)
	if err != nil {
		return nil, endpointError(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := buffer.ReadAll(response.Body, maxProtectedAnswerBytes)
	if err != nil || !hasDelimitedBody(response) {
		a.logger.Warn("answer of a protected request not kept", "request", att.call.ID, "error", err)
		return nil, badGatewayError(dispatch.EndpointResponseInvalid, dispatch.ExecutionUnknown, "the endpoint's answer is not whole or too large")
	}
	return &trefoilkeelv1.StoredAnswer{
		Status:      uint32(response.StatusCode),
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// writeProtectedAnswer sends the stored answer, or reqErr unless it is nil, to the router.
func (a *Agent) writeProtectedAnswer(w http.ResponseWriter, r *http.Request, att *attempt, rec *attemptRecord, reqErr *dispatch.RequestError) {
	if reqErr != nil {
		a.writeError(w, r, reqErr)
		return
	}
	_, answer := att.incarnation.attempts.phaseAndAnswer(rec)
	response := &http.Response{Header: http.Header{}}
	response.Header.Set("Content-Type", answer.GetContentType())
	a.setResponseHeaders(r.Context(), w, att, response)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(int(answer.GetStatus()))
	if _, err := w.Write(answer.GetBody()); err == nil {
		w.Header().Set(dispatch.HeaderOutcome, dispatch.ResponseComplete)
	}
}

// requestNewIncarnation runs the callback set by OnRecordsFull.
func (a *Agent) requestNewIncarnation() {
	if callback := a.onRecordsFull.Load(); callback != nil {
		(*callback)()
	}
}
