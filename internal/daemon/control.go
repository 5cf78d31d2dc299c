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

// controlRole is a control host: the replicated log with the services over it.
type controlRole struct {
	daemon   *Daemon
	url      string
	listener net.Listener
	replica  *replica.Replica
	machine  *state.Machine
	server   *control.Server
}

// socket is the role's listener, nil if it was not bound.
func (c *controlRole) socket() net.Listener {
	if c == nil {
		return nil
	}
	return c.listener
}

// addControl builds the control host.
func (d *Daemon) addControl() {
	s := d.settings.Control
	if s == nil {
		return
	}
	role := &controlRole{daemon: d, listener: d.listen("control.listen", s.Listen)}
	role.url = boundURL(s.URL, role.listener)
	d.control = role
	if role.listener == nil {
		return
	}
	machine := state.New(state.Options{})
	log, err := replica.Open(replica.Options{
		ID:        s.ID,
		ClusterID: s.ClusterID,
		Dir:       d.settings.Process.DataFolder,
		SelfURL:   role.url,
		Members:   d.members(s, role),
		Bootstrap: s.Bootstrap,
		Machine:   machine,
		HTTP:      d.rpcClient(),
		Logger:    d.logger,
	})
	if err != nil {
		d.problems = append(d.problems, err)
		return
	}
	role.replica = log
	role.machine = machine
	role.server = control.New(control.Options{Machine: machine, Log: log, Logger: d.logger, HTTP: d.rpcClient(), Auth: d.auth()})
	d.tree.Add("control", role.run)
}

// members are the initial voters; this host's own URL has the bound port.
func (d *Daemon) members(s *settings.Control, role *controlRole) []replica.Member {
	var members []replica.Member
	for _, m := range s.Members {
		url := m.URL
		if m.ID == s.ID {
			url = role.url
		}
		members = append(members, replica.Member{ID: m.ID, URL: url, Voter: true})
	}
	return members
}

// auth builds the operators' rights from the settings.
func (d *Daemon) auth() admin.Auth {
	auth := admin.Auth{Open: d.options.OpenAdministration}
	for _, t := range d.settings.Control.Tokens {
		token := admin.Token{Name: t.Name, Hash: t.Hash}
		for _, role := range t.Roles {
			token.Roles = append(token.Roles, admin.Role(role))
		}
		auth.Tokens = append(auth.Tokens, token)
	}
	return auth
}

// handler joins the services of a control host.
func (c *controlRole) handler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(c.replica.Handler())
	mux.Handle("/", c.server.Handler())
	return mux
}

// run serves until ctx ends, then hands the leadership over and stops.
func (c *controlRole) run(ctx context.Context) error {
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	group, groupCtx := errgroup.WithContext(work)
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
		c.handOver(groupCtx)
		stop()
		return nil
	})
	return group.Wait()
}

// handOver gives the leadership to another host before a planned stop.
func (c *controlRole) handOver(ctx context.Context) {
	if _, _, leading := c.replica.Leading(); !leading {
		return
	}
	limit, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := c.replica.TransferLeadership(limit); err != nil {
		c.daemon.logger.Warn("leadership not handed over", "error", err)
	}
}
