package balance

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Start values of an engine's speed, used until it is learned.
const (
	startPrefillPerToken = time.Millisecond / 90  // time to prefill a prompt token
	startStepTime        = 3 * time.Millisecond   // of a batch with one request
	startStepPerRequest  = 120 * time.Microsecond // that each further request of the batch adds
)

// Limits of what is learned of an engine's speed.
const (
	prefillSamples     = 256 // kept of prompts
	stepSamples        = 64  // kept of steps
	minSpeedSamples    = 16  // below which the start values hold
	fullWeightSamples  = 32  // from which on they count for nothing
	speedUpdateSamples = 4   // new samples after which the estimate is computed again
	maxSpeedRatio      = 6.0 // factor by which an estimate may differ from its start value, up or down
	// learningError is the factor by which a learned prefill rate may be off: under load, and as the
	// tokens of a long prompt take longer than those of a short one. Within it of the start value,
	// the start values hold.
	learningError = 1.6
	// returnError is the factor of the start value within which the start values hold again once
	// learned ones do. It is below learningError, so that an estimate near it does not switch all
	// costs to and fro.
	returnError = 1.2
	// minLengthRatio is how many times the length of the shorter prompts the longer ones
	// must have for their times to say something of the prefill rate.
	minLengthRatio = 1.3
	// prefillQuantile and fixedTimeQuantile are the fractions of the longer and of the
	// shorter prompts that are quicker than one that meets no other work.
	prefillQuantile   = 0.1
	fixedTimeQuantile = 0.15
	prefillFitRounds  = 6 // in which both converge
	// maxPendingShare is how many tokens may wait at the engine when a prompt is sent,
	// relative to its own, for its time to count.
	maxPendingShare = 0.5
	// stepQuantile is the fraction of pauses that are ordinary steps; longer ones have
	// prefill or a lost packet in them.
	stepQuantile = 0.3
	// minRunningSpread is by how much the numbers of running requests must differ for the
	// growth of a step to be learned.
	minRunningSpread = 3.0
	// gapSampleInterval is the least time between two pauses that count of one endpoint,
	// so that a single endpoint does not fill the samples.
	gapSampleInterval = 100 * time.Millisecond
)

// sampleRing keeps the latest pairs of a load and a time, up to its capacity.
type sampleRing struct {
	capacity int
	values   []speedSample
	count    int // of all samples ever added
}

// speedSample is a load, in prompt tokens or running requests, and the time measured
// under it.
type speedSample struct {
	load float64
	took time.Duration
}

// add reports whether an estimate is due.
func (r *sampleRing) add(s speedSample) bool {
	if len(r.values) < r.capacity {
		r.values = append(r.values, s)
	} else {
		r.values[r.count%r.capacity] = s
	}
	r.count++
	return r.count >= minSpeedSamples && r.count%speedUpdateSamples == 0
}

// known returns a copy of the samples, in no order.
func (r *sampleRing) known() []speedSample {
	return slices.Clone(r.values)
}

// weight returns how much an estimate from the samples counts beside the start value,
// up to 1.
func (r *sampleRing) weight() float64 { return min(float64(r.count)/fullWeightSamples, 1) }

// engineSpeed is how fast the engines of a service are, as learned from the requests of
// this entry. The zero value is not valid; see newEngineSpeed.
type engineSpeed struct {
	prefillPerToken time.Duration // to prefill a prompt token
	stepTime        time.Duration // of a batch with one request
	stepPerRequest  time.Duration // that each further request of the batch adds
	differs         bool          // from the start values, see learningError and returnError

	prefills sampleRing // prompt tokens and the time to the first event
	steps    sampleRing // running requests and the time of a step
}

func newEngineSpeed() engineSpeed {
	s := engineSpeed{prefills: sampleRing{capacity: prefillSamples}, steps: sampleRing{capacity: stepSamples}}
	s.resetToStart()
	return s
}

// prefillTime returns how long an engine takes to prefill tokens.
func (s *engineSpeed) prefillTime(tokens int) time.Duration {
	return time.Duration(tokens) * s.prefillPerToken
}

// step returns the time of a step with running requests.
func (s *engineSpeed) step(running int) time.Duration {
	return s.stepTime + time.Duration(running)*s.stepPerRequest
}

// chunkSteps returns the time of the steps that an engine makes while it prefills tokens.
func (s *engineSpeed) chunkSteps(tokens, running int) time.Duration {
	return s.step(running) * time.Duration(1+tokens/prefillChunkTokens)
}

// work scales a time that stands for work of the engine at the start values.
func (s *engineSpeed) work(d time.Duration) time.Duration {
	return time.Duration(float64(d) * float64(s.prefillPerToken) / float64(startPrefillPerToken))
}

