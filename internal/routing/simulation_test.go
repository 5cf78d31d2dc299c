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

// Parameters of the simulated engine. Each step generates one token for every
// running request.
const (
	stepBase                = 20 * time.Millisecond
	stepPerRequest          = 1500 * time.Microsecond
	prefillPerRequest       = 30 * time.Millisecond // uncached prompt prefix
	cachedPrefillPerRequest = 6 * time.Millisecond  // cached prompt prefix
	defaultMaxBatch         = 48                    // sequences; further requests wait inside the engine
	cacheCapacityPrefixes   = 8
	cacheEventLossDivisor   = 5 // one in this many cache events is lost
	networkDelay            = 3 * time.Millisecond
)

var simulationStart = time.Unix(1_800_000_000, 0)

// classSpec describes the traffic and the targets of one request class.
type classSpec struct {
	name                                  string
	tier                                  int
	firstTokenTarget, betweenTokensTarget time.Duration
	patience, deadline                    time.Duration
	meanTokens                            float64 // mean answer length
	ratePerSecond                         float64
	burstFrom, burstUntil                 time.Duration
	burstRatePerSecond                    float64
}

// scenario is the workload and the faults of one simulation.
type scenario struct {
	name             string
	engines          int
	routers          int
	duration         time.Duration
	loadLag          time.Duration // age of the load reports when routers receive them
	classes          []classSpec
	maxBatch         int // sequences per engine step; 0 for defaultMaxBatch
	hotPromptPercent int // share of prompts that use the first prefix
	prefixCount      int // 0: prompts have no prefix
	// Faults that begin at faultAt.
	slowdowns      map[int]float64 // step time factor by engine index
	crashedEngines []int           // indexes of engines that fail every request
	faultAt        time.Duration
}

// policy is one combination of scheduling and routing settings to compare.
type policy struct {
	name                string
	flow                flow.Config
	routing             routing.Config
	roundRobin          bool
	singleTier          bool // no tiers: first in, first out
	tryOtherEndpoints   bool // after an overloaded or busy refusal
	noCacheEvents       bool // engines publish no cache events
	noPreemptAfterToken bool
	allowBusyRefusal    bool // agents may refuse a request as busy if it would start late
}

type classStats struct {
	offered, attained, finished, refused, late, slow int
	ttft                                             []time.Duration
	finishTimes                                      []time.Duration // since the start of the simulation
}

type job struct {
	class           *classSpec
	request         flow.Request
	router          int
	prefix          uint64
	length          int
	generated       int
	joined          bool
	everStarted     bool
	firstTokenAt    time.Time
	tried           []string
	lastRefusal     flow.Reason
	busy            []string
	mayRefuseAsBusy bool
	engineIndex     int
}

type simEngine struct {
	name          string
	queue         *flow.Queue
	running       []*job
	pending       []*job
	cache         []uint64
	cacheSequence uint64
	slowdown      float64
	crashed       bool
	stepping      bool
	timerAt       time.Time
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any     { old := *e; x := old[len(old)-1]; *e = old[:len(old)-1]; return x }

// simulation is one run in virtual time.
type simulation struct {
	scenario                 scenario
	policy                   policy
	rand                     *rand.Rand
	now                      time.Time
	events                   events
	seq                      int
	engines                  []*simEngine
	tables                   []*routing.Table
	nextRoundRobin           int
	jobs                     map[string]*job
	stats                    map[string]*classStats
	generatedTokens          int
	wastedTokens             int
	dispatched               int
	preempted                int
	prefixPrompts, cacheHits int
	arrivals                 int
	violations               []string
	// Hooks for property checks: a refusal reaches a caller; a queue returns actions.
	onRefused func(j *job, reason flow.Reason)
	onActions func(e *simEngine, actions []flow.Action)
}

func (sim *simulation) schedule(d time.Duration, run func()) {
	sim.seq++
	heap.Push(&sim.events, event{at: sim.now.Add(d), seq: sim.seq, run: run})
}

func newSimulation(s scenario, p policy, seed uint64) *simulation {
	sim := &simulation{
		scenario: s, policy: p, rand: rand.New(rand.NewPCG(seed, 1)), now: simulationStart,
		jobs: map[string]*job{}, stats: map[string]*classStats{},
	}
	for i := range s.engines {
		sim.engines = append(sim.engines, &simEngine{name: fmt.Sprintf("e%03d", i), queue: flow.New(p.flow), slowdown: 1})
	}
	for i := range s.routers {
		c := p.routing
		c.FailureDomain = fmt.Sprintf("d%d", i%3)
		sim.tables = append(sim.tables, routing.New(c))
	}
	for i := range s.classes {
		sim.stats[s.classes[i].name] = &classStats{}
		sim.scheduleArrivals(rand.New(rand.NewPCG(seed, uint64(i)+2)), &s.classes[i])
	}
	sim.publishDirectory()
	sim.schedule(s.faultAt, func() {
		for i, f := range s.slowdowns {
			sim.engines[i].slowdown = f
		}
		for _, i := range s.crashedEngines {
			sim.crash(sim.engines[i])
		}
	})
	return sim
}

func (sim *simulation) run() *simulation {
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		e.run()
	}
	for id, j := range sim.jobs {
		sim.violations = append(sim.violations, fmt.Sprintf("%s of %s never ended", id, j.class.name))
	}
	return sim
}

