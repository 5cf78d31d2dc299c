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
	mayHaveRun = pb.Execution_EXECUTION_UNKNOWN
)

var wideBounds = ledger.Bounds{RetentionMs: 1000, MaxEntries: 100, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 10}

func claim(request string, afterAttempt uint32, body string) *pb.ClaimRequest {
	digest := sha256.Sum256([]byte(body))
	return &pb.ClaimRequest{
		Workspace: "w", Key: "k", BodyDigest: digest[:], RequestId: request,
		Endpoint: "e", Incarnation: 7, AfterAttempt: afterAttempt,
	}
}

func settle(request string, attempt uint32, execution pb.Execution, body string) *pb.SettleRequest {
	r := &pb.SettleRequest{Workspace: "w", Key: "k", Attempt: attempt, RequestId: request, Execution: execution}
	if execution == ran {
		r.Answer = &pb.StoredAnswer{Status: 200, Body: []byte(body)}
	}
	return r
}

// step is one operation and the state that it must return.
type step struct {
	operation proto.Message
	want      pb.ClaimState
}

func apply(l *ledger.Ledger, nowMs int64, operation proto.Message, b ledger.Bounds) *pb.ClaimResponse {
	switch r := operation.(type) {
	case *pb.ClaimRequest:
		return l.Claim(nowMs, r, b)
	case *pb.SettleRequest:
		return &pb.ClaimResponse{State: l.Settle(nowMs, r, b).GetState()}
	default:
		return l.Lookup(nowMs, operation.(*pb.LookupRequest))
	}
}

var _ = DescribeTable("resends and concurrent claims", func(steps ...step) {
	l := ledger.New()
	for i, s := range steps {
		Expect(apply(l, int64(i), s.operation, wideBounds).GetState()).To(Equal(s.want), "step %d", i)
	}
},
	Entry("a resent claim gets the same grant",
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
		step{claim("r", 0, "b"), granted}, step{settle("r", 1, mayHaveRun, ""), unknown},
		step{claim("s", 0, "b"), unknown}, step{claim("r", 1, "b"), unknown},
		step{settle("r", 1, didNotRun, ""), unknown}),
	Entry("a late answer of the same attempt replaces unknown",
		step{claim("r", 0, "b"), granted}, step{settle("r", 1, mayHaveRun, ""), unknown},
		step{settle("r", 1, ran, "x"), settled}, step{settle("r", 1, mayHaveRun, ""), settled}),
	Entry("after a tombstone exactly one claim gets the next attempt",
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
	Entry("the same request at another endpoint is not a resend",
		step{claim("r", 0, "b"), granted},
		step{&pb.ClaimRequest{Workspace: "w", Key: "k", BodyDigest: claim("r", 0, "b").GetBodyDigest(),
			RequestId: "r", Endpoint: "other", Incarnation: 7}, running}),
	Entry("a claim after an attempt whose entry has expired is not granted",
		step{claim("r", 3, "b"), unknown}, step{&pb.LookupRequest{Workspace: "w", Key: "k"}, none}),
	Entry("a claim with a digest of the wrong length is a conflict",
		step{&pb.ClaimRequest{Workspace: "w", Key: "k", RequestId: "r", BodyDigest: []byte("short")}, conflict}),
)

var _ = Describe("bounds and retention", func() {
	It("refuses a claim over a bound and keeps its entries", func() {
		l := ledger.New()
		bounds := wideBounds
		bounds.MaxEntries = 1
		Expect(l.Claim(1, claim("r", 0, "b"), bounds).GetState()).To(Equal(granted))
		other := claim("r", 0, "b")
		other.Key = "k2"
		Expect(l.Claim(1, other, bounds).GetState()).To(Equal(full))
		Expect(l.Len()).To(Equal(1))
		bounds = wideBounds
		bounds.MaxBytes = l.MemoryBytes()
		Expect(l.Claim(1, other, bounds).GetState()).To(Equal(full))
	})

	It("stores an answer over the bound without its body", func() {
		l := ledger.New()
		bounds := wideBounds
		bounds.MaxAnswerBytes = 3
		l.Claim(1, claim("r", 0, "b"), bounds)
		Expect(l.Settle(1, settle("r", 1, ran, "long"), bounds).GetState()).To(Equal(settled))
		answer := l.Lookup(1, &pb.LookupRequest{Workspace: "w", Key: "k"}).GetAnswer()
		Expect(answer.GetOmitted()).To(BeTrue())
		Expect(answer.GetStatus()).To(BeEquivalentTo(200))
		Expect(answer.GetBody()).To(BeEmpty())
	})

	It("retains a key after its last change, in log time", func() {
		l := ledger.New()
		l.Claim(100, claim("r", 0, "b"), wideBounds)
		l.Settle(500, settle("r", 1, ran, "x"), wideBounds)
		Expect(l.Claim(1499, claim("s", 0, "b"), wideBounds).GetState()).To(Equal(settled))
		Expect(l.Claim(0, claim("s", 0, "b"), wideBounds).GetState()).To(Equal(settled))
		Expect(l.Claim(1500, claim("s", 0, "b"), wideBounds).GetState()).To(Equal(granted))
	})

	It("does not shorten a retention when a later batch has a shorter one", func() {
		l := ledger.New()
		l.Claim(100, claim("r", 0, "b"), wideBounds)
		shorter := wideBounds
		shorter.RetentionMs = 10
		l.Settle(200, settle("r", 1, ran, "x"), shorter)
		Expect(l.Claim(1099, claim("s", 0, "b"), shorter).GetState()).To(Equal(settled))
	})
})

// model is the expected state of the system around the ledger: which attempts were
// granted, which of them ran, and which are tombstoned so that they can't run.
type model struct {
	ledger     *ledger.Ledger
	nowMs      int64
	sent       []proto.Message   // may be delivered again at any time
	grantedTo  map[uint32]string // request ID by attempt
	tombstoned map[uint32]bool
	executed   map[uint32]bool
	answer     []byte // nil until an answer is stored
}

// Random claims, settles, tombstones, resends and restarts must never let two
// attempts of a key run, or change an answer once it is stored.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			ledger:    ledger.New(),
			grantedTo: map[uint32]string{}, tombstoned: map[uint32]bool{}, executed: map[uint32]bool{},
		}
		t.Repeat(map[string]func(*rapid.T){
			"claim": func(t *rapid.T) {
				after := uint32(0)
				if confirmed := m.tombstonedAttempts(); len(confirmed) > 0 && rapid.Bool().Draw(t, "confirmed") {
					after = rapid.SampledFrom(confirmed).Draw(t, "after")
				}
				m.deliver(t, claim(fmt.Sprintf("r%d", rapid.IntRange(0, 1).Draw(t, "request")), after, "b"))
			},
			"run": func(t *rapid.T) {
				attempt := m.drawAttempt(t)
				if !m.tombstoned[attempt] {
					m.executed[attempt] = true
				}
			},
			"tombstone": func(t *rapid.T) {
				attempt := m.drawAttempt(t)
				if !m.executed[attempt] {
					m.tombstoned[attempt] = true
				}
			},
			"settle": func(t *rapid.T) {
				attempt := m.drawAttempt(t)
				outcome := mayHaveRun
				switch {
				case m.executed[attempt]:
					outcome = rapid.SampledFrom([]pb.Execution{ran, mayHaveRun}).Draw(t, "outcome")
				case m.tombstoned[attempt]:
					outcome = rapid.SampledFrom([]pb.Execution{didNotRun, mayHaveRun}).Draw(t, "outcome")
				}
				m.deliver(t, settle(m.grantedTo[attempt], attempt, outcome, fmt.Sprintf("answer %d", len(m.sent))))
			},
			"resend": func(t *rapid.T) {
				if len(m.sent) == 0 {
					t.Skip("nothing sent")
				}
				m.deliver(t, rapid.SampledFrom(m.sent).Draw(t, "message"))
			},
			"restart": func(t *rapid.T) {
				restored, err := ledger.Restore(m.ledger.Snapshot())
				if err != nil {
					t.Fatal(err)
				}
				if restored.MemoryBytes() != m.ledger.MemoryBytes() || !proto.Equal(restored.Snapshot(), m.ledger.Snapshot()) {
					t.Fatal("a restored ledger differs")
				}
				m.ledger = restored
			},
			"": m.checkInvariants,
		})
	})
}

