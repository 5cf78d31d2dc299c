package admin

import (
	"context"
	"log/slog"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// callRecord holds the caller and, for a submitted ticket, the verdict, for the log
// line of the call.
type callRecord struct {
	caller  caller
	verdict *ticket.Verdict
}

// recordVerdict stores the verdict on a ticket for the log line of its call.
func recordVerdict(ctx context.Context, v ticket.Verdict) {
	if c := callFromContext(ctx); c != nil {
		c.verdict = &v
	}
}

// callLogger is a connect interceptor that logs each call.
type callLogger struct {
	logger *slog.Logger
}

// WrapUnary logs a unary call when it ends.
func (l *callLogger) WrapUnary(next connect.UnaryFunc) connect.UnaryFunc {
	return func(ctx context.Context, req connect.AnyRequest) (connect.AnyResponse, error) {
		started := time.Now()
		resp, err := next(ctx, req)
		l.logCall(ctx, req.Spec().Procedure, started, err, targetAttrs(req.Any()))
		return resp, err
	}
}

// WrapStreamingClient does nothing, since only servers use a callLogger.
func (l *callLogger) WrapStreamingClient(next connect.StreamingClientFunc) connect.StreamingClientFunc {
	return next
}

// WrapStreamingHandler logs a stream when it ends.
func (l *callLogger) WrapStreamingHandler(next connect.StreamingHandlerFunc) connect.StreamingHandlerFunc {
	return func(ctx context.Context, conn connect.StreamingHandlerConn) error {
		started := time.Now()
		err := next(ctx, conn)
		l.logCall(ctx, conn.Spec().Procedure, started, err, nil)
		return err
	}
}

func (l *callLogger) logCall(ctx context.Context, procedure string, started time.Time, err error, target []slog.Attr) {
	attrs := []slog.Attr{
		slog.String("procedure", procedure),
		slog.String("author", callerFromContext(ctx).name),
		slog.Int64("duration_ms", time.Since(started).Milliseconds()),
		slog.String("code", "ok"),
	}
	if err != nil {
		attrs[3] = slog.String("code", connect.CodeOf(err).String())
		attrs = append(attrs, slog.String("error", err.Error()))
	}
	if c := callFromContext(ctx); c != nil && c.verdict != nil {
		attrs = append(attrs,
			slog.String("verdict", c.verdict.Kind.String()),
			slog.Uint64("revision", c.verdict.Revision),
			slog.Int("faults", len(c.verdict.Faults)),
			slog.Bool("repeated", c.verdict.Repeated),
		)
	}
	l.logger.LogAttrs(ctx, slog.LevelInfo, "admin call", append(attrs, target...)...)
}

// targetAttrs returns log attributes that name the object a call changes; none
// for a call that changes nothing.
func targetAttrs(message any) []slog.Attr {
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
