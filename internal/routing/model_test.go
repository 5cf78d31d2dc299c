package routing_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// The engine of the model: a step makes one token for each running request.
const (
	stepBase    = 20 * time.Millisecond
	stepEach    = 1500 * time.Microsecond // per running request
	prefillEach = 30 * time.Millisecond   // per request that joins
	cachedEach  = 6 * time.Millisecond    // the same with its prefix in the cache
	engineBatch = 48                      // further requests wait inside the engine
	cacheSize   = 8                       // prefixes that an engine keeps
	eventsLost  = 5                       // one cache event in so many is lost
	hop         = 3 * time.Millisecond
)

var modelEpoch = time.Unix(1_800_000_000, 0)

// class is one kind of request of the model.
type class struct {
	name                 string
	tier                 int
	first, between       time.Duration
	patience, deadline   time.Duration
	tokens               float64 // mean length of an answer
	rate                 float64 // per second
	burstFrom, burstTill time.Duration
	burstRate            float64
}

// scenario is a run of the model.
type scenario struct {
	name       string
	engines    int
	routers    int
	length     time.Duration
	lag        time.Duration // of the load digest
	classes    []class
	batch      int // sequences that an engine steps together, 0 for engineBatch
	hotPercent int // of the prompts that share the first prefix
	prefixes   int // distinct prompt prefixes, 0 for none
	// trouble changes engines in the course of the run.
	slow    map[int]float64 // engine to factor, from troubleAt on
	crash   []int           // engines that refuse everything from troubleAt on
	trouble time.Duration
}

// policy is what is compared.
type policy struct {
	name       string
	flow       flow.Config
	routing    routing.Config
	roundRobin bool
	oneTier    bool // no tiers, first in first out
	walk       bool // try other candidates after a refusal
	noEvents   bool // engines publish no cache events
	rigid      bool // nothing is preempted after its first token
	move       bool // agents may bounce a request that would start late
}

type tally struct {
	offered, attained, finished, refused, late, slow int
	ttft                                             []time.Duration
	ends                                             []time.Duration // since the start of the run
}

type job struct {
	class       *class
	request     flow.Request
	router      int
	prefix      uint64
	length      int
	made        int
	joined      bool
	everStarted bool
	first       time.Time
	tried       []string
	refused     flow.Reason
	busy        []string
	mayMove     bool
	at          int
}

type engineModel struct {
	name          string
	queue         *flow.Queue
	running       []*job
	joining       []*job
	cache         []uint64
	cacheSequence uint64
	factor        float64
	dead          bool
	ticking       bool
	wakeAt        time.Time
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// world is one run in virtual time.
type world struct {
	scenario      scenario
	policy        policy
	rand          *rand.Rand
	now           time.Time
	events        events
	seq           int
	engines       []*engineModel
	tables        []*routing.Table
	turn          int
	jobs          map[string]*job
	tallies       map[string]*tally
	tokens        int
	wasted        int
	dispatched    int
	preempted     int
	prompts, hits int
	arrivals      int
	violations    []string
	// onActions sees the actions of an engine's queue, for properties.
	onRefused func(j *job, reason flow.Reason)
	onActions func(e *engineModel, actions []flow.Action)
}

func (w *world) in(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, event{at: w.now.Add(d), seq: w.seq, do: do})
}

func newWorld(s scenario, p policy, seed uint64) *world {
	w := &world{
		scenario: s, policy: p, rand: rand.New(rand.NewPCG(seed, 1)), now: modelEpoch,
		jobs: map[string]*job{}, tallies: map[string]*tally{},
	}
	for i := range s.engines {
		w.engines = append(w.engines, &engineModel{name: fmt.Sprintf("e%03d", i), queue: flow.New(p.flow), factor: 1})
	}
	for i := range s.routers {
		c := p.routing
		c.FailureDomain = fmt.Sprintf("d%d", i%3)
		w.tables = append(w.tables, routing.New(c))
	}
	for i := range s.classes {
		w.tallies[s.classes[i].name] = &tally{}
		w.arrive(rand.New(rand.NewPCG(seed, uint64(i)+2)), &s.classes[i])
	}
	w.digest()
	w.in(s.trouble, func() {
		for i, f := range s.slow {
			w.engines[i].factor = f
		}
		for _, i := range s.crash {
			w.crash(w.engines[i])
		}
	})
	return w
}

