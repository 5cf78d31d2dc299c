package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Messages of the lines that the cause is read from.
const (
	endedLine    = "request ended"
	refusedLine  = "request refused"
	declinedLine = "request declined at stop"
	againLine    = "request tried again"
	changedLine  = "endpoint changed" // by a control host
)

// NotFoundError says that no line names the request.
type NotFoundError struct {
	Request string
	Skipped int // lines that are not of our programs
}

// Error says where to look next.
func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names request %s (%d lines could not be read): its host may not have been reached, have died, or have left lines out under load",
		e.Request, e.Skipped)
}

// Report is the story of a request.
type Report struct {
	Request string   `json:"request"`
	Served  bool     `json:"served"` // it got a whole answer that is no error
	Cause   string   `json:"cause"`
	Alike   int      `json:"alike"`  // other requests that failed at its last endpoint at about that time
	Lines   []string `json:"lines"`  // its own, in order of time
	Around  []string `json:"around"` // what its endpoints and hosts said of themselves until its end
}

// Report puts the lines in order and names the cause. The error is a
// *NotFoundError.
func (log *Log) Report() (*Report, error) {
	if len(log.own) == 0 {
		return nil, errors.WithStack(&NotFoundError{Request: log.Request, Skipped: log.Skipped})
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(log.own, byTime)
	slices.SortStableFunc(log.beliefs, byTime)
	last := log.last()
	out := &Report{Request: log.Request, Lines: []string{}, Around: []string{}}
	out.Served, out.Cause = cause(last)
	if endpoint := last.text("endpoint"); endpoint != "" && !out.Served {
		out.Alike = log.alike(last.Time, endpoint)
	}
	for _, l := range log.own {
		out.Lines = append(out.Lines, l.Text)
	}
	for _, l := range log.around() {
		out.Around = append(out.Around, l.Text)
	}
	return out, nil
}

// last is the line that tells of the end, or the last one.
func (log *Log) last() *Line {
	for i := range log.own {
		l := &log.own[len(log.own)-1-i]
		if l.Message == endedLine || l.Message == refusedLine {
			return l
		}
	}
	return &log.own[len(log.own)-1]
}

// alike counts the other failures at an endpoint at about a time.
func (log *Log) alike(at time.Time, endpoint string) int {
	count := 0
	for _, f := range log.failures {
		if f.endpoint == endpoint && f.at.Sub(at).Abs() <= alikeWithin {
			count++
		}
	}
	return count
}

// around gathers what the endpoints and hosts of the request said of themselves.
func (log *Log) around() []Line {
	endpoints, hosts := map[string]bool{}, map[string]bool{}
	for i := range log.own {
		endpoints[log.own[i].text("endpoint")] = true
		hosts[log.own[i].Host] = true
	}
	delete(endpoints, "")
	from := log.own[0].Time.Add(-aroundBefore - time.Duration(log.own[0].number("took_ms"))*time.Millisecond)
	until := log.own[len(log.own)-1].Time
	var out []Line
	for _, l := range log.beliefs {
		if l.Time.Before(from) || l.Time.After(until) {
			continue
		}
		// What other entries learned of an endpoint says nothing new.
		endpoint := l.text("endpoint")
		if endpoint != "" && endpoints[endpoint] && (hosts[l.Host] || l.Message == changedLine) || endpoint == "" && hosts[l.Host] {
			out = append(out, l)
		}
	}
	return out
}

// cause reads the cause out of the line that tells of the end.
func cause(l *Line) (served bool, text string) {
	switch l.Message {
	case endedLine:
		return ended(l)
	case refusedLine:
		return false, fmt.Sprintf("refused by %s before it was forwarded: %s", l.Host, cmp.Or(l.text("reason"), l.text("error")))
	case declinedLine:
		return false, fmt.Sprintf("declined by %s, which was stopping: it did not run and could go to another entry at once", l.Host)
	case againLine:
		return false, fmt.Sprintf("no line tells of its end: %s stopped or died after it failed at %s (%s)", l.Host, l.text("endpoint"), l.text("error"))
	}
	return false, fmt.Sprintf("last seen as %q on %s: %s", l.Message, l.Host, cmp.Or(l.text("error"), l.text("reason"), l.text("type"), "no reason given"))
}

// ended reads the end of a request that was forwarded.
func ended(l *Line) (served bool, text string) {
	status, took := l.number("status"), l.number("took_ms")
	failed, detail, _ := strings.Cut(l.text("error"), ": ")
	tries := fmt.Sprintf("after %g runs, %g refusals and %g resumptions", l.number("runs"), l.number("refused"), l.number("resumes"))
	switch {
	case failed == "" && status >= 400:
		return false, fmt.Sprintf("endpoint %s answered %g itself, %s", l.text("endpoint"), status, tries)
	case failed == "":
		return true, fmt.Sprintf("served whole by %s in %g ms (first event after %g, %g expected; longest pause %g ms), %s",
			l.text("endpoint"), took, l.number("first_ms"), l.number("expected_ms"), l.number("pause_ms"), tries)
	case failed == "no_endpoint" || failed == "not_started" || failed == "unavailable":
		return false, fmt.Sprintf("refused after %g ms as not run: %s", took, detail)
	case failed == "outcome_unknown":
		return false, fmt.Sprintf("sent to %s and perhaps run, and not sent again: %s%s", l.text("endpoint"), detail, gone(l))
	case failed == "answer broken off":
		return false, fmt.Sprintf("its answer from %s was cut after it had begun (first event after %g ms of %g): %s%s",
			l.text("endpoint"), l.number("first_ms"), took, detail, gone(l))
	case failed == "timed_out":
		return false, fmt.Sprintf("its time was over after %g ms, before %s had answered (%g ms were expected), %s%s",
			took, cmp.Or(l.text("endpoint"), "any endpoint"), l.number("expected_ms"), tries, gone(l))
	}
	return false, l.text("error") + gone(l)
}

// gone says who ended it, if that was no endpoint.
func gone(l *Line) string {
	if l.Fields["left"] == true {
		return "; the caller or the clock ended it, not the endpoint"
	}
	return ""
}
