package main

import (
	"context"
	"fmt"
	"io"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// hostCommand groups the commands that change the set of control hosts.
type hostCommand struct {
	Add    hostAddCommand    `cmd:"" help:"Add a control host; it votes once it has caught up."`
	Remove hostRemoveCommand `cmd:"" help:"Take a control host out of the voting set."`
}

// hostAddCommand adds a control host.
type hostAddCommand struct {
	controlFlags
	ID  uint64 `arg:"" help:"Number of the control host."`
	URL string `arg:"" help:"Base URL under which the other control hosts reach it."`
}

// Run adds the control host.
func (c *hostAddCommand) Run(out io.Writer) error {
	var result *pb.AddHostResponse
	err := c.callWithFailover(nonIdempotentCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.AddHost(ctx, connect.NewRequest(&pb.AddHostRequest{Id: c.ID, Url: c.URL}))
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
	return printLine(out, fmt.Sprintf("control host %d was added; it votes once it has caught up", c.ID))
}

// hostRemoveCommand removes a control host.
type hostRemoveCommand struct {
	controlFlags
	ID uint64 `arg:"" help:"Number of the control host."`
}

// Run removes the control host.
func (c *hostRemoveCommand) Run(out io.Writer) error {
	var result *pb.RemoveHostResponse
	err := c.callWithFailover(nonIdempotentCall, func(ctx context.Context, client adminClient) error {
		resp, err := client.RemoveHost(ctx, connect.NewRequest(&pb.RemoveHostRequest{Id: c.ID}))
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
	return printLine(out, fmt.Sprintf("control host %d was taken out", c.ID))
}
