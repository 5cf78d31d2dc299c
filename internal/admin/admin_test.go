package admin_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/hex"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"

	"connectrpc.com/connect"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/admin"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// fakeBackend is an admin.Backend that keeps its tickets in memory.
type fakeBackend struct {
	store     *ticket.Store
	mu        sync.Mutex
	changed   chan struct{}
	submitErr error
}

func newFakeBackend() *fakeBackend {
	return &fakeBackend{store: ticket.NewStore(), changed: make(chan struct{})}
}

func (b *fakeBackend) SubmitTicket(_ context.Context, encoded []byte) (ticket.Verdict, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.submitErr != nil {
		return ticket.Verdict{}, b.submitErr
	}
	v := b.store.Submit(encoded, 1)
	close(b.changed)
	b.changed = make(chan struct{})
	return v, nil
}

func (b *fakeBackend) TicketStore() *ticket.Store { return b.store }

func (b *fakeBackend) Status(context.Context) (*pb.StatusResponse, error) {
	return &pb.StatusResponse{Revision: b.store.Configuration().Revision}, nil
}

func (b *fakeBackend) Drain(_ context.Context, endpoint string, _ bool) (pb.EndpointState, error) {
	if endpoint != "engine-1" {
		return 0, &admin.NotFoundError{Object: "endpoint " + endpoint}
	}
	return pb.EndpointState_ENDPOINT_STATE_DRAINING, nil
}

func (b *fakeBackend) AddHost(context.Context, uint64, string) error { return nil }

func (b *fakeBackend) RemoveHost(context.Context, uint64) error { return nil }

