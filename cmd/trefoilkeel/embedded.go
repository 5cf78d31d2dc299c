package main

import (
	"log/slog"

	"github.com/trefoilkeel/trefoilkeel/internal/experiment"
)

// startEmbedded gives the starter of the system in this process.
func startEmbedded(*slog.Logger) experiment.Starter { return nil }
