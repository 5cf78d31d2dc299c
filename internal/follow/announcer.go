package follow

import (
	"context"
	"crypto/rand"
	"fmt"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"google.golang.org/protobuf/proto"
)

// Timing and limits of an Announcer.
const (
	heartbeatInterval = time.Second
	callTimeout       = 2 * time.Second
	maxPendingOrders  = 16
)

// EndpointReport is the state of an endpoint that its agent sends with a heartbeat.
type EndpointReport struct {
	Load   *pb.Load
	State  pb.EndpointState // ACTIVE or DRAINING
	Models []string
}

// AnnouncerOptions configure an Announcer.
type AnnouncerOptions struct {
	ControlURLs []string
	// Endpoint describes the endpoint; incarnation, fence, state and load are ignored.
	Endpoint *pb.Endpoint
	// Report is called before each heartbeat.
	Report func() EndpointReport
	// HeartbeatInterval is the time between two heartbeats; 0 means one second.
	HeartbeatInterval time.Duration
	// HTTPClient is the client for requests to control; nil means unencrypted HTTP/2.
	HTTPClient *http.Client
	Logger     *slog.Logger
}

// SupersededError reports that a newer process has taken over the endpoint's
// name. The agent must refuse new requests.
type SupersededError struct {
	Endpoint string
}

func (e *SupersededError) Error() string {
	return fmt.Sprintf("endpoint %s is held by a later process", e.Endpoint)
}

// Announcer acquires and renews the lease of one endpoint. While control is
// unreachable, the last granted lease stays in force. Its methods are safe for
// concurrent use.
type Announcer struct {
	options AnnouncerOptions
	orders  chan *pb.Order
	changed chan struct{}

	mu                      sync.Mutex
	nonce                   string // makes retries of the current announcement idempotent
	newIncarnationRequested bool   // in place of the next heartbeat
	fenceGate               lease.FenceGate
	lease                   leaseState
	controlIndex            int // of the control host in use, modulo len(ControlURLs)
}

// leaseState is the state of the lease as control last reported it.
type leaseState struct {
	incarnation uint64
	newestFence uint64
	wantedState pb.EndpointState
	confirmedAt time.Time
	superseded  bool
}

// NewAnnouncer returns an announcer without a lease; Run requests one.
func NewAnnouncer(o AnnouncerOptions) *Announcer {
	if o.HTTPClient == nil {
		o.HTTPClient = rpc.Client(nil)
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.HeartbeatInterval == 0 {
		o.HeartbeatInterval = heartbeatInterval
	}
	return &Announcer{
		options: o,
		nonce:   rand.Text(),
		orders:  make(chan *pb.Order, maxPendingOrders),
		changed: make(chan struct{}, 1),
	}
}

// Incarnation returns the granted incarnation. It is 0 before the first grant and
// after a newer process has taken over the name; the agent must then refuse new
// requests.
func (a *Announcer) Incarnation() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.lease.superseded {
		return 0
	}
	return a.lease.incarnation
}

// NewestFence returns the newest fencing number received from control.
func (a *Announcer) NewestFence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease.newestFence
}

// DrainRequested reports whether an operator has requested a drain of the endpoint.
func (a *Announcer) DrainRequested() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease.wantedState == pb.EndpointState_ENDPOINT_STATE_DRAINING
}

// ConfirmedAt returns when control last confirmed the lease, zero before the first time.
func (a *Announcer) ConfirmedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lease.confirmedAt
}

// Changed delivers a value after the incarnation or the requested drain state
// has changed. The channel supports one reader.
func (a *Announcer) Changed() <-chan struct{} { return a.changed }

// Orders delivers the orders for the engine, each once and in ascending order of
// their fencing numbers. While the channel is full, further orders stay pending at
// control.
func (a *Announcer) Orders() <-chan *pb.Order { return a.orders }

// Run announces the endpoint and sends heartbeats until ctx ends. If a newer
// process has taken over the name, Run returns a *SupersededError. After any
// other failure it retries at another control host.
func (a *Announcer) Run(ctx context.Context) error {
	if len(a.options.ControlURLs) == 0 {
		return errors.WithStack(&OptionsError{Option: "control URL"})
	}
	backoff := initialBackoff
	for ctx.Err() == nil {
		err := a.announceOrHeartbeat(ctx)
		var superseded *SupersededError
		if errors.As(err, &superseded) {
			return err
		}
		wait := a.options.HeartbeatInterval
		if err != nil {
			a.options.Logger.Warn("heartbeat failed", "endpoint", a.endpointName(), "control", a.controlURL(), "error", err)
			a.nextControlHost()
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = initialBackoff
		}
		if !sleepWithJitter(ctx, wait) {
			return nil
		}
	}
	return nil
}

// Leave ends the incarnation, so that routers send no new requests. It tries
// each control host once.
func (a *Announcer) Leave(ctx context.Context) error {
	incarnation := a.Incarnation()
	if incarnation == 0 {
		return nil
	}
	var err error
	for range a.options.ControlURLs {
		err = a.callControl(ctx, func(ctx context.Context, c trefoilkeelv1connect.DirectoryServiceClient) error {
			_, err := c.Leave(ctx, connect.NewRequest(&pb.LeaveRequest{Name: a.endpointName(), Incarnation: incarnation}))
			return err
		})
		if err == nil {
			return nil
		}
		a.nextControlHost()
	}
	return errors.WithStack(err)
}

