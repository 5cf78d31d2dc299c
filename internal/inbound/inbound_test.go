package inbound

import (
	"bufio"
	"fmt"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"golang.org/x/sync/semaphore"
)

const testHeadLimit = 4 << 10

// serve starts a server that answers each request with its method, path, body and number of headers.
func serve(t *testing.T, o Options) (address string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	const bodyMemory = 1 << 20
	o.MaxHeadBytes, o.BodyMemory = func() int { return testHeadLimit }, semaphore.NewWeighted(bodyMemory)
	limited := NewListener(l, o)
	server := &http.Server{ConnState: limited.ConnState, ConnContext: limited.ConnContext, ErrorLog: log.New(io.Discard, "", 0),
		Handler: limited.Handler(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/unread" {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			_, _ = fmt.Fprintf(w, "%s %s %s", r.Method, r.URL.Path, body)
		}))}
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(limited) }()
	t.Cleanup(func() {
		_ = server.Close()
		<-done
		if used := limited.used(); used != 0 {
			t.Errorf("%d bytes of the budget are still taken", used)
		}
		if !o.BodyMemory.TryAcquire(bodyMemory) {
			t.Error("some of the budget for bodies is still taken")
		}
	})
	return l.Addr().String()
}

// used returns the memory that is taken once every connection is closed.
func (l *Listener) used() (used int64) {
	for range 100 {
		l.options.Memory.mu.Lock()
		used = l.options.Memory.used
		l.options.Memory.mu.Unlock()
		if used == 0 {
			return 0
		}
		time.Sleep(10 * time.Millisecond)
	}
	return used
}

func dial(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return c, bufio.NewReader(c)
}

// Guards against requests that are lost or misread where heads are held back until they are whole: requests with and
// without bodies, also sent before the last response, in pieces that are cut anywhere.
func TestRequestsInPiecesAreServed(t *testing.T) {
	address := serve(t, Options{MaxConnections: 100, Memory: NewHeadBudget(1 << 20)})
	for seed := range uint64(60) {
		random := rand.New(rand.NewPCG(seed, 1))
		var sent strings.Builder
		var want []string
		for i := range 12 {
			filler := strings.Repeat("x", random.IntN(200))
			switch random.IntN(4) {
			case 0:
				fmt.Fprintf(&sent, "GET /%d HTTP/1.1\r\nHost: h\r\nF: %s\r\n\r\n", i, filler)
				want = append(want, fmt.Sprintf("GET /%d ", i))
			case 1:
				fmt.Fprintf(&sent, "GET /%d HTTP/1.1\nHost: h\n\n", i)
				want = append(want, fmt.Sprintf("GET /%d ", i))
			case 2:
				fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s\r\n", i, len(filler), filler)
				want = append(want, fmt.Sprintf("POST /%d %s", i, filler))
			default:
				fmt.Fprintf(&sent, "POST /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n\r\n\n\r\n0\r\n\r\n", i)
				want = append(want, fmt.Sprintf("POST /%d \r\n\n", i))
			}
		}
		c, reader := dial(t, address)
		go func() {
			for rest := sent.String(); rest != ""; {
				n := min(1+random.IntN(300), len(rest))
				if _, err := io.WriteString(c, rest[:n]); err != nil {
					return
				}
				rest = rest[n:]
				time.Sleep(time.Duration(random.IntN(3)) * 100 * time.Microsecond)
			}
		}()
		g := NewWithT(t)
		for _, w := range want {
			response, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(HaveOccurred(), "seed %d, %q", seed, w)
			g.Expect(io.ReadAll(response.Body)).To(BeEquivalentTo(w), "seed %d", seed)
		}
		_ = c.Close()
	}
}

// Guards against refusals that promise too little or too much, and against heads that take the memory of ordinary
// requests.
func TestHeadsOverTheLimitsAreRefused(t *testing.T) {
	g := NewWithT(t)
	lines := strings.Repeat("a:\r\n", 900)
	longHead := "GET / HTTP/1.1\r\nHost: h\r\n" + lines + "\r\n"
	address := serve(t, Options{MaxConnections: 100, Memory: NewHeadBudget(1 << 20)}) // a half has room for one such head
	status := func(request string) (int, string) {
		c, reader := dial(t, address)
		_, _ = io.WriteString(c, request)
		response, err := http.ReadResponse(reader, nil)
		g.Expect(err).NotTo(HaveOccurred())
		return response.StatusCode, response.Header.Get("Retry-After")
	}
	g.Expect(status(longHead)).To(Equal(http.StatusOK))
	code, _ := status("GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", testHeadLimit))
	g.Expect(code).To(Equal(http.StatusRequestHeaderFieldsTooLarge))

	held, _ := dial(t, address)
	_, _ = io.WriteString(held, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n"+lines+"\r\n")
	g.Eventually(func() int { code, _ := status(longHead); return code }).Should(Equal(http.StatusServiceUnavailable))
	code, retryAfter := status(longHead)
	g.Expect(code).To(Equal(http.StatusServiceUnavailable))
	g.Expect(retryAfter).NotTo(BeEmpty())
	g.Expect(status("GET / HTTP/1.1\r\nHost: h\r\n\r\n")).To(Equal(http.StatusOK), "an ordinary head")
	_ = held.Close()
	g.Eventually(func() int { code, _ := status(longHead); return code }).Should(Equal(http.StatusOK))
}

// Guards against a response that waits for a body that doesn't come.
func TestResponseDoesNotWaitForABodyThatIsNotRead(t *testing.T) {
	g := NewWithT(t)
	c, reader := dial(t, serve(t, Options{MaxConnections: 100, Memory: NewHeadBudget(1 << 20)}))
	_, _ = io.WriteString(c, "POST /unread HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nx")
	response, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	g.Expect(response.Close).To(BeTrue())
}

// Guards against the eviction of a client that is not silent, or that has been so for a moment, and against an order in
// which clients that have been served go before those that have sent nothing.
func TestSilentClientsAreEvictedInOrder(t *testing.T) {
	g := NewWithT(t)
	now := time.Now()
	l := NewListener(nil, Options{MaxConnections: 16, Memory: NewHeadBudget(1 << 20)})
	add := func(p phase, silentFor time.Duration) *Conn {
		c := &Conn{listener: l, phase: p, since: now.Add(-silentFor)}
		l.conns[c] = true
		return c
	}
	expectEvicted := func(want ...*Conn) {
		t.Helper()
		evicted := l.beginEvictions(now.Add(-time.Second))
		g.Expect(slices.Equal(evicted, want)).To(BeTrue(), "%d evicted", len(evicted))
	}
	idle, body := add(phaseIdle, time.Minute), add(phaseReadingBody, time.Hour)
	newer, oldest := add(phaseNew, 2*time.Second), add(phaseNew, 3*time.Second)
	for range 9 {
		add(phaseServing, time.Hour)
	}
	expectEvicted() // there is room
	add(phaseNew, 0)
	add(phaseNew, 0)
	expectEvicted(oldest)
	add(phaseHeadRead, time.Hour)
	expectEvicted(newer)
	add(phaseServing, time.Hour)
	expectEvicted() // as many as may be closing at a time
	l.slots <- struct{}{}
	l.remove(oldest)
	l.slots <- struct{}{}
	l.remove(newer)
	expectEvicted(idle)
	add(phaseServing, time.Hour)
	expectEvicted(body)
}