func (m *model) deliver(t *rapid.T, operation proto.Message) {
	m.sent = append(m.sent, operation)
	m.nowMs += int64(rapid.IntRange(-3, 3).Draw(t, "ms"))
	response := apply(m.ledger, m.nowMs, operation,
		ledger.Bounds{RetentionMs: 1 << 40, MaxEntries: 10, MaxBytes: 1 << 20, MaxAnswerBytes: 1 << 10})
	if response.GetState() != granted {
		return
	}
	owner, known := m.grantedTo[response.GetAttempt()]
	if known && owner != response.GetRequestId() {
		t.Fatalf("attempt %d granted to %s and %s", response.GetAttempt(), owner, response.GetRequestId())
	}
	m.grantedTo[response.GetAttempt()] = response.GetRequestId()
}

func (m *model) drawAttempt(t *rapid.T) uint32 {
	if len(m.grantedTo) == 0 {
		t.Skip("nothing granted")
	}
	return uint32(rapid.IntRange(1, len(m.grantedTo)).Draw(t, "attempt"))
}

func (m *model) tombstonedAttempts() []uint32 {
	var attempts []uint32
	for attempt := uint32(1); attempt <= uint32(len(m.grantedTo)); attempt++ {
		if m.tombstoned[attempt] {
			attempts = append(attempts, attempt)
		}
	}
	return attempts
}

func (m *model) checkInvariants(t *rapid.T) {
	mayRun := 0
	for attempt := range m.grantedTo {
		if !m.tombstoned[attempt] {
			mayRun++
		}
	}
	if mayRun > 1 || len(m.executed) > 1 {
		t.Fatalf("%d attempts could run, %d ran", mayRun, len(m.executed))
	}
	found := m.ledger.Lookup(m.nowMs, &pb.LookupRequest{Workspace: "w", Key: "k"})
	if m.answer != nil && (found.GetState() != settled || string(found.GetAnswer().GetBody()) != string(m.answer)) {
		t.Fatalf("the answer %q became %v", m.answer, found)
	}
	if found.GetState() == settled {
		m.answer = found.GetAnswer().GetBody()
	}
}
