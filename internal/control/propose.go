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

// ProposeError says that a command has no known result. Recorded is false if
// it will never be applied; otherwise it may have been.
type ProposeError struct {
	Recorded bool
	Cause    error
}

// Error gives the cause.
func (e *ProposeError) Error() string {
	if e.Recorded {
		return fmt.Sprintf("the result is unknown: %v", e.Cause)
	}
	return e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProposeError) Unwrap() error { return e.Cause }

// ResultError says that a command was applied with an unreadable result.
type ResultError struct{}

// Error says so.
func (e *ResultError) Error() string { return "the command's result can't be read" }

// propose records a command and returns its result. An error is a *ProposeError.
func (s *Server) propose(ctx context.Context, c *pb.Command) (*pb.CommandResult, error) {
	c.NowUnixMs = s.now().UnixMilli()
	if term, ok := s.leading(); ok {
		c.Term = term
	} else {
		c.Term = s.log.Status().Term
	}
	encoded, err := proto.Marshal(c)
	if err != nil {
		return nil, errors.WithStack(&ProposeError{Cause: err})
	}
	answer, err := s.log.Propose(ctx, encoded)
	if err != nil {
		var refused *replica.NotRecorded
		return nil, errors.WithStack(&ProposeError{Recorded: !errors.As(err, &refused), Cause: err})
	}
	result := &pb.CommandResult{}
	if len(answer) == 0 || proto.Unmarshal(answer, result) != nil {
		return nil, errors.WithStack(&ProposeError{Recorded: true, Cause: &ResultError{}})
	}
	return result, nil
}

// proposeOwn records a command that no caller waits for.
func (s *Server) proposeOwn(ctx context.Context, c *pb.Command, what string) {
	ctx, cancel := context.WithTimeout(ctx, s.settings.ProposeTimeout)
	defer cancel()
	if _, err := s.propose(ctx, c); err != nil {
		s.logger.Warn("command failed", "command", what, "error", err)
	}
}

// rpcError turns an error of propose into the error that a caller sees:
// Unavailable if nothing was recorded, Unknown if that is open.
func rpcError(err error) error {
	var failed *ProposeError
	if errors.As(err, &failed) && failed.Recorded {
		return connect.NewError(connect.CodeUnknown, err)
	}
	return connect.NewError(connect.CodeUnavailable, err)
}
