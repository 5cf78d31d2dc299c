package control

import (
	"context"

	"connectrpc.com/connect"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"
)

// Limits of ledger batches.
const (
	maxLedgerBatchBytes = 1 << 20 // operations in one command
	maxBatchesInFlight  = 4
)

// pendingOperation is a ledger operation that waits to be batched.
type pendingOperation struct {
	ctx       context.Context
	operation *pb.LedgerOperation
	result    chan ledgerResult
}

type ledgerResult struct {
	response *pb.ClaimResponse
	err      error
}

// ledgerService implements the LedgerService API.
type ledgerService struct{ server *Server }

// Claim requests the right to dispatch one attempt.
func (l *ledgerService) Claim(ctx context.Context, r *connect.Request[pb.ClaimRequest]) (*connect.Response[pb.ClaimResponse], error) {
	return l.server.executeOperation(ctx, &pb.LedgerOperation{Operation: &pb.LedgerOperation_Claim{Claim: r.Msg}})
}

// Settle records the outcome of an attempt.
func (l *ledgerService) Settle(ctx context.Context, r *connect.Request[pb.SettleRequest]) (*connect.Response[pb.SettleResponse], error) {
	response, err := l.server.executeOperation(ctx, &pb.LedgerOperation{Operation: &pb.LedgerOperation_Settle{Settle: r.Msg}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(&pb.SettleResponse{State: response.Msg.GetState()}), nil
}

// Lookup reads a claim. The leader answers from its own state; other hosts read
// through the log, so that an answer is never older than an earlier one.
func (l *ledgerService) Lookup(ctx context.Context, r *connect.Request[pb.LookupRequest]) (*connect.Response[pb.ClaimResponse], error) {
	if _, ok := l.server.leaderTerm(); ok {
		return connect.NewResponse(l.server.machine.LookupClaim(r.Msg)), nil
	}
	return l.server.executeOperation(ctx, &pb.LedgerOperation{Operation: &pb.LedgerOperation_Lookup{Lookup: r.Msg}})
}

// executeOperation queues an operation and waits for its result.
func (s *Server) executeOperation(ctx context.Context, operation *pb.LedgerOperation) (*connect.Response[pb.ClaimResponse], error) {
	pending := &pendingOperation{ctx: ctx, operation: operation, result: make(chan ledgerResult, 1)}
	if err := s.ledgerQueue.TryPut(pending); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	select {
	case r := <-pending.result:
		if r.err != nil {
			return nil, rpcError(r.err)
		}
		return connect.NewResponse(r.response), nil
	case <-ctx.Done():
		return nil, connect.NewError(connect.CodeDeadlineExceeded, context.Cause(ctx))
	case <-s.stopping:
		return nil, connect.NewError(connect.CodeUnknown, &StoppingError{})
	}
}

// runLedgerBatches combines the queued operations into commands. While commands
// are in flight more operations queue up, so a batch grows with the load and an
// operation on an idle ledger is not delayed.
func (s *Server) runLedgerBatches(ctx context.Context) error {
	inFlight := new(errgroup.Group)
	inFlight.SetLimit(maxBatchesInFlight)
	for {
		first, err := s.ledgerQueue.Take(ctx)
		if err != nil {
			return inFlight.Wait()
		}
		batch := s.collectBatch(first)
		inFlight.Go(func() error {
			s.proposeBatch(ctx, batch)
			return nil
		})
	}
}

// collectBatch takes the operations queued behind first, up to the limits of a
// batch.
func (s *Server) collectBatch(first *pendingOperation) []*pendingOperation {
	batch := []*pendingOperation{first}
	size := proto.Size(first.operation)
	for len(batch) < s.settings.LedgerMaxBatchOperations && size < maxLedgerBatchBytes {
		select {
		case next := <-s.ledgerQueue.Chan():
			batch = append(batch, next)
			size += proto.Size(next.operation)
		default:
			return batch
		}
	}
	return batch
}

// proposeBatch proposes a batch and delivers the results. Operations whose
// callers have gone are left out.
func (s *Server) proposeBatch(ctx context.Context, batch []*pendingOperation) {
	command := &pb.LedgerCommand{Bounds: s.ledgerBounds()}
	var active []*pendingOperation
	for _, o := range batch {
		if o.ctx.Err() == nil {
			active = append(active, o)
			command.Operations = append(command.Operations, o.operation)
		}
	}
	if len(active) == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, s.settings.ProposeTimeout)
	defer cancel()
	result, err := s.propose(ctx, &pb.Command{Command: &pb.Command_Ledger{Ledger: command}})
	answers := result.GetLedger().GetAnswers()
	if err == nil && len(answers) != len(active) {
		err = &ProposeError{MaybeApplied: true, Cause: &UnreadableResultError{}}
	}
	for i, o := range active {
		if err != nil {
			o.result <- ledgerResult{err: err}
			continue
		}
		o.result <- ledgerResult{response: answers[i]}
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
