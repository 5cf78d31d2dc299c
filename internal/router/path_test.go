package router_test

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
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/agent"
	"github.com/trefoilkeel/trefoilkeel/internal/router"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const (
	testKey = "demo-riders-key"
	clubKey = "demo-club-key" // of a workspace with the riders' rights
)

// path is a router, agents and stand-ins joined over loopback.
type path struct {
	mu        sync.Mutex
	endpoints []*trefoilkeelv1.Endpoint
	state     *ticket.State
	engines   []*standin.Engine
	service   *standin.Service
	agents    map[string]*agent.Agent
	router    *router.Router
	url       string
	ledger    *fakeLedger
	stops     []func()
}

func (p *path) State() *ticket.State { return p.state }

func (p *path) Endpoints() []*trefoilkeelv1.Endpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endpoints
}

// newPath starts n engines and two doors to one plain service.
func newPath(n int) *path {
	p := &path{state: testState(), agents: map[string]*agent.Agent{}, ledger: &fakeLedger{claims: map[string]*trefoilkeelv1.ClaimResponse{}}}
	for i := range n {
		e := standin.NewEngine(standin.EngineConfig{Name: "engine", StepBase: time.Millisecond, StepPerSequence: time.Microsecond, PrefillPerByte: time.Nanosecond})
		p.engines = append(p.engines, e)
		p.addAgent("engine-"+strconv.Itoa(i), "advice", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE, "advice", p.serve(e.Handler()))
	}
	p.service = standin.NewService(standin.ServiceConfig{Name: "entries"})
	at := p.serve(p.service.Handler())
	for i := range 2 {
		p.addAgent("entries-"+strconv.Itoa(i), "entries", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE, "entries", at)
	}
	p.router, p.url = p.newRouter("router-1")
	return p
}

func (p *path) newRouter(name string) (*router.Router, string) {
	rt := router.New(router.Options{Name: name, Source: p, Ledger: p.ledger, Agents: &http.Client{}, MaxBody: 1 << 16, Logger: slog.New(slog.DiscardHandler)})
	return rt, p.serve(rt.Handler())
}

func (p *path) serve(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	p.stops = append(p.stops, func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

func (p *path) addAgent(name, group string, kind trefoilkeelv1.EndpointKind, serves, endpointURL string) {
	base, err := url.Parse(endpointURL)
	Expect(err).NotTo(HaveOccurred())
	e := &trefoilkeelv1.Endpoint{Name: name, Incarnation: 1, Group: group, Kind: kind, FailureDomain: "a", State: trefoilkeelv1.EndpointState_ENDPOINT_STATE_ACTIVE, Models: []string{serves}}
	a := agent.New(agent.Options{Endpoint: e, EndpointURL: base, Configuration: p, MaxBody: 1 << 20, Logger: slog.New(slog.DiscardHandler)})
	a.SetIncarnation(1)
	ctx, cancel := context.WithCancel(context.Background())
	p.stops = append(p.stops, cancel)
	go func() { _ = a.Run(ctx) }()
	e.AgentUrl = p.serve(a.Handler())
	p.agents[name] = a
	p.endpoints = append(p.endpoints, e)
}

func (p *path) stop() {
	for i := len(p.stops) - 1; i >= 0; i-- {
		p.stops[i]()
	}
}

// reincarnate replaces an agent by a fresh incarnation, as a restart does.
func (p *path) reincarnate(name string, incarnation uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var next []*trefoilkeelv1.Endpoint
	for _, e := range p.endpoints {
		if e.GetName() == name {
			e = &trefoilkeelv1.Endpoint{Name: name, Incarnation: incarnation, Group: e.Group, Kind: e.Kind, FailureDomain: "a", State: e.State, Models: e.Models, AgentUrl: e.AgentUrl}
		}
		next = append(next, e)
	}
	p.endpoints = next
	p.agents[name].SetIncarnation(incarnation)
}

func testState() *ticket.State {
	hash, clubHash := sha256.Sum256([]byte(testKey)), sha256.Sum256([]byte(clubKey))
	long := ticket.Duration(20 * time.Second)
	state, faults := ticket.Apply(ticket.NewState(), &ticket.Ticket{
		Number: 1, Author: "test", Summary: "test",
		Classes: []ticket.Class{
			{Name: "questions", Tier: 2, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(100 * time.Millisecond), Deadline: long, Patience: ticket.Duration(10 * time.Second)},
			{Name: "bookings", Tier: 2, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(100 * time.Millisecond), Deadline: long, Patience: ticket.Duration(10 * time.Second), NonIdempotent: true},
			{Name: "staff", Tier: 1, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(100 * time.Millisecond), Deadline: long, Patience: ticket.Duration(10 * time.Second)},
		},
		Models:   []ticket.Model{{Name: "advice", MaxOutputTokens: 4096}, {Name: "staff-advice", MaxOutputTokens: 4096}},
		Services: []ticket.Service{{Name: "entries", NonIdempotent: true, Class: "bookings"}, {Name: "payroll"}},
		Workspaces: []ticket.Workspace{
			{Name: "riders", KeyHashes: []string{hex.EncodeToString(hash[:])}, Classes: []string{"questions", "bookings"}, DefaultClass: "questions", Share: 1},
			{Name: "club", KeyHashes: []string{hex.EncodeToString(clubHash[:])}, Classes: []string{"questions", "bookings"}, DefaultClass: "questions", Share: 1},
			{Name: "staff", KeyHashes: []string{strings.Repeat("ab", 32)}, Classes: []string{"staff"}, DefaultClass: "staff", Share: 1},
		},
		EndpointGroups: []ticket.EndpointGroup{
			{Name: "advice", Workspaces: []string{"*"}, Models: []string{"advice"}},
			{Name: "entries", Workspaces: []string{"riders", "club"}, Services: []string{"entries"}},
			{Name: "staff", Workspaces: []string{"staff"}, Models: []string{"staff-advice"}, Services: []string{"payroll"}},
		},
	})
	Expect(faults).To(BeEmpty())
	return state
}

// ask is one caller's request.
type ask struct {
	method, path, body string
	header             map[string]string
}

// got is what the caller saw; broken says that the connection ended early.
type got struct {
	status    int
	execution string
	kind      string // error type, "" for an answer
	body      string
	broken    bool
}

func (p *path) do(a ask) got { return send(context.Background(), p.url, a) }

func send(ctx context.Context, base string, a ask) got {
	if a.method == "" {
		a.method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, a.method, base+a.path, bytes.NewReader([]byte(a.body)))
	Expect(err).NotTo(HaveOccurred())
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+testKey)
	for name, value := range a.header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return got{broken: true}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	g := got{status: response.StatusCode, execution: response.Header.Get("Trefoilkeel-Execution"), body: string(body), broken: err != nil}
	var e struct {
		Error struct{ Type string }
	}
	if json.Unmarshal(body, &e) == nil {
		g.kind = e.Error.Type
	}
	return g
}

func chat(prompt string, tokens int, stream bool) ask {
	body, _ := json.Marshal(map[string]any{"model": "advice", "stream": stream, "max_tokens": tokens, "messages": []standin.Message{{Role: "user", Content: prompt}}})
	return ask{path: "/v1/chat/completions", body: string(body)}
}

func promptOf(prompt string) string {
	return standin.ChatPrompt([]standin.Message{{Role: "user", Content: prompt}})
}

// textOf gathers the text of a streamed or buffered answer; ended tells
// whether the stream's end mark came.
func textOf(body string) (text string, ended bool) {
	type choice struct {
		Delta, Message struct{ Content string }
	}
	parse := func(data string) string {
		var c struct{ Choices []choice }
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) == 0 {
			return ""
		}
		return c.Choices[0].Delta.Content + c.Choices[0].Message.Content
	}
	if !strings.HasPrefix(body, "data:") {
		return parse(body), true
	}
	for _, event := range strings.Split(body, "\n\n") {
		data := strings.TrimPrefix(event, "data: ")
		if data == "[DONE]" {
			return text, true
		}
		text += parse(data)
	}
	return text, false
}

