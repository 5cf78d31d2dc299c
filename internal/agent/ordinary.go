package agent

import (
	"context"
	"io"
	"mime"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/engine"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
)

// Relay bounds.
const (
	relayBuffer   = 8 << 10          // bytes
	writeStall    = 20 * time.Second // a receiver that takes nothing for so long is gone
	tokenReport   = 16               // tokens between two reports to the queue
	drainLeftover = 4 << 10          // bytes read past the end to reuse a connection
)

var buffers = sync.Pool{New: func() any {
	buffer := make([]byte, relayBuffer)
	return &buffer
}}

// PreemptedError ends a call whose slot was taken by a higher tier.
type PreemptedError struct{}

// Error says so.
func (*PreemptedError) Error() string { return "preempted by a higher tier" }

// serveOrdinary queues and relays a request that may be run again.
func (a *Agent) serveOrdinary(w http.ResponseWriter, r *http.Request, t *attempt) {
	ctx, cancel := context.WithTimeout(r.Context(), t.meta.Budget)
	defer cancel()
	if err := a.queue.arrive(t.flowRequest(), t.waiter); err != nil {
		a.refuse(w, r, notRun(dispatch.Overloaded, http.StatusTooManyRequests, err.Error()))
		return
	}
	for {
		if refusal := a.await(ctx, t); refusal != nil {
			a.refuse(w, r, refusal)
			return
		}
		if !a.callOnce(ctx, w, r, t) {
			return
		}
	}
}

// callOnce runs the call in the granted slot. It returns true if the call was
// preempted before anything was sent: the request waits again.
func (a *Agent) callOnce(ctx context.Context, w http.ResponseWriter, r *http.Request, t *attempt) (again bool) {
	callCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stopWatch := a.watchPreempt(callCtx, t, cancel)
	response, err := a.client.Do(callCtx, t.call)
	if err != nil {
		stopWatch()
		return a.callFailed(callCtx, w, r, t, err)
	}
	defer func() { _ = response.Body.Close() }()
	outcome := a.relay(callCtx, w, t, response)
	stopWatch()
	a.queue.finish(t.key, outcome)
	return false
}

// watchPreempt cancels the call when the queue takes the slot back.
func (a *Agent) watchPreempt(ctx context.Context, t *attempt, cancel context.CancelCauseFunc) (stop func()) {
	done := make(chan struct{})
	go func() {
		select {
		case <-t.waiter.preempt:
			cancel(&PreemptedError{})
		case <-done:
		case <-ctx.Done():
		}
	}()
	return sync.OnceFunc(func() { close(done) })
}

// callFailed ends a call that gave no answer head.
func (a *Agent) callFailed(ctx context.Context, w http.ResponseWriter, r *http.Request, t *attempt, err error) (again bool) {
	if _, preempted := context.Cause(ctx).(*PreemptedError); preempted {
		return true
	}
	a.queue.finish(t.key, flow.Broken)
	a.refuse(w, r, fromEngine(err))
	return false
}

// relay passes the answer on as it comes and says at the end whether it was whole.
func (a *Agent) relay(ctx context.Context, w http.ResponseWriter, t *attempt, response *http.Response) flow.Outcome {
	a.answerHead(ctx, w, t, response)
	w.WriteHeader(response.StatusCode)
	p := &pipe{agent: a, attempt: t, to: w, control: http.NewResponseController(w)}
	p.pacer = newPacer(time.Duration(t.class.BetweenTokensTarget))
	p.stream = isEventStream(response.Header)
	p.firm = marksEnd(response)
	whole := p.copy(ctx, response.Body)
	outcome := outcomeOf(ctx, whole)
	w.Header().Set(dispatch.HeaderOutcome, outcome)
	a.tokens.Add(uint64(p.tracker.Events()))
	if outcome == dispatch.GivenBack {
		return flow.Gone
	}
	if ctx.Err() != nil {
		a.wasted.Add(uint64(p.tracker.Events()))
		return flow.Gone
	}
	if !whole || response.StatusCode >= http.StatusInternalServerError {
		return flow.Broken
	}
	return flow.Whole
}

// marksEnd reports whether the protocol marks the end of the body. A body that
// only the closing of the connection ends can't be told from a broken one.
func marksEnd(response *http.Response) bool {
	return response.ContentLength >= 0 || len(response.TransferEncoding) > 0
}

// outcomeOf is what the router is told at the end of an answer.
func outcomeOf(ctx context.Context, whole bool) string {
	if whole {
		return dispatch.Whole
	}
	if _, preempted := context.Cause(ctx).(*PreemptedError); preempted {
		return dispatch.GivenBack
	}
	return dispatch.Broken
}

// answerHead sets the headers that bind the answer to its request.
func (a *Agent) answerHead(ctx context.Context, w http.ResponseWriter, t *attempt, response *http.Response) {
	h := w.Header()
	dispatch.CopyHeaders(h, response.Header)
	h.Set(dispatch.HeaderRequestID, t.meta.RequestID)
	h.Set(dispatch.HeaderAttempt, strconv.FormatUint(uint64(t.meta.Attempt), 10))
	h.Set(dispatch.HeaderIncarnation, strconv.FormatUint(t.identity.incarnation, 10))
	h.Set(dispatch.HeaderExecution, dispatch.Ran)
	h.Set("Trailer", dispatch.HeaderOutcome)
	a.setLoad(ctx, h)
}

// isEventStream reports whether the answer is server-sent events.
func isEventStream(h http.Header) bool {
	kind, _, err := mime.ParseMediaType(h.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}

// pipe copies one answer from the endpoint to the router.
type pipe struct {
	agent    *Agent
	attempt  *attempt
	to       http.ResponseWriter
	control  *http.ResponseController
	pacer    *pacer
	tracker  engine.Tracker
	stream   bool
	firm     bool // see marksEnd
	reported int
}

// copy relays until the end and reports whether the answer was whole.
func (p *pipe) copy(ctx context.Context, from io.Reader) bool {
	buffer := buffers.Get().(*[]byte)
	defer buffers.Put(buffer)
	for {
		n, err := from.Read(*buffer)
		if n > 0 && !p.pass((*buffer)[:n]) {
			return false
		}
		if p.stream && p.tracker.Done() {
			_, _ = io.CopyN(io.Discard, from, drainLeftover)
			return true
		}
		if err != nil {
			return err == io.EOF && p.firm && !p.stream
		}
		if p.stream && n < len(*buffer) {
			p.pacer.wait(ctx, p.tracker.Events())
		}
	}
}

// pass writes one piece and reports whether the receiver took it.
func (p *pipe) pass(piece []byte) bool {
	if p.stream {
		piece = piece[:p.tracker.Feed(piece)]
	}
	_ = p.control.SetWriteDeadline(time.Now().Add(writeStall))
	if _, err := p.to.Write(piece); err != nil {
		return false
	}
	if p.stream {
		p.report()
		return p.control.Flush() == nil
	}
	return true
}

// report tells the queue about tokens, the first at once.
func (p *pipe) report() {
	events := p.tracker.Events()
	if p.reported == 0 && events > 0 {
		p.agent.queue.firstToken(p.attempt.key)
		p.reported = events
		return
	}
	if events-p.reported >= tokenReport {
		p.agent.queue.tokens(p.attempt.key, events-p.reported)
		p.reported = events
	}
}
