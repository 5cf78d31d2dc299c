package flow

import (
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var epoch = time.Unix(1_800_000_000, 0)

// ask builds a request that arrives at epoch+at with a patience of ten seconds.
func ask(id string, tier int, workspace string, at time.Duration) Request {
	arrived := epoch.Add(at)
	return Request{
		ID: id, Tier: tier, Class: fmt.Sprintf("class-%d", tier), Workspace: workspace, Share: 1,
		Arrived: arrived, StartBy: arrived.Add(10 * time.Second), Deadline: arrived.Add(time.Minute), Bytes: 10,
	}
}

// starts are the IDs of the Start actions.
func starts(actions []Action) []string {
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

// drainOrder finishes what runs until nothing waits and returns the order of starts.
func drainOrder(q *Queue, now time.Time, running string) []string {
	var order []string
	for {
		ids := starts(q.Finish(now, running, Whole))
		if len(ids) == 0 {
			return order
		}
		order = append(order, ids...)
		running = ids[0]
	}
}

var _ = Describe("Queue", func() {
	It("starts by tier, then workspace in turn, then earliest deadline", func() {
		q := New(Config{Slots: 1, AgedOneIn: -1, MaxPreemptions: -1})
		Expect(starts(q.Arrive(epoch, ask("first", 6, "w", 0)))).To(Equal([]string{"first"}))
		q.Arrive(epoch, ask("low", 3, "a", 0))
		q.Arrive(epoch, ask("a2", 1, "a", 2*time.Millisecond))
		q.Arrive(epoch, ask("a1", 1, "a", time.Millisecond))
		q.Arrive(epoch, ask("a3", 1, "a", 3*time.Millisecond))
		q.Arrive(epoch, ask("b1", 1, "b", 4*time.Millisecond))
		Expect(drainOrder(q, epoch, "first")).To(Equal([]string{"a1", "b1", "a2", "a3", "low"}))
		Expect(q.Waiting() + q.Running()).To(Equal(0))
	})

	It("sheds the lowest tier at its bound, also when a higher one arrives", func() {
		q := New(Config{Slots: 1, MaxWaiting: 2, MaxPreemptions: -1})
		q.Arrive(epoch, ask("running", 3, "w", 0))
		q.Arrive(epoch, ask("low", 5, "w", 0))
		q.Arrive(epoch, ask("mid", 3, "w", 0))
		got := refusals(q.Arrive(epoch, ask("top", 1, "w", 0)))
		Expect(got).To(HaveLen(1))
		Expect(got[0].ID).To(Equal("low"))
		Expect(got[0].Reason).To(Equal(Overloaded))
		Expect(got[0].Ran).To(BeFalse())
		Expect(got[0].RetryAfter).To(BeNumerically(">", 0))
		got = refusals(q.Arrive(epoch, ask("late", 4, "w", 0)))
		Expect(got).To(HaveLen(1))
		Expect(got[0].ID).To(Equal("late"))
	})

	It("refuses at the end of patience and asks to be woken for it", func() {
		q := New(Config{Slots: 1, MaxPreemptions: -1})
		q.Arrive(epoch, ask("running", 1, "w", 0))
		q.Arrive(epoch, ask("waits", 1, "w", 0))
		at, ok := q.NextTick(epoch)
		Expect(ok).To(BeTrue())
		Expect(at).To(Equal(epoch.Add(10 * time.Second)))
		Expect(q.Tick(at.Add(-time.Millisecond))).To(BeEmpty())
		Expect(refusals(q.Tick(at))[0].Reason).To(Equal(PatienceExceeded))
		_, ok = q.NextTick(at)
		Expect(ok).To(BeFalse())
	})
})
