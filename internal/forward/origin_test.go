package forward

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/catalog"
	"github.com/trefoilkeel/trefoilkeel/internal/directory"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

// setVersion reports an endpoint of a testFleet with a software version.
func (f *testFleet) setVersion(index int, version string, state directory.State) {
	domain := "a"
	if index > 0 {
		domain = []string{"", "z1", "z2", "z3"}[index]
	}
	f.UpdateEndpoints([]directory.Endpoint{{ID: []string{"e0", "e1", "e2", "e3"}[index], Service: "s", Address: f.addresses[index], FailureDomain: domain,
		Slots: 1000 / (index + 1), State: state, StartedUnixMS: 1, Version: version}})
}

// knownStreams stands for control hosts.
type knownStreams struct {
	origins    map[uint64]origin.Origin
	versions   []string // of the service, as the hosts know
	catchingUp bool     // the hosts have just started
	isolated   bool     // no control host is reached
	calls      int
}

func (k *knownStreams) FindStream(_ context.Context, _ string, stream uint64) (f origin.Finding) {
	k.calls++
	if k.isolated {
		return f
	}
	o, known := k.origins[stream]
	f.Add(origin.Answer{Origin: o, Known: known, Versions: k.versions, Complete: !k.catchingUp, Vote: origin.Vote{Replica: 1, Voters: []uint64{1}}})
	return f
}

// takenUp is a request that takes a stream up after two events.
func takenUp(resumedID string) *Request {
	r := newRequest(catalog.EventStream, true)
	r.LastEventID, r.ResumedID = "2", resumedID
	return r
}

func reasonOf(err error) Reason {
	var requestErr *RequestError
	if errors.As(err, &requestErr) {
		return requestErr.Reason
	}
	return ""
}

// Guards against a stream that goes on at another version within one response: the attempt that
// brought its first event counts, not the first one.
func TestBrokenStreamGoesOnAtItsVersion(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 1), streamEvents(5, 3), streamEvents(5, 0), streamEvents(5, 0))
	for i, version := range []string{"v1", "v2", "v1", "v2"} {
		f.setVersion(i, version, directory.Ready)
	}
	r := newRequest(catalog.EventStream, true)
	r.Route.MaxAttempts = 4
	w := httptest.NewRecorder()
	g.Expect(f.Serve(context.Background(), w, r)).To(Succeed())
	g.Expect(w.Body.String()).To(Equal(streamText(5)))
	g.Expect(f.requests()).To(Equal([]string{"e0 ", "e1 ", "e3 2"}))
}

// Guards against a stream that waits for a version that may not return.
func TestBrokenStreamEndsAtOnceWithoutItsVersion(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 3), streamEvents(5, 0))
	f.setVersion(0, "v1", directory.Ready)
	f.setVersion(1, "v2", directory.Ready)
	var truncated *TruncatedResponseError
	err := f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.EventStream, true))
	g.Expect(errors.As(err, &truncated)).To(BeTrue(), "%v", err)
	g.Expect(f.requests()).To(Equal([]string{"e0 "}))

	f.setVersion(0, "v1", directory.Gone)
	err = f.Serve(context.Background(), httptest.NewRecorder(), takenUp("r1"))
	g.Expect(reasonOf(err)).To(Equal(NoEndpoint), "it did not run")
	g.Expect(f.requests()).To(HaveLen(1))
}

// Guards against a stream that a caller takes up at another version. Its origin is known to this
// entry, to the control hosts, or to no host.
func TestCallerTakesStreamUpAtItsVersion(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 0), streamEvents(5, 0))
	f.setVersion(0, "v1", directory.Ready)
	f.setVersion(1, "v2", directory.Ready)
	finder := &knownStreams{origins: map[uint64]origin.Origin{streamKey("", "elsewhere"): {Service: "s", Version: "v2"}}}
	f.options.StreamFinder = finder
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), takenUp("elsewhere"))).To(Succeed())
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), takenUp("r1"))).To(Succeed(), "taken up again, named by the attempt that went on")
	g.Expect(f.requests()).To(Equal([]string{"e1 2", "e1 2"}))
	calls := finder.calls
	g.Expect(calls).To(Equal(1), "the second is known here")

	for _, id := range []string{"unknown", ""} {
		err := f.Serve(context.Background(), httptest.NewRecorder(), takenUp(id))
		g.Expect(reasonOf(err)).To(Equal(UnknownOrigin))
		var requestErr *RequestError
		g.Expect(errors.As(err, &requestErr) && requestErr.NotRun()).To(BeTrue())
	}
	g.Expect(f.requests()).To(HaveLen(2))
	other := takenUp("elsewhere")
	other.Workspace = "other"
	g.Expect(reasonOf(f.Serve(context.Background(), httptest.NewRecorder(), other))).To(Equal(UnknownOrigin), "a stream of another workspace")
}

// Guards against streams that are refused, or wait, though only one version serves and control hosts are
// reached: one question is enough.
func TestUnknownStreamGoesOnWhereOneVersionServes(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 0), streamEvents(5, 0))
	f.origins.versions = origin.NewVersions()
	f.setVersion(0, "v1", directory.Ready)
	f.setVersion(1, "v1", directory.Ready)
	finder := &knownStreams{versions: []string{"v1"}}
	f.options.StreamFinder = finder
	started := time.Now()
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), takenUp("unknown"))).To(Succeed())
	g.Expect(finder.calls).To(Equal(1))
	g.Expect(time.Since(started)).To(BeNumerically("<", maxOriginWait))
	finder.calls = 0
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.EventStream, true))).To(Succeed())
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), takenUp("r1"))).To(Succeed())
	g.Expect(finder.calls).To(BeZero(), "it began here")
}

