// Package follow is the client side of the directory: a Client that keeps a
// process at the newest configuration and directory, and an Announcer that
// keeps an endpoint's lease.
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

// Bounds of a subscription.
const (
	firstBackoff = 100 * time.Millisecond
	maxBackoff   = 3 * time.Second
	// silenceLimit is the longest time without an event before another
	// control host is tried; hosts send signs of life more often.
	silenceLimit = 15 * time.Second
)

// Options configure a Client.
type Options struct {
	ControlURLs []string
	// Subscriber names this process, Kind its role: router, agent or tool.
	Subscriber string
	Kind       string
	// FailureDomain is where this process is; its load digest comes most often.
	FailureDomain string
	WithDirectory bool
	// HTTP reaches control; nil means unencrypted HTTP/2.
	HTTP   *http.Client
	Logger *slog.Logger
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// OptionsError names an option that is missing.
type OptionsError struct {
	Option string
}

// Error names the option.
func (e *OptionsError) Error() string { return "follow: no " + e.Option }

// GapError says that a control host left out revisions.
type GapError struct {
	Have uint64
	Got  uint64
}

// Error gives the revisions.
func (e *GapError) Error() string {
	return fmt.Sprintf("revision %d came after %d", e.Got, e.Have)
}

// BehindError says that a control host has an older state than this process.
type BehindError struct {
	Have uint64
	Got  uint64
}

// Error gives the directory versions.
func (e *BehindError) Error() string {
	return fmt.Sprintf("control host has directory version %d, older than %d", e.Got, e.Have)
}

// SilenceError says that a stream brought nothing for too long.
type SilenceError struct{}

// Error says so.
func (e *SilenceError) Error() string { return "no sign of life from the control host" }

// Client keeps the newest state it has been told, whether control is in reach
// or not. Its methods are safe for concurrent use.
type Client struct {
	options Options

	mu      sync.Mutex
	view    view
	lastNew time.Time
	changed chan struct{}
	started time.Time
	resync  bool // the next subscription asks for the whole state
}

// New returns a client with no state yet; Run fills it.
func New(o Options) *Client {
	if o.HTTP == nil {
		o.HTTP = rpc.Client(nil)
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Client{options: o, changed: make(chan struct{}, 1), started: o.Now()}
}

// State returns the newest configuration, nil before the first. It is never
// changed afterwards, and never followed by an older one.
func (c *Client) State() *ticket.State {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.config
}

// Endpoints returns the newest directory with the newest loads, by name. The
// list and its endpoints are never changed afterwards.
func (c *Client) Endpoints() []*pb.Endpoint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view.list()
}

// Age is the time since a control host last confirmed the state.
func (c *Client) Age() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lastNew.IsZero() {
		return c.options.Now().Sub(c.started)
	}
	return c.options.Now().Sub(c.lastNew)
}

// Changed delivers a value after the state or the endpoints changed. Changes
// that follow each other closely may be joined. It is for one reader.
func (c *Client) Changed() <-chan struct{} { return c.changed }

// Run follows one control host after another until ctx ends. The state of a
// lost connection is kept. An error is an *OptionsError.
func (c *Client) Run(ctx context.Context) error {
	if len(c.options.ControlURLs) == 0 {
		return errors.WithStack(&OptionsError{Option: "control URL"})
	}
	backoff := firstBackoff
	for n := rand.IntN(len(c.options.ControlURLs)); ctx.Err() == nil; n++ {
		url := c.options.ControlURLs[n%len(c.options.ControlURLs)]
		events, err := c.subscribe(ctx, url)
		if ctx.Err() != nil {
			return nil
		}
		if events > 1 {
			backoff = firstBackoff
		}
		c.options.Logger.Warn("subscription ended", "control", url, "age_ms", c.Age().Milliseconds(), "error", err)
		if !pause(ctx, backoff) {
			return nil
		}
		backoff = min(2*backoff, maxBackoff)
	}
	return nil
}

// subscribe follows one control host until the stream ends, and returns how
// many events it brought.
func (c *Client) subscribe(ctx context.Context, url string) (events int, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(silenceLimit, func() { cancel(&SilenceError{}) })
	defer silence.Stop()
	client := trefoilkeelv1connect.NewDirectoryServiceClient(c.options.HTTP, url,
		connect.WithReadMaxBytes(rpc.MaxMessageBytes))
	stream, err := client.Follow(ctx, connect.NewRequest(c.request()))
	if err != nil {
		return 0, errors.WithStack(err)
	}
	defer func() { _ = stream.Close() }()
	for stream.Receive() {
		silence.Reset(silenceLimit)
		events++
		if err := c.take(stream.Msg()); err != nil {
			return events, err
		}
	}
	if cause := context.Cause(ctx); cause != nil {
		return events, cause
	}
	return events, errors.WithStack(stream.Err())
}

func (c *Client) request() *pb.FollowRequest {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &pb.FollowRequest{
		Subscriber:    c.options.Subscriber,
		Kind:          c.options.Kind,
		WithDirectory: c.options.WithDirectory,
		FailureDomain: c.options.FailureDomain,
	}
	r.Revision = c.view.revision()
	r.Resync = c.resync
	c.resync = false
	return r
}

// take applies one event. After an error the subscription must be made anew.
func (c *Client) take(e *pb.FollowEvent) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	changed, err := c.view.apply(e)
	if err != nil {
		var behind *BehindError
		c.resync = !errors.As(err, &behind)
		return err
	}
	if c.view.confirms(e) {
		c.lastNew = c.options.Now()
	}
	if changed {
		select {
		case c.changed <- struct{}{}:
		default:
		}
	}
	return nil
}

// pause waits for a random time between d/2 and d; it is false if ctx ended.
func pause(ctx context.Context, d time.Duration) bool {
	return wait.For(ctx, d/2+rand.N(d/2+1))
}
