package experiment

import (
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

// missedCall is a call that missed its targets, with the stand-ins' records of
// its runs. Times are seconds since the start of the run.
type missedCall struct {
	Class             string        `json:"class"`
	Workspace         string        `json:"workspace"`
	CopyIndex         int           `json:"copy,omitempty"`
	ScheduledSeconds  float64       `json:"began_s"`
	EndedSeconds      float64       `json:"ended_s"`
	Outcome           CallOutcome   `json:"end"`
	Content           Content       `json:"content"`
	Refusal           string        `json:"refusal,omitempty"`
	HTTPStatus        int           `json:"status"`
	FailureMessage    string        `json:"message,omitempty"`
	FirstTokenDelayMS float64       `json:"first_ms"`
	MeanTokenGapMS    float64       `json:"mean_gap_ms"`
	ReceivedTokens    int           `json:"tokens"`
	AnswerTokens      int           `json:"wanted_tokens"`
	Runs              []endpointRun `json:"runs"`
}

// endpointRun is one run of the call's request at an endpoint.
type endpointRun struct {
	Endpoint        string          `json:"endpoint"`
	RequestID       string          `json:"request_id"`
	BeganSeconds    float64         `json:"began_s"`
	EndedSeconds    float64         `json:"ended_s"`
	TokensGiven     int             `json:"given"` // answer tokens that the request already contained
	TokensGenerated int             `json:"generated"`
	Outcome         standin.Outcome `json:"outcome"`
}

// listMissedCalls lists the calls that missed their targets, ordered by their
// scheduled time.
func listMissedCalls(o *Observation) []missedCall {
	runs := map[string][]endpointRun{}
	secondsSinceStart := func(t time.Time) float64 { return t.Sub(o.Started).Seconds() }
	for _, e := range o.EndpointRecords {
		for _, r := range e.Records.Requests {
			runs[r.Key] = append(runs[r.Key], endpointRun{Endpoint: e.Name, RequestID: r.RequestID, BeganSeconds: secondsSinceStart(r.ReceivedAt),
				EndedSeconds: secondsSinceStart(r.EndedAt), TokensGiven: r.TokensGiven, TokensGenerated: r.TokensGenerated, Outcome: r.Outcome})
		}
	}
	var list []missedCall
	for _, c := range o.Calls {
		if c.metTargets() {
			continue
		}
		list = append(list, missedCall{
			Class: c.Request.Class.Name, Workspace: c.Request.Workspace, CopyIndex: c.CopyIndex,
			ScheduledSeconds: secondsSinceStart(c.ScheduledAt), EndedSeconds: secondsSinceStart(c.EndedAt), Outcome: c.Outcome, Content: c.Content,
			Refusal: string(c.Refusal), HTTPStatus: c.HTTPStatus, FailureMessage: c.FailureMessage,
			FirstTokenDelayMS: c.FirstTokenDelay.Seconds() * 1000, MeanTokenGapMS: c.meanTokenGap().Seconds() * 1000,
			ReceivedTokens: c.ReceivedTokens, AnswerTokens: c.Request.AnswerTokens, Runs: runs[c.Request.RecordKey],
		})
	}
	slices.SortFunc(list, func(r, s missedCall) int { return int(1e6 * (r.ScheduledSeconds - s.ScheduledSeconds)) })
	return list
}

// WriteMissedCalls writes the calls of the system's run that missed their targets
// as JSON, one object per line.
func (r *Report) WriteMissedCalls(w io.Writer) error {
	encoder := json.NewEncoder(w)
	for i := range r.missedCalls {
		if err := encoder.Encode(&r.missedCalls[i]); err != nil {
			return errors.Wrap(err, "write a missed call")
		}
	}
	return nil
}
