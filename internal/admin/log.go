package admin

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// call gathers what the log line of one call says.
type call struct {
	caller  caller
	verdict *ticket.Verdict
}

// noteVerdict adds the verdict on a ticket to the log line of its call.
func noteVerdict(ctx context.Context, v ticket.Verdict) {
	if c := callOf(ctx); c != nil {
		c.verdict = &v
	}
}

// callLog writes one line per call.
type callLog struct {
	logger *slog.Logger
}

// WrapUnary logs a unary call after its end.
func (l *callLog) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		began := time.Now()
		resp, err := next(ctx, req)
		l.write(ctx, req.Spec().Procedure, began, err, target(req.Any()))
		return resp, err
	}
}

// WrapStreamingClient is not used by a server.
func (l *callLog) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler logs a stream after its end.
func (l *callLog) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		began := time.Now()
		err := next(ctx, conn)
		l.write(ctx, conn.Spec().Procedure, began, err, nil)
		return err
	}
}

func (l *callLog) write(ctx context.Context, procedure string, began time.Time, err error, extra []slog.Attr) {
	attrs := []slog.Attr{
		slog.String("procedure", procedure),
		slog.String("author", callerOf(ctx).name),
		slog.Int64("duration_ms", time.Since(began).Milliseconds()),
		slog.String("code", "ok"),
	}
	if err != nil {
		attrs[3] = slog.String("code", connect.CodeOf(err).String())
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	if c := callOf(ctx); c != nil && c.verdict != nil {
		attrs = append(attrs,
			slog.String("verdict", c.verdict.Kind.String()),
			slog.Uint64("revision", c.verdict.Revision),
			slog.Int("faults", len(c.verdict.Faults)),
			slog.Bool("repeated", c.verdict.Repeated),
		)
	}
	l.logger.LogAttrs(ctx, slog.LevelInfo, "admin call", append(attrs, extra...)...)
}

// target names the object of a call that changes something.
func target(message any) []slog.Attr {
	switch m := message.(type) {
	case *pb.SubmitTicketRequest:
		if t, err := ticket.Decode(m.GetTicket()); err == nil {
			return []slog.Attr{slog.Uint64("number", t.Number)}
		}
	case *pb.DrainRequest:
		return []slog.Attr{slog.String("endpoint", m.GetEndpoint()), slog.Bool("undo", m.GetUndo())}
	case *pb.AddHostRequest:
		return []slog.Attr{slog.Uint64("host", m.GetId())}
	case *pb.RemoveHostRequest:
		return []slog.Attr{slog.Uint64("host", m.GetId())}
	}
	return nil
}
