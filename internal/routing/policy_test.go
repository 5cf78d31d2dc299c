package routing_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

var comparePolicies = flag.Bool("policies", false, "print the comparison of policies in the model")

var onlyPolicy = flag.String("only", "", "part of the name of the policies to print")
var policySeed = flag.Uint64("seed", 1, "seed of the printed runs")
var onlyScenario = flag.String("scenario", "", "part of the name of the scenarios to print")

// mix is the classes of the rally desk; the rates are for twelve engines.
func mix(scale float64) []class {
	return []class{
		{name: "stage", tier: 1, first: 490 * time.Millisecond, between: 77 * time.Millisecond,
			patience: 5 * time.Second, deadline: 60 * time.Second, tokens: 60, rate: 15 * scale},
		{name: "question", tier: 3, first: 2 * time.Second, between: 100 * time.Millisecond,
			patience: 15 * time.Second, deadline: 120 * time.Second, tokens: 150, rate: 10 * scale},
		{name: "summary", tier: 5, first: 20 * time.Second, between: 200 * time.Millisecond,
			patience: 60 * time.Second, deadline: 300 * time.Second, tokens: 400, rate: 3 * scale},
	}
}

func burst(classes []class, name string, rate float64, from, till time.Duration) []class {
	for i := range classes {
		if classes[i].name == name {
			classes[i].burstFrom, classes[i].burstTill, classes[i].burstRate = from, till, rate
		}
	}
	return classes
}

func base(name string) scenario {
	return scenario{name: name, engines: 12, routers: 4, length: 60 * time.Second, lag: 2 * time.Second, classes: mix(1)}
}

func scenarios() []scenario {
	steady := base("steady")
	low := base("burst-low")
	low.classes = burst(low.classes, "summary", 30, 10*time.Second, 40*time.Second)
	top := base("burst-top")
	top.classes = burst(top.classes, "stage", 150, 10*time.Second, 30*time.Second)
	fault := base("burst-faults")
	fault.classes = burst(fault.classes, "summary", 30, 10*time.Second, 40*time.Second)
	fault.slow = map[int]float64{0: 4, 1: 4, 2: 4, 3: 4}
	fault.crash = []int{4, 5}
	fault.trouble = 15 * time.Second
	hot := base("prefixes")
	hot.prefixes = 40
	hot.classes = mix(1.6)
	one := hot
	one.name = "hot-prefix"
	one.classes = mix(1.6)
	one.hotPercent = 70
	few := base("few-slots")
	few.batch = 8
	few.classes = burst(mix(0.6), "stage", 60, 10*time.Second, 30*time.Second)
	return []scenario{steady, low, top, fault, hot, one, few}
}

func baseline() policy {
	return policy{name: "baseline", roundRobin: true, oneTier: true,
		flow: flow.Config{Slots: 32, AgedOneIn: -1, MaxPreemptions: -1}}
}

func full() policy {
	return policy{name: "full", walk: true, move: true, flow: flow.Config{Slots: 32, Adaptive: true},
		routing: routing.Config{}}
}

// policies are the ways weighed; each differs from full in one thing.
func policies() []policy {
	with := func(name string, change func(*policy)) policy {
		p := full()
		p.name = name
		change(&p)
		return p
	}
	return []policy{
		baseline(), full(),
		with("no-preempt", func(p *policy) { p.flow.MaxPreemptions = -1 }),
		with("rigid", func(p *policy) { p.rigid = true }),
		with("no-headroom", func(p *policy) { p.flow.HeadroomPercent = -1 }),
		with("no-move", func(p *policy) { p.move = false }),
		with("no-aged", func(p *policy) { p.flow.AgedOneIn = -1 }),
		with("aged-1-in-5", func(p *policy) { p.flow.AgedOneIn = 5 }),
		with("fixed-16", func(p *policy) { p.flow = flow.Config{Slots: 16} }),
		with("fixed-32", func(p *policy) { p.flow = flow.Config{Slots: 32} }),
		with("fixed-48", func(p *policy) { p.flow = flow.Config{Slots: 48} }),
		with("choices-1", func(p *policy) { p.routing.Choices = 1 }),
		with("choices-3", func(p *policy) { p.routing.Choices = 3 }),
		with("least-cost", func(p *policy) { p.routing.Choices = 1000 }),
		with("one-domain", func(p *policy) { p.routing.SpillCost = time.Hour }),
		with("no-affinity", func(p *policy) { p.routing.MaxPrefixes = -1 }),
		with("no-events", func(p *policy) { p.noEvents = true }),
	}
}

func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)*p/100, len(d)-1)]
}

// summary is one line of figures of a run.
func (w *world) summary() string {
	var b strings.Builder
	good := 0
	for _, c := range w.scenario.classes {
		t := w.tallies[c.name]
		good += t.attained
		fmt.Fprintf(&b, " %s %5.1f%% fin %5.1f%% late %4.1f slow %4.1f p95 %5d |", c.name, 100*float64(t.attained)/float64(max(t.offered, 1)),
			100*float64(t.finished)/float64(max(t.offered, 1)), 100*float64(t.late)/float64(max(t.offered, 1)),
			100*float64(t.slow)/float64(max(t.offered, 1)), percentile(t.ttft, 95).Milliseconds())
	}
	fmt.Fprintf(&b, " good/s %5.1f waste %4.1f%% load %.3f hits %.1f%%", float64(good)/w.scenario.length.Seconds(),
		100*float64(w.wasted)/float64(max(w.tokens, 1)), float64(w.dispatched)/float64(max(w.arrivals, 1)),
		100*float64(w.hits)/float64(max(w.prompts, 1)))
	return b.String()
}

// TestPolicies prints the comparison: go test -run TestPolicies -policies -v.
func TestPolicies(t *testing.T) {
	if !*comparePolicies {
		t.Skip("prints figures only")
	}
	for _, s := range scenarios() {
		if !strings.Contains(s.name, *onlyScenario) {
			continue
		}
		for _, p := range policies() {
			if !strings.Contains(p.name, *onlyPolicy) {
				continue
			}
			fmt.Printf("%-13s %-12s%s\n", s.name, p.name, newWorld(s, p, *policySeed).run().summary())
		}
	}
}
