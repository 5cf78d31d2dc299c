// Package retry decides what follows a failed attempt: a retry at another endpoint,
// the endpoint's answer, or an error answer of the entry. Its Budget bounds the
// retries of all entries together.
//
// The package has no clock, goroutine or I/O.
package retry

import "time"

// Outcome is the result of an attempt.
type Outcome uint8

// Outcomes of an attempt.
const (
	Answered Outcome = iota // complete answer that can be relayed
	NotSent                 // no byte was sent
	NotRun                  // the endpoint reported that the request did not run
	Errored                 // complete answer with an endpoint error
	Unknown                 // sent, but no complete answer received
)

// Attempts is the state of a request across its attempts.
type Attempts struct {
	Repeatable  bool          // the request may run more than once
	MaxRuns     int           // limit of Runs
	Runs        int           // endpoints on which it ran or may have run
	Refusals    int           // attempts that ended with NotSent or NotRun, without those counted as Unreachable
	Unreachable int           // attempts that ended with NotSent at once, as the host refused the connection
	Superseded  int           // endpoints counted in Runs whose attempts were cancelled without a failure: another attempt at one of them is no further run
	TimeLeft    time.Duration // time left until the deadline
}

// Add adds the counts of other attempts of the same request.
func (a *Attempts) Add(other Attempts) {
	a.Runs += other.Runs
	a.Refusals += other.Refusals
	a.Unreachable += other.Unreachable
}

// Action is what to do after an attempt.
type Action uint8

// Actions after an attempt.
const (
	RelayAnswer    Action = iota // relay the endpoint's answer to the caller
	TryAnother                   // try another endpoint
	ReportNotRun                 // tell the caller that the request did not run
	ReportMaybeRun               // tell the caller that the request may have run
)

// Bounds of retries.
const (
	// maxRefusals bounds the attempts that ended with NotSent or NotRun.
	maxRefusals = 3
	// maxUnreachable bounds the attempts whose connection was refused. After a crash of
	// many endpoints several in a row are, each within a round trip.
	maxUnreachable = 8
	// minAttemptTime is the least time before the deadline to start a retry.
	minAttemptTime = 40 * time.Millisecond
)

// Decide returns the action after an attempt. A retry also requires a TryTake from
// the budget, unless the outcome is NotSent: that attempt never reached an endpoint.
func (a Attempts) Decide(outcome Outcome) Action {
	if outcome == Answered {
		return RelayAnswer
	}
	canRetry := a.TimeLeft >= minAttemptTime && (a.Runs < a.MaxRuns || a.Superseded > 0)
	switch outcome {
	case NotSent, NotRun:
		if a.Runs > 0 && !a.Repeatable {
			return ReportMaybeRun
		}
		if canRetry && a.Refusals < maxRefusals && a.Unreachable < maxUnreachable {
			return TryAnother
		}
	case Errored, Unknown:
		if canRetry && a.Repeatable {
			return TryAnother
		}
	}
	return a.FinalAction(outcome)
}

// FinalAction returns the action if there is no retry.
func (a Attempts) FinalAction(outcome Outcome) Action {
	switch {
	case outcome == Answered || outcome == Errored:
		return RelayAnswer
	case a.Runs == 0:
		return ReportNotRun
	}
	return ReportMaybeRun
}
