// Package ledger records protected requests: who may run an attempt, how each
// attempt ended, and the answer that a repeat of the request gets.
//
// It is a state machine of the replicated log: every result depends on the
// operations and their times alone. It has no clock, goroutine or I/O.
package ledger

import (
	"crypto/sha256"
	"crypto/subtle"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// entryOverhead is the memory of one entry beside its strings and answer, in
// bytes: the entry, its place in the map and in the queue.
const entryOverhead = 384

// Key names one protected request of one workspace.
type Key struct {
	Workspace string
	Key       string
}

// Bounds limit what the ledger keeps. They travel with each batch, so that
// every replica decides alike whatever its own settings are.
type Bounds struct {
	RetentionMs    int64 // how long an entry is kept after its last change
	MaxEntries     int
	MaxBytes       int64 // of all entries, by the ledger's own estimate
	MaxAnswerBytes int   // longer answers are not kept
}

// entry is the claim of one key. The identity of a grant is the request id
// and the attempt that the claim came after.
type entry struct {
	key         Key
	digest      [sha256.Size]byte
	state       pb.ClaimState // RUNNING, SETTLED, UNKNOWN or NOT_RUN
	attempt     uint32
	after       uint32
	requestID   string
	endpoint    string
	incarnation uint64
	answer      *pb.StoredAnswer
	expiresMs   int64
	place       *place
}

// Ledger holds the claims. It is not safe for concurrent use.
type Ledger struct {
	entries map[Key]*entry
	queue   queue
	bytes   int64
	nowMs   int64
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{entries: map[Key]*entry{}} }

// Len is the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// Bytes estimates the memory of all entries.
func (l *Ledger) Bytes() int64 { return l.bytes }

// NowMs is the log's time: the newest time of any operation.
func (l *Ledger) NowMs() int64 { return l.nowMs }

// Advance moves log time to nowMs unless that is in the past, and drops the
// entries whose retention has ended.
func (l *Ledger) Advance(nowMs int64) {
	if nowMs > l.nowMs {
		l.nowMs = nowMs
	}
	for {
		oldest := l.queue.first()
		if oldest == nil || oldest.expiresMs > l.nowMs {
			return
		}
		l.queue.remove(oldest)
		delete(l.entries, oldest.key)
		l.bytes -= oldest.size()
	}
}

// Claim asks for the right to run one attempt. GRANTED is given to exactly
// one claim for each attempt, and again to a resend of that claim.
func (l *Ledger) Claim(nowMs int64, r *pb.ClaimRequest, b Bounds) *pb.ClaimResponse {
	l.Advance(nowMs)
	digest, ok := digestOf(r.GetBodyDigest())
	if !ok || r.GetRequestId() == "" || r.GetKey() == "" {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_CONFLICT}
	}
	e := l.entries[Key{r.GetWorkspace(), r.GetKey()}]
	if e == nil {
		return l.first(r, digest, b)
	}
	if subtle.ConstantTimeCompare(e.digest[:], digest[:]) == 0 {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_CONFLICT}
	}
	if e.isGrantOf(r) {
		return e.answerAs(pb.ClaimState_CLAIM_STATE_GRANTED)
	}
	if e.admits(r) {
		l.grant(e, r, b)
		return e.answerAs(pb.ClaimState_CLAIM_STATE_GRANTED)
	}
	return e.answerAs(e.state)
}

// first records a key that the ledger does not know. A claim that names an
// earlier attempt is about an entry that has expired: what became of it is
// unknown, so it is not granted.
func (l *Ledger) first(r *pb.ClaimRequest, digest [sha256.Size]byte, b Bounds) *pb.ClaimResponse {
	if r.GetAfterAttempt() != 0 {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_UNKNOWN}
	}
	e := &entry{key: Key{r.GetWorkspace(), r.GetKey()}, digest: digest}
	if len(l.entries) >= b.MaxEntries || l.bytes+e.sizeWith(r) > b.MaxBytes {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_FULL}
	}
	l.entries[e.key] = e
	l.bytes += e.size()
	l.grant(e, r, b)
	return e.answerAs(pb.ClaimState_CLAIM_STATE_GRANTED)
}

// grant hands the next attempt of e to the claim r.
func (l *Ledger) grant(e *entry, r *pb.ClaimRequest, b Bounds) {
	l.bytes -= e.size()
	e.attempt++
	e.after = r.GetAfterAttempt()
	e.requestID = r.GetRequestId()
	e.endpoint = r.GetEndpoint()
	e.incarnation = r.GetIncarnation()
	e.state = pb.ClaimState_CLAIM_STATE_RUNNING
	l.bytes += e.size()
	l.touch(e, b)
}

// touch starts the retention of e anew.
func (l *Ledger) touch(e *entry, b Bounds) {
	expires := l.nowMs + b.RetentionMs
	if expires > e.expiresMs {
		e.expiresMs = expires
	}
	l.queue.moveToBack(e)
}

