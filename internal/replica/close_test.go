package replica

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
)

// closeBound is the stated bound in which a host is back in service.
const closeBound = 4 * time.Second

// Guards against a replica that does not end after a failed write, so that its data folder stays closed for good.
var _ = DescribeTable("a replica whose disk fails ends", func(prepare func(c *testCluster, leader *testHost)) {
	c := newCluster(GinkgoTB(), 3, func(o *Options) { o.SnapshotIntervalEntries, o.Ephemeral = 16, o.ID > 3 })
	c.waitForVoters(3)
	leader := c.waitForLeader()
	c.proposeUntilApplied(leader.id, "a")
	prepare(c, leader)
	leader.disk.full.Store(true)
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	_, err := leader.replica.Propose(ctx, []byte("b"))
	Expect(err).To(HaveOccurred())
	Eventually(leader.ended, closeBound).Should(BeClosed())
	GinkgoWriter.Println("ended after", time.Since(began))
	Expect(leader.err).To(MatchError(errDiskFull))
	c.kill(leader.id)
	c.start(leader.id, true)
	c.proposeUntilApplied(leader.id, "c")
},
	Entry("while nothing else is wrong", func(*testCluster, *testHost) {}),
	Entry("while its peers never answer", func(_ *testCluster, leader *testHost) { startSilentPeer(leader, true) }),
	Entry("while its peers read nothing of a large message", func(_ *testCluster, leader *testHost) {
		startSilentPeer(leader, false)
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		_, _ = leader.replica.Propose(ctx, []byte(strings.Repeat("b", MaxCommandBytes)))
	}),
	Entry("while it sends a snapshot to a peer that reads nothing", func(c *testCluster, leader *testHost) {
		c.proposeUntilApplied(leader.id, strings.Repeat("b", MaxCommandBytes/2))
		for i := range 32 {
			c.proposeUntilApplied(leader.id, strconv.Itoa(i))
		}
		c.startStallingLearner(leader)
	}),
	Entry("while it repairs its copy of the state and its peers never answer", func(_ *testCluster, leader *testHost) {
		startSilentPeer(leader, true)
		leader.replica.giveUp(1)
		Eventually(func() consensus.Role { return leader.replica.nodeStatus.Load().Role }, eventuallyTimeout).Should(Equal(consensus.Follower))
	}),
	Entry("while its queue of messages is full", func(_ *testCluster, leader *testHost) {
		for leader.replica.messages.TryPut(nil) == nil {
		}
	}),
)

// startSilentPeer makes all calls of a host go to a peer that leaves them unanswered, or reads nothing, until its replica has ended.
func startSilentPeer(h *testHost, reads bool) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	server := &http.Server{Protocols: new(http.Protocols), Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })}
	server.Protocols.SetUnencryptedHTTP2(true)
	h.silent.Store(&listener)
	ended := h.ended
	go func() {
		<-ended
		h.silent.Store(nil)
		_ = listener.Close()
		_ = server.Close()
	}()
	go func() {
		if reads {
			_ = server.Serve(listener)
			return
		}
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
		}
	}()
}
