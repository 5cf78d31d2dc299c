package daemon

import (
	"log"
	"log/slog"
	"strings"
)

// maxServerLine bounds a line that net/http logs, in bytes: it may quote what
// a peer has sent.
const maxServerLine = 60

// ShortWriter passes the head of each line that a library logs to a logger.
type ShortWriter struct {
	Logger *slog.Logger
}

// Write logs one line.
func (s ShortWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxServerLine)]))
	s.Logger.Warn("library", "line", text)
	return len(line), nil
}

// serverLog passes net/http's own lines on, cut short.
func (d *Daemon) serverLog() *log.Logger { return log.New(ShortWriter{Logger: d.logger}, "", 0) }
