package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMax      = int64(10 * time.Minute / time.Microsecond)
	histogramDigits   = 3
	microsPerMilli    = 1000.0
	percentileMedian  = 50
	percentileHigh    = 95
	percentileExtreme = 99
)

// ClassReport is what one class got. Each caller's request counts once.
type ClassReport struct {
	Offered    int     `json:"offered"`
	Attained   int     `json:"attained"`   // whole and within the targets
	Attainment float64 `json:"attainment"` // share of the offered
	Finished   int     `json:"finished"`   // whole
	Shed       int     `json:"shed"`       // told not-run
	Failed     int     `json:"failed"`     // told of another failure
	GaveUp     int     `json:"gave_up"`    // deadline passed
	TTFTP50    float64 `json:"ttft_ms_p50"`
	TTFTP95    float64 `json:"ttft_ms_p95"`
	TBTP95     float64 `json:"tbt_ms_p95"`
}

// RunReport is what one run achieved.
type RunReport struct {
	Classes map[string]*ClassReport `json:"classes"`
	// GoodputPerS is the answers within target per second of arrivals.
	GoodputPerS float64 `json:"goodput_per_s"`
	// WastedShare is the engine tokens of no whole received answer over all.
	WastedShare float64 `json:"wasted_share"`
	// EngineLoad is the requests that reached engines over those offered.
	EngineLoad float64    `json:"engine_requests_per_offered"`
	Violations Violations `json:"violations"`
	// TimerLagP99 and TimerLagMax tell how late the machine woke a sleeping
	// goroutine during the run: a busy machine, not the system.
	TimerLagP99 float64 `json:"timer_lag_ms_p99"`
	TimerLagMax float64 `json:"timer_lag_ms_max"`
	// Failures counts the messages of failed calls, for the reader.
	Failures map[string]int `json:"failures,omitempty"`

	series []point
	missed []missedCall
}

// Report is a scenario's result; the baseline is absent unless asked for.
type Report struct {
	Scenario string `json:"scenario"`
	Seed     uint64 `json:"seed"`
	RunReport
	Baseline *RunReport `json:"baseline,omitempty"`
}

// point is the answers that ended in one second.
type point struct {
	attained int
	offered  int
	shed     int
}

// measure turns an observation into a report.
func measure(o *Observation, duration time.Duration) *RunReport {
	r := &RunReport{Classes: map[string]*ClassReport{}, Violations: Count(o), Failures: map[string]int{}}
	first, gaps := map[string]*hdrhistogram.Histogram{}, map[string]*hdrhistogram.Histogram{}
	attained := 0
	for _, call := range o.Calls {
		if call.Copy > 0 {
			continue
		}
		name := call.Arrival.Class.Name
		if r.Classes[name] == nil {
			r.Classes[name] = &ClassReport{}
			first[name] = hdrhistogram.New(1, histogramMax, histogramDigits)
			gaps[name] = hdrhistogram.New(1, histogramMax, histogramDigits)
		}
		r.Classes[name].add(call)
		r.addFailure(call)
		if call.attained() {
			attained++
		}
		if call.First > 0 {
			_ = first[name].RecordValue(min(call.First.Microseconds(), histogramMax))
		}
		for _, g := range call.Gaps {
			_ = gaps[name].RecordValue(int64(g))
		}
	}
	for name, class := range r.Classes {
		class.Attainment = share(class.Attained, class.Offered)
		class.TTFTP50 = millis(first[name], percentileMedian)
		class.TTFTP95 = millis(first[name], percentileHigh)
		class.TBTP95 = millis(gaps[name], percentileHigh)
	}
	r.GoodputPerS = float64(attained) / duration.Seconds()
	r.measureWork(o)
	if o.Lag != nil {
		r.TimerLagP99 = millis(o.Lag, percentileExtreme)
		r.TimerLagMax = float64(o.Lag.Max()) / microsPerMilli
	}
	r.series = seriesOf(o)
	r.missed = missedCalls(o)
	return r
}

func (c *ClassReport) add(call *Call) {
	c.Offered++
	if call.attained() {
		c.Attained++
	}
	switch {
	case call.finished():
		c.Finished++
	case call.End == EndNotRun:
		c.Shed++
	case call.End == EndGaveUp:
		c.GaveUp++
	default:
		c.Failed++
	}
}

func (r *RunReport) addFailure(call *Call) {
	if call.finished() {
		return
	}
	reason := string(call.Refusal)
	if reason == "" {
		reason = fmt.Sprintf("%d %.60s", call.Status, call.Message)
	}
	r.Failures[call.Arrival.Class.Name+" "+string(call.End)+" "+reason]++
}

// measureWork compares what the engines made with what callers got whole.
func (r *RunReport) measureWork(o *Observation) {
	generated, useful, reached, offered := 0, 0, 0, 0
	for _, e := range o.Endpoints {
		if e.Engine {
			generated += int(e.Records.TokensGenerated)
			reached += len(e.Records.Arrivals)
		}
	}
	for _, call := range o.Calls {
		if call.Arrival.Prompt == "" {
			continue
		}
		offered++
		if call.finished() {
			useful += call.Tokens
		}
	}
	r.WastedShare = max(0, share(generated-useful, generated))
	r.EngineLoad = share(reached, offered)
}

func share(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func millis(h *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(h.ValueAtQuantile(percentile)) / microsPerMilli
}

// seriesOf counts the calls by the second.
func seriesOf(o *Observation) []point {
	series := make([]point, int(o.Ended.Sub(o.Started)/time.Second)+1)
	at := func(t time.Time) *point {
		return &series[min(max(int(t.Sub(o.Started)/time.Second), 0), len(series)-1)]
	}
	for _, call := range o.Calls {
		at(call.Began).offered++
		if call.attained() {
			at(call.Ended).attained++
		}
		if call.End == EndNotRun {
			at(call.Ended).shed++
		}
	}
	return series
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// WriteText writes the report as a table, the baseline's figures beside.
func (r *Report) WriteText(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s, seed %d\n", r.Scenario, r.Seed)
	writeRun(w, "trefoilkeel", &r.RunReport)
	if r.Baseline != nil {
		writeRun(w, "baseline", r.Baseline)
	}
}

func writeRun(w io.Writer, name string, r *RunReport) {
	_, _ = fmt.Fprintf(w, "%-12s %-16s %8s %8s %8s %8s %6s %6s %6s %10s %10s %9s\n", name, "class",
		"offered", "attained", "share", "finished", "shed", "failed", "gaveup", "ttft p50", "ttft p95", "tbt p95")
	for _, class := range sortedKeys(r.Classes) {
		c := r.Classes[class]
		_, _ = fmt.Fprintf(w, "%-12s %-16s %8d %8d %8.3f %8d %6d %6d %6d %8.0fms %8.0fms %7.1fms\n", "", class,
			c.Offered, c.Attained, c.Attainment, c.Finished, c.Shed, c.Failed, c.GaveUp, c.TTFTP50, c.TTFTP95, c.TBTP95)
	}
	_, _ = fmt.Fprintf(w, "%-12s goodput %.2f/s, wasted %.4f, engine requests per offered %.3f, timer lag p99 %.1f ms max %.0f ms\n", "",
		r.GoodputPerS, r.WastedShare, r.EngineLoad, r.TimerLagP99, r.TimerLagMax)
	_, _ = fmt.Fprintf(w, "%-12s violations %d: %+v\n", "", r.Violations.Total(), r.Violations)
	for _, reason := range sortedKeys(r.Failures) {
		_, _ = fmt.Fprintf(w, "%-12s   %5d × %s\n", "", r.Failures[reason], reason)
	}
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
