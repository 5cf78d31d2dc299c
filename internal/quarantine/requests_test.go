package quarantine

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const crashingRequest uint64 = requestBit | 99

// requestSimulation plays short requests that are repeated: by the entry at once, at another
// endpoint, and by the caller after 100 ms.
type requestSimulation struct {
	*simulation
	repeats   []repeat
	lastFresh uint64
	thirdAt   time.Duration
	late      int // times that the crashing request was sent later than 3 s after the third crash
}

type repeat struct {
	at      time.Duration
	attempt simulatedAttempt
}

const maxTries = 4

func newRequestSimulation(seed uint64, endpoints int) *requestSimulation {
	s := &requestSimulation{simulation: newSimulation(seed, endpoints)}
	s.restart = 3 * time.Second
	s.onBroken = func(a simulatedAttempt) {
		delay := 100 * time.Millisecond
		if a.tries%2 == 1 {
			delay = 0
		}
		if a.tries < maxTries {
			s.repeats = append(s.repeats, repeat{at: s.now + delay, attempt: a})
		}
	}
	return s
}

// fresh returns the key of a request that was not sent before.
func (s *requestSimulation) fresh() uint64 {
	s.lastFresh++
	return requestBit | 1000 + s.lastFresh
}

func (s *requestSimulation) sendOne(a simulatedAttempt) {
	if s.quarantined[a.request] {
		return
	}
	a.tries++
	if s.sendAttempt(a, 30*time.Millisecond, 40) && a.request == crashingRequest && s.thirdAt > 0 && s.now > s.thirdAt+3*time.Second {
		s.late++
	}
}

// sendRequests sends sound requests: mostly new ones, and popular ones.
func (s *requestSimulation) sendRequests(perSecond float64) {
	for n := perSecond/100 + s.random.Float64(); n >= 1; n-- {
		request := s.fresh()
		if s.random.IntN(4) == 0 {
			request = requestBit | uint64(200+s.random.IntN(10))
		}
		s.sendOne(simulatedAttempt{request: request})
	}
}

// advance plays 10 ms.
func (s *requestSimulation) advance() {
	pending := s.repeats
	s.repeats = nil
	for _, r := range pending {
		if r.at > s.now {
			s.repeats = append(s.repeats, r)
		} else {
			s.sendOne(r.attempt)
		}
	}
	s.step()
	if s.crashCount >= 3 && s.thirdAt == 0 {
		s.thirdAt = s.now
	}
}

// Guards against a request that crashes all endpoints of a small service again and again, so that
// nothing of it is served meanwhile, and against one that goes unseen beside other troubles.
func TestCrashingRequestIsFound(t *testing.T) {
	for _, test := range []struct {
		name         string
		endpoints    int
		perSecond    float64 // sound requests
		interval     time.Duration
		crashedShare float64 // of the endpoints, by another cause every seven seconds
		spoiltShare  float64 // of the responses of sound requests
		ownFraction  float64
		another      bool // a second request crashes endpoints 12 s later
	}{
		{"small service", 3, 40, 300 * time.Millisecond, 0, 0, 1. / 3, false},
		{"small service, few others", 3, 6, 300 * time.Millisecond, 0, 0, 1. / 3, false},
		{"small service, seldom", 3, 40, 3 * time.Second, 0, 0, 1. / 3, false},
		{"small service, two requests", 3, 40, 300 * time.Millisecond, 0, 0, 1. / 3, true},
		{"many at a time", 5, 40, 20 * time.Millisecond, 0, 0, 1. / 3, false},
		{"spoilt responses", 3, 60, 300 * time.Millisecond, 0, 0.05, 1. / 3, false},
		{"crashes by another cause", 12, 200, 300 * time.Millisecond, 0.25, 0, 1. / 3, false},
		{"many endpoints", 76, 600, 100 * time.Millisecond, 0.2, 0.03, 1. / 5, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(8) {
				s := newRequestSimulation(seed, test.endpoints)
				s.ownFraction = test.ownFraction
				crashing := map[uint64]bool{crashingRequest: true}
				if test.another {
					crashing[crashingRequest+1] = true
				}
				for s.now < 22*time.Second+6*test.interval {
					s.sendRequests(test.perSecond)
					if s.now > 5*time.Second && s.now%test.interval == 0 {
						s.sendOne(simulatedAttempt{request: crashingRequest, crashesPart: true})
					}
					if test.another && s.now > 17*time.Second && s.now%test.interval == 0 {
						s.sendOne(simulatedAttempt{request: crashingRequest + 1, crashesPart: true})
					}
					if s.now%(7*time.Second) == 0 {
						s.crashSome(test.crashedShare)
					}
					s.spoil(test.spoiltShare)
					s.advance()
				}
				g.Expect(s.quarantined).To(Equal(crashing), "seed %d", seed)
				g.Expect(s.late).To(BeNumerically("<=", 3), "seed %d", seed)
			}
		})
	}
}

