package quarantine

import (
	"flag"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// rapidSeed makes the generated cases reproducible; the flag -rapid.seed overrides it.
const rapidSeed = "20261204"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

var start = time.Unix(1_700_000_000, 0)

func none(uint64) bool { return false }

func after(d time.Duration) time.Time { return start.Add(d) }

// simulation plays requests at endpoints that crash, reported by many entries, into the
// table of one control host. Reports arrive late and in random order.
type simulation struct {
	random      *rand.Rand
	table       *Table
	now         time.Duration
	pending     []report
	quarantined map[uint64]bool
	crashCount  int     // by the crashing part
	ownFraction float64 // of the reports that come from own entries
	generation  int
	endpoints   []simulatedEndpoint
	restart     time.Duration          // time after a crash until the next incarnation is up
	onBroken    func(simulatedAttempt) // nil for none
	reportHeads bool                   // report that an endpoint responds with each head
}

type simulatedEndpoint struct {
	key      uint64
	upAt     time.Duration
	spoilt   bool // a response of it was broken off
	inFlight []simulatedAttempt
}

type simulatedAttempt struct {
	parts       []uint64
	request     uint64
	tries       int
	sentAt      time.Duration
	headAt      time.Duration
	endsAt      time.Duration
	crashesPart bool
}

// crashesAt returns when the endpoint crashes: over a part after the head, over a request by its end.
func (a *simulatedAttempt) crashesAt() time.Duration {
	if a.request != 0 {
		return a.endsAt
	}
	return a.headAt + 80*time.Millisecond
}

// report is an outcome on its way to the control host.
type report struct {
	arrivesAt time.Duration
	broken    *BrokenAttempt
	served    []uint64
	endpoint  uint64    // that responded, 0 where it broke off no attempt before
	sentAt    time.Time // of what was served
	headOnly  bool      // nothing was served yet
}

func newSimulation(seed uint64, endpoints int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 0)), table: New(), quarantined: map[uint64]bool{}, ownFraction: 1, restart: 2 * time.Second}
	for range endpoints {
		s.generation++
		s.endpoints = append(s.endpoints, simulatedEndpoint{key: uint64(s.generation)})
	}
	return s
}

// report sends an outcome to the control host with a random delay; a few are lost.
func (s *simulation) report(r report) {
	if s.random.IntN(50) == 0 {
		return
	}
	r.arrivesAt = s.now + time.Duration(30+s.random.IntN(320))*time.Millisecond
	s.pending = append(s.pending, r)
}

func (s *simulation) crash(i int) {
	e := &s.endpoints[i]
	for _, a := range e.inFlight {
		s.breakOff(e, a, s.now >= a.headAt)
	}
	s.generation++
	s.endpoints[i] = simulatedEndpoint{key: uint64(s.generation), upAt: s.now + s.restart}
}

// breakOff reports a broken attempt.
func (s *simulation) breakOff(e *simulatedEndpoint, a simulatedAttempt, hasHead bool) {
	s.report(report{broken: &BrokenAttempt{Endpoint: e.key, SentAt: after(a.sentAt), BrokenAt: after(s.now), HasHead: hasHead, Parts: a.parts, Request: a.request}})
	if s.onBroken != nil {
		s.onBroken(a)
	}
}

// send adds an attempt at a random endpoint that is up. It reports whether it was sent.
func (s *simulation) send(parts []uint64, crashing bool) bool {
	if slices.ContainsFunc(parts, func(p uint64) bool { return s.quarantined[p] }) {
		return false
	}
	return s.sendAttempt(simulatedAttempt{parts: parts, crashesPart: crashing}, time.Duration(20+s.random.IntN(150))*time.Millisecond, 50+s.random.IntN(600))
}

// sendAttempt adds an attempt that gets a head after a time, and ends up to restMS later.
func (s *simulation) sendAttempt(a simulatedAttempt, headAfter time.Duration, restMS int) bool {
	for range 4 * len(s.endpoints) {
		e := &s.endpoints[s.random.IntN(len(s.endpoints))]
		if s.now < e.upAt {
			continue
		}
		a.sentAt, a.headAt = s.now, s.now+headAfter
		a.endsAt = a.headAt + time.Duration(restMS)*time.Millisecond
		e.inFlight = append(e.inFlight, a)
		return true
	}
	return false
}

