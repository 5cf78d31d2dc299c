package agent

import (
	"context"
	"slices"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// eventRingCapacity is the number of events that can wait for the queue's goroutine.
const eventRingCapacity = 4096

// queueDecision either grants a slot to a request or refuses it.
type queueDecision struct {
	granted bool
	refusal *flow.Refuse // nil if granted
}

// waiter is how the queue's goroutine signals the handler of one request. Both
// channels have a capacity of one.
type waiter struct {
	decisions   chan queueDecision
	preemptions chan struct{}
}

func newWaiter() *waiter {
	return &waiter{decisions: make(chan queueDecision, 1), preemptions: make(chan struct{}, 1)}
}

// queueEvent is an update of the queue; the queue's goroutine applies it.
type queueEvent func(q *flow.Queue, now time.Time) []flow.Action

// queueLoop owns the flow queue. A single goroutine, run, applies the events
// and notifies the handlers of the queue's decisions.
type queueLoop struct {
	queue    *flow.Queue
	events   *ring.Ring[queueEvent]
	waiters  map[string]*waiter // by attempt key
	onAction func(action flow.Action)
}

func newQueueLoop(config flow.Config, onAction func(flow.Action)) *queueLoop {
	return &queueLoop{
		queue:    flow.New(config),
		events:   ring.New[queueEvent]("agent-queue", eventRingCapacity),
		waiters:  map[string]*waiter{},
		onAction: onAction,
	}
}

// run applies events until ctx ends.
func (l *queueLoop) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		l.resetTimer(timer)
		select {
		case event := <-l.events.Chan():
			now := time.Now()
			l.notifyHandlers(slices.Clone(event(l.queue, now)))
		case now := <-timer.C:
			l.notifyHandlers(slices.Clone(l.queue.Tick(now)))
		case <-ctx.Done():
			return nil
		}
	}
}

// resetTimer sets the timer to the queue's next tick.
func (l *queueLoop) resetTimer(timer *time.Timer) {
	now := time.Now()
	at, ok := l.queue.NextTick(now)
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(at.Sub(now), time.Millisecond))
}

// notifyHandlers sends the queue's decisions to the handlers.
func (l *queueLoop) notifyHandlers(actions []flow.Action) {
	for _, action := range actions {
		l.onAction(action)
		switch a := action.(type) {
		case flow.Start:
			l.grantSlot(a.ID)
		case flow.Refuse:
			l.sendDecision(a.ID, queueDecision{refusal: &a})
			delete(l.waiters, a.ID)
		case flow.Preempt:
			l.signalPreemption(a.ID)
		}
	}
}

// grantSlot tells a handler to start its request. If the handler has returned,
// the slot is released.
func (l *queueLoop) grantSlot(id string) {
	if l.waiters[id] == nil {
		l.notifyHandlers(slices.Clone(l.queue.Cancel(time.Now(), id)))
		return
	}
	l.sendDecision(id, queueDecision{granted: true})
}

// sendDecision sends a decision without blocking. The channel has room: a handler
// receives each decision before the next one can be made.
func (l *queueLoop) sendDecision(id string, decision queueDecision) {
	if w := l.waiters[id]; w != nil {
		select {
		case w.decisions <- decision:
		default:
		}
	}
}

// signalPreemption tells the handler of a running request to cancel its call.
func (l *queueLoop) signalPreemption(id string) {
	if w := l.waiters[id]; w != nil {
		select {
		case w.preemptions <- struct{}{}:
		default:
		}
	}
}

// enqueue submits a request to the queue. The error is a *ring.FullError.
func (l *queueLoop) enqueue(request flow.Request, w *waiter) error {
	return l.events.TryPut(func(q *flow.Queue, now time.Time) []flow.Action {
		l.waiters[request.ID] = w
		request.Arrived = now
		return q.Enqueue(now, request)
	})
}

// finish releases a request's slot. It waits for room in the ring, because a
// dropped event would leak the slot.
func (l *queueLoop) finish(id string, outcome flow.Outcome) {
	l.putEvent(func(q *flow.Queue, now time.Time) []flow.Action {
		delete(l.waiters, id)
		// A preemption may have queued the request again in the meantime.
		actions := slices.Clone(q.Finish(now, id, outcome))
		return append(actions, q.Cancel(now, id)...)
	})
}

// cancel removes a request from the queue.
func (l *queueLoop) cancel(id string) {
	l.putEvent(func(q *flow.Queue, now time.Time) []flow.Action {
		delete(l.waiters, id)
		return q.Cancel(now, id)
	})
}

// refuseWaiting refuses all queued requests.
func (l *queueLoop) refuseWaiting(reason flow.Reason) {
	l.putEvent(func(q *flow.Queue, now time.Time) []flow.Action { return q.RefuseWaiting(now, reason) })
}

// recordFirstToken records that the first token of a response was relayed.
func (l *queueLoop) recordFirstToken(id string) {
	l.putEvent(func(q *flow.Queue, now time.Time) []flow.Action { return q.RecordFirstToken(now, id) })
}

// recordTokens records that n more tokens of a response were relayed.
func (l *queueLoop) recordTokens(id string, n int) {
	l.putEvent(func(q *flow.Queue, now time.Time) []flow.Action { return q.RecordTokens(now, id, n) })
}

// load returns the load of the queue, nil if ctx ends first.
func (l *queueLoop) load(ctx context.Context) *trefoilkeelv1.Load {
	result := make(chan *trefoilkeelv1.Load, 1)
	event := func(q *flow.Queue, now time.Time) []flow.Action {
		result <- q.Load(now)
		return nil
	}
	if l.events.PutWait(ctx, event) != nil {
		return nil
	}
	select {
	case load := <-result:
		return load
	case <-ctx.Done():
		return nil
	}
}

// putEvent waits for room in the ring, without a timeout: the goroutine that
// drains the ring never waits for a handler.
func (l *queueLoop) putEvent(event queueEvent) { _ = l.events.PutWait(context.Background(), event) }
