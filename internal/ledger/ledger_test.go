package ledger_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ledger"
)

func init() {
	_ = flag.Set("rapid.seed", "20261203")
	_ = flag.Set("rapid.checks", "1000")
}

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

const (
	granted  = pb.ClaimState_CLAIM_STATE_GRANTED
	running  = pb.ClaimState_CLAIM_STATE_RUNNING
	settled  = pb.ClaimState_CLAIM_STATE_SETTLED
	unknown  = pb.ClaimState_CLAIM_STATE_UNKNOWN
	conflict = pb.ClaimState_CLAIM_STATE_CONFLICT
	full     = pb.ClaimState_CLAIM_STATE_FULL
	none     = pb.ClaimState_CLAIM_STATE_NONE
	notRun   = pb.ClaimState_CLAIM_STATE_NOT_RUN

	ran        = pb.Execution_EXECUTION_RAN
	didNotRun  = pb.Execution_EXECUTION_NOT_RUN
	isNotKnown = pb.Execution_EXECUTION_UNKNOWN
)

var wide = ledger.Bounds{RetentionMs: 1000, MaxEntries: 100, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 10}

func claim(request string, after uint32, body string) *pb.ClaimRequest {
	digest := sha256.Sum256([]byte(body))
	return &pb.ClaimRequest{
		Workspace: "w", Key: "k", BodyDigest: digest[:], RequestId: request,
		Endpoint: "e", Incarnation: 7, AfterAttempt: after,
	}
}

func settle(request string, attempt uint32, e pb.Execution, body string) *pb.SettleRequest {
	r := &pb.SettleRequest{Workspace: "w", Key: "k", Attempt: attempt, RequestId: request, Execution: e}
	if e == ran {
		r.Answer = &pb.StoredAnswer{Status: 200, Body: []byte(body)}
	}
	return r
}

// step is one operation and the state that it must return.
type step struct {
	op   proto.Message
	want pb.ClaimState
}

func run(l *ledger.Ledger, nowMs int64, op proto.Message, b ledger.Bounds) *pb.ClaimResponse {
	switch r := op.(type) {
	case *pb.ClaimRequest:
		return l.Claim(nowMs, r, b)
	case *pb.SettleRequest:
		return &pb.ClaimResponse{State: l.Settle(nowMs, r, b).GetState()}
	default:
		return l.Lookup(nowMs, op.(*pb.LookupRequest))
	}
}

var _ = DescribeTable("resends and races", func(steps ...step) {
	l := ledger.New()
	for i, s := range steps {
		Expect(run(l, int64(i), s.op, wide).GetState()).To(Equal(s.want), "step %d", i)
	}
},
	Entry("a claim sent again is the same grant",
		step{claim("r", 0, "b"), granted}, step{claim("r", 0, "b"), granted}),
	Entry("another request waits for the running one",
		step{claim("r", 0, "b"), granted}, step{claim("s", 0, "b"), running}),
	Entry("another body is a conflict, also after the answer",
		step{claim("r", 0, "b"), granted}, step{claim("s", 0, "c"), conflict},
		step{settle("r", 1, ran, "x"), settled}, step{claim("s", 0, "c"), conflict}),
	Entry("a repeat after the answer gets the answer",
		step{claim("r", 0, "b"), granted}, step{settle("r", 1, ran, "x"), settled},
		step{claim("s", 0, "b"), settled}, step{claim("r", 0, "b"), settled}),
	Entry("an unknown outcome is never run again",
		step{claim("r", 0, "b"), granted}, step{settle("r", 1, isNotKnown, ""), unknown},
		step{claim("s", 0, "b"), unknown}, step{claim("r", 1, "b"), unknown},
		step{settle("r", 1, didNotRun, ""), unknown}),
	Entry("a late answer of the same attempt beats unknown",
		step{claim("r", 0, "b"), granted}, step{settle("r", 1, isNotKnown, ""), unknown},
		step{settle("r", 1, ran, "x"), settled}, step{settle("r", 1, isNotKnown, ""), settled}),
	Entry("after a tombstone exactly one claim wins the next attempt",
		step{claim("r", 0, "b"), granted}, step{claim("s", 1, "b"), granted},
		step{claim("t", 1, "b"), running}, step{claim("r", 1, "b"), running},
		step{claim("s", 1, "b"), granted}),
	Entry("a settle of an old attempt changes nothing",
		step{claim("r", 0, "b"), granted}, step{claim("s", 1, "b"), granted},
		step{settle("r", 1, ran, "x"), running}, step{settle("r", 1, didNotRun, ""), running},
		step{settle("s", 2, ran, "y"), settled}, step{settle("s", 2, ran, "z"), settled}),
	Entry("a settle by another request changes nothing",
		step{claim("r", 0, "b"), granted}, step{settle("s", 1, ran, "x"), running}),
	Entry("after not-run a new request runs, and a late resend of the old one does not",
		step{claim("r", 0, "b"), granted}, step{settle("r", 1, didNotRun, ""), notRun},
		step{claim("r", 0, "b"), notRun}, step{claim("s", 0, "b"), granted}),
	Entry("the same grant at another endpoint is not a resend",
		step{claim("r", 0, "b"), granted},
		step{&pb.ClaimRequest{Workspace: "w", Key: "k", BodyDigest: claim("r", 0, "b").GetBodyDigest(),
			RequestId: "r", Endpoint: "other", Incarnation: 7}, running}),
	Entry("an attempt after one that the ledger has forgotten is not granted",
		step{claim("r", 3, "b"), unknown}, step{&pb.LookupRequest{Workspace: "w", Key: "k"}, none}),
	Entry("a claim without a whole digest is refused",
		step{&pb.ClaimRequest{Workspace: "w", Key: "k", RequestId: "r", BodyDigest: []byte("short")}, conflict}),
)

