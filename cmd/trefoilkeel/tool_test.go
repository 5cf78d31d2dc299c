package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"sync/atomic"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/admin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// fakeBackend is an admin.Backend that keeps its tickets in memory.
type fakeBackend struct {
	store        *ticket.Store
	notRecorded  bool
	addHostCalls atomic.Int32
}

func (b *fakeBackend) SubmitTicket(_ context.Context, encoded []byte) (ticket.Verdict, error) {
	if b.notRecorded {
		return ticket.Verdict{}, &replica.NotRecordedError{Reason: "no leader"}
	}
	return b.store.Submit(encoded, 1_796_334_000_000), nil
}

func (b *fakeBackend) TicketStore() *ticket.Store { return b.store }

func (b *fakeBackend) Status(context.Context) (*pb.StatusResponse, error) {
	return &pb.StatusResponse{
		Revision:    4,
		Leader:      "control-1",
		Subscribers: []*pb.SubscriberStatus{{Name: "router-1", Kind: "router", Revision: 3, AgeMs: 200}},
		Endpoints:   []*pb.Endpoint{{Name: "engine-1", Group: "rally-text", State: pb.EndpointState_ENDPOINT_STATE_ACTIVE}},
	}, nil
}

func (b *fakeBackend) Drain(_ context.Context, endpoint string, _ bool) (pb.EndpointState, error) {
	if endpoint != "engine-1" {
		return 0, &admin.NotFoundError{Object: "endpoint " + endpoint}
	}
	return pb.EndpointState_ENDPOINT_STATE_DRAINING, nil
}

func (b *fakeBackend) AddHost(context.Context, uint64, string) error {
	b.addHostCalls.Add(1)
	return nil
}

func (b *fakeBackend) RemoveHost(context.Context, uint64) error { return nil }

func (b *fakeBackend) WaitForRevision(ctx context.Context, _ uint64) (uint64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

// dropResponses passes each call to next and closes the connection without a
// response.
func dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	})
}

