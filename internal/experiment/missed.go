package experiment

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// missedCall is a call that did not attain its targets, with all that the
// stand-ins know of it. Times are seconds since the start.
type missedCall struct {
	Class     string   `json:"class"`
	Workspace string   `json:"workspace"`
	Copy      int      `json:"copy,omitempty"`
	Began     float64  `json:"began_s"`
	Ended     float64  `json:"ended_s"`
	End       End      `json:"end"`
	Content   Content  `json:"content"`
	Refusal   string   `json:"refusal,omitempty"`
	Status    int      `json:"status"`
	Message   string   `json:"message,omitempty"`
	FirstMS   float64  `json:"first_ms"`
	MeanGapMS float64  `json:"mean_gap_ms"`
	Tokens    int      `json:"tokens"`
	Wanted    int      `json:"wanted_tokens"`
	Runs      []runOne `json:"runs"`
}

// runOne is one arrival of the call at an endpoint.
type runOne struct {
	Endpoint  string          `json:"endpoint"`
	RequestID string          `json:"request_id"`
	Began     float64         `json:"began_s"`
	Ended     float64         `json:"ended_s"`
	Given     int             `json:"given"`
	Generated int             `json:"generated"`
	Outcome   standin.Outcome `json:"outcome"`
}

// missedCalls lists the calls that missed their targets in order of arrival.
func missedCalls(o *Observation) []missedCall {
	runs := map[string][]runOne{}
	since := func(t time.Time) float64 { return t.Sub(o.Started).Seconds() }
	for _, e := range o.Endpoints {
		for _, a := range e.Records.Arrivals {
			runs[a.Key] = append(runs[a.Key], runOne{Endpoint: e.Name, RequestID: a.RequestID, Began: since(a.At),
				Ended: since(a.Ended), Given: a.Given, Generated: a.Generated, Outcome: a.Outcome})
		}
	}
	var list []missedCall
	for _, c := range o.Calls {
		if c.attained() {
			continue
		}
		list = append(list, missedCall{
			Class: c.Arrival.Class.Name, Workspace: c.Arrival.Workspace, Copy: c.Copy,
			Began: since(c.Began), Ended: since(c.Ended), End: c.End, Content: c.Content,
			Refusal: string(c.Refusal), Status: c.Status, Message: c.Message,
			FirstMS: c.First.Seconds() * 1000, MeanGapMS: c.meanGap().Seconds() * 1000,
			Tokens: c.Tokens, Wanted: c.Arrival.Tokens, Runs: runs[c.Arrival.Key],
		})
	}
	slices.SortFunc(list, func(a, b missedCall) int { return int(1e6 * (a.Began - b.Began)) })
	return list
}

// WriteCalls writes the calls of the system's run that missed their targets,
// one JSON object a line.
func (r *Report) WriteCalls(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for i := range r.missed {
		if err := encoder.Encode(&r.missed[i]); err != nil {
			return errors.Wrap(err, "write a call")
		}
	}
	return nil
}
