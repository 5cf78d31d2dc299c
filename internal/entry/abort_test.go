package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// Guards against: a response that is broken off looks complete to a caller whose responses end with their
// connection, as those of HTTP/1.0 do.
func TestBrokenResponseLooksIncompleteToEveryCaller(t *testing.T) {
	const event = "id: 1\ndata: 1\n\n"
	logger := slog.New(slog.DiscardHandler)
	e := New(Options{Logger: logger, Metrics: metrics.New()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = e.ServeCallers(ctx, l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, event)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(20 * time.Millisecond)
			switch r.URL.Path {
			case "/broken":
				panic(http.ErrAbortHandler)
			case "/endless":
				<-ended
			}
		}), time.Second, logger)
	}()
	for _, version := range []string{"1.0", "1.1"} {
		for _, header := range []string{"", "Connection: close\r\n", "Connection: keep-alive\r\n"} {
			for _, path := range []string{"/broken", "/whole"} {
				t.Run(fmt.Sprintf("HTTP/%s, %q, %s", version, header, path), func(t *testing.T) {
					g := NewWithT(t)
					c, err := net.Dial("tcp", l.Addr().String())
					g.Expect(err).NotTo(HaveOccurred())
					defer func() { _ = c.Close() }()
					_ = c.SetDeadline(time.Now().Add(time.Second))
					_, err = fmt.Fprintf(c, "POST %s HTTP/%s\r\nHost: h\r\n%sContent-Length: 4\r\n\r\nbody", path, version, header)
					g.Expect(err).NotTo(HaveOccurred())
					received, err := io.ReadAll(c)
					_, body, _ := strings.Cut(string(received), "\r\n\r\n")
					chunks := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
					switch {
					case version == "1.0" && path == "/broken":
						g.Expect(errors.Is(err, unix.ECONNRESET)).To(BeTrue(), "%v", err)
						g.Expect(body).To(Equal(event))
					case version == "1.0":
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(body).To(Equal(event))
					case path == "/broken":
						g.Expect(err).NotTo(HaveOccurred())
						g.Expect(body).To(Equal(chunks), "no last chunk")
					default:
						g.Expect(body).To(Equal(chunks + "0\r\n\r\n"))
					}
				})
			}
		}
	}
	t.Run("cut at a stop", func(t *testing.T) {
		g := NewWithT(t)
		c, err := net.Dial("tcp", l.Addr().String())
		g.Expect(err).NotTo(HaveOccurred())
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		_, err = io.WriteString(c, "GET /endless HTTP/1.0\r\nHost: h\r\n\r\n")
		g.Expect(err).NotTo(HaveOccurred())
		time.AfterFunc(100*time.Millisecond, cancel)
		_, err = io.ReadAll(c)
		g.Expect(errors.Is(err, unix.ECONNRESET)).To(BeTrue(), "%v", err)
	})
}
