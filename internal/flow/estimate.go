package flow

import "time"

// Parameters of the moving estimates.
const (
	meanDivisor             = 8  // an observation moves a mean by 1/8 of its distance from it
	quantileStepDivisor     = 16 // a quantile moves in steps of 1/16 of its value
	upperEstimateDeviations = 3  // mean deviations between the mean and the upper estimate
	lowQuantileDivisor      = 10 // 1 in 10 service times is below the low quantile
)

// movingMean is an exponentially weighted mean with its mean absolute deviation;
// 0 until the first observation.
type movingMean struct{ value, deviation time.Duration }

func (m *movingMean) add(observed time.Duration) {
	if m.value == 0 {
		m.value = observed
		return
	}
	distance := observed - m.value
	m.value += distance / meanDivisor
	m.deviation += (distance.Abs() - m.deviation) / meanDivisor
}

// upperEstimate is a value that few observations exceed.
func (m *movingMean) upperEstimate() time.Duration {
	return m.value + upperEstimateDeviations*m.deviation
}

// classEstimates holds the estimates for one class.
type classEstimates struct {
	serviceTime       movingMean
	firstTokenLatency movingMean
	lowServiceTime    time.Duration // the 1/lowQuantileDivisor quantile of the service time
	lastStart         time.Time
}

func (c *classEstimates) observeServiceTime(took time.Duration) {
	c.serviceTime.add(took)
	if c.lowServiceTime == 0 {
		c.lowServiceTime = took
		return
	}
	step := c.lowServiceTime/quantileStepDivisor + 1
	if took < c.lowServiceTime {
		c.lowServiceTime -= step * (lowQuantileDivisor - 1) / lowQuantileDivisor
		return
	}
	c.lowServiceTime += step / lowQuantileDivisor
}

// decayLowServiceTime lowers the estimate after a refusal based on it. Refused
// requests yield no observations, so without this a class would stay refused after
// the endpoint has become faster.
func (c *classEstimates) decayLowServiceTime() {
	c.lowServiceTime -= c.lowServiceTime / quantileStepDivisor
}

// estimatesOf returns the estimates for a class, which it creates if there are none.
func (q *Queue) estimatesOf(name string) *classEstimates {
	c := q.classes[name]
	if c == nil {
		c = &classEstimates{}
		q.classes[name] = c
	}
	return c
}

// firstTokenEstimate is the upper estimate of the time from start to first token
// for a class, or that for all classes if the class has no observation.
func (q *Queue) firstTokenEstimate(class string) time.Duration {
	if c := q.classes[class]; c != nil && c.firstTokenLatency.value > 0 {
		return c.firstTokenLatency.upperEstimate()
	}
	return q.firstTokenLatency.upperEstimate()
}

// lowServiceTime is the service time that nine in ten answers of the class
// exceed; 0 without an observation.
func (q *Queue) lowServiceTime(class string) time.Duration {
	if c := q.classes[class]; c != nil {
		return c.lowServiceTime
	}
	return 0
}
