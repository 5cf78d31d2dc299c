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

var printPolicies = flag.Bool("policies", false, "print a comparison of the policies in the simulation")

var policyFilter = flag.String("only", "", "print only policies whose name contains this text")
var policySeed = flag.Uint64("seed", 1, "seed of the printed simulations")
var scenarioFilter = flag.String("scenario", "", "print only scenarios whose name contains this text")

// rallyDeskClasses returns the classes of the example workload, the desk of a rally.
// At scale 1 the rates suit twelve engines.
func rallyDeskClasses(scale float64) []classSpec {
	return []classSpec{
		{name: "stage", tier: 1, firstTokenTarget: 490 * time.Millisecond, betweenTokensTarget: 77 * time.Millisecond,
			patience: 5 * time.Second, deadline: 60 * time.Second, meanTokens: 60, ratePerSecond: 15 * scale},
		{name: "question", tier: 3, firstTokenTarget: 2 * time.Second, betweenTokensTarget: 100 * time.Millisecond,
			patience: 15 * time.Second, deadline: 120 * time.Second, meanTokens: 150, ratePerSecond: 10 * scale},
		{name: "summary", tier: 5, firstTokenTarget: 20 * time.Second, betweenTokensTarget: 200 * time.Millisecond,
			patience: 60 * time.Second, deadline: 300 * time.Second, meanTokens: 400, ratePerSecond: 3 * scale},
	}
}

func withBurst(classes []classSpec, name string, rate float64, from, until time.Duration) []classSpec {
	for i := range classes {
		if classes[i].name == name {
			classes[i].burstFrom, classes[i].burstUntil, classes[i].burstRatePerSecond = from, until, rate
		}
	}
	return classes
}

func baseScenario(name string) scenario {
	return scenario{name: name, engines: 12, routers: 4, duration: 60 * time.Second, loadLag: 2 * time.Second, classes: rallyDeskClasses(1)}
}

func scenarios() []scenario {
	steady := baseScenario("steady")
	burstLow := baseScenario("burst-low")
	burstLow.classes = withBurst(burstLow.classes, "summary", 30, 10*time.Second, 40*time.Second)
	burstTop := baseScenario("burst-top")
	burstTop.classes = withBurst(burstTop.classes, "stage", 150, 10*time.Second, 30*time.Second)
	burstFaults := baseScenario("burst-faults")
	burstFaults.classes = withBurst(burstFaults.classes, "summary", 30, 10*time.Second, 40*time.Second)
	burstFaults.slowdowns = map[int]float64{0: 4, 1: 4, 2: 4, 3: 4}
	burstFaults.crashedEngines = []int{4, 5}
	burstFaults.faultAt = 15 * time.Second
	prefixes := baseScenario("prefixes")
	prefixes.prefixCount = 40
	prefixes.classes = rallyDeskClasses(1.6)
	hotPrefix := prefixes
	hotPrefix.name = "hot-prefix"
	hotPrefix.classes = rallyDeskClasses(1.6)
	hotPrefix.hotPromptPercent = 70
	fewSlots := baseScenario("few-slots")
	fewSlots.maxBatch = 8
	fewSlots.classes = withBurst(rallyDeskClasses(0.6), "stage", 60, 10*time.Second, 30*time.Second)
	return []scenario{steady, burstLow, burstTop, burstFaults, prefixes, hotPrefix, fewSlots}
}

func baselinePolicy() policy {
	return policy{name: "baseline", roundRobin: true, singleTier: true,
		flow: flow.Config{Slots: 32, StartsPerAgedStart: -1, MaxPreemptions: -1}}
}

func fullPolicy() policy {
	return policy{name: "full", tryOtherEndpoints: true, allowBusyRefusal: true, flow: flow.Config{Slots: 32, Adaptive: true},
		routing: routing.Config{}}
}

// policies returns the policies to compare. Each one after the first two differs
// from fullPolicy in one setting.
func policies() []policy {
	with := func(name string, change func(*policy)) policy {
		p := fullPolicy()
		p.name = name
		change(&p)
		return p
	}
	return []policy{
		baselinePolicy(), fullPolicy(),
		with("no-preempt", func(p *policy) { p.flow.MaxPreemptions = -1 }),
		with("rigid", func(p *policy) { p.noPreemptAfterToken = true }),
		with("no-headroom", func(p *policy) { p.flow.HeadroomPercent = -1 }),
		with("no-move", func(p *policy) { p.allowBusyRefusal = false }),
		with("no-aged", func(p *policy) { p.flow.StartsPerAgedStart = -1 }),
		with("aged-1-in-5", func(p *policy) { p.flow.StartsPerAgedStart = 5 }),
		with("fixed-16", func(p *policy) { p.flow = flow.Config{Slots: 16} }),
		with("fixed-32", func(p *policy) { p.flow = flow.Config{Slots: 32} }),
		with("fixed-48", func(p *policy) { p.flow = flow.Config{Slots: 48} }),
		with("choices-1", func(p *policy) { p.routing.SampleSize = 1 }),
		with("choices-3", func(p *policy) { p.routing.SampleSize = 3 }),
		with("least-cost", func(p *policy) { p.routing.SampleSize = 1000 }),
		with("one-domain", func(p *policy) { p.routing.SpilloverThreshold = time.Hour }),
		with("no-affinity", func(p *policy) { p.routing.MaxAffinityBlocks = -1 }),
		with("no-events", func(p *policy) { p.noCacheEvents = true }),
	}
}

func percentile(d []time.Duration, p int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	slices.Sort(d)
	return d[min(len(d)*p/100, len(d)-1)]
}

// summary formats the results of a run on one line.
func (sim *simulation) summary() string {
	var b strings.Builder
	attained := 0
	for _, c := range sim.scenario.classes {
		t := sim.stats[c.name]
		attained += t.attained
		fmt.Fprintf(&b, " %s %5.1f%% fin %5.1f%% late %4.1f slow %4.1f p95 %5d |", c.name, 100*float64(t.attained)/float64(max(t.offered, 1)),
			100*float64(t.finished)/float64(max(t.offered, 1)), 100*float64(t.late)/float64(max(t.offered, 1)),
			100*float64(t.slow)/float64(max(t.offered, 1)), percentile(t.ttft, 95).Milliseconds())
	}
	fmt.Fprintf(&b, " attained/s %5.1f waste %4.1f%% load %.3f hits %.1f%%", float64(attained)/sim.scenario.duration.Seconds(),
		100*float64(sim.wastedTokens)/float64(max(sim.generatedTokens, 1)), float64(sim.dispatched)/float64(max(sim.arrivals, 1)),
		100*float64(sim.cacheHits)/float64(max(sim.prefixPrompts, 1)))
	return b.String()
}

// TestPolicies prints a comparison of the policies: go test -run TestPolicies -policies -v.
func TestPolicies(t *testing.T) {
	if !*printPolicies {
		t.Skip("prints a comparison only with -policies")
	}
	for _, s := range scenarios() {
		if !strings.Contains(s.name, *scenarioFilter) {
			continue
		}
		for _, p := range policies() {
			if !strings.Contains(p.name, *policyFilter) {
				continue
			}
			fmt.Printf("%-13s %-12s%s\n", s.name, p.name, newSimulation(s, p, *policySeed).run().summary())
		}
	}
}
