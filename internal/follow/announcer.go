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

// Bounds of an Announcer.
const (
	heartbeatInterval = time.Second
	callTimeout       = 2 * time.Second
	maxOrdersWaiting  = 16
)

// Report is what an agent says of its endpoint in a heartbeat.
type Report struct {
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
	Report func() Report
	// Interval is the time between two heartbeats; 0 means one second.
	Interval time.Duration
	// HTTP reaches control; nil means unencrypted HTTP/2.
	HTTP   *http.Client
	Logger *slog.Logger
}

// SupersededError says that a later process holds the endpoint's name. The
// agent must take no new work.
type SupersededError struct {
	Endpoint string
}

// Error names the endpoint.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("endpoint %s is held by a later process", e.Endpoint)
}

// Announcer keeps the lease of one endpoint. While control is out of reach the
// last grant stays in force. Its methods are safe for concurrent use.
type Announcer struct {
	options AnnouncerOptions
	orders  chan *pb.Order
	changed chan struct{}

	mu     sync.Mutex
	nonce  string // of the present announcement
	renew  bool   // the next step asks for a new incarnation
	gate   lease.Gate
	grant  grant
	target int // index of the control host in use
}

// grant is what control last said.
type grant struct {
	incarnation uint64
	fence       uint64
	wanted      pb.EndpointState
	confirmed   time.Time
	superseded  bool
}

// NewAnnouncer returns an announcer without a grant; Run asks for one.
func NewAnnouncer(o AnnouncerOptions) *Announcer {
	if o.HTTP == nil {
		o.HTTP = rpc.Client(nil)
	}
	if o.Logger == nil {
		o.Logger = slog.New(slog.DiscardHandler)
	}
	if o.Interval == 0 {
		o.Interval = heartbeatInterval
	}
	return &Announcer{
		options: o,
		nonce:   rand.Text(),
		orders:  make(chan *pb.Order, maxOrdersWaiting),
		changed: make(chan struct{}, 1),
	}
}

// Incarnation is the granted incarnation, 0 before the first grant and after
// a later process took the name: the agent must then refuse new work.
func (a *Announcer) Incarnation() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.grant.superseded {
		return 0
	}
	return a.grant.incarnation
}

// Fence is the newest fencing number that control has named.
func (a *Announcer) Fence() uint64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grant.fence
}

// Draining tells whether an operator wants the endpoint drained.
func (a *Announcer) Draining() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grant.wanted == pb.EndpointState_ENDPOINT_STATE_DRAINING
}

// Confirmed is when control last confirmed the grant; zero before the first.
func (a *Announcer) Confirmed() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.grant.confirmed
}

// Changed delivers a value after the incarnation or the wish to drain
// changed. It is for one reader.
func (a *Announcer) Changed() <-chan struct{} { return a.changed }

// Orders delivers orders for the engine, each once and never one with an old
// fencing number. What is not read stays pending at control.
func (a *Announcer) Orders() <-chan *pb.Order { return a.orders }

// Run announces the endpoint and sends heartbeats until ctx ends or a later
// process holds the name, which is a *SupersededError. Other failures are
// tried again at another control host.
func (a *Announcer) Run(ctx context.Context) error {
	if len(a.options.ControlURLs) == 0 {
		return errors.WithStack(&OptionsError{Option: "control URL"})
	}
	backoff := firstBackoff
	for ctx.Err() == nil {
		err := a.step(ctx)
		var superseded *SupersededError
		if errors.As(err, &superseded) {
			return err
		}
		wait := a.options.Interval
		if err != nil {
			a.options.Logger.Warn("heartbeat failed", "endpoint", a.name(), "control", a.url(), "error", err)
			a.next()
			wait = backoff
			backoff = min(2*backoff, maxBackoff)
		} else {
			backoff = firstBackoff
		}
		if !pause(ctx, wait) {
			return nil
		}
	}
	return nil
}

// Leave ends the incarnation, so that no new work is sent. It tries each
// control host once.
func (a *Announcer) Leave(ctx context.Context) error {
	incarnation := a.Incarnation()
	if incarnation == 0 {
		return nil
	}
	var err error
	for range a.options.ControlURLs {
		err = a.call(ctx, func(ctx context.Context, c trefoilkeelv1connect.DirectoryServiceClient) error {
			_, err := c.Leave(ctx, connect.NewRequest(&pb.LeaveRequest{Name: a.name(), Incarnation: incarnation}))
			return err
		})
		if err == nil {
			return nil
		}
		a.next()
	}
	return errors.WithStack(err)
}

