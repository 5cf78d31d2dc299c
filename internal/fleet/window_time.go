package fleet

import (
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/steady"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
)

// windowTime reads the clocks by which windows are reported. A step of the wall clock counts only
// once it has lasted.
type windowTime struct{ clock *usage.Clock }

func newWindowTime(windowLength time.Duration) *windowTime {
	return &windowTime{clock: usage.NewClock(windowLength)}
}

func (w *windowTime) now() duty.Clocks {
	boot, wall := steady.NowWithWall()
	w.clock.Observe(boot, wall)
	return duty.Clocks{Boot: boot, Wall: w.clock.Time()}
}
