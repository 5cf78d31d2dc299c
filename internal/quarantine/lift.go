package quarantine

import (
	"maps"
	"slices"
	"time"
)

// verdict is what a decision of this host rests on.
type verdict struct {
	brokenAt map[uint64]time.Time // by key of the endpoint's incarnation: when its newest attempt broke
	needed   int                  // endpoints that must have crashed
}

// addVerdict records what a decision rests on.
func (t *Table) addVerdict(s *suspicion, offended bool) {
	v := &verdict{brokenAt: map[uint64]time.Time{}, needed: neededCrashes(s.key, offended)}
	for endpoint := range s.endpoints {
		v.brokenAt[endpoint] = t.crashes[endpoint].brokenAt
	}
	t.verdicts[s.key] = v
}

// clearVerdicts takes an endpoint that responded to an attempt sent at a time from the evidence of verdicts.
func (t *Table) clearVerdicts(endpoint uint64, sentAt time.Time) {
	for _, v := range t.verdicts {
		if brokenAt, found := v.brokenAt[endpoint]; found && refutesCrash(sentAt, brokenAt) {
			delete(v.brokenAt, endpoint)
		}
	}
}

// refutesCrash reports whether a response to an attempt sent at a time shows that a break was no crash.
func refutesCrash(sentAt, brokenAt time.Time) bool {
	late := sentAt.Sub(brokenAt)
	return late > respondedMargin && late <= respondedSpan
}

// Unfounded returns the quarantined keys that this host decided on and that too few crashed endpoints are
// left for, because the others go on. Decisions on keys that aren't quarantined any more are forgotten.
func (t *Table) Unfounded(quarantined func(key uint64) bool) (keys []uint64) {
	maps.DeleteFunc(t.verdicts, func(key uint64, _ *verdict) bool { return !quarantined(key) })
	for key, v := range t.verdicts {
		if len(v.brokenAt) < v.needed && t.countCrashes(key) < v.needed {
			keys = append(keys, key)
		}
	}
	return keys
}

// countCrashes returns how many endpoints broke off attempts with a key and have not responded since.
func (t *Table) countCrashes(key uint64) (count int) {
	for _, c := range t.crashes {
		if !c.hasResponded() && slices.ContainsFunc(c.breaks, func(b BrokenAttempt) bool { return slices.Contains(b.keys(), key) }) {
			count++
		}
	}
	return count
}
