package main

import (
	"context"
	"io"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// drainCommand asks an endpoint to accept no new requests.
type drainCommand struct {
	controlFlags
	Endpoint string `arg:"" help:"Name of the endpoint."`
	Undo     bool   `help:"Let the endpoint take work again."`
}

// Run drains the endpoint, or undoes that. Requests running there are completed.
func (c *drainCommand) Run(out io.Writer) error {
	var result *pb.DrainResponse
	err := c.callWithFailover(idempotentCall, func(ctx context.Context, client adminClient) error {
		request := &pb.DrainRequest{Endpoint: c.Endpoint, Undo: c.Undo}
		resp, err := client.Drain(ctx, connect.NewRequest(request))
		if err == nil {
			result = resp.Msg
		}
		return err
	})
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(out, result)
	}
	return printLine(out, c.Endpoint+" is "+endpointStateName(result.GetState()))
}
