// Package ledger records protected requests: which claim may run an attempt, how
// each attempt ended, and the stored answer that a repeated request receives.
//
// It is part of a replicated state machine: results depend only on the operations
// and their timestamps. It has no clock, goroutines or I/O.
package ledger

import (
	"crypto/sha256"
	"crypto/subtle"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// entryOverheadBytes estimates the memory of an entry without its strings and
// answer: the entry itself, its map slot and its queue links.
const entryOverheadBytes = 384

// RequestKey identifies a protected request.
type RequestKey struct {
	Workspace      string
	IdempotencyKey string
}

// Bounds limit what the ledger stores. They are part of each batch of operations, so
// that all replicas decide alike whatever their own settings are.
type Bounds struct {
	RetentionMs    int64 // time for which an entry is stored after its last change
	MaxEntries     int
	MaxBytes       int64 // limit of the estimated memory of all entries
	MaxAnswerBytes int   // the body of a longer answer is not stored
}

// entry is the newest claim of one key. A resend of a granted claim has the same
// request ID, afterAttempt, endpoint and incarnation.
type entry struct {
	key           RequestKey
	bodyDigest    [sha256.Size]byte
	state         pb.ClaimState // RUNNING, SETTLED, UNKNOWN or NOT_RUN
	attempt       uint32
	afterAttempt  uint32 // attempt confirmed not to have run, on which the claim is based, or 0
	requestID     string
	endpoint      string
	incarnation   uint64
	answer        *pb.StoredAnswer
	expiresUnixMs int64
	links         *queueLinks // nil while not queued
}

// Ledger stores the claims of protected requests. It is not safe for concurrent use.
type Ledger struct {
	entries    map[RequestKey]*entry
	queue      queue // entries by last change
	entryBytes int64 // estimated memory of all entries
	logTimeMs  int64 // newest time of any operation, in Unix milliseconds
}

// New returns an empty ledger.
func New() *Ledger { return &Ledger{entries: map[RequestKey]*entry{}} }

// Len returns the number of entries.
func (l *Ledger) Len() int { return len(l.entries) }

// MemoryBytes returns the estimated memory of all entries.
func (l *Ledger) MemoryBytes() int64 { return l.entryBytes }

// LogTimeMs returns the newest time of any operation, in Unix milliseconds.
func (l *Ledger) LogTimeMs() int64 { return l.logTimeMs }

// AdvanceLogTime sets the log time to nowMs unless that is earlier, and removes the
// entries whose retention has ended.
func (l *Ledger) AdvanceLogTime(nowMs int64) {
	if nowMs > l.logTimeMs {
		l.logTimeMs = nowMs
	}
	for {
		oldest := l.queue.front()
		if oldest == nil || oldest.expiresUnixMs > l.logTimeMs {
			return
		}
		l.queue.remove(oldest)
		delete(l.entries, oldest.key)
		l.entryBytes -= oldest.memoryBytes()
	}
}

// Claim requests the right to run the next attempt. Each attempt is GRANTED to
// exactly one claim; a resend of that claim is GRANTED again while the attempt runs.
func (l *Ledger) Claim(nowMs int64, r *pb.ClaimRequest, b Bounds) *pb.ClaimResponse {
	l.AdvanceLogTime(nowMs)
	digest, ok := parseDigest(r.GetBodyDigest())
	if !ok || r.GetRequestId() == "" || r.GetKey() == "" {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_CONFLICT}
	}
	e := l.entries[RequestKey{r.GetWorkspace(), r.GetKey()}]
	if e == nil {
		return l.claimNewKey(r, digest, b)
	}
	if subtle.ConstantTimeCompare(e.bodyDigest[:], digest[:]) == 0 {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_CONFLICT}
	}
	if e.isResendOfGrant(r) {
		return e.response(pb.ClaimState_CLAIM_STATE_GRANTED)
	}
	if e.allowsNextAttempt(r) {
		l.grantNextAttempt(e, r, b)
		return e.response(pb.ClaimState_CLAIM_STATE_GRANTED)
	}
	return e.response(e.state)
}

// claimNewKey grants the first attempt of a key without an entry. A claim that names
// an earlier attempt refers to an expired entry. The outcome of that attempt is
// unknown, so the claim is not granted.
func (l *Ledger) claimNewKey(r *pb.ClaimRequest, digest [sha256.Size]byte, b Bounds) *pb.ClaimResponse {
	if r.GetAfterAttempt() != 0 {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_UNKNOWN}
	}
	e := &entry{key: RequestKey{r.GetWorkspace(), r.GetKey()}, bodyDigest: digest}
	if len(l.entries) >= b.MaxEntries || l.entryBytes+e.memoryBytesWith(r) > b.MaxBytes {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_FULL}
	}
	l.entries[e.key] = e
	l.entryBytes += e.memoryBytes()
	l.grantNextAttempt(e, r, b)
	return e.response(pb.ClaimState_CLAIM_STATE_GRANTED)
}

// grantNextAttempt grants the next attempt of e to the claim r.
func (l *Ledger) grantNextAttempt(e *entry, r *pb.ClaimRequest, b Bounds) {
	l.entryBytes -= e.memoryBytes()
	e.attempt++
	e.afterAttempt = r.GetAfterAttempt()
	e.requestID = r.GetRequestId()
	e.endpoint = r.GetEndpoint()
	e.incarnation = r.GetIncarnation()
	e.state = pb.ClaimState_CLAIM_STATE_RUNNING
	l.entryBytes += e.memoryBytes()
	l.restartRetention(e, b)
}

