package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// testServer responds to each request on each connection with what its script returns.
type testServer struct {
	net.Listener
	connections atomic.Int32
}

// startServer starts a server. script is called with the number of the connection and
// of the request on it, both from 1; if it returns "", the connection is closed.
func startServer(t *testing.T, script func(connection, request int, r *http.Request) string) *testServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &testServer{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go s.serveConn(c, int(s.connections.Add(1)), script)
		}
	}()
	return s
}

// serveConn responds to the requests of a connection.
func (s *testServer) serveConn(c net.Conn, number int, script func(connection, request int, r *http.Request) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for request := 1; ; request++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		response := script(number, request, r)
		if response == "" {
			return
		}
		if _, err := io.WriteString(c, response); err != nil || strings.Contains(response, "Connection: close") {
			return
		}
	}
}

const okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// post sends a request and reads the response.
func post(c *Client, s *testServer, body []byte) (string, error) {
	r := &http.Request{Method: "POST", URL: &url.URL{Opaque: "/x?y=%20z"}, Host: "h.example", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, ContentLength: int64(len(body))}
	if len(body) > 0 {
		r.Body = io.NopCloser(strings.NewReader(string(body)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	x, err := c.Do(ctx, s.Addr().String(), r, body)
	if err != nil {
		return "", err
	}
	defer x.Close()
	response, err := io.ReadAll(x)
	return string(response), err
}

func TestConnectionsAreReused(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, func(int, int, *http.Request) string { return okResponse })
	c := New()
	for range 3 {
		g.Expect(post(c, s, nil)).To(Equal("ok"))
	}
	g.Expect(s.connections.Load()).To(Equal(int32(1)))
	c.CloseUnused(time.Now(), map[string]bool{})
	g.Expect(post(c, s, nil)).To(Equal("ok"))
	g.Expect(s.connections.Load()).To(Equal(int32(2)))
}

func TestRequestURIAndBodyAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	var requestLine, body string
	s := startServer(t, func(_, _ int, r *http.Request) string {
		b, _ := io.ReadAll(r.Body)
		requestLine, body = r.Method+" "+r.RequestURI+" "+r.Host, string(b)
		return okResponse
	})
	long := strings.Repeat("b", 3*concurrentSendBytes)
	g.Expect(post(New(), s, []byte(long))).To(Equal("ok"))
	g.Expect(requestLine).To(Equal("POST /x?y=%20z h.example"))
	g.Expect(body).To(Equal(long))
}

// Bytes that an endpoint sends after a complete response, at once or later, must not be
// read as the response to the next request on the connection.
func TestExtraBytesAreNotNextResponse(t *testing.T) {
	for name, pause := range map[string]time.Duration{"at once": 0, "later": 30 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer l.Close()
			go func() {
				for n := 1; ; n++ {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						reader := bufio.NewReader(c)
						for {
							if _, err := http.ReadRequest(reader); err != nil {
								return
							}
							reply := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%02d", n)
							if pause == 0 {
								_, _ = io.WriteString(c, reply+strings.Replace(reply, fmt.Sprintf("%02d", n), "no", 1))
								continue
							}
							_, _ = io.WriteString(c, reply)
							time.Sleep(pause)
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
						}
					}()
				}
			}()
			c, s := New(), &testServer{Listener: l}
			for i := range 4 {
				response, err := post(c, s, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(response).To(Equal(fmt.Sprintf("%02d", i+1)))
				time.Sleep(2 * pause)
			}
		})
	}
}

// A response that arrives before the body is completely sent is returned. The
// connection is not reused, since the rest of the body would precede the next request.
func TestEarlyResponse(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, func(_, request int, r *http.Request) string {
		return "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
	})
	c := New()
	for range 2 {
		r := &http.Request{Method: "POST", URL: &url.URL{Opaque: "/"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			Header: http.Header{}, ContentLength: 8 << 20, Body: io.NopCloser(strings.NewReader(strings.Repeat("b", 8<<20)))}
		x, err := c.Do(context.Background(), s.Addr().String(), r, make([]byte, 8<<20))
		g.Expect(err).NotTo(HaveOccurred())
		response, err := io.ReadAll(x)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(response)).To(Equal("no"))
		x.Close()
	}
	g.Expect(s.connections.Load()).To(Equal(int32(2)))
}

