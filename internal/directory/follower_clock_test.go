package directory

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against an endpoint that an entry never learns of: the clock of the one that had its address
// before, and fell silent, was ahead. Control hosts forget that one; entries remove nothing.
func TestFollowerLearnsTheNextEndpointOfAnAddress(t *testing.T) {
	g := NewWithT(t)
	host, follower := New(), New()
	former, next := report("former", 5, 1, Ready), report("next", 2, 1, Ready)
	next.Address = former.Address
	host.MergeReport(former)
	follower.MergeReport(former)
	host.Expire(epoch.Add(2 * SilenceTimeout))
	changed, revision := host.ChangedSince(0)
	for _, e := range changed {
		follower.MergeReport(e)
	}
	host.Expire(epoch.Add(RemovalTimeout + time.Second))
	g.Expect(host.MergeReport(next)).To(BeTrue())
	changed, _ = host.ChangedSince(revision)
	for _, e := range changed {
		follower.MergeReport(e)
	}
	e, known := follower.Get("next")
	g.Expect(known).To(BeTrue())
	g.Expect(e.State).To(Equal(Ready))
}
