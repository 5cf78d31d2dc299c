package standin

import (
	"context"
	"sort"
	"sync"
	"time"
)

// sequence is one request in the batch. The batch's mutex guards its counters.
type sequence struct {
	request       *CompletionRequest
	enqueueNumber uint64 // order of enqueueing; kept when preempted
	endToken      int    // one past the last token of the answer
	nextToken     int    // tokens available so far; starts at request.TokensGiven
	prefillBytes  int    // prompt bytes that the next step has to process
	started       bool
	updated       chan struct{}
}

// notify wakes the handler that waits for tokens of s.
func (s *sequence) notify() {
	select {
	case s.updated <- struct{}{}:
	default:
	}
}

// batch is the continuous batch of one engine: each step generates one token for
// every running sequence.
type batch struct {
	mu                sync.Mutex
	cfg               *EngineConfig
	cache             *prefixCache
	durationFactor    func() float64
	onStep            func(now time.Time, running, waiting int)
	waiting           []*sequence
	running           []*sequence
	lastEnqueueNumber uint64
	loopRunning       bool
}

// enqueue queues a request and starts the step loop if it isn't running.
func (b *batch) enqueue(request *CompletionRequest) *sequence {
	s := &sequence{request: request, endToken: request.EndToken(), nextToken: request.TokensGiven, updated: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lastEnqueueNumber++
	s.enqueueNumber = b.lastEnqueueNumber
	b.waiting = append(b.waiting, s)
	if !b.loopRunning {
		b.loopRunning = true
		go b.runSteps()
	}
	return s
}

// remove drops s from the batch, finished or not.
func (b *batch) remove(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = removeSequence(b.waiting, s)
	b.running = removeSequence(b.running, s)
}

func removeSequence(list []*sequence, s *sequence) []*sequence {
	for i := range list {
		if list[i] == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// awaitToken blocks until s has more than seen tokens, or all of them, and
// returns their number.
func (b *batch) awaitToken(ctx context.Context, s *sequence, seen int) (int, error) {
	for {
		b.mu.Lock()
		available := s.nextToken
		b.mu.Unlock()
		if available > seen || available >= s.endToken {
			return available, nil
		}
		select {
		case <-s.updated:
		case <-ctx.Done():
			return available, context.Cause(ctx)
		}
	}
}

// runSteps runs one step after another until the batch is empty. Steps are
// scheduled at absolute times, so that timer delays do not add up, unless the
// loop falls a whole step behind.
func (b *batch) runSteps() {
	due := time.Now()
	for {
		duration, ok := b.beginStep()
		if !ok {
			return
		}
		due = due.Add(duration)
		if now := time.Now(); due.Before(now.Add(-duration)) {
			due = now
		}
		time.Sleep(time.Until(due))
		b.finishStep()
	}
}

// beginStep admits waiting sequences and returns the duration of the step; ok is
// false if no sequence runs.
func (b *batch) beginStep() (duration time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admitWaiting()
	if len(b.running) == 0 {
		b.loopRunning = false
		b.onStep(time.Now(), 0, len(b.waiting))
		return 0, false
	}
	duration = b.cfg.StepBase + time.Duration(len(b.running))*b.cfg.StepPerSequence
	for _, s := range b.running {
		duration += time.Duration(s.prefillBytes) * b.cfg.PrefillPerByte
		s.prefillBytes = 0
	}
	b.onStep(time.Now(), len(b.running), len(b.waiting))
	return time.Duration(float64(duration) * b.durationFactor()), true
}

// admitWaiting fills the slots by priority, then in order of enqueueing. With all
// slots in use, a waiting sequence preempts a running one of lower priority.
func (b *batch) admitWaiting() {
	sort.Slice(b.waiting, func(i, k int) bool { return b.waiting[i].precedes(b.waiting[k]) })
	for len(b.waiting) > 0 {
		if len(b.running) >= b.cfg.Slots && !b.preempt(b.waiting[0]) {
			return
		}
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.started = true
		s.prefillBytes = b.cache.insertPrompt(time.Now(), s.request.Prompt)
		b.running = append(b.running, s)
	}
}

func (s *sequence) precedes(o *sequence) bool {
	if s.request.Priority != o.request.Priority {
		return s.request.Priority < o.request.Priority
	}
	return s.enqueueNumber < o.enqueueNumber
}

// preempt moves the running sequence that comes last in order back to the queue
// if s has a higher priority (a smaller number).
func (b *batch) preempt(s *sequence) bool {
	last := b.running[0]
	for _, r := range b.running[1:] {
		if last.precedes(r) {
			last = r
		}
	}
	if last.request.Priority <= s.request.Priority {
		return false
	}
	b.running = removeSequence(b.running, last)
	b.waiting = append(b.waiting, last)
	return true
}

// finishStep adds one token to each running sequence and drops the finished ones
// from the running list.
func (b *batch) finishStep() {
	b.mu.Lock()
	defer b.mu.Unlock()
	unfinished := b.running[:0:0]
	for _, s := range b.running {
		if s.nextToken < s.endToken {
			s.nextToken++
		}
		s.notify()
		if s.nextToken < s.endToken {
			unfinished = append(unfinished, s)
		}
	}
	b.running = unfinished
}
