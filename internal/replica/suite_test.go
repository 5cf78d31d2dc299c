package replica

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/answer"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

func TestReplica(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "replica")
}

// eventuallyTimeout bounds the waits of the specs. No result depends on its
// length, so it is long enough for a slow machine.
const eventuallyTimeout = 60 * time.Second

// listMachine keeps the list of the applied commands. It ignores a command that
// is in the list already, as after a retried proposal.
type listMachine struct {
	mu    sync.Mutex
	items []string
}

func (m *listMachine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	if i := slices.Index(m.items, string(command)); i >= 0 {
		return []byte(strconv.Itoa(i+1) + ":" + string(command))
	}
	m.items = append(m.items, string(command))
	return []byte(strconv.Itoa(len(m.items)) + ":" + string(command))
}

func (m *listMachine) Snapshot() ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return json.Marshal(m.items)
}

func (m *listMachine) Restore(b []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items = nil
	return json.Unmarshal(b, &m.items)
}

func (m *listMachine) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]string(nil), m.items...)
}

// stalledBytes is more than a message without a snapshot has in these tests.
const stalledBytes = 16 << 10

// redirectedTransport makes the calls of a host go to its silent peer, if it has one.
type redirectedTransport struct {
	host *testHost
	base http.RoundTripper
}

func (t *redirectedTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if silent := t.host.silent.Load(); silent != nil {
		r = r.Clone(r.Context())
		r.URL.Host = (*silent).Addr().String()
	}
	return t.base.RoundTrip(r)
}

func (t *redirectedTransport) CloseIdleConnections() {
	t.base.(*answer.Transport).CloseIdleConnections()
}

// testHost is a control host on the loopback interface.
type testHost struct {
	id         uint64
	dir        string
	url        string
	listener   net.Listener
	machine    *listMachine
	replica    *Replica
	stop       func()
	disk       *fullDisk
	ended      chan struct{} // closed once the replica has ended with err
	err        error
	stalls     atomic.Bool                  // leaves calls for its state and those of more than stalledBytes unread
	stalled    atomic.Bool                  // it has
	lacksParts atomic.Bool                  // serves no SnapshotPart, as builds before it
	link       *link                        // over which it receives; nil for an ordinary one
	silent     atomic.Pointer[net.Listener] // a peer in the place of all others, see startSilentPeer
}

// testCluster is a set of control hosts in this process.
type testCluster struct {
	tb              testing.TB
	members         []Member
	hosts           map[uint64]*testHost
	adjustOptions   func(*Options)
	disks           map[uint64]*fullDisk // by host; none for most
	connectionBytes atomic.Int64         // read and written by the accepting ends of all connections
}

// fullDisk is a data folder whose writes fail while full is set.
type fullDisk struct {
	store
	full atomic.Bool
}

// errDiskFull is the error of a fullDisk.
var errDiskFull = errors.New("no space left on device")

func (d *fullDisk) Write(b *consensus.WriteBatch) error {
	if d.full.Load() {
		return errDiskFull
	}
	return d.store.Write(b)
}

func (d *fullDisk) WriteSnapshot(s consensus.Snapshot, compactIndex uint64) error {
	if d.full.Load() {
		return errDiskFull
	}
	return d.store.WriteSnapshot(s, compactIndex)
}

// countedConn counts the bytes read from and written to a connection.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// countedListener counts the bytes of all accepted connections.
type countedListener struct {
	net.Listener
	bytes *atomic.Int64
}

func (l *countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	return &countedConn{Conn: conn, bytes: l.bytes}, err
}

func newCluster(tb testing.TB, count int, adjust func(*Options)) *testCluster {
	c := &testCluster{tb: tb, hosts: map[uint64]*testHost{}, adjustOptions: adjust}
	dir := tb.TempDir()
	for id := uint64(1); id <= uint64(count); id++ {
		h := &testHost{id: id, dir: filepath.Join(dir, strconv.FormatUint(id, 10))}
		c.listen(h)
		c.hosts[id] = h
		c.members = append(c.members, Member{ID: id, URL: h.url})
	}
	for id := range c.hosts {
		c.start(id, true)
	}
	tb.Cleanup(func() {
		for id := range c.hosts {
			c.kill(id)
		}
	})
	return c
}

