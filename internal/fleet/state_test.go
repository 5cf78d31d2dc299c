package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/document"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
)

// replaceableState is a state that a test replaces.
type replaceableState struct {
	mu       sync.Mutex
	view     StateView
	replaced chan struct{}
}

func newReplaceableState(machine *document.StateMachine) *replaceableState {
	s := &replaceableState{replaced: make(chan struct{})}
	s.replace(machine, true)
	return s
}

func (s *replaceableState) State() StateView {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.view
}

func (s *replaceableState) replace(machine *document.StateMachine, upToDate bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	close(s.replaced)
	s.replaced = make(chan struct{})
	s.view = StateView{Machine: machine, UpToDate: upToDate, Replaced: s.replaced}
}

// replacingLog replaces the state during a read barrier.
type replacingLog struct {
	*singleHostLog
	during func()
}

func (l *replacingLog) ReadBarrier(context.Context) error { l.during(); return nil }

// storeDocument applies a document that a quorum has stored.
func storeDocument(g *WithT, machine *document.StateMachine, version uint64, content string) {
	compressed, err := document.Compress([]byte(content))
	g.Expect(err).NotTo(HaveOccurred())
	machine.Apply(version, document.EncodeCommand(version, compressed))
}

// newReplaceableHost starts a control host with a state that holds version 3.
func newReplaceableHost(t *testing.T, g *WithT) (*controlHost, *replaceableState) {
	machine := document.New()
	storeDocument(g, machine, 3, "three")
	state := newReplaceableState(machine)
	log := &singleHostLog{MemoryLog: replica.NewMemoryLog(machine)}
	log.members.Store(&[]replica.Member{{ID: 1, IsVoter: true}})
	return startControlHostWith(t, log, ServerOptions{Log: log, State: state, FailureDomain: "a", MinVoters: 1, HTTPClient: http.DefaultClient, Logger: discardLogger}), state
}