// Renew asks for a new incarnation at the next heartbeat, as a restart would.
func (a *Announcer) Renew() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.renew = true
}

// takeRenewal makes a new nonce if a new incarnation was asked for.
func (a *Announcer) takeRenewal() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.renew {
		return false
	}
	a.renew = false
	a.nonce = rand.Text()
	return true
}

// presentNonce returns the nonce of the present announcement.
func (a *Announcer) presentNonce() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.nonce
}

// step announces the endpoint if it has no grant, and sends a heartbeat if it has.
func (a *Announcer) step(ctx context.Context) error {
	incarnation := a.Incarnation()
	if incarnation == 0 || a.takeRenewal() {
		return a.announce(ctx)
	}
	known, err := a.heartbeat(ctx, incarnation)
	if err != nil || known {
		return err
	}
	a.options.Logger.Warn("control does not know the incarnation, announcing again",
		"endpoint", a.name(), "incarnation", incarnation)
	return a.announce(ctx)
}

// announce asks for an incarnation. The nonce makes a repeat harmless.
func (a *Announcer) announce(ctx context.Context) error {
	report := a.options.Report()
	endpoint := proto.CloneOf(a.options.Endpoint)
	endpoint.Models = report.Models
	nonce := a.presentNonce()
	var answer *connect.Response[pb.AnnounceResponse]
	err := a.call(ctx, func(ctx context.Context, c trefoilkeelv1connect.DirectoryServiceClient) error {
		var err error
		answer, err = c.Announce(ctx, connect.NewRequest(&pb.AnnounceRequest{Endpoint: endpoint, Nonce: nonce}))
		return err
	})
	if connect.CodeOf(err) == connect.CodeAlreadyExists {
		a.update(func(g *grant) { g.superseded = true })
		return errors.WithStack(&SupersededError{Endpoint: a.name()})
	}
	if err != nil {
		return err
	}
	a.options.Logger.Info("lease granted", "endpoint", a.name(),
		"incarnation", answer.Msg.GetIncarnation(), "fence", answer.Msg.GetFence())
	a.update(func(g *grant) {
		g.incarnation = answer.Msg.GetIncarnation()
		g.fence = max(g.fence, answer.Msg.GetFence())
	})
	return nil
}

func (a *Announcer) heartbeat(ctx context.Context, incarnation uint64) (known bool, err error) {
	report := a.options.Report()
	request := &pb.HeartbeatRequest{
		Name:        a.name(),
		Incarnation: incarnation,
		Load:        report.Load,
		State:       report.State,
		Models:      report.Models,
	}
	var answer *connect.Response[pb.HeartbeatResponse]
	err = a.call(ctx, func(ctx context.Context, c trefoilkeelv1connect.DirectoryServiceClient) error {
		var err error
		answer, err = c.Heartbeat(ctx, connect.NewRequest(request))
		return err
	})
	if err != nil || !answer.Msg.GetKnown() {
		return false, err
	}
	a.update(func(g *grant) {
		g.fence = max(g.fence, answer.Msg.GetFence())
		if answer.Msg.GetWanted() != pb.EndpointState_ENDPOINT_STATE_UNSPECIFIED {
			g.wanted = answer.Msg.GetWanted()
		}
	})
	a.offer(answer.Msg.GetOrders())
	return true, nil
}

// update changes the grant and signals if the agent must act.
func (a *Announcer) update(change func(*grant)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	before := a.grant
	change(&a.grant)
	a.grant.confirmed = time.Now()
	same := before.incarnation == a.grant.incarnation &&
		before.wanted == a.grant.wanted &&
		before.superseded == a.grant.superseded
	if same {
		return
	}
	select {
	case a.changed <- struct{}{}:
	default:
	}
}

// offer passes on the orders that are newer than all before. An order that
// finds no room is left for a later heartbeat.
func (a *Announcer) offer(orders []*pb.Order) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, o := range orders {
		if len(a.orders) == cap(a.orders) {
			return
		}
		if a.gate.Accept(o.GetFence()) {
			a.orders <- o
		}
	}
}

func (a *Announcer) call(ctx context.Context, do func(context.Context, trefoilkeelv1connect.DirectoryServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return do(ctx, trefoilkeelv1connect.NewDirectoryServiceClient(a.options.HTTP, a.url(),
		connect.WithReadMaxBytes(rpc.MaxMessageBytes)))
}

func (a *Announcer) name() string { return a.options.Endpoint.GetName() }

func (a *Announcer) url() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.options.ControlURLs[a.target%len(a.options.ControlURLs)]
}

// next turns to another control host.
func (a *Announcer) next() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.target++
}
