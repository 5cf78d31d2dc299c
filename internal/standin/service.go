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

// HeaderRunKey is the header with the key under which a plain service counts a
// run.
const HeaderRunKey = "X-Run-Key"

// ServiceConfig configures a plain service.
type ServiceConfig struct {
	Name    string
	Latency time.Duration // duration of one run
	Slots   int           // concurrent runs; 0 for no limit
	LoadLag time.Duration // age of load reports
}

// Service simulates a plain HTTP service: it responds on any path and counts its
// runs.
type Service struct {
	cfg         ServiceConfig
	faults      *faultInjector
	recorder    *recorder
	slots       chan struct{}
	loadHistory loadHistory
}

// ServiceResponse is the response body of every call of a plain service.
type ServiceResponse struct {
	Service   string `json:"service"`
	Key       string `json:"key"`
	Run       int    `json:"run"` // number of this run among those of Key, from 1
	Path      string `json:"path"`
	RequestID string `json:"request_id"`
	Digest    string `json:"digest"` // SHA-256 of the request body
}

// serviceResult is the outcome of a run that has not been written yet.
type serviceResult struct{ response ServiceResponse }

// NewService returns a plain service.
func NewService(cfg ServiceConfig) *Service {
	s := &Service{cfg: cfg, faults: newFaultInjector(cfg.LoadLag), recorder: newRecorder(cfg.Name)}
	if cfg.Slots > 0 {
		s.slots = make(chan struct{}, cfg.Slots)
	}
	return s
}

// Records returns what the service has recorded.
func (s *Service) Records() Records { return s.recorder.snapshot() }

// InjectFault injects a fault. The error is an *InvalidFaultError.
func (s *Service) InjectFault(f Fault) error { return s.faults.inject(time.Now(), f) }

// Handler serves calls on any path, the load report, the health check and the
// test API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.showLoad)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("/", s.handleCall)
	return abortWhileDown(s.faults, newTestAPIHandler(s.faults, s.recorder), mux)
}

func (s *Service) showLoad(w http.ResponseWriter, _ *http.Request) {
	snapshot := s.loadHistory.snapshotAt(time.Now().Add(-s.faults.loadLag()))
	writeJSON(w, http.StatusOK, LoadReport{At: snapshot.at, Running: snapshot.running, Slots: s.cfg.Slots, Models: []string{}})
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	record := s.recorder.startRequest(r)
	defer s.recorder.finishRequest(record, OutcomeCrashed)
	body, ok := readBody(w, r)
	if !ok {
		s.recorder.finishRequest(record, OutcomeRefused)
		return
	}
	ctx, cancel := s.faults.cancelWhenDown(r.Context())
	defer cancel()
	fault := s.faults.takeNext()
	s.recorder.updateRequest(record, func(a *RequestRecord) { a.FaultKind = fault.Kind })
	if !s.acquireSlot(ctx) {
		s.recorder.finishRequest(record, OutcomeCancelled)
		abortConnection()
	}
	spec := s.recordRun(r, record, body)
	finished := wait.For(ctx, time.Duration(float64(s.cfg.Latency)*s.faults.durationFactor()))
	s.releaseSlot()
	if !finished {
		s.recorder.finishRequest(record, OutcomeCancelled)
		abortConnection()
	}
	s.respond(ctx, w, record, fault, spec)
}

// recordRun counts the run and builds its response. From here on the request
// counts as run, whatever happens to the response.
func (s *Service) recordRun(r *http.Request, record *RequestRecord, body []byte) responseSpec {
	digest := sha256.Sum256(body)
	key := r.Header.Get(HeaderRunKey)
	if key == "" {
		key = hex.EncodeToString(digest[:])
	}
	response := ServiceResponse{
		Service: s.cfg.Name, Key: key, Run: s.recorder.countRun(record, key), Path: r.URL.Path,
		RequestID: record.RequestID, Digest: hex.EncodeToString(digest[:]),
	}
	return responseSpec{requestID: record.RequestID, result: &serviceResult{response: response}}
}

func (s *Service) acquireSlot(ctx context.Context) bool {
	if s.slots != nil {
		select {
		case s.slots <- struct{}{}:
		case <-ctx.Done():
			return false
		}
	}
	s.loadHistory.record(time.Now(), len(s.slots), 0)
	return true
}

func (s *Service) releaseSlot() {
	if s.slots != nil {
		<-s.slots
	}
	s.loadHistory.record(time.Now(), len(s.slots), 0)
}

// respond injects the fault and writes the response.
func (s *Service) respond(ctx context.Context, w http.ResponseWriter, record *RequestRecord, fault Fault, spec responseSpec) {
	switch fault.Kind {
	case FaultHang:
		<-ctx.Done()
		s.recorder.finishRequest(record, OutcomeCancelled)
		abortConnection()
	case FaultCrashFirst:
		abortConnection()
	case FaultLate:
		if !wait.For(ctx, fault.delay()) {
			s.recorder.finishRequest(record, OutcomeCancelled)
			abortConnection()
		}
	case FaultOutOfOrder:
		spec = s.faults.swapResponse(ctx, maxPeerWait, spec)
	case FaultWrongID:
		spec = responseSpec{requestID: "other-" + spec.requestID, result: &serviceResult{ServiceResponse{Service: s.cfg.Name, Key: "other"}}}
	}
	s.writeResponse(w, record, fault, spec)
}

func (s *Service) writeResponse(w http.ResponseWriter, record *RequestRecord, fault Fault, spec responseSpec) {
	body := encodeJSON(spec.result.response)
	if fault.Kind == FaultTwice {
		if hijackAndWriteTwice(w, spec.requestID, "application/json", body) == nil {
			s.recorder.finishRequest(record, OutcomeCompleted)
		}
		return
	}
	w.Header().Set(headerRequestID, spec.requestID)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if fault.Kind == FaultCrashMid || fault.Kind == FaultCrashLast {
		_, _ = w.Write(body[:len(body)-1])
		_ = http.NewResponseController(w).Flush()
		abortConnection()
	}
	if _, err := w.Write(body); err == nil {
		s.recorder.finishRequest(record, OutcomeCompleted)
	}
}
