package entry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/fleet"
	"github.com/trefoilkeel/trefoilkeel/internal/quarantine"
)

// Guards against an entry that is cut off from all control hosts and sends a crashing part to one
// endpoint after the other. While control hosts respond, the verdict is theirs.
func TestIsolatedEntryJudgesByItself(t *testing.T) {
	g := NewWithT(t)
	start := time.Unix(1_800_000_000, 0)
	j := newIsolatedJudge(start)
	after := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	crash := func(endpoint uint64, at time.Time) {
		j.add(at, fleet.AttemptOutcomes{ServedAttempts: map[string]int{"": 100}, Broken: []quarantine.BrokenAttempt{
			{Endpoint: endpoint, SentAt: at.Add(-50 * time.Millisecond), BrokenAt: at, HasHead: true, Parts: []uint64{99}}}})
	}
	for i := range 5 {
		crash(uint64(i), after(float64(i)))
	}
	g.Expect(j.decide(after(5), true)).To(BeEmpty(), "control hosts respond")
	g.Expect(j.decide(after(7), false)).To(BeEmpty(), "a response or two are lost")
	g.Expect(j.decide(after(8.1), false)).To(Equal(map[uint64]bool{99: true}))
	g.Expect(j.decide(after(9), true)).To(Equal(map[uint64]bool{99: true}), "until the control hosts have judged")
	g.Expect(j.decide(after(9).Add(isolationGrace), true)).To(BeEmpty())
	g.Expect(j.decide(after(16), false)).To(Equal(map[uint64]bool{99: true}))
	for i := range 3 {
		j.add(after(16), fleet.AttemptOutcomes{Responses: []fleet.Response{{Endpoint: uint64(i), SentAt: after(float64(i) + 1)}}})
	}
	g.Expect(j.decide(after(16.1), false)).To(BeEmpty(), "three of its five endpoints go on")
}
