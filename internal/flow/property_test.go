package flow

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// machine drives a queue with random events and checks what each action may do.
type machine struct {
	t         *rapid.T
	q         *Queue
	now       time.Time
	waiting   map[string]Request
	running   map[string]Request
	ran       map[string]int // starts of a request
	starts    int
	outOfTurn int
	count     int
}

func newMachine(t *rapid.T) *machine {
	config := Config{
		Slots:      rapid.IntRange(1, 4).Draw(t, "slots"),
		MaxWaiting: rapid.IntRange(1, 8).Draw(t, "max waiting"),
		AgedOneIn:  rapid.IntRange(2, 5).Draw(t, "aged one in"),
		Adaptive:   rapid.Bool().Draw(t, "adaptive"),
	}
	return &machine{t: t, q: New(config), now: epoch, waiting: map[string]Request{}, running: map[string]Request{}, ran: map[string]int{}}
}

// check replays the actions on the machine's own record of the queue.
func (m *machine) check(actions []Action) {
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

func (m *machine) started(id string) {
	r, ok := m.waiting[id]
	if !ok {
		m.t.Fatalf("%s started without waiting", id)
	}
	delete(m.waiting, id)
	m.running[id] = r
	m.ran[id]++
	m.starts++
	for _, other := range m.waiting {
		if other.Tier < r.Tier {
			m.outOfTurn++
			break
		}
	}
	if m.outOfTurn*m.q.config.AgedOneIn > m.starts+m.q.config.AgedOneIn {
		m.t.Fatalf("%d of %d starts were out of the order of tiers, more than one in %d", m.outOfTurn, m.starts, m.q.config.AgedOneIn)
	}
}

func (m *machine) preempted(id string) {
	r, ok := m.running[id]
	if !ok || !r.Preemptible {
		m.t.Fatalf("%s was preempted: running %v, preemptible %v", id, ok, r.Preemptible)
	}
	for other, lower := range m.running {
		if lower.Tier > r.Tier && m.canPreempt(other) {
			m.t.Fatalf("%s of tier %d was preempted while %s of tier %d could be", id, r.Tier, other, lower.Tier)
		}
	}
	higher := false
	for _, other := range m.waiting {
		higher = higher || other.Tier < r.Tier
	}
	if !higher {
		m.t.Fatalf("%s was preempted for nothing of a higher tier", id)
	}
	delete(m.running, id)
	m.waiting[id] = r
}

func (m *machine) canPreempt(id string) bool {
	it := m.q.running[id]
	return it != nil && m.q.mayPreempt(m.now, it)
}

func (m *machine) refused(a Refuse) {
	r, ok := m.waiting[a.ID]
	if !ok {
		m.t.Fatalf("%s was refused without waiting", a.ID)
	}
	delete(m.waiting, a.ID)
	if a.Ran != (m.ran[a.ID] > 0) {
		m.t.Fatalf("%s was refused with ran %v after %d starts", a.ID, a.Ran, m.ran[a.ID])
	}
	if a.RetryAfter <= 0 {
		m.t.Fatalf("%s was not told when to come back", a.ID)
	}
	if a.Reason == Busy && !r.MayMove {
		m.t.Fatalf("%s was refused as busy but may not move", a.ID)
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
		m.t.Fatalf("%s lost patience early", a.ID)
	}
}

func (m *machine) arrive(t *rapid.T) {
	m.count++
	patience := time.Duration(rapid.IntRange(1, 60).Draw(t, "patience")) * 100 * time.Millisecond
	r := Request{
		ID: fmt.Sprint("r", m.count), Tier: rapid.IntRange(1, 6).Draw(t, "tier"),
		Workspace: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "workspace"),
		Share:     rapid.IntRange(1, 3).Draw(t, "share"), Arrived: m.now, StartBy: m.now.Add(patience),
		Deadline: m.now.Add(patience + 20*time.Second), Bytes: 1,
		Preemptible: rapid.Bool().Draw(t, "preemptible"), PreemptibleAfterToken: rapid.Bool().Draw(t, "after token"),
		MayMove:             rapid.IntRange(0, 3).Draw(t, "move") == 0,
		FirstTokenTarget:    patience / time.Duration(rapid.IntRange(1, 4).Draw(t, "target")),
		BetweenTokensTarget: 50 * time.Millisecond,
	}
	r.Class = fmt.Sprint("class-", r.Tier)
	m.waiting[r.ID] = r
	m.check(m.q.Arrive(m.now, r))
}

// some returns a running request, "" if there is none.
func (m *machine) some(t *rapid.T) string {
	var ids []string
	for i := 1; i <= m.count; i++ {
		if id := fmt.Sprint("r", i); m.running[id].ID != "" {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		return ""
	}
	return rapid.SampledFrom(ids).Draw(t, "which")
}

func (m *machine) finish(t *rapid.T) {
	id := m.some(t)
	delete(m.running, id)
	m.check(m.q.Finish(m.now, id, rapid.SampledFrom([]Outcome{Whole, Whole, Broken, Gone}).Draw(t, "outcome")))
}

func (m *machine) token(t *rapid.T) {
	id := m.some(t)
	m.check(m.q.FirstToken(m.now, id))
	m.check(m.q.Token(m.now, id, 1))
}

// pass lets time go by in steps that never jump over a due tick.
func (m *machine) pass(t *rapid.T) {
	till := m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
	for {
		at, ok := m.q.NextTick(m.now)
		if !ok || at.After(till) {
			break
		}
		if at.Equal(m.now) {
			at = at.Add(time.Nanosecond)
		}
		m.now = at
		m.check(m.q.Tick(m.now))
	}
	m.now = till
	m.check(m.q.Tick(m.now))
}

// TestQueueProperties: a shed or preemption never hits a request while
// something lower waits or runs preemptibly; starts out of the order of tiers
// stay within their share; everything ends within its patience; what started
// is never told as not run; an endpoint never idles while something waits.
func TestQueueProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		t.Repeat(map[string]func(*rapid.T){
			"arrive": m.arrive, "arrive too": m.arrive, "finish": m.finish, "token": m.token, "pass": m.pass,
		})
	})
}
