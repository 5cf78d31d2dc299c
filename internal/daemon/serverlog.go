package daemon

import (
	"log"
	"log/slog"
	"strings"
)

// maxServerLogBytes truncates the lines that net/http logs: they may quote data
// that a peer has sent.
const maxServerLogBytes = 60

// TruncatingLogWriter forwards a library's log lines to a logger, truncated to
// maxServerLogBytes.
type TruncatingLogWriter struct {
	Logger *slog.Logger
}

// Write logs one line as a warning.
func (w TruncatingLogWriter) Write(line []byte) (int, error) {
	text := strings.TrimSpace(string(line[:min(len(line), maxServerLogBytes)]))
	w.Logger.Warn("library", "line", text)
	return len(line), nil
}

// serverErrorLog returns the error log for an http.Server.
func (d *Daemon) serverErrorLog() *log.Logger {
	return log.New(TruncatingLogWriter{Logger: d.logger}, "", 0)
}
