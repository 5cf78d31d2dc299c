package fleet

import (
	"bytes"
	"context"
	"fmt"
	"hash/crc32"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strconv"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/journal"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
)

// reopenTimeout limits the waits of these tests; no result depends on it.
const reopenTimeout = 30 * time.Second

// logHost is a control host with a data folder.
type logHost struct {
	*ReplicaSupervisor
	folder string
}

// startLogHosts starts control hosts that form a cluster and end with the test.
func startLogHosts(t *testing.T, count int) []*logHost { return startAdjustedLogHosts(t, count, nil) }

// startAdjustedLogHosts is startLogHosts; adjust may change the options of each host.
func startAdjustedLogHosts(t *testing.T, count int, adjust func(*replica.Options)) []*logHost {
	var members []replica.Member
	var listeners []*httptest.Server
	for i := range count {
		server := httptest.NewUnstartedServer(nil)
		server.Config.Protocols = new(http.Protocols)
		server.Config.Protocols.SetHTTP1(true)
		server.Config.Protocols.SetUnencryptedHTTP2(true)
		listeners = append(listeners, server)
		members = append(members, replica.Member{ID: uint64(i + 1), URL: "http://" + server.Listener.Addr().String()})
	}
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	var hosts []*logHost
	for i, server := range listeners {
		folder := t.TempDir()
		options := replica.Options{ID: members[i].ID, ClusterName: "c", DataDir: folder, SelfURL: members[i].URL,
			InitialMembers: members, JoinMembers: members, Bootstrap: true, MinVoters: count, HTTPClient: rpc.Client(nil), Logger: discardLogger}
		if adjust != nil {
			adjust(&options)
		}
		h := &logHost{folder: folder, ReplicaSupervisor: NewReplicaSupervisor(options)}
		hosts = append(hosts, h)
		server.Config.Handler = h.Handler("/")
		server.Start()
		group.Go(func() { _ = h.Run(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
		for _, server := range listeners {
			server.CloseClientConnections()
			server.Close()
		}
	})
	return hosts
}

// propose stores a command through a host.
func (h *logHost) propose(g *WithT, command []byte) {
	g.EventuallyWithOffset(1, func() error {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := h.Propose(ctx, command)
		return err
	}, reopenTimeout, "20ms").Should(Succeed())
}

// fillDisk makes every write to the open journal fail as on a full disk, until the data folder is
// opened again.
func (h *logHost) fillDisk(g *WithT) {
	full, err := os.OpenFile("/dev/full", os.O_RDWR, 0)
	g.Expect(err).NotTo(HaveOccurred())
	defer full.Close()
	descriptors, err := os.ReadDir("/proc/self/fd")
	g.Expect(err).NotTo(HaveOccurred())
	found := false
	for _, d := range descriptors {
		if target, _ := os.Readlink("/proc/self/fd/" + d.Name()); target != filepath.Join(h.folder, journal.FileName) {
			continue
		}
		number, err := strconv.Atoi(d.Name())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(syscall.Dup3(int(full.Fd()), number, syscall.O_CLOEXEC)).To(Succeed())
		found = true
	}
	g.Expect(found).To(BeTrue(), "the journal is open")
}

// snapshotOf returns the state of a host, nil while it has none.
func (h *logHost) snapshotOf() []byte {
	machine := h.State().Machine
	if machine == nil {
		return nil
	}
	snapshot, err := machine.Snapshot()
	if err != nil {
		return nil
	}
	return snapshot
}

// expectEqualCopies waits until all hosts have applied the same entries and compares their state.
func expectEqualCopies(g *WithT, hosts []*logHost) {
	g.EventuallyWithOffset(1, func() error {
		for _, h := range hosts {
			if status := h.Status(); status.AppliedIndex == 0 || status.AppliedIndex != status.CommitIndex || status.CommitIndex != hosts[0].Status().CommitIndex {
				return fmt.Errorf("host %d has applied %d of %d", status.ID, status.AppliedIndex, status.CommitIndex)
			}
		}
		return nil
	}, reopenTimeout, "5ms").Should(Succeed())
	want := hosts[0].snapshotOf()
	g.ExpectWithOffset(1, want).NotTo(BeEmpty())
	for _, h := range hosts[1:] {
		g.ExpectWithOffset(1, h.snapshotOf()).To(Equal(want), "host %d", h.Status().ID)
	}
}

// Guards against a host whose disk was full and which applies its log once more on top of the state
// that it has built from it: its record of duties then differs for good.
func TestLogIsAppliedOnceAfterAFullDisk(t *testing.T) {
	for _, filled := range []string{"leader", "follower"} {
		t.Run(filled, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			hosts := startLogHosts(t, 3)
			hosts[0].propose(g, document.EncodeCommand(3, []byte("three")))
			hosts[0].propose(g, document.EncodeQuarantineCommand(document.Quarantine, 7))
			hosts[0].propose(g, document.EncodeQuarantineCommand(document.Release, 7))
			hosts[0].propose(g, document.EncodeServedCommand(origin.Change{Origin: origin.Origin{Service: "s", Version: "1"}, Presence: origin.Serving}))
			hosts[0].propose(g, document.EncodeDutyCommand(duty.EncodeAcquire(1, "a", 11, 1, duty.Holding{})))
			hosts[0].propose(g, document.EncodeDutyCommand(duty.EncodeRenew(duty.Holdership{Token: 1, Life: 11, Stamp: 2})))
			expectEqualCopies(g, hosts)

			var reopened, other *logHost
			g.Eventually(func() bool {
				for i, h := range hosts {
					if status := h.Status(); status.IsVoter && status.LeaderID != 0 && (status.LeaderID == status.ID) == (filled == "leader") {
						reopened, other = h, hosts[(i+1)%len(hosts)]
					}
				}
				return reopened != nil
			}, reopenTimeout).Should(BeTrue())
			before := reopened.State().Machine
			reopened.fillDisk(g)
			other.propose(g, document.EncodeCommand(4, []byte("four")))
			g.Eventually(func() bool { now := reopened.State().Machine; return now != nil && now != before }, reopenTimeout, "5ms").Should(BeTrue(), "the data folder is opened again")
			record, _ := other.State().Machine.Duties()
			other.propose(g, document.EncodeDutyCommand(duty.EncodeAcquire(2, "b", 12, 1, record.Holding)))
			expectEqualCopies(g, hosts)
			record, _ = reopened.State().Machine.Duties()
			g.Expect(record.Holding.Host).To(Equal(uint64(2)), "there is one holder")
		})
	}
}

// Guards against a host with an empty data folder that stays out for good since its disk was full at first.
func TestNewHostsVoteOnceTheirDisksHaveRoom(t *testing.T) {
	const childVariable = "NEW_HOSTS_TEST_CHILD"
	if os.Getenv(childVariable) == "" { // the limit is for all files of a process
		command := exec.Command(os.Args[0], "-test.run=^"+t.Name()+"$")
		command.Env = append(os.Environ(), childVariable+"=1")
		if out, err := command.CombinedOutput(); err != nil {
			t.Fatalf("%v\n%s", err, out)
		}
		return
	}
	g := NewWithT(t)
	signal.Ignore(syscall.SIGXFSZ)
	var limit syscall.Rlimit
	g.Expect(syscall.Getrlimit(syscall.RLIMIT_FSIZE, &limit)).To(Succeed())
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &syscall.Rlimit{Cur: 100, Max: limit.Max})).To(Succeed())
	hosts := startLogHosts(t, 3)
	for _, h := range hosts {
		g.Eventually(func() ([]os.DirEntry, error) { return os.ReadDir(h.folder) }, reopenTimeout, "5ms").ShouldNot(BeEmpty(), "an opening began")
	}
	g.Expect(syscall.Setrlimit(syscall.RLIMIT_FSIZE, &limit)).To(Succeed())
	for _, h := range hosts {
		g.Eventually(func() bool { return h.Status().IsVoter }, reopenTimeout, "20ms").Should(BeTrue())
	}
	hosts[0].propose(g, document.EncodeCommand(3, []byte("three")))
	expectEqualCopies(g, hosts)
}