// listen opens the host's listener, at the same address after a restart.
func (c *testCluster) listen(h *testHost) {
	address := "127.0.0.1:0"
	if h.url != "" {
		address = h.url[len("http://"):]
	}
	listener, err := net.Listen("tcp", address)
	Expect(err).NotTo(HaveOccurred())
	h.url = "http://" + listener.Addr().String()
	if h.link != nil {
		listener = &linkListener{Listener: listener, link: h.link}
	}
	h.listener = &countedListener{Listener: listener, bytes: &c.connectionBytes}
}

func (c *testCluster) start(id uint64, bootstrap bool) {
	h := c.hosts[id]
	if h.listener == nil {
		c.listen(h)
	}
	h.machine = &listMachine{}
	client := rpc.Client(nil)
	client.Transport = &redirectedTransport{host: h, base: client.Transport}
	options := Options{ID: id, ClusterName: "test", DataDir: h.dir, SelfURL: h.url, InitialMembers: c.members, JoinMembers: c.members,
		Bootstrap: bootstrap, NewStateMachine: func() StateMachine { return h.machine }, HTTPClient: client}
	if c.adjustOptions != nil {
		c.adjustOptions(&options)
	}
	var err error
	h.replica, err = Open(options)
	Expect(err).NotTo(HaveOccurred())
	mux := http.NewServeMux()
	if h.disk = c.disks[id]; h.disk == nil {
		h.disk = &fullDisk{}
	}
	h.disk.store, h.replica.journal = h.replica.journal, h.disk
	path, handler := h.replica.Handler()
	mux.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
		if h.stalls.Load() && (r.ContentLength > stalledBytes || r.URL.Path == trefoilkeelv1connect.PeerServiceStateProcedure) {
			h.stalled.Store(true)
			<-r.Context().Done()
			return
		}
		if h.lacksParts.Load() && r.URL.Path == trefoilkeelv1connect.PeerServiceSnapshotPartProcedure {
			http.NotFound(w, r)
			return
		}
		handler.ServeHTTP(w, r)
	})
	// Not rpc.Serve, since the server is closed without a graceful shutdown.
	server := &http.Server{Handler: mux, Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(true)
	server.Protocols.SetUnencryptedHTTP2(true)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	h.ended = ended
	listener := h.listener // h.stop sets h.listener to nil, perhaps before Serve is called
	go func() { _ = server.Serve(listener) }()
	go func() { h.err = h.replica.Run(ctx); close(ended) }()
	h.stop = func() {
		_ = server.Close()
		cancel()
		<-ended
		if !h.disk.full.Load() {
			Expect(h.err).To(Succeed())
		}
		client.CloseIdleConnections()
		h.listener, h.stop = nil, nil
	}
}

// kill stops a host without transferring the leadership.
func (c *testCluster) kill(id uint64) {
	if h := c.hosts[id]; h.stop != nil {
		h.stop()
	}
}

// waitForLeader waits until a running host leads, and returns it.
func (c *testCluster) waitForLeader() *testHost {
	var leader *testHost
	Eventually(func() *testHost {
		leader = nil
		for _, h := range c.hosts {
			if h.stop != nil && h.replica.Status().IsLeader {
				leader = h
			}
		}
		return leader
	}, eventuallyTimeout, 5*time.Millisecond).ShouldNot(BeNil())
	return leader
}

// waitForVoters waits until the leader counts that many voters.
func (c *testCluster) waitForVoters(count int) {
	Eventually(func() int {
		n := 0
		for _, m := range c.waitForLeader().replica.Status().Members {
			if m.IsVoter {
				n++
			}
		}
		return n
	}, eventuallyTimeout, 5*time.Millisecond).Should(Equal(count))
}

// proposeUntilApplied proposes a command on a host, and retries until it is
// applied.
func (c *testCluster) proposeUntilApplied(id uint64, command string) {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	for {
		_, err := c.hosts[id].replica.Propose(ctx, []byte(command))
		if err == nil {
			return
		}
		Expect(ctx.Err()).NotTo(HaveOccurred())
		Expect(err).To(Or(BeAssignableToTypeOf(&NotRecordedError{}), BeAssignableToTypeOf(&OutcomeUnknownError{})))
	}
}

// startStallingLearner starts host 4, and returns once it leaves a snapshot unread.
func (c *testCluster) startStallingLearner(leader *testHost) {
	learner := &testHost{id: 4, dir: c.tb.TempDir()}
	learner.stalls.Store(true)
	c.listen(learner)
	c.hosts[4] = learner
	Expect(leader.replica.AddMember(context.Background(), 4, learner.url)).To(Succeed())
	c.start(4, false)
	Eventually(learner.stalled.Load, eventuallyTimeout).Should(BeTrue())
}
