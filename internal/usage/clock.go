// Package usage counts the requests that endpoints began to run, by window of the wall clock and by
// workspace. Each entry has a Counter; control hosts merge what entries report in a Table.
package usage

import "time"

// Corrections of the window clock.
const (
	// maxPromptDifference is the difference of the wall clock that is corrected at once. A larger
	// one must last for stepConfirmation, during which two readings of it differ by at most
	// maxPromptDifference.
	maxPromptDifference = 100 * time.Millisecond
	stepConfirmation    = 10 * time.Second
	// slewDivisor limits a correction to the elapsed time divided by it, so that the clock never
	// goes back and passes through every window.
	slewDivisor = 10
)

// Clock tells the number of the current window: window k begins k window lengths after the start of
// 1970. It follows a steady clock, and the wall clock only slowly. A difference of more than one
// window that lasts is taken over as a step.
type Clock struct {
	length time.Duration

	started      bool
	steady       time.Duration // last reading of the steady clock
	sinceEpoch   time.Duration // corrected time at that reading
	difference   time.Duration // of the wall clock, 0 if it is corrected at once
	differsSince time.Duration // reading of the steady clock
}

// NewClock returns a clock of windows of a length above 0.
func NewClock(length time.Duration) *Clock { return &Clock{length: length} }

// Observe advances the clock to readings of both clocks at the same moment. The steady clock must go
// on while the machine is suspended. It returns the step that was taken over, 0 for none.
func (c *Clock) Observe(steady time.Duration, wall time.Time) (step time.Duration) {
	wallSinceEpoch := time.Duration(wall.UnixNano())
	if !c.started {
		c.started, c.steady, c.sinceEpoch = true, steady, wallSinceEpoch
		return 0
	}
	elapsed := max(steady-c.steady, 0)
	c.steady += elapsed
	c.sinceEpoch += elapsed
	difference := wallSinceEpoch - c.sinceEpoch
	if !c.isConfirmed(difference) {
		return 0
	}
	if difference.Abs() > c.length {
		c.sinceEpoch, c.difference = wallSinceEpoch, 0
		return difference
	}
	correction := min(max(difference, -elapsed/slewDivisor), elapsed/slewDivisor)
	c.sinceEpoch += correction
	if c.difference != 0 {
		c.difference -= correction
	}
	return 0
}

// isConfirmed reports whether a difference of the wall clock is small or has lasted long enough.
func (c *Clock) isConfirmed(difference time.Duration) bool {
	if difference.Abs() <= min(maxPromptDifference, c.length) {
		c.difference = 0
		return true
	}
	if c.difference == 0 || (difference-c.difference).Abs() > maxPromptDifference {
		c.difference, c.differsSince = difference, c.steady
		return false
	}
	return c.steady-c.differsSince >= stepConfirmation
}

// Window returns the number of the current window.
func (c *Clock) Window() int64 { return int64(c.sinceEpoch / c.length) }

// Time returns the corrected time.
func (c *Clock) Time() time.Time { return time.Unix(0, int64(c.sinceEpoch)) }
