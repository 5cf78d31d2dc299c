package agent

import (
	"context"
	"time"
)

// Pacing of a stream's reads.
const (
	paceShare = 3 // part of the class's target between tokens that one pause lasts
	paceAfter = 8 // events that are read as they come
)

// pacer spaces the reads of a stream, so that tokens which come meanwhile
// travel together: one read, one write and one wake-up for all of them.
type pacer struct {
	window time.Duration
	timer  *time.Timer
}

// newPacer returns a pacer for a class's target between tokens; 0 or less
// reads each token as it comes.
func newPacer(target time.Duration) *pacer { return &pacer{window: target / paceShare} }

// wait pauses before the next read of a stream that has had so many events.
// It returns at once for the first ones, and when ctx ends.
func (p *pacer) wait(ctx context.Context, events int) {
	if p.window <= 0 || events < paceAfter {
		return
	}
	if p.timer == nil {
		p.timer = time.NewTimer(p.window)
	} else {
		p.timer.Reset(p.window)
	}
	select {
	case <-p.timer.C:
	case <-ctx.Done():
		p.timer.Stop()
	}
}