// Guards against crashes by another cause that condemn a request: all endpoints at once or one
// after the other, in series, in a loop, and endpoints that reset connections and go on.
func TestCrashesByAnotherCauseCondemnNoRequest(t *testing.T) {
	for _, test := range []struct {
		name      string
		endpoints int
		perSecond float64
		every     time.Duration // between two mass crashes
		share     float64
		apart     time.Duration // one endpoint after the other
		spoilt    float64
		restart   time.Duration
	}{
		{"small service, all at once", 3, 60, 4 * time.Second, 1, 0, 0, 3 * time.Second},
		{"small service, in a loop", 3, 60, 3 * time.Second, 1, 0, 0, 2 * time.Second},
		{"small service, one after the other", 3, 60, 6 * time.Second, 1, 250 * time.Millisecond, 0, 3 * time.Second},
		{"a quarter, in series", 16, 300, 3 * time.Second, 0.25, 0, 0, 2 * time.Second},
		{"all, in series", 16, 300, 3 * time.Second, 1, 0, 0, time.Second},
		{"a half, one after the other", 16, 300, 5 * time.Second, 0.5, 100 * time.Millisecond, 0, 3 * time.Second},
		{"two in five responses reset", 3, 60, time.Hour, 0, 0, 0.4, 0},
		{"all of that", 12, 200, 5 * time.Second, 0.5, 50 * time.Millisecond, 0.1, 2 * time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(8) {
				s := newRequestSimulation(seed, test.endpoints)
				s.restart = test.restart
				var crashAt []time.Duration
				for s.now < 60*time.Second {
					s.sendRequests(test.perSecond)
					if s.now > 5*time.Second && s.now%test.every == 0 {
						crashAt = s.planCrashes(test.share, test.apart)
					}
					for i, at := range crashAt {
						if at > 0 && s.now >= at {
							crashAt[i] = 0
							s.crash(i)
						}
					}
					if s.now > 5*time.Second {
						s.spoil(test.spoilt)
					}
					s.advance()
				}
				g.Expect(s.quarantined).To(BeEmpty(), "seed %d", seed)
			}
		})
	}
}

// planCrashes returns when each endpoint crashes, 0 for those that don't.
func (s *requestSimulation) planCrashes(share float64, apart time.Duration) []time.Duration {
	crashAt := make([]time.Duration, len(s.endpoints))
	at := s.now
	for _, i := range s.random.Perm(len(s.endpoints)) {
		if s.random.Float64() < share {
			crashAt[i] = at
			at += apart
		}
	}
	return crashAt
}

// Guards against a second request that crashes endpoints and goes unseen, because the crashes of
// the first, which is quarantined, count as crashes by another cause.
func TestQuarantinedRequestHidesNoOther(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.CountServed(start, "", 200)
	quarantined := func(key uint64) bool { return key == crashingRequest }
	for i := range uint64(9) {
		request := crashingRequest
		if i%3 == 1 {
			request++
		}
		at := after(time.Duration(i) * time.Second)
		table.AddBroken(BrokenAttempt{Endpoint: i, SentAt: at, BrokenAt: at.Add(100 * time.Millisecond), Request: request}, true)
	}
	g.Expect(table.Decide(after(10*time.Second), quarantined, none)).To(Equal([]uint64{crashingRequest + 1}))
}

// Guards against a crash that is taken for none because another connection to the endpoint breaks
// a little later, and against breaks before a crash that are taken for part of it.
func TestResponseClearsWhatBrokeBeforeIt(t *testing.T) {
	g := NewWithT(t)
	spoilt := uint64(requestBit | 5)
	table := New()
	table.CountServed(start, "", 200)
	for i := range uint64(3) {
		at := after(time.Duration(i) * time.Second)
		crashAt := at.Add(500 * time.Millisecond)
		table.AddBroken(BrokenAttempt{Endpoint: i, SentAt: at, BrokenAt: at.Add(50 * time.Millisecond), Request: spoilt}, true)
		table.AddBroken(BrokenAttempt{Endpoint: i, SentAt: crashAt.Add(-40 * time.Millisecond), BrokenAt: crashAt, Request: crashingRequest}, true)
		table.AddBroken(BrokenAttempt{Endpoint: i, SentAt: crashAt, BrokenAt: crashAt.Add(250 * time.Millisecond), Request: requestBit | 6 + i}, true)
		g.Expect(table.AddResponse(i, at.Add(200*time.Millisecond))).To(BeTrue(), "other hosts must know")
		g.Expect(table.AddResponse(i, at.Add(210*time.Millisecond))).To(BeFalse())
	}
	g.Expect(table.Decide(after(5*time.Second), none, none)).To(Equal([]uint64{crashingRequest}))
	for i := range uint64(3) {
		table.AddResponse(i, after(time.Duration(i)*time.Second+time.Second))
	}
	g.Expect(table.Decide(after(5*time.Second), none, none)).To(BeEmpty(), "all endpoints go on")
}

// Guards against a popular request that begins to crash endpoints and goes unseen, or is judged later than a sound
// one that was at the same crashes.
func TestPopularRequestThatBeginsToCrashIsFound(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(8) {
		s := newRequestSimulation(seed, 12)
		s.reportHeads = true
		for s.now < 14*time.Second {
			s.sendRequests(240)
			if s.now%(200*time.Millisecond) == 0 {
				s.sendOne(simulatedAttempt{request: crashingRequest, crashesPart: s.now > 6*time.Second})
			}
			s.advance()
		}
		g.Expect(s.quarantined).To(Equal(map[uint64]bool{crashingRequest: true}), "seed %d", seed)
		g.Expect(s.late).To(BeZero(), "seed %d", seed)
	}
}
