package experiment

import (
	"context"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// System is the system under test: the router or the baseline proxy.
type System interface {
	// CallerURLs returns the URLs that callers use, in round robin.
	CallerURLs() []string
	// Drain drains an endpoint or, with undo, lets it take requests again.
	Drain(ctx context.Context, endpoint string, undo bool) error
	// FailDomain makes everything in a failure domain unreachable at once.
	FailDomain(ctx context.Context, domain string) error
	// StopControlHosts stops every control host at once.
	StopControlHosts(ctx context.Context) error
	// Submit submits a ticket.
	Submit(ctx context.Context, t *ticket.Ticket) error
	// Revisions returns the configuration revision in force at each process.
	Revisions(ctx context.Context) (map[string]uint64, error)
	// Close stops the system.
	Close(ctx context.Context) error
}
