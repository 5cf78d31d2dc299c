package origin

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var start = time.Unix(1_800_000_000, 0)

var (
	v1 = Origin{Service: "s", Version: "v1"}
	v2 = Origin{Service: "s", Version: "v2"}
)

func TestNewestStartCounts(t *testing.T) {
	g := NewWithT(t)
	var m Memory
	_, known := m.Find(1)
	g.Expect(known).To(BeFalse())
	m.Add(start, Start{Stream: 1, Origin: v1})
	m.Add(start.Add(memoryTTL+time.Second), Start{Stream: 1, Origin: v2})
	o, known := m.Find(1)
	g.Expect(known).To(BeTrue())
	g.Expect(o).To(Equal(v2))
	g.Expect(m.All("s")).To(Equal([]Start{{Stream: 1, Origin: v2}}))
	g.Expect(m.All("other")).To(BeEmpty())
}

// Guards against a memory that grows with the streams, or forgets one within memoryTTL.
func TestMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var m Memory
	m.Add(start, Start{Stream: 1, Origin: v1})
	m.Add(start.Add(memoryTTL), Start{Stream: 2, Origin: v1})
	m.Add(start.Add(memoryTTL+time.Second), Start{Stream: 3, Origin: v1})
	_, known := m.Find(2)
	g.Expect(known).To(BeTrue())
	m.Add(start.Add(3*memoryTTL), Start{Stream: 4, Origin: v1})
	_, known = m.Find(2)
	g.Expect(known).To(BeFalse())
	for i := range uint64(5 * maxRemembered) {
		m.Add(start.Add(3*memoryTTL), Start{Stream: 100 + i, Origin: v1})
	}
	g.Expect(len(m.newer) + len(m.older)).To(BeNumerically("<=", 2*maxRemembered))
	_, known = m.Find(100 + 5*maxRemembered - 1)
	g.Expect(known).To(BeTrue())
}

// Guards against a version that is forgotten as its last endpoint goes, while callers still take
// up its streams, and against one that is thought to serve for ever.
func TestVersionsComeAndGo(t *testing.T) {
	g := NewWithT(t)
	v, now := NewVersions(), start
	v.Update(now, "a", v1, false)
	v.Update(now, "b", v1, false)
	v.Update(now, "c", Origin{Service: "other", Version: "v2"}, false)
	g.Expect(v.Mixed(now, "s")).To(BeFalse())
	v.Update(now, "d", v2, false)
	g.Expect(v.Mixed(now, "s")).To(BeTrue())
	v.Update(now, "a", v1, true)
	v.Update(now, "b", v2, false) // the same ID, started again with other software
	g.Expect(v.Mixed(now.Add(goneTTL), "s")).To(BeTrue())
	g.Expect(v.Mixed(now.Add(goneTTL+time.Second), "s")).To(BeFalse())
	v.Update(now, "e", Origin{}, true)
	v.Update(now, "f", v1, true)
	g.Expect(v.Mixed(now, "s")).To(BeTrue(), "gone before this host arrived")
}

// Guards against a version that is taken for the only one on the word of hosts that may have missed another:
// fewer than a majority, hosts that have just started, or a membership that has been replaced.
func TestOnlyAMajorityKnowsAllVersions(t *testing.T) {
	g := NewWithT(t)
	answer := func(replica, applied uint64, complete bool, voters ...uint64) Answer {
		return Answer{Versions: []string{"v1"}, Complete: complete, Vote: Vote{Replica: replica, Applied: applied, Voters: voters}}
	}
	complete := func(answers ...Answer) bool {
		var f Finding
		for _, a := range answers {
			f.Add(a)
		}
		return f.Complete
	}
	g.Expect(complete()).To(BeFalse())
	g.Expect(complete(answer(1, 9, true, 1))).To(BeTrue())
	g.Expect(complete(answer(1, 9, true, 1, 2, 3))).To(BeFalse())
	g.Expect(complete(answer(1, 9, true, 1, 2, 3), answer(1, 9, true, 1, 2, 3))).To(BeFalse(), "the same host under two URLs")
	g.Expect(complete(answer(1, 9, true, 1, 2, 3), answer(2, 8, true, 1, 2, 3))).To(BeTrue())
	g.Expect(complete(answer(1, 9, true, 1, 2, 3), answer(2, 8, false, 1, 2, 3))).To(BeFalse(), "one has just started")
	g.Expect(complete(answer(1, 9, true, 1, 2, 3, 4), answer(2, 8, true, 1, 2, 3))).To(BeFalse(), "a fourth voter has joined")
	g.Expect(complete(answer(1, 9, true, 1, 2, 3), answer(4, 9, true, 1, 2, 3))).To(BeFalse(), "a host that no longer votes")
	g.Expect(complete(answer(1, 9, true))).To(BeFalse(), "no membership known")
}
