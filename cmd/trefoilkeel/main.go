// Command trefoilkeel is the command-line tool for operators.
package main

import (
	"io"
	"os"

	"github.com/alecthomas/kong"
)

// cli lists the commands.
type cli struct {
	Version    versionCommand    `cmd:"" help:"Print the version."`
	Ticket     ticketCommand     `cmd:"" help:"Submit, check and show change tickets."`
	Status     statusCommand     `cmd:"" help:"Show control hosts, subscribers and endpoints."`
	Drain      drainCommand      `cmd:"" help:"Ask an endpoint to take no new work."`
	Host       hostCommand       `cmd:"" help:"Change the set of control hosts."`
	Keys       keysCommand       `cmd:"" help:"Make keys."`
	Standin    standinCommand    `cmd:"" help:"Run a stand-in engine or service, for tests and trials."`
	Experiment experimentCommand `cmd:"" help:"Measure the system under load and faults."`
	Explain    explainCommand    `cmd:"" help:"Tell from the lines of all hosts why a request ended as it did."`
	Demo       demoCommand       `cmd:"" help:"Run a whole system on loopback and send it some requests."`
}

func main() {
	c := &cli{}
	ctx := kong.Parse(c, kong.Name("trefoilkeel"), kong.Description("Operate a trefoilkeel router."), kong.UsageOnError(), kong.BindTo(os.Stdout, (*io.Writer)(nil)))
	if err := ctx.Run(); err != nil {
		os.Exit(reportError(err))
	}
}
