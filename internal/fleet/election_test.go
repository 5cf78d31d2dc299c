package fleet

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
)

// replicatedHost is a control host whose log is replicated.
type replicatedHost struct {
	*Server
	log  *ReplicaSupervisor
	url  string
	kill func() // ends the host's tasks, its listener and its connections
}

// startReplicatedHosts starts control hosts of one cluster.
func startReplicatedHosts(t *testing.T, count int) []*replicatedHost {
	var listeners []net.Listener
	var members []replica.Member
	for i := range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		listeners = append(listeners, l)
		members = append(members, replica.Member{ID: uint64(i + 1), URL: "http://" + l.Addr().String()})
	}
	var hosts []*replicatedHost
	for i, l := range listeners {
		url := members[i].URL
		log := NewReplicaSupervisor(replica.Options{ID: members[i].ID, ClusterName: "c", DataDir: t.TempDir(), SelfURL: url, InitialMembers: members, JoinMembers: members, Bootstrap: true,
			MinVoters: count, HTTPClient: &http.Client{Transport: &http.Transport{}}, Logger: discardLogger})
		h := &replicatedHost{log: log, url: url, Server: NewServer(ServerOptions{Log: log, State: log, FailureDomain: "a", SelfURL: url, MinVoters: count, HTTPClient: http.DefaultClient, Logger: discardLogger})}
		path, handler := h.Handler()
		mux := http.NewServeMux()
		mux.Handle(path, handler)
		mux.Handle("/", log.Handler("/"))
		server := &httptest.Server{Listener: l, Config: &http.Server{Handler: mux}}
		server.Start()
		ctx, cancel := context.WithCancel(context.Background())
		h.kill = func() {
			cancel()
			_ = l.Close() // closed again at the end of the test
			server.CloseClientConnections()
		}
		done := make(chan struct{}, 2)
		go func() { _ = log.Run(ctx); done <- struct{}{} }()
		go func() { _ = h.Run(ctx); done <- struct{}{} }()
		t.Cleanup(func() { cancel(); <-done; <-done; server.CloseClientConnections(); server.Close() })
		hosts = append(hosts, h)
	}
	return hosts
}

// Guards against streams of the only version that are refused while control hosts elect a leader, and against
// an entry that takes a version for the only one after it has lost two of three hosts.
func TestOnlyVersionIsKnownDuringAnElection(t *testing.T) {
	const pollInterval, electionTime = 5 * time.Millisecond, 3 * time.Second
	const stopTime = 50 * time.Millisecond // in which the leader has stopped
	g := NewWithT(t)
	hosts := startReplicatedHosts(t, 3)
	var urls []string
	for _, h := range hosts {
		urls = append(urls, h.url)
	}
	f := NewFollower(FollowerOptions{EntryName: "e", FailureDomain: "a", SeedURLs: urls, HTTPClient: &http.Client{Transport: &http.Transport{}}, Consumer: &recordingConsumer{endpoints: map[string]directory.State{}}, Logger: discardLogger})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	done := make(chan struct{})
	go func() { defer close(done); _ = f.Run(ctx) }()
	reported := endpoint("e0", 1, directory.Ready)
	reported.Version = "v1"
	g.Expect(hosts[0].UpdateEndpoint(ctx, reported)).To(Succeed())
	service, v1 := reported.Service, origin.Origin{Service: reported.Service, Version: reported.Version}
	allVoteAndHaveRecorded := func() bool {
		for _, h := range hosts {
			view := h.log.State()
			if !view.UpToDate {
				return false
			}
			record, _ := view.Machine.Served()
			members := h.log.Status().Members
			if record.Presence(v1) != origin.Serving || slices.ContainsFunc(members, func(m replica.Member) bool { return !m.IsVoter }) {
				return false
			}
		}
		return true
	}
	g.Eventually(allVoteAndHaveRecorded, "20s").Should(BeTrue())
	isOnly := func() bool {
		found := f.FindStream(ctx, service, 7)
		return found.Complete && len(found.Versions) == 1 && found.Versions["v1"]
	}
	g.Eventually(isOnly, "5s").Should(BeTrue())
	leader := -1
	g.Eventually(func() int {
		id := hosts[0].log.Status().LeaderID
		leader = slices.IndexFunc(hosts, func(h *replicatedHost) bool { return id != 0 && h.log.Status().ID == id })
		return leader
	}, "10s").Should(BeNumerically(">=", 0))
	hosts[leader].kill()
	follower := hosts[(leader+1)%len(hosts)]
	barrierCtx, stopBarrier := context.WithTimeout(ctx, electionTime)
	defer stopBarrier()
	electedAfter := make(chan time.Duration, 1)
	go func(since time.Time) {
		time.Sleep(stopTime)
		_ = follower.log.ReadBarrier(barrierCtx)
		electedAfter <- time.Since(since)
	}(time.Now())
	asked, refused, slowest := 0, 0, time.Duration(0)
	for killedAt := time.Now(); time.Since(killedAt) < electionTime; time.Sleep(pollInterval) {
		started := time.Now()
		if asked++; !isOnly() {
			refused++
		}
		slowest = max(slowest, time.Since(started))
	}
	t.Logf("%d of %d questions without an answer after the leader was lost, the slowest took %v; a read barrier passed again after %v", refused, asked, slowest, <-electedAfter)
	g.Expect(refused).To(BeZero())
	follower.kill()
	g.Expect(f.FindStream(ctx, service, 7).Complete).To(BeFalse())
	cancel()
	<-done
}
