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
	exchangeWait    = 2 * time.Second // longest wait of an out-of-order request for another
)

// EngineConfig shapes a model engine. Zero fields take the defaults of
// NewEngine.
type EngineConfig struct {
	Name            string
	Models          []string      // loaded at the start; empty: any name is served
	Slots           int           // sequences stepped together
	StepBase        time.Duration // duration of a step of an empty batch
	StepPerSequence time.Duration // added by each sequence in the batch
	PrefillPerByte  time.Duration // added by each prompt byte that isn't cached
	CacheBlocks     int           // blocks of BlockBytes that the prefix cache holds
	LoadLag         time.Duration // age of load reports
	EventDelay      time.Duration // age at which cache events show
	EventGap        int           // each EventGap-th cache event is lost, 0 for none
	EventLog        int           // cache events kept
	IgnoreFence     bool          // accept orders that carry an old fencing number
}

const (
	defaultSlots       = 16
	defaultStepBase    = 16 * time.Millisecond
	defaultStepPerSeq  = 500 * time.Microsecond
	defaultPrefill     = 10 * time.Microsecond
	defaultCacheBlocks = 4096
	defaultEventLog    = 10000
)

func (c EngineConfig) withDefaults() EngineConfig {
	c.Slots = orDefault(c.Slots, defaultSlots)
	c.StepBase = orDefault(c.StepBase, defaultStepBase)
	c.StepPerSequence = orDefault(c.StepPerSequence, defaultStepPerSeq)
	c.PrefillPerByte = orDefault(c.PrefillPerByte, defaultPrefill)
	c.CacheBlocks = orDefault(c.CacheBlocks, defaultCacheBlocks)
	c.EventLog = orDefault(c.EventLog, defaultEventLog)
	return c
}

func orDefault[T comparable](v, def T) T {
	var zero T
	if v == zero {
		return def
	}
	return v
}

// Engine is a model engine behind OpenAI-compatible HTTP.
type Engine struct {
	cfg    EngineConfig
	faults *faults
	rec    *recorder
	cache  *prefixCache
	batch  *batch
	loads  loadLog

	mu     sync.Mutex // guards the fields below
	models map[string]bool
	any    bool
	fence  uint64
	role   string
}

// NewEngine returns an engine that serves through Handler. It holds no
// goroutine while no request runs.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:    cfg,
		faults: newFaults(cfg.LoadLag),
		rec:    newRecorder(cfg.Name),
		models: map[string]bool{},
		any:    len(cfg.Models) == 0,
	}
	for _, m := range cfg.Models {
		e.models[m] = true
	}
	e.cache = newPrefixCache(&e.cfg)
	e.batch = &batch{cfg: &e.cfg, cache: e.cache, slow: e.faults.slowFactor, onStep: e.loads.add}
	return e
}

// Records tells what the engine really did.
func (e *Engine) Records() Records { return e.rec.records() }

// SetFault brings a fault about; an error is a *FaultError.
func (e *Engine) SetFault(f Fault) error { return e.faults.set(time.Now(), f) }

// Handler serves completions, reports, orders and the control of faults.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, true) })
	mux.HandleFunc("POST /v1/completions", func(w http.ResponseWriter, r *http.Request) { e.complete(w, r, false) })
	mux.HandleFunc("GET /v1/models", e.listModels)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /load", e.showLoad)
	mux.HandleFunc("GET /cache/events", e.showEvents)
	mux.HandleFunc("POST /kv/export", e.exportKV)
	mux.HandleFunc("POST /kv/import", e.importKV)
	mux.HandleFunc("POST /orders", e.takeOrder)
	control := controlHandler(e.faults, e.rec)
	return withDown(e.faults, control, mux)
}

// serves tells whether a model is loaded.
func (e *Engine) serves(model string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.any || e.models[model]
}

// modelNames lists the loaded models.
func (e *Engine) modelNames() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	names := make([]string, 0, len(e.models))
	for m := range e.models {
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
	for _, name := range e.modelNames() {
		list.Data = append(list.Data, modelEntry{ID: name, Object: "model"})
	}
	writeJSON(w, http.StatusOK, list)
}
