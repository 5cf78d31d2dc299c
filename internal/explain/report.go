package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Log messages that the cause is derived from.
const (
	endedMessage           = "request ended"
	refusedMessage         = "request refused"
	declinedMessage        = "request declined at stop"
	retriedMessage         = "request tried again"
	endpointChangedMessage = "endpoint changed" // logged by control hosts
)

// NotFoundError reports that no log line names the request.
type NotFoundError struct {
	Request      string
	SkippedLines int // lines that are not log lines of the router's programs
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("no line names request %s (%d lines could not be read): its host may not have been reached, have died, or have left lines out under load",
		e.Request, e.SkippedLines)
}

// Report explains the outcome of a request.
type Report struct {
	Request         string   `json:"request"`
	Served          bool     `json:"served"` // the caller got a complete response without an error
	Cause           string   `json:"cause"`
	SimilarFailures int      `json:"alike"`  // other requests that failed at its last endpoint about when it ended
	RequestLines    []string `json:"lines"`  // lines that name the request, in order of time
	ContextLines    []string `json:"around"` // lines about its endpoints and hosts from shortly before its start to its end
}

// Report sorts the lines by time and derives the cause. An error is a
// *NotFoundError.
func (log *RequestLog) Report() (*Report, error) {
	if len(log.requestLines) == 0 {
		return nil, errors.WithStack(&NotFoundError{Request: log.Request, SkippedLines: log.SkippedLines})
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(log.requestLines, byTime)
	slices.SortStableFunc(log.contextLines, byTime)
	final := log.finalLine()
	report := &Report{Request: log.Request, RequestLines: []string{}, ContextLines: []string{}}
	report.Served, report.Cause = describeOutcome(final)
	if endpoint := final.stringField("endpoint"); endpoint != "" && !report.Served {
		report.SimilarFailures = log.countSimilarFailures(final.Time, endpoint)
	}
	for _, l := range log.requestLines {
		report.RequestLines = append(report.RequestLines, l.RawText)
	}
	for _, l := range log.selectContext() {
		report.ContextLines = append(report.ContextLines, l.RawText)
	}
	return report, nil
}

// finalLine returns the newest line that reports the end of the request, or else
// the newest line.
func (log *RequestLog) finalLine() *Line {
	for i := range log.requestLines {
		l := &log.requestLines[len(log.requestLines)-1-i]
		if l.Message == endedMessage || l.Message == refusedMessage {
			return l
		}
	}
	return &log.requestLines[len(log.requestLines)-1]
}

// countSimilarFailures counts the other requests that failed at an endpoint within
// similarFailureWindow of a time.
func (log *RequestLog) countSimilarFailures(endedAt time.Time, endpoint string) int {
	count := 0
	for _, f := range log.otherFailures {
		if f.endpoint == endpoint && f.endedAt.Sub(endedAt).Abs() <= similarFailureWindow {
			count++
		}
	}
	return count
}

// selectContext returns the lines without a request id that concern the endpoints
// and hosts of the request, from contextWindow before its start to its end.
func (log *RequestLog) selectContext() []Line {
	endpoints, hosts := map[string]bool{}, map[string]bool{}
	for i := range log.requestLines {
		endpoints[log.requestLines[i].stringField("endpoint")] = true
		hosts[log.requestLines[i].Host] = true
	}
	delete(endpoints, "")
	from := log.requestLines[0].Time.Add(-contextWindow - time.Duration(log.requestLines[0].numberField("took_ms"))*time.Millisecond)
	until := log.requestLines[len(log.requestLines)-1].Time
	var selected []Line
	for _, l := range log.contextLines {
		if l.Time.Before(from) || l.Time.After(until) {
			continue
		}
		// Other entries' lines about an endpoint repeat what the control hosts logged.
		endpoint := l.stringField("endpoint")
		if endpoint != "" && endpoints[endpoint] && (hosts[l.Host] || l.Message == endpointChangedMessage) || endpoint == "" && hosts[l.Host] {
			selected = append(selected, l)
		}
	}
	return selected
}

// describeOutcome derives the cause from the final line.
func describeOutcome(l *Line) (served bool, text string) {
	switch l.Message {
	case endedMessage:
		return describeForwarded(l)
	case refusedMessage:
		return false, fmt.Sprintf("refused by %s before it was forwarded: %s", l.Host, cmp.Or(l.stringField("reason"), l.stringField("error")))
	case declinedMessage:
		return false, fmt.Sprintf("declined by %s, which was stopping: it did not run and could go to another entry at once", l.Host)
	case retriedMessage:
		return false, fmt.Sprintf("no line tells of its end: %s stopped or died after it failed at %s (%s)", l.Host, l.stringField("endpoint"), l.stringField("error"))
	}
	return false, fmt.Sprintf("last seen as %q on %s: %s", l.Message, l.Host, cmp.Or(l.stringField("error"), l.stringField("reason"), l.stringField("type"), "no reason given"))
}

// describeForwarded describes the outcome of a request that was forwarded.
func describeForwarded(l *Line) (served bool, text string) {
	status, tookMS := l.numberField("status"), l.numberField("took_ms")
	errorType, detail, _ := strings.Cut(l.stringField("error"), ": ")
	attempts := fmt.Sprintf("after %g runs, %g refusals and %g resumptions", l.numberField("runs"), l.numberField("refused"), l.numberField("resumes"))
	switch {
	case errorType == "" && status >= 400:
		return false, fmt.Sprintf("endpoint %s answered %g itself, %s", l.stringField("endpoint"), status, attempts)
	case errorType == "":
		return true, fmt.Sprintf("served whole by %s in %g ms (first event after %g, %g expected; longest pause %g ms), %s",
			l.stringField("endpoint"), tookMS, l.numberField("first_ms"), l.numberField("expected_ms"), l.numberField("pause_ms"), attempts)
	case errorType == "no_endpoint" || errorType == "not_started" || errorType == "unavailable":
		return false, fmt.Sprintf("refused after %g ms as not run: %s", tookMS, detail)
	case errorType == "outcome_unknown":
		return false, fmt.Sprintf("sent to %s and perhaps run, and not sent again: %s%s", l.stringField("endpoint"), detail, endedExternallySuffix(l))
	case errorType == "answer broken off":
		return false, fmt.Sprintf("its answer from %s was cut after it had begun (first event after %g ms of %g): %s%s",
			l.stringField("endpoint"), l.numberField("first_ms"), tookMS, detail, endedExternallySuffix(l))
	case errorType == "timed_out":
		return false, fmt.Sprintf("its time was over after %g ms, before %s had answered (%g ms were expected), %s%s",
			tookMS, cmp.Or(l.stringField("endpoint"), "any endpoint"), l.numberField("expected_ms"), attempts, endedExternallySuffix(l))
	}
	return false, l.stringField("error") + endedExternallySuffix(l)
}

// endedExternallySuffix is appended to the cause if the caller left or the deadline
// passed, so that the endpoint is not to blame.
func endedExternallySuffix(l *Line) string {
	if l.Fields["left"] == true {
		return "; the caller or the clock ended it, not the endpoint"
	}
	return ""
}
