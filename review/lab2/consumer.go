package lab2

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Answer is what became of a request.
type Answer struct {
	Request string
	Machine *Machine
	SentAt  time.Time
	Status  int    // 0 without an answer
	Body    string // of a short answer
}

// Target is what consumers ask for.
type Target struct {
	Host, Path, Key string
}

// newRequest returns a request with an id of its own.
func newRequest(method string, m *Machine, t Target, budget time.Duration) (*http.Request, error) {
	request, err := http.NewRequest(method, "http://"+m.Front()+t.Path, nil)
	if err != nil {
		return nil, err
	}
	request.Host = t.Host
	request.Header.Set("X-Attempt-Id", fmt.Sprintf("%016x", rand.Uint64()))
	request.Header.Set("X-Time-Budget-Ms", strconv.FormatInt(budget.Milliseconds(), 10))
	request.Header.Set("Api-Key", t.Key)
	return request, nil
}

// Consume sends an idempotent request to the machines in turn, every interval, until stop is closed. It passes
// the answers to got, one at a time.
func (l *Lab) Consume(t Target, machines []*Machine, interval time.Duration, stop <-chan struct{}, group *sync.WaitGroup, got func(Answer)) {
	var mu sync.Mutex
	group.Go(func() {
		client := &http.Client{Timeout: 2500 * time.Millisecond}
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(interval):
			}
			m := machines[i%len(machines)]
			group.Go(func() {
				a := l.get(client, m, t)
				mu.Lock()
				defer mu.Unlock()
				got(a)
			})
		}
	})
}

func (l *Lab) get(client *http.Client, m *Machine, t Target) Answer {
	request, err := newRequest(http.MethodGet, m, t, 2500*time.Millisecond)
	if err != nil {
		return Answer{}
	}
	a := Answer{Request: request.Header.Get("X-Attempt-Id"), Machine: m, SentAt: time.Now()}
	l.Record("consumer: sends %s to %s for %s%s", a.Request, m.Name, t.Host, t.Path)
	response, err := client.Do(request)
	if err != nil {
		l.Record("consumer: %s has no answer: %v", a.Request, err)
		return a
	}
	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	a.Status, a.Body = response.StatusCode, strings.TrimSpace(string(body))
	l.Record("consumer: %s has status %d, %q, body error %v", a.Request, a.Status, a.Body, err)
	return a
}

// Follow reads a stream to its end. If its channel breaks, it takes the stream up at the next machine, on a
// new channel.
func (l *Lab) Follow(t Target, machines []*Machine) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	last := 0
	for attempt := range machines {
		request, err := newRequest(http.MethodPost, machines[attempt], t, 12*time.Second)
		if err != nil {
			return
		}
		id := request.Header.Get("X-Attempt-Id")
		if last > 0 {
			request.Header.Set("Last-Event-Id", strconv.Itoa(last))
		}
		l.Record("consumer: sends %s to %s for the stream after event %d", id, machines[attempt].Name, last)
		response, err := client.Do(request)
		if err != nil {
			l.Record("consumer: %s has no answer: %v", id, err)
			continue
		}
		for lines := bufio.NewScanner(response.Body); lines.Scan(); {
			if number, found := strings.CutPrefix(lines.Text(), "id: "); found {
				last, _ = strconv.Atoi(number) // the stand-in's events are numbered
			}
		}
		_ = response.Body.Close()
		l.Record("consumer: %s had status %d and its stream ends after event %d", id, response.StatusCode, last)
		if last >= StreamEvents {
			return
		}
	}
}
