package daemon

import (
	"context"
	"net"
	"net/http"

	"golang.org/x/sync/errgroup"

	"github.com/trefoilkeel/trefoilkeel/internal/admin"
	"github.com/trefoilkeel/trefoilkeel/internal/control"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"github.com/trefoilkeel/trefoilkeel/internal/rpc"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
)

// controlRole runs a control host: a replica of the log, the state machine that
// it drives, and the RPC services on top.
type controlRole struct {
	daemon       *Daemon
	url          string
	listener     net.Listener
	replica      *replica.Replica
	stateMachine *state.Machine
	server       *control.Server
}

// boundListener returns the listener, or nil without the role or if binding failed.
func (c *controlRole) boundListener() net.Listener {
	if c == nil {
		return nil
	}
	return c.listener
}

// addControl adds the control host if the settings have one.
func (d *Daemon) addControl() {
	s := d.settings.Control
	if s == nil {
		return
	}
	role := &controlRole{daemon: d, listener: d.listen("control.listen", s.Listen)}
	role.url = withBoundPort(s.URL, role.listener)
	d.control = role
	if role.listener == nil {
		return
	}
	var stateMachine *state.Machine
	members := d.initialMembers(s, role)
	logReplica, err := replica.Open(replica.Options{
		ID:              s.ID,
		ClusterName:     s.ClusterID,
		DataDir:         d.settings.Process.DataFolder,
		SelfURL:         role.url,
		InitialMembers:  members,
		JoinMembers:     members,
		Bootstrap:       s.Bootstrap,
		NewStateMachine: func() replica.StateMachine { stateMachine = state.New(state.Options{}); return stateMachine },
		HTTPClient:      d.rpcClient(),
		Logger:          d.logger,
	})
	if err != nil {
		d.problems = append(d.problems, err)
		return
	}
	role.replica = logReplica
	role.stateMachine = stateMachine
	role.server = control.New(control.Options{StateMachine: stateMachine, Log: logReplica, Logger: d.logger, HTTPClient: d.rpcClient(), Auth: d.adminAuth()})
	d.tree.Add("control", role.run)
}

// initialMembers returns the initial voters, with the bound port in this host's
// own URL.
func (d *Daemon) initialMembers(s *settings.Control, role *controlRole) []replica.Member {
	var members []replica.Member
	for _, m := range s.InitialMembers {
		url := m.URL
		if m.ID == s.ID {
			url = role.url
		}
		members = append(members, replica.Member{ID: m.ID, URL: url, IsVoter: true})
	}
	return members
}

// adminAuth converts the operator tokens of the settings.
func (d *Daemon) adminAuth() admin.Auth {
	auth := admin.Auth{AllowAnonymous: d.options.DisableAdminAuth}
	for _, t := range d.settings.Control.Tokens {
		token := admin.Token{Name: t.Name, Hash: t.SHA256Hex}
		for _, role := range t.Roles {
			token.Roles = append(token.Roles, admin.Role(role))
		}
		auth.Tokens = append(auth.Tokens, token)
	}
	return auth
}

// handler serves the replica's and the control server's RPCs on one listener.
func (c *controlRole) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(c.replica.Handler())
	mux.Handle("/", c.server.Handler())
	return mux
}

// run serves until ctx ends, then transfers the leadership and stops.
func (c *controlRole) run(ctx context.Context) error {
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	group, groupCtx := errgroup.WithContext(serveCtx)
	group.Go(func() error { return c.replica.Run(groupCtx) })
	group.Go(func() error { return c.server.Run(groupCtx) })
	group.Go(func() error {
		return rpc.Serve(groupCtx, c.listener, c.handler(), c.daemon.options.TLS, c.daemon.logger)
	})
	group.Go(func() error {
		select {
		case <-groupCtx.Done():
			return nil
		case <-ctx.Done():
		}
		c.transferLeadership(groupCtx)
		stopServing()
		return nil
	})
	return group.Wait()
}

// transferLeadership transfers the leadership, if this host has it, to another
// host before a planned stop.
func (c *controlRole) transferLeadership(ctx context.Context) {
	if _, _, leading := c.replica.LeaderLease(); !leading {
		return
	}
	transferCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(transferCtx); err != nil {
		c.daemon.logger.Warn("leadership transfer failed", "error", err)
	}
}
