// Command trefoilkeeld is the daemon, which runs the roles named in its settings.
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
	exitFailed       = 1 // a role failed or did not stop; with --platform also a failure to start
	exitStartFailure = 2 // without --platform: invalid settings, or another failure to start
)

// cli holds the daemon's flags.
type cli struct {
	Settings string `help:"TOML file with the settings." type:"path" xor:"mode" required:""`
	Embedded bool   `help:"Run a whole system with stand-in endpoints on loopback." xor:"mode" required:""`
	Platform string `help:"Run a role (entry, control) on the platform that names the settings in its environment." xor:"mode" required:"" enum:"entry,control"`
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
	os.Exit(runDaemon(ctx, c))
}

// runDaemon loads the settings and, unless they are only to be checked, runs
// their roles until ctx ends.
func runDaemon(ctx context.Context, c *cli) int {
	s, err := settings.Load(c.Settings)
	if err != nil {
		return reportStartFailure(err)
	}
	if c.Check {
		fmt.Println("settings", c.Settings, "are good")
		return 0
	}
	logger := newLogger(s.Process.LogLevel)
	tlsConfig, err := daemon.LoadTLS(s.TLS)
	if err != nil {
		return reportStartFailure(err)
	}
	d, err := daemon.New(daemon.Options{Settings: s, Logger: logger, TLS: tlsConfig})
	if err != nil {
		return reportStartFailure(err)
	}
	if err := d.Run(ctx); err != nil {
		logger.Error("process failed", "error", err)
		return exitFailed
	}
	logger.Info("stopped")
	return 0
}

// maxQueuedLogLines is the number of log lines that may wait for a slow standard
// output.
const maxQueuedLogLines = 2000

// runPlatform runs a role with settings from the platform's environment until ctx
// ends. It writes the queued log lines before it returns.
func runPlatform(ctx context.Context, role string) int {
	logWriter := logging.NewAsyncWriter(os.Stdout, maxQueuedLogLines)
	writerCtx, stopWriter := context.WithCancel(context.WithoutCancel(ctx))
	writerDone := make(chan struct{})
	go func() { defer close(writerDone); logWriter.Run(writerCtx) }()
	defer func() { stopWriter(); <-writerDone }()
	logger := logging.New(logWriter, slog.LevelInfo)
	log.SetFlags(0)
	log.SetOutput(daemon.TruncatingLogWriter{Logger: logger})
	if err := platform.Run(ctx, role, logger); err != nil {
		logger.Error("process failed", "role", role, "error", err)
		return exitFailed
	}
	return 0
}

// reportStartFailure prints why the daemon does not start and returns the exit
// code.
func reportStartFailure(err error) int {
	fmt.Fprintln(os.Stderr, "trefoilkeeld:", err)
	return exitStartFailure
}

// newLogger returns a rate-limited logger of JSON lines on standard error. It
// also redirects the standard logger, which libraries use, to it, so that their
// output is limited too.
func newLogger(level string) *slog.Logger {
	var minLevel slog.Level
	if minLevel.UnmarshalText([]byte(level)) != nil {
		minLevel = slog.LevelInfo
	}
	logger := logging.New(os.Stderr, minLevel)
	log.SetFlags(0)
	log.SetOutput(daemon.TruncatingLogWriter{Logger: logger})
	return logger
}
