package main

import (
	"context"
	"fmt"

	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
)

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
	fmt.Println("control at", system.Control.ControlURL())
	fmt.Println("callers at", system.Routers[0].RouterURL())
	<-ctx.Done()
	if err := system.Stop(context.Background()); err != nil {
		logger.Error("stop failed", "error", err)
		return exitFailed
	}
	return 0
}
