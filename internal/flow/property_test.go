package flow

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// queueModel drives a queue with random events and checks its actions against its
// own record of the requests.
type queueModel struct {
	t           *rapid.T
	q           *Queue
	now         time.Time
	waiting     map[string]Request
	running     map[string]Request
	startCounts map[string]int // number of starts by ID
	starts      int
	outOfOrder  int
	arrivals    int
}

func newQueueModel(t *rapid.T) *queueModel {
	config := Config{
		Slots:              rapid.IntRange(1, 4).Draw(t, "slots"),
		MaxWaiting:         rapid.IntRange(1, 8).Draw(t, "max waiting"),
		StartsPerAgedStart: rapid.IntRange(2, 5).Draw(t, "starts per aged start"),
		Adaptive:           rapid.Bool().Draw(t, "adaptive"),
	}
	return &queueModel{t: t, q: New(config), now: epoch, waiting: map[string]Request{}, running: map[string]Request{}, startCounts: map[string]int{}}
}

// checkActions applies the actions to the record of the model and checks each.
func (m *queueModel) checkActions(actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Start:
			m.started(a.ID)
		case Preempt:
			m.preempted(a.ID)
		case Refuse:
			m.refused(a)
		}
	}
	if m.q.Waiting() != len(m.waiting) || m.q.Running() != len(m.running) {
		m.t.Fatalf("queue has %d waiting and %d running, actions say %d and %d", m.q.Waiting(), m.q.Running(), len(m.waiting), len(m.running))
	}
	for id, r := range m.waiting {
		if !r.StartBy.After(m.now) {
			m.t.Fatalf("%s waits past its patience", id)
		}
	}
	if len(m.running) == 0 && len(m.waiting) > 0 {
		m.t.Fatalf("%d wait at an idle endpoint", len(m.waiting))
	}
}

func (m *queueModel) started(id string) {
	r, ok := m.waiting[id]
	if !ok {
		m.t.Fatalf("%s started without waiting", id)
	}
	delete(m.waiting, id)
	m.running[id] = r
	m.startCounts[id]++
	m.starts++
	for _, other := range m.waiting {
		if other.Tier < r.Tier {
			m.outOfOrder++
			break
		}
	}
	if m.outOfOrder*m.q.config.StartsPerAgedStart > m.starts+m.q.config.StartsPerAgedStart {
		m.t.Fatalf("%d of %d starts were out of tier order, more than one in %d", m.outOfOrder, m.starts, m.q.config.StartsPerAgedStart)
	}
}

func (m *queueModel) preempted(id string) {
	r, ok := m.running[id]
	if !ok || !r.Preemptible {
		m.t.Fatalf("%s was preempted: running %v, preemptible %v", id, ok, r.Preemptible)
	}
	for other, lower := range m.running {
		if lower.Tier > r.Tier && m.canPreempt(other) {
			m.t.Fatalf("%s of tier %d was preempted while %s of tier %d could be", id, r.Tier, other, lower.Tier)
		}
	}
	higherWaits := false
	for _, other := range m.waiting {
		higherWaits = higherWaits || other.Tier < r.Tier
	}
	if !higherWaits {
		m.t.Fatalf("%s was preempted though no request of a higher tier waits", id)
	}
	delete(m.running, id)
	m.waiting[id] = r
}

func (m *queueModel) canPreempt(id string) bool {
	it := m.q.running[id]
	return it != nil && m.q.mayPreempt(m.now, it)
}