var _ = Describe("bounds and retention", func() {
	It("refuses a claim over a bound and keeps what it has", func() {
		l := ledger.New()
		bounds := wide
		bounds.MaxEntries = 1
		Expect(l.Claim(1, claim("r", 0, "b"), bounds).GetState()).To(Equal(granted))
		other := claim("r", 0, "b")
		other.Key = "k2"
		Expect(l.Claim(1, other, bounds).GetState()).To(Equal(full))
		Expect(l.Len()).To(Equal(1))
		bounds = wide
		bounds.MaxBytes = l.Bytes()
		Expect(l.Claim(1, other, bounds).GetState()).To(Equal(full))
	})

	It("settles an answer over the bound without its body", func() {
		l := ledger.New()
		bounds := wide
		bounds.MaxAnswerBytes = 3
		l.Claim(1, claim("r", 0, "b"), bounds)
		Expect(l.Settle(1, settle("r", 1, ran, "long"), bounds).GetState()).To(Equal(settled))
		answer := l.Lookup(1, &pb.LookupRequest{Workspace: "w", Key: "k"}).GetAnswer()
		Expect(answer.GetOmitted()).To(BeTrue())
		Expect(answer.GetStatus()).To(BeEquivalentTo(200))
		Expect(answer.GetBody()).To(BeEmpty())
	})

	It("keeps a key for its retention after the last change, in log time", func() {
		l := ledger.New()
		l.Claim(100, claim("r", 0, "b"), wide)
		l.Settle(500, settle("r", 1, ran, "x"), wide)
		Expect(l.Claim(1499, claim("s", 0, "b"), wide).GetState()).To(Equal(settled))
		Expect(l.Claim(0, claim("s", 0, "b"), wide).GetState()).To(Equal(settled))
		Expect(l.Claim(1500, claim("s", 0, "b"), wide).GetState()).To(Equal(granted))
	})

	It("keeps the promise made when a later batch has a shorter retention", func() {
		l := ledger.New()
		l.Claim(100, claim("r", 0, "b"), wide)
		shorter := wide
		shorter.RetentionMs = 10
		l.Settle(200, settle("r", 1, ran, "x"), shorter)
		Expect(l.Claim(1099, claim("s", 0, "b"), shorter).GetState()).To(Equal(settled))
	})
})

// world is the rest of the system in the state machine below: which attempts
// were granted, which of them ran, and which are tombstoned.
type world struct {
	ledger *ledger.Ledger
	nowMs  int64
	sent   []proto.Message // may be delivered again at any time
	holder map[uint32]string
	tomb   map[uint32]bool
	ran    map[uint32]bool
	answer []byte
}

