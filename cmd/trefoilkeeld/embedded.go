package main

import (
	"context"
	"fmt"

	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
)

// exampleCall is a command that sends a request to the embedded system.
const exampleCall = `try:
  curl %s/v1/chat/completions -H 'Authorization: Bearer demo-riders-key' \
    -d '{"model":"rally-text","max_tokens":8,"messages":[{"role":"user","content":"Which stages are closed?"}]}'
`

// firstTicket submits the first ticket, if one is named.
func firstTicket(ctx context.Context, system *daemon.Embedded, file string) error {
	if file == "" {
		return nil
	}
	_, err := system.Submit(ctx, file)
	return err
}

// runEmbedded runs a whole system on loopback until ctx ends.
func runEmbedded(ctx context.Context, c *cli) int {
	logger := newLogger("info")
	standins, endpoints, err := daemon.StartStandins()
	if err != nil {
		return refuse(err)
	}
	defer standins.Stop()
	system, err := daemon.StartEmbedded(daemon.EmbeddedOptions{
		Endpoints: endpoints, RouterListen: c.Router, ControlListen: c.Control, Logger: logger,
	})
	if err != nil {
		return refuse(err)
	}
	if err := firstTicket(ctx, system, c.Ticket); err != nil {
		_ = system.Stop(context.Background())
		return refuse(err)
	}
	fmt.Println("control at", system.Control.ControlURL())
	fmt.Println("callers at", system.Routers[0].RouterURL())
	fmt.Printf(exampleCall, system.Routers[0].RouterURL())
	<-ctx.Done()
	if err := system.Stop(context.Background()); err != nil {
		logger.Error("stop failed", "error", err)
		return exitFailed
	}
	return 0
}
