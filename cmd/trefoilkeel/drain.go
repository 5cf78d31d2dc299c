package main

import (
	"context"
	"io"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// drainCommand asks an endpoint to take no new work.
type drainCommand struct {
	controlFlags
	Endpoint string `arg:"" help:"Name of the endpoint."`
	Undo     bool   `help:"Let the endpoint take work again."`
}

// Run drains the endpoint; requests that run there go on to their end.
func (c *drainCommand) Run(out io.Writer) error {
	var answer *pb.DrainResponse
	err := c.try(repeatableCall, func(ctx context.Context, client adminClient) error {
		request := &pb.DrainRequest{Endpoint: c.Endpoint, Undo: c.Undo}
		resp, err := client.Drain(ctx, connect.NewRequest(request))
		if err == nil {
			answer = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, answer)
	}
	return printLine(out, c.Endpoint+" is "+stateWord(answer.GetState()))
}
