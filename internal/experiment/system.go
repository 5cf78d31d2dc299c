package experiment

import (
	"context"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// System is what an experiment drives.
type System interface {
	// CallerURLs is where callers send their requests, in turn.
	CallerURLs() []string
	// Drain lets an endpoint leave, or take work again.
	Drain(ctx context.Context, endpoint string, undo bool) error
	// LoseDomain ends everything of a failure domain at once.
	LoseDomain(ctx context.Context, domain string) error
	// LoseControl ends every control host at once.
	LoseControl(ctx context.Context) error
	// Submit applies a ticket.
	Submit(ctx context.Context, t *ticket.Ticket) error
	// Revisions gives the configuration revision in force at each process.
	Revisions(ctx context.Context) (map[string]uint64, error)
	// Close ends the system.
	Close(ctx context.Context) error
}
