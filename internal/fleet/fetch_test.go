package fleet

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// scriptedHost is a control host that announces versions and answers fetches as a test says.
type scriptedHost struct {
	trefoilkeelv1connect.UnimplementedFleetServiceHandler
	t             *testing.T
	failureDomain string
	http          *httptest.Server
	answer        atomic.Pointer[func(ctx context.Context, fetch int64) (version uint64, err error)]
	fetches       atomic.Int64
	bodyDelay     time.Duration // between the head and the body of responses to fetches
	dripInterval  time.Duration // between the bytes of responses to fetches, which then don't end
	slowTime      time.Duration // that the body of a response to a fetch takes, evenly

	mu      sync.Mutex
	version uint64        // that it announces
	changed chan struct{} // closed when version changes
	lost    bool          // refuses watches
}

func startScriptedHost(t *testing.T, failureDomain string) *scriptedHost {
	h := &scriptedHost{t: t, failureDomain: failureDomain, changed: make(chan struct{})}
	h.setAnswer(func(context.Context, int64) (uint64, error) { return h.announced() })
	path, handler := trefoilkeelv1connect.NewFleetServiceHandler(h)
	mux := http.NewServeMux()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if h.bodyDelay+h.dripInterval+h.slowTime > 0 && r.URL.Path == trefoilkeelv1connect.FleetServiceDocumentProcedure {
			h.writeSlowly(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
	h.http = httptest.NewServer(mux)
	t.Cleanup(func() { h.http.CloseClientConnections(); h.http.Close() })
	return h
}

// setAnswer sets what the host answers to the fetches from now on.
func (h *scriptedHost) setAnswer(answer func(ctx context.Context, fetch int64) (version uint64, err error)) {
	h.fetches.Store(0)
	h.answer.Store(&answer)
}

func (h *scriptedHost) announced() (uint64, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.version, nil
}

func (h *scriptedHost) announceVersion(version uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.version = version
	close(h.changed)
	h.changed = make(chan struct{})
}

// lose ends the watches and refuses new ones.
func (h *scriptedHost) lose() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *scriptedHost) Watch(ctx context.Context, _ *connect.Request[pb.WatchFleetRequest], stream *connect.ServerStream[pb.FleetEvent]) error {
	ticker := time.NewTicker(keepAliveInterval)
	defer ticker.Stop()
	for {
		h.mu.Lock()
		version, changed, lost := h.version, h.changed, h.lost
		h.mu.Unlock()
		if lost {
			return connect.NewError(connect.CodeUnavailable, nil)
		}
		if err := stream.Send(&pb.FleetEvent{Version: version, Confirmed: true, FailureDomain: h.failureDomain}); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-ticker.C:
		}
	}
}

func (h *scriptedHost) Document(ctx context.Context, _ *connect.Request[pb.DocumentRequest]) (*connect.Response[pb.DocumentResponse], error) {
	version, err := (*h.answer.Load())(ctx, h.fetches.Add(1))
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	content, err := document.Compress([]byte("content"))
	if err != nil {
		h.t.Error(err)
	}
	return connect.NewResponse(&pb.DocumentResponse{Version: version, Content: content}), nil
}

// writeSlowly answers a fetch with the body after bodyDelay.
func (h *scriptedHost) writeSlowly(w http.ResponseWriter, r *http.Request) {
	response, err := h.Document(r.Context(), nil)
	if err != nil {
		h.t.Error(err)
		return
	}
	body, err := proto.Marshal(response.Msg)
	if err != nil {
		h.t.Error(err)
	}
	_, _ = io.Copy(io.Discard, r.Body) // the client may be gone
	w.Header().Set("Content-Type", "application/proto")
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	for i := 0; h.slowTime > 0 && i < len(body) && wait.For(r.Context(), h.slowTime/time.Duration(len(body))); i++ {
		_, _ = w.Write(body[i : i+1])
		_ = http.NewResponseController(w).Flush()
	}
	if h.slowTime > 0 {
		return
	}
	for h.dripInterval > 0 && r.Context().Err() == nil {
		_, _ = w.Write(body[:1])
		_ = http.NewResponseController(w).Flush()
		wait.For(r.Context(), h.dripInterval)
	}
	select {
	case <-r.Context().Done():
	case <-time.After(h.bodyDelay):
		_, _ = w.Write(body)
	}
}

// neverAnswers is an answer to a fetch that doesn't come.
func neverAnswers(ctx context.Context, _ int64) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// followScripted starts the follower of an entry in failure domain a and waits until every host is live.
func followScripted(t *testing.T, hosts ...*scriptedHost) (*Follower, *recordingConsumer) {
	c := &recordingConsumer{endpoints: map[string]directory.State{}}
	var urls []string
	for _, h := range hosts {
		urls = append(urls, h.http.URL)
	}
	f := NewFollower(FollowerOptions{EntryName: "e", FailureDomain: "a", SeedURLs: urls, HTTPClient: &http.Client{Transport: &http.Transport{}}, Consumer: c, Logger: discardLogger})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	awaitLiveHosts(NewWithT(t), len(hosts), f)
	return f, c
}

func versionInForce(c *recordingConsumer) func() uint64 {
	return func() uint64 {
		versions, _ := c.document()
		if len(versions) == 0 {
			return 0
		}
		return versions[len(versions)-1]
	}
}

