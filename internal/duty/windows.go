package duty

import (
	"maps"
	"time"
)

// collection is what the control hosts counted in one window.
type collection struct {
	window uint64
	counts map[string]uint64
	ready  bool          // to be agreed
	nextAt time.Duration // boot time of the next collection, if not ready
}

// Collected ends a collection. Complete is false if a control host or an entry that is expected
// to report has not; the collection is repeated then, up to half of the time until the report is
// due.
func (k *Keeper) Collected(now Clocks, window uint64, counts map[string]uint64, complete bool) {
	c := &k.collection
	if c.window != window || c.counts == nil {
		*c = collection{window: window, counts: map[string]uint64{}}
	}
	for workspace, count := range counts {
		c.counts[workspace] = max(c.counts[workspace], count)
	}
	maps.DeleteFunc(c.counts, func(_ string, count uint64) bool { return count == 0 })
	c.ready = complete || !now.Wall.Before(k.windowEnd(window).Add(k.config.Due/2))
	c.nextAt = now.Boot + collectInterval
	if c.ready && len(c.counts) == 0 && !k.reported(window) {
		k.empty[window] = true
	}
}

// windowEnd is the time at which a window ends.
func (k *Keeper) windowEnd(number uint64) time.Time {
	return time.Unix(0, 0).Add(time.Duration(number+1) * k.config.WindowLength)
}

// windowAt is the number of the window at a time, and 0 before 1970.
func (k *Keeper) windowAt(t time.Time) uint64 {
	return uint64(max(0, t.Sub(time.Unix(0, 0))/k.config.WindowLength))
}

// nextWindowAt is the boot time at which the next window may be collected, or after which the wall
// clock is to be read again.
func (k *Keeper) nextWindowAt(now Clocks) time.Duration {
	current := k.windowAt(now.Wall.Add(-k.config.SettleDelay))
	wait := k.windowEnd(current).Add(k.config.SettleDelay).Sub(now.Wall)
	return now.Boot + min(max(wait, 1), maxWait)
}

// reported tells whether a window without counts is reported too: one that isn't before the first
// agreed one.
func (k *Keeper) reported(number uint64) bool {
	return len(k.record.Windows) > 0 && number >= k.record.Windows[0].Number
}

// openWindows returns the windows that are over, due and not settled, the oldest first. For one
// before the first agreed window, wanted decides.
func (k *Keeper) openWindows(now Clocks, wanted func(number uint64) bool) []uint64 {
	var open []uint64
	end := k.windowAt(now.Wall.Add(-k.config.SettleDelay))
	for number := k.firstDue(now); number < end; number++ {
		w, agreed := k.record.Window(number)
		switch {
		case number < k.record.Floor || agreed && w.Outcome != Open:
		case agreed || k.reported(number) || wanted(number):
			open = append(open, number)
		}
	}
	return open
}

// firstDue is the oldest window whose report isn't too late.
func (k *Keeper) firstDue(now Clocks) uint64 {
	return max(1, k.windowAt(now.Wall.Add(-k.config.Due)))
}

// namesGivenUp returns the windows that became too late since the latest settled one and weren't
// returned before, and forgets what is known of windows that are too late. Outside of its lease
// this host may not know of another holder that delivered them, and returns none yet.
func (k *Keeper) namesGivenUp(now Clocks) []GivenUp {
	end := k.firstDue(now)
	maps.DeleteFunc(k.empty, func(number uint64, _ bool) bool { return number < end })
	if len(k.record.Windows) == 0 || !k.lease.valid || now.Boot > k.lease.from+k.config.Lease {
		return nil
	}
	first := max(k.givenUpTo, k.record.Windows[0].Number)
	for _, w := range k.record.Windows {
		if w.Outcome == Delivered {
			first = max(first, w.Number+1)
		}
	}
	first = max(first, end-min(end, MaxWindows))
	var givenUp []GivenUp
	for number := first; number < end; number++ {
		w, agreed := k.record.Window(number)
		if _, known := k.calls.results[number]; w.Outcome == Open && !known {
			givenUp = append(givenUp, GivenUp{Window: number, Agreed: agreed})
		}
	}
	maps.DeleteFunc(k.calls.results, func(number uint64, _ Outcome) bool { return number+MaxWindows < end })
	k.givenUpTo = max(k.givenUpTo, end)
	return givenUp
}
