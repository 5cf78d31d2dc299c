package lab2

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Run is a request that a worker began to work on.
type Run struct {
	Request, Worker string
	At              time.Time
}

// Worker is a stand-in for a plain worker. It reports to a control host that it picks at random, and to the
// next one if that does not acknowledge within a second.
type Worker struct {
	ID, Service, Zone, Address string
	Born                       int64
	lab                        *Lab
	server                     *http.Server
	sequence                   atomic.Int64
	state                      atomic.Value // string
	stop                       chan struct{}
	stopOnce                   sync.Once

	mu   sync.Mutex
	runs []Run
}

// StartWorker starts a worker that serves and reports.
func (l *Lab) StartWorker(number int, id, service string) (*Worker, error) {
	return l.StartWorkerAt(number, id, service, 0)
}

// StartWorkerAt starts a worker on a machine whose time of day is ahead.
func (l *Lab) StartWorkerAt(number int, id, service string, ahead time.Duration) (*Worker, error) {
	address := fmt.Sprintf("%s.%d:9000", l.Prefix, 150+number)
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Zone: Zones[number%len(Zones)], Address: address, Born: time.Now().Add(ahead).UnixMilli(), lab: l, stop: make(chan struct{})}
	w.SetState("ready")
	w.server = &http.Server{Handler: http.HandlerFunc(w.serve)}
	go func() { _ = w.server.Serve(listener) }() // ends with the server
	go func() {
		for {
			w.Send("heartbeat", w.Report(w.state.Load().(string)))
			select {
			case <-w.stop:
				return
			case <-time.After(Heartbeat):
			}
		}
	}()
	return w, nil
}

// SetState sets the state of the regular check-ins.
func (w *Worker) SetState(state string) { w.state.Store(state) }

// Attach lets a worker that has not been started send check-ins.
func (w *Worker) Attach(l *Lab) { w.lab = l }

// serve runs a request, unless it is meant for another worker.
func (w *Worker) serve(out http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	out.Header().Set("X-Attempt-Id", id)
	out.Header().Set("X-Instance-Id", w.ID)
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != w.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/health" {
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{Request: id, Worker: w.ID, At: time.Now()})
	w.mu.Unlock()
	w.lab.Record("worker %s: runs %s", w.ID, id)
	if r.URL.Path != "" && strings.HasPrefix(r.URL.Path, StreamPrefix) {
		w.stream(out, r, id)
		return
	}
	time.Sleep(15 * time.Millisecond)
	out.Header().Set("X-Response-Seal", w.ID+"."+id)
	_, _ = fmt.Fprintf(out, "%s by %s\n", id, w.ID)
}

// Events of a stream.
const (
	StreamPrefix  = "/talk/"
	StreamEvents  = 60
	eventInterval = 50 * time.Millisecond
)

// stream writes the events of a stream after the one that the request names.
func (w *Worker) stream(out http.ResponseWriter, r *http.Request, id string) {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id")) // 0 without the header
	out.Header().Set("Content-Type", "text/event-stream")
	out.Header().Set("X-Response-Seal", w.ID+"."+id)
	for event := last + 1; event <= StreamEvents; event++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", event, event); err != nil {
			return
		}
		if http.NewResponseController(out).Flush() != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(eventInterval)
	}
}

// Runs returns the requests that the worker began to work on.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// Report returns the next check-in.
func (w *Worker) Report(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":6,"state":%q,"cold-left-ms":0,"seq-no":%d,"born":%d}`,
		w.Service, w.Address, w.Zone, state, w.sequence.Add(1), w.Born)
}

// Send sends a check-in to one control host after the other until one acknowledges it, which it returns.
func (w *Worker) Send(call, body string) *Machine {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	controls := w.lab.Controls()
	first := rand.IntN(len(controls))
	for i := range controls {
		m := controls[(first+i)%len(controls)]
		response, err := client.Post(m.ControlURL("/trefoilkeel/instances/"+w.ID+"/"+call), "application/json", strings.NewReader(body))
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode/100 == 2 {
			w.lab.Record("worker %s: its %s is acknowledged by %s: %s", w.ID, call, m.Name, body)
			return m
		}
	}
	return nil
}

// StopReports ends the regular check-ins.
func (w *Worker) StopReports() { w.stopOnce.Do(func() { close(w.stop) }) }

// Exit ends the worker.
func (w *Worker) Exit() {
	w.StopReports()
	_ = w.server.Close()
}
