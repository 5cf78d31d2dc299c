package standin

import (
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	minSnapshotInterval = 20 * time.Millisecond // minimum time from a snapshot to the next but one
	maxSnapshots        = 1024                  // beyond it, the older half is dropped
)

// LoadReport is the response body of GET /load. Running and Waiting are as of
// LoadLag ago, to simulate a delayed report; the other fields are current.
type LoadReport struct {
	At              time.Time `json:"at"` // time of Running and Waiting
	Running         int       `json:"running"`
	Waiting         int       `json:"waiting"`
	Slots           int       `json:"slots"`
	CacheBlocks     int       `json:"cache_blocks"`
	CacheBlocksUsed int       `json:"cache_used"`
	Models          []string  `json:"models"`
	Role            string    `json:"role"`
}

type loadSnapshot struct {
	at               time.Time
	running, waiting int
}

// loadHistory keeps past snapshots for delayed reports.
type loadHistory struct {
	mu        sync.Mutex
	snapshots []loadSnapshot
}

// record adds a snapshot. It replaces the last one if the second-to-last is less
// than minSnapshotInterval old.
func (l *loadHistory) record(now time.Time, running, waiting int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := loadSnapshot{at: now, running: running, waiting: waiting}
	if n := len(l.snapshots); n > 1 && now.Sub(l.snapshots[n-2].at) < minSnapshotInterval {
		l.snapshots[n-1] = s
		return
	}
	l.snapshots = append(l.snapshots, s)
	if len(l.snapshots) > maxSnapshots {
		l.snapshots = append(l.snapshots[:0:0], l.snapshots[maxSnapshots/2:]...)
	}
}

// snapshotAt returns the last snapshot taken at or before t, or an idle
// one if there is none.
func (l *loadHistory) snapshotAt(t time.Time) loadSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := len(l.snapshots) - 1; i >= 0; i-- {
		if !l.snapshots[i].at.After(t) {
			return l.snapshots[i]
		}
	}
	return loadSnapshot{at: t}
}

func (e *Engine) showLoad(w http.ResponseWriter, _ *http.Request) {
	s := e.loadHistory.snapshotAt(time.Now().Add(-e.faults.loadLag()))
	e.mu.Lock()
	role := e.role
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, LoadReport{
		At: s.at, Running: s.running, Waiting: s.waiting, Slots: e.cfg.Slots,
		CacheBlocks: e.cfg.CacheBlocks, CacheBlocksUsed: e.cache.blockCount(),
		Models: e.loadedModelNames(), Role: role,
	})
}

func (e *Engine) showCacheEvents(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("since"), 10, 64)
	writeJSON(w, http.StatusOK, e.cache.eventsAfter(time.Now(), since))
}

// KVTransfer is the body of the requests that export and import cached prefixes
// and of their responses: an export names a prompt and returns blocks, an import
// sends blocks and returns their number.
type KVTransfer struct {
	Prompt             string  `json:"prompt,omitempty"`
	Blocks             []Block `json:"blocks,omitempty"`
	ImportedBlockCount int     `json:"taken,omitempty"`
}

func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var t KVTransfer
	if readJSON(w, r, &t) {
		writeJSON(w, http.StatusOK, KVTransfer{Blocks: e.cache.cachedPrefix(t.Prompt)})
	}
}

func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var t KVTransfer
	if readJSON(w, r, &t) {
		writeJSON(w, http.StatusOK, KVTransfer{ImportedBlockCount: e.cache.importBlocks(time.Now(), t.Blocks)})
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

// OrderResponse reports whether an order was carried out.
type OrderResponse struct {
	Accepted    bool   `json:"accepted"`
	NewestFence uint64 `json:"newest_fence"`
}

func (e *Engine) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !readJSON(w, r, &o) {
		return
	}
	response := e.executeOrder(o)
	e.recorder.recordOrder(o, response.Accepted)
	status := http.StatusOK
	if !response.Accepted {
		status = http.StatusConflict
	}
	writeJSON(w, status, response)
}

// executeOrder carries out an order, unless its fencing number is outdated or its
// kind unknown.
func (e *Engine) executeOrder(o Order) OrderResponse {
	e.mu.Lock()
	defer e.mu.Unlock()
	if o.Fence < e.newestFence && !e.cfg.IgnoreFence {
		return OrderResponse{NewestFence: e.newestFence}
	}
	switch o.Kind {
	case "load", "adapter", "version":
		e.loadedModels[o.Model] = true
	case "unload":
		delete(e.loadedModels, o.Model)
	case "role":
		e.role = o.Role
	default:
		return OrderResponse{NewestFence: e.newestFence}
	}
	e.newestFence = max(e.newestFence, o.Fence)
	return OrderResponse{Accepted: true, NewestFence: e.newestFence}
}