// Guards against an entry that has missed that another version came, and joins a stream of it to what the
// version writes that it takes for the only one.
func TestUnknownStreamIsNotJoinedByAnEntryThatMissedAVersion(t *testing.T) {
	for name, finder := range map[string]*knownStreams{"reached": {versions: []string{"v1", "v2"}}, "only the new one": {versions: []string{"v2"}},
		"isolated": {isolated: true}, "just started": {catchingUp: true, versions: []string{"v1"}}} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(t, streamEvents(5, 0))
			f.setVersion(0, "v1", directory.Ready)
			f.options.StreamFinder = finder
			f.origins.versions = origin.NewVersions() // without the version that newFleet has set
			f.origins.versions.Update(time.Now().Add(-time.Minute), "e0", origin.Origin{Service: "s", Version: "v1"}, false)
			started, err := time.Now(), f.Serve(context.Background(), httptest.NewRecorder(), takenUp("unknown"))
			t.Logf("refused after %v: %v", time.Since(started), err)
			g.Expect(reasonOf(err)).To(Equal(UnknownOrigin))
			g.Expect(f.requests()).To(BeEmpty())
		})
	}
}

// Guards against a taken-up stream that waits for an endpoint, or is tried again, and then goes on at a
// version that has joined meanwhile.
func TestTakenUpStreamStaysAtTheOnlyVersionThatServed(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 1), streamEvents(5, 0))
	f.origins.versions = origin.NewVersions()
	f.setVersion(0, "v1", directory.Ready)
	f.options.StreamFinder = &knownStreams{versions: []string{"v1"}}
	a := &activeRequest{Router: f.Router, request: takenUp("unknown")}
	g.Expect(a.findOrigin(context.Background())).To(Succeed())
	f.setVersion(1, "v2", directory.Ready)
	request := a.balanceRequest()
	a.restrictVersion(&request)
	g.Expect(request.OnlyVersion).To(BeTrue())
	g.Expect(request.Version).To(Equal("v1"))
}

// Guards against streams that are refused at an entry without control hosts although they began there.
func TestUnknownStreamIsRefusedWithoutControlHosts(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 0))
	f.origins.versions = origin.NewVersions()
	f.origins.versions.Update(time.Now().Add(-time.Minute), "e0", origin.Origin{Service: "s", Version: ""}, false)
	f.options.StreamFinder = &knownStreams{isolated: true}
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.EventStream, true))).To(Succeed())
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), takenUp("r1"))).To(Succeed(), "it began here")
	err := f.Serve(context.Background(), httptest.NewRecorder(), takenUp("unknown"))
	g.Expect(reasonOf(err)).To(Equal(UnknownOrigin))
	g.Expect(f.requests()).To(HaveLen(2))
}

// Guards against a stream that is taken up at the version of an earlier attempt, which was reported and
// brought no event, as the report of the attempt that began it is late or lost.
func TestReportedStartBindsTheNextAttempts(t *testing.T) {
	for name, refuse := range map[string]endpointHandler{"broken off": streamEvents(5, 1), "not run": refuseNotRun} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var f *testFleet
			var reported []origin.Start
			reportsFirst := func(w http.ResponseWriter, r *http.Request) {
				reported = f.TakeStreamStarts(false)
				refuse(w, r)
			}
			f = newFleet(t, reportsFirst, refuse, streamEvents(5, 0), streamEvents(5, 0))
			for i, version := range []string{"v1", "v1", "v2", "v1"} {
				f.setVersion(i, version, directory.Ready)
			}
			w := httptest.NewRecorder()
			r := newRequest(catalog.EventStream, true)
			r.Route.MaxAttempts = 4
			g.Expect(f.Serve(context.Background(), w, r)).To(Succeed())
			g.Expect(w.Body.String()).To(Equal(streamText(5)))
			g.Expect(reported).To(HaveLen(1))
			g.Expect(f.requests()).To(Equal([]string{"e0 ", "e1 ", "e3 "}))
		})
	}
}

// Starts are reported only while several versions serve; then the earlier ones are, too.
func TestStreamStartsAreReportedOnceVersionsMix(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(t, streamEvents(5, 0))
	f.origins = newStreamOrigins()
	f.setVersion(0, "v1", directory.Ready)
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), newRequest(catalog.EventStream, true))).To(Succeed())
	g.Expect(f.HasStreamStarts()).To(BeFalse())
	f.UpdateEndpoints([]directory.Endpoint{{ID: "new", Service: "s", Address: "127.0.0.1:1", FailureDomain: "z", Slots: 1, State: directory.Ready, StartedUnixMS: 1, Version: "v2"}})
	first := origin.Start{Stream: streamKey("", "r1"), Origin: origin.Origin{Service: "s", Version: "v1"}}
	g.Expect(f.TakeStreamStarts(false)).To(Equal([]origin.Start{first}))
	g.Expect(f.HasStreamStarts()).To(BeFalse())
	r := newRequest(catalog.EventStream, true)
	r.Workspace = "w"
	g.Expect(f.Serve(context.Background(), httptest.NewRecorder(), r)).To(Succeed())
	g.Expect(f.HasStreamStarts()).To(BeTrue())
	g.Expect(f.TakeStreamStarts(true)).To(HaveLen(2), "for a control host that has started again")
	g.Expect(f.HasStreamStarts()).To(BeFalse())
}
