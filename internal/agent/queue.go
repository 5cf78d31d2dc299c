package agent

import (
	"context"
	"slices"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// eventRingSize bounds the events that wait for the queue's goroutine.
const eventRingSize = 4096

// verdict tells a waiting handler what the queue decided.
type verdict struct {
	start   bool
	refusal *flow.Refuse
}

// waiter is a handler's place in the queue. Both channels hold one item.
type waiter struct {
	verdicts chan verdict
	preempt  chan struct{}
}

// newWaiter returns a waiter with empty channels.
func newWaiter() *waiter {
	return &waiter{verdicts: make(chan verdict, 1), preempt: make(chan struct{}, 1)}
}

// queueEvent is one thing that happened, applied by the queue's goroutine.
type queueEvent func(q *flow.Queue, now time.Time) []flow.Action

// queueDuty owns the flow queue. One goroutine applies the events and tells
// the handlers what was decided.
type queueDuty struct {
	queue   *flow.Queue
	events  *ring.Ring[queueEvent]
	waiters map[string]*waiter
	observe func(action flow.Action)
}

// newQueueDuty returns the duty over an empty queue.
func newQueueDuty(config flow.Config, observe func(flow.Action)) *queueDuty {
	return &queueDuty{
		queue:   flow.New(config),
		events:  ring.New[queueEvent]("agent-queue", eventRingSize),
		waiters: map[string]*waiter{},
		observe: observe,
	}
}

// run applies events until ctx ends.
func (d *queueDuty) run(ctx context.Context) error {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.arm(timer)
		select {
		case event := <-d.events.Out():
			now := time.Now()
			d.carryOut(slices.Clone(event(d.queue, now)))
		case now := <-timer.C:
			d.carryOut(slices.Clone(d.queue.Tick(now)))
		case <-ctx.Done():
			return nil
		}
	}
}

// arm sets the timer to the queue's next tick.
func (d *queueDuty) arm(timer *time.Timer) {
	now := time.Now()
	at, ok := d.queue.NextTick(now)
	if !ok {
		timer.Reset(time.Hour)
		return
	}
	timer.Reset(max(at.Sub(now), time.Millisecond))
}

// carryOut tells the handlers.
func (d *queueDuty) carryOut(actions []flow.Action) {
	for _, action := range actions {
		d.observe(action)
		switch a := action.(type) {
		case flow.Start:
			d.start(a.ID)
		case flow.Refuse:
			d.tell(a.ID, verdict{refusal: &a})
			delete(d.waiters, a.ID)
		case flow.Preempt:
			d.preempt(a.ID)
		}
	}
}

// start tells a handler to go on. A slot granted to a request whose handler is
// gone is given back.
func (d *queueDuty) start(id string) {
	if d.waiters[id] == nil {
		d.carryOut(slices.Clone(d.queue.Cancel(time.Now(), id)))
		return
	}
	d.tell(id, verdict{start: true})
}

// tell gives a verdict; a handler takes each before the next can come.
func (d *queueDuty) tell(id string, v verdict) {
	if w := d.waiters[id]; w != nil {
		select {
		case w.verdicts <- v:
		default:
		}
	}
}

// preempt asks a running handler to give its slot back.
func (d *queueDuty) preempt(id string) {
	if w := d.waiters[id]; w != nil {
		select {
		case w.preempt <- struct{}{}:
		default:
		}
	}
}

// arrive offers a request. The error is a *ring.FullError.
func (d *queueDuty) arrive(request flow.Request, w *waiter) error {
	return d.events.Put(func(q *flow.Queue, now time.Time) []flow.Action {
		d.waiters[request.ID] = w
		request.Arrived = now
		return q.Arrive(now, request)
	})
}

// finish frees a request's slot. It waits for room: a lost finish would lose
// the slot for good.
func (d *queueDuty) finish(id string, outcome flow.Outcome) {
	d.put(func(q *flow.Queue, now time.Time) []flow.Action {
		delete(d.waiters, id)
		// A preemption may have put it back to waiting meanwhile.
		actions := slices.Clone(q.Finish(now, id, outcome))
		return append(actions, q.Cancel(now, id)...)
	})
}

// cancel takes a request out of the queue.
func (d *queueDuty) cancel(id string) {
	d.put(func(q *flow.Queue, now time.Time) []flow.Action {
		delete(d.waiters, id)
		return q.Cancel(now, id)
	})
}

// refuseWaiting refuses everything that waits.
func (d *queueDuty) refuseWaiting(reason flow.Reason) {
	d.put(func(q *flow.Queue, now time.Time) []flow.Action { return q.RefuseWaiting(now, reason) })
}

// firstToken notes the first byte of an answer.
func (d *queueDuty) firstToken(id string) {
	d.put(func(q *flow.Queue, now time.Time) []flow.Action { return q.FirstToken(now, id) })
}

// tokens notes n more tokens of an answer.
func (d *queueDuty) tokens(id string, n int) {
	d.put(func(q *flow.Queue, now time.Time) []flow.Action { return q.Token(now, id, n) })
}

// load asks the queue for its figures.
func (d *queueDuty) load(ctx context.Context) *trefoilkeelv1.Load {
	answer := make(chan *trefoilkeelv1.Load, 1)
	event := func(q *flow.Queue, now time.Time) []flow.Action {
		answer <- q.Load(now)
		return nil
	}
	if d.events.PutWait(ctx, event) != nil {
		return nil
	}
	select {
	case load := <-answer:
		return load
	case <-ctx.Done():
		return nil
	}
}

// put waits for room in the ring without a bound in time: the goroutine that
// empties it never waits for a handler.
func (d *queueDuty) put(event queueEvent) { _ = d.events.PutWait(context.Background(), event) }