func (w *world) run() *world {
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	for id, j := range w.jobs {
		w.violations = append(w.violations, fmt.Sprintf("%s of %s never ended", id, j.class.name))
	}
	return w
}

// digest gives every router the directory, lag later, once a second.
func (w *world) digest() {
	state := ticket.NewState()
	state.EndpointGroups["g"] = ticket.EndpointGroup{Name: "g", Workspaces: []string{"*"}, Models: []string{"m"}}
	for _, c := range w.scenario.classes {
		state.Classes[c.name] = ticket.Class{Name: c.name, BetweenTokensTarget: ticket.Duration(c.between)}
	}
	var list []*pb.Endpoint
	for i, e := range w.engines {
		list = append(list, &pb.Endpoint{
			Name: e.name, Incarnation: 1, Group: "g", Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE,
			FailureDomain: fmt.Sprintf("d%d", i%3), State: pb.EndpointState_ENDPOINT_STATE_ACTIVE,
			Models: []string{"m"}, Load: e.queue.Load(w.now),
		})
	}
	w.in(w.scenario.lag, func() {
		for _, t := range w.tables {
			t.Update(w.now, list, state)
		}
	})
	if w.now.Sub(modelEpoch) < w.scenario.length {
		w.in(time.Second, w.digest)
	}
}

// arrive schedules the arrivals of one class.
func (w *world) arrive(r *rand.Rand, c *class) {
	at := w.scenario.lag + 10*time.Millisecond
	for n := 0; ; n++ {
		rate := c.rate
		if at >= c.burstFrom && at < c.burstTill {
			rate = c.burstRate
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at > w.scenario.length {
			return
		}
		// A log-normal law with a heavy tail and the mean of the class.
		const sigma = 0.9
		length := int(c.tokens*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)) + 1
		workspace := fmt.Sprintf("w%d", min(r.IntN(10), r.IntN(10)))
		prefix := uint64(0)
		if w.scenario.prefixes > 0 {
			prefix = 1 + uint64(min(r.IntN(w.scenario.prefixes), r.IntN(w.scenario.prefixes)))
		}
		if r.IntN(100) < w.scenario.hotPercent {
			prefix = 1
		}
		arrived := modelEpoch.Add(at)
		j := &job{class: c, length: min(length, 4000), router: r.IntN(w.scenario.routers), prefix: prefix, request: flow.Request{
			ID: fmt.Sprintf("%s-%d", c.name, n), Tier: c.tier, Class: c.name, Workspace: workspace, Share: 1,
			Arrived: arrived, StartBy: arrived.Add(c.patience), Deadline: arrived.Add(c.deadline), Bytes: 1000,
			Preemptible: true, PreemptibleAfterToken: !w.policy.rigid, FirstTokenTarget: c.first, BetweenTokensTarget: c.between,
		}}
		if w.policy.oneTier {
			j.request.Tier = 1
			j.request.Workspace = "all"
			j.request.FirstTokenTarget = 0
			j.request.StartBy = arrived.Add(30 * time.Second)
		}
		w.in(at, func() {
			w.arrivals++
			w.tallies[c.name].offered++
			w.jobs[j.request.ID] = j
			w.route(j)
		})
	}
}

// route sends a job to an endpoint, as a router would.
func (w *world) route(j *job) {
	t := w.tables[j.router]
	if w.policy.roundRobin {
		w.turn++
		w.dispatch(j, w.turn%len(w.engines))
		return
	}
	r := routing.Request{
		Workspace: j.request.Workspace, Target: "m", Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE,
		Class: j.class.name, Tier: j.request.Tier, Tried: j.tried, Busy: j.busy,
	}
	if j.prefix > 0 {
		r.Prefix = blocks(j.prefix)
	}
	d, err := t.Choose(w.now, r, w.rand)
	if err != nil {
		w.tell(j, j.refused)
		return
	}
	j.mayMove = d.MayMove
	w.dispatch(j, w.index(d.Endpoint.GetName()))
}

func (w *world) index(name string) int {
	return slices.IndexFunc(w.engines, func(e *engineModel) bool { return e.name == name })
}

