package balance

import "time"

const (
	// tokensPerWaitingRequest is the prompt tokens assumed for each request that an
	// endpoint reports as waiting.
	tokensPerWaitingRequest = 2500
	// freshReportAge is the age up to which the load reported by an endpoint is
	// preferred to an assumption about its failure domain.
	freshReportAge = 300 * time.Millisecond
	// assumedLoadFraction is the fraction of the own failure domain's load that is
	// assumed for a failure domain whose entries do not report.
	assumedLoadFraction = 0.9
)

// demand is how many requests run and wait at an endpoint, and how many prompt
// tokens are still to be prefilled there.
type demand struct {
	running, waiting, prefillTokens int
}

// knownDemand combines own requests, those reported by other entries, and the
// load reported by the endpoint. It takes the larger figure where they differ.
func (e *endpoint) knownDemand(now time.Time) demand {
	d := demand{running: e.running + e.peerLoad.Running, waiting: e.waiting + e.peerLoad.Waiting, prefillTokens: e.prefillTokens + e.peerLoad.PrefillTokens}
	if now.Sub(e.reportedAt) >= maxReportAge {
		return d
	}
	unaccounted := max(e.reportedLoad.Running+e.reportedLoad.Waiting-e.ownRequestsAtReport, 0)
	d.running = max(d.running, e.running+e.waiting+unaccounted-d.waiting)
	if e.reportedLoad.Waiting > d.waiting {
		d.waiting = e.reportedLoad.Waiting
		d.prefillTokens = max(d.prefillTokens, d.waiting*tokensPerWaitingRequest)
	}
	return d
}

// meanDomainDemand returns the mean demand of the own failure domain's endpoints,
// separately for reserved and other ones, indexed by demandIndex.
func meanDomainDemand(now time.Time, endpoints []*endpoint) (mean [2]demand) {
	var counts [2]int
	for _, e := range endpoints {
		if e.crossDomain || !e.acceptsRequests() {
			continue
		}
		d, i := e.knownDemand(now), demandIndex(e)
		mean[i].running += d.running
		mean[i].waiting += d.waiting
		mean[i].prefillTokens += d.prefillTokens
		counts[i]++
	}
	for i, count := range counts {
		mean[i].running /= max(count, 1)
		mean[i].waiting /= max(count, 1)
		mean[i].prefillTokens /= max(count, 1)
	}
	return mean
}

// demandIndex is the index of an endpoint's mean in meanDomainDemand.
func demandIndex(e *endpoint) int {
	if e.reserved {
		return 1
	}
	return 0
}

// estimatedDemand returns the demand that the estimates use. An endpoint of another
// failure domain with neither reports from its entries nor a fresh report of its
// own is assumed to be about as busy as those of the own failure domain. Otherwise
// the entries of two domains would each take the other's endpoints for idle.
func (e *endpoint) estimatedDemand(in *choiceInputs) demand {
	d := e.knownDemand(in.now)
	if !e.crossDomain || e.domainLoadKnown || in.now.Sub(e.reportedAt) < freshReportAge {
		return d
	}
	if in.meanDemand == nil {
		mean := meanDomainDemand(in.now, in.serviceEndpoints)
		in.meanDemand = &mean
	}
	mean := in.meanDemand[demandIndex(e)]
	d.running = max(d.running, int(assumedLoadFraction*float64(mean.running)))
	d.waiting = max(d.waiting, int(assumedLoadFraction*float64(mean.waiting)))
	d.prefillTokens = max(d.prefillTokens, int(assumedLoadFraction*float64(mean.prefillTokens)))
	return d
}
