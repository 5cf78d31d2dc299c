package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
)

const maxRequestRecords = 1 << 20 // further requests are counted, but not recorded

// Outcome is how a request ended at a stand-in.
type Outcome string

// The outcomes of a request.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeCompleted Outcome = "whole"     // the complete response was written
	OutcomeCancelled Outcome = "cancelled" // the caller closed the connection, or a plain service went down
	OutcomeCrashed   Outcome = "crashed"   // a fault or a failed write ended it
	OutcomeRefused   Outcome = "refused"   // invalid; nothing ran
)

// RequestRecord records one request that reached a stand-in.
type RequestRecord struct {
	ReceivedAt      time.Time `json:"at"`
	EndedAt         time.Time `json:"ended"` // zero while running
	RequestID       string    `json:"request_id"`
	Attempt         string    `json:"attempt,omitempty"`
	Class           string    `json:"class,omitempty"`
	Key             string    `json:"key"` // prompt hash, or run key at a plain service
	Path            string    `json:"path"`
	Priority        int       `json:"priority"`
	TokensGiven     int       `json:"given"`     // answer tokens that the request already contained
	TokensGenerated int       `json:"generated"` // tokens generated after those
	TokensDelivered int       `json:"delivered"` // tokens written to the connection
	Outcome         Outcome   `json:"outcome"`
	FaultKind       FaultKind `json:"fault,omitempty"`
	CallerGone      bool      `json:"caller_gone,omitempty"`
}

// OrderRecord records one order that an engine received.
type OrderRecord struct {
	ReceivedAt time.Time `json:"at"`
	Order      Order     `json:"order"`
	Accepted   bool      `json:"accepted"`
}

// Records is everything that a stand-in has recorded.
type Records struct {
	Name            string          `json:"name"`
	Runs            map[string]int  `json:"runs"` // number of runs by prompt hash or run key
	TokensGenerated uint64          `json:"tokens_generated"`
	TokensDelivered uint64          `json:"tokens_delivered"`
	Requests        []RequestRecord `json:"arrivals"`
	RequestsOmitted int             `json:"arrivals_omitted"`
	Orders          []OrderRecord   `json:"orders"`
}

type recorder struct {
	mu              sync.Mutex
	name            string
	runs            map[string]int
	requests        []*RequestRecord
	requestsOmitted int
	orders          []OrderRecord
	tokenTotals     [2]uint64 // generated, delivered
}

func newRecorder(name string) *recorder {
	return &recorder{name: name, runs: map[string]int{}}
}

// startRequest creates the record of a request.
func (r *recorder) startRequest(req *http.Request) *RequestRecord {
	rec := &RequestRecord{
		ReceivedAt: time.Now(),
		RequestID:  req.Header.Get(headerRequestID),
		Attempt:    req.Header.Get(dispatch.HeaderAttempt),
		Class:      req.Header.Get(dispatch.HeaderClass),
		Path:       req.URL.Path,
		Outcome:    OutcomeRunning,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.requests) >= maxRequestRecords {
		r.requestsOmitted++
		return rec
	}
	r.requests = append(r.requests, rec)
	return rec
}

// updateRequest changes a record under the lock and keeps the token totals
// consistent with it.
func (r *recorder) updateRequest(rec *RequestRecord, change func(*RequestRecord)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	generated, delivered := rec.TokensGenerated, rec.TokensDelivered
	change(rec)
	r.tokenTotals[0] += uint64(rec.TokensGenerated - generated)
	r.tokenTotals[1] += uint64(rec.TokensDelivered - delivered)
}

// countRun counts a run of key and returns the number of its runs so far.
func (r *recorder) countRun(rec *RequestRecord, key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec.Key = key
	r.runs[key]++
	return r.runs[key]
}

// finishRequest sets the outcome of a record, unless it already has one.
func (r *recorder) finishRequest(rec *RequestRecord, outcome Outcome) {
	r.updateRequest(rec, func(rec *RequestRecord) {
		if rec.Outcome == OutcomeRunning {
			rec.Outcome, rec.EndedAt = outcome, time.Now()
		}
	})
}

func (r *recorder) recordOrder(o Order, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, OrderRecord{ReceivedAt: time.Now(), Order: o, Accepted: accepted})
}

// snapshot returns a copy of everything recorded.
func (r *recorder) snapshot() Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	records := Records{
		Name:            r.name,
		Runs:            make(map[string]int, len(r.runs)),
		TokensGenerated: r.tokenTotals[0],
		TokensDelivered: r.tokenTotals[1],
		Requests:        make([]RequestRecord, len(r.requests)),
		RequestsOmitted: r.requestsOmitted,
		Orders:          append([]OrderRecord{}, r.orders...),
	}
	for k, n := range r.runs {
		records.Runs[k] = n
	}
	for i, rec := range r.requests {
		records.Requests[i] = *rec
	}
	return records
}