// RequestNewIncarnation requests a new incarnation in place of the next heartbeat,
// as a restart would.
func (a *Announcer) RequestNewIncarnation() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.newIncarnationRequested = true
}

// takeNewIncarnationRequest reports whether a new incarnation was requested. If so,
// it clears the request and generates a new nonce.
func (a *Announcer) takeNewIncarnationRequest() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.newIncarnationRequested {
		return false
	}
	a.newIncarnationRequested = false
	a.nonce = rand.Text()
	return true
}

func (a *Announcer) currentNonce() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nonce
}

// announceOrHeartbeat sends a heartbeat. It announces the endpoint instead if it
// has no incarnation or a new one was requested, and afterwards if control doesn't
// know the incarnation.
func (a *Announcer) announceOrHeartbeat(ctx context.Context) error {
	incarnation := a.Incarnation()
	if incarnation == 0 || a.takeNewIncarnationRequest() {
		return a.announce(ctx)
	}
	known, err := a.heartbeat(ctx, incarnation)
	if err != nil || known {
		return err
	}
	a.options.Logger.Warn("control does not know the incarnation, announcing again",
		"endpoint", a.endpointName(), "incarnation", incarnation)
	return a.announce(ctx)
}

// announce requests an incarnation. The nonce makes retries idempotent.
func (a *Announcer) announce(ctx context.Context) error {
	report := a.options.Report()
	endpoint := proto.CloneOf(a.options.Endpoint)
	endpoint.Models = report.Models
	nonce := a.currentNonce()
	var answer *connect.Response[pb.AnnounceResponse]
	err := a.callControl(ctx, func(ctx context.Context, c trefoilkeelv1connect.DirectoryServiceClient) error {
		var err error
		answer, err = c.Announce(ctx, connect.NewRequest(&pb.AnnounceRequest{Endpoint: endpoint, Nonce: nonce}))
		return err
	})
	if connect.CodeOf(err) == connect.CodeAlreadyExists {
		a.updateLease(func(l *leaseState) { l.superseded = true })
		return errors.WithStack(&SupersededError{Endpoint: a.endpointName()})
	}
	if err != nil {
		return err
	}
	a.options.Logger.Info("lease granted", "endpoint", a.endpointName(),
		"incarnation", answer.Msg.GetIncarnation(), "fence", answer.Msg.GetFence())
	a.updateLease(func(l *leaseState) {
		l.incarnation = answer.Msg.GetIncarnation()
		l.newestFence = max(l.newestFence, answer.Msg.GetFence())
	})
	return nil
}

func (a *Announcer) heartbeat(ctx context.Context, incarnation uint64) (known bool, err error) {
	report := a.options.Report()
	request := &pb.HeartbeatRequest{
		Name:        a.endpointName(),
		Incarnation: incarnation,
		Load:        report.Load,
		State:       report.State,
		Models:      report.Models,
	}
	var answer *connect.Response[pb.HeartbeatResponse]
	err = a.callControl(ctx, func(ctx context.Context, c trefoilkeelv1connect.DirectoryServiceClient) error {
		var err error
		answer, err = c.Heartbeat(ctx, connect.NewRequest(request))
		return err
	})
	if err != nil || !answer.Msg.GetKnown() {
		return false, err
	}
	a.updateLease(func(l *leaseState) {
		l.newestFence = max(l.newestFence, answer.Msg.GetFence())
		if answer.Msg.GetWanted() != pb.EndpointState_ENDPOINT_STATE_UNSPECIFIED {
			l.wantedState = answer.Msg.GetWanted()
		}
	})
	a.queueOrders(answer.Msg.GetOrders())
	return true, nil
}

// updateLease applies change to the lease and signals Changed if the agent must act.
func (a *Announcer) updateLease(change func(*leaseState)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.lease
	change(&a.lease)
	a.lease.confirmedAt = time.Now()
	unchanged := before.incarnation == a.lease.incarnation &&
		before.wantedState == a.lease.wantedState &&
		before.superseded == a.lease.superseded
	if unchanged {
		return
	}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// queueOrders queues the orders with a higher fencing number than any before. An
// order for which the channel has no room is received again with a later heartbeat.
func (a *Announcer) queueOrders(orders []*pb.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range orders {
		if len(a.orders) == cap(a.orders) {
			return
		}
		if a.fenceGate.Accept(o.GetFence()) {
			a.orders <- o
		}
	}
}

func (a *Announcer) callControl(
	ctx context.Context, rpcCall func(context.Context, trefoilkeelv1connect.DirectoryServiceClient) error,
) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return rpcCall(ctx, trefoilkeelv1connect.NewDirectoryServiceClient(a.options.HTTPClient, a.controlURL(),
		connect.WithReadMaxBytes(rpc.MaxMessageBytes)))
}

func (a *Announcer) endpointName() string { return a.options.Endpoint.GetName() }

func (a *Announcer) controlURL() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.options.ControlURLs[a.controlIndex%len(a.options.ControlURLs)]
}

// nextControlHost selects another control host.
func (a *Announcer) nextControlHost() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controlIndex++
}