// recordPrefill records the time to the first event of a prompt of which tokens were to
// be prefilled, those that waited at the engine included, while requests ran. The steps between the
// chunks of the prompt do not count.
func (s *engineSpeed) recordPrefill(tokens, running int, took time.Duration) {
	took -= s.chunkSteps(tokens, running)
	if s.prefills.add(speedSample{load: float64(tokens), took: took}) {
		s.estimatePrefill()
	}
}

// estimatePrefill fits a fixed time to the shorter half of the prompts and a time for each
// token to the longer half, in turns. It takes the quickest prompts for their length: the
// others waited for requests of which this entry did not know.
func (s *engineSpeed) estimatePrefill() {
	samples := s.prefills.known()
	slices.SortFunc(samples, compareLoads)
	short, long := samples[:len(samples)/2], samples[len(samples)/2:]
	if long[len(long)/2].load < minLengthRatio*max(short[len(short)/2].load, 1) {
		return // prompts of about the same length say nothing of the rate
	}
	perToken := 0.0
	for range prefillFitRounds {
		fixed := max(quantileOf(short, fixedTimeQuantile, func(x speedSample) float64 { return float64(x.took) - x.load*perToken }), 0)
		perToken = quantileOf(long, prefillQuantile, func(x speedSample) float64 { return (float64(x.took) - fixed) / x.load })
	}
	ratio := perToken / float64(startPrefillPerToken)
	limit := learningError
	if s.differs {
		limit = returnError
	}
	if ratio > 1/limit && ratio < limit {
		s.resetToStart()
		return
	}
	if learned, ok := blend(startPrefillPerToken, perToken, s.prefills.weight()); ok {
		s.prefillPerToken, s.differs = learned, true
	}
}

// resetToStart makes the start values hold.
func (s *engineSpeed) resetToStart() {
	s.prefillPerToken, s.stepTime, s.stepPerRequest, s.differs = startPrefillPerToken, startStepTime, startStepPerRequest, false
}

func compareLoads(a, b speedSample) int { return cmp.Compare(a.load, b.load) }

// quantileOf returns a quantile of a figure of each sample.
func quantileOf(samples []speedSample, quantile float64, figure func(speedSample) float64) float64 {
	figures := make([]float64, len(samples))
	for i, sample := range samples {
		figures[i] = figure(sample)
	}
	slices.Sort(figures)
	return figures[int(quantile*float64(len(figures)))]
}

// recordStep records the time of one step while requests ran.
func (s *engineSpeed) recordStep(running int, took time.Duration) {
	if s.steps.add(speedSample{load: float64(running), took: took}) {
		s.estimateStep()
	}
}

// estimateStep sets the time of a step and its growth from the stepQuantile of the
// samples with few running requests and that of those with many. The start values hold while
// the prefill rate is that of the start.
func (s *engineSpeed) estimateStep() {
	if !s.differs {
		return
	}
	samples := s.steps.known()
	slices.SortFunc(samples, compareLoads)
	few, many := typicalStep(samples[:len(samples)/2]), typicalStep(samples[len(samples)/2:])
	if spread := many.load - few.load; s.steps.count >= stepSamples && spread >= minRunningSpread {
		growth := float64(many.took-few.took) / spread
		bounded := max(growth, float64(startStepPerRequest)/maxSpeedRatio) // steps may not grow at all
		if learned, ok := blend(startStepPerRequest, bounded, s.steps.weight()); ok {
			s.stepPerRequest = learned
		}
	}
	stepTime := quantileOf(samples, stepQuantile, func(x speedSample) float64 { return float64(x.took) - x.load*float64(s.stepPerRequest) })
	if learned, ok := blend(startStepTime, stepTime, s.steps.weight()); ok {
		s.stepTime = learned
	}
}

// typicalStep returns the mean load of samples and the stepQuantile of their times.
func typicalStep(samples []speedSample) speedSample {
	var load float64
	for _, sample := range samples {
		load += sample.load / float64(len(samples))
	}
	took := quantileOf(samples, stepQuantile, func(x speedSample) float64 { return float64(x.took) })
	return speedSample{load: load, took: time.Duration(took)}
}

// blend returns the geometric mean of a start value and a learned one, which has the
// given weight. A learned value that differs by more than maxSpeedRatio is that of no
// engine: the times depend on something else, and say nothing.
func blend(start time.Duration, learned, weight float64) (time.Duration, bool) {
	ratio := learned / float64(start)
	if ratio < 1/maxSpeedRatio || ratio > maxSpeedRatio {
		return 0, false
	}
	return time.Duration(float64(start) * math.Pow(ratio, weight)), true
}
