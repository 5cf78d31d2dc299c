package limits_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/limits"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// A report must contain only the workspaces used since the last one. Otherwise it grows
// with all workspaces ever seen.
func TestReportLeavesOutIdleWorkspaces(t *testing.T) {
	g := NewWithT(t)
	configuration := ticket.NewConfiguration()
	configuration.Limits["l"] = ticket.Limit{Name: "l", Concurrency: 10}
	const seen, used = 1500, 9
	for i := range seen {
		name := fmt.Sprint("w", i)
		configuration.Workspaces[name] = ticket.Workspace{Name: name, Limit: "l"}
	}
	l := limits.New(350)
	l.Configure(configuration, 350)
	now := time.Unix(0, 0)
	l.Report(now)
	admitAndFinish := func(n int) {
		for i := range n {
			name := fmt.Sprint("w", i)
			g.Expect(l.Admit(now, name)).To(Succeed())
			l.Finish(now, name, 1)
		}
	}
	admitAndFinish(seen)
	now = now.Add(time.Second)
	g.Expect(l.Report(now)).To(HaveLen(seen))
	admitAndFinish(used)
	now = now.Add(time.Second)
	g.Expect(l.Report(now)).To(HaveLen(used))
	now = now.Add(time.Second)
	g.Expect(l.Report(now)).To(BeEmpty())
}