// fakeLedger is a ledger in memory behind the client interface. Faults: down
// refuses every call.
type fakeLedger struct {
	mu      sync.Mutex
	claims  map[string]*trefoilkeelv1.ClaimResponse
	digests sync.Map
	down    atomic.Bool
	onGrant func() // called after a grant, before its answer
}

func (l *fakeLedger) Claim(_ context.Context, r *connect.Request[trefoilkeelv1.ClaimRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	if l.down.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	m := r.Msg
	id := m.GetWorkspace() + "/" + m.GetKey()
	c := l.claims[id]
	if c == nil || (c.GetState() == trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN && c.GetAttempt() == m.GetAfterAttempt()) {
		next := &trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_RUNNING, Attempt: c.GetAttempt() + 1, RequestId: m.GetRequestId(), Endpoint: m.GetEndpoint(), Incarnation: m.GetIncarnation()}
		l.claims[id] = next
		l.digests.Store(id, string(m.GetBodyDigest()))
		if l.onGrant != nil {
			l.onGrant()
		}
		granted := &trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_GRANTED, Attempt: next.Attempt, RequestId: next.RequestId, Endpoint: next.Endpoint, Incarnation: next.Incarnation}
		return connect.NewResponse(granted), nil
	}
	if d, _ := l.digests.Load(id); d != string(m.GetBodyDigest()) {
		return connect.NewResponse(&trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_CONFLICT}), nil
	}
	return connect.NewResponse(proto.CloneOf(c)), nil
}

func (l *fakeLedger) Settle(_ context.Context, r *connect.Request[trefoilkeelv1.SettleRequest]) (*connect.Response[trefoilkeelv1.SettleResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m := r.Msg
	c := l.claims[m.GetWorkspace()+"/"+m.GetKey()]
	if c.GetAttempt() == m.GetAttempt() && c.GetState() == trefoilkeelv1.ClaimState_CLAIM_STATE_RUNNING {
		c.Answer = m.GetAnswer()
		c.State = map[trefoilkeelv1.Execution]trefoilkeelv1.ClaimState{
			trefoilkeelv1.Execution_EXECUTION_RAN:     trefoilkeelv1.ClaimState_CLAIM_STATE_SETTLED,
			trefoilkeelv1.Execution_EXECUTION_NOT_RUN: trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN,
			trefoilkeelv1.Execution_EXECUTION_UNKNOWN: trefoilkeelv1.ClaimState_CLAIM_STATE_UNKNOWN,
		}[m.GetExecution()]
	}
	return connect.NewResponse(&trefoilkeelv1.SettleResponse{State: c.GetState()}), nil
}

func (l *fakeLedger) Lookup(_ context.Context, r *connect.Request[trefoilkeelv1.LookupRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.claims[r.Msg.GetWorkspace()+"/"+r.Msg.GetKey()]; c != nil {
		return connect.NewResponse(proto.CloneOf(c)), nil
	}
	return connect.NewResponse(&trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_NONE}), nil
}
