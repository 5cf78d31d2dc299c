package fleet

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// pausableHosts are control hosts with logs whose calls can be made to hang, as those of paused processes.
type pausableHosts struct {
	hosts          []*logHost
	paused         []atomic.Bool
	unconfirmed    []atomic.Bool // its own calls for a read index hang
	holdsProposals []atomic.Bool // does not answer forwarded proposals, and goes on otherwise
}

// pauseTransport makes calls from a paused host hang, or just those for a read index.
type pauseTransport struct {
	paused, unconfirmed *atomic.Bool
	base                http.RoundTripper
}

func (p *pauseTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.paused.Load() || p.unconfirmed.Load() && strings.HasSuffix(r.URL.Path, "/Confirm") {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return p.base.RoundTrip(r)
}

// startPausableHosts starts control hosts that form a cluster and end with the test. Those from the count
// of voters on have no disk.
func startPausableHosts(t *testing.T, voters, others int) *pausableHosts {
	p := &pausableHosts{paused: make([]atomic.Bool, voters+others), unconfirmed: make([]atomic.Bool, voters+others), holdsProposals: make([]atomic.Bool, voters+others)}
	var members []replica.Member
	var servers []*httptest.Server
	for i := range voters + others {
		server := httptest.NewUnstartedServer(nil)
		server.Config.Protocols = new(http.Protocols)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		servers = append(servers, server)
		members = append(members, replica.Member{ID: uint64(i + 1), URL: "http://" + server.Listener.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	for i, server := range servers {
		client := rpc.Client(nil)
		client.Transport = &pauseTransport{paused: &p.paused[i], unconfirmed: &p.unconfirmed[i], base: client.Transport}
		o := replica.Options{ID: members[i].ID, ClusterName: "c", SelfURL: members[i].URL, InitialMembers: members[:voters], JoinMembers: members[:voters],
			Bootstrap: i < voters, MinVoters: voters, HTTPClient: client, Logger: discardLogger}
		if o.Ephemeral = i >= voters; !o.Ephemeral {
			o.DataDir = t.TempDir()
		}
		h := &logHost{folder: o.DataDir, ReplicaSupervisor: NewReplicaSupervisor(o)}
		p.hosts = append(p.hosts, h)
		handler := h.Handler("/")
		server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if p.paused[i].Load() || p.holdsProposals[i].Load() && strings.HasSuffix(r.URL.Path, "/Propose") {
				<-r.Context().Done()
				return
			}
			handler.ServeHTTP(w, r)
		})
		server.Start()
		group.Go(func() { _ = h.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
		for _, server := range servers {
			server.CloseClientConnections()
			server.Close()
		}
	})
	return p
}

// voterCount returns the number of voters that a host knows.
func voterCount(h *logHost) (count int) {
	for _, m := range h.Status().Members {
		if m.IsVoter {
			count++
		}
	}
	return count
}

// leader returns the index of the host that leads, -1 if none does.
func (p *pausableHosts) leader() int {
	for i, h := range p.hosts {
		if s := h.Status(); !p.paused[i].Load() && s.ID != 0 && s.LeaderID == s.ID {
			return i
		}
	}
	return -1
}

// Guards against watches that stay without a version long after a leader was paused: their read barriers
// waited for its answer although the others had elected another one.
func TestWatchIsConfirmedSoonAfterTheLeaderWasPaused(t *testing.T) {
	g := NewWithT(t)
	p := startPausableHosts(t, 3, 1)
	p.hosts[0].propose(g, document.EncodeCommand(3, []byte("three")))
	for _, h := range p.hosts {
		g.Eventually(func() bool { return h.State().UpToDate && voterCount(h) == 3 }, reopenTimeout, "5ms").Should(BeTrue())
	}
	old := p.leader()
	g.Expect(old).NotTo(Equal(-1))
	p.paused[old].Store(true)
	pausedAt := time.Now()
	type confirmation struct {
		host        int
		began, took time.Duration // since the pause, since the election
	}
	confirmations, began := make(chan confirmation, 10000), 0
	for p.leader() == -1 {
		for i, h := range p.hosts {
			if i == old {
				continue
			}
			began++
			go func() {
				c := confirmation{host: i, began: time.Since(pausedAt)}
				retryBarrier(t.Context(), h.ReadBarrier)
				c.took = time.Since(pausedAt)
				confirmations <- c
			}()
		}
		time.Sleep(20 * time.Millisecond)
	}
	electedAt := time.Now()
	slowest := confirmation{}
	for range began {
		var c confirmation
		g.Eventually(confirmations, reopenTimeout).Should(Receive(&c))
		if c.took -= electedAt.Sub(pausedAt); c.took > slowest.took {
			slowest = c
		}
	}
	t.Logf("elected %v after the pause; slowest of %d: %+v", electedAt.Sub(pausedAt), began, slowest)
	g.Expect(slowest.took).To(BeNumerically("<", confirmTimeout), "since the election")
}
