// Package admission decides under load whether a request is begun, and when a refused caller is to
// return. It refuses requests that can't end within their deadline, and the least urgent ones
// while more urgent ones of the same service miss their targets. A caller that was refused and
// returns at its Retry-After goes before new requests of its class.
//
// The package has no clock, goroutine or I/O. A Controller is not safe for concurrent use.
package admission

import (
	"fmt"
	"time"
)

// Request is what Decide needs to know about a request with a chosen endpoint.
type Request struct {
	Service       string
	Route         string
	Fingerprint   uint64        // the same for each time that a caller sends the request
	Rank          int           // urgency rank of the route, 0 is the most urgent
	IsPrompt      bool          // for an engine; how long other requests take is not known well enough to refuse any
	Events        int           // of the stream that are still expected, 0 if not known
	LatencyTarget time.Duration // for the first event
	FirstEvent    time.Duration // expected time to the first event, or to the answer without a stream
	QueueWait     time.Duration // part of FirstEvent that is spent behind other requests
	TimeLeft      time.Duration // until the deadline
}

// Reason says why a request is refused.
type Reason string

// Reasons of a Refusal.
const (
	TooLittleTime    Reason = "too little time is left to end the request"
	MoreUrgentFirst  Reason = "more urgent requests miss their targets"
	ReturnedTooEarly Reason = "the caller was refused and has returned too early"
)

// Refusal is a request that is not begun.
type Refusal struct {
	Reason      Reason
	ExpectedEnd time.Duration // of the request, from now
	Backlog     time.Duration // until the requests before it are expected to have begun
	ReturnIn    time.Duration // what is left of the Retry-After of a caller that returns early, 0 for others
}

func (r *Refusal) Error() string {
	return fmt.Sprintf("not begun: %s (expected end in %d ms, backlog %d ms)", r.Reason, r.ExpectedEnd.Milliseconds(), r.Backlog.Milliseconds())
}

// Controller is what an entry knows about the load of all services.
type Controller struct {
	services map[string]*service
	returns  returnTable
}

// New returns a controller that has seen no request.
func New() *Controller { return &Controller{services: map[string]*service{}} }

// service is the state of one service.
type service struct {
	leastUrgentRank int
	paces           map[string]*streamPace // by route
	misses          map[int]*decayingMean  // share of the streams that missed a target, by rank
	owedRefusals    float64                // refusals that the share asks for and that were not made yet
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{paces: map[string]*streamPace{}, misses: map[int]*decayingMean{}}
		c.services[name] = s
	}
	return s
}

// Decide returns nil if the request is to be begun.
func (c *Controller) Decide(now time.Time, r Request) *Refusal {
	if !r.IsPrompt {
		return nil
	}
	s := c.service(r.Service)
	end := s.expectedEnd(r)
	if time.Duration(optimism*float64(end)) > r.TimeLeft {
		return &Refusal{Reason: TooLittleTime, ExpectedEnd: end, Backlog: r.QueueWait}
	}
	s.leastUrgentRank = max(s.leastUrgentRank, r.Rank)
	share := s.refusedShare(now, r)
	if share == 0 {
		return nil
	}
	s.owedRefusals = min(s.owedRefusals+share, maxOwedRefusals)
	switch at, known := c.returns.returnAt(now, r.Fingerprint); {
	case known && now.Before(at):
		return &Refusal{Reason: ReturnedTooEarly, ExpectedEnd: end, Backlog: r.QueueWait, ReturnIn: at.Sub(now)}
	case known || s.owedRefusals < 1:
		return nil // what a returning caller is spared, new requests owe
	}
	s.owedRefusals--
	return &Refusal{Reason: MoreUrgentFirst, ExpectedEnd: end, Backlog: r.QueueWait}
}

// Returned reports whether a caller was refused and now returns at its Retry-After.
func (c *Controller) Returned(now time.Time, fingerprint uint64) bool {
	at, known := c.returns.returnAt(now, fingerprint)
	return known && !now.Before(at)
}

// Allowance returns from 0 to 1 how far a request of a rank that has waited its turn may be begun behind a
// queue: 0 while as many streams of a more urgent rank miss their targets as are tolerated, since its
// work would add to theirs.
func (c *Controller) Allowance(now time.Time, serviceName string, rank int) float64 {
	return max(1-c.service(serviceName).moreUrgentMisses(now, rank)/toleratedMisses, 0)
}

// RecordRefused records the Retry-After of a refused caller.
func (c *Controller) RecordRefused(now time.Time, fingerprint uint64, returnIn time.Duration) {
	c.returns.add(now, fingerprint, now.Add(returnIn))
}

// RecordGap records the time between two events of a stream.
func (c *Controller) RecordGap(now time.Time, serviceName, route string, gap time.Duration) {
	s := c.service(serviceName)
	if s.paces[route] == nil {
		s.paces[route] = &streamPace{}
	}
	s.paces[route].add(now, gap)
}

// RecordStream records a stream whose first event was in time, or one that missed its target
// or deadline.
func (c *Controller) RecordStream(now time.Time, serviceName string, rank int, missed bool) {
	s := c.service(serviceName)
	if s.misses[rank] == nil {
		s.misses[rank] = &decayingMean{}
	}
	value := 0.0
	if missed {
		value = 1
	}
	s.misses[rank].add(now, value)
}