func (w *world) dispatch(j *job, i int) {
	e := w.engines[i]
	j.at = -1
	t := w.tables[j.router]
	t.Started(w.now, e.name, j.request.Tier)
	w.in(hop, func() {
		if e.dead {
			w.failed(e, j)
			return
		}
		j.at = i
		j.request.MayMove = w.policy.move && j.mayMove
		w.act(e, e.queue.Arrive(w.now, j.request))
	})
}

// failed is a refused connection or a broken answer.
func (w *world) failed(e *engineModel, j *job) {
	t := w.tables[j.router]
	t.Finished(w.now, e.name, j.request.Tier, routing.Failed)
	w.wasted += j.made
	j.made, j.joined, j.first = 0, false, time.Time{}
	if !t.Budget().Take(j.class.name) {
		w.end(j, false)
		return
	}
	j.tried = append(j.tried, e.name)
	w.route(j)
}

func (w *world) crash(e *engineModel) {
	e.dead = true
	var all []*job
	for _, j := range w.jobs {
		if j.at >= 0 && w.engines[j.at] == e {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *job) int { return a.request.Arrived.Compare(b.request.Arrived) })
	e.running, e.joining = nil, nil
	e.queue = flow.New(w.policy.flow)
	for _, j := range all {
		w.failed(e, j)
	}
}

// act carries out the actions of an engine's queue and keeps its timer.
func (w *world) act(e *engineModel, actions []flow.Action) {
	if w.onActions != nil {
		w.onActions(e, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case flow.Start:
			w.dispatched++
			j := w.jobs[a.ID]
			j.everStarted = true
			e.joining = append(e.joining, j)
			w.tick(e)
		case flow.Preempt:
			w.preempted++
			j := w.jobs[a.ID]
			drop := func(other *job) bool { return other == j }
			e.running = slices.DeleteFunc(e.running, drop)
			e.joining = slices.DeleteFunc(e.joining, drop)
			w.wasted += j.made
			j.made, j.joined, j.first = 0, false, time.Time{}
		case flow.Refuse:
			w.refused(e, w.jobs[a.ID], a)
		}
	}
	if at, ok := e.queue.NextTick(w.now); ok && (e.wakeAt.IsZero() || !at.Equal(e.wakeAt)) {
		e.wakeAt = at
		w.in(at.Sub(w.now), func() {
			if e.wakeAt.Equal(at) {
				e.wakeAt = time.Time{}
				w.act(e, e.queue.Tick(w.now))
			}
		})
	}
}

func (w *world) refused(e *engineModel, j *job, r flow.Refuse) {
	t := w.tables[j.router]
	t.Finished(w.now, e.name, j.request.Tier, routing.Refused)
	t.Observe(w.now, e.name, 1, e.queue.Load(w.now))
	if w.policy.walk && (r.Reason == flow.Overloaded || r.Reason == flow.Busy) && !r.Ran {
		if r.Reason == flow.Busy {
			j.busy = append(j.busy, e.name)
		} else {
			j.tried = append(j.tried, e.name)
		}
		j.refused, j.at = r.Reason, -1
		w.in(hop, func() { w.route(j) })
		return
	}
	w.tell(j, r.Reason)
}

// tell passes a refusal to the caller.
func (w *world) tell(j *job, reason flow.Reason) {
	if w.onRefused != nil {
		w.onRefused(j, reason)
	}
	w.end(j, false)
}

func (j *job) hasTried(name string) bool { return slices.Contains(j.tried, name) }

func (w *world) end(j *job, whole bool) {
	delete(w.jobs, j.request.ID)
	t := w.tallies[j.class.name]
	if !whole {
		t.refused++
		return
	}
	t.finished++
	t.ends = append(t.ends, w.now.Sub(modelEpoch))
	ttft := j.first.Sub(j.request.Arrived)
	t.ttft = append(t.ttft, ttft)
	between := time.Duration(0)
	if j.length > 1 {
		between = w.now.Sub(j.first) / time.Duration(j.length-1)
	}
	switch {
	case ttft > j.class.first:
		t.late++
	case between > j.class.between:
		t.slow++
	default:
		t.attained++
	}
}
