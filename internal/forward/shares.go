package forward

import (
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/admission"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/mechanism"
	"github.com/trefoilkeel/trefoilkeel/internal/share"
)

// outputTokenWork is the work of a generated token, in prompt tokens that an engine prefills in
// about the same time.
const outputTokenWork = 10

// workspaceShares is what a router knows of the shares of workspaces. Router.mu guards it.
type workspaceShares struct {
	meter   *share.Meter
	gate    *share.Gate
	pressed []share.Class // in which entries refuse requests
	takenAt time.Time     // last report
}

func newWorkspaceShares() *workspaceShares {
	return &workspaceShares{meter: share.NewMeter(), gate: share.NewGate()}
}

// classUseInterval is the time between two reports of the work of workspaces.
const classUseInterval = time.Second

// TakeClassUses returns the recent work of workspaces in classes that are refused work, nil if
// none is or the last report is too recent.
func (rt *Router) TakeClassUses() []share.Row {
	rt.mu.Lock()
	defer rt.mu.Unlock()
	s, now := rt.shares, time.Now()
	if now.Sub(s.takenAt) < classUseInterval {
		return nil
	}
	s.takenAt = now
	if !s.gate.IsFresh(now) {
		s.shareAlone(now)
	}
	return s.meter.Rows(now, s.pressed)
}

// shareAlone divides by what this entry sees itself, while no control host sends shares.
func (s *workspaceShares) shareAlone(now time.Time) {
	s.pressed = nil
	alone := share.NewTable()
	alone.SetEntry(now, "", s.meter.Rows(now, nil))
	if excesses := alone.Excesses(now); len(excesses) > 0 {
		s.gate.Set(now, excesses)
	}
}

// ApplyClassShares applies the shares that a control host has sent. Without pressed classes it sent none.
func (rt *Router) ApplyClassShares(pressed []share.Class, excesses []share.Excess) {
	if len(pressed) == 0 {
		return
	}
	rt.mu.Lock()
	defer rt.mu.Unlock()
	rt.shares.pressed = pressed
	rt.shares.gate.Set(time.Now(), excesses)
}

// shareClass returns the class in which a request shares its service with other workspaces.
func (r *Request) shareClass() share.Class {
	return share.Class{Service: r.Service, Rank: r.Route.Rank}
}

// work returns the work of a request: prompt tokens, or 1 for a service without a model.
func (r *Request) work() float64 {
	return max(float64(r.PromptTokens+outputTokenWork*r.ExpectedOutputTokens), 1)
}

// recordOffered records a new request, and decides whether it is within the share of its workspace.
func (a *activeRequest) recordOffered(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	workspace := share.KeyOf(a.request.Workspace)
	a.shares.meter.AddOffered(now, a.request.shareClass(), workspace, 0, a.request.work())
	a.outsideShare = !a.options.Balance.Off.Has(mechanism.Shares) && !a.shares.gate.Take(now, a.request.shareClass(), workspace)
}

// recordRefusedWork records a request that is refused because there was no room for it in time.
func (a *activeRequest) recordRefusedWork(now time.Time, err error) {
	var none *balance.NoEndpointError
	var refusal *admission.Refusal
	noRoom := errors.As(err, &none) && none.TooLate+none.Full > 0 || errors.As(err, &refusal) && refusal.Reason == admission.MoreUrgentFirst
	if !noRoom || a.attempts.Runs > 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shares.meter.AddRefused(now, a.request.shareClass(), share.KeyOf(a.request.Workspace), a.request.work())
}