// publishDirectory sends the directory to every router once a second; it arrives
// after loadLag.
func (sim *simulation) publishDirectory() {
	configuration := ticket.NewConfiguration()
	configuration.EndpointGroups["g"] = ticket.EndpointGroup{Name: "g", Workspaces: []string{"*"}, Models: []string{"m"}}
	for _, c := range sim.scenario.classes {
		configuration.Classes[c.name] = ticket.Class{Name: c.name, BetweenTokensTarget: ticket.Duration(c.betweenTokensTarget)}
	}
	var list []*pb.Endpoint
	for i, e := range sim.engines {
		list = append(list, &pb.Endpoint{
			Name: e.name, Incarnation: 1, Group: "g", Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE,
			FailureDomain: fmt.Sprintf("d%d", i%3), State: pb.EndpointState_ENDPOINT_STATE_ACTIVE,
			Models: []string{"m"}, Load: e.queue.Load(sim.now),
		})
	}
	sim.schedule(sim.scenario.loadLag, func() {
		for _, t := range sim.tables {
			t.Update(sim.now, list, configuration)
		}
	})
	if sim.now.Sub(simulationStart) < sim.scenario.duration {
		sim.schedule(time.Second, sim.publishDirectory)
	}
}

// scheduleArrivals schedules the arrivals of one class.
func (sim *simulation) scheduleArrivals(r *rand.Rand, c *classSpec) {
	at := sim.scenario.loadLag + 10*time.Millisecond
	for n := 0; ; n++ {
		rate := c.ratePerSecond
		if at >= c.burstFrom && at < c.burstUntil {
			rate = c.burstRatePerSecond
		}
		at += time.Duration(r.ExpFloat64() / rate * float64(time.Second))
		if at > sim.scenario.duration {
			return
		}
		// Log-normal answer length: heavy-tailed, with mean c.meanTokens.
		const sigma = 0.9
		length := int(c.meanTokens*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)) + 1
		workspace := fmt.Sprintf("w%d", min(r.IntN(10), r.IntN(10)))
		prefix := uint64(0)
		if sim.scenario.prefixCount > 0 {
			prefix = 1 + uint64(min(r.IntN(sim.scenario.prefixCount), r.IntN(sim.scenario.prefixCount)))
		}
		if r.IntN(100) < sim.scenario.hotPromptPercent {
			prefix = 1
		}
		arrived := simulationStart.Add(at)
		j := &job{class: c, length: min(length, 4000), router: r.IntN(sim.scenario.routers), prefix: prefix, request: flow.Request{
			ID: fmt.Sprintf("%s-%d", c.name, n), Tier: c.tier, Class: c.name, Workspace: workspace, Weight: 1,
			Arrived: arrived, StartBy: arrived.Add(c.patience), Deadline: arrived.Add(c.deadline), BodyBytes: 1000,
			Preemptible: true, PreemptibleAfterToken: !sim.policy.noPreemptAfterToken, FirstTokenTarget: c.firstTokenTarget, BetweenTokensTarget: c.betweenTokensTarget,
		}}
		if sim.policy.singleTier {
			j.request.Tier = 1
			j.request.Workspace = "all"
			j.request.FirstTokenTarget = 0
			j.request.StartBy = arrived.Add(30 * time.Second)
		}
		sim.schedule(at, func() {
			sim.arrivals++
			sim.stats[c.name].offered++
			sim.jobs[j.request.ID] = j
			sim.route(j)
		})
	}
}

// route chooses an endpoint for a job in the way a router does.
func (sim *simulation) route(j *job) {
	t := sim.tables[j.router]
	if sim.policy.roundRobin {
		sim.nextRoundRobin++
		sim.dispatch(j, sim.nextRoundRobin%len(sim.engines))
		return
	}
	r := routing.Request{
		Workspace: j.request.Workspace, Target: "m", Kind: pb.EndpointKind_ENDPOINT_KIND_ENGINE,
		Class: j.class.name, Tier: j.request.Tier, TriedEndpoints: j.tried, BusyEndpoints: j.busy,
	}
	if j.prefix > 0 {
		r.Prefix = blockHashes(j.prefix)
	}
	d, err := t.Choose(sim.now, r, sim.rand)
	if err != nil {
		sim.refuseCaller(j, j.lastRefusal)
		return
	}
	j.mayRefuseAsBusy = d.MayRefuseAsBusy
	sim.dispatch(j, sim.engineIndex(d.Endpoint.GetName()))
}

func (sim *simulation) engineIndex(name string) int {
	return slices.IndexFunc(sim.engines, func(e *simEngine) bool { return e.name == name })
}

