// Package follow is the client of control's DirectoryService. A Client subscribes
// to the configuration and the directory of endpoints; an Announcer acquires and
// renews the lease of an endpoint.
package follow

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timing of a subscription.
const (
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 3 * time.Second
	// eventTimeout is the longest time without an event before the client tries
	// another control host; hosts send keepalive events more often.
	eventTimeout = 15 * time.Second
)

// Options configure a Client.
type Options struct {
	ControlURLs []string
	// SubscriberName is the name of this process.
	SubscriberName string
	// SubscriberRole is the role of this process: router, agent or tool.
	SubscriberRole string
	// FailureDomain is the failure domain of this process; control sends its loads
	// more often than those of the others.
	FailureDomain string
	WithDirectory bool
	// HTTPClient is the client for requests to control; nil means unencrypted HTTP/2.
	HTTPClient *http.Client
	Logger     *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// OptionsError reports a missing option.
type OptionsError struct {
	Option string
}

func (e *OptionsError) Error() string { return "follow: no " + e.Option }

// RevisionGapError reports that a control host skipped revisions.
type RevisionGapError struct {
	Have uint64
	Got  uint64
}

func (e *RevisionGapError) Error() string {
	return fmt.Sprintf("received revision %d after revision %d, those in between are missing", e.Got, e.Have)
}

// StaleControlHostError reports that a control host has an older directory than this process.
type StaleControlHostError struct {
	Have uint64
	Got  uint64
}

func (e *StaleControlHostError) Error() string {
	return fmt.Sprintf("control host has directory version %d, older than %d", e.Got, e.Have)
}

// EventTimeoutError reports that a subscription received no event within the timeout.
type EventTimeoutError struct{}

func (e *EventTimeoutError) Error() string { return "control host sent no event within the timeout" }

// Timeout makes the error one of a timeout, as those of package net.
func (e *EventTimeoutError) Timeout() bool { return true }

// Client holds the newest configuration and directory received, also while
// control is unreachable. Its methods are safe for concurrent use.
type Client struct {
	options Options

	mu           sync.Mutex
	view         view
	confirmedAt  time.Time
	changed      chan struct{}
	startedAt    time.Time
	resyncNeeded bool // the next subscription requests the whole state
}

// New returns a client without a configuration; Run receives one.
func New(o Options) *Client {
	if o.HTTPClient == nil {
		o.HTTPClient = rpc.Client(nil)
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Client{options: o, changed: make(chan struct{}, 1), startedAt: o.Now()}
}

// Configuration returns the newest configuration, nil before the first. The returned
// value is never modified, and later calls never return an older one.
func (c *Client) Configuration() *ticket.Configuration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.config
}

// Endpoints returns the endpoints of the newest directory with their newest
// loads, sorted by name. The list and its endpoints are never modified.
func (c *Client) Endpoints() []*pb.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.listEndpoints()
}

// TimeSinceConfirmed returns the time since a control host last confirmed that the
// state of this client is not outdated, or since New if none has.
func (c *Client) TimeSinceConfirmed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.confirmedAt.IsZero() {
		return c.options.Now().Sub(c.startedAt)
	}
	return c.options.Now().Sub(c.confirmedAt)
}

// Changed delivers a value after the configuration or the endpoints have changed. Several
// changes may be merged into one value. The channel supports one reader.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Run subscribes to one control host after another until ctx ends. The state is
// kept when a connection is lost. An error is an *OptionsError.
func (c *Client) Run(ctx context.Context) error {
	if len(c.options.ControlURLs) == 0 {
		return errors.WithStack(&OptionsError{Option: "control URL"})
	}
	backoff := initialBackoff
	for n := rand.IntN(len(c.options.ControlURLs)); ctx.Err() == nil; n++ {
		url := c.options.ControlURLs[n%len(c.options.ControlURLs)]
		events, err := c.subscribe(ctx, url)
		if ctx.Err() != nil {
			return nil
		}
		if events > 1 {
			backoff = initialBackoff
		}
		c.options.Logger.Warn("subscription ended",
			"control", url, "age_ms", c.TimeSinceConfirmed().Milliseconds(), "error", err)
		if !sleepWithJitter(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// subscribe receives events from one control host until the stream ends, and
// returns their number.
func (c *Client) subscribe(ctx context.Context, url string) (events int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(eventTimeout, func() { cancel(&EventTimeoutError{}) })
	defer timer.Stop()
	client := trefoilkeelv1connect.NewDirectoryServiceClient(c.options.HTTPClient, url,
		connect.WithReadMaxBytes(rpc.MaxMessageBytes))
	stream, err := client.Follow(ctx, connect.NewRequest(c.newFollowRequest()))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		timer.Reset(eventTimeout)
		events++
		if err := c.applyEvent(stream.Msg()); err != nil {
			return events, err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return events, cause
	}
	return events, errors.WithStack(stream.Err())
}

// newFollowRequest returns the request of the next subscription and clears
// resyncNeeded.
func (c *Client) newFollowRequest() *pb.FollowRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &pb.FollowRequest{
		Subscriber:    c.options.SubscriberName,
		Kind:          c.options.SubscriberRole,
		WithDirectory: c.options.WithDirectory,
		FailureDomain: c.options.FailureDomain,
	}
	r.Revision = c.view.revision()
	r.Resync = c.resyncNeeded
	c.resyncNeeded = false
	return r
}

// applyEvent applies one event. After an error the client must subscribe again.
func (c *Client) applyEvent(e *pb.FollowEvent) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed, err := c.view.apply(e)
	if err != nil {
		var stale *StaleControlHostError
		c.resyncNeeded = !errors.As(err, &stale)
		return err
	}
	if c.view.confirmsState(e) {
		c.confirmedAt = c.options.Now()
	}
	if changed {
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}
	return nil
}

// sleepWithJitter sleeps between d/2 and d. It returns false if ctx ended.
func sleepWithJitter(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d/2+rand.N(d/2+1))
}