// Guards against watches and fetches that go back to an older document, or to none, while the state is
// built again from the log, and against reads of such a state by operators.
func TestVersionsNeverGoBackWhileTheStateIsBuiltAgain(t *testing.T) {
	g := NewWithT(t)
	host, state := newReplaceableHost(t, g)
	client := trefoilkeelv1connect.NewFleetServiceClient(http.DefaultClient, host.http.URL)
	ctx, cancel := context.WithTimeout(context.Background(), reopenTimeout)
	defer cancel()
	stream, err := client.Watch(ctx, connect.NewRequest(&pb.WatchFleetRequest{Entry: "e1"}))
	g.Expect(err).NotTo(HaveOccurred())
	highest := uint64(0)
	await := func(what string, done func(e *pb.FleetEvent) bool) {
		for {
			g.Expect(stream.Receive()).To(BeTrue(), "%s: %v", what, stream.Err())
			event := stream.Msg()
			g.Expect(event.Version).To(BeNumerically(">=", highest), what)
			if highest = event.Version; done(event) {
				return
			}
		}
	}
	fetch := func() (uint64, error) {
		response, err := client.Document(ctx, connect.NewRequest(&pb.DocumentRequest{}))
		if err != nil {
			return 0, err
		}
		return response.Msg.Version, nil
	}
	isConfirmed := func(e *pb.FleetEvent) bool { return e.Confirmed && e.Version == 3 }
	isUnconfirmed := func(e *pb.FleetEvent) bool { return !e.Confirmed }
	await("confirmed", isConfirmed)

	var closed *DataFolderClosedError
	host.log.quorumLost.Store(true)
	state.replace(nil, false)
	await("data folder closed", isUnconfirmed)
	_, err = fetch()
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
	_, _, err = host.GetDocument(ctx)
	g.Expect(errors.As(err, &closed)).To(BeTrue())
	g.Expect(errors.As(host.PutDocument(ctx, 9, []byte("nine")), &closed)).To(BeTrue())

	rebuilt := document.New()
	storeDocument(g, rebuilt, 1, "one")
	state.replace(rebuilt, false)
	await("state being built", isUnconfirmed)
	_, err = fetch()
	g.Expect(connect.CodeOf(err)).To(Equal(connect.CodeUnavailable))
	_, _, err = host.GetDocument(ctx)
	g.Expect(err).To(HaveOccurred())

	storeDocument(g, rebuilt, 3, "three")
	host.log.quorumLost.Store(false)
	state.replace(rebuilt, true)
	await("confirmed again", isConfirmed)
	g.Expect(fetch()).To(Equal(uint64(3)))
	storeDocument(g, rebuilt, 4, "four")
	await("newer document of the new state", func(e *pb.FleetEvent) bool { return e.Version == 4 })
	version, content, err := host.GetDocument(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(version).To(Equal(uint64(4)))
	g.Expect(string(content)).To(Equal("four"))

	host.log.quorumLost.Store(true)
	state.replace(document.New(), false)
	await("another state at once", isUnconfirmed)
}

// Guards against a read whose barrier was that of one opening of the data folder, and whose state that of another.
func TestReadAcrossAReopeningFails(t *testing.T) {
	g := NewWithT(t)
	machine := document.New()
	state := newReplaceableState(machine)
	log := &replacingLog{singleHostLog: &singleHostLog{MemoryLog: replica.NewMemoryLog(machine)}, during: func() { state.replace(document.New(), true) }}
	server := NewServer(ServerOptions{Log: log, State: state, Logger: discardLogger})
	_, _, err := server.GetDocument(context.Background())
	var replaced *StateReplacedError
	g.Expect(errors.As(err, &replaced)).To(BeTrue())
}

// Guards against quarantines that are lifted, or exonerations that are forgotten, because they are missing
// in a state that is still being built.
func TestQuarantineOutlastsAReopening(t *testing.T) {
	g := NewWithT(t)
	host, state := newReplaceableHost(t, g)
	machine := state.State().Machine
	machine.Apply(4, document.EncodeQuarantineCommand(document.Quarantine, crashingPart))
	want := []document.QuarantinedPart{{Part: crashingPart, Active: true, Offences: 1}}
	g.Expect(host.storedQuarantine()).To(Equal(want))
	rebuilt := document.New()
	for _, machine := range []*document.StateMachine{nil, rebuilt} {
		state.replace(machine, false)
		g.Expect(host.storedQuarantine()).To(Equal(want))
	}
	state.replace(rebuilt, true)
	g.Expect(host.storedQuarantine()).To(BeEmpty(), "the log has lifted it")
}

// Guards against changes of the versions that serve that are decided by a state still being built.
func TestVersionsAreRecordedOnceTheStateIsUpToDate(t *testing.T) {
	g := NewWithT(t)
	host, state := newReplaceableHost(t, g)
	machine := state.State().Machine
	recorded := func() []origin.Origin { record, _ := machine.Served(); return record.Versions() }
	state.replace(machine, false)
	serving := endpoint("x", 1, directory.Ready)
	serving.Version = "1"
	g.Expect(host.UpdateEndpoint(t.Context(), serving)).To(Succeed())
	g.Consistently(recorded, 4*servedVersionsInterval).Should(BeEmpty())
	state.replace(machine, true)
	g.Eventually(recorded, "5s").Should(Equal([]origin.Origin{{Service: "s", Version: "1"}}))
}

func gaugeValue(g *WithT, r *metrics.Registry, name string) float64 {
	var written bytes.Buffer
	r.WriteJSON(&written)
	var values map[string]struct {
		Value float64 `json:"value"`
	}
	g.Expect(json.Unmarshal(written.Bytes(), &values)).To(Succeed())
	return values[name].Value
}

// Guards against a holder that goes on by its lease after its state was given up, or by a state that is
// still being built.
func TestHolderStopsWithItsState(t *testing.T) {
	g := NewWithT(t)
	reporter, machine := &fakeReporter{}, document.New()
	state := newReplaceableState(machine)
	h := startDutyHostWith(t, reporter, machine, state)
	calls := func() int { return len(reporter.all()) }
	g.Eventually(calls, "20s").Should(BeNumerically(">", 1))
	token := reporter.all()[0].Token
	state.replace(nil, false)
	g.Eventually(func() float64 { return gaugeValue(g, h.metrics, metrics.DutyHeld) }, "20s", "1ms").Should(BeZero())
	before := calls()
	g.Consistently(calls, 3*testWindow).Should(Equal(before), "without a state")
	state.replace(machine, false)
	g.Consistently(calls, 3*testWindow).Should(Equal(before), "state being built")
	record, _ := machine.Duties()
	g.Expect(record.Holding.Token).To(Equal(token))
	state.replace(machine, true)
	g.Eventually(calls, "20s").Should(BeNumerically(">", before))
	g.Expect(reporter.all()[before].Token).To(BeNumerically(">", token), "a holder of a new life")

	state.replace(nil, false)
	h.stop()
	g.Eventually(h.done, time.Second).Should(Receive(BeNil()), "a stop without a state")
}
