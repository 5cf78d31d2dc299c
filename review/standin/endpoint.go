package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	beatInterval = 1200 * time.Millisecond
	workTime     = 30 * time.Millisecond
	slots        = 6
	queueLength  = 24
)

// endpoint is a plain service: 6 slots, a short queue, and one request at a time on a channel.
type endpoint struct {
	deployment *deployment
	id, zone   string
	listener   net.Listener
	born       int64
	slots      chan struct{}
	waiting    atomic.Int64
	left       atomic.Bool // it sends no further check-ins
	sequence   atomic.Int64

	// extraAnswer tells whether a second answer follows the answer to a request. It may be nil.
	extraAnswer func() bool

	mu   sync.Mutex
	runs []run
}

// run is a request that the endpoint began to work on.
type run struct {
	id string
	at time.Time
}

func newEndpoint(d *deployment, id, zone, ip string) (*endpoint, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	e := &endpoint{deployment: d, id: id, zone: zone, listener: l, born: time.Now().UnixMilli(), slots: make(chan struct{}, slots)}
	go func() {
		for {
			channel, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(channel)
		}
	}()
	return e, nil
}

// serve answers the requests of a channel.
func (e *endpoint) serve(channel net.Conn) {
	defer channel.Close()
	reader := bufio.NewReader(channel)
	extraFor := "" // id of the request whose second answer is late
	for {
		_ = channel.SetReadDeadline(time.Now().Add(20 * time.Second))
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		id := r.Header.Get("X-Attempt-Id")
		if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
			_, _ = fmt.Fprintf(channel, "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, e.id)
			continue
		}
		refusal := "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\nX-Not-Executed: 1\r\nX-Instance-Load: %s\r\nContent-Length: 0\r\n\r\n"
		if e.waiting.Load() >= queueLength {
			_, _ = fmt.Fprintf(channel, refusal, id, e.load())
			continue
		}
		e.waiting.Add(1)
		e.slots <- struct{}{}
		e.waiting.Add(-1)
		e.begin(id)
		if extraFor != "" {
			// The extra answer arrives where the next one is expected. Its id identifies it.
			_, _ = fmt.Fprintf(channel, refusal, extraFor, e.load())
			e.deployment.record.addf("endpoint %s sends the extra answer 503 (not executed) of %s on the channel on which it runs %s", e.id, extraFor, id)
			extraFor = ""
		}
		time.Sleep(workTime)
		<-e.slots
		body := "paid " + id
		if _, err := fmt.Fprintf(channel, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Seal: %s.%s\r\nX-Instance-Load: %s\r\nKeep-Alive: timeout=15\r\nContent-Length: %d\r\n\r\n%s",
			id, e.id, id, e.load(), len(body), body); err != nil {
			return
		}
		if e.extraAnswer != nil && e.extraAnswer() {
			extraFor = id
		}
	}
}

func (e *endpoint) load() string {
	return fmt.Sprintf("%d,%d,%d", len(e.slots), e.waiting.Load(), slots)
}

func (e *endpoint) begin(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, run{id: id, at: time.Now()})
}

func (e *endpoint) allRuns() []run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]run(nil), e.runs...)
}

// beat checks in about every heartbeat-ms until the endpoint leaves, each time at any of the control
// hosts, or at the next one after a failure.
func (e *endpoint) beat() {
	for !e.left.Load() {
		body := fmt.Sprintf(`{"service":"app","address":%q,"zone":%q,"version":"v1","slots":%d,"state":"ready","cold-left-ms":0,"seq-no":%d,"born":%d}`,
			e.listener.Addr().String(), e.zone, slots, e.sequence.Add(1), e.born)
		first := rand.IntN(len(e.deployment.machines))
		for i := range e.deployment.machines {
			if e.report(e.deployment.machines[(first+i)%len(e.deployment.machines)], "heartbeat", body) {
				break
			}
		}
		time.Sleep(beatInterval)
	}
}

// report sends a report to a control host and returns whether it was acknowledged.
func (e *endpoint) report(m *machine, kind, body string) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post("http://"+m.address(controlPort)+"/trefoilkeel/instances/"+e.id+"/"+kind, "application/json", bytes.NewBufferString(body))
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}
