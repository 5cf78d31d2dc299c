package standin

import (
	"context"
	"sort"
	"sync"
	"time"
)

// sequence is one request in the batch. Its counters are guarded by the
// batch's mutex; changed gets a token after each step that moved them.
type sequence struct {
	job     *Job
	number  uint64 // order of arrival
	end     int    // index after the last token
	made    int    // tokens generated, from job.Given on
	prefill int    // prompt bytes still to be read
	started bool
	changed chan struct{}
}

// progress wakes the handler of s.
func (s *sequence) progress() {
	select {
	case s.changed <- struct{}{}:
	default:
	}
}

// batch steps all sequences of one engine together.
type batch struct {
	mu       sync.Mutex
	cfg      *EngineConfig
	cache    *prefixCache
	slow     func() float64
	onStep   func(now time.Time, running, waiting int)
	waiting  []*sequence
	running  []*sequence
	next     uint64
	stepping bool
}

// add queues a job and starts the stepping goroutine if it isn't running.
func (b *batch) add(job *Job) *sequence {
	s := &sequence{job: job, end: job.End(), made: job.Given, changed: make(chan struct{}, 1)}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	s.number = b.next
	b.waiting = append(b.waiting, s)
	if !b.stepping {
		b.stepping = true
		go b.run()
	}
	return s
}

// remove takes s out of the batch, finished or not.
func (b *batch) remove(s *sequence) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = without(b.waiting, s)
	b.running = without(b.running, s)
}

func without(list []*sequence, s *sequence) []*sequence {
	for i := range list {
		if list[i] == s {
			return append(list[:i:i], list[i+1:]...)
		}
	}
	return list
}

// wait blocks until s has more than seen tokens; it returns their number.
func (b *batch) wait(ctx context.Context, s *sequence, seen int) (int, error) {
	for {
		b.mu.Lock()
		made := s.made
		b.mu.Unlock()
		if made > seen || made >= s.end {
			return made, nil
		}
		select {
		case <-s.changed:
		case <-ctx.Done():
			return made, context.Cause(ctx)
		}
	}
}

// run steps until the batch is empty.
func (b *batch) run() {
	due := time.Now()
	for {
		duration, ok := b.begin()
		if !ok {
			return
		}
		due = due.Add(duration)
		if now := time.Now(); due.Before(now.Add(-duration)) {
			due = now
		}
		time.Sleep(time.Until(due))
		b.finish()
	}
}

// begin admits sequences and gives the duration of the step; ok is false if
// there is nothing to do.
func (b *batch) begin() (duration time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.admit()
	if len(b.running) == 0 {
		b.stepping = false
		b.onStep(time.Now(), 0, len(b.waiting))
		return 0, false
	}
	duration = b.cfg.StepBase + time.Duration(len(b.running))*b.cfg.StepPerSequence
	for _, s := range b.running {
		duration += time.Duration(s.prefill) * b.cfg.PrefillPerByte
		s.prefill = 0
	}
	b.onStep(time.Now(), len(b.running), len(b.waiting))
	return time.Duration(float64(duration) * b.slow()), true
}

// admit fills the slots by priority, then arrival. A waiting sequence takes
// the slot of a running one of a worse priority, which waits again.
func (b *batch) admit() {
	sort.Slice(b.waiting, func(i, k int) bool { return b.waiting[i].before(b.waiting[k]) })
	for len(b.waiting) > 0 {
		if len(b.running) >= b.cfg.Slots && !b.displace(b.waiting[0]) {
			return
		}
		s := b.waiting[0]
		b.waiting = b.waiting[1:]
		s.started = true
		s.prefill = b.cache.admit(time.Now(), s.job.Prompt)
		b.running = append(b.running, s)
	}
}

func (s *sequence) before(o *sequence) bool {
	if s.job.Priority != o.job.Priority {
		return s.job.Priority < o.job.Priority
	}
	return s.number < o.number
}

// displace moves the worst running sequence back to the queue if s has a
// better priority.
func (b *batch) displace(s *sequence) bool {
	worst := b.running[0]
	for _, r := range b.running[1:] {
		if worst.before(r) {
			worst = r
		}
	}
	if worst.job.Priority <= s.job.Priority {
		return false
	}
	b.running = without(b.running, worst)
	b.waiting = append(b.waiting, worst)
	return true
}

// finish gives each running sequence one token.
func (b *batch) finish() {
	b.mu.Lock()
	defer b.mu.Unlock()
	kept := b.running[:0:0]
	for _, s := range b.running {
		if s.made < s.end {
			s.made++
		}
		s.progress()
		if s.made < s.end {
			kept = append(kept, s)
		}
	}
	b.running = kept
}
