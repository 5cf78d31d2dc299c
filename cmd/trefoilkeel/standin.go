package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/trefoilkeel/trefoilkeel/internal/standin"
)

const standinHeaderTimeout = 5 * time.Second

// standinCommand runs a stand-in for an endpoint.
type standinCommand struct {
	Engine  standinEngineCommand  `cmd:"" help:"Run a stand-in model engine."`
	Service standinServiceCommand `cmd:"" help:"Run a stand-in plain service."`
}

// standinEngineCommand runs a stand-in model engine.
type standinEngineCommand struct {
	Listen          string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Name            string        `default:"engine" help:"Name in the records."`
	Models          []string      `help:"Models loaded at the start; none: any name is served."`
	Slots           int           `help:"Sequences stepped together."`
	StepBase        time.Duration `help:"Duration of a step of an empty batch."`
	StepPerSequence time.Duration `help:"Time that each sequence adds to a step."`
	LoadLag         time.Duration `help:"Age of load reports."`
	EventDelay      time.Duration `help:"Age at which cache events show."`
	EventGap        int           `help:"Lose each n-th cache event."`
	IgnoreFence     bool          `help:"Accept orders with an old fencing number."`
}

// Run serves until SIGINT or SIGTERM.
func (c *standinEngineCommand) Run() error {
	return serveStandin(c.Listen, standin.NewEngine(standin.EngineConfig{
		Name: c.Name, Models: c.Models, Slots: c.Slots,
		StepBase: c.StepBase, StepPerSequence: c.StepPerSequence,
		LoadLag: c.LoadLag, EventDelay: c.EventDelay, EventGap: c.EventGap, IgnoreFence: c.IgnoreFence,
	}).Handler())
}

// standinServiceCommand runs a stand-in plain service.
type standinServiceCommand struct {
	Listen  string        `default:"127.0.0.1:0" help:"Address to listen on."`
	Name    string        `default:"service" help:"Name in the records."`
	Latency time.Duration `default:"20ms" help:"Duration of one run."`
	Slots   int           `help:"Runs at the same time; 0: no bound."`
}

// Run serves until SIGINT or SIGTERM.
func (c *standinServiceCommand) Run() error {
	return serveStandin(c.Listen, standin.NewService(standin.ServiceConfig{
		Name: c.Name, Latency: c.Latency, Slots: c.Slots,
	}).Handler())
}

// serveStandin prints the base URL and serves until SIGINT or SIGTERM.
func serveStandin(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Wrap(err, "listen for the stand-in")
	}
	if _, err := os.Stdout.WriteString("http://" + listener.Addr().String() + "\n"); err != nil {
		return errors.Wrap(err, "print the address")
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: standinHeaderTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err := server.Serve(listener); err != nil && ctx.Err() == nil {
		return errors.Wrap(err, "serve the stand-in")
	}
	return nil
}
