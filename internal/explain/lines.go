// Package explain finds out of the lines that all hosts wrote why one request
// ended as it did.
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
	// maxLine bounds one line; longer ones are not ours.
	maxLine = 1 << 20 // bytes
	// aroundBefore is how long before a request what its endpoints and hosts said
	// of themselves belongs to its story.
	aroundBefore = 5 * time.Second
	// alikeWithin is how close other failures at its endpoint count as alike.
	alikeWithin = 2 * time.Second
)

// Line is one line of a log.
type Line struct {
	Time    time.Time
	Host    string
	Message string
	Fields  map[string]any
	Text    string // as it was written
}

// text is a field as text, "" if it isn't there.
func (l *Line) text(field string) string {
	switch v := l.Fields[field].(type) {
	case nil:
		return ""
	case string:
		return v
	default:
		return fmt.Sprint(v)
	}
}

// number is a field as a number, 0 if it isn't one.
func (l *Line) number(field string) float64 {
	v, _ := l.Fields[field].(float64)
	return v
}

// failure is the end of another request that did not go well.
type failure struct {
	at       time.Time
	endpoint string
}

// Log is what matters of the lines for one request.
type Log struct {
	Request  string
	Skipped  int // lines that are not of our programs
	own      []Line
	beliefs  []Line // those that name no request
	failures []failure
}

// Read takes the lines that matter for a request. What stands before a line's
// first brace is left out, as programs that gather logs put it there. An error
// is one of reading.
func Read(from io.Reader, request string) (*Log, error) {
	log := &Log{Request: request}
	scanner := bufio.NewScanner(from)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		log.take(scanner.Bytes())
	}
	return log, errors.Wrap(scanner.Err(), "read the lines")
}

// take sorts one line in.
func (log *Log) take(text []byte) {
	start := bytes.IndexByte(text, '{')
	line := Line{}
	if start < 0 || json.Unmarshal(text[start:], &line.Fields) != nil || line.text("msg") == "" {
		log.Skipped++
		return
	}
	line.Text, line.Message, line.Host = string(text[start:]), line.text("msg"), line.text("host")
	line.Time, _ = time.Parse(time.RFC3339Nano, line.text("time")) // a line without a time is sorted first
	switch id := line.text("request"); {
	case id == log.Request:
		log.own = append(log.own, line)
	case id == "":
		log.beliefs = append(log.beliefs, line)
	case line.Message == endedLine && line.text("error") != "":
		log.failures = append(log.failures, failure{at: line.Time, endpoint: line.text("endpoint")})
	}
}
