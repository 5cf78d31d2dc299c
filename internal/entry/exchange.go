package entry

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

const (
	// nearInterval is how often the entries of a failure domain exchange what
	// they have in flight, farInterval how often they ask the other failure
	// domains, which costs bytes between these.
	nearInterval = 100 * time.Millisecond
	farInterval  = 400 * time.Millisecond
	shareTimeout = 300 * time.Millisecond
	// heardAge is how long what was heard of a failure domain counts: a lost
	// answer or two must not move the homes of prompts.
	heardAge = 1200 * time.Millisecond
)

// Sharer exchanges what entries have in flight, by endpoint.
type Sharer interface {
	// Share tells what this entry has and returns what the others of its failure
	// domain have.
	Share(ctx context.Context, shares map[string]balance.Share) (map[string]balance.Share, error)
	// SharesOf returns what the entries of another failure domain have.
	SharesOf(ctx context.Context, domain string) (map[string]balance.Share, error)
	// Domains are the other failure domains.
	Domains() []string
}

// exchange keeps what the other entries have in flight up to date.
type exchange struct {
	sharer Sharer
	domain string // the own one
	entry  *Entry

	mu    sync.Mutex
	heard map[string]heard // by failure domain
}

// heard is what the entries of a failure domain last said.
type heard struct {
	at     time.Time
	shares map[string]balance.Share
}

// run exchanges until ctx ends.
func (x *exchange) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { wait.Every(ctx, nearInterval, func() { x.near(ctx) }); return nil })
	group.Go(func() error { wait.Every(ctx, farInterval, func() { x.far(ctx) }); return nil })
	return group.Wait()
}

// near exchanges with the entries of the own failure domain.
func (x *exchange) near(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	shares, err := x.sharer.Share(ctx, x.entry.router.Shares())
	x.take(x.domain, shares, err)
	x.entry.router.Others(x.current(time.Now()))
}

// far asks the other failure domains.
func (x *exchange) far(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shareTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, domain := range x.sharer.Domains() {
		group.Go(func() {
			shares, err := x.sharer.SharesOf(ctx, domain)
			x.take(domain, shares, err)
		})
	}
	group.Wait()
}

// take keeps an answer. Without one, what was heard before counts for a while.
func (x *exchange) take(domain string, shares map[string]balance.Share, err error) {
	if err != nil {
		x.entry.options.Logger.Debug("exchange of load failed", "failure_domain", domain, "error", err)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, known := x.heard[domain]; !known {
		x.entry.options.Logger.Info("load of a failure domain known", "failure_domain", domain, "endpoints", len(shares))
	}
	x.heard[domain] = heard{at: time.Now(), shares: shares}
}

// current is what counts now, by failure domain.
func (x *exchange) current(now time.Time) map[string]map[string]balance.Share {
	x.mu.Lock()
	defer x.mu.Unlock()
	domains := map[string]map[string]balance.Share{}
	for domain, h := range x.heard {
		if age := now.Sub(h.at); age > heardAge {
			x.entry.options.Logger.Info("load of a failure domain not known", "failure_domain", domain, "age_ms", age.Milliseconds())
			delete(x.heard, domain)
			continue
		}
		domains[domain] = h.shares
	}
	return domains
}
