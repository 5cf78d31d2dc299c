package agent

import (
	"strconv"
	"sync"
	"time"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Bounds of the records of protected requests.
const (
	answerRetention  = 10 * time.Minute
	maxSeen          = 200_000
	maxStoredAnswers = 2_000
	maxStoredAnswer  = 256 << 10 // bytes of one kept answer
)

// RecordsFullError says that an incarnation has seen as many protected
// requests as it may remember. The agent must take a new incarnation.
type RecordsFullError struct {
	Count int
}

// Error gives the count.
func (e *RecordsFullError) Error() string {
	return "incarnation remembers " + strconv.Itoa(e.Count) + " protected requests, its bound"
}

// attemptID names one attempt of a request.
type attemptID struct {
	request string
	attempt uint32
}

// record is what an agent knows of one protected attempt. The phase only
// moves forward.
type record struct {
	phase    trefoilkeelv1.RequestPhase
	answer   *trefoilkeelv1.StoredAnswer
	ended    time.Time
	finished chan struct{} // closed when the attempt has ended
}

// records remembers every protected attempt of one incarnation. An attempt
// that was seen or tombstoned is never forgotten within the incarnation, so a
// late copy can't run; only its answer is dropped after the retention.
type records struct {
	mu      sync.Mutex
	seen    map[attemptID]*record
	answers []attemptID // ended attempts with an answer, oldest first
	now     func() time.Time
}

// newRecords returns empty records for a new incarnation.
func newRecords(now func() time.Time) *records {
	return &records{seen: map[attemptID]*record{}, now: now}
}

// begin registers an attempt as waiting. It returns the record that is there
// already, if any, and begun tells which. The error is a *RecordsFullError.
func (r *records) begin(id attemptID) (rec *record, begun bool, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec, found := r.seen[id]; found {
		return rec, false, nil
	}
	if len(r.seen) >= maxSeen {
		return nil, false, &RecordsFullError{Count: len(r.seen)}
	}
	rec = &record{phase: trefoilkeelv1.RequestPhase_REQUEST_PHASE_WAITING, finished: make(chan struct{})}
	r.seen[id] = rec
	return rec, true, nil
}

// start moves an attempt from waiting to running. It returns false if a
// tombstone came first: the attempt must not run.
func (r *records) start(rec *record) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.phase != trefoilkeelv1.RequestPhase_REQUEST_PHASE_WAITING {
		return false
	}
	rec.phase = trefoilkeelv1.RequestPhase_REQUEST_PHASE_RUNNING
	return true
}

// end records how an attempt ended. A second end changes nothing.
func (r *records) end(id attemptID, rec *record, phase trefoilkeelv1.RequestPhase, answer *trefoilkeelv1.StoredAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if ended(rec.phase) {
		return
	}
	rec.phase = phase
	rec.answer = answer
	rec.ended = r.now()
	close(rec.finished)
	if answer != nil {
		r.answers = append(r.answers, id)
	}
	r.expire()
}

// expire drops answers past the retention or the count.
func (r *records) expire() {
	cutoff := r.now().Add(-answerRetention)
	for len(r.answers) > 0 {
		rec := r.seen[r.answers[0]]
		if len(r.answers) <= maxStoredAnswers && rec.ended.After(cutoff) {
			return
		}
		rec.answer = &trefoilkeelv1.StoredAnswer{Status: rec.answer.GetStatus(), Omitted: true}
		r.answers = r.answers[1:]
	}
}

// tombstone refuses an attempt for good unless it has started. It returns the
// phase after the call: REFUSED says that it never ran and never will.
func (r *records) tombstone(id attemptID) (trefoilkeelv1.RequestPhase, error) {
	rec, _, err := r.begin(id)
	if err != nil {
		return trefoilkeelv1.RequestPhase_REQUEST_PHASE_UNSPECIFIED, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.phase == trefoilkeelv1.RequestPhase_REQUEST_PHASE_WAITING {
		rec.phase = trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED
		rec.ended = r.now()
		close(rec.finished)
	}
	return rec.phase, nil
}

// find returns the record of an attempt, nil if it was never seen.
func (r *records) find(id attemptID) *record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.seen[id]
}

// read returns the present phase and answer of a record.
func (r *records) read(rec *record) (trefoilkeelv1.RequestPhase, *trefoilkeelv1.StoredAnswer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return rec.phase, rec.answer
}

// ended reports whether a phase is final.
func ended(phase trefoilkeelv1.RequestPhase) bool {
	switch phase {
	case trefoilkeelv1.RequestPhase_REQUEST_PHASE_FINISHED,
		trefoilkeelv1.RequestPhase_REQUEST_PHASE_REFUSED,
		trefoilkeelv1.RequestPhase_REQUEST_PHASE_FAILED:
		return true
	default:
		return false
	}
}
