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
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/agent"
	"github.com/trefoilkeel/trefoilkeel/internal/flow"
	"github.com/trefoilkeel/trefoilkeel/internal/router"
	"github.com/trefoilkeel/trefoilkeel/internal/standin"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const (
	ridersKey = "demo-riders-key"
	// testAnswerMemoryBytes is the memory for long answers of each router and agent.
	testAnswerMemoryBytes = 8 << 20
	clubKey               = "demo-club-key" // its workspace has the same services as riders' and most of its classes
)

// testCluster connects a router, agents and stand-in endpoints over loopback.
type testCluster struct {
	mu            sync.Mutex
	endpoints     []*trefoilkeelv1.Endpoint
	config        *ticket.Configuration
	engines       []*standin.Engine
	service       *standin.Service
	agents        map[string]*agent.Agent
	primaryRouter *router.Router
	routerURL     string
	ledger        *fakeLedger
	flow          flow.Config // for agents added later
	cleanups      []func()
}

func (cluster *testCluster) Configuration() *ticket.Configuration { return cluster.config }

func (cluster *testCluster) Endpoints() []*trefoilkeelv1.Endpoint {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	return cluster.endpoints
}

// newTestCluster starts the engines, and two agents in front of one plain service.
func newTestCluster(engineCount int) *testCluster {
	return newTestClusterWithFlow(engineCount, flow.Config{})
}

func newTestClusterWithFlow(engineCount int, config flow.Config) *testCluster {
	return newConfiguredTestCluster(engineCount, config, testConfiguration())
}

func newConfiguredTestCluster(engineCount int, config flow.Config, configuration *ticket.Configuration) *testCluster {
	cluster := &testCluster{flow: config, config: configuration, agents: map[string]*agent.Agent{}, ledger: &fakeLedger{claims: map[string]*trefoilkeelv1.ClaimResponse{}}}
	for i := range engineCount {
		engine := standin.NewEngine(standin.EngineConfig{Name: "engine", StepBase: time.Millisecond, StepPerSequence: time.Microsecond, PrefillPerByte: time.Nanosecond})
		cluster.engines = append(cluster.engines, engine)
		cluster.addAgent("engine-"+strconv.Itoa(i), "advice", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE, "advice", cluster.startServer(engine.Handler()))
	}
	cluster.service = standin.NewService(standin.ServiceConfig{Name: "entries"})
	serviceURL := cluster.startServer(cluster.service.Handler())
	for i := range 2 {
		cluster.addAgent("entries-"+strconv.Itoa(i), "entries", trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE, "entries", serviceURL)
	}
	cluster.primaryRouter, cluster.routerURL = cluster.newRouter("router-1")
	return cluster
}

func (cluster *testCluster) newRouter(name string) (*router.Router, string) {
	rt := router.New(router.Options{Name: name, ConfigSource: cluster, LedgerClient: cluster.ledger, AgentClient: &http.Client{}, MaxBodyBytes: 1 << 16, MaxAnswerMemoryBytes: testAnswerMemoryBytes, Logger: slog.New(slog.DiscardHandler)})
	return rt, cluster.startServer(rt.Handler())
}

func (cluster *testCluster) startServer(h http.Handler) string {
	server := httptest.NewUnstartedServer(h)
	server.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	server.Start()
	cluster.cleanups = append(cluster.cleanups, func() { server.CloseClientConnections(); server.Close() })
	return server.URL
}

func (cluster *testCluster) addAgent(name, group string, kind trefoilkeelv1.EndpointKind, target, endpointURL string) {
	endpointBaseURL, err := url.Parse(endpointURL)
	Expect(err).NotTo(HaveOccurred())
	endpoint := &trefoilkeelv1.Endpoint{Name: name, Incarnation: 1, Group: group, Kind: kind, FailureDomain: "a", State: trefoilkeelv1.EndpointState_ENDPOINT_STATE_ACTIVE, Models: []string{target}}
	a := agent.New(agent.Options{Endpoint: endpoint, EndpointURL: endpointBaseURL, ConfigSource: cluster, Flow: cluster.flow, MaxBodyBytes: 1 << 20, MaxAnswerMemoryBytes: testAnswerMemoryBytes, Logger: slog.New(slog.DiscardHandler)})
	a.SetIncarnation(1)
	ctx, cancel := context.WithCancel(context.Background())
	cluster.cleanups = append(cluster.cleanups, cancel)
	go func() { _ = a.Run(ctx) }()
	endpoint.AgentUrl = cluster.startServer(a.Handler())
	cluster.agents[name] = a
	cluster.endpoints = append(cluster.endpoints, endpoint)
}

func (cluster *testCluster) shutdown() {
	for i := len(cluster.cleanups) - 1; i >= 0; i-- {
		cluster.cleanups[i]()
	}
}

