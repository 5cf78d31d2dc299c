package routing_test

import (
	"slices"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/routing"
)

// tick runs the steps of an engine while it has work.
func (w *world) tick(e *engineModel) {
	if e.ticking {
		return
	}
	e.ticking = true
	w.step(e)
}

func (w *world) step(e *engineModel) {
	took := stepBase
	for len(e.joining) > 0 && len(e.running) < w.batch() {
		j := e.joining[0]
		e.joining = e.joining[1:]
		e.running = append(e.running, j)
		took += w.prefill(e, j.prefix)
	}
	if len(e.running) == 0 {
		e.ticking = false
		return
	}
	took += time.Duration(len(e.running)) * stepEach
	w.in(time.Duration(float64(took)*e.factor), func() { w.stepped(e) })
}

func (w *world) batch() int {
	if w.scenario.batch > 0 {
		return w.scenario.batch
	}
	return engineBatch
}

// prefill is the time to read a prompt, and keeps its prefix.
func (w *world) prefill(e *engineModel, prefix uint64) time.Duration {
	if prefix == 0 {
		return prefillEach
	}
	i := slices.Index(e.cache, prefix)
	w.prompts++
	if i >= 0 {
		w.hits++
		e.cache = append(slices.Delete(e.cache, i, i+1), prefix)
		return cachedEach
	}
	e.cache = append(e.cache, prefix)
	event := routing.CacheEvent{Endpoint: e.name, Incarnation: 1, Sequence: e.cacheSequence + 1, Stored: blocks(prefix)}
	e.cacheSequence++
	if len(e.cache) > cacheSize {
		event.Removed = blocks(e.cache[0])
		e.cache = e.cache[1:]
	}
	if !w.policy.noEvents && w.rand.IntN(eventsLost) > 0 {
		w.in(w.scenario.lag, func() {
			for _, t := range w.tables {
				t.Cached(event)
			}
		})
	}
	return prefillEach
}

// blocks are the hashes of the blocks of a prefix.
func blocks(prefix uint64) []uint64 {
	return []uint64{prefix, prefix << 8, prefix << 16, prefix << 24}
}

func (w *world) stepped(e *engineModel) {
	for _, j := range slices.Clone(e.running) {
		if !slices.Contains(e.running, j) {
			continue // preempted in this step
		}
		j.made++
		w.tokens++
		if j.made == 1 {
			j.first = w.now
			w.act(e, e.queue.FirstToken(w.now, j.request.ID))
			w.tables[j.router].Observe(w.now, e.name, 1, e.queue.Load(w.now))
		} else {
			w.act(e, e.queue.Token(w.now, j.request.ID, 1))
		}
		if j.made < j.length || !slices.Contains(e.running, j) {
			continue
		}
		e.running = slices.DeleteFunc(e.running, func(other *job) bool { return other == j })
		t := w.tables[j.router]
		t.Finished(w.now, e.name, j.request.Tier, routing.Succeeded)
		t.Budget().Success(j.class.name)
		w.end(j, true)
		w.act(e, e.queue.Finish(w.now, j.request.ID, flow.Whole))
	}
	w.step(e)
}
