package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Bounds of fetching a document.
const (
	// ownDomainWait is how long a newer document is left to arrive in the own
	// failure domain before it is fetched from another one.
	ownDomainWait = 60 * time.Millisecond
	fetchTimeout  = 700 * time.Millisecond
	fetchRetry    = 50 * time.Millisecond
)

// runFetch fetches newer documents until ctx ends.
func (f *Follower) runFetch(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.news:
		}
		began := time.Now()
		for ctx.Err() == nil {
			from, wanted := f.source(time.Since(began) >= ownDomainWait)
			if !wanted {
				break
			}
			if from == nil {
				wait.For(ctx, ownDomainWait/4)
				continue
			}
			if err := f.fetch(ctx, from); err != nil {
				f.options.Logger.Warn("configuration not fetched", "url", from.url, "error", err)
				f.distrust(from)
				wait.For(ctx, fetchRetry)
			}
		}
	}
}

// source is the host to fetch from, nil for none yet; wanted is false if no host
// has anything newer.
func (f *Follower) source(anyDomain bool) (from *host, wanted bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	newest := f.version
	for _, h := range f.hosts {
		if h.version <= f.version {
			continue
		}
		wanted = true
		if h.version > newest && (anyDomain || h.domain == f.options.Domain) {
			from, newest = h, h.version
		}
	}
	return from, wanted
}

// distrust forgets what a host said it has, until it says so again.
func (f *Follower) distrust(h *host) {
	f.mu.Lock()
	defer f.mu.Unlock()
	h.version = 0
}

// fetch takes the document of a host.
func (f *Follower) fetch(ctx context.Context, from *host) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	response, err := from.client.Document(ctx, connect.NewRequest(&pb.DocumentRequest{}))
	if err != nil {
		return err
	}
	content, err := document.Unpack(response.Msg.Content)
	if err != nil {
		return err
	}
	f.mu.Lock()
	newer := response.Msg.Version > f.version
	f.version = max(f.version, response.Msg.Version)
	f.mu.Unlock()
	if newer {
		f.options.Consumer.Document(response.Msg.Version, content)
	}
	return nil
}