func (b *fakeBackend) WaitForRevision(ctx context.Context, after uint64) (uint64, error) {
	for {
		b.mu.Lock()
		changed := b.changed
		revision := b.store.Configuration().Revision
		b.mu.Unlock()
		if revision > after {
			return revision, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
}

func hashToken(token string) string {
	sum := sha256.Sum256([]byte(token))
	return hex.EncodeToString(sum[:])
}

// authorizationTransport sets the Authorization header of each request.
type authorizationTransport struct{ header string }

func (t authorizationTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if t.header != "" {
		r.Header.Set("Authorization", t.header)
	}
	return http.DefaultTransport.RoundTrip(r)
}

// encodedTicket returns an encoded ticket that is accepted if its number is free.
func encodedTicket(number uint64, author string) []byte {
	encoded, err := ticket.Encode(&ticket.Ticket{
		Number: number, Author: author,
		Classes: []ticket.Class{{Name: "counter", Tier: 1, FirstTokenTarget: 490e6, Patience: 4e9, Deadline: 30e9}},
	})
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

var _ = Describe("AdminService", func() {
	var (
		backend *fakeBackend
		logs    *bytes.Buffer
		url     string
	)
	BeforeEach(func() {
		backend, logs = newFakeBackend(), &bytes.Buffer{}
		auth := admin.Auth{Tokens: []admin.Token{
			{Name: "clerk", Hash: hashToken("read-token"), Roles: []admin.Role{admin.RoleRead}},
			{Name: "desk", Hash: hashToken("submit-token"), Roles: []admin.Role{admin.RoleSubmit}},
			{Name: "night", Hash: hashToken("drain-token"), Roles: []admin.Role{admin.RoleDrain}},
		}}
		Expect(auth.Validate()).To(BeEmpty())
		path, handler := admin.NewHandler(backend, auth, slog.New(slog.NewJSONHandler(logs, nil)))
		mux := http.NewServeMux()
		mux.Handle(path, handler)
		server := httptest.NewServer(mux)
		DeferCleanup(server.Close)
		url = server.URL
	})
	client := func(authorization string) trefoilkeelv1connect.AdminServiceClient {
		return trefoilkeelv1connect.NewAdminServiceClient(&http.Client{Transport: authorizationTransport{header: authorization}}, url)
	}

	DescribeTable("permits each role its own calls and no others",
		func(authorization string, read, submit, drain connect.Code) {
			ctx, c := context.Background(), client(authorization)
			_, err := c.ShowState(ctx, connect.NewRequest(&pb.ShowStateRequest{}))
			Expect(codeOf(err)).To(Equal(read), "show")
			_, err = c.CheckTicket(ctx, connect.NewRequest(&pb.CheckTicketRequest{}))
			Expect(codeOf(err)).To(Equal(read), "check")
			_, err = c.ListTickets(ctx, connect.NewRequest(&pb.ListTicketsRequest{}))
			Expect(codeOf(err)).To(Equal(read), "list")
			_, err = c.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
			Expect(codeOf(err)).To(Equal(read), "status")
			_, err = c.SubmitTicket(ctx, connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encodedTicket(1, "")}))
			Expect(codeOf(err)).To(Equal(submit), "submit")
			_, err = c.Drain(ctx, connect.NewRequest(&pb.DrainRequest{Endpoint: "engine-1"}))
			Expect(codeOf(err)).To(Equal(drain), "drain")
			_, err = c.AddHost(ctx, connect.NewRequest(&pb.AddHostRequest{Id: 4}))
			Expect(codeOf(err)).To(Equal(drain), "add host")
			_, err = c.RemoveHost(ctx, connect.NewRequest(&pb.RemoveHostRequest{Id: 4}))
			Expect(codeOf(err)).To(Equal(drain), "remove host")
			wantRevision := uint64(0)
			if submit == codeOK {
				wantRevision = 1
			}
			Expect(backend.store.Configuration().Revision).To(Equal(wantRevision))
			Expect(logs.String()).NotTo(ContainSubstring("-token"))
		},
		Entry("read", "Bearer read-token", codeOK, connect.CodePermissionDenied, connect.CodePermissionDenied),
		Entry("submit", "Bearer submit-token", codeOK, codeOK, connect.CodePermissionDenied),
		Entry("drain", "Bearer drain-token", codeOK, connect.CodePermissionDenied, codeOK),
		Entry("no token", "", connect.CodeUnauthenticated, connect.CodeUnauthenticated, connect.CodeUnauthenticated),
		Entry("unknown token", "Bearer other", connect.CodeUnauthenticated, connect.CodeUnauthenticated, connect.CodeUnauthenticated),
		Entry("the hash sent instead of the token", "Bearer "+hashToken("submit-token"), connect.CodeUnauthenticated, connect.CodeUnauthenticated, connect.CodeUnauthenticated),
		Entry("another authentication scheme", "Basic submit-token", connect.CodeUnauthenticated, connect.CodeUnauthenticated, connect.CodeUnauthenticated),
	)

	It("sets the caller as a ticket's author, refuses another author and logs the author", func() {
		ctx, c := context.Background(), client("Bearer submit-token")
		resp, err := c.SubmitTicket(ctx, connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encodedTicket(5, "somebody")}))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Msg.GetVerdict()).To(Equal(pb.Verdict_VERDICT_REFUSED))
		Expect(resp.Msg.GetFaults()[0].GetField()).To(Equal("author"))

		for _, author := range []string{"", "desk"} { // both encode to the same ticket, so the second gets the first verdict again
			resp, err = c.SubmitTicket(ctx, connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encodedTicket(5, author)}))
			Expect(err).NotTo(HaveOccurred())
			Expect(resp.Msg.GetVerdict()).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
			Expect(resp.Msg.GetRepeated()).To(Equal(author != ""))
		}
		list, err := c.ListTickets(ctx, connect.NewRequest(&pb.ListTicketsRequest{}))
		Expect(err).NotTo(HaveOccurred())
		Expect(list.Msg.GetTickets()).To(HaveLen(1))
		Expect(list.Msg.GetTickets()[0].GetAuthor()).To(Equal("desk"))
		Expect(logs.String()).To(ContainSubstring(`"author":"desk"`))
		Expect(logs.String()).To(ContainSubstring(`"verdict":"VERDICT_ACCEPTED"`))
	})

	It("refuses a plain key in place of its hash before the ticket is recorded", func() {
		backend.submitErr = &admin.DeniedError{Reason: "the ticket reached the replicated log"}
		encoded, err := ticket.Encode(&ticket.Ticket{Number: 1, Workspaces: []ticket.Workspace{{Name: "w", KeyHashes: []string{"plain-key"}}}})
		Expect(err).NotTo(HaveOccurred())
		resp, err := client("Bearer submit-token").SubmitTicket(context.Background(), connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encoded}))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Msg.GetVerdict()).To(Equal(pb.Verdict_VERDICT_REFUSED))
		Expect(len(resp.Msg.GetFaults())).To(BeNumerically(">", 3), "every fault is listed")
		Expect(resp.Msg.String() + logs.String()).NotTo(ContainSubstring("plain-key"))
		Expect(resp.Msg.GetNextNumber()).To(BeEquivalentTo(1))

		backend.store.Submit(encodedTicket(1, "desk"), 1) // number 1 is taken by another ticket
		resp, err = client("Bearer submit-token").SubmitTicket(context.Background(), connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encoded}))
		Expect(err).NotTo(HaveOccurred())
		Expect(resp.Msg.GetVerdict()).To(Equal(pb.Verdict_VERDICT_CONFLICT))
	})

	DescribeTable("returns a code that separates a change that never happens from an unknown outcome",
		func(submitErr error, want connect.Code) {
			backend.submitErr = submitErr
			_, err := client("Bearer submit-token").SubmitTicket(context.Background(),
				connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encodedTicket(1, "")}))
			Expect(codeOf(err)).To(Equal(want))
		},
		Entry("never recorded", &replica.NotRecordedError{Reason: "no leader"}, connect.CodeAborted),
		Entry("timed out", context.DeadlineExceeded, connect.CodeDeadlineExceeded),
		Entry("anything else", &admin.DeniedError{Reason: "lost"}, connect.CodeUnknown),
	)

	It("streams the tickets accepted after a revision", func() {
		c := client("Bearer submit-token")
		submit := func(number uint64) {
			_, err := c.SubmitTicket(context.Background(), connect.NewRequest(&pb.SubmitTicketRequest{Ticket: encodedTicket(number, "")}))
			Expect(err).NotTo(HaveOccurred())
		}
		submit(1)
		submit(2)
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		stream, err := c.Watch(ctx, connect.NewRequest(&pb.WatchRequest{AfterRevision: 1}))
		Expect(err).NotTo(HaveOccurred())
		for number := uint64(2); number < 5; number++ {
			Expect(stream.Receive()).To(BeTrue())
			Expect(stream.Msg().GetNumber()).To(Equal(number))
			submit(number + 1)
		}
	})
})