// Guards against fetches from hosts that are lost while a live one has announced a newer version.
func TestLiveHostsAreAskedBeforeLostOnes(t *testing.T) {
	g := NewWithT(t)
	lost, live := []*scriptedHost{startScriptedHost(t, "a"), startScriptedHost(t, "a")}, startScriptedHost(t, "b")
	f, c := followScripted(t, append(lost, live)...)
	for _, h := range lost {
		h.setAnswer(neverAnswers)
		h.announceVersion(10)
	}
	time.Sleep(50 * time.Millisecond) // until the entry knows
	for _, h := range lost {
		h.lose()
	}
	g.Eventually(func() int { return f.Status().LiveHostCount }, "1s", "1ms").Should(Equal(1))
	startedAt := time.Now()
	live.announceVersion(9)
	g.Eventually(versionInForce(c), "5s", "1ms").Should(Equal(uint64(9)))
	t.Logf("in force %v after a live host announced it", time.Since(startedAt))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", fetchTimeout+200*time.Millisecond), "no more than the fetch that ran before")
}

// Guards against fetches without a pause from a host that announces a version and answers with an older one.
func TestHostBehindItsAnnouncementIsNotAskedWithoutAPause(t *testing.T) {
	g := NewWithT(t)
	behind := startScriptedHost(t, "a")
	behind.setAnswer(func(context.Context, int64) (uint64, error) { return 4, nil })
	_, c := followScripted(t, behind)
	behind.announceVersion(5)
	g.Eventually(versionInForce(c), "1s", "1ms").Should(Equal(uint64(4)))
	time.Sleep(time.Second)
	fetches := behind.fetches.Load()
	t.Log("fetches in a second:", fetches)
	g.Expect(fetches).To(BeNumerically("<=", 20))
	behind.setAnswer(func(context.Context, int64) (uint64, error) { return 5, nil })
	g.Eventually(versionInForce(c), "2s", "1ms").Should(Equal(uint64(5)))
}

// Guards against a version that is forgotten after a failed fetch, until the host's next event.
func TestFailedFetchIsRepeatedWithoutAnotherEvent(t *testing.T) {
	g := NewWithT(t)
	host := startScriptedHost(t, "a")
	_, c := followScripted(t, host)
	host.setAnswer(func(_ context.Context, fetch int64) (uint64, error) {
		if fetch == 1 {
			return 0, &StateOutdatedError{}
		}
		return 5, nil
	})
	startedAt := time.Now()
	host.announceVersion(5)
	g.Eventually(versionInForce(c), "2s", "1ms").Should(Equal(uint64(5)))
	t.Logf("in force after %v", time.Since(startedAt))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", keepAliveInterval*3/4))
}

// Guards against a host that accepts a fetch and never answers, which delays a version that others have announced too.
func TestSilentFetchesDontDelayAVersion(t *testing.T) {
	const limit = 1300 * time.Millisecond // less than two fetches one after the other
	for name, count := range map[string]int{"one silent host": 1, "two silent hosts": 2, "four silent hosts": 4} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			answering := startScriptedHost(t, "b")
			hosts := []*scriptedHost{answering}
			for range count {
				silent := startScriptedHost(t, "a")
				silent.setAnswer(neverAnswers)
				hosts = append(hosts, silent)
			}
			_, c := followScripted(t, hosts...)
			slowest := time.Duration(0)
			for version := uint64(1); version <= 5; version++ {
				startedAt := time.Now()
				for _, h := range hosts {
					h.announceVersion(version)
				}
				g.Eventually(versionInForce(c), "10s", "1ms").Should(Equal(version))
				slowest = max(slowest, time.Since(startedAt))
			}
			t.Logf("the slowest version was in force after %v", slowest)
			g.Expect(slowest).To(BeNumerically("<", limit))
		})
	}
}

// Guards against fetches of the same document that slow each other down on a slow link.
func TestResponseThatHasBegunIsFetchedOnce(t *testing.T) {
	g := NewWithT(t)
	slow, other := startScriptedHost(t, "a"), startScriptedHost(t, "b")
	slow.bodyDelay = 3 * parallelFetchDelay
	_, c := followScripted(t, slow, other)
	slow.announceVersion(5)
	other.announceVersion(5)
	g.Eventually(versionInForce(c), "5s", "1ms").Should(Equal(uint64(5)))
	g.Expect(slow.fetches.Load()).To(Equal(int64(1)))
	g.Expect(other.fetches.Load()).To(BeZero())
}

// Guards against an entry that never gets a configuration over a link on which it takes longer than the timeout of a fetch.
func TestFetchesThatTakeLongComeThrough(t *testing.T) {
	g := NewWithT(t)
	host := startScriptedHost(t, "a")
	host.setAnswer(func(ctx context.Context, _ int64) (uint64, error) {
		select {
		case <-ctx.Done():
			return 0, ctx.Err()
		case <-time.After(fetchTimeout + 300*time.Millisecond):
			return 5, nil
		}
	})
	_, c := followScripted(t, host)
	startedAt := time.Now()
	host.announceVersion(5)
	g.Eventually(versionInForce(c), "5s", "1ms").Should(Equal(uint64(5)))
	t.Logf("in force after %v", time.Since(startedAt))
}

// Guards against fetches from silent hosts that are given more time, and keep a host that answers from being asked.
func TestSilentFetchesMakeRoomForOtherHosts(t *testing.T) {
	g := NewWithT(t)
	answering := startScriptedHost(t, "b")
	hosts := []*scriptedHost{answering}
	for range maxParallelFetches {
		silent := startScriptedHost(t, "a")
		silent.setAnswer(neverAnswers)
		hosts = append(hosts, silent)
	}
	_, c := followScripted(t, hosts...)
	for _, h := range hosts[1:] {
		h.announceVersion(5)
	}
	time.Sleep(6 * fetchTimeout) // until fetches are given more time
	startedAt := time.Now()
	answering.announceVersion(5)
	g.Eventually(versionInForce(c), "10s", "1ms").Should(Equal(uint64(5)))
	t.Logf("in force after %v", time.Since(startedAt))
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", fetchTimeout+200*time.Millisecond))
}