// step advances the simulation by 10 ms.
func (s *simulation) step() {
	s.now += 10 * time.Millisecond
	for i := range s.endpoints {
		e := &s.endpoints[i]
		var left []simulatedAttempt
		crashes := false
		for _, a := range e.inFlight {
			if s.reportHeads && a.headAt == s.now {
				s.report(report{endpoint: e.key, sentAt: after(a.sentAt), headOnly: true})
			}
			crashes = crashes || a.crashesPart && s.now > a.crashesAt()
			if !a.crashesPart && s.now >= a.endsAt {
				r := report{served: a.parts, sentAt: after(a.sentAt)}
				if a.request != 0 {
					r.served = []uint64{a.request}
				}
				if e.spoilt {
					r.endpoint = e.key
				}
				s.report(r)
				continue
			}
			left = append(left, a)
		}
		e.inFlight = left
		if crashes {
			s.crashCount++
			s.crash(i)
		}
	}
	s.pending = slices.DeleteFunc(s.pending, func(r report) bool {
		if r.arrivesAt > s.now {
			return false
		}
		own := s.random.Float64() < s.ownFraction
		if r.broken != nil {
			s.table.AddBroken(*r.broken, own)
		} else {
			for _, part := range r.served {
				s.table.AddServed(part, r.sentAt)
			}
			s.table.AddResponse(r.endpoint, r.sentAt)
			if own && !r.headOnly {
				s.table.CountServed(after(s.now), "", 1)
			}
		}
		return true
	})
	if s.now%(100*time.Millisecond) == 0 {
		s.table.Expire(after(s.now))
		for _, part := range s.table.Decide(after(s.now), func(p uint64) bool { return s.quarantined[p] }, none) {
			s.quarantined[part] = true
		}
	}
}

// crashSome crashes a share of the endpoints at the same moment.
func (s *simulation) crashSome(share float64) {
	for i := range s.endpoints {
		if s.random.Float64() < share {
			s.crash(i)
		}
	}
}

// spoil breaks off a share of the responses that are about to end, at endpoints that go on.
func (s *simulation) spoil(share float64) {
	for i := range s.endpoints {
		e := &s.endpoints[i]
		e.inFlight = slices.DeleteFunc(e.inFlight, func(a simulatedAttempt) bool {
			spoilt := !a.crashesPart && s.now+10*time.Millisecond >= a.endsAt && s.random.Float64() < share
			if spoilt {
				s.breakOff(e, a, true)
				e.spoilt = a.request != 0
			}
			return spoilt
		})
	}
}

// sendSound sends requests of one of four first parts and of many second parts.
func (s *simulation) sendSound(perStep float64) {
	for n := perStep + s.random.Float64(); n >= 1; n-- {
		s.send([]uint64{1 + uint64(s.random.IntN(4)), 100 + uint64(s.random.IntN(200))}, false)
	}
}

const crashing uint64 = 99

// Guards against a crashing part that goes unseen where 70 entries see a crash or two each,
// reports arrive late and out of order, some are lost, and other troubles come beside.
func TestCrashingPartIsFoundAmong70Entries(t *testing.T) {
	for _, test := range []struct {
		name         string
		endpoints    int
		interval     time.Duration // between requests with the part
		crashedShare float64       // of the endpoints, by another cause every five seconds
		spoiltShare  float64       // of the responses of sound requests
		ownFraction  float64
	}{
		{"one each second", 12, time.Second, 0, 0, 1},
		{"ten a second", 76, 100 * time.Millisecond, 0, 0, 1},
		{"one in three seconds", 12, 3 * time.Second, 0, 0, 1},
		{"half of the endpoints crash beside", 12, time.Second, 0.5, 0, 1. / 3},
		{"spoilt responses and crashes beside", 12, 2 * time.Second, 0.25, 0.05, 1. / 3},
		{"many endpoints, troubles beside", 76, 300 * time.Millisecond, 0.2, 0.03, 1. / 5},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			for seed := range uint64(8) {
				s := newSimulation(seed, test.endpoints)
				s.ownFraction = test.ownFraction
				var fifth time.Duration
				late := 0
				for s.now < 15*time.Second+8*test.interval {
					s.sendSound(float64(test.endpoints) / 20)
					if s.now > 2*time.Second && s.now%test.interval == 0 && s.send([]uint64{1, crashing}, true) && fifth > 0 && s.now > fifth+3*time.Second {
						late++
					}
					if s.now%(5*time.Second) == 0 {
						s.crashSome(test.crashedShare)
					}
					s.spoil(test.spoiltShare)
					s.step()
					if s.crashCount >= 5 && fifth == 0 {
						fifth = s.now
					}
				}
				g.Expect(s.quarantined).To(Equal(map[uint64]bool{crashing: true}), "seed %d", seed)
				g.Expect(late).To(BeNumerically("<=", 3), "seed %d", seed)
			}
		})
	}
}

