package standin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strconv"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// HeaderRunKey names the key under which a plain service counts a run.
const HeaderRunKey = "X-Run-Key"

// ServiceConfig shapes a plain service.
type ServiceConfig struct {
	Name    string
	Latency time.Duration // duration of one run
	Slots   int           // runs at the same time, 0 for no bound
	LoadLag time.Duration // age of load reports
}

// Service answers any path and counts its runs.
type Service struct {
	cfg    ServiceConfig
	faults *faults
	rec    *recorder
	slots  chan struct{}
	loads  loadLog
}

// ServiceAnswer is the answer to every call of a plain service.
type ServiceAnswer struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Run       int    `json:"run"` // 1 for the first run of the key
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	Digest    string `json:"digest"` // SHA-256 of the request body
}

// runAnswer is a run's answer before it is written.
type runAnswer struct{ answer ServiceAnswer }

// NewService returns a plain service.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{cfg: cfg, faults: newFaults(cfg.LoadLag), rec: newRecorder(cfg.Name)}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	return s
}

// Records tells what the service really did.
func (s *Service) Records() Records { return s.rec.records() }

// SetFault brings a fault about; an error is a *FaultError.
func (s *Service) SetFault(f Fault) error { return s.faults.set(time.Now(), f) }

// Handler serves every path, the load report and the control of faults.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.showLoad)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", s.call)
	return withDown(s.faults, controlHandler(s.faults, s.rec), mux)
}

func (s *Service) showLoad(w http.ResponseWriter, _ *http.Request) {
	at := s.loads.at(time.Now().Add(-s.faults.loadLag()))
	writeJSON(w, http.StatusOK, Load{At: at.at, Running: at.running, Slots: s.cfg.Slots, Models: []string{}})
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	rec := s.rec.arrive(r)
	defer s.rec.end(rec, OutcomeCrashed)
	body, ok := readBody(w, r)
	if !ok {
		s.rec.end(rec, OutcomeRefused)
		return
	}
	ctx, cancel := s.faults.context(r.Context())
	defer cancel()
	fault := s.faults.take()
	s.rec.update(rec, func(a *Arrival) { a.FaultKind = fault.Kind })
	if !s.acquire(ctx) {
		s.rec.end(rec, OutcomeCancelled)
		abort()
	}
	id := s.run(r, rec, body)
	finished := wait.For(ctx, time.Duration(float64(s.cfg.Latency)*s.faults.slowFactor()))
	s.release()
	if !finished {
		s.rec.end(rec, OutcomeCancelled)
		abort()
	}
	s.answer(ctx, w, rec, fault, id)
}

// run counts the run; from here on the request ran.
func (s *Service) run(r *http.Request, rec *Arrival, body []byte) identity {
	digest := sha256.Sum256(body)
	key := r.Header.Get(HeaderRunKey)
	if key == "" {
		key = hex.EncodeToString(digest[:])
	}
	answer := ServiceAnswer{
		Service: s.cfg.Name, Key: key, Run: s.rec.run(rec, key), Path: r.URL.Path,
		RequestID: rec.RequestID, Digest: hex.EncodeToString(digest[:]),
	}
	return identity{requestID: rec.RequestID, run: &runAnswer{answer: answer}}
}

func (s *Service) acquire(ctx context.Context) bool {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	s.loads.add(time.Now(), len(s.slots), 0)
	return true
}

func (s *Service) release() {
	if s.slots != nil {
		<-s.slots
	}
	s.loads.add(time.Now(), len(s.slots), 0)
}

// answer writes the answer and brings the fault about.
func (s *Service) answer(ctx context.Context, w http.ResponseWriter, rec *Arrival, fault Fault, id identity) {
	switch fault.Kind {
	case FaultHang:
		<-ctx.Done()
		s.rec.end(rec, OutcomeCancelled)
		abort()
	case FaultCrashFirst:
		abort()
	case FaultLate:
		if !wait.For(ctx, fault.delay()) {
			s.rec.end(rec, OutcomeCancelled)
			abort()
		}
	case FaultOutOfOrder:
		id = s.faults.exchange(ctx, exchangeWait, id)
	case FaultWrongID:
		id = identity{requestID: "other-" + id.requestID, run: &runAnswer{ServiceAnswer{Service: s.cfg.Name, Key: "other"}}}
	}
	s.write(w, rec, fault, id)
}

func (s *Service) write(w http.ResponseWriter, rec *Arrival, fault Fault, id identity) {
	body := encode(id.run.answer)
	if fault.Kind == FaultTwice {
		if writeTwice(w, id.requestID, "application/json", body) == nil {
			s.rec.end(rec, OutcomeWhole)
		}
		return
	}
	w.Header().Set(headerRequestID, id.requestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault.Kind == FaultCrashMid || fault.Kind == FaultCrashLast {
		_, _ = w.Write(body[:len(body)-1])
		_ = http.NewResponseController(w).Flush()
		abort()
	}
	if _, err := w.Write(body); err == nil {
		s.rec.end(rec, OutcomeWhole)
	}
}
