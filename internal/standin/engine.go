package standin

import (
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	headerRequestID = "X-Request-Id"
	maxBodyBytes    = 8 << 20
	maxPeerWait     = 2 * time.Second // for another request to swap responses with, or for the caller to close
)

// EngineConfig configures a model engine. A zero field takes its default, if it
// has one below.
type EngineConfig struct {
	Name            string
	Models          []string      // loaded at the start; if empty, any name is served
	Slots           int           // largest number of running sequences
	StepBase        time.Duration // fixed part of the duration of a step
	StepPerSequence time.Duration // added per running sequence
	PrefillPerByte  time.Duration // added per prompt byte that is not cached
	CacheBlocks     int           // capacity of the prefix cache
	LoadLag         time.Duration // age of load reports
	EventDelay      time.Duration // age at which cache events become visible
	EventGap        int           // every EventGap-th cache event is lost; 0: none
	MaxEvents       int           // capacity of the log of cache events
	IgnoreFence     bool          // accept orders with an outdated fencing number
}

const (
	defaultSlots           = 16
	defaultStepBase        = 16 * time.Millisecond
	defaultStepPerSequence = 500 * time.Microsecond
	defaultPrefillPerByte  = 10 * time.Microsecond
	defaultCacheBlocks     = 4096
	defaultMaxEvents       = 10000
)

func (c EngineConfig) withDefaults() EngineConfig {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.StepBase = orDefault(c.StepBase, defaultStepBase)
	c.StepPerSequence = orDefault(c.StepPerSequence, defaultStepPerSequence)
	c.PrefillPerByte = orDefault(c.PrefillPerByte, defaultPrefillPerByte)
	c.CacheBlocks = orDefault(c.CacheBlocks, defaultCacheBlocks)
	c.MaxEvents = orDefault(c.MaxEvents, defaultMaxEvents)
	return c
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}

// Engine simulates a model engine with an OpenAI-compatible HTTP API.
type Engine struct {
	cfg         EngineConfig
	faults      *faultInjector
	recorder    *recorder
	cache       *prefixCache
	batch       *batch
	loadHistory loadHistory

	mu             sync.Mutex // guards the fields below
	loadedModels   map[string]bool
	servesAnyModel bool
	newestFence    uint64
	role           string
}

// NewEngine returns an engine that serves through Handler. It runs no goroutine
// while it has no request.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:            cfg,
		faults:         newFaultInjector(cfg.LoadLag),
		recorder:       newRecorder(cfg.Name),
		loadedModels:   map[string]bool{},
		servesAnyModel: len(cfg.Models) == 0,
	}
	for _, m := range cfg.Models {
		e.loadedModels[m] = true
	}
	e.cache = newPrefixCache(&e.cfg)
	e.batch = &batch{cfg: &e.cfg, cache: e.cache, durationFactor: e.faults.durationFactor, onStep: e.loadHistory.record}
	return e
}

// Records returns what the engine has recorded.
func (e *Engine) Records() Records { return e.recorder.snapshot() }

// InjectFault injects a fault. The error is an *InvalidFaultError.
func (e *Engine) InjectFault(f Fault) error { return e.faults.inject(time.Now(), f) }

// Handler serves completions, load and cache reports, KV transfers, orders and
// the test API.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.serveCompletion(w, r, false) })
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /load", e.showLoad)
	mux.HandleFunc("GET /cache/events", e.showCacheEvents)
	mux.HandleFunc("POST /kv/export", e.exportKV)
	mux.HandleFunc("POST /kv/import", e.importKV)
	mux.HandleFunc("POST /orders", e.handleOrder)
	testAPI := newTestAPIHandler(e.faults, e.recorder)
	return abortWhileDown(e.faults, testAPI, mux)
}

func (e *Engine) servesModel(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.servesAnyModel || e.loadedModels[model]
}

func (e *Engine) loadedModelNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.loadedModels))
	for m := range e.loadedModels {
		names = append(names, m)
	}
	sort.Strings(names)
	return names
}

type modelEntry struct {
	ID     string `json:"id"`
	Object string `json:"object"`
}

type modelList struct {
	Object string       `json:"object"`
	Data   []modelEntry `json:"data"`
}

func (e *Engine) listModels(w http.ResponseWriter, _ *http.Request) {
	list := modelList{Object: "list", Data: []modelEntry{}}
	for _, name := range e.loadedModelNames() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}