// Guards against a mass crash by another cause that condemns a part, also if it strikes
// several times and while another part really crashes endpoints.
func TestMassCrashesCondemnNoPart(t *testing.T) {
	for _, share := range []float64{0.25, 1} {
		for _, withCrashingPart := range []bool{false, true} {
			g := NewWithT(t)
			for seed := range uint64(8) {
				s := newSimulation(seed, 16)
				for s.now < 40*time.Second {
					s.sendSound(0.8)
					if withCrashingPart && s.now > time.Second && s.random.Float64() < 0.01 {
						s.send([]uint64{1, crashing}, true)
					}
					if s.now%(3*time.Second) == 0 {
						s.crashSome(share)
					}
					s.step()
				}
				delete(s.quarantined, crashing)
				g.Expect(s.quarantined).To(BeEmpty(), "share %v seed %d", share, seed)
			}
		}
	}
}

// Guards against a verdict on a part that all requests share while endpoints crash by
// themselves and nothing is served.
func TestNoVerdictWhileNothingIsServed(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for i := range 50 {
		at := after(time.Duration(i) * time.Second)
		table.AddBroken(BrokenAttempt{Endpoint: uint64(i), SentAt: at, BrokenAt: at.Add(100 * time.Millisecond), HasHead: true, Parts: []uint64{1, 2}}, true)
	}
	g.Expect(table.Decide(after(time.Minute), none, none)).To(BeEmpty())
}

// Guards against the blame on a request that waited at an endpoint crashed by another, and
// on the first part that requests with and without the crashing part share.
func TestBlameFallsOnThePartThatBegan(t *testing.T) {
	g := NewWithT(t)
	table := New()
	for i := range 3 {
		at := after(time.Duration(i) * time.Second)
		table.CountServed(at, "", 100)
		table.AddBroken(BrokenAttempt{Endpoint: uint64(i), SentAt: at, BrokenAt: at.Add(100 * time.Millisecond), HasHead: true, Parts: []uint64{1, crashing}}, true)
		table.AddBroken(BrokenAttempt{Endpoint: uint64(i), SentAt: at, BrokenAt: at.Add(100 * time.Millisecond), Parts: []uint64{1, 7}}, true)
	}
	now := after(3 * time.Second)
	g.Expect(table.Decide(now, none, none)).To(Equal([]uint64{crashing}), "only the last of the parts that always came together")
	table.AddServed(crashing, now)
	g.Expect(table.Decide(now, none, none)).To(Equal([]uint64{1}), "served since")
	table.AddServed(1, now)
	g.Expect(table.Decide(now, none, none)).To(BeEmpty())
}

// A part that was released and crashes an endpoint again is quarantined at once.
func TestReleasedPartIsQuarantinedAtItsFirstCrash(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.CountServed(start, "", 100)
	table.AddBroken(BrokenAttempt{Endpoint: 1, SentAt: start, BrokenAt: after(100 * time.Millisecond), HasHead: true, Parts: []uint64{crashing}}, true)
	now := after(time.Second)
	g.Expect(table.Decide(now, none, none)).To(BeEmpty())
	g.Expect(table.Decide(now, none, func(p uint64) bool { return p == crashing })).To(Equal([]uint64{crashing}))
}

// A part that was served after its last break is never quarantined, in whatever order the
// reports arrive and however often each arrives.
func TestServedPartIsNeverQuarantined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := New()
		breaks := rapid.IntRange(1, 30).Draw(t, "breaks")
		events := rapid.Permutation(slices.Repeat([]int{0, 1}, breaks)).Draw(t, "order")
		for i, event := range events {
			at := after(time.Duration(i) * 300 * time.Millisecond)
			table.CountServed(at, "", 20)
			if event == 1 {
				table.AddServed(5, after(time.Hour))
			}
			b := BrokenAttempt{Endpoint: uint64(i), SentAt: at, BrokenAt: at.Add(50 * time.Millisecond), HasHead: i%2 == 0, Parts: []uint64{5}}
			table.AddBroken(b, true)
			table.AddBroken(b, false)
		}
		if got := table.Decide(after(time.Hour), none, none); len(got) > 0 {
			t.Fatalf("quarantined %v", got)
		}
	})
}

// Guards against a long stream that clears a part which crashes endpoints since it began.
func TestAttemptsSentBeforeProveNothing(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.CountServed(after(time.Second), "", 300)
	for i := range 3 {
		at := after(time.Duration(i+1) * time.Second)
		table.AddBroken(BrokenAttempt{Endpoint: uint64(i), SentAt: at, BrokenAt: at.Add(100 * time.Millisecond), HasHead: true, Parts: []uint64{crashing}}, true)
	}
	g.Expect(table.AddServed(crashing, start)).To(BeFalse())
	g.Expect(table.Decide(after(5*time.Second), none, none)).To(Equal([]uint64{crashing}))
	g.Expect(table.AddServed(crashing, after(4*time.Second))).To(BeTrue())
	g.Expect(table.Decide(after(5*time.Second), none, none)).To(BeEmpty())
}

