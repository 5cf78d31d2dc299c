// Package explain finds the cause of one request's outcome in the logs of all hosts.
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// maxLineBytes bounds one line. The router's programs write shorter ones, so a
	// longer line ends reading with an error.
	maxLineBytes = 1 << 20
	// contextWindow is how long before the start of a request the report begins to
	// include log lines about its endpoints and hosts.
	contextWindow = 5 * time.Second
	// similarFailureWindow is the largest time between a request's end and another
	// failure at the same endpoint that counts as similar.
	similarFailureWindow = 2 * time.Second
)

// Line is one line of a log, a JSON object.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	Fields  map[string]any
	RawText string // the JSON object as written
}

// stringField returns a field formatted as text, or "" if it is missing.
func (l *Line) stringField(field string) string {
	switch v := l.Fields[field].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// numberField returns a field that is a number, or 0.
func (l *Line) numberField(field string) float64 {
	v, _ := l.Fields[field].(float64)
	return v
}

// failedRequest is another request that ended with an error.
type failedRequest struct {
	endedAt  time.Time
	endpoint string
}

// RequestLog holds the log lines that are relevant to one request.
type RequestLog struct {
	Request       string
	SkippedLines  int // lines that are not log lines of the router's programs
	requestLines  []Line
	contextLines  []Line // lines that name no request
	otherFailures []failedRequest
}

// ReadRequestLog collects the lines that are relevant to a request. It ignores what
// precedes the first brace of a line, because log collectors add prefixes. It fails
// only if reading fails.
func ReadRequestLog(logs io.Reader, request string) (*RequestLog, error) {
	log := &RequestLog{Request: request}
	scanner := bufio.NewScanner(logs)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		log.addLine(scanner.Bytes())
	}
	return log, errors.Wrap(scanner.Err(), "read log lines")
}

// addLine parses one line and stores it if it is relevant.
func (log *RequestLog) addLine(text []byte) {
	start := bytes.IndexByte(text, '{')
	line := Line{}
	if start < 0 || json.Unmarshal(text[start:], &line.Fields) != nil || line.stringField("msg") == "" {
		log.SkippedLines++
		return
	}
	line.RawText, line.Message, line.Host = string(text[start:]), line.stringField("msg"), line.stringField("host")
	line.Time, _ = time.Parse(time.RFC3339Nano, line.stringField("time")) // lines without a valid time are sorted first
	switch requestID := line.stringField("request"); {
	case requestID == log.Request:
		log.requestLines = append(log.requestLines, line)
	case requestID == "":
		log.contextLines = append(log.contextLines, line)
	case line.Message == endedMessage && line.stringField("error") != "":
		log.otherFailures = append(log.otherFailures, failedRequest{endedAt: line.Time, endpoint: line.stringField("endpoint")})
	}
}