// Settle records how an attempt ended. A settle for another attempt, or by
// another request than the one that holds the attempt, changes nothing. RAN
// also replaces UNKNOWN and NOT_RUN of the same attempt; nothing replaces RAN.
func (l *Ledger) Settle(nowMs int64, r *pb.SettleRequest, b Bounds) *pb.SettleResponse {
	l.Advance(nowMs)
	e := l.entries[Key{r.GetWorkspace(), r.GetKey()}]
	if e == nil {
		return &pb.SettleResponse{State: pb.ClaimState_CLAIM_STATE_NONE}
	}
	if e.attempt != r.GetAttempt() || e.requestID != r.GetRequestId() {
		return &pb.SettleResponse{State: e.state}
	}
	next := settled(e.state, r.GetExecution())
	if next == e.state {
		return &pb.SettleResponse{State: e.state}
	}
	l.bytes -= e.size()
	e.state = next
	if next == pb.ClaimState_CLAIM_STATE_SETTLED {
		e.answer = l.keep(r.GetAnswer(), b)
	}
	l.bytes += e.size()
	l.touch(e, b)
	return &pb.SettleResponse{State: e.state}
}

// settled is the state that follows from state when an attempt ended so.
func settled(state pb.ClaimState, execution pb.Execution) pb.ClaimState {
	if state == pb.ClaimState_CLAIM_STATE_SETTLED {
		return state
	}
	if execution == pb.Execution_EXECUTION_RAN {
		return pb.ClaimState_CLAIM_STATE_SETTLED
	}
	if state != pb.ClaimState_CLAIM_STATE_RUNNING {
		return state
	}
	switch execution {
	case pb.Execution_EXECUTION_NOT_RUN:
		return pb.ClaimState_CLAIM_STATE_NOT_RUN
	case pb.Execution_EXECUTION_UNKNOWN:
		return pb.ClaimState_CLAIM_STATE_UNKNOWN
	default:
		return state
	}
}

// keep returns the answer, without its body if that is over a bound.
func (l *Ledger) keep(a *pb.StoredAnswer, b Bounds) *pb.StoredAnswer {
	if a == nil {
		return &pb.StoredAnswer{Omitted: true}
	}
	size := len(a.GetBody())
	if size <= b.MaxAnswerBytes && l.bytes+int64(size) <= b.MaxBytes {
		return a
	}
	return &pb.StoredAnswer{Status: a.GetStatus(), ContentType: a.GetContentType(), Omitted: true}
}

// Lookup reads a claim at the given time without making one.
func (l *Ledger) Lookup(nowMs int64, r *pb.LookupRequest) *pb.ClaimResponse {
	e := l.entries[Key{r.GetWorkspace(), r.GetKey()}]
	if e == nil || e.expiresMs <= max(nowMs, l.nowMs) {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_NONE}
	}
	return e.answerAs(e.state)
}

// isGrantOf tells whether r is a resend of the claim that was granted the
// present attempt, which still runs.
func (e *entry) isGrantOf(r *pb.ClaimRequest) bool {
	return e.state == pb.ClaimState_CLAIM_STATE_RUNNING &&
		e.requestID == r.GetRequestId() &&
		e.after == r.GetAfterAttempt() &&
		e.endpoint == r.GetEndpoint() &&
		e.incarnation == r.GetIncarnation()
}

// admits tells whether r may be granted the attempt after the present one:
// the present one is known not to have run. A late resend of the claim that
// held it does not count as a new claim.
func (e *entry) admits(r *pb.ClaimRequest) bool {
	confirmed := r.GetAfterAttempt() == e.attempt
	switch e.state {
	case pb.ClaimState_CLAIM_STATE_NOT_RUN:
		return confirmed || (r.GetAfterAttempt() == 0 && r.GetRequestId() != e.requestID)
	case pb.ClaimState_CLAIM_STATE_RUNNING:
		return confirmed
	default:
		return false
	}
}

func (e *entry) answerAs(state pb.ClaimState) *pb.ClaimResponse {
	return &pb.ClaimResponse{
		State:       state,
		Attempt:     e.attempt,
		RequestId:   e.requestID,
		Endpoint:    e.endpoint,
		Incarnation: e.incarnation,
		Answer:      e.answer,
	}
}

// size estimates the memory of e in bytes.
func (e *entry) size() int64 {
	n := entryOverhead + len(e.key.Workspace) + len(e.key.Key) + len(e.requestID) + len(e.endpoint)
	if e.answer != nil {
		n += len(e.answer.GetBody()) + len(e.answer.GetContentType())
	}
	return int64(n)
}

// sizeWith is the size of e once r has been granted.
func (e *entry) sizeWith(r *pb.ClaimRequest) int64 {
	return e.size() + int64(len(r.GetRequestId())+len(r.GetEndpoint()))
}

func digestOf(b []byte) (d [sha256.Size]byte, ok bool) {
	if len(b) != sha256.Size {
		return d, false
	}
	copy(d[:], b)
	return d, true
}
