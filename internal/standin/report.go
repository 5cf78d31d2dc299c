package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	loadInterval = 20 * time.Millisecond // least time between two snapshots
	loadKept     = 1024                  // snapshots kept
)

// Load is the answer of GET /load: what the engine was doing when the report
// was made, which is LoadLag ago.
type Load struct {
	At          time.Time `json:"at"`
	Running     int       `json:"running"`
	Waiting     int       `json:"waiting"`
	Slots       int       `json:"slots"`
	CacheBlocks int       `json:"cache_blocks"`
	CacheUsed   int       `json:"cache_used"`
	Models      []string  `json:"models"`
	Role        string    `json:"role"`
}

type loadSnapshot struct {
	at               time.Time
	running, waiting int
}

// loadLog keeps snapshots so that a report can lag.
type loadLog struct {
	mu   sync.Mutex
	list []loadSnapshot
}

// add takes a snapshot, replacing the last one if that is very recent.
func (l *loadLog) add(now time.Time, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := loadSnapshot{at: now, running: running, waiting: waiting}
	if n := len(l.list); n > 1 && now.Sub(l.list[n-2].at) < loadInterval {
		l.list[n-1] = s
		return
	}
	l.list = append(l.list, s)
	if len(l.list) > loadKept {
		l.list = append(l.list[:0:0], l.list[loadKept/2:]...)
	}
}

// at gives the newest snapshot that is not younger than t.
func (l *loadLog) at(t time.Time) loadSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.list) - 1; i >= 0; i-- {
		if !l.list[i].at.After(t) {
			return l.list[i]
		}
	}
	return loadSnapshot{at: t}
}

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	s := e.loads.at(time.Now().Add(-e.faults.loadLag()))
	e.mu.Lock()
	role := e.role
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, Load{
		At: s.at, Running: s.running, Waiting: s.waiting, Slots: e.cfg.Slots,
		CacheBlocks: e.cfg.CacheBlocks, CacheUsed: e.cache.size(),
		Models: e.modelNames(), Role: role,
	})
}

func (e *Engine) showEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, http.StatusOK, e.cache.since(time.Now(), since))
}

// KVTransfer is the body of the orders that export and import cached prefixes:
// an export names a prompt, its answer and an import carry blocks.
type KVTransfer struct {
	Prompt string  `json:"prompt,omitempty"`
	Blocks []Block `json:"blocks,omitempty"`
	Taken  int     `json:"taken,omitempty"` // blocks imported
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var t KVTransfer
	if readJSON(w, r, &t) {
		writeJSON(w, http.StatusOK, KVTransfer{Blocks: e.cache.export(t.Prompt)})
	}
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var t KVTransfer
	if readJSON(w, r, &t) {
		writeJSON(w, http.StatusOK, KVTransfer{Taken: e.cache.load(time.Now(), t.Blocks)})
	}
}

// Order changes what an engine serves.
type Order struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	Kind  string `json:"kind"` // load, unload, adapter, version or role
	Model string `json:"model,omitempty"`
	Role  string `json:"role,omitempty"`
}

// OrderAnswer tells whether an order was carried out.
type OrderAnswer struct {
	Accepted    bool   `json:"accepted"`
	NewestFence uint64 `json:"newest_fence"`
}

func (e *Engine) takeOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	answer := e.execute(o)
	e.rec.order(o, answer.Accepted)
	status := http.StatusOK
	if !answer.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, answer)
}

// execute carries an order out unless its fencing number is old.
func (e *Engine) execute(o Order) OrderAnswer {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.fence && !e.cfg.IgnoreFence {
		return OrderAnswer{NewestFence: e.fence}
	}
	switch o.Kind {
	case "load", "adapter", "version":
		e.models[o.Model] = true
	case "unload":
		delete(e.models, o.Model)
	case "role":
		e.role = o.Role
	default:
		return OrderAnswer{NewestFence: e.fence}
	}
	e.fence = max(e.fence, o.Fence)
	return OrderAnswer{Accepted: true, NewestFence: e.fence}
}
