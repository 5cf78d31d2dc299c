package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// worker is a stand-in of a server that follows PROTOCOL.md.
type worker struct {
	d             *deployment
	id, service   string
	zone, address string
	version       string
	born          int64
	slots         int

	mu       sync.Mutex
	sequence uint64
	state    string
	listener net.Listener
	server   *http.Server
	runs     []run
}

// run is a request that the worker ran.
type run struct {
	at              time.Time
	id, method, uri string
	header          http.Header
	body            []byte
}

func newWorker(d *deployment, id, service, zone, ip string, port int) (*worker, error) {
	w := &worker{d: d, id: id, service: service, zone: zone, version: "v1", born: time.Now().UnixMilli(), slots: 16, state: "ready"}
	l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return nil, err
	}
	w.listener, w.address = l, l.Addr().String()
	w.server = &http.Server{Handler: w, IdleTimeout: 20 * time.Second}
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// beat sends one check-in; it returns whether a host acknowledged it.
func (w *worker) beat(urls []string) bool {
	w.mu.Lock()
	w.sequence++
	body, _ := json.Marshal(map[string]any{"service": w.service, "address": w.address, "zone": w.zone, "version": w.version, "slots": w.slots, "state": w.state,
		"cold-left-ms": 0, "stage": "both", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "seq-no": w.sequence, "born": w.born})
	w.mu.Unlock()
	for _, url := range urls {
		status, _, err := call("POST", url+"/trefoilkeel/instances/"+w.id+"/heartbeat", body)
		if err == nil && status/100 == 2 {
			return true
		}
		w.d.rec.line("worker %s: check-in at %s: %d %v", w.id, url, status, err)
	}
	return false
}

// run sends check-ins until the program ends.
func (w *worker) run(first int) {
	urls := w.d.controls()
	for k := first; ; k++ {
		w.beat(append(append([]string{}, urls[k%len(urls):]...), urls[:k%len(urls)]...))
		time.Sleep(1200 * time.Millisecond)
	}
}

// ranCount returns how often a request ran here.
func (w *worker) ranCount(id string) (n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.id == id {
			n++
		}
	}
	return n
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Attempt-Id")
	body, _ := io.ReadAll(r.Body)
	rw.Header().Set("X-Attempt-Id", id)
	rw.Header().Set("X-Instance-Load", fmt.Sprintf("0,0,%d", w.slots))
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		rw.Header().Set("X-Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, run{at: time.Now(), id: id, method: r.Method, uri: r.RequestURI, header: r.Header.Clone(), body: body})
	w.mu.Unlock()
	w.d.rec.line("worker %s: runs %s %s %s, %d bytes", w.id, id, r.Method, r.RequestURI, len(body))
	rw.Header().Set("X-Response-Seal", "3e1b."+id)
	_, _ = io.WriteString(rw, "done "+id)
}
