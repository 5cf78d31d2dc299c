package flow

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var epoch = time.Unix(1_800_000_000, 0)

// newRequest returns a request that arrives at epoch+at, with a patience of ten
// seconds.
func newRequest(id string, tier int, workspace string, at time.Duration) Request {
	arrived := epoch.Add(at)
	return Request{
		ID: id, Tier: tier, Class: fmt.Sprintf("class-%d", tier), Workspace: workspace, Weight: 1,
		Arrived: arrived, StartBy: arrived.Add(10 * time.Second), Deadline: arrived.Add(time.Minute), BodyBytes: 10,
	}
}

// startedIDs returns the IDs of the Start actions.
func startedIDs(actions []Action) []string {
	var ids []string
	for _, a := range actions {
		if s, ok := a.(Start); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

func refusals(actions []Action) []Refuse {
	var list []Refuse
	for _, a := range actions {
		if r, ok := a.(Refuse); ok {
			list = append(list, r)
		}
	}
	return list
}

// finishAll finishes the running request until nothing waits and returns the order
// of starts. The queue has one slot.
func finishAll(q *Queue, now time.Time, running string) []string {
	var order []string
	for {
		ids := startedIDs(q.Finish(now, running, Completed))
		if len(ids) == 0 {
			return order
		}
		order = append(order, ids...)
		running = ids[0]
	}
}

var _ = Describe("Queue", func() {
	It("starts by tier, then round robin over workspaces, then earliest deadline", func() {
		q := New(Config{Slots: 1, StartsPerAgedStart: -1, MaxPreemptions: -1})
		Expect(startedIDs(q.Enqueue(epoch, newRequest("first", 6, "w", 0)))).To(Equal([]string{"first"}))
		q.Enqueue(epoch, newRequest("low", 3, "a", 0))
		q.Enqueue(epoch, newRequest("a2", 1, "a", 2*time.Millisecond))
		q.Enqueue(epoch, newRequest("a1", 1, "a", time.Millisecond))
		q.Enqueue(epoch, newRequest("a3", 1, "a", 3*time.Millisecond))
		q.Enqueue(epoch, newRequest("b1", 1, "b", 4*time.Millisecond))
		Expect(finishAll(q, epoch, "first")).To(Equal([]string{"a1", "b1", "a2", "a3", "low"}))
		Expect(q.Waiting() + q.Running()).To(Equal(0))
	})

	It("sheds the lowest tier when full, also if the new request is of a higher one", func() {
		q := New(Config{Slots: 1, MaxWaiting: 2, MaxPreemptions: -1})
		q.Enqueue(epoch, newRequest("running", 3, "w", 0))
		q.Enqueue(epoch, newRequest("low", 5, "w", 0))
		q.Enqueue(epoch, newRequest("mid", 3, "w", 0))
		got := refusals(q.Enqueue(epoch, newRequest("top", 1, "w", 0)))
		Expect(got).To(HaveLen(1))
		Expect(got[0].ID).To(Equal("low"))
		Expect(got[0].Reason).To(Equal(Overloaded))
		Expect(got[0].Ran).To(BeFalse())
		Expect(got[0].RetryAfter).To(BeNumerically(">", 0))
		got = refusals(q.Enqueue(epoch, newRequest("late", 4, "w", 0)))
		Expect(got).To(HaveLen(1))
		Expect(got[0].ID).To(Equal("late"))
	})

	It("refuses at the end of patience, which NextTick returns", func() {
		q := New(Config{Slots: 1, MaxPreemptions: -1})
		q.Enqueue(epoch, newRequest("running", 1, "w", 0))
		q.Enqueue(epoch, newRequest("waits", 1, "w", 0))
		at, ok := q.NextTick(epoch)
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(epoch.Add(10 * time.Second)))
		Expect(q.Tick(at.Add(-time.Millisecond))).To(BeEmpty())
		Expect(refusals(q.Tick(at))[0].Reason).To(Equal(PatienceExceeded))
		_, ok = q.NextTick(at)
		Expect(ok).To(BeFalse())
	})

	It("refuses what cannot finish by its deadline, and lets such requests through again later", func() {
		q := New(Config{Slots: 1, MaxPreemptions: -1})
		q.Enqueue(epoch, newRequest("long", 1, "w", 0))
		short := newRequest("short", 1, "w", 0)
		short.Deadline = epoch.Add(7 * time.Second)
		q.Enqueue(epoch, short)
		got := q.Finish(epoch.Add(5*time.Second), "long", Completed)
		Expect(got).To(Equal([]Action{Refuse{ID: "short", Reason: DeadlineExceeded, RetryAfter: 5 * time.Second}}))
		now := epoch.Add(6 * time.Second)
		for tries := 1; ; tries++ {
			again := newRequest("again", 1, "w", 6*time.Second)
			again.Deadline = now.Add(4500 * time.Millisecond)
			if ids := startedIDs(q.Enqueue(now, again)); len(ids) == 1 {
				break
			}
			Expect(tries).To(BeNumerically("<", 10))
		}
	})

	It("removes a cancelled request and refuses all waiting ones for a drain", func() {
		q := New(Config{Slots: 1, MaxPreemptions: -1})
		q.Enqueue(epoch, newRequest("running", 1, "w", 0))
		q.Enqueue(epoch, newRequest("gone", 1, "w", 0))
		q.Enqueue(epoch, newRequest("waits", 2, "w", 0))
		Expect(refusals(q.Enqueue(epoch, newRequest("waits", 2, "w", 0)))[0].Reason).To(Equal(Duplicate))
		Expect(q.Cancel(epoch, "gone")).To(BeEmpty())
		got := refusals(q.RefuseWaiting(epoch, Draining))
		Expect(got).To(HaveLen(1))
		Expect(got[0].ID).To(Equal("waits"))
		Expect(got[0].Reason).To(Equal(Draining))
		Expect(q.Running()).To(Equal(1))
		Expect(q.Cancel(epoch, "running")).To(BeEmpty())
		Expect(q.Running() + q.Waiting()).To(Equal(0))
	})

	DescribeTable("adapts to about the slots of a service without tokens", func(slots int) {
		q := New(Config{Slots: 2, Adaptive: true})
		now := epoch
		var running []string
		for i := range 4000 {
			r := newRequest(fmt.Sprint("r", i), 2, "w", now.Sub(epoch))
			r.FirstTokenTarget = 0
			r.StartBy = r.StartBy.Add(time.Hour)
			running = append(running, startedIDs(q.Enqueue(now, r))...)
			if i < 200 {
				continue // build a backlog first
			}
			// The service takes 50 ms, and longer if requests queue inside it.
			now = now.Add(50 * time.Millisecond / time.Duration(min(slots, len(running))))
			finished := running[0]
			q.running[finished].startedAt = now.Add(-50 * time.Millisecond * time.Duration(max(len(running), slots)) / time.Duration(slots))
			running = append(running[1:], startedIDs(q.Finish(now, finished, Completed))...)
		}
		Expect(q.limiter.slots()).To(BeNumerically(">=", slots))
		Expect(q.limiter.slots()).To(BeNumerically("<=", 3*slots))
	},
		Entry("four", 4),
		Entry("sixteen", 16),
	)
})
