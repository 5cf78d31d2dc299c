package balance

import "time"

// Costs of a crowded engine: each request makes every step longer, and each
// prompt that is read stretches the pauses of the streams that run beside it.
const (
	// shortGap is the gap target up to which a stream counts as urgent.
	shortGap = 200 * time.Millisecond
	// crowdGap divided by a stream's gap target is what one request beside it
	// costs.
	crowdGap = 250 * time.Millisecond
	// disturbShare is the part of its reading time that a prompt costs for each
	// urgent stream beside it.
	disturbShare = 1.0
	// crowdedCost is what each request beyond quietStreams costs an urgent stream:
	// from there on, any prompt beside it makes it pause too long.
	crowdedCost = 10 * time.Millisecond
	// urgentReread divides what reading a shared part again costs, for urgent
	// streams: theirs are short, and their place matters more.
	urgentReread = 4
	// heatShare is the part of the reading time of recent prompts that a stream
	// with a short gap target expects to meet again.
	heatShare = 2
	heatTime  = 1500 * time.Millisecond // in which two thirds of the heat are gone

	// errorCost is what an endpoint costs that answers nothing but errors.
	errorCost   = time.Second
	errorSlack  = 0.15            // above the usual share that costs nothing
	errorWeight = 0.15            // of one answer
	errorTime   = 3 * time.Second // in which two thirds of the memory are gone

	// slowCost is what a stream loses at an endpoint for each time that its speed
	// is worse than slowFrom times the usual one: its events pause longer, too.
	slowCost = 300 * time.Millisecond
	slowFrom = 1.7
)

// urgent counts a request that is disturbed by prompts beside it.
func (r *Request) urgent() int {
	if r.Gap > 0 && r.Gap <= shortGap {
		return 1
	}
	return 0
}

// crowding is what a request suffers and does at an endpoint beside its wait.
func (e *endpoint) crowding(now time.Time, r *Request, d demand, unread int) time.Duration {
	if r.Prompt == 0 || r.Gap <= 0 {
		return 0
	}
	cost := time.Duration(float64(d.running+d.waiting) * float64(crowdGap) / float64(r.Gap) * float64(time.Millisecond))
	if r.urgent() > 0 {
		cost += time.Duration(max(d.running+d.waiting-quietStreams, 0)) * crowdedCost
		return cost + time.Duration(heatShare*float64(readTime(e.heat.at(now)+e.others.Heat)))
	}
	beside := e.urgent + e.others.Urgent
	return cost + time.Duration(disturbShare*float64(beside)*float64(readTime(unread)))
}

// readTime is how long an engine reads so many prompt tokens.
func readTime(tokens int) time.Duration {
	return time.Duration(float64(tokens) / readPerMS * float64(time.Millisecond))
}

// heat is the prompt tokens sent to an endpoint lately.
type heat struct {
	tokens float64
	since  time.Time
}

// at is the heat at a time.
func (h *heat) at(now time.Time) int {
	if h.tokens == 0 {
		return 0
	}
	return int(h.tokens * decay(now.Sub(h.since), heatTime))
}

// add notes tokens that are sent.
func (h *heat) add(now time.Time, tokens int) {
	h.tokens = h.tokens*decay(now.Sub(h.since), heatTime) + float64(tokens)
	h.since = now
}

// errorShare is the share of errors among the answers of an endpoint, which
// fades while none come.
type errorShare struct {
	share float64
	since time.Time
}

// at is the share at a time.
func (s *errorShare) at(now time.Time) float64 {
	if s.share == 0 {
		return 0
	}
	return s.share * decay(now.Sub(s.since), errorTime)
}

// add notes an answer, 1 for an error.
func (s *errorShare) add(now time.Time, value float64) {
	present := s.at(now)
	s.share, s.since = present+errorWeight*(value-present), now
}

// decay is about exp(-age/time), which is what is left after an age.
func decay(age, time time.Duration) float64 {
	x := float64(max(age, 0)) / float64(time)
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}
