package main

import (
	"context"
	"fmt"

	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
)

// exampleCommand is a shell command that sends a request to the embedded router.
const exampleCommand = `try:
  curl %s/v1/chat/completions -H 'Authorization: Bearer demo-riders-key' \
    -d '{"model":"rally-text","max_tokens":8,"messages":[{"role":"user","content":"Which stages are closed?"}]}'
`

// submitInitialTicket submits a ticket file to the embedded system; an empty name
// submits none.
func submitInitialTicket(ctx context.Context, system *daemon.Embedded, file string) error {
	if file == "" {
		return nil
	}
	_, err := system.Submit(ctx, file)
	return err
}

// runEmbedded runs a control host, a router, agents and stand-in endpoints on
// loopback until ctx ends.
func runEmbedded(ctx context.Context, c *cli) int {
	logger := newLogger("info")
	standins, endpoints, err := daemon.StartStandins()
	if err != nil {
		return reportStartFailure(err)
	}
	defer standins.Stop()
	system, err := daemon.StartEmbedded(daemon.EmbeddedOptions{
		Endpoints: endpoints, RouterListen: c.Router, ControlListen: c.Control, Logger: logger,
	})
	if err != nil {
		return reportStartFailure(err)
	}
	if err := submitInitialTicket(ctx, system, c.Ticket); err != nil {
		_ = system.Stop(context.Background())
		return reportStartFailure(err)
	}
	fmt.Println("control at", system.Control.ControlURL())
	fmt.Println("callers at", system.Routers[0].RouterURL())
	fmt.Printf(exampleCommand, system.Routers[0].RouterURL())
	<-ctx.Done()
	if err := system.Stop(context.Background()); err != nil {
		logger.Error("stop failed", "error", err)
		return exitFailed
	}
	return 0
}
