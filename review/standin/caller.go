package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const callerDeadline = 2500 * time.Millisecond

// sent is one attempt of a caller: a request with an id of its own.
type sent struct {
	id     string
	entry  *machine
	at     time.Time
	status int // of the answer, 0 without one
	error  string
}

// callers send bookings at a steady rate to all entries in turn.
type callers struct {
	record *record
	mu     sync.Mutex
	all    []*sent
	group  sync.WaitGroup
}

// run sends bookings for a time, each first to the next entry that takes part.
func (c *callers) run(machines []*machine, perSecond int, length time.Duration, takesPart func(m *machine) bool) {
	ticker := time.NewTicker(time.Second / time.Duration(perSecond))
	defer ticker.Stop()
	next := 0
	for end := time.Now().Add(length); time.Now().Before(end); {
		<-ticker.C
		next++
		if m := machines[next%len(machines)]; takesPart(m) {
			c.group.Go(func() { c.book(m, machines) })
		}
	}
	c.group.Wait()
}

// book sends a booking, and once more, as another attempt at another entry, only after a status that
// promises that it did not run and never will.
func (c *callers) book(m *machine, machines []*machine) {
	deadline := time.Now().Add(callerDeadline)
	status := c.attempt(m, deadline)
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		time.Sleep(100 * time.Millisecond)
		c.attempt(machines[rand.IntN(len(machines))], deadline)
	}
}

func (c *callers) attempt(m *machine, deadline time.Time) int {
	s := &sent{id: fmt.Sprintf("%016x", rand.Uint64()), entry: m, at: time.Now()}
	c.mu.Lock()
	c.all = append(c.all, s)
	c.mu.Unlock()
	s.status, s.error = exchange(m, s.id, deadline)
	return s.status
}

// exchange sends one request on a new channel.
func exchange(m *machine, id string, deadline time.Time) (status int, failure string) {
	channel, err := net.DialTimeout("tcp", m.address(callerPort), time.Second)
	if err != nil {
		return 0, err.Error()
	}
	defer channel.Close()
	_ = channel.SetDeadline(deadline)
	body := strings.Repeat("x", 600)
	if _, err := fmt.Fprintf(channel, "POST /pay/1 HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: %s\r\nX-Time-Budget-Ms: %d\r\nApi-Key: riders-key\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s",
		id, time.Until(deadline).Milliseconds(), len(body), body); err != nil {
		return 0, err.Error()
	}
	response, err := http.ReadResponse(bufio.NewReader(channel), nil)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, ""
}

// entries returns the entry to which each request was sent, by its id.
func (c *callers) entries() map[string]*sent {
	byID := map[string]*sent{}
	for _, s := range c.all {
		byID[s.id] = s
	}
	return byID
}
