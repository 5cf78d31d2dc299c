package entry

import (
	"bytes"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
)

// A caller whose request makes the handler panic must get an answer that doesn't say "not run", or a
// broken connection if the answer has begun, and the panic must be logged.
func TestPanicOfTheHandlerIsAnsweredAndLogged(t *testing.T) {
	for _, begun := range []bool{false, true} {
		g := NewWithT(t)
		log := &bytes.Buffer{}
		registry := metrics.New()
		e := New(Options{Logger: slog.New(slog.NewJSONHandler(log, nil)), Metrics: registry})
		handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if begun {
				_, _ = io.WriteString(w, "beginning")
				_ = http.NewResponseController(w).Flush()
			}
			panic("odd request")
		})
		server := httptest.NewServer(e.withPanicResponse(handler))
		response, err := http.Get(server.URL)
		g.Expect(err).NotTo(HaveOccurred())
		body, err := io.ReadAll(response.Body)
		if begun {
			g.Expect(err).To(HaveOccurred(), "a part must not look complete")
			g.Expect(string(body)).To(Equal("beginning"))
		} else {
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(response.StatusCode).To(Equal(http.StatusBadGateway))
		}
		g.Expect(response.Body.Close()).To(Succeed())
		server.Close()
		g.Expect(log.String()).To(ContainSubstring("handler panicked"))
		g.Expect(log.String()).To(ContainSubstring("panics_test.go"))
		g.Expect(registry.CounterValue(metrics.CallersPanics)).To(Equal(int64(1)))
	}
}
