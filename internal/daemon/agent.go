package daemon

import (
	"context"
	"net"
	"net/url"
	"strconv"
	"time"

	"golang.org/x/sync/errgroup"

	trefoilkeelv1 "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/agent"
	"github.com/trefoilkeel/trefoilkeel/internal/follow"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Timeouts of agents and, for handoverTimeout, control hosts.
const (
	loadQueryTimeout = 100 * time.Millisecond // limits reading the queue load for a heartbeat or metrics
	orderTimeout     = 30 * time.Second
	// handoverTimeout bounds an agent's leave and a control host's leadership transfer
	// when they stop.
	handoverTimeout = 5 * time.Second
	// leaveRefusalPeriod is how long a leaving agent keeps its listener open to
	// refuse requests from routers that have not yet learned of its leave. It
	// covers some round trips to control and a retransmission.
	leaveRefusalPeriod = 500 * time.Millisecond
)

// agentRole runs the agent of one endpoint, its listener, and the announcer
// that renews the endpoint's lease.
type agentRole struct {
	daemon    *Daemon
	listener  net.Listener
	agent     *agent.Agent
	announcer *follow.Announcer
}

// boundListener returns the listener, or nil if binding failed.
func (a *agentRole) boundListener() net.Listener { return a.listener }

// addAgents adds an agent for each endpoint in the settings.
func (d *Daemon) addAgents() {
	for i, s := range d.settings.Agents {
		key := "agent[" + strconv.Itoa(i) + "].listen"
		role := d.newAgent(s, d.listen(key, s.Listen))
		d.agents = append(d.agents, role)
		d.tree.Add("agent "+s.Endpoint, role.run)
	}
}

// newAgent builds the agent of one endpoint and its announcer.
func (d *Daemon) newAgent(s settings.Agent, listener net.Listener) *agentRole {
	role := &agentRole{daemon: d, listener: listener}
	endpoint := &trefoilkeelv1.Endpoint{
		Name:          s.Endpoint,
		Group:         s.Group,
		Kind:          parseEndpointKind(s.Kind),
		Host:          d.settings.Process.Host,
		FailureDomain: d.settings.Process.FailureDomain,
		AgentUrl:      withBoundPort(s.URL, listener),
		Models:        s.Models,
		ChecksFence:   s.ChecksFence,
	}
	endpointURL, err := url.Parse(s.EndpointURL)
	if err != nil {
		d.problems = append(d.problems, err)
		return role
	}
	queueConfig := d.options.AgentQueue
	if queueConfig.Slots == 0 {
		queueConfig.Slots = s.InitialSlots
		queueConfig.MaxSlots = s.MaxSlots
		queueConfig.Adaptive = endpoint.GetKind() == trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE
	}
	role.agent = agent.New(agent.Options{
		Endpoint:     endpoint,
		EndpointURL:  endpointURL,
		ConfigSource: d.directoryClient,
		Flow:         queueConfig,
		MaxBodyBytes: s.MaxBodyBytes, MaxAnswerMemoryBytes: s.MaxAnswerMemoryBytes,
		Logger: d.logger,
	})
	role.announcer = follow.NewAnnouncer(follow.AnnouncerOptions{
		ControlURLs: d.controlURLs(),
		Endpoint:    endpoint,
		Report:      role.heartbeatReport,
		HTTPClient:  d.rpcClient(),
		Logger:      d.logger,
	})
	role.agent.OnRecordsFull(role.announcer.RequestNewIncarnation)
	return role
}

// parseEndpointKind converts the kind given in the settings; engine is the default.
func parseEndpointKind(text string) trefoilkeelv1.EndpointKind {
	if text == "service" {
		return trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE
	}
	return trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE
}

// heartbeatReport returns the load, state and models for a heartbeat.
func (a *agentRole) heartbeatReport() follow.EndpointReport {
	ctx, cancel := context.WithTimeout(context.Background(), loadQueryTimeout)
	defer cancel()
	state := trefoilkeelv1.EndpointState_ENDPOINT_STATE_ACTIVE
	if a.agent.Draining() {
		state = trefoilkeelv1.EndpointState_ENDPOINT_STATE_DRAINING
	}
	return follow.EndpointReport{Load: a.agent.Load(ctx), State: state, Models: a.agent.Models()}
}

// run serves until ctx ends, then drains, leaves, and returns once no request
// is in flight or the stop timeout expires.
func (a *agentRole) run(ctx context.Context) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return a.agent.Run(groupCtx) })
	group.Go(func() error { return a.announcer.Run(groupCtx) })
	group.Go(func() error { return a.applyControlUpdates(groupCtx) })
	group.Go(func() error { return a.executeOrders(groupCtx) })
	group.Go(func() error {
		return rpc.Serve(groupCtx, a.listener, a.agent.Handler(), a.daemon.options.TLS, a.daemon.logger)
	})
	group.Go(func() error {
		select {
		case <-groupCtx.Done():
			return nil
		case <-ctx.Done():
		}
		a.drainAndLeave(groupCtx)
		stopServing()
		return nil
	})
	return group.Wait()
}

// drainAndLeave refuses new work, tells control that the endpoint leaves, and
// waits for requests in flight up to the stop timeout.
func (a *agentRole) drainAndLeave(ctx context.Context) {
	a.agent.SetDraining(true)
	leaveCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := a.announcer.Leave(leaveCtx); err != nil {
		a.daemon.logger.Warn("could not tell control that the endpoint leaves", "error", err)
	}
	wait.For(ctx, leaveRefusalPeriod)
	drainCtx, cancelDrain := context.WithTimeout(ctx, time.Duration(a.daemon.settings.Process.StopTimeout))
	defer cancelDrain()
	if err := a.agent.Stop(drainCtx); err != nil {
		a.daemon.logger.Warn("stop timeout expired with requests in flight", "error", err)
	}
}

// applyControlUpdates passes the granted incarnation and an operator's drain
// request to the agent whenever one changes.
func (a *agentRole) applyControlUpdates(ctx context.Context) error {
	for {
		if incarnation := a.announcer.Incarnation(); incarnation > 0 {
			a.agent.SetIncarnation(incarnation)
		}
		a.agent.SetControlDraining(a.announcer.DrainRequested())
		select {
		case <-a.announcer.Changed():
		case <-ctx.Done():
			return nil
		}
	}
}

// executeOrders executes orders from control on the engine, one at a time.
func (a *agentRole) executeOrders(ctx context.Context) error {
	for {
		select {
		case order := <-a.announcer.Orders():
			callCtx, cancel := context.WithTimeout(ctx, orderTimeout)
			a.agent.Execute(callCtx, order)
			cancel()
		case <-ctx.Done():
			return nil
		}
	}
}
