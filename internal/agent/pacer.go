package agent

import (
	"context"
	"time"
)

// Pacing of stream reads.
const (
	pauseDivisor  = 3 // a pause is the class's target between tokens, divided by this
	unpacedEvents = 8 // the first events of a stream, read without a pause
)

// pacer pauses between the reads of a stream, so that the tokens that arrive
// during a pause share one read, one write and one wake-up.
type pacer struct {
	pause time.Duration
	timer *time.Timer
}

// newPacer returns a pacer for a class's target between tokens; with a target
// of 0 or less it never pauses.
func newPacer(target time.Duration) *pacer { return &pacer{pause: target / pauseDivisor} }

// wait pauses before the next read of a stream after the given number of events.
// It doesn't pause for the first unpacedEvents, and returns when ctx ends.
func (p *pacer) wait(ctx context.Context, events int) {
	if p.pause <= 0 || events < unpacedEvents {
		return
	}
	if p.timer == nil {
		p.timer = time.NewTimer(p.pause)
	} else {
		p.timer.Reset(p.pause)
	}
	select {
	case <-p.timer.C:
	case <-ctx.Done():
		p.timer.Stop()
	}
}
