package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// startEndlessServer starts a server that answers each request with prefix and then
// with unit repeatedly, until the client closes the connection.
func startEndlessServer(t *testing.T, prefix, unit string) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	block := strings.Repeat(unit, max(16<<10/len(unit), 1))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
					return
				}
				_, err := io.WriteString(c, prefix)
				for err == nil {
					_, err = io.WriteString(c, block)
				}
			}()
		}
	}()
	return &testServer{Listener: l}
}

// endlessResponses are responses that never end, by the part that has no end. Those
// with a complete head are read by the caller of Do, who limits the body.
var endlessResponses = map[string]struct {
	prefix, unit string
	headComplete bool
}{
	"status line":         {prefix: "HTTP/1.1 200 ", unit: "OK"},
	"no protocol":         {unit: "garbage"},
	"blank lines":         {unit: "\r\n"},
	"header value":        {prefix: "HTTP/1.1 200 OK\r\nX: ", unit: "x"},
	"headers":             {prefix: "HTTP/1.1 200 OK\r\n", unit: "X: y\r\n"},
	"folded header":       {prefix: "HTTP/1.1 200 OK\r\nX: y\r\n", unit: " z\r\n"},
	"interim responses":   {unit: "HTTP/1.1 103 Early Hints\r\n\r\n"},
	"interim headers":     {prefix: "HTTP/1.1 103 Early Hints\r\n", unit: "X: y\r\n"},
	"chunk size":          {prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "0", headComplete: true},
	"chunk extension":     {prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", unit: "x", headComplete: true},
	"extensions of small": {prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", unit: "1;" + strings.Repeat("x", 1000) + "\r\na\r\n", headComplete: true},
	"trailer":             {prefix: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", unit: "X: y\r\n", headComplete: true},
}

// An endpoint that sends bytes without end must not hold the request or fill the
// memory: 200 such responses at once stay within heapAllowance.
func TestEndlessResponsesEndWithAnError(t *testing.T) {
	const (
		connections   = 200
		heapAllowance = 40 << 20
	)
	for name, endless := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			s := startEndlessServer(t, endless.prefix, endless.unit)
			ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			errs := make([]error, connections)
			var requests sync.WaitGroup
			client := New()
			for i := range connections {
				requests.Go(func() {
					r := &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
					x, err := client.Do(ctx, s.Addr().String(), r, nil)
					for notSent := (*NotSentError)(nil); errors.As(err, &notSent) && ctx.Err() == nil; {
						x, err = client.Do(ctx, s.Addr().String(), r, nil) // the accept queue was full
					}
					if err != nil {
						errs[i] = err
						return
					}
					defer x.Close()
					_, errs[i] = io.Copy(io.Discard, x)
				})
			}
			requests.Wait()
			runtime.ReadMemStats(&after)
			g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the deadline ended the requests")
			for _, err := range errs {
				g.Expect(err).To(HaveOccurred())
				var noResponse *NoResponseError
				g.Expect(errors.As(err, &noResponse)).To(Equal(!endless.headComplete), "%v", err)
			}
			g.Expect(int64(after.HeapSys) - int64(before.HeapSys)).To(BeNumerically("<", heapAllowance))
		})
	}
}

// A long head within the limit is read whole, also after interim responses.
func TestLongHeadIsAccepted(t *testing.T) {
	g := NewWithT(t)
	long := strings.Repeat("x", 12<<10)
	s := startServer(t, func(int, int, *http.Request) string {
		return "HTTP/1.1 103 Early Hints\r\nA: " + long + "\r\n\r\nHTTP/1.1 200 OK\r\nB: " + long + "\r\nContent-Length: 2\r\n\r\nok"
	})
	c := New()
	for range 3 { // the limit applies to each response, not to the connection
		g.Expect(post(c, s, nil)).To(Equal("ok"))
	}
	g.Expect(s.connections.Load()).To(Equal(int32(1)))
}

// A body of many short lines that comes with the head is no part of it.
func TestShortLinesAfterTheHeadAreAccepted(t *testing.T) {
	g := NewWithT(t)
	body := strings.Repeat(":\n", 1000)
	s := startServer(t, func(int, int, *http.Request) string {
		return "HTTP/1.1 200 OK\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	})
	c := New()
	for range 3 {
		g.Expect(post(c, s, nil)).To(Equal(body))
	}
}

// FuzzReadFinalResponse checks that no bytes make the reader of heads panic, or accept
// more than maxHeadBytes.
func FuzzReadFinalResponse(f *testing.F) {
	for _, endless := range endlessResponses {
		f.Add([]byte(endless.prefix + strings.Repeat(endless.unit, 20)))
	}
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\n" + okResponse))
	f.Fuzz(func(t *testing.T, data []byte) {
		head := &headLimiter{Reader: strings.NewReader(string(data))}
		head.begin()
		response, err := readFinalResponse(bufio.NewReaderSize(head, readBufferBytes), &http.Request{Method: "GET"})
		if err == nil && response.StatusCode < http.StatusOK {
			t.Errorf("status %d", response.StatusCode)
		}
		if head.remaining < 0 {
			t.Errorf("read %d bytes over the limit", -head.remaining)
		}
	})
}