// Guards against a host whose data folder stays closed because the confirmation of its last opening waits for hosts that don't answer.
func TestFolderIsOpenedAgainWhileItsLastOpeningIsNotConfirmed(t *testing.T) {
	g := NewWithT(t)
	p := startPausableHosts(t, 3, 0)
	p.hosts[0].propose(g, document.EncodeCommand(3, []byte("three")))
	for _, h := range p.hosts {
		g.Eventually(func() bool { return h.State().UpToDate && voterCount(h) == 3 }, reopenTimeout, "5ms").Should(BeTrue())
	}
	leader := p.leader()
	g.Expect(leader).NotTo(Equal(-1))
	filled := (leader + 1) % 3
	h := p.hosts[filled]
	// reopen fills the disk and returns once the data folder is open again.
	reopen := func(version uint64) {
		before := h.State().Machine
		h.fillDisk(g)
		g.Eventually(func() bool {
			p.hosts[leader].propose(g, document.EncodeCommand(version, []byte("new")))
			return h.running() == nil
		}, reopenTimeout, "5ms").Should(BeTrue())
		g.Eventually(func() bool { now := h.State().Machine; return now != nil && now != before }, ackBound, "5ms").Should(BeTrue(), "the data folder is open again")
	}
	p.unconfirmed[filled].Store(true)
	reopen(4)
	g.Expect(h.State().UpToDate).To(BeFalse())
	reopen(5)
	p.unconfirmed[filled].Store(false)
	g.Eventually(func() bool { return h.State().UpToDate }, reopenTimeout, "5ms").Should(BeTrue())
}

