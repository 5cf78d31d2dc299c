package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/answer/answertest"
)

// newPost returns a request with a body.
func newPost(body []byte) *http.Request {
	return &http.Request{Method: "POST", URL: &url.URL{Opaque: "/"}, Host: "h", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{}, ContentLength: int64(len(body)), Body: io.NopCloser(bytes.NewReader(body))}
}

// Guards against answers of endpoints in trouble whose head is none, which reached callers.
func TestOddHeadIsNoResponse(t *testing.T) {
	for _, heads := range []map[string]string{answertest.OddHeads, answertest.FoldedHeads} {
		for name, answer := range heads {
			t.Run(name, func(t *testing.T) {
				g := NewWithT(t)
				x, err := New().Do(context.Background(), answertest.Serve(t, answer), newPost([]byte("b")), []byte("b"))
				if err == nil {
					x.Close()
				}
				var noResponse *NoResponseError
				g.Expect(errors.As(err, &noResponse)).To(BeTrue(), "%v", err)
			})
		}
	}
}

// Guards against odd trailers, which make the end of an answer uncertain.
func TestOddTrailerIsNoCompleteResponse(t *testing.T) {
	for name, answer := range answertest.OddTrailers {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			x, err := New().Do(context.Background(), answertest.Serve(t, answer), newPost([]byte("b")), []byte("b"))
			g.Expect(err).NotTo(HaveOccurred())
			defer x.Close()
			_, err = io.ReadAll(x)
			g.Expect(err).To(HaveOccurred())
		})
	}
}

// Guards against a part of an answer that was taken for all of it: the endpoint answers a long upload at once,
// without a length, and ends the connection before it has read the upload. If the write of the upload meets the
// reset, the read sees a plain end.
func TestResponseThatEndsBeforeTheRequestIsSentIsNotComplete(t *testing.T) {
	upload := make([]byte, 16<<20) // more than the buffers of a connection take
	for name, end := range map[string]func(c *net.TCPConn, ended <-chan struct{}){
		"plain end": func(c *net.TCPConn, ended <-chan struct{}) {
			_ = c.CloseWrite()
			<-ended // the upload stays unread
		},
		"reset": func(c *net.TCPConn, _ <-chan struct{}) { time.Sleep(5 * time.Millisecond) }, // closed with unread bytes
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			g.Expect(err).NotTo(HaveOccurred())
			defer func() { _ = l.Close() }()
			for range 20 {
				ended := make(chan struct{})
				go func() {
					c, err := l.Accept()
					if err != nil {
						return
					}
					defer func() { _ = c.Close() }()
					if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
						return
					}
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart of the answer")
					end(c.(*net.TCPConn), ended)
				}()
				x, err := New().Do(context.Background(), l.Addr().String(), newPost(upload), upload)
				if err == nil {
					_, err = io.ReadAll(x)
					x.Close()
				}
				close(ended)
				g.Expect(err).To(HaveOccurred())
			}
		})
	}
}

// Guards against the refusal of a response without a length whose endpoint has read the whole request.
func TestResponseWithoutLengthIsComplete(t *testing.T) {
	g := NewWithT(t)
	upload := make([]byte, 1<<20)
	address := answertest.Serve(t, "HTTP/1.1 200 OK\r\n\r\nthe answer")
	for range 50 {
		x, err := New().Do(context.Background(), address, newPost(upload), upload)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(io.ReadAll(x)).To(Equal([]byte("the answer")))
		x.Close()
	}
}