// restartRetention restarts the retention of e. The expiry never moves earlier.
func (l *Ledger) restartRetention(e *entry, b Bounds) {
	expiresUnixMs := l.logTimeMs + b.RetentionMs
	if expiresUnixMs > e.expiresUnixMs {
		e.expiresUnixMs = expiresUnixMs
	}
	l.queue.moveToBack(e)
}

// Settle records how an attempt ended. It changes nothing if the attempt is not the
// newest one or was granted to another request. RAN also settles an attempt that is
// recorded as UNKNOWN or NOT_RUN; a settled attempt no longer changes.
func (l *Ledger) Settle(nowMs int64, r *pb.SettleRequest, b Bounds) *pb.SettleResponse {
	l.AdvanceLogTime(nowMs)
	e := l.entries[RequestKey{r.GetWorkspace(), r.GetKey()}]
	if e == nil {
		return &pb.SettleResponse{State: pb.ClaimState_CLAIM_STATE_NONE}
	}
	if e.attempt != r.GetAttempt() || e.requestID != r.GetRequestId() {
		return &pb.SettleResponse{State: e.state}
	}
	next := stateAfter(e.state, r.GetExecution())
	if next == e.state {
		return &pb.SettleResponse{State: e.state}
	}
	l.entryBytes -= e.memoryBytes()
	e.state = next
	if next == pb.ClaimState_CLAIM_STATE_SETTLED {
		e.answer = l.storableAnswer(r.GetAnswer(), b)
	}
	l.entryBytes += e.memoryBytes()
	l.restartRetention(e, b)
	return &pb.SettleResponse{State: e.state}
}

// stateAfter returns the state of an entry after its attempt ended with an execution
// outcome.
func stateAfter(state pb.ClaimState, execution pb.Execution) pb.ClaimState {
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

// storableAnswer returns the answer, without its body if that exceeds a bound.
func (l *Ledger) storableAnswer(a *pb.StoredAnswer, b Bounds) *pb.StoredAnswer {
	if a == nil {
		return &pb.StoredAnswer{Omitted: true}
	}
	size := len(a.GetBody())
	if size <= b.MaxAnswerBytes && l.entryBytes+int64(size) <= b.MaxBytes {
		return a
	}
	return &pb.StoredAnswer{Status: a.GetStatus(), ContentType: a.GetContentType(), Omitted: true}
}

// Lookup returns the state of a key at a time. It changes nothing.
func (l *Ledger) Lookup(nowMs int64, r *pb.LookupRequest) *pb.ClaimResponse {
	e := l.entries[RequestKey{r.GetWorkspace(), r.GetKey()}]
	if e == nil || e.expiresUnixMs <= max(nowMs, l.logTimeMs) {
		return &pb.ClaimResponse{State: pb.ClaimState_CLAIM_STATE_NONE}
	}
	return e.response(e.state)
}

// isResendOfGrant reports whether r repeats the claim that was granted the
// current attempt, and that attempt still runs.
func (e *entry) isResendOfGrant(r *pb.ClaimRequest) bool {
	return e.state == pb.ClaimState_CLAIM_STATE_RUNNING &&
		e.requestID == r.GetRequestId() &&
		e.afterAttempt == r.GetAfterAttempt() &&
		e.endpoint == r.GetEndpoint() &&
		e.incarnation == r.GetIncarnation()
}

// allowsNextAttempt reports whether r may be granted the attempt after the current
// one, because the current one is known not to have run. A claim that names no earlier
// attempt must come from another request: from the same one it may be a late resend.
func (e *entry) allowsNextAttempt(r *pb.ClaimRequest) bool {
	confirmsNotRun := r.GetAfterAttempt() == e.attempt
	switch e.state {
	case pb.ClaimState_CLAIM_STATE_NOT_RUN:
		return confirmsNotRun || (r.GetAfterAttempt() == 0 && r.GetRequestId() != e.requestID)
	case pb.ClaimState_CLAIM_STATE_RUNNING:
		return confirmsNotRun
	default:
		return false
	}
}

func (e *entry) response(state pb.ClaimState) *pb.ClaimResponse {
	return &pb.ClaimResponse{
		State:       state,
		Attempt:     e.attempt,
		RequestId:   e.requestID,
		Endpoint:    e.endpoint,
		Incarnation: e.incarnation,
		Answer:      e.answer,
	}
}

// memoryBytes estimates the memory of e.
func (e *entry) memoryBytes() int64 {
	n := entryOverheadBytes + len(e.key.Workspace) + len(e.key.IdempotencyKey) + len(e.requestID) + len(e.endpoint)
	if e.answer != nil {
		n += len(e.answer.GetBody()) + len(e.answer.GetContentType())
	}
	return int64(n)
}

// memoryBytesWith estimates the memory of e after it is granted to r.
func (e *entry) memoryBytesWith(r *pb.ClaimRequest) int64 {
	return e.memoryBytes() + int64(len(r.GetRequestId())+len(r.GetEndpoint()))
}

func parseDigest(b []byte) (d [sha256.Size]byte, ok bool) {
	if len(b) != sha256.Size {
		return d, false
	}
	copy(d[:], b)
	return d, true
}
