package control

import (
	"context"
	"fmt"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/replica"
	"google.golang.org/protobuf/proto"
)

// ProposeError reports that a command returned no result. MaybeApplied is false
// if the command will never be applied.
type ProposeError struct {
	MaybeApplied bool
	Cause        error
}

// Error implements the error interface.
func (e *ProposeError) Error() string {
	if e.MaybeApplied {
		return fmt.Sprintf("the result is unknown: %v", e.Cause)
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProposeError) Unwrap() error { return e.Cause }

// UnreadableResultError reports that the result of an applied command could not
// be decoded.
type UnreadableResultError struct{}

// Error implements the error interface.
func (e *UnreadableResultError) Error() string { return "the command's result can't be read" }

// propose replicates a command and returns the result of applying it. Errors
// are of type *ProposeError.
func (s *Server) propose(ctx context.Context, c *pb.Command) (*pb.CommandResult, error) {
	c.NowUnixMs = s.now().UnixMilli()
	if term, ok := s.leaderTerm(); ok {
		c.Term = term
	} else {
		c.Term = s.log.Status().Term
	}
	encoded, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.WithStack(&ProposeError{Cause: err})
	}
	encodedResult, err := s.log.Propose(ctx, encoded)
	if err != nil {
		var notRecorded *replica.NotRecordedError
		return nil, errors.WithStack(&ProposeError{MaybeApplied: !errors.As(err, &notRecorded), Cause: err})
	}
	result := &pb.CommandResult{}
	if len(encodedResult) == 0 || proto.Unmarshal(encodedResult, result) != nil {
		return nil, errors.WithStack(&ProposeError{MaybeApplied: true, Cause: &UnreadableResultError{}})
	}
	return result, nil
}

// proposeInternal proposes a command of this host that no caller waits for, and
// logs a failure.
func (s *Server) proposeInternal(ctx context.Context, c *pb.Command, description string) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.ProposeTimeout)
	defer cancel()
	if _, err := s.propose(ctx, c); err != nil {
		s.logger.Warn("command failed", "command", description, "error", err)
	}
}

// rpcError converts an error of propose for the caller of an RPC: Unavailable
// if the command will never be applied, Unknown if it may have been.
func rpcError(err error) error {
	var failed *ProposeError
	if errors.As(err, &failed) && failed.MaybeApplied {
		return connect.NewError(connect.CodeUnknown, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
