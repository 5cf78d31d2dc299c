package logging_test

import (
	"bytes"
	"io"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/logging"
)

// Guards against a burst of one message that fills the disk or suppresses lines
// with other messages. Dropped lines must be counted.
func TestBurstIsRateLimitedAndDroppedLinesAreCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var text bytes.Buffer
		logger := logging.New(&text, slog.LevelInfo)
		const writtenLines = 50_000
		for range writtenLines {
			logger.Info("route")
		}
		logger.Info("ticket")
		lines := strings.Count(text.String(), `"route"`)
		g.Expect(lines).To(BeNumerically("<=", 1000))
		g.Expect(text.String()).To(ContainSubstring(`"ticket"`))
		time.Sleep(time.Second)
		text.Reset()
		logger.Info("route")
		g.Expect(text.String()).To(ContainSubstring(`"omitted":49000`))
	})
}

func BenchmarkLine(b *testing.B) {
	logger := logging.New(io.Discard, slog.LevelInfo).With("process", "router-1")
	b.ReportAllocs()
	for b.Loop() {
		logger.Info("route", "request", "router-1-0", "workspace", "riders", "class", "questions", "tier", 3, "endpoint", "e")
	}
}