// Guards against a report that reaches a closed opening late and puts it in the place of the present one.
func TestLateReportDoesNotBringAClosedOpeningBack(t *testing.T) {
	g := NewWithT(t)
	hosts := startLogHosts(t, 3)
	hosts[0].propose(g, document.EncodeCommand(3, []byte("three")))
	proposeRenewals(g, hosts[0])
	expectEqualCopies(g, hosts)
	g.Eventually(func() int { return voterCount(hosts[1]) }, reopenTimeout).Should(Equal(3), "a verdict needs a majority")
	closed := hosts[1].running()
	call := func(procedure string, request proto.Message) []byte {
		body, err := proto.Marshal(request)
		g.Expect(err).NotTo(HaveOccurred())
		w := httptest.NewRecorder()
		r := httptest.NewRequest(http.MethodPost, procedure, bytes.NewReader(body))
		r.Header.Set("Content-Type", "application/proto")
		closed.handler.ServeHTTP(w, r)
		return w.Body.Bytes()
	}
	var own pb.StateResponse
	g.Eventually(func() int {
		if proto.Unmarshal(call(trefoilkeelv1connect.PeerServiceStateProcedure, &pb.StateRequest{Cluster: "c"}), &own) != nil {
			return 0
		}
		return len(own.GetDigests().GetGroups())
	}, reopenTimeout, "5ms").Should(Equal(1))
	report := own.Digests
	report.Groups[0].Sums[0]++
	report.Groups[0].Hosts = []uint64{1, 3}
	encoded, err := proto.Marshal(report)
	g.Expect(err).NotTo(HaveOccurred())

	hosts[1].fillDisk(g)
	hosts[0].propose(g, document.EncodeCommand(4, []byte("four")))
	g.Eventually(func() bool { now := hosts[1].running(); return now != nil && now.Replica != closed.Replica }, reopenTimeout, "5ms").Should(BeTrue())
	call(trefoilkeelv1connect.PeerServiceStepProcedure, &pb.StepRequest{Cluster: "c", From: 1, To: 2, Digests: encoded,
		DigestsChecksum: crc32.Checksum(encoded, crc32.MakeTable(crc32.Castagnoli))})
	g.Expect(hosts[1].running().Replica != closed.Replica).To(BeTrue(), "the present opening stays")
	expectEqualCopies(g, hosts)
}

// openingHandler calls a function once a data folder has been opened, before its log is run.
type openingHandler struct {
	slog.Handler
	opened func()
}

func (h openingHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h openingHandler) Handle(_ context.Context, r slog.Record) error {
	if r.Message == "replica opened" {
		h.opened()
	}
	return nil
}

// Guards against a host that goes on to ask hosts that are gone for its admission, because the list changed while its
// data folder was being opened.
func TestHostsToJoinThroughMayChangeDuringAnOpening(t *testing.T) {
	g := NewWithT(t)
	asked := make(chan struct{}, 1)
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		select {
		case asked <- struct{}{}:
		default:
		}
	}))
	server.Config.Protocols = new(http.Protocols)
	server.Config.Protocols.SetUnencryptedHTTP2(true)
	server.Start()
	defer server.Close()
	var s *ReplicaSupervisor
	handler := openingHandler{discardLogger.Handler(), func() {
		s.SetJoinMembers([]replica.Member{{ID: 3, URL: server.URL}})
	}}
	client := rpc.Client(nil)
	defer client.CloseIdleConnections()
	s = NewReplicaSupervisor(replica.Options{ID: 1, ClusterName: "c", DataDir: t.TempDir(), SelfURL: "http://127.0.0.1:1", MinVoters: 1,
		JoinMembers: []replica.Member{{ID: 2, URL: "http://127.0.0.1:1"}}, HTTPClient: client, Logger: slog.New(handler)})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	defer func() { cancel(); <-done }()
	g.Eventually(asked, reopenTimeout).Should(Receive())
}

