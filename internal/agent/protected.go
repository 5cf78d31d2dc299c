package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
)

// maxProtectedAnswer bounds the answer of a protected request, in bytes.
const maxProtectedAnswer = 4 << 20

// serveProtected queues a request that may run at most once. The run goes on
// without its caller once it has started, and its answer is kept.
func (a *Agent) serveProtected(w http.ResponseWriter, r *http.Request, t *attempt) {
	id := attemptID{request: t.meta.RequestID, attempt: t.meta.Attempt}
	rec, begun, err := t.identity.records.begin(id)
	if err != nil {
		a.askNewIncarnation()
		a.refuse(w, r, notRun(dispatch.Overloaded, http.StatusServiceUnavailable, err.Error()))
		return
	}
	if !begun {
		a.refuse(w, r, a.seenBefore(t, rec))
		return
	}
	result := make(chan *dispatch.Refusal, 1)
	a.inFlight.enter()
	go func() {
		defer a.inFlight.leave()
		result <- a.runProtected(t, id, rec)
	}()
	select {
	case refusal := <-result:
		a.answerProtected(w, r, t, rec, refusal)
	case <-r.Context().Done():
		// A waiting request is refused for good; a running one goes on.
		_, _ = t.identity.records.tombstone(id)
	}
}

// seenBefore answers a second copy of an attempt.
func (a *Agent) seenBefore(t *attempt, rec *record) *dispatch.Refusal {
	phase, _ := t.identity.records.read(rec)
	if phase == trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED {
		return notRun(dispatch.Tombstoned, http.StatusConflict, "the attempt was refused before")
	}
	refusal := failed(dispatch.Duplicate, dispatch.Unknown, "the attempt was received before")
	refusal.Status = http.StatusConflict
	return refusal
}

// runProtected waits for a slot and makes the call; the record holds how it
// ended before the function returns.
func (a *Agent) runProtected(t *attempt, id attemptID, rec *record) *dispatch.Refusal {
	ctx, cancel := context.WithTimeout(context.Background(), t.meta.Budget)
	defer cancel()
	refusal := a.startProtected(ctx, t, rec)
	if refusal != nil {
		t.identity.records.end(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED, nil)
		return refusal
	}
	answer, refusal := a.callProtected(ctx, t)
	switch {
	case refusal == nil:
		t.identity.records.end(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_FINISHED, answer)
		a.queue.finish(t.key, flow.Whole)
	case refusal.Execution == dispatch.NotRun:
		t.identity.records.end(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED, nil)
		a.queue.finish(t.key, flow.Broken)
	default:
		t.identity.records.end(id, rec, trefoilkeelv1.RequestPhase_REQUEST_PHASE_FAILED, nil)
		a.queue.finish(t.key, flow.Broken)
	}
	return refusal
}

// startProtected returns nil once the attempt holds a slot and is marked as running.
func (a *Agent) startProtected(ctx context.Context, t *attempt, rec *record) *dispatch.Refusal {
	if err := a.queue.arrive(t.flowRequest(), t.waiter); err != nil {
		return notRun(dispatch.Overloaded, http.StatusTooManyRequests, err.Error())
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-rec.finished: // tombstoned while waiting
			cancel()
		case <-ctx.Done():
		}
	}()
	if refusal := a.await(ctx, t); refusal != nil {
		return refusal
	}
	if !t.identity.records.start(rec) {
		a.queue.cancel(t.key)
		return notRun(dispatch.Tombstoned, http.StatusConflict, "the attempt was refused while it waited")
	}
	return nil
}

// callProtected makes the one call and reads the whole answer.
func (a *Agent) callProtected(ctx context.Context, t *attempt) (*trefoilkeelv1.StoredAnswer, *dispatch.Refusal) {
	response, err := a.client.Do(ctx, t.call)
	if err != nil {
		return nil, fromEngine(err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProtectedAnswer+1))
	if err != nil || !marksEnd(response) || len(body) > maxProtectedAnswer {
		return nil, failed(dispatch.EndpointUnreadable, dispatch.Unknown, "the endpoint's answer is not whole or too large")
	}
	return &trefoilkeelv1.StoredAnswer{
		Status:      uint32(response.StatusCode),
		ContentType: response.Header.Get("Content-Type"),
		Body:        body,
	}, nil
}

// answerProtected sends the whole answer or the refusal to the router.
func (a *Agent) answerProtected(w http.ResponseWriter, r *http.Request, t *attempt, rec *record, refusal *dispatch.Refusal) {
	if refusal != nil {
		a.refuse(w, r, refusal)
		return
	}
	_, answer := t.identity.records.read(rec)
	response := &http.Response{Header: http.Header{}}
	response.Header.Set("Content-Type", answer.GetContentType())
	a.answerHead(r.Context(), w, t, response)
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeStall))
	w.WriteHeader(int(answer.GetStatus()))
	if _, err := w.Write(answer.GetBody()); err == nil {
		w.Header().Set(dispatch.HeaderOutcome, dispatch.Whole)
	}
}

// askNewIncarnation asks the owner to announce again.
func (a *Agent) askNewIncarnation() {
	if ask := a.onFull.Load(); ask != nil {
		(*ask)()
	}
}