// restartAgent gives an agent a new incarnation, as a restart does.
func (cluster *testCluster) restartAgent(name string, incarnation uint64) {
	cluster.mu.Lock()
	defer cluster.mu.Unlock()
	var updated []*trefoilkeelv1.Endpoint
	for _, endpoint := range cluster.endpoints {
		if endpoint.GetName() == name {
			endpoint = &trefoilkeelv1.Endpoint{Name: name, Incarnation: incarnation, Group: endpoint.Group, Kind: endpoint.Kind, FailureDomain: "a", State: endpoint.State, Models: endpoint.Models, AgentUrl: endpoint.AgentUrl}
		}
		updated = append(updated, endpoint)
	}
	cluster.endpoints = updated
	cluster.agents[name].SetIncarnation(incarnation)
}

func testConfiguration() *ticket.Configuration {
	ridersHash, clubHash := sha256.Sum256([]byte(ridersKey)), sha256.Sum256([]byte(clubKey))
	deadline := ticket.Duration(20 * time.Second)
	config, faults := ticket.Apply(ticket.NewConfiguration(), &ticket.Ticket{
		Number: 1, Author: "test", Summary: "test",
		Classes: []ticket.Class{
			{Name: "questions", Tier: 2, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(100 * time.Millisecond), Deadline: deadline, Patience: ticket.Duration(10 * time.Second)},
			{Name: "bookings", Tier: 2, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(100 * time.Millisecond), Deadline: deadline, Patience: ticket.Duration(10 * time.Second), NonIdempotent: true},
			{Name: "urgent", Tier: 1, FirstTokenTarget: ticket.Duration(300 * time.Millisecond), BetweenTokensTarget: ticket.Duration(100 * time.Millisecond), Deadline: deadline, Patience: ticket.Duration(10 * time.Second)},
			{Name: "staff", Tier: 1, FirstTokenTarget: ticket.Duration(time.Second), BetweenTokensTarget: ticket.Duration(100 * time.Millisecond), Deadline: deadline, Patience: ticket.Duration(10 * time.Second)},
		},
		Models:   []ticket.Model{{Name: "advice", MaxOutputTokens: 4096}, {Name: "staff-advice", MaxOutputTokens: 4096}},
		Services: []ticket.Service{{Name: "entries", NonIdempotent: true, Class: "bookings"}, {Name: "payroll"}},
		Workspaces: []ticket.Workspace{
			{Name: "riders", KeyHashes: []string{hex.EncodeToString(ridersHash[:])}, Classes: []string{"questions", "bookings", "urgent"}, DefaultClass: "questions", Share: 1},
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
	return config
}

type testRequest struct {
	method, path, body string
	header             map[string]string
}

// testResponse is what the caller received.
type testResponse struct {
	status           int
	execution        string
	errorType        string // "" for an answer
	body             string
	connectionBroken bool // the connection ended early
}

func (cluster *testCluster) send(spec testRequest) testResponse {
	return sendTo(context.Background(), cluster.routerURL, spec)
}

func sendTo(ctx context.Context, baseURL string, spec testRequest) testResponse {
	if spec.method == "" {
		spec.method = http.MethodPost
	}
	request, err := http.NewRequestWithContext(ctx, spec.method, baseURL+spec.path, bytes.NewReader([]byte(spec.body)))
	Expect(err).NotTo(HaveOccurred())
	request.GetBody = nil
	request.Header.Set("Authorization", "Bearer "+ridersKey)
	for name, value := range spec.header {
		request.Header.Set(name, value)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return testResponse{connectionBroken: true}
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	result := testResponse{status: response.StatusCode, execution: response.Header.Get("Trefoilkeel-Execution"), body: string(body), connectionBroken: err != nil}
	var errorBody struct {
		Error struct{ Type string }
	}
	if json.Unmarshal(body, &errorBody) == nil {
		result.errorType = errorBody.Error.Type
	}
	return result
}

func chatRequest(prompt string, maxTokens int, stream bool) testRequest {
	body, _ := json.Marshal(map[string]any{"model": "advice", "stream": stream, "max_tokens": maxTokens, "messages": []standin.Message{{Role: "user", Content: prompt}}})
	return testRequest{path: "/v1/chat/completions", body: string(body)}
}

func enginePrompt(prompt string) string {
	return standin.ChatPrompt([]standin.Message{{Role: "user", Content: prompt}})
}

// answerText returns the text of a streamed or buffered answer; complete reports
// whether a stream's done event came.
func answerText(body string) (text string, complete bool) {
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

// fakeLedger is an in-memory ledger. While unavailable is set, Claim fails.
type fakeLedger struct {
	mu          sync.Mutex
	claims      map[string]*trefoilkeelv1.ClaimResponse
	digests     sync.Map
	unavailable atomic.Bool
	onGrant     func() // called after a grant is stored, before the response
}

func (ledger *fakeLedger) Claim(_ context.Context, r *connect.Request[trefoilkeelv1.ClaimRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	if ledger.unavailable.Load() {
		return nil, connect.NewError(connect.CodeUnavailable, context.DeadlineExceeded)
	}
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	request := r.Msg
	claimKey := request.GetWorkspace() + "/" + request.GetKey()
	claim := ledger.claims[claimKey]
	if claim == nil || (claim.GetState() == trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN && claim.GetAttempt() == request.GetAfterAttempt()) {
		newClaim := &trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_RUNNING, Attempt: claim.GetAttempt() + 1, RequestId: request.GetRequestId(), Endpoint: request.GetEndpoint(), Incarnation: request.GetIncarnation()}
		ledger.claims[claimKey] = newClaim
		ledger.digests.Store(claimKey, string(request.GetBodyDigest()))
		if ledger.onGrant != nil {
			ledger.onGrant()
		}
		granted := &trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_GRANTED, Attempt: newClaim.Attempt, RequestId: newClaim.RequestId, Endpoint: newClaim.Endpoint, Incarnation: newClaim.Incarnation}
		return connect.NewResponse(granted), nil
	}
	if recordedDigest, _ := ledger.digests.Load(claimKey); recordedDigest != string(request.GetBodyDigest()) {
		return connect.NewResponse(&trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_CONFLICT}), nil
	}
	return connect.NewResponse(proto.CloneOf(claim)), nil
}

// claimOf returns the claim of a key of the only workspace in use, nil for none.
func (ledger *fakeLedger) claimOf(key string) *trefoilkeelv1.ClaimResponse {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	for claimKey, claim := range ledger.claims {
		if strings.HasSuffix(claimKey, "/"+key) {
			return proto.CloneOf(claim)
		}
	}
	return nil
}

// agentOf returns a client of the agent that got the attempt of a claim.
func (cluster *testCluster) agentOf(claim *trefoilkeelv1.ClaimResponse) trefoilkeelv1connect.AgentServiceClient {
	for _, endpoint := range cluster.Endpoints() {
		if endpoint.GetName() == claim.GetEndpoint() {
			return trefoilkeelv1connect.NewAgentServiceClient(http.DefaultClient, endpoint.GetAgentUrl())
		}
	}
	return nil
}

// phaseOf returns the phase of the attempt of a claim, 0 if there is no claim.
func (cluster *testCluster) phaseOf(claim *trefoilkeelv1.ClaimResponse) trefoilkeelv1.RequestPhase {
	if claim == nil {
		return trefoilkeelv1.RequestPhase_REQUEST_PHASE_UNSPECIFIED
	}
	response, err := cluster.agentOf(claim).Inspect(context.Background(), connect.NewRequest(&trefoilkeelv1.InspectRequest{
		RequestId: claim.GetRequestId(), Attempt: claim.GetAttempt(), Incarnation: claim.GetIncarnation()}))
	Expect(err).NotTo(HaveOccurred())
	return response.Msg.GetPhase()
}

// tombstone refuses the attempt of a claim permanently.
func (cluster *testCluster) tombstone(claim *trefoilkeelv1.ClaimResponse) trefoilkeelv1.Execution {
	response, err := cluster.agentOf(claim).Tombstone(context.Background(), connect.NewRequest(&trefoilkeelv1.TombstoneRequest{
		RequestId: claim.GetRequestId(), Attempt: claim.GetAttempt(), Incarnation: claim.GetIncarnation()}))
	Expect(err).NotTo(HaveOccurred())
	return response.Msg.GetExecution()
}

func (ledger *fakeLedger) Settle(_ context.Context, r *connect.Request[trefoilkeelv1.SettleRequest]) (*connect.Response[trefoilkeelv1.SettleResponse], error) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	request := r.Msg
	claim := ledger.claims[request.GetWorkspace()+"/"+request.GetKey()]
	if claim.GetAttempt() == request.GetAttempt() && claim.GetState() == trefoilkeelv1.ClaimState_CLAIM_STATE_RUNNING {
		claim.Answer = request.GetAnswer()
		claim.State = map[trefoilkeelv1.Execution]trefoilkeelv1.ClaimState{
			trefoilkeelv1.Execution_EXECUTION_RAN:     trefoilkeelv1.ClaimState_CLAIM_STATE_SETTLED,
			trefoilkeelv1.Execution_EXECUTION_NOT_RUN: trefoilkeelv1.ClaimState_CLAIM_STATE_NOT_RUN,
			trefoilkeelv1.Execution_EXECUTION_UNKNOWN: trefoilkeelv1.ClaimState_CLAIM_STATE_UNKNOWN,
		}[request.GetExecution()]
	}
	return connect.NewResponse(&trefoilkeelv1.SettleResponse{State: claim.GetState()}), nil
}

func (ledger *fakeLedger) Lookup(_ context.Context, r *connect.Request[trefoilkeelv1.LookupRequest]) (*connect.Response[trefoilkeelv1.ClaimResponse], error) {
	ledger.mu.Lock()
	defer ledger.mu.Unlock()
	if claim := ledger.claims[r.Msg.GetWorkspace()+"/"+r.Msg.GetKey()]; claim != nil {
		return connect.NewResponse(proto.CloneOf(claim)), nil
	}
	return connect.NewResponse(&trefoilkeelv1.ClaimResponse{State: trefoilkeelv1.ClaimState_CLAIM_STATE_NONE}), nil
}
