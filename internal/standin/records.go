package standin

import (
	"net/http"
	"sync"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/dispatch"
)

const maxArrivals = 1 << 20 // arrivals kept; later ones are only counted

// Outcome tells how a request ended at a stand-in.
type Outcome string

// The outcomes.
const (
	OutcomeRunning   Outcome = "running"
	OutcomeWhole     Outcome = "whole"     // the whole answer was written
	OutcomeCancelled Outcome = "cancelled" // the caller closed the connection
	OutcomeCrashed   Outcome = "crashed"   // a fault ended it
	OutcomeRefused   Outcome = "refused"   // malformed, nothing ran
)

// Arrival is one request that reached a stand-in.
type Arrival struct {
	At         time.Time `json:"at"`
	Ended      time.Time `json:"ended"` // zero while running
	RequestID  string    `json:"request_id"`
	Attempt    string    `json:"attempt,omitempty"`
	Class      string    `json:"class,omitempty"`
	Key        string    `json:"key"` // prompt hash or run key
	Path       string    `json:"path"`
	Priority   int       `json:"priority"`
	Given      int       `json:"given"`     // tokens that the caller already had
	Generated  int       `json:"generated"` // tokens made for it
	Delivered  int       `json:"delivered"` // tokens written to it
	Outcome    Outcome   `json:"outcome"`
	FaultKind  FaultKind `json:"fault,omitempty"`
	CallerGone bool      `json:"caller_gone,omitempty"`
}

// OrderRecord is one order that a stand-in got.
type OrderRecord struct {
	At       time.Time `json:"at"`
	Order    Order     `json:"order"`
	Accepted bool      `json:"accepted"`
}

// Records is what a stand-in really did.
type Records struct {
	Name            string         `json:"name"`
	Runs            map[string]int `json:"runs"` // by prompt hash or run key
	TokensGenerated uint64         `json:"tokens_generated"`
	TokensDelivered uint64         `json:"tokens_delivered"`
	Arrivals        []Arrival      `json:"arrivals"`
	ArrivalsOmitted int            `json:"arrivals_omitted"`
	Orders          []OrderRecord  `json:"orders"`
}

// recorder gathers Records.
type recorder struct {
	mu       sync.Mutex
	name     string
	runs     map[string]int
	arrivals []*Arrival
	omitted  int
	orders   []OrderRecord
	totals   [2]uint64 // generated, delivered
}

func newRecorder(name string) *recorder {
	return &recorder{name: name, runs: map[string]int{}}
}

// arrive opens the record of one request.
func (r *recorder) arrive(req *http.Request) *Arrival {
	a := &Arrival{
		At:        time.Now(),
		RequestID: req.Header.Get(headerRequestID),
		Attempt:   req.Header.Get(dispatch.HeaderAttempt),
		Class:     req.Header.Get(dispatch.HeaderClass),
		Path:      req.URL.Path,
		Outcome:   OutcomeRunning,
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.arrivals) >= maxArrivals {
		r.omitted++
		return a
	}
	r.arrivals = append(r.arrivals, a)
	return a
}

// update changes a record under the lock.
func (r *recorder) update(a *Arrival, change func(*Arrival)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	generated, delivered := a.Generated, a.Delivered
	change(a)
	r.totals[0] += uint64(a.Generated - generated)
	r.totals[1] += uint64(a.Delivered - delivered)
}

// run counts one run of a key and returns its number.
func (r *recorder) run(a *Arrival, key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.Key = key
	r.runs[key]++
	return r.runs[key]
}

// end closes a record.
func (r *recorder) end(a *Arrival, outcome Outcome) {
	r.update(a, func(a *Arrival) {
		if a.Outcome == OutcomeRunning {
			a.Outcome, a.Ended = outcome, time.Now()
		}
	})
}

func (r *recorder) order(o Order, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.orders = append(r.orders, OrderRecord{At: time.Now(), Order: o, Accepted: accepted})
}

// records copies everything.
func (r *recorder) records() Records {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := Records{
		Name:            r.name,
		Runs:            make(map[string]int, len(r.runs)),
		TokensGenerated: r.totals[0],
		TokensDelivered: r.totals[1],
		Arrivals:        make([]Arrival, len(r.arrivals)),
		ArrivalsOmitted: r.omitted,
		Orders:          append([]OrderRecord{}, r.orders...),
	}
	for k, n := range r.runs {
		out.Runs[k] = n
	}
	for i, a := range r.arrivals {
		out.Arrivals[i] = *a
	}
	return out
}
