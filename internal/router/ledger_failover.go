package router

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
)

// LedgerFailover is a ledger client that tries each control host until one
// answers. Every ledger call is idempotent.
type LedgerFailover struct {
	hosts        []trefoilkeelv1connect.LedgerServiceClient
	lastAnswered atomic.Uint64 // index of the host
}

// NewLedgerFailover returns a client for at least one host.
func NewLedgerFailover(hosts []trefoilkeelv1connect.LedgerServiceClient) *LedgerFailover {
	return &LedgerFailover{hosts: hosts}
}

// Claim requests the right to dispatch one attempt.
func (f *LedgerFailover) Claim(ctx context.Context, r *connect.Request[trefoilkeelv1.ClaimRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	return callFirstAvailable(f, func(host trefoilkeelv1connect.LedgerServiceClient) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
		return host.Claim(ctx, connect.NewRequest(r.Msg))
	})
}

// Settle records the result of an attempt.
func (f *LedgerFailover) Settle(ctx context.Context, r *connect.Request[trefoilkeelv1.SettleRequest]) (*connect.Response[trefoilkeelv1.SettleResponse], error) {
	return callFirstAvailable(f, func(host trefoilkeelv1connect.LedgerServiceClient) (*connect.Response[trefoilkeelv1.SettleResponse], error) {
		return host.Settle(ctx, connect.NewRequest(r.Msg))
	})
}

// Lookup reads a claim without creating one.
func (f *LedgerFailover) Lookup(ctx context.Context, r *connect.Request[trefoilkeelv1.LookupRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	return callFirstAvailable(f, func(host trefoilkeelv1connect.LedgerServiceClient) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
		return host.Lookup(ctx, connect.NewRequest(r.Msg))
	})
}

// callFirstAvailable tries each host once, starting with the one that answered
// last, and returns the last error if all fail.
func callFirstAvailable[T any](f *LedgerFailover, call func(trefoilkeelv1connect.LedgerServiceClient) (T, error)) (T, error) {
	var result T
	var err error
	start := f.lastAnswered.Load()
	for i := range uint64(len(f.hosts)) {
		index := (start + i) % uint64(len(f.hosts))
		result, err = call(f.hosts[index])
		if err == nil {
			f.lastAnswered.Store(index)
			return result, nil
		}
	}
	return result, err
}
