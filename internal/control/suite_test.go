package control_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/admin"
	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

func TestControl(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "control")
}

// client is shared, so that its idle connections can be closed before a host stops.
var client = rpc.Client(nil)

// host is one control host on loopback.
type host struct {
	url     string
	machine *state.Machine
	stop    func()
}

// startHost runs a control host at an address ("" for any) until the spec ends.
func startHost(address string, machine *state.Machine, log replica.Log, settings control.Settings, now ...func() time.Time) *host {
	GinkgoHelper()
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	options := control.Options{StateMachine: machine, Log: log, Settings: settings, Auth: admin.Auth{AllowAnonymous: true}}
	if len(now) > 0 {
		options.Now = now[0]
	}
	server := control.New(options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{}, 2)
	go func() { _ = server.Run(ctx); done <- struct{}{} }()
	go func() {
		_ = rpc.Serve(ctx, listener, server.Handler(), nil, slog.New(slog.DiscardHandler))
		done <- struct{}{}
	}()
	h := &host{url: "http://" + listener.Addr().String(), machine: machine}
	stopped := false
	h.stop = func() {
		if stopped {
			return
		}
		stopped = true
		cancel()
		for running := 2; running > 0; {
			client.CloseIdleConnections()
			select {
			case <-done:
				running--
			case <-time.After(pollInterval):
			}
		}
	}
	DeferCleanup(h.stop)
	return h
}

// startSingleHost runs one control host with an in-memory log until the spec ends.
func startSingleHost(settings control.Settings, now ...func() time.Time) *host {
	GinkgoHelper()
	machine := state.New(state.Options{})
	return startHost("", machine, replica.NewMemoryLog(machine), settings, now...)
}

func (h *host) directoryClient() trefoilkeelv1connect.DirectoryServiceClient {
	return trefoilkeelv1connect.NewDirectoryServiceClient(client, h.url)
}

func (h *host) ledgerClient() trefoilkeelv1connect.LedgerServiceClient {
	return trefoilkeelv1connect.NewLedgerServiceClient(client, h.url)
}

// submitLimit submits a ticket that sets the limit named "limit". The requests per
// second also serve as the number of the ticket.
func (h *host) submitLimit(requestsPerSecond int) {
	GinkgoHelper()
	answer, err := trefoilkeelv1connect.NewAdminServiceClient(client, h.url).SubmitTicket(
		context.Background(), connect.NewRequest(&pb.SubmitTicketRequest{Ticket: limitTicket(requestsPerSecond)}))
	Expect(err).NotTo(HaveOccurred())
	Expect(answer.Msg.GetVerdict()).To(Equal(pb.Verdict_VERDICT_ACCEPTED), "%v", answer.Msg.GetFaults())
}

func limitTicket(requestsPerSecond int) []byte {
	GinkgoHelper()
	encoded, err := ticket.Encode(&ticket.Ticket{
		Number:  uint64(requestsPerSecond),
		Author:  "test",
		Summary: fmt.Sprintf("limit %d", requestsPerSecond),
		Limits:  []ticket.Limit{{Name: "limit", RequestsPerSecond: requestsPerSecond}},
	})
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

// startSubscriber runs a subscribed client until the spec ends.
func startSubscriber(urls ...string) *follow.Client {
	c := follow.New(follow.Options{ControlURLs: urls, SubscriberName: "router-1", SubscriberRole: "router", WithDirectory: true, HTTPClient: client})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = c.Run(ctx); close(done) }()
	DeferCleanup(func() { cancel(); <-done })
	return c
}

// revision returns a function that reads the client's revision, 0 before the first.
func revision(c *follow.Client) func() uint64 {
	return func() uint64 {
		if c.Configuration() == nil {
			return 0
		}
		return c.Configuration().Revision
	}
}

func newEndpoint(name string) *pb.Endpoint {
	return &pb.Endpoint{
		Name:          name,
		Group:         "group",
		Kind:          pb.EndpointKind_ENDPOINT_KIND_ENGINE,
		Host:          "host-" + name,
		FailureDomain: "a",
		AgentUrl:      "http://127.0.0.1:1",
	}
}

const (
	eventuallyTimeout = 10 * time.Second
	pollInterval      = 10 * time.Millisecond
)

func drainEndpoint(h *host, name string) (*connect.Response[pb.DrainResponse], error) {
	return trefoilkeelv1connect.NewAdminServiceClient(client, h.url).Drain(
		context.Background(), connect.NewRequest(&pb.DrainRequest{Endpoint: name}))
}

func newDirectoryClient(url string) trefoilkeelv1connect.DirectoryServiceClient {
	return trefoilkeelv1connect.NewDirectoryServiceClient(client, url)
}

// fakeClock is the clock of the hosts, advanced by the test.
type fakeClock struct {
	mu      sync.Mutex
	current time.Time
}

func newFakeClock() *fakeClock { return &fakeClock{current: time.Now()} }

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.current = c.current.Add(d)
}

// advanceSeconds advances the clock second by second. In each second it waits
// until every announcer has completed a heartbeat.
func (c *fakeClock) advanceSeconds(seconds int, announcers ...*countingAnnouncer) {
	GinkgoHelper()
	for range seconds {
		c.advance(time.Second)
		for _, a := range announcers {
			started := a.heartbeats.Load()
			Eventually(a.heartbeats.Load, eventuallyTimeout, time.Millisecond).Should(BeNumerically(">=", started+2))
		}
	}
}
