package fleet

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/steady"
)

// takeoverRank returns the place of a host among the members that aren't the leader, from 1:
// voters first, each by their ID.
func takeoverRank(status replica.Status, host uint64) int {
	members := slices.SortedFunc(slices.Values(status.Members), func(a, b replica.Member) int {
		if a.IsVoter != b.IsVoter {
			if a.IsVoter {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.ID, b.ID)
	})
	rank := 1
	for _, m := range members {
		if m.ID == host {
			return rank
		}
		if m.ID != status.LeaderID {
			rank++
		}
	}
	return rank
}

// propose appends a command to the log.
func (d *Duties) propose(ctx context.Context, action duty.Action) {
	ctx, cancel := context.WithTimeout(ctx, dutyProposeTimeout)
	defer cancel()
	keeper := d.keeper
	_, err := d.options.Log.Propose(ctx, document.EncodeDutyCommand(action.Command))
	d.observe()
	keeper.Proposed(steady.Now(), err == nil, rand.Float64())
	if err != nil {
		d.options.Logger.Warn("command on duties not stored", "why", action.Why, "error", err)
		return
	}
	d.options.Logger.Debug("command on duties stored", "why", action.Why)
}

// collect asks all control hosts for the counts of a window.
func (d *Duties) collect(ctx context.Context, action duty.Action) {
	ctx, cancel := context.WithTimeout(ctx, dutyCollectTimeout)
	defer cancel()
	totals, complete, err := d.options.Usage.CollectUsage(ctx, int64(action.Window))
	if err != nil {
		d.log.failed(action.Window, err)
		d.options.Logger.Warn("usage not collected", "window", action.Window, "error", err)
	}
	d.keeper.Collected(d.clock.now(), action.Window, totals.Counts, complete && err == nil)
	if err == nil && !complete {
		d.options.Logger.Info("usage not complete", "window", action.Window, "entries", totals.Awaited, "hosts", totals.MissingHosts)
	}
}

// call reports a window to the outside.
func (d *Duties) call(ctx context.Context, action duty.Action) {
	counts, ok := duty.DecodeCounts(action.Counts)
	if !ok { // the record stores no other bytes
		d.options.Logger.Error("agreed counts can't be decoded", "window", action.Window)
		d.keeper.Called(steady.Now(), action.Window, duty.CallRefused, 0, rand.Float64())
		return
	}
	report := UsageReport{Holder: d.options.HostName, Token: action.Token, Window: action.Window, Counts: counts}
	began := steady.Now()
	keeper := d.keeper
	err := d.options.Reporter.ReportUsage(ctx, report, func() bool {
		d.observe()
		return d.keeper == keeper && keeper.MayCall(steady.Now())
	})
	result, retryAfter := callResult(err)
	keeper.Called(steady.Now(), action.Window, result, retryAfter, rand.Float64())
	d.log.called(report, result, err, d.clock.now().Wall, steady.Now()-began)
}

// callResult classifies the error of a call out.
func callResult(err error) (result duty.CallResult, retryAfter time.Duration) {
	var declined *ReportDeclinedError
	var busy *OutsideBusyError
	var rejected *OutsideRejectedError
	switch {
	case err == nil:
		return duty.CallDelivered, 0
	case errors.As(err, &declined):
		return duty.CallNotSent, 0
	case errors.As(err, &busy):
		return duty.CallBusy, busy.RetryAfter
	case errors.As(err, &rejected) && rejected.IsFinal():
		return duty.CallRefused, 0
	}
	return duty.CallFailed, 0
}
