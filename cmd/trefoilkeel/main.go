// Command trefoilkeel is the operators' tool.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// cli lists the commands; each is defined in a file of its own.
type cli struct {
	Version    versionCommand    `cmd:"" help:"Print the version."`
	Standin    standinCommand    `cmd:"" help:"Run a stand-in engine or service, for tests and trials."`
	Experiment experimentCommand `cmd:"" help:"Measure the system under load and faults."`
}

func main() {
	c := &cli{}
	ctx := kong.Parse(c, kong.Name("trefoilkeel"), kong.Description("Operate a trefoilkeel router."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		os.Exit(exitCode(err))
	}
}