func (sim *simulation) dispatch(j *job, i int) {
	e := sim.engines[i]
	j.engineIndex = -1
	t := sim.tables[j.router]
	t.RequestStarted(sim.now, e.name, j.request.Tier)
	sim.schedule(networkDelay, func() {
		if e.crashed {
			sim.failAttempt(e, j)
			return
		}
		j.engineIndex = i
		j.request.MayRefuseAsBusy = sim.policy.allowBusyRefusal && j.mayRefuseAsBusy
		sim.applyActions(e, e.queue.Enqueue(sim.now, j.request))
	})
}

// failAttempt handles a refused connection or a broken answer.
func (sim *simulation) failAttempt(e *simEngine, j *job) {
	t := sim.tables[j.router]
	t.RequestFinished(sim.now, e.name, j.request.Tier, routing.Failed)
	sim.wastedTokens += j.generated
	j.generated, j.joined, j.firstTokenAt = 0, false, time.Time{}
	if !t.RetryBudget().TryTake(j.class.name) {
		sim.endJob(j, false)
		return
	}
	j.tried = append(j.tried, e.name)
	sim.route(j)
}

func (sim *simulation) crash(e *simEngine) {
	e.crashed = true
	var all []*job
	for _, j := range sim.jobs {
		if j.engineIndex >= 0 && sim.engines[j.engineIndex] == e {
			all = append(all, j)
		}
	}
	slices.SortFunc(all, func(a, b *job) int { return a.request.Arrived.Compare(b.request.Arrived) })
	e.running, e.pending = nil, nil
	e.queue = flow.New(sim.policy.flow)
	for _, j := range all {
		sim.failAttempt(e, j)
	}
}

// applyActions carries out the actions of an engine's queue and schedules its next
// tick.
func (sim *simulation) applyActions(e *simEngine, actions []flow.Action) {
	if sim.onActions != nil {
		sim.onActions(e, actions)
	}
	for _, a := range actions {
		switch a := a.(type) {
		case flow.Start:
			sim.dispatched++
			j := sim.jobs[a.ID]
			j.everStarted = true
			e.pending = append(e.pending, j)
			sim.ensureStepping(e)
		case flow.Preempt:
			sim.preempted++
			j := sim.jobs[a.ID]
			isPreempted := func(other *job) bool { return other == j }
			e.running = slices.DeleteFunc(e.running, isPreempted)
			e.pending = slices.DeleteFunc(e.pending, isPreempted)
			sim.wastedTokens += j.generated
			j.generated, j.joined, j.firstTokenAt = 0, false, time.Time{}
		case flow.Refuse:
			sim.handleRefusal(e, sim.jobs[a.ID], a)
		}
	}
	if at, ok := e.queue.NextTick(sim.now); ok && (e.timerAt.IsZero() || !at.Equal(e.timerAt)) {
		e.timerAt = at
		sim.schedule(at.Sub(sim.now), func() {
			if e.timerAt.Equal(at) {
				e.timerAt = time.Time{}
				sim.applyActions(e, e.queue.Tick(sim.now))
			}
		})
	}
}

func (sim *simulation) handleRefusal(e *simEngine, j *job, r flow.Refuse) {
	t := sim.tables[j.router]
	t.RequestFinished(sim.now, e.name, j.request.Tier, routing.Refused)
	t.RecordLoad(sim.now, e.name, 1, e.queue.Load(sim.now))
	if sim.policy.tryOtherEndpoints && (r.Reason == flow.Overloaded || r.Reason == flow.Busy) && !r.Ran {
		if r.Reason == flow.Busy {
			j.busy = append(j.busy, e.name)
		} else {
			j.tried = append(j.tried, e.name)
		}
		j.lastRefusal, j.engineIndex = r.Reason, -1
		sim.schedule(networkDelay, func() { sim.route(j) })
		return
	}
	sim.refuseCaller(j, r.Reason)
}

// refuseCaller reports a refusal to the caller and ends the job.
func (sim *simulation) refuseCaller(j *job, reason flow.Reason) {
	if sim.onRefused != nil {
		sim.onRefused(j, reason)
	}
	sim.endJob(j, false)
}

func (j *job) hasTried(name string) bool { return slices.Contains(j.tried, name) }

func (sim *simulation) endJob(j *job, completed bool) {
	delete(sim.jobs, j.request.ID)
	t := sim.stats[j.class.name]
	if !completed {
		t.refused++
		return
	}
	t.finished++
	t.finishTimes = append(t.finishTimes, sim.now.Sub(simulationStart))
	ttft := j.firstTokenAt.Sub(j.request.Arrived)
	t.ttft = append(t.ttft, ttft)
	between := time.Duration(0)
	if j.length > 1 {
		between = sim.now.Sub(j.firstTokenAt) / time.Duration(j.length-1)
	}
	switch {
	case ttft > j.class.firstTokenTarget:
		t.late++
	case between > j.class.betweenTokensTarget:
		t.slow++
	default:
		t.attained++
	}
}
