package control

import (
	"context"

	"connectrpc.com/connect"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// Bounds of ledger batches.
const (
	maxLedgerBatchBytes = 1 << 20 // operations in one command
	maxBatchesInFlight  = 4
)

// operation is one ledger operation that waits for its batch.
type operation struct {
	ctx    context.Context
	op     *pb.LedgerOperation
	answer chan ledgerAnswer
}

type ledgerAnswer struct {
	response *pb.ClaimResponse
	err      error
}

// ledgerService serves pb.LedgerService.
type ledgerService struct{ s *Server }

// Claim asks for the right to dispatch one attempt.
func (l *ledgerService) Claim(ctx context.Context, r *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	return l.s.operate(ctx, &pb.LedgerOperation{Operation: &pb.LedgerOperation_Claim{Claim: r.Msg}})
}

// Settle records how an attempt ended.
func (l *ledgerService) Settle(ctx context.Context, r *connect.Request[pb.SettleRequest]) (*connect.Response[pb.SettleResponse], error) {
	answer, err := l.s.operate(ctx, &pb.LedgerOperation{Operation: &pb.LedgerOperation_Settle{Settle: r.Msg}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.SettleResponse{State: answer.Msg.GetState()}), nil
}

// Lookup reads a claim: at once on the leader, through the log elsewhere, so
// that it is never older than what was answered before.
func (l *ledgerService) Lookup(ctx context.Context, r *connect.Request[pb.LookupRequest]) (*connect.Response[pb.ClaimResponse], error) {
	if _, ok := l.s.leading(); ok {
		return connect.NewResponse(l.s.machine.Lookup(r.Msg)), nil
	}
	return l.s.operate(ctx, &pb.LedgerOperation{Operation: &pb.LedgerOperation_Lookup{Lookup: r.Msg}})
}

// operate queues an operation and waits for its answer.
func (s *Server) operate(ctx context.Context, op *pb.LedgerOperation) (*connect.Response[pb.ClaimResponse], error) {
	waiting := &operation{ctx: ctx, op: op, answer: make(chan ledgerAnswer, 1)}
	if err := s.operations.Put(waiting); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	select {
	case a := <-waiting.answer:
		if a.err != nil {
			return nil, rpcError(a.err)
		}
		return connect.NewResponse(a.response), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, context.Cause(ctx))
	case <-s.stopping:
		return nil, connect.NewError(connect.CodeUnknown, &StoppingError{})
	}
}

// batchLedger joins the waiting operations into commands. While commands are
// in flight new operations gather, so a batch grows with the load and an
// idle ledger adds no wait.
func (s *Server) batchLedger(ctx context.Context) error {
	flights := new(errgroup.Group)
	flights.SetLimit(maxBatchesInFlight)
	for {
		first, err := s.operations.Take(ctx)
		if err != nil {
			return flights.Wait()
		}
		batch := s.gather(first)
		flights.Go(func() error {
			s.sendBatch(ctx, batch)
			return nil
		})
	}
}

// gather takes what waits behind first, up to the bounds of a batch.
func (s *Server) gather(first *operation) []*operation {
	batch := []*operation{first}
	size := proto.Size(first.op)
	for len(batch) < s.settings.LedgerBatch && size < maxLedgerBatchBytes {
		select {
		case next := <-s.operations.Out():
			batch = append(batch, next)
			size += proto.Size(next.op)
		default:
			return batch
		}
	}
	return batch
}

// sendBatch records a batch and hands out the answers. Operations whose
// caller has gone are left out.
func (s *Server) sendBatch(ctx context.Context, batch []*operation) {
	command := &pb.LedgerCommand{Bounds: s.ledgerBounds()}
	var live []*operation
	for _, o := range batch {
		if o.ctx.Err() == nil {
			live = append(live, o)
			command.Operations = append(command.Operations, o.op)
		}
	}
	if len(live) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.ProposeTimeout)
	defer cancel()
	result, err := s.propose(ctx, &pb.Command{Command: &pb.Command_Ledger{Ledger: command}})
	answers := result.GetLedger().GetAnswers()
	if err == nil && len(answers) != len(live) {
		err = &ProposeError{Recorded: true, Cause: &ResultError{}}
	}
	for i, o := range live {
		if err != nil {
			o.answer <- ledgerAnswer{err: err}
			continue
		}
		o.answer <- ledgerAnswer{response: answers[i]}
	}
}

func (s *Server) ledgerBounds() *pb.LedgerBounds {
	return &pb.LedgerBounds{
		RetentionMs:    uint64(s.settings.LedgerRetention.Milliseconds()),
		MaxEntries:     uint64(s.settings.LedgerMaxEntries),
		MaxBytes:       uint64(s.settings.LedgerMaxBytes),
		MaxAnswerBytes: uint64(s.settings.LedgerMaxAnswerBytes),
	}
}