// codeOK is the code of a call that succeeds.
const codeOK connect.Code = 0

func codeOf(err error) connect.Code {
	if err == nil {
		return codeOK
	}
	return connect.CodeOf(err)
}

var _ = DescribeTable("Auth.Validate reports invalid entries",
	func(token admin.Token, want string) {
		problems := admin.Auth{Tokens: []admin.Token{token}}.Validate()
		Expect(problems).To(ContainElement(MatchError(ContainSubstring(want))))
	},
	Entry("plain token", admin.Token{Name: "a", Hash: "secret", Roles: []admin.Role{admin.RoleRead}}, "hash is not"),
	Entry("upper case", admin.Token{Name: "a", Hash: "AB" + hashToken("x")[2:], Roles: []admin.Role{admin.RoleRead}}, "hash is not"),
	Entry("no role", admin.Token{Name: "a", Hash: hashToken("x")}, "no role"),
	Entry("unknown role", admin.Token{Name: "a", Hash: hashToken("x"), Roles: []admin.Role{"root"}}, "unknown"),
	Entry("no name", admin.Token{Hash: hashToken("x"), Roles: []admin.Role{admin.RoleRead}}, "name is missing"),
)

var _ = DescribeTable("only a verified client certificate identifies the caller",
	func(state *tls.ConnectionState, wantShow, wantSubmit int) {
		auth := admin.Auth{Certificates: []admin.Certificate{{Name: "control-room", Roles: []admin.Role{admin.RoleRead}}}}
		_, handler := admin.NewHandler(newFakeBackend(), auth, slog.New(slog.DiscardHandler))
		status := func(procedure string) int {
			r := httptest.NewRequest(http.MethodPost, procedure, strings.NewReader("{}"))
			r.Header.Set("Content-Type", "application/json")
			r.TLS = state
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			return w.Code
		}
		Expect(status(trefoilkeelv1connect.AdminServiceShowStateProcedure)).To(Equal(wantShow))
		Expect(status(trefoilkeelv1connect.AdminServiceSubmitTicketProcedure)).To(Equal(wantSubmit))
	},
	Entry("known", tlsState("control-room", true), http.StatusOK, http.StatusForbidden),
	Entry("another name", tlsState("control-roof", true), http.StatusUnauthorized, http.StatusUnauthorized),
	Entry("no name", tlsState("", true), http.StatusUnauthorized, http.StatusUnauthorized),
	Entry("not verified", tlsState("control-room", false), http.StatusUnauthorized, http.StatusUnauthorized),
	Entry("no TLS", nil, http.StatusUnauthorized, http.StatusUnauthorized),
)

// tlsState returns the state of a TLS connection whose peer sent a certificate
// with the common name.
func tlsState(commonName string, verified bool) *tls.ConnectionState {
	certificate := &x509.Certificate{Subject: pkix.Name{CommonName: commonName}}
	state := &tls.ConnectionState{PeerCertificates: []*x509.Certificate{certificate}}
	if verified {
		state.VerifiedChains = [][]*x509.Certificate{{certificate}}
	}
	return state
}
