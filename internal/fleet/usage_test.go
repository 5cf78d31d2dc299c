package fleet

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/balance"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/usage"
)

const (
	usageWindow = 5 * time.Second
	// usageTestWindow is the current window on the hosts of the tests.
	usageTestWindow = 1000
)

// newUsageHost starts a control host that counts usage and whose clocks stand in usageTestWindow.
func newUsageHost(t *testing.T) *controlHost {
	machine := document.New()
	log := &singleHostLog{MemoryLog: replica.NewMemoryLog(machine)}
	log.members.Store(&[]replica.Member{{ID: 1, IsVoter: true}})
	return startControlHostWith(t, log, ServerOptions{Log: log, State: fixedState{machine}, FailureDomain: "a", MinVoters: 1, HTTPClient: http.DefaultClient, Logger: discardLogger, UsageWindow: usageWindow, UsageRetention: 2 * usageWindow})
}

// standStill stops the clocks of a host in usageTestWindow.
func standStill(h *controlHost) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.usage.clock = usage.NewClock(usageWindow)
	h.usage.readClocks = func() (time.Duration, time.Time) {
		return 0, time.Unix(0, usageTestWindow*int64(usageWindow))
	}
}

func finalReport(window int64, life uint64, counts ...usage.Count) usage.Report {
	return usage.Report{Source: usage.Source{Life: life}, Window: window, Final: true, Counts: counts}
}

// callShare sends the usage of an entry to a host and returns the life of the host.
func callShare(g *WithT, h *controlHost, entry string, urgent bool, reports ...usage.Report) uint64 {
	response, err := h.Share(context.Background(), connect.NewRequest(&pb.ShareRequest{Entry: entry, Urgent: urgent, Usage: usageToProto(reports)}))
	g.Expect(err).NotTo(HaveOccurred())
	return response.Msg.UsageLife
}

