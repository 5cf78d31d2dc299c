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

func TestServiceSettlesAfterItsFirstEndpoint(t *testing.T) {
	g := NewWithT(t)
	v := NewVersions()
	g.Expect(v.Settled(start, "s")).To(BeFalse())
	v.Update(start, "a", v1, false)
	g.Expect(v.Settled(start.Add(settleTime), "s")).To(BeFalse())
	g.Expect(v.Settled(start.Add(settleTime+time.Millisecond), "s")).To(BeTrue())
}
