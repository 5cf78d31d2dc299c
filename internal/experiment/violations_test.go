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
	epoch   = time.Unix(1000, 0)
	topTier = &ticket.Class{Name: "top", Tier: 1, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(50 * time.Millisecond)}
	lowTier = &ticket.Class{Name: "low", Tier: 5, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(50 * time.Millisecond)}
)

func atSecond(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// newCall returns a streamed call that lasts from one second to another.
func newCall(class *ticket.Class, key string, from, to float64, outcome CallOutcome, content Content) *Call {
	return &Call{
		Request:     &PlannedRequest{Class: class, RecordKey: key, Target: "m", Prompt: "p", Stream: true, Copies: 1},
		ScheduledAt: atSecond(from), EndedAt: atSecond(to), Outcome: outcome, Content: content,
		FirstTokenDelay: 100 * time.Millisecond, TokenGapMicros: []uint32{20000, 30000}, ReceivedTokens: 3,
	}
}

func newRefusedCall(class *ticket.Class, key string, from, to float64, reason dispatch.ErrorType) *Call {
	c := newCall(class, key, from, to, OutcomeNotRun, ContentPartial)
	c.Refusal, c.FirstTokenDelay = reason, 0
	return c
}

func withIdempotencyKey(c *Call) *Call {
	c.Request.IdempotencyKey = "k"
	return c
}

func withFirstTokenAt(seconds float64, c *Call) *Call {
	c.FirstTokenDelay = time.Duration(seconds * float64(time.Second))
	return c
}

// engineRecords returns the records of one engine that ran the given requests.
func engineRecords(requests ...standin.RequestRecord) []EndpointRecords {
	r := standin.Records{Runs: map[string]int{}, Requests: requests}
	for _, rec := range requests {
		r.Runs[rec.Key]++
		r.TokensGenerated += uint64(rec.TokensGenerated)
	}
	return []EndpointRecords{{Name: "e", Serves: "m", IsEngine: true, Records: r}}
}

func requestRecord(key string, from, to float64, outcome standin.Outcome) standin.RequestRecord {
	return standin.RequestRecord{Key: key, ReceivedAt: atSecond(from), EndedAt: atSecond(to), Outcome: outcome, TokensGenerated: 3}
}

var _ = ginkgo.DescribeTable("counts violations from the stand-ins' records and the calls",
	func(o Observation, want Violations) {
		o.Started, o.Ended, o.StarvationWindow = epoch, atSecond(20), 10*time.Second
		Expect(CountViolations(&o)).To(Equal(want))
	},
	ginkgo.Entry("none", Observation{
		Calls:           []*Call{newCall(topTier, "a", 0, 1, OutcomeNormal, ContentComplete), newRefusedCall(topTier, "b", 0, 1, dispatch.Overloaded)},
		EndpointRecords: engineRecords(requestRecord("a", 0, 1, standin.OutcomeCompleted)),
	}, Violations{}),
	ginkgo.Entry("shed while a lower-tier request started", Observation{
		Calls:           []*Call{newRefusedCall(topTier, "b", 0, 4, dispatch.PatienceExceeded), newCall(lowTier, "a", 0, 5, OutcomeNormal, ContentComplete)},
		EndpointRecords: engineRecords(requestRecord("a", 2, 5, standin.OutcomeCompleted)),
	}, Violations{HigherTierShed: 1}),
	ginkgo.Entry("shed while a lower-tier request was already running", Observation{
		Calls:           []*Call{newRefusedCall(topTier, "b", 3, 4, dispatch.Overloaded), newCall(lowTier, "a", 0, 5, OutcomeNormal, ContentComplete)},
		EndpointRecords: engineRecords(requestRecord("a", 2, 5, standin.OutcomeCompleted)),
	}, Violations{}),
	ginkgo.Entry("a refusal by a workspace limit is not shedding", Observation{
		Calls:           []*Call{newRefusedCall(topTier, "b", 0, 4, dispatch.LimitExceeded), newCall(lowTier, "a", 0, 5, OutcomeNormal, ContentComplete)},
		EndpointRecords: engineRecords(requestRecord("a", 2, 5, standin.OutcomeCompleted)),
	}, Violations{}),
	ginkgo.Entry("a class that waits throughout a window", Observation{
		Calls: []*Call{withFirstTokenAt(15, newCall(lowTier, "a", 0, 20, OutcomeNormal, ContentComplete))},
	}, Violations{Starved: 1}),
	ginkgo.Entry("a class with a long answer still streaming", Observation{
		Calls: []*Call{newCall(lowTier, "a", 0, 20, OutcomeNormal, ContentComplete)},
	}, Violations{}),
	ginkgo.Entry("a class that completes a request in each window", Observation{
		Calls: []*Call{withFirstTokenAt(15, newCall(lowTier, "a", 0, 20, OutcomeNormal, ContentComplete)), newCall(lowTier, "b", 0, 9, OutcomeNormal, ContentComplete)},
	}, Violations{}),
	ginkgo.Entry("a call that times out without a response", Observation{
		Calls: []*Call{{Request: &PlannedRequest{Class: lowTier}, ScheduledAt: epoch, EndedAt: atSecond(3), Outcome: OutcomeTimedOut, Content: ContentPartial}},
	}, Violations{Starved: 1}),
	ginkgo.Entry("a wrong answer in a failed call", Observation{
		Calls: []*Call{newCall(topTier, "a", 0, 1, OutcomeFailed, ContentWrong)},
	}, Violations{WrongAnswer: 1}),
	ginkgo.Entry("a partial answer that ends without an error", Observation{
		Calls: []*Call{newCall(topTier, "a", 0, 1, OutcomeNormal, ContentPartial), newCall(topTier, "b", 0, 1, OutcomeFailed, ContentPartial)},
	}, Violations{PartialAnswer: 1}),
	ginkgo.Entry("not-run reported for a request that ran", Observation{
		Calls:           []*Call{newRefusedCall(topTier, "a", 0, 1, dispatch.EndpointFailed)},
		EndpointRecords: engineRecords(requestRecord("a", 0, 1, standin.OutcomeCrashed)),
	}, Violations{FalseNotRun: 1}),
	ginkgo.Entry("a protected request and an unprotected one that ran twice", Observation{
		Calls:           []*Call{withIdempotencyKey(newCall(topTier, "a", 0, 1, OutcomeNormal, ContentComplete)), newCall(topTier, "b", 0, 1, OutcomeNormal, ContentComplete)},
		EndpointRecords: engineRecords(requestRecord("a", 0, 1, standin.OutcomeCompleted), requestRecord("a", 0, 1, standin.OutcomeCompleted), requestRecord("b", 0, 1, standin.OutcomeCrashed), requestRecord("b", 0, 1, standin.OutcomeCompleted)),
	}, Violations{DoubleRun: 1}),
	ginkgo.Entry("work during a drain, but not after its end", Observation{
		Drains:          []DrainPeriod{{Endpoint: "e", From: atSecond(1), To: atSecond(8)}},
		EndpointRecords: engineRecords(requestRecord("a", 3, 4, standin.OutcomeCompleted), requestRecord("b", 5, 6, standin.OutcomeCompleted), requestRecord("c", 9, 10, standin.OutcomeCompleted)),
	}, Violations{WorkAfterLeave: 1}),
	ginkgo.Entry("a running request cut by a drain", Observation{
		Drains:          []DrainPeriod{{Endpoint: "e", From: atSecond(1)}},
		Calls:           []*Call{newCall(topTier, "a", 0, 2, OutcomeFailed, ContentPartial), newCall(topTier, "b", 0, 2, OutcomeNormal, ContentComplete), newCall(topTier, "c", 0, 2, OutcomeTimedOut, ContentPartial)},
		EndpointRecords: engineRecords(requestRecord("a", 0, 2, standin.OutcomeCancelled), requestRecord("b", 0, 2, standin.OutcomeCrashed), requestRecord("c", 0, 2, standin.OutcomeCancelled)),
	}, Violations{CutInFlight: 1}),
	ginkgo.Entry("a process that reports an older revision", Observation{
		Revisions: []RevisionSample{{Process: "p", Revision: 2}, {Process: "q", Revision: 1}, {Process: "p", Revision: 1}, {Process: "p", Revision: 2}},
	}, Violations{RevertedRevision: 1}),
)

var _ = ginkgo.Describe("a report", func() {
	ginkgo.It("reports the counts per class, the goodput and the wasted tokens", func() {
		late := newCall(topTier, "c", 0, 3, OutcomeNormal, ContentComplete)
		late.FirstTokenDelay = 2 * time.Second
		repeat := newCall(topTier, "a", 0, 1, OutcomeNormal, ContentComplete)
		repeat.CopyIndex = 1
		o := &Observation{Started: epoch, Ended: atSecond(5), StarvationWindow: 10 * time.Second,
			Calls: []*Call{newCall(topTier, "a", 0, 1, OutcomeNormal, ContentComplete), repeat, late,
				newRefusedCall(topTier, "b", 0, 1, dispatch.Overloaded), newCall(topTier, "d", 0, 1, OutcomeFailed, ContentPartial)},
			EndpointRecords: engineRecords(requestRecord("a", 0, 1, standin.OutcomeCompleted), requestRecord("c", 0, 1, standin.OutcomeCompleted), requestRecord("d", 0, 1, standin.OutcomeCrashed), requestRecord("d", 0, 1, standin.OutcomeCrashed)),
		}
		o.Calls[1].ReceivedTokens = 0
		r := buildRunReport(o, 2*time.Second)
		c := r.Classes["top"]
		Expect(*c).To(And(HaveField("Offered", 4), HaveField("Attained", 1), HaveField("Finished", 2),
			HaveField("Shed", 1), HaveField("Failed", 1), HaveField("Attainment", 0.25)))
		Expect(c.TTFTP95MS).To(BeNumerically("~", 2000, 10))
		Expect(c.TBTP95MS).To(BeNumerically("~", 30, 0.1))
		Expect(r.GoodputPerSecond).To(Equal(0.5))
		Expect(r.WastedTokenFraction).To(Equal(0.5))
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
