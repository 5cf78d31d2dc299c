// Command trefoilkeel is the operators' tool.
package main

import (
	"os"

	"github.com/alecthomas/kong"
)

// cli lists the commands; each is defined in a file of its own.
type cli struct {
	Version versionCommand `cmd:"" help:"Print the version."`
	Standin standinCommand `cmd:"" help:"Run a stand-in engine or service, for tests and trials."`
	Demo    demoCommand    `cmd:"" help:"Run a whole system on loopback and send it some requests."`
}

func main() {
	c := &cli{}
	ctx := kong.Parse(c, kong.Name("trefoilkeel"), kong.Description("Operate a trefoilkeel router."), kong.UsageOnError())
	if err := ctx.Run(); err != nil {
		os.Exit(exitCode(err))
	}
}