func (m *queueModel) refused(a Refuse) {
	r, ok := m.waiting[a.ID]
	if !ok {
		m.t.Fatalf("%s was refused without waiting", a.ID)
	}
	delete(m.waiting, a.ID)
	if a.Ran != (m.startCounts[a.ID] > 0) {
		m.t.Fatalf("%s was refused with ran %v after %d starts", a.ID, a.Ran, m.startCounts[a.ID])
	}
	if a.RetryAfter <= 0 {
		m.t.Fatalf("%s was refused without a retry time", a.ID)
	}
	if a.Reason == Busy && !r.MayRefuseAsBusy {
		m.t.Fatalf("%s was refused as busy though that is not allowed", a.ID)
	}
	if a.Reason == Busy || a.Reason == DeadlineExceeded {
		return
	}
	for id, lower := range m.running {
		if lower.Tier > r.Tier && m.canPreempt(id) {
			m.t.Fatalf("%s of tier %d was refused (%s) while %s of tier %d ran preemptibly", a.ID, r.Tier, a.Reason, id, lower.Tier)
		}
	}
	for id, lower := range m.waiting {
		if lower.Tier > r.Tier && a.Reason == Overloaded {
			m.t.Fatalf("%s of tier %d was shed while %s of tier %d waited", a.ID, r.Tier, id, lower.Tier)
		}
	}
	if a.Reason == PatienceExceeded && r.StartBy.After(m.now) {
		m.t.Fatalf("%s was refused before the end of its patience", a.ID)
	}
}

func (m *queueModel) arrive(t *rapid.T) {
	m.arrivals++
	patience := time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * 100 * time.Millisecond
	r := Request{
		ID: fmt.Sprint("r", m.arrivals), Tier: rapid.IntRange(1, 6).Draw(t, "tier"),
		Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Weight:    rapid.IntRange(1, 3).Draw(t, "weight"), Arrived: m.now, StartBy: m.now.Add(patience),
		Deadline: m.now.Add(patience + 20*time.Second), BodyBytes: 1,
		Preemptible: rapid.Bool().Draw(t, "preemptible"), PreemptibleAfterToken: rapid.Bool().Draw(t, "after token"),
		MayRefuseAsBusy:     rapid.IntRange(0, 3).Draw(t, "may refuse as busy") == 0,
		FirstTokenTarget:    patience / time.Duration(rapid.IntRange(1, 4).Draw(t, "target")),
		BetweenTokensTarget: 50 * time.Millisecond,
	}
	r.Class = fmt.Sprint("class-", r.Tier)
	m.waiting[r.ID] = r
	m.checkActions(m.q.Enqueue(m.now, r))
}

// drawRunning draws the ID of a running request, "" if there is none.
func (m *queueModel) drawRunning(t *rapid.T) string {
	var ids []string
	for i := 1; i <= m.arrivals; i++ {
		if id := fmt.Sprint("r", i); m.running[id].ID != "" {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "which")
}

func (m *queueModel) finish(t *rapid.T) {
	id := m.drawRunning(t)
	delete(m.running, id)
	m.checkActions(m.q.Finish(m.now, id, rapid.SampledFrom([]Outcome{Completed, Completed, EndpointFailed, Cancelled}).Draw(t, "outcome")))
}

func (m *queueModel) token(t *rapid.T) {
	id := m.drawRunning(t)
	m.checkActions(m.q.RecordFirstToken(m.now, id))
	m.checkActions(m.q.RecordTokens(m.now, id, 1))
}

// advance moves the time forward and calls Tick whenever NextTick asks for it.
func (m *queueModel) advance(t *rapid.T) {
	end := m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	for {
		at, ok := m.q.NextTick(m.now)
		if !ok || at.After(end) {
			break
		}
		if at.Equal(m.now) {
			at = at.Add(time.Nanosecond)
		}
		m.now = at
		m.checkActions(m.q.Tick(m.now))
	}
	m.now = end
	m.checkActions(m.q.Tick(m.now))
}

// TestQueueProperties checks under random events that no request is shed or
// preempted while one of a lower tier waits or runs preemptibly, that starts out of
// tier order stay within their share, that no request waits past its patience, that
// one that started is never refused as not run, and that the endpoint is never idle
// while a request waits.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newQueueModel(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive too": m.arrive, "finish": m.finish, "token": m.token, "pass": m.advance,
		})
	})
}