func TestClosedIdleConnectionIsNotReused(t *testing.T) {
	g := NewWithT(t)
	s := startServer(t, func(_, request int, _ *http.Request) string {
		return "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok"
	})
	c := New()
	g.Expect(post(c, s, nil)).To(Equal("ok"))
	c.mu.Lock()
	idle := c.idle[s.Addr().String()][0]
	c.mu.Unlock()
	_ = idle.Conn.(*net.TCPConn).CloseRead()
	_ = idle.Conn.(*net.TCPConn).CloseWrite()
	time.Sleep(20 * time.Millisecond)
	g.Expect(post(c, s, nil)).To(Equal("ok"))
	g.Expect(s.connections.Load()).To(Equal(int32(2)))
}

func TestErrorsTellWhetherRequestWasSent(t *testing.T) {
	g := NewWithT(t)
	closedListener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	_ = closedListener.Close()
	_, err = post(New(), &testServer{Listener: closedListener}, nil)
	var notSent *NotSentError
	g.Expect(errors.As(err, &notSent)).To(BeTrue(), "%v", err)

	var noResponse *NoResponseError
	for name, response := range map[string]string{"closed connection": "", "malformed response": "no answer at all\r\n\r\n",
		"response that begins in a status line":              "HTTP/1.1 503 Service Un" + okResponse,
		"response that begins in a header":                   "HTTP/1.1 503 Busy\r\nRefused: 1" + okResponse,
		"response that begins in the end of a line":          "HTTP/1.1 503 Busy\r\nRefused: 1\r" + okResponse,
		"response that begins in the head of an interim one": "HTTP/1.1 103 Early" + okResponse} {
		s := startServer(t, func(int, int, *http.Request) string { return response })
		_, err = post(New(), s, nil)
		g.Expect(errors.As(err, &noResponse)).To(BeTrue(), "%s: %v", name, err)
	}
}

func TestTruncatedResponseIsAnError(t *testing.T) {
	for name, response := range map[string]string{
		"shorter than Content-Length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nok",
		"no final chunk":              "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		g := NewWithT(t)
		s := startServer(t, func(int, int, *http.Request) string { return response })
		_, err := post(New(), s, nil)
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), name)
	}
}

// If the context ends, the request is cancelled at the endpoint at once.
func TestContextCancelsRequest(t *testing.T) {
	g := NewWithT(t)
	requestRead, connClosed := make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		c, _ := l.Accept()
		reader := bufio.NewReader(c)
		_, _ = http.ReadRequest(reader)
		close(requestRead)
		_, _ = reader.ReadByte() // until the connection is closed
		close(connClosed)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-requestRead; cancel() }()
	r := &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	_, err = New().Do(ctx, l.Addr().String(), r, nil)
	g.Expect(err).To(MatchError(context.Canceled))
	g.Eventually(connClosed, "1s").Should(BeClosed())
}

func TestParseKeepAlive(t *testing.T) {
	g := NewWithT(t)
	for value, want := range map[string]time.Duration{"timeout=5": 5 * time.Second, "max=3, Timeout=2": 2 * time.Second} {
		got, ok := parseKeepAlive(value)
		g.Expect(ok).To(BeTrue())
		g.Expect(got).To(Equal(want))
	}
	for _, value := range []string{"", "timeout", "timeout=x", "timeout=-1"} {
		_, ok := parseKeepAlive(value)
		g.Expect(ok).To(BeFalse(), value)
	}
	g.Expect(idleTimeout(http.Header{"Keep-Alive": {"timeout=1"}})).To(Equal(time.Second - idleTimeoutMargin))
}
