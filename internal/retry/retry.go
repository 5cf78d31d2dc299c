// Package retry decides what follows an attempt that did not end well: another
// attempt, the endpoint's own answer, or the entry's. It keeps the budget of
// attempts beyond the first that all entries share.
//
// The package has no clock, goroutine or I/O.
package retry

import "time"

// Outcome is how an attempt ended.
type Outcome uint8

// Outcomes of an attempt.
const (
	Answered Outcome = iota // a whole answer that may be passed on
	NotSent                 // no byte left
	NotRun                  // the endpoint said that it did not run it
	Errored                 // a whole answer that is a failure of the endpoint
	Unknown                 // sent, and no whole answer came
)

// Attempts is what a request has been through.
type Attempts struct {
	Repeatable bool          // it may run more than once
	MaxRuns    int           // endpoints on which it may run
	Runs       int           // endpoints on which it ran or may have run
	Refused    int           // endpoints that did not take it
	Left       time.Duration // until its deadline
}

// Next is what to do now.
type Next uint8

// What may follow an attempt.
const (
	PassOn  Next = iota // the endpoint's answer goes to the caller
	Again               // another endpoint
	Decline             // the caller hears that it did not run
	GiveUp              // the caller hears that it may have run
)

// Bounds of further attempts.
const (
	// maxRefused bounds the endpoints asked after one did not take the request.
	maxRefused = 3
	// shortest is the time that a further attempt needs at least.
	shortest = 40 * time.Millisecond
)

// Decide returns what follows an outcome. Again needs a Take from the budget
// where the outcome was an arrival at an endpoint.
func (a Attempts) Decide(outcome Outcome) Next {
	if outcome == Answered {
		return PassOn
	}
	inTime := a.Left >= shortest
	switch outcome {
	case NotSent, NotRun:
		if a.Runs > 0 && !a.Repeatable {
			return GiveUp
		}
		if inTime && a.Refused < maxRefused {
			return Again
		}
	case Errored, Unknown:
		if inTime && a.Repeatable && a.Runs < a.MaxRuns {
			return Again
		}
	}
	return a.Final(outcome)
}

// Final is what the caller hears if nothing more is tried.
func (a Attempts) Final(outcome Outcome) Next {
	switch {
	case outcome == Answered || outcome == Errored:
		return PassOn
	case a.Runs == 0:
		return Decline
	}
	return GiveUp
}
