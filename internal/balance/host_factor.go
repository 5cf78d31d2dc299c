package balance

import "time"

// Limits of the host factors that endpoints report.
const (
	// maxHostFactorAge is how long a reported factor says something of the host's present
	// state, which changes many times a second. It counts less the older it is.
	maxHostFactorAge    = 250 * time.Millisecond
	hostFactorWeight    = 0.1 // of one report in the mean
	usualHostPercent    = 100.0
	minHostFactor       = 0.25
	maxHostFactor       = 20.0
	maxHostFactorChange = 2.0 // by which one report may exceed the mean, as it is soon over
)

// hostFactor is how much longer than usual work takes on the host of an endpoint, which
// it shares with other work, as reported by the endpoint. The zero value is that of an
// endpoint that reports none.
type hostFactor struct {
	latest, mean float64 // 0 if none is known
	reportedAt   time.Time
}

// record records a reported percentage, 100 for as usual and 0 for none.
func (h *hostFactor) record(now time.Time, percent int) {
	if percent <= 0 {
		return
	}
	h.latest, h.reportedAt = min(max(float64(percent)/usualHostPercent, minHostFactor), maxHostFactor), now
	if h.mean == 0 {
		h.mean = 1
	}
	h.mean += hostFactorWeight * (min(h.latest, h.mean*maxHostFactorChange) - h.mean)
}

// at returns the factor at a time: the reported one while it is fresh, the mean of the
// reports afterwards, and 1 for an endpoint that reports none.
func (h *hostFactor) at(now time.Time) float64 {
	if h.mean == 0 {
		return 1
	}
	freshness := max(1-float64(now.Sub(h.reportedAt))/float64(maxHostFactorAge), 0)
	return h.mean + freshness*(h.latest-h.mean)
}
