package experiment

import (
	"bytes"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

func asScenarioError(err error, target **ScenarioError) bool { return errors.As(err, target) }

var (
	zero = time.Unix(1000, 0)
	top  = &ticket.Class{Name: "top", Tier: 1, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(50 * time.Millisecond)}
	low  = &ticket.Class{Name: "low", Tier: 5, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(50 * time.Millisecond)}
)

func at(seconds float64) time.Time { return zero.Add(time.Duration(seconds * float64(time.Second))) }

// called is a call from one time to another.
func called(class *ticket.Class, key string, from, to float64, end End, content Content) *Call {
	return &Call{
		Arrival: &Arrival{Class: class, Key: key, Target: "m", Prompt: "p", Stream: true, Copies: 1},
		Began:   at(from), Ended: at(to), End: end, Content: content,
		First: 100 * time.Millisecond, Gaps: []uint32{20000, 30000}, Tokens: 3,
	}
}

func refused(class *ticket.Class, key string, from, to float64, reason dispatch.RefusalType) *Call {
	c := called(class, key, from, to, EndNotRun, ContentPartial)
	c.Refusal, c.First = reason, 0
	return c
}

func protected(c *Call) *Call {
	c.Arrival.Protected = "k"
	return c
}

func firstAt(seconds float64, c *Call) *Call {
	c.First = time.Duration(seconds * float64(time.Second))
	return c
}

// ran is an engine that ran the keys from the given times on.
func ran(arrivals ...standin.Arrival) []EndpointRecords {
	r := standin.Records{Runs: map[string]int{}, Arrivals: arrivals}
	for _, a := range arrivals {
		r.Runs[a.Key]++
		r.TokensGenerated += uint64(a.Generated)
	}
	return []EndpointRecords{{Name: "e", Serves: "m", Engine: true, Records: r}}
}

func arrived(key string, from, to float64, outcome standin.Outcome) standin.Arrival {
	return standin.Arrival{Key: key, At: at(from), Ended: at(to), Outcome: outcome, Generated: 3}
}

var _ = ginkgo.DescribeTable("violations are counted from records and callers",
	func(o Observation, want Violations) {
		o.Started, o.Ended, o.StarvationWindow = zero, at(20), 10*time.Second
		Expect(Count(&o)).To(Equal(want))
	},
	ginkgo.Entry("none", Observation{
		Calls:     []*Call{called(top, "a", 0, 1, EndNormal, ContentWhole), refused(top, "b", 0, 1, dispatch.Overloaded)},
		Endpoints: ran(arrived("a", 0, 1, standin.OutcomeWhole)),
	}, Violations{}),
	ginkgo.Entry("shed while a lower tier began", Observation{
		Calls:     []*Call{refused(top, "b", 0, 4, dispatch.PatienceExceeded), called(low, "a", 0, 5, EndNormal, ContentWhole)},
		Endpoints: ran(arrived("a", 2, 5, standin.OutcomeWhole)),
	}, Violations{HigherTierShed: 1}),
	ginkgo.Entry("shed while a lower tier ran from before", Observation{
		Calls:     []*Call{refused(top, "b", 3, 4, dispatch.Overloaded), called(low, "a", 0, 5, EndNormal, ContentWhole)},
		Endpoints: ran(arrived("a", 2, 5, standin.OutcomeWhole)),
	}, Violations{}),
	ginkgo.Entry("a limit is no shed", Observation{
		Calls:     []*Call{refused(top, "b", 0, 4, dispatch.LimitExceeded), called(low, "a", 0, 5, EndNormal, ContentWhole)},
		Endpoints: ran(arrived("a", 2, 5, standin.OutcomeWhole)),
	}, Violations{}),
	ginkgo.Entry("a class that waits a window out", Observation{
		Calls: []*Call{firstAt(15, called(low, "a", 0, 20, EndNormal, ContentWhole))},
	}, Violations{Starved: 1}),
	ginkgo.Entry("a class whose long answer runs", Observation{
		Calls: []*Call{called(low, "a", 0, 20, EndNormal, ContentWhole)},
	}, Violations{}),
	ginkgo.Entry("a class that finishes within each window", Observation{
		Calls: []*Call{firstAt(15, called(low, "a", 0, 20, EndNormal, ContentWhole)), called(low, "b", 0, 9, EndNormal, ContentWhole)},
	}, Violations{}),
	ginkgo.Entry("a caller never told", Observation{
		Calls: []*Call{{Arrival: &Arrival{Class: low}, Began: zero, Ended: at(3), End: EndGaveUp, Content: ContentPartial}},
	}, Violations{Starved: 1}),
	ginkgo.Entry("a wrong answer, even if it broke", Observation{
		Calls: []*Call{called(top, "a", 0, 1, EndFailed, ContentWrong)},
	}, Violations{WrongAnswer: 1}),
	ginkgo.Entry("a partial answer that ends normally", Observation{
		Calls: []*Call{called(top, "a", 0, 1, EndNormal, ContentPartial), called(top, "b", 0, 1, EndFailed, ContentPartial)},
	}, Violations{PartialAnswer: 1}),
	ginkgo.Entry("not-run of something that ran", Observation{
		Calls:     []*Call{refused(top, "a", 0, 1, dispatch.EndpointFailed)},
		Endpoints: ran(arrived("a", 0, 1, standin.OutcomeCrashed)),
	}, Violations{FalseNotRun: 1}),
	ginkgo.Entry("a protected request that ran twice, and an ordinary one", Observation{
		Calls:     []*Call{protected(called(top, "a", 0, 1, EndNormal, ContentWhole)), called(top, "b", 0, 1, EndNormal, ContentWhole)},
		Endpoints: ran(arrived("a", 0, 1, standin.OutcomeWhole), arrived("a", 0, 1, standin.OutcomeWhole), arrived("b", 0, 1, standin.OutcomeCrashed), arrived("b", 0, 1, standin.OutcomeWhole)),
	}, Violations{DoubleRun: 1}),
	ginkgo.Entry("work after a leave, not after the return", Observation{
		Leaves:    []Leave{{Endpoint: "e", From: at(1), To: at(8)}},
		Endpoints: ran(arrived("a", 3, 4, standin.OutcomeWhole), arrived("b", 5, 6, standin.OutcomeWhole), arrived("c", 9, 10, standin.OutcomeWhole)),
	}, Violations{WorkAfterLeave: 1}),
	ginkgo.Entry("cut in flight by a leave", Observation{
		Leaves:    []Leave{{Endpoint: "e", From: at(1)}},
		Calls:     []*Call{called(top, "a", 0, 2, EndFailed, ContentPartial), called(top, "b", 0, 2, EndNormal, ContentWhole), called(top, "c", 0, 2, EndGaveUp, ContentPartial)},
		Endpoints: ran(arrived("a", 0, 2, standin.OutcomeCancelled), arrived("b", 0, 2, standin.OutcomeCrashed), arrived("c", 0, 2, standin.OutcomeCancelled)),
	}, Violations{CutInFlight: 1}),
	ginkgo.Entry("a reverted revision", Observation{
		Revisions: []RevisionSample{{Process: "p", Revision: 2}, {Process: "q", Revision: 1}, {Process: "p", Revision: 1}, {Process: "p", Revision: 2}},
	}, Violations{RevertedRevision: 1}),
)

var _ = ginkgo.Describe("a report", func() {
	ginkgo.It("counts each class, the goodput and the waste", func() {
		late := called(top, "c", 0, 3, EndNormal, ContentWhole)
		late.First = 2 * time.Second
		repeat := called(top, "a", 0, 1, EndNormal, ContentWhole)
		repeat.Copy = 1
		o := &Observation{Started: zero, Ended: at(5), StarvationWindow: 10 * time.Second,
			Calls: []*Call{called(top, "a", 0, 1, EndNormal, ContentWhole), repeat, late,
				refused(top, "b", 0, 1, dispatch.Overloaded), called(top, "d", 0, 1, EndFailed, ContentPartial)},
			Endpoints: ran(arrived("a", 0, 1, standin.OutcomeWhole), arrived("c", 0, 1, standin.OutcomeWhole), arrived("d", 0, 1, standin.OutcomeCrashed), arrived("d", 0, 1, standin.OutcomeCrashed)),
		}
		o.Calls[1].Tokens = 0
		r := measure(o, 2*time.Second)
		c := r.Classes["top"]
		Expect(*c).To(And(HaveField("Offered", 4), HaveField("Attained", 1), HaveField("Finished", 2),
			HaveField("Shed", 1), HaveField("Failed", 1), HaveField("Attainment", 0.25)))
		Expect(c.TTFTP95).To(BeNumerically("~", 2000, 10))
		Expect(c.TBTP95).To(BeNumerically("~", 30, 0.1))
		Expect(r.GoodputPerS).To(Equal(0.5))
		Expect(r.WastedShare).To(Equal(0.5))
		var page, text bytes.Buffer
		report := &Report{Scenario: "<s>", RunReport: *r, Baseline: r}
		Expect(report.WriteHTML(&page)).To(Succeed())
		Expect(page.String()).To(And(ContainSubstring("<svg"), ContainSubstring("&lt;s&gt;"), Not(ContainSubstring("src="))))
		Expect(report.WriteJSON(&text)).To(Succeed())
		for _, field := range []string{"offered", "attained", "attainment", "finished", "shed", "ttft_ms_p50", "ttft_ms_p95", "tbt_ms_p95",
			"goodput_per_s", "wasted_share", "higher_tier_shed", "starved", "wrong_answer", "partial_answer", "false_not_run",
			"double_run", "work_after_leave", "cut_in_flight", "reverted_revision"} {
			Expect(text.String()).To(ContainSubstring(`"` + field + `"`))
		}
	})
})