// Guards against answers that are reset on their way, at endpoints that go on: a shared part was
// condemned while two in five answers of more than half of the endpoints were lost.
func TestResetAnswersCondemnNoPart(t *testing.T) {
	g := NewWithT(t)
	table := New()
	table.CountServed(start, "", 200)
	for step := range 12 {
		at := after(time.Duration(step) * 150 * time.Millisecond)
		endpoint := uint64(step % 3)
		table.AddBroken(BrokenAttempt{Endpoint: endpoint, SentAt: at, BrokenAt: at.Add(100 * time.Millisecond), HasHead: true, Parts: []uint64{1}}, true)
		table.AddResponse(endpoint, at.Add(250*time.Millisecond))
	}
	last := after(12 * 150 * time.Millisecond)
	for endpoint := range uint64(3) {
		table.AddBroken(BrokenAttempt{Endpoint: endpoint, SentAt: last.Add(-50 * time.Millisecond), BrokenAt: last, HasHead: true, Parts: []uint64{1}}, true)
	}
	g.Expect(table.Decide(last.Add(500*time.Millisecond), none, none)).To(BeEmpty())
}

// sendOfBusyClasses sends 400 requests a second: bodies, most of which wait for their head, and 150
// streams with a popular first part, which get it early and are served a second after it.
func (s *simulation) sendOfBusyClasses() {
	for n := 2 + s.random.Float64(); n >= 1; n-- {
		s.sendBusy(11, 200+10*s.random.IntN(140), 500)
	}
	for n := 1 + s.random.Float64(); n >= 1; n-- {
		s.sendBusy(1, 60+10*s.random.IntN(30), 1000)
	}
}

// sendBusy sends a request with one of three popular parts, the first of which has the given ID.
func (s *simulation) sendBusy(firstPart uint64, headMS, restMS int) {
	parts := []uint64{firstPart + uint64(s.random.IntN(3)), 100*firstPart + uint64(s.random.IntN(200))}
	s.sendAttempt(simulatedAttempt{parts: parts}, time.Duration(headMS)*time.Millisecond, restMS)
}

// Guards against a verdict on a popular part or request while many endpoints lose a share of their answers and go
// on: a broken attempt is known at once, a served one over a second later. The load: 21 of 41 endpoints
// reset 5% of the answers, half of them with the key, and heads and served attempts are reported 0.9 and 1.4 s after the attempt was sent.
func TestLostAnswersOfManyEndpointsCondemnNothing(t *testing.T) {
	for name, test := range map[string]struct {
		popular  uint64
		evidence func(b *BrokenAttempt, key uint64)
	}{
		"part":    {1, func(b *BrokenAttempt, key uint64) { b.Parts = []uint64{key, 100 + uint64(b.BrokenAt.UnixMilli())} }},
		"request": {RequestKey(1), func(b *BrokenAttempt, key uint64) { b.Request = RequestKey(key) }},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			table := New()
			for now := time.Duration(0); now < 12*time.Second; now += 20 * time.Millisecond {
				step := uint64(now / (20 * time.Millisecond))
				table.CountServed(after(now), "", 8)
				table.AddServed(test.popular, after(now-1400*time.Millisecond))
				table.AddResponse(step%21, after(now-900*time.Millisecond))
				if now >= 5*time.Second && step%4 == 0 {
					key := test.popular
					if step%8 != 0 {
						key = 2 + step%7
					}
					b := BrokenAttempt{Endpoint: step * 5 % 21, SentAt: after(now - 100*time.Millisecond), BrokenAt: after(now)}
					test.evidence(&b, key)
					table.AddBroken(b, true)
				}
				if now%(100*time.Millisecond) == 0 {
					table.Expire(after(now))
					g.Expect(table.Decide(after(now), none, none)).To(BeEmpty(), "at %v", now)
				}
			}
		})
	}
}

// Guards against a popular part that goes unseen when it begins to crash endpoints, because it was
// served until then.
func TestPopularPartThatBeginsToCrashIsFound(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(8) {
		s := newSimulation(seed, 41)
		s.reportHeads = true
		var third time.Duration
		late := 0
		for s.now < 20*time.Second {
			s.sendOfBusyClasses()
			if s.now%(200*time.Millisecond) == 0 {
				sent := s.send([]uint64{1, crashing}, s.now > 6*time.Second)
				if sent && third > 0 && s.now > third+3*time.Second {
					late++
				}
			}
			s.step()
			if s.crashCount >= 3 && third == 0 {
				third = s.now
			}
		}
		g.Expect(s.quarantined).To(Equal(map[uint64]bool{crashing: true}), "seed %d", seed)
		g.Expect(late).To(BeZero(), "seed %d", seed)
	}
}
