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

// Times of an agent's duties.
const (
	reportWait   = 100 * time.Millisecond // to gather the figures of a heartbeat
	orderTimeout = 30 * time.Second
	leaveTimeout = 5 * time.Second
	// leavePause is how long a leaving agent goes on refusing what routers send
	// that don't know of it yet: some round trips to control and a retransmission.
	leavePause = 500 * time.Millisecond
)

// agentRole is the agent of one endpoint with its listener and its lease.
type agentRole struct {
	daemon    *Daemon
	listener  net.Listener
	agent     *agent.Agent
	announcer *follow.Announcer
}

// socket is the role's listener, nil if it was not bound.
func (a *agentRole) socket() net.Listener { return a.listener }

// addAgents builds the agents.
func (d *Daemon) addAgents() {
	for i, s := range d.settings.Agents {
		key := "agent[" + strconv.Itoa(i) + "].listen"
		role := d.newAgent(s, d.listen(key, s.Listen))
		d.agents = append(d.agents, role)
		d.tree.Add("agent "+s.Endpoint, role.run)
	}
}

// newAgent builds one agent behind its listener.
func (d *Daemon) newAgent(s settings.Agent, listener net.Listener) *agentRole {
	role := &agentRole{daemon: d, listener: listener}
	endpoint := &trefoilkeelv1.Endpoint{
		Name:          s.Endpoint,
		Group:         s.Group,
		Kind:          endpointKind(s.Kind),
		Host:          d.settings.Process.Host,
		FailureDomain: d.settings.Process.FailureDomain,
		AgentUrl:      boundURL(s.URL, listener),
		Models:        s.Models,
		ChecksFence:   s.ChecksFence,
	}
	base, err := url.Parse(s.EndpointURL)
	if err != nil {
		d.problems = append(d.problems, err)
		return role
	}
	config := d.options.Flow
	if config.Slots == 0 {
		config.Slots = s.Slots
		config.MaxSlots = s.MaxSlots
		config.Adaptive = endpoint.GetKind() == trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE
	}
	role.agent = agent.New(agent.Options{
		Endpoint:      endpoint,
		EndpointURL:   base,
		Configuration: d.client,
		Flow:          config,
		MaxBody:       s.MaxBody,
		Logger:        d.logger,
	})
	role.announcer = follow.NewAnnouncer(follow.AnnouncerOptions{
		ControlURLs: d.controlURLs(),
		Endpoint:    endpoint,
		Report:      role.report,
		HTTP:        d.rpcClient(),
		Logger:      d.logger,
	})
	role.agent.OnRecordsFull(role.announcer.Renew)
	return role
}

// endpointKind reads the kind of the settings.
func endpointKind(text string) trefoilkeelv1.EndpointKind {
	if text == "service" {
		return trefoilkeelv1.EndpointKind_ENDPOINT_KIND_SERVICE
	}
	return trefoilkeelv1.EndpointKind_ENDPOINT_KIND_ENGINE
}

// report gathers the figures of a heartbeat.
func (a *agentRole) report() follow.Report {
	ctx, cancel := context.WithTimeout(context.Background(), reportWait)
	defer cancel()
	state := trefoilkeelv1.EndpointState_ENDPOINT_STATE_ACTIVE
	if a.agent.Draining() {
		state = trefoilkeelv1.EndpointState_ENDPOINT_STATE_DRAINING
	}
	return follow.Report{Load: a.agent.Load(ctx), State: state, Models: a.agent.Models()}
}

// run serves until ctx ends, then drains, leaves, and returns once nothing is
// in flight.
func (a *agentRole) run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(work)
	group.Go(func() error { return a.agent.Run(groupCtx) })
	group.Go(func() error { return a.announcer.Run(groupCtx) })
	group.Go(func() error { return a.follow(groupCtx) })
	group.Go(func() error { return a.carryOut(groupCtx) })
	group.Go(func() error {
		return rpc.Serve(groupCtx, a.listener, a.agent.Handler(), a.daemon.options.TLS, a.daemon.logger)
	})
	group.Go(func() error {
		select {
		case <-groupCtx.Done():
			return nil
		case <-ctx.Done():
		}
		a.leave(groupCtx)
		stop()
		return nil
	})
	return group.Wait()
}

// leave ends the endpoint's work for a planned stop.
func (a *agentRole) leave(ctx context.Context) {
	a.agent.SetDraining(true)
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := a.announcer.Leave(leaveCtx); err != nil {
		a.daemon.logger.Warn("leave not recorded", "error", err)
	}
	wait.For(ctx, leavePause)
	limit, cancelStop := context.WithTimeout(ctx, time.Duration(a.daemon.settings.Process.StopTimeout))
	defer cancelStop()
	if err := a.agent.Stop(limit); err != nil {
		a.daemon.logger.Warn("requests in flight at the end of the stop timeout", "error", err)
	}
}

// follow takes over the incarnation and the wish to drain as they change.
func (a *agentRole) follow(ctx context.Context) error {
	for {
		if incarnation := a.announcer.Incarnation(); incarnation > 0 {
			a.agent.SetIncarnation(incarnation)
		}
		a.agent.SetWantedDrain(a.announcer.Draining())
		select {
		case <-a.announcer.Changed():
		case <-ctx.Done():
			return nil
		}
	}
}

// carryOut passes orders to the engine, one at a time.
func (a *agentRole) carryOut(ctx context.Context) error {
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
