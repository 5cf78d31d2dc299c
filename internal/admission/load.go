package admission

import "time"

const (
	// optimism is the fraction of the expected time in which a request may still end. Expected
	// output lengths are often off by a factor of two.
	optimism = 0.5
	// paceHorizon is for how long the pace of now is expected to last. After it streams are expected
	// to go on at the calm pace of their route.
	paceHorizon = 3 * time.Second
	// calmPaceDecayTime is the time constant with which the calm pace of a route follows a slower one.
	calmPaceDecayTime = time.Minute
	// toleratedMisses is the share of a more urgent rank's streams that may miss their targets
	// before less urgent requests are refused. From there the refused share rises to
	// maxRefusedShare where all of them miss.
	toleratedMisses = 0.15
	maxRefusedShare = 0.9
	// minQueueFraction is the fraction of its target that a request must be expected to wait
	// behind others to be refused for more urgent ones: without a queue there is room.
	minQueueFraction = 0.1
	// maxOwedRefusals bounds the new requests in a row that are refused for returning ones.
	maxOwedRefusals = 8.0
)

// expectedEnd returns when a request is expected to end if it is begun now.
func (s *service) expectedEnd(r Request) time.Duration {
	pace := s.paces[r.Route]
	if pace == nil || r.Events <= 1 {
		return r.FirstEvent
	}
	return r.FirstEvent + pace.duration(r.Events-1)
}

// streamPace is the time between the events of a route's streams.
type streamPace struct {
	current decayingMean // seconds
	calm    float64      // seconds, the least that current has been, following a greater one slowly
}

func (p *streamPace) add(now time.Time, gap time.Duration) {
	last := p.current.updatedAt
	p.current.add(now, gap.Seconds())
	current := p.current.value()
	if p.calm == 0 || current < p.calm {
		p.calm = current
		return
	}
	p.calm += (current - p.calm) * min(now.Sub(last).Seconds()/calmPaceDecayTime.Seconds(), 1)
}

// duration returns how long a number of events is expected to take.
func (p *streamPace) duration(events int) time.Duration {
	total := float64(events) * p.current.value()
	if horizon := paceHorizon.Seconds(); total > horizon {
		total = horizon + (total-horizon)*p.calm/p.current.value()
	}
	return time.Duration(total * float64(time.Second))
}

// refusedShare returns the share of requests like r that are refused for more urgent ones. Only
// those of the least urgent rank are: a rank must not be refused while a less urgent one is begun.
func (s *service) refusedShare(now time.Time, r Request) float64 {
	if r.Rank == 0 || r.Rank < s.leastUrgentRank || float64(r.QueueWait) < minQueueFraction*float64(r.LatencyTarget) {
		return 0
	}
	return max(s.moreUrgentMisses(now, r.Rank)-toleratedMisses, 0) / (1 - toleratedMisses) * maxRefusedShare
}

// moreUrgentMisses returns the largest share of recent streams that missed their targets among the ranks
// that are more urgent than the given one.
func (s *service) moreUrgentMisses(now time.Time, rank int) float64 {
	missed := 0.0
	for other, share := range s.misses {
		if other < rank && share.weight(now) >= minWeight {
			missed = max(missed, share.value())
		}
	}
	return missed
}

// decayTime is the time constant of a decayingMean: a burst lasts some seconds.
const decayTime = 2 * time.Second

// minWeight is the number of recent streams from which a share is known.
const minWeight = 3.0

// decayingMean is the mean of values, of which older ones count less.
type decayingMean struct {
	sum, count float64
	updatedAt  time.Time
}

func (m *decayingMean) add(now time.Time, value float64) {
	left := m.left(now)
	m.sum, m.count, m.updatedAt = m.sum*left+value, m.count*left+1, now
}

// value returns the mean, 0 without values.
func (m *decayingMean) value() float64 {
	if m.count == 0 {
		return 0
	}
	return m.sum / m.count
}

// weight returns how many recent values the mean stands for.
func (m *decayingMean) weight(now time.Time) float64 { return m.count * m.left(now) }

// left returns the fraction of the values' weight that is left, an approximation of exp(-age).
func (m *decayingMean) left(now time.Time) float64 {
	x := float64(max(now.Sub(m.updatedAt), 0)) / float64(decayTime)
	return 1 / (1 + x*(1+x*(0.5+x/6)))
}
