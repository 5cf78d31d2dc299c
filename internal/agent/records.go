package agent

import (
	"strconv"
	"sync"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Limits of the records of protected attempts.
const (
	answerRetention     = 10 * time.Minute
	maxRecordedAttempts = 200_000
	maxStoredAnswers    = 2_000
)

// RecordsFullError reports that an incarnation has recorded its maximum number
// of protected attempts. The agent needs a new incarnation.
type RecordsFullError struct {
	Count int
}

func (e *RecordsFullError) Error() string {
	return "incarnation remembers " + strconv.Itoa(e.Count) + " protected requests, its bound"
}

// attemptID identifies one attempt of a request.
type attemptID struct {
	request string
	attempt uint32
}

// attemptRecord is the state of one protected attempt. Its phase only
// advances: from waiting to running to a final one, or from waiting to REFUSED.
type attemptRecord struct {
	phase   trefoilkeelv1.RequestPhase
	answer  *trefoilkeelv1.StoredAnswer
	endedAt time.Time
	done    chan struct{} // closed when the attempt has ended
}

// attemptRecords holds a record of every protected attempt of one incarnation.
// A record, also one of a tombstoned attempt, is kept as long as the incarnation,
// so that a delayed duplicate can't run; only the answer expires.
type attemptRecords struct {
	mu       sync.Mutex
	byID     map[attemptID]*attemptRecord
	answered []attemptID // ended attempts with an answer, oldest first
	now      func() time.Time
	// answerBytes are the bytes of the bodies of those, maxAnswerBytes their bound, 0 for none.
	answerBytes, maxAnswerBytes int64
}

func newAttemptRecords(now func() time.Time, maxAnswerBytes int64) *attemptRecords {
	return &attemptRecords{byID: map[attemptID]*attemptRecord{}, now: now, maxAnswerBytes: maxAnswerBytes}
}

// register records an attempt as waiting. If a record exists already, it is
// returned and created is false. The error is a *RecordsFullError.
func (r *attemptRecords) register(id attemptID) (rec *attemptRecord, created bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, found := r.byID[id]; found {
		return rec, false, nil
	}
	if len(r.byID) >= maxRecordedAttempts {
		return nil, false, &RecordsFullError{Count: len(r.byID)}
	}
	rec = &attemptRecord{phase: trefoilkeelv1.RequestPhase_REQUEST_PHASE_WAITING, done: make(chan struct{})}
	r.byID[id] = rec
	return rec, true, nil
}

// markRunning moves an attempt from waiting to running. It returns false if a
// tombstone came first: the attempt must not run.
func (r *attemptRecords) markRunning(rec *attemptRecord) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.phase != trefoilkeelv1.RequestPhase_REQUEST_PHASE_WAITING {
		return false
	}
	rec.phase = trefoilkeelv1.RequestPhase_REQUEST_PHASE_RUNNING
	return true
}

// finish sets the final phase and the answer of an attempt; a second call has no effect.
func (r *attemptRecords) finish(id attemptID, rec *attemptRecord, phase trefoilkeelv1.RequestPhase, answer *trefoilkeelv1.StoredAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if isFinalPhase(rec.phase) {
		return
	}
	rec.phase = phase
	rec.answer = answer
	rec.endedAt = r.now()
	close(rec.done)
	if answer != nil {
		r.answered = append(r.answered, id)
		r.answerBytes += int64(cap(answer.GetBody()))
	}
	r.expireAnswers()
}

// expireAnswers drops the bodies of answers that are older than answerRetention
// or exceed maxStoredAnswers or maxAnswerBytes. The newest one stays: its router waits for it.
func (r *attemptRecords) expireAnswers() {
	cutoff := r.now().Add(-answerRetention)
	for len(r.answered) > 0 {
		rec := r.byID[r.answered[0]]
		isOver := len(r.answered) > maxStoredAnswers || r.maxAnswerBytes > 0 && r.answerBytes > r.maxAnswerBytes && len(r.answered) > 1
		if !isOver && rec.endedAt.After(cutoff) {
			return
		}
		r.answerBytes -= int64(cap(rec.answer.GetBody()))
		rec.answer = &trefoilkeelv1.StoredAnswer{Status: rec.answer.GetStatus(), Omitted: true}
		r.answered = r.answered[1:]
	}
}

// tombstone refuses an attempt permanently unless it has started. It returns the
// resulting phase: REFUSED means that the attempt has not run and never will.
func (r *attemptRecords) tombstone(id attemptID) (trefoilkeelv1.RequestPhase, error) {
	rec, _, err := r.register(id)
	if err != nil {
		return trefoilkeelv1.RequestPhase_REQUEST_PHASE_UNSPECIFIED, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.phase == trefoilkeelv1.RequestPhase_REQUEST_PHASE_WAITING {
		rec.phase = trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED
		rec.endedAt = r.now()
		close(rec.done)
	}
	return rec.phase, nil
}

// lookup returns the record of an attempt, nil if there is none.
func (r *attemptRecords) lookup(id attemptID) *attemptRecord {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.byID[id]
}

// phaseAndAnswer returns the current phase and answer of a record.
func (r *attemptRecords) phaseAndAnswer(rec *attemptRecord) (trefoilkeelv1.RequestPhase, *trefoilkeelv1.StoredAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rec.phase, rec.answer
}

func isFinalPhase(phase trefoilkeelv1.RequestPhase) bool {
	switch phase {
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_FINISHED,
		trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED,
		trefoilkeelv1.RequestPhase_REQUEST_PHASE_FAILED:
		return true
	default:
		return false
	}
}
