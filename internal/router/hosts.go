package router

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
)

// LedgerHosts calls the ledger at one control host after another until one
// answers. Every call of the ledger is safe to repeat.
type LedgerHosts struct {
	hosts []trefoilkeelv1connect.LedgerServiceClient
	next  atomic.Uint64 // the host that answered last
}

// NewLedgerHosts returns a client over at least one host.
func NewLedgerHosts(hosts []trefoilkeelv1connect.LedgerServiceClient) *LedgerHosts {
	return &LedgerHosts{hosts: hosts}
}

// Claim asks for the right to dispatch one attempt.
func (l *LedgerHosts) Claim(ctx context.Context, r *connect.Request[trefoilkeelv1.ClaimRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	return callHosts(l, func(host trefoilkeelv1connect.LedgerServiceClient) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
		return host.Claim(ctx, connect.NewRequest(r.Msg))
	})
}

// Settle records how an attempt ended.
func (l *LedgerHosts) Settle(ctx context.Context, r *connect.Request[trefoilkeelv1.SettleRequest]) (*connect.Response[trefoilkeelv1.SettleResponse], error) {
	return callHosts(l, func(host trefoilkeelv1connect.LedgerServiceClient) (*connect.Response[trefoilkeelv1.SettleResponse], error) {
		return host.Settle(ctx, connect.NewRequest(r.Msg))
	})
}

// Lookup reads a claim without making one.
func (l *LedgerHosts) Lookup(ctx context.Context, r *connect.Request[trefoilkeelv1.LookupRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	return callHosts(l, func(host trefoilkeelv1connect.LedgerServiceClient) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
		return host.Lookup(ctx, connect.NewRequest(r.Msg))
	})
}

// callHosts tries each host once, beginning with the one that answered last.
func callHosts[T any](l *LedgerHosts, call func(trefoilkeelv1connect.LedgerServiceClient) (T, error)) (T, error) {
	var result T
	var err error
	first := l.next.Load()
	for i := range uint64(len(l.hosts)) {
		at := (first + i) % uint64(len(l.hosts))
		result, err = call(l.hosts[at])
		if err == nil {
			l.next.Store(at)
			return result, nil
		}
	}
	return result, err
}