var _ = Describe("the tool", func() {
	var (
		backend     *fakeBackend
		tokenFile   string
		url         string // answers normally
		droppingURL string // carries out calls and drops the responses
		closedURL   string // refuses connections
	)
	BeforeEach(func() {
		backend = &fakeBackend{store: ticket.NewStore()}
		sum := sha256.Sum256([]byte("desk-token"))
		auth := admin.Auth{Tokens: []admin.Token{{
			Name: "rally-desk", Hash: hex.EncodeToString(sum[:]), Roles: []admin.Role{admin.RoleSubmit, admin.RoleDrain},
		}}}
		_, handler := admin.NewHandler(backend, auth, slog.New(slog.DiscardHandler))
		server, dropping := httptest.NewServer(handler), httptest.NewServer(dropResponses(handler))
		closed := httptest.NewServer(handler)
		closed.Close()
		DeferCleanup(server.Close)
		DeferCleanup(dropping.Close)
		url, droppingURL, closedURL = server.URL, dropping.URL, closed.URL
		tokenFile = filepath.Join(GinkgoT().TempDir(), "token")
		Expect(os.WriteFile(tokenFile, []byte("desk-token\n"), 0o600)).To(Succeed())
	})

	// run runs a command and returns what it prints, its exit code and its error.
	run := func(arguments ...string) (string, int, error) {
		GinkgoHelper()
		var out bytes.Buffer
		parser, err := kong.New(&cli{}, kong.BindTo(&out, (*io.Writer)(nil)))
		Expect(err).NotTo(HaveOccurred())
		ctx, err := parser.Parse(arguments)
		Expect(err).NotTo(HaveOccurred())
		err = ctx.Run()
		code := 0
		if err != nil {
			code = exitFailed
		}
		var withCode exitCoder
		if errors.As(err, &withCode) {
			code = withCode.ExitCode()
		}
		return out.String(), code, err
	}
	const validTicket, invalidTicket = "../../examples/rally/ticket-001.toml", "../../examples/rally/ticket-002-refused.toml"

	DescribeTable("gives each result its own exit code and text",
		func(arguments func() []string, want int, text string) {
			out, code, err := run(append(arguments(), "--token-file", tokenFile)...)
			Expect(code).To(Equal(want), out)
			if err != nil {
				out += err.Error()
			}
			Expect(out).To(ContainSubstring(text))
		},
		Entry("accepted", func() []string { return []string{"ticket", "submit", validTicket, "--control", url} },
			0, "ticket 1 accepted, in force from revision 1"),
		Entry("accepted at the second host", func() []string {
			return []string{"ticket", "submit", validTicket, "--control", closedURL, "--control", url}
		},
			0, "ticket 1 accepted"),
		Entry("response lost, repeated at another host", func() []string {
			return []string{"ticket", "submit", validTicket, "--control", droppingURL, "--control", url}
		},
			0, "this is the first verdict again"),
		Entry("response lost", func() []string { return []string{"ticket", "submit", validTicket, "--control", droppingURL} },
			exitOutcomeUnknown, "safe to repeat"),
		Entry("response lost, the other host unreachable", func() []string {
			return []string{"ticket", "submit", validTicket, "--control", droppingURL, "--control", closedURL}
		},
			exitOutcomeUnknown, "safe to repeat"),
		Entry("unreachable", func() []string { return []string{"ticket", "submit", validTicket, "--control", closedURL} },
			exitUnreachable, "nothing was changed"),
		Entry("refused", func() []string { return []string{"ticket", "submit", invalidTicket, "--control", url} },
			exitRefused, "did you mean \"club\"?"),
		Entry("check accepted", func() []string { return []string{"ticket", "check", validTicket, "--control", url} },
			0, "class/stage-updates tier: 0 -> 1"),
		Entry("check refused", func() []string { return []string{"ticket", "check", invalidTicket, "--control", url} },
			exitRefused, "refused as a whole"),
		Entry("check, response lost", func() []string { return []string{"ticket", "check", validTicket, "--control", droppingURL} },
			exitUnreachable, "nothing was changed"),
		Entry("status", func() []string { return []string{"status", "--control", url} },
			0, "router-1    router  3         1       200 ms ago"),
		Entry("drained", func() []string { return []string{"drain", "engine-1", "--control", url} },
			0, "engine-1 is draining"),
		Entry("drain of an unknown endpoint", func() []string { return []string{"drain", "engine-9", "--control", url} },
			exitRefused, "endpoint engine-9 does not exist"),
		Entry("host added", func() []string { return []string{"host", "add", "4", "http://10.0.0.4:7400", "--control", url} },
			0, "control host 4 was added"),
		Entry("host removed", func() []string { return []string{"host", "remove", "4", "--control", url} },
			0, "control host 4 was taken out"),
	)

	It("does not repeat a change of the control hosts whose response was lost", func() {
		_, code, err := run("host", "add", "4", "http://10.0.0.4:7400", "--control", droppingURL, "--control", url, "--token-file", tokenFile)
		Expect(code).To(Equal(exitOutcomeUnknown))
		Expect(err).To(MatchError(ContainSubstring("trefoilkeel status")))
		Expect(backend.addHostCalls.Load()).To(BeEquivalentTo(1))
	})

	It("exits with the code for unreachable if no host could record the ticket", func() {
		backend.notRecorded = true
		_, code, _ := run("ticket", "submit", validTicket, "--control", url, "--token-file", tokenFile)
		Expect(code).To(Equal(exitUnreachable))
	})

	It("is refused without a token", func() {
		_, code, _ := run("ticket", "submit", validTicket, "--control", url)
		Expect(code).To(Equal(exitRefused))
	})

	It("shows the configuration as a ticket that changes nothing, and the history", func() {
		_, code, _ := run("ticket", "submit", validTicket, "--control", url, "--token-file", tokenFile)
		Expect(code).To(Equal(0))
		shown, code, _ := run("ticket", "show", "--control", url, "--token-file", tokenFile)
		Expect(code).To(Equal(0))
		shownFile := filepath.Join(GinkgoT().TempDir(), "again.toml")
		Expect(os.WriteFile(shownFile, []byte(shown), 0o600)).To(Succeed())
		out, code, _ := run("ticket", "check", shownFile, "--control", url, "--token-file", tokenFile)
		Expect(code).To(Equal(0))
		Expect(out).To(ContainSubstring("ticket 2 would be accepted, changes: 0"))

		out, code, _ = run("ticket", "history", "--json", "--control", url, "--token-file", tokenFile)
		Expect(code).To(Equal(0))
		var list struct{ Tickets []struct{ Author string } }
		Expect(json.Unmarshal([]byte(out), &list)).To(Succeed())
		Expect(list.Tickets).To(HaveLen(1))
		Expect(list.Tickets[0].Author).To(Equal("rally-desk"))
	})

	It("makes a key with its SHA-256 hash", func() {
		out, code, _ := run("keys", "new", "--json")
		Expect(code).To(Equal(0))
		var generated generatedKey
		Expect(json.Unmarshal([]byte(out), &generated)).To(Succeed())
		sum := sha256.Sum256([]byte(generated.Key))
		Expect(generated.Hash).To(Equal(hex.EncodeToString(sum[:])))
	})

	It("explains why a request failed from the log lines of all hosts", func() {
		logFile := filepath.Join(GinkgoT().TempDir(), "lines")
		Expect(os.WriteFile(logFile, []byte(`{"time":"2026-06-25T23:00:01Z","msg":"request ended","host":"h1","request":"r1","endpoint":"e1","runs":1,"error":"outcome_unknown: unexpected EOF"}
{"time":"2026-06-25T23:00:00Z","msg":"endpoint changed","host":"c1","endpoint":"e1","state":"draining"}
`), 0o600)).To(Succeed())
		out, code, err := run("explain", "r1", logFile)
		Expect(err).NotTo(HaveOccurred())
		Expect(code).To(Equal(0))
		Expect(out).To(And(ContainSubstring("sent to e1 and perhaps run, and not sent again: unexpected EOF"), ContainSubstring("draining")))
		out, _, err = run("explain", "--json", "r1", logFile)
		Expect(err).NotTo(HaveOccurred())
		var report struct{ Served bool }
		Expect(json.Unmarshal([]byte(out), &report)).To(Succeed())
		Expect(report.Served).To(BeFalse())
		_, code, err = run("explain", "r2", logFile)
		Expect(code).To(Equal(exitFailed))
		Expect(err).To(MatchError(ContainSubstring("no line names request r2")))
	})
})
