// Command trefoilkeeld is the daemon. It runs the roles that its settings name.
package main

import (
	"context"
	"fmt"
	"log"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/trefoilkeel/trefoilkeel/internal/daemon"
	"github.com/trefoilkeel/trefoilkeel/internal/logging"
	"github.com/trefoilkeel/trefoilkeel/internal/settings"
	"github.com/trefoilkeel/trefoilkeel/platform"
)

// Exit codes of the daemon.
const (
	exitFailed   = 1 // a role failed while running
	exitSettings = 2 // the settings or an address were refused
)

// cli are the daemon's flags.
type cli struct {
	Settings string `help:"TOML file with the settings." type:"path" xor:"mode" required:""`
	Embedded bool   `help:"Run a whole system with stand-in endpoints on loopback." xor:"mode" required:""`
	Platform string `help:"Run a role (entry, control) on the platform that names the settings in its environment." xor:"mode" required:"" enum:"entry,control,"  default:""`
	Check    bool   `help:"Only check the settings."`
	Router   string `help:"Address of the embedded router." default:"127.0.0.1:7100"`
	Control  string `help:"Address of the embedded control host." default:"127.0.0.1:7300"`
	Ticket   string `help:"First ticket of the embedded system; empty for none." default:"examples/rally/ticket-001.toml"`
}

func main() {
	c := &cli{}
	kong.Parse(c, kong.Name("trefoilkeeld"), kong.Description("Route language-model traffic by tiers."), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if c.Platform != "" {
		os.Exit(runPlatform(ctx, c.Platform))
	}
	if c.Embedded {
		os.Exit(runEmbedded(ctx, c))
	}
	os.Exit(runSettings(ctx, c))
}

// runSettings checks the settings and runs their roles until ctx ends.
func runSettings(ctx context.Context, c *cli) int {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return refuse(err)
	}
	if c.Check {
		fmt.Println("settings", c.Settings, "are good")
		return 0
	}
	logger := newLogger(s.Process.LogLevel)
	config, err := daemon.LoadTLS(s.TLS)
	if err != nil {
		return refuse(err)
	}
	d, err := daemon.New(daemon.Options{Settings: s, Logger: logger, TLS: config})
	if err != nil {
		return refuse(err)
	}
	if err := d.Run(ctx); err != nil {
		logger.Error("process failed", "error", err)
		return exitFailed
	}
	logger.Info("stopped")
	return 0
}

// logLines is how many lines may wait for standard output.
const logLines = 2000

// runPlatform runs a role on the platform until ctx ends.
func runPlatform(ctx context.Context, role string) int {
	lines := logging.NewAsync(os.Stdout, logLines)
	linesCtx, stopLines := context.WithCancel(context.WithoutCancel(ctx))
	written := make(chan struct{})
	go func() { defer close(written); lines.Run(linesCtx) }()
	defer func() { stopLines(); <-written }()
	logger := logging.New(lines, slog.LevelInfo)
	log.SetFlags(0)
	log.SetOutput(daemon.ShortWriter{Logger: logger})
	if err := platform.Run(ctx, role, logger); err != nil {
		logger.Error("process failed", "role", role, "error", err)
		return exitFailed
	}
	return 0
}

// refuse prints why the process does not start.
func refuse(err error) int {
	fmt.Fprintln(os.Stderr, "trefoilkeeld:", err)
	return exitSettings
}

// newLogger writes JSON lines to standard error; the standard logger, which
// libraries use, is bounded by it.
func newLogger(level string) *slog.Logger {
	var l slog.Level
	if l.UnmarshalText([]byte(level)) != nil {
		l = slog.LevelInfo
	}
	logger := logging.New(os.Stderr, l)
	log.SetFlags(0)
	log.SetOutput(daemon.ShortWriter{Logger: logger})
	return logger
}