// Guards against counts that are lost or doubled if an entry reports to two hosts, and against totals
// that are taken for complete while an entry or a host is missing.
func TestUsageIsCollectedFromAllHosts(t *testing.T) {
	g := NewWithT(t)
	a, b := newUsageHost(t), newUsageHost(t)
	connectPeers(a, b)
	standStill(a)
	standStill(b)
	g.Expect(callShare(g, a, "e1", false, usage.Report{Source: usage.Source{Life: 1}, Window: usageTestWindow - 2}, finalReport(usageTestWindow-1, 1, usage.Count{Workspace: "w1", Requests: 3}))).To(Equal(a.usage.life))
	g.Expect(callShare(g, b, "e1", true, usage.Report{Source: usage.Source{Life: 1}, Window: usageTestWindow - 1, Counts: []usage.Count{{Workspace: "w1", Requests: 2}}})).To(Equal(b.usage.life))
	callShare(g, b, "e2", true, usage.Report{Source: usage.Source{Life: 7}, Window: usageTestWindow - 1, Counts: []usage.Count{{Workspace: "w1", Requests: 4}, {Workspace: "w2", Requests: 1}}})
	for _, h := range []*controlHost{a, b} {
		totals, complete, err := h.CollectUsage(t.Context(), usageTestWindow-1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(totals.Counts).To(Equal(map[string]uint64{"w1": 7, "w2": 1}))
		g.Expect(totals.Awaited).To(Equal([]string{"e2"}))
		g.Expect(complete).To(BeFalse())
	}
	callShare(g, b, "e2", false, finalReport(usageTestWindow-1, 7, usage.Count{Workspace: "w2", Requests: 2}))
	totals, complete, err := a.CollectUsage(t.Context(), usageTestWindow-1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(totals.Counts).To(Equal(map[string]uint64{"w1": 7, "w2": 2}))
	g.Expect(complete).To(BeTrue())

	b.http.CloseClientConnections()
	b.http.Close()
	totals, complete, err = a.CollectUsage(t.Context(), usageTestWindow-1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(totals.Counts).To(Equal(map[string]uint64{"w1": 3}))
	g.Expect(totals.MissingHosts).To(Equal([]string{b.http.URL}))
	g.Expect(complete).To(BeFalse())
}

// A host whose peer never answers must return in time with what it has.
func TestSilentHostIsMissing(t *testing.T) {
	g := NewWithT(t)
	a := newUsageHost(t)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // else the end of the connection isn't noticed
		<-r.Context().Done()
	}))
	defer silent.Close()
	a.log.members.Store(&[]replica.Member{{ID: 1, IsVoter: true}, {ID: 2, URL: silent.URL}})
	standStill(a)
	callShare(g, a, "e1", true, finalReport(usageTestWindow-1, 1, usage.Count{Workspace: "w1", Requests: 3}))
	totals, complete, err := a.CollectUsage(t.Context(), usageTestWindow-1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(complete).To(BeFalse())
	g.Expect(totals.MissingHosts).To(Equal([]string{silent.URL}))
	g.Expect(totals.Counts).To(Equal(map[string]uint64{"w1": 3}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _, err = a.CollectUsage(ctx, usageTestWindow-1)
	g.Expect(errors.Is(err, context.Canceled)).To(BeTrue())
}

// Hosts without the setting neither keep usage nor count as having answered.
func TestUsageThatIsOff(t *testing.T) {
	g := NewWithT(t)
	on, off := newUsageHost(t), newControlHost(t, "b")
	connectPeers(on, off)
	g.Expect(callShare(g, off, "e1", false, finalReport(usageTestWindow, 1))).To(BeZero())
	_, _, err := off.CollectUsage(t.Context(), usageTestWindow)
	var usageOff *UsageOffError
	g.Expect(errors.As(err, &usageOff)).To(BeTrue())
	totals, _, err := on.CollectUsage(t.Context(), usageTestWindow)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(totals.MissingHosts).To(Equal([]string{off.http.URL}))
}

// capturedBodies are the bodies of the calls that passed through a handler.
type capturedBodies struct {
	mu                  sync.Mutex
	requests, responses [][]byte
}

// capture records the bodies of Share.
func (c *capturedBodies) capture(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		r.Body = io.NopCloser(bytes.NewReader(body))
		recorder := httptest.NewRecorder()
		h.ServeHTTP(recorder, r)
		c.mu.Lock()
		c.requests, c.responses = append(c.requests, body), append(c.responses, recorder.Body.Bytes())
		c.mu.Unlock()
		for name, values := range recorder.Header() {
			w.Header()[name] = values
		}
		w.WriteHeader(recorder.Code)
		_, _ = w.Write(recorder.Body.Bytes())
	})
}

// fieldNumbers returns the numbers of the fields of a message.
func fieldNumbers(g *WithT, message []byte) []int {
	var numbers []int
	for len(message) > 0 {
		number, _, n := protowire.ConsumeField(message)
		g.Expect(n).To(BeNumerically(">", 0))
		numbers, message = append(numbers, int(number)), message[n:]
	}
	return numbers
}

// Deployments that count no usage must exchange the bytes of before: the fields that were added must
// be absent from the messages of entries and of control hosts.
func TestMessagesWithoutUsageHaveNoNewFields(t *testing.T) {
	g := NewWithT(t)
	const lastRequestField, lastResponseField = 11, 10 // before usage was counted
	control := newControlHost(t, "a")
	captured := &capturedBodies{}
	_, handler := control.Handler()
	server := httptest.NewServer(captured.capture(handler))
	defer server.Close()
	client := control.newPeerClient(server.URL)
	poller := &peer{url: server.URL, client: client}
	control.pollPeer(t.Context(), poller)
	follower := NewFollower(FollowerOptions{EntryName: "e1", FailureDomain: "a", HTTPClient: http.DefaultClient, Logger: discardLogger})
	follower.hosts[server.URL] = &host{url: server.URL, client: client, live: true}
	for _, urgent := range []bool{false, true} {
		_, err := follower.ExchangeLoad(t.Context(), LoadReport{Urgent: urgent, Loads: EndpointLoads{7: {Running: 3}}, Placements: []balance.PartPlacement{{Endpoint: 1, Part: 2}}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(captured.requests).To(HaveLen(3))
	for i := range captured.requests {
		for _, number := range fieldNumbers(g, captured.requests[i]) {
			g.Expect(number).To(BeNumerically("<=", lastRequestField))
		}
		for _, number := range fieldNumbers(g, captured.responses[i]) {
			g.Expect(number).To(BeNumerically("<=", lastResponseField))
		}
	}
}

// The load: 350 entries at nine control hosts and 1,500 workspaces. An entry with 9 requests a second
// counts at most 45 workspaces in a window of 5 s and reports them five times in the worst case; a
// host answers for 39 entries, at worst with all workspaces each.
func TestUsageMessagesAreBoundedAt350Entries(t *testing.T) {
	g := NewWithT(t)
	const entries, workspaces, counted = 39, 1500, 45
	counts := func(n int) (c []usage.Count) {
		for i := range n {
			c = append(c, usage.Count{Workspace: fmt.Sprintf("workspace-%04d", i), Requests: 1})
		}
		return c
	}
	report := proto.Size(usageToProto([]usage.Report{finalReport(353445120, 1<<60, counts(counted)...)}))
	var typical, worst []usage.Report
	for i := range entries {
		r := finalReport(353445120, 1<<60, counts(counted)...)
		r.Entry = fmt.Sprint("front-scl-a-", i)
		typical = append(typical, r)
		r.Counts = counts(workspaces)
		worst = append(worst, r)
	}
	t.Log("bytes of a report:", report, "of an answer:", proto.Size(usageToProto(typical)), "at worst:", proto.Size(usageToProto(worst)))
	g.Expect(5*report/5).To(BeNumerically("<", 1000), "bytes a second")
	g.Expect(proto.Size(usageToProto(worst))).To(BeNumerically("<", 256<<10))
	g.Expect(usageFromProto(usageToProto(worst))).To(Equal(worst))
}

// The load: 350 entries in five failure domains, and 1,500 workspaces that come to any of them. All
// entries of a domain report to one host, which names in its answer nearly every workspace.
func TestUsageOfAFailureDomainIsBounded(t *testing.T) {
	g := NewWithT(t)
	const entries, workspaces, counted = 70, 1500, 45
	var reports []usage.Report
	for e := range entries {
		r := finalReport(353445120, 1<<60)
		r.Entry = fmt.Sprint("front-scl-a-", e)
		for i := range counted {
			r.Counts = append(r.Counts, usage.Count{Workspace: fmt.Sprintf("workspace-%04d", (e*counted+i)%workspaces), Requests: 1})
		}
		reports = append(reports, r)
	}
	size := proto.Size(usageToProto(reports))
	t.Log("bytes of an answer:", size)
	g.Expect(size).To(BeNumerically("<", 40<<10))
}

// Counts that name no workspace, as of a broken sender, are ignored.
func TestMalformedUsageIsIgnored(t *testing.T) {
	g := NewWithT(t)
	reports := usageFromProto(&pb.Usage{Workspaces: []string{"w"}, Windows: []*pb.WindowUsage{{Workspaces: []uint32{0, 1, 0}, Requests: []uint32{5, 6}}}})
	g.Expect(reports).To(HaveLen(1))
	g.Expect(reports[0].Counts).To(Equal([]usage.Count{{Workspace: "w", Requests: 5}}))
}
