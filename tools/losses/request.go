package main

import (
	"bytes"
	"encoding/json"
	"regexp"
	"strings"
	"time"
)

// request is the end of a request as an entry logs it. Times are in milliseconds.
type request struct {
	Message     string    `json:"msg"`
	At          time.Time `json:"time"`
	Entry       string    `json:"host"`
	ID          string    `json:"request"`
	Fingerprint string    `json:"fingerprint"`
	Route       string    `json:"route"`
	Endpoint    string    `json:"endpoint"`
	Status      int       `json:"status"`
	Runs        int       `json:"runs"`
	Refused     int       `json:"refused"`
	Resumes     int       `json:"resumes"`
	ExpectedMS  int       `json:"expected_ms"`
	FirstMS     int       `json:"first_ms"`
	TargetMS    int       `json:"target_ms"`
	PauseMS     int       `json:"pause_ms"`
	PauseTarget int       `json:"pause_target_ms"`
	Error       string    `json:"error"`
}

const endedMessage = "request ended"

// decodeRequest decodes a line of the log that is the end of a request.
func decodeRequest(line []byte) (request, bool) {
	start := bytes.IndexByte(line, '{')
	if start < 0 || !bytes.Contains(line, []byte(endedMessage)) {
		return request{}, false
	}
	var r request
	if err := json.Unmarshal(line[start:], &r); err != nil || r.Message != endedMessage {
		return request{}, false
	}
	return r, true
}

// loss is how a request was not served in time.
type loss string

const (
	none    loss = ""
	late    loss = "late"
	refused loss = "refused"
	failed  loss = "failed"
)

// classify returns how a request was lost, and why.
func (r *request) classify() (loss, string) {
	switch {
	case r.Status == 0 && r.isNotRun():
		return refused, reasonOf(r.Error)
	case r.Status < 200 || r.Status > 299 || r.Error != "":
		return failed, r.failure()
	case r.TargetMS > 0 && r.FirstMS > r.TargetMS:
		return late, "first event: " + r.firstEventReason()
	case r.PauseTarget > 0 && r.PauseMS > r.PauseTarget && r.Resumes > 0:
		return late, "pause: resumed"
	case r.PauseTarget > 0 && r.PauseMS > r.PauseTarget:
		return late, "pause"
	}
	return none, ""
}

// isNotRun reports whether the entry refused the request as not run.
func (r *request) isNotRun() bool {
	return strings.HasPrefix(r.Error, "no_endpoint") || strings.HasPrefix(r.Error, "not_started") || strings.HasPrefix(r.Error, "quarantined") ||
		strings.HasPrefix(r.Error, "unknown_origin") || strings.HasPrefix(r.Error, "unavailable")
}

func (r *request) failure() string {
	if r.Error == "" {
		return "the endpoint's own status"
	}
	return reasonOf(r.Error)
}

// firstEventReason says why a first event was late: an earlier attempt took the time, the wait was
// expected, or the endpoint took longer than expected.
func (r *request) firstEventReason() string {
	switch {
	case r.Runs+r.Refused > 1:
		return "further attempt"
	case r.ExpectedMS > r.TargetMS:
		return "expected"
	}
	return "slower than expected"
}

// variable matches the parts of an error that differ between requests of the same reason.
var variable = regexp.MustCompile(`[0-9a-f]*[0-9][0-9a-f.:]*`)

// reasonOf returns an error without its numbers and IDs.
func reasonOf(text string) string {
	return variable.ReplaceAllString(text, "#")
}
