package flow

import "time"

// Weights of the moving estimates.
const (
	meanWeight     = 8  // one observation moves a mean by 1/8 of its distance
	quantileStep   = 16 // a quantile moves by 1/16 of itself
	highDeviations = 3  // between the mean and what few observations exceed
	lowQuantile    = 10 // 1 in 10 answers is shorter than the shortest expected
)

// mean is an exponentially weighted mean with its mean deviation; 0 until the
// first observation.
type mean struct{ value, deviation time.Duration }

func (m *mean) add(d time.Duration) {
	if m.value == 0 {
		m.value = d
		return
	}
	distance := d - m.value
	m.value += distance / meanWeight
	m.deviation += (distance.Abs() - m.deviation) / meanWeight
}

// high is a time that few observations exceed.
func (m *mean) high() time.Duration { return m.value + highDeviations*m.deviation }

// classEstimate is what was observed of one class.
type classEstimate struct {
	service    mean
	firstToken mean
	shortest   time.Duration // a low quantile of the service time
	lastStart  time.Time
}

func (c *classEstimate) observe(took time.Duration) {
	c.service.add(took)
	if c.shortest == 0 {
		c.shortest = took
		return
	}
	step := c.shortest/quantileStep + 1
	if took < c.shortest {
		c.shortest -= step * (lowQuantile - 1) / lowQuantile
		return
	}
	c.shortest += step / lowQuantile
}

// doubt lowers the shortest time after a refusal that rests on it, so that
// requests get through again if the endpoint has become faster.
func (c *classEstimate) doubt() { c.shortest -= c.shortest / quantileStep }

func (q *Queue) class(name string) *classEstimate {
	c := q.classes[name]
	if c == nil {
		c = &classEstimate{}
		q.classes[name] = c
	}
	return c
}

// expectedFirstToken is the time from start to first token that few requests
// of the class exceed.
func (q *Queue) expectedFirstToken(class string) time.Duration {
	if c := q.classes[class]; c != nil && c.firstToken.value > 0 {
		return c.firstToken.high()
	}
	return q.firstToken.high()
}

// shortest is the time that an answer of the class takes at least, going by
// nine in ten of those observed; 0 if none was.
func (q *Queue) shortest(class string) time.Duration {
	if c := q.classes[class]; c != nil {
		return c.shortest
	}
	return 0
}