// Guards against a data folder that stays closed after its disk was full, because the seeds no longer name its host: the
// hosts to join through say nothing about a folder that belongs to a cluster.
func TestDataFolderOpensWhateverTheHostsToJoinThroughAre(t *testing.T) {
	unreachable := func(id uint64) replica.Member { return replica.Member{ID: id, URL: "http://127.0.0.1:1"} }
	otherRole := httptest.NewServer(http.NotFoundHandler())
	defer otherRole.Close()
	for name, lists := range map[string]func(initial []replica.Member) [][]replica.Member{
		"this host removed": func(initial []replica.Member) [][]replica.Member { return [][]replica.Member{initial[1:]} },
		"this host moved": func(initial []replica.Member) [][]replica.Member {
			return [][]replica.Member{{unreachable(1), initial[1], initial[2]}}
		},
		"all others exchanged": func(initial []replica.Member) [][]replica.Member {
			return [][]replica.Member{{initial[0], unreachable(4), unreachable(5)}}
		},
		"all exchanged": func([]replica.Member) [][]replica.Member {
			return [][]replica.Member{{unreachable(4), unreachable(5), unreachable(6)}}
		},
		"none left": func([]replica.Member) [][]replica.Member { return [][]replica.Member{nil} },
		"another role": func([]replica.Member) [][]replica.Member {
			return [][]replica.Member{{{ID: 4, URL: otherRole.URL}}}
		},
		"exchanged twice": func(initial []replica.Member) [][]replica.Member {
			return [][]replica.Member{{unreachable(4)}, {unreachable(5), unreachable(6)}}
		},
		"exchanged and back": func(initial []replica.Member) [][]replica.Member {
			return [][]replica.Member{{unreachable(4)}, initial}
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var initial []replica.Member
			hosts := startAdjustedLogHosts(t, 3, func(o *replica.Options) { initial = o.InitialMembers })
			for _, h := range hosts {
				g.Eventually(func() bool { return h.Status().IsVoter }, reopenTimeout, "5ms").Should(BeTrue())
			}
			hosts[0].propose(g, document.EncodeCommand(1, []byte("one")))
			for _, members := range lists(initial) {
				for _, h := range hosts {
					h.SetJoinMembers(members)
				}
			}
			for i, h := range hosts {
				opening := h.State().Replaced
				h.fillDisk(g)
				hosts[(i+1)%3].propose(g, document.EncodeCommand(uint64(i+2), []byte("change")))
				g.Eventually(opening, reopenTimeout).Should(BeClosed(), "the disk of host %d was full", i+1)
				g.Eventually(func() bool {
					status := h.Status()
					return status.IsVoter && status.LeaderID != 0 && h.State().UpToDate
				}, "5s", "5ms").Should(BeTrue(), "host %d counts again", i+1)
			}
			expectEqualCopies(g, hosts)
		})
	}
}

// Guards against a host that forms a second cluster in place of the one that it belonged to, once its data folder was
// emptied. It is the only voter, so that no other host keeps it from that.
func TestHostThatBelongedToAClusterFormsNoOtherOne(t *testing.T) {
	g := NewWithT(t)
	host := startLogHosts(t, 1)[0]
	host.propose(g, document.EncodeCommand(1, []byte("one")))
	opening := host.State().Replaced
	host.fillDisk(g)
	g.Expect(os.Remove(filepath.Join(host.folder, journal.FileName))).To(Succeed())
	_, err := host.Propose(t.Context(), document.EncodeCommand(2, []byte("two")))
	g.Expect(err).To(HaveOccurred())
	g.Eventually(opening, reopenTimeout).Should(BeClosed())
	g.Eventually(func() bool { return host.running() != nil }, reopenTimeout, "5ms").Should(BeTrue())
	g.Consistently(func() bool { return host.Status().IsVoter }, "1s", "5ms").Should(BeFalse())
	g.Expect(host.Status().UnavailableReason).To(ContainSubstring("was emptied"))
}

// Guards against an error that lasts until an operator acts and that is reported as one of the disk, once a second.
func TestErrorThatNeedsAnOperatorIsReportedAsSuch(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	other, _, err := journal.Open(folder, "c", 2)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(other.Close()).To(Succeed())
	log := &logRecorder{}
	registry := metrics.New()
	s := NewReplicaSupervisor(replica.Options{ID: 1, ClusterName: "c", DataDir: folder, SelfURL: "http://127.0.0.1:1",
		HTTPClient: rpc.Client(nil), Logger: log.logger(), Metrics: registry})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); _ = s.Run(ctx) }()
	defer func() { cancel(); <-done }()
	g.Eventually(func() int64 { return registry.CounterValue(metrics.LogFailures) }, reopenTimeout, "5ms").Should(BeNumerically(">=", 3))
	g.Expect(gaugeValue(g, registry, metrics.LogBlocked)).To(Equal(1.0))
	g.Expect(log.with("data folder can't be opened until an operator acts")).To(HaveLen(1))
	g.Expect(log.with("data folder failed, opening it again")).To(BeEmpty())

	g.Expect(os.Remove(filepath.Join(folder, journal.FileName))).To(Succeed())
	g.Eventually(func() float64 { return gaugeValue(g, registry, metrics.LogOpen) }, reopenTimeout, "5ms").Should(Equal(1.0))
	g.Expect(gaugeValue(g, registry, metrics.LogBlocked)).To(Equal(0.0))
}
