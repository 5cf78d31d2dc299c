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

// endpoint answers each request on each connection by a script.
type endpoint struct {
	net.Listener
	connections atomic.Int32
}

// serve answers with what script returns for the number of a request on its
// connection; an empty string closes the connection.
func serve(t *testing.T, script func(connection, request int, r *http.Request) string) *endpoint {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	e := &endpoint{Listener: l}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.converse(c, int(e.connections.Add(1)), script)
		}
	}()
	return e
}

// converse answers the requests of one connection.
func (e *endpoint) converse(c net.Conn, number int, script func(connection, request int, r *http.Request) string) {
	defer c.Close()
	reader := bufio.NewReader(c)
	for request := 1; ; request++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := script(number, request, r)
		if answer == "" {
			return
		}
		if _, err := io.WriteString(c, answer); err != nil || strings.Contains(answer, "Connection: close") {
			return
		}
	}
}

const whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// get sends one request and reads its answer.
func get(c *Client, e *endpoint, body []byte) (string, error) {
	r := &http.Request{Method: "POST", URL: &url.URL{Opaque: "/x?y=%20z"}, Host: "h.example", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, ContentLength: int64(len(body))}
	if len(body) > 0 {
		r.Body = io.NopCloser(strings.NewReader(string(body)))
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	x, err := c.Do(ctx, e.Addr().String(), r, body)
	if err != nil {
		return "", err
	}
	defer x.Close()
	answer, err := io.ReadAll(x)
	return string(answer), err
}

func TestConnectionsAreKept(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(int, int, *http.Request) string { return whole })
	c := New()
	for range 3 {
		g.Expect(get(c, e, nil)).To(Equal("ok"))
	}
	g.Expect(e.connections.Load()).To(Equal(int32(1)))
	c.Tidy(time.Now(), map[string]bool{})
	g.Expect(get(c, e, nil)).To(Equal("ok"))
	g.Expect(e.connections.Load()).To(Equal(int32(2)))
}

func TestTargetAndBodyAreUnchanged(t *testing.T) {
	g := NewWithT(t)
	var seen, body string
	e := serve(t, func(_, _ int, r *http.Request) string {
		b, _ := io.ReadAll(r.Body)
		seen, body = r.Method+" "+r.RequestURI+" "+r.Host, string(b)
		return whole
	})
	long := strings.Repeat("b", 3*aheadBytes)
	g.Expect(get(New(), e, []byte(long))).To(Equal("ok"))
	g.Expect(seen).To(Equal("POST /x?y=%20z h.example"))
	g.Expect(body).To(Equal(long))
}

// Bytes after a whole answer belong to no request: neither those that came with
// it nor those that come later may be read as the next answer.
func TestExtraBytesAreNeverAnAnswer(t *testing.T) {
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
							mine := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n%02d", n)
							if pause == 0 {
								_, _ = io.WriteString(c, mine+strings.Replace(mine, fmt.Sprintf("%02d", n), "no", 1))
								continue
							}
							_, _ = io.WriteString(c, mine)
							time.Sleep(pause)
							_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
						}
					}()
				}
			}()
			c, e := New(), &endpoint{Listener: l}
			for i := range 4 {
				answer, err := get(c, e, nil)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(answer).To(Equal(fmt.Sprintf("%02d", i+1)))
				time.Sleep(2 * pause)
			}
		})
	}
}

// An answer before the body is read is passed on; the connection, on which the
// rest of the body is due, is never used again.
func TestEarlyAnswer(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_, request int, r *http.Request) string {
		return "HTTP/1.1 503 Busy\r\nContent-Length: 2\r\n\r\nno"
	})
	c := New()
	for range 2 {
		r := &http.Request{Method: "POST", URL: &url.URL{Opaque: "/"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
			Header: http.Header{}, ContentLength: 8 << 20, Body: io.NopCloser(strings.NewReader(strings.Repeat("b", 8<<20)))}
		x, err := c.Do(context.Background(), e.Addr().String(), r, make([]byte, 8<<20))
		g.Expect(err).NotTo(HaveOccurred())
		answer, err := io.ReadAll(x)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(answer)).To(Equal("no"))
		x.Close()
	}
	g.Expect(e.connections.Load()).To(Equal(int32(2)))
}

func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	g := NewWithT(t)
	e := serve(t, func(_, request int, _ *http.Request) string {
		return "HTTP/1.1 200 OK\r\nConnection: keep-alive\r\nContent-Length: 2\r\n\r\nok"
	})
	c := New()
	g.Expect(get(c, e, nil)).To(Equal("ok"))
	c.mu.Lock()
	kept := c.idle[e.Addr().String()][0]
	c.mu.Unlock()
	_ = kept.Conn.(*net.TCPConn).CloseRead()
	_ = kept.Conn.(*net.TCPConn).CloseWrite()
	time.Sleep(20 * time.Millisecond)
	g.Expect(get(c, e, nil)).To(Equal("ok"))
	g.Expect(e.connections.Load()).To(Equal(int32(2)))
}

func TestWhatIsCertain(t *testing.T) {
	g := NewWithT(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	_ = closed.Close()
	_, err = get(New(), &endpoint{Listener: closed}, nil)
	var unsent *NotSentError
	g.Expect(errors.As(err, &unsent)).To(BeTrue(), "%v", err)

	var silent *NoAnswerError
	for name, answer := range map[string]string{"closes": "", "garbles": "no answer at all\r\n\r\n"} {
		e := serve(t, func(int, int, *http.Request) string { return answer })
		_, err = get(New(), e, nil)
		g.Expect(errors.As(err, &silent)).To(BeTrue(), "%s: %v", name, err)
	}
}

func TestCutAnswersAreNotWhole(t *testing.T) {
	for name, answer := range map[string]string{
		"short of its length": "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n\r\nok",
		"cut chunks":          "HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
	} {
		g := NewWithT(t)
		e := serve(t, func(int, int, *http.Request) string { return answer })
		_, err := get(New(), e, nil)
		g.Expect(err).To(MatchError(io.ErrUnexpectedEOF), name)
	}
}

// The end of the context ends the request at the endpoint at once.
func TestCancel(t *testing.T) {
	g := NewWithT(t)
	began, ended := make(chan struct{}), make(chan struct{})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	go func() {
		c, _ := l.Accept()
		reader := bufio.NewReader(c)
		_, _ = http.ReadRequest(reader)
		close(began)
		_, _ = reader.ReadByte() // until the connection is closed
		close(ended)
	}()
	ctx, cancel := context.WithCancel(context.Background())
	go func() { <-began; cancel() }()
	r := &http.Request{Method: "GET", URL: &url.URL{Opaque: "/"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1, Header: http.Header{}}
	_, err = New().Do(ctx, l.Addr().String(), r, nil)
	g.Expect(err).To(MatchError(context.Canceled))
	g.Eventually(ended, "1s").Should(BeClosed())
}

func TestKeepAlive(t *testing.T) {
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
	g.Expect(idleTime(http.Header{"Keep-Alive": {"timeout=1"}})).To(Equal(time.Second - idleMargin))
}
