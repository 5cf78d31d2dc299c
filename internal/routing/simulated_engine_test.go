package routing_test

import (
	"slices"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// ensureStepping starts the engine's step loop unless it is already running.
func (sim *simulation) ensureStepping(e *simEngine) {
	if e.stepping {
		return
	}
	e.stepping = true
	sim.startStep(e)
}

func (sim *simulation) startStep(e *simEngine) {
	stepTime := stepBase
	for len(e.pending) > 0 && len(e.running) < sim.maxBatch() {
		j := e.pending[0]
		e.pending = e.pending[1:]
		e.running = append(e.running, j)
		stepTime += sim.prefill(e, j.prefix)
	}
	if len(e.running) == 0 {
		e.stepping = false
		return
	}
	stepTime += time.Duration(len(e.running)) * stepPerRequest
	sim.schedule(time.Duration(float64(stepTime)*e.slowdown), func() { sim.finishStep(e) })
}

func (sim *simulation) maxBatch() int {
	if sim.scenario.maxBatch > 0 {
		return sim.scenario.maxBatch
	}
	return defaultMaxBatch
}

// prefill returns the time to prefill a prompt and caches its prefix.
func (sim *simulation) prefill(e *simEngine, prefix uint64) time.Duration {
	if prefix == 0 {
		return prefillPerRequest
	}
	i := slices.Index(e.cache, prefix)
	sim.prefixPrompts++
	if i >= 0 {
		sim.cacheHits++
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return cachedPrefillPerRequest
	}
	e.cache = append(e.cache, prefix)
	event := routing.CacheEvent{Endpoint: e.name, Incarnation: 1, Sequence: e.cacheSequence + 1, Stored: blockHashes(prefix)}
	e.cacheSequence++
	if len(e.cache) > cacheCapacityPrefixes {
		event.Removed = blockHashes(e.cache[0])
		e.cache = e.cache[1:]
	}
	if !sim.policy.noCacheEvents && sim.rand.IntN(cacheEventLossDivisor) > 0 {
		sim.schedule(sim.scenario.loadLag, func() {
			for _, t := range sim.tables {
				t.ApplyCacheEvent(event)
			}
		})
	}
	return prefillPerRequest
}

// blockHashes returns the block hashes of a prefix.
func blockHashes(prefix uint64) []uint64 {
	return []uint64{prefix, prefix << 8, prefix << 16, prefix << 24}
}

func (sim *simulation) finishStep(e *simEngine) {
	for _, j := range slices.Clone(e.running) {
		if !slices.Contains(e.running, j) {
			continue // preempted in this step
		}
		j.generated++
		sim.generatedTokens++
		if j.generated == 1 {
			j.firstTokenAt = sim.now
			sim.applyActions(e, e.queue.RecordFirstToken(sim.now, j.request.ID))
			sim.tables[j.router].RecordLoad(sim.now, e.name, 1, e.queue.Load(sim.now))
		} else {
			sim.applyActions(e, e.queue.RecordTokens(sim.now, j.request.ID, 1))
		}
		if j.generated < j.length || !slices.Contains(e.running, j) {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
		t := sim.tables[j.router]
		t.RequestFinished(sim.now, e.name, j.request.Tier, routing.Succeeded)
		t.RetryBudget().RecordSuccess(j.class.name)
		sim.endJob(j, true)
		sim.applyActions(e, e.queue.Finish(sim.now, j.request.ID, flow.Completed))
	}
	sim.startStep(e)
}