// TestAtMostOnce checks, over random claims, settles, tombstones, resends and
// restarts, that no two attempts of a key run and that an answer never changes.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{ledger: ledger.New(), holder: map[uint32]string{}, tomb: map[uint32]bool{}, ran: map[uint32]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				after := uint32(0)
				if confirmed := w.tombstoned(); len(confirmed) > 0 && rapid.Bool().Draw(t, "confirmed") {
					after = rapid.SampledFrom(confirmed).Draw(t, "after")
				}
				w.deliver(t, claim(fmt.Sprintf("r%d", rapid.IntRange(0, 1).Draw(t, "request")), after, "b"))
			},
			"run": func(t *rapid.T) {
				attempt := w.draw(t)
				if !w.tomb[attempt] {
					w.ran[attempt] = true
				}
			},
			"tombstone": func(t *rapid.T) {
				attempt := w.draw(t)
				if !w.ran[attempt] {
					w.tomb[attempt] = true
				}
			},
			"settle": func(t *rapid.T) {
				attempt := w.draw(t)
				outcome := isNotKnown
				switch {
				case w.ran[attempt]:
					outcome = rapid.SampledFrom([]pb.Execution{ran, isNotKnown}).Draw(t, "outcome")
				case w.tomb[attempt]:
					outcome = rapid.SampledFrom([]pb.Execution{didNotRun, isNotKnown}).Draw(t, "outcome")
				}
				w.deliver(t, settle(w.holder[attempt], attempt, outcome, fmt.Sprintf("answer %d", len(w.sent))))
			},
			"resend": func(t *rapid.T) {
				if len(w.sent) == 0 {
					t.Skip("nothing sent")
				}
				w.deliver(t, rapid.SampledFrom(w.sent).Draw(t, "message"))
			},
			"restart": func(t *rapid.T) {
				restored, err := ledger.Restore(w.ledger.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				if restored.Bytes() != w.ledger.Bytes() || !proto.Equal(restored.Snapshot(), w.ledger.Snapshot()) {
					t.Fatal("a restored ledger differs")
				}
				w.ledger = restored
			},
			"": w.check,
		})
	})
}

func (w *world) deliver(t *rapid.T, op proto.Message) {
	w.sent = append(w.sent, op)
	w.nowMs += int64(rapid.IntRange(-3, 3).Draw(t, "ms"))
	answer := run(w.ledger, w.nowMs, op, ledger.Bounds{RetentionMs: 1 << 40, MaxEntries: 10, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 10})
	if answer.GetState() != granted {
		return
	}
	holder, again := w.holder[answer.GetAttempt()]
	if again && holder != answer.GetRequestId() {
		t.Fatalf("attempt %d granted to %s and %s", answer.GetAttempt(), holder, answer.GetRequestId())
	}
	w.holder[answer.GetAttempt()] = answer.GetRequestId()
}

func (w *world) draw(t *rapid.T) uint32 {
	if len(w.holder) == 0 {
		t.Skip("nothing granted")
	}
	return uint32(rapid.IntRange(1, len(w.holder)).Draw(t, "attempt"))
}

func (w *world) tombstoned() []uint32 {
	var list []uint32
	for attempt := uint32(1); attempt <= uint32(len(w.holder)); attempt++ {
		if w.tomb[attempt] {
			list = append(list, attempt)
		}
	}
	return list
}

func (w *world) check(t *rapid.T) {
	live := 0
	for attempt := range w.holder {
		if !w.tomb[attempt] {
			live++
		}
	}
	if live > 1 || len(w.ran) > 1 {
		t.Fatalf("%d attempts could run, %d ran", live, len(w.ran))
	}
	found := w.ledger.Lookup(w.nowMs, &pb.LookupRequest{Workspace: "w", Key: "k"})
	if w.answer != nil && (found.GetState() != settled || string(found.GetAnswer().GetBody()) != string(w.answer)) {
		t.Fatalf("the answer %q became %v", w.answer, found)
	}
	if found.GetState() == settled {
		w.answer = found.GetAnswer().GetBody()
	}
}
