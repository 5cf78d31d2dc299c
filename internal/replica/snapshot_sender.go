package replica

import (
	"context"
	"fmt"
	"hash/crc32"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/metrics"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// Sending of snapshots. Each part is a call with the timeout of a step, so that a silent connection costs one
// such timeout, whatever the size of the snapshot.
const (
	minPartBytes = 16 << 10
	maxPartBytes = 256 << 10
	// maxPartFailures is after how many failures in a row the sender gives up, until the leader sends the snapshot again.
	maxPartFailures = 5
	// wholeSnapshotTimeout limits the call that delivers a snapshot whole to a host of a build without parts.
	wholeSnapshotTimeout = time.Minute
)

// errSnapshotOutdated ends the sending of a snapshot that its receiver has no use for any more.
var errSnapshotOutdated = errors.New("the leadership or the receiver's data folder has changed")

// runSnapshotSender sends snapshots to one host, concurrently with its other messages.
func (r *Replica) runSnapshotSender(ctx context.Context, id uint64, queue *ring.Ring[consensus.Message]) error {
	var sent sentSnapshot
	for {
		m, err := queue.Take(ctx)
		if err != nil {
			return nil
		}
		if sent.covers(m) {
			continue
		}
		began := r.now()
		snapshot, err := r.journal.ReadSnapshot()
		if err != nil {
			return err
		}
		bytes := len(snapshot.Data)
		switch err := r.sendSnapshot(ctx, m, snapshot); {
		case err == nil:
			sent = sentSnapshot{diskID: m.ToDiskID, term: m.Term, index: snapshot.Index, at: r.now()}
			r.logger.Info("snapshot sent", "to", id, "index", snapshot.Index, "bytes", bytes, "took_ms", (r.now() - began).Milliseconds())
		case ctx.Err() == nil:
			r.logger.Warn("snapshot not sent", "to", id, "index", snapshot.Index, "bytes", bytes, "took_ms", (r.now() - began).Milliseconds(), "error", err)
		}
	}
}

// sentSnapshot is a snapshot that a host has received.
type sentSnapshot struct {
	diskID, term uint64 // of the receiver's data folder and of the leader
	index        uint64
	at           time.Duration // when the receiver had it
}

// covers reports whether a message was queued while the snapshot was being sent, and asks for no newer one.
func (s sentSnapshot) covers(m consensus.Message) bool {
	return m.ToDiskID == s.diskID && m.Term == s.term && m.Snapshot.Index <= s.index && m.SentAt < s.at
}

// snapshotSending is the sending of one snapshot to one host.
type snapshotSending struct {
	*Replica
	message  consensus.Message // without the data of the snapshot
	data     []byte
	checksum uint32
	received uint64 // bytes that the receiver has
	// partBytes is the size of the next part: small enough for a slow connection to carry it within the timeout.
	partBytes int
}

// sendSnapshot sends a snapshot in parts. After a failure it goes on with the first part that the receiver lacks.
func (r *Replica) sendSnapshot(ctx context.Context, m consensus.Message, snapshot consensus.Snapshot) error {
	s := &snapshotSending{Replica: r, message: m, data: snapshot.Data, checksum: crc32.Checksum(snapshot.Data, castagnoli), partBytes: maxPartBytes}
	snapshot.Data = nil
	s.message.Snapshot = &snapshot
	for failures := 0; ; {
		if !r.isSnapshotWanted(m) {
			return errSnapshotOutdated
		}
		isDone, err := s.sendPart(ctx)
		switch {
		case isDone:
			return nil
		case err == nil:
			failures = 0
			continue
		case connect.CodeOf(err) == connect.CodeUnimplemented:
			return s.sendWhole(ctx)
		}
		failures++
		r.count(metrics.SnapshotRetries, 1)
		r.logger.Warn("part of a snapshot not sent", "to", m.To, "index", snapshot.Index, "received", s.received, "bytes", len(s.data), "error", err)
		if failures == maxPartFailures || !r.waitFor(ctx, retryInterval<<failures) {
			return errors.Wrapf(err, "gave up after %d failures in a row, with %d of %d bytes received", failures, s.received, len(s.data))
		}
	}
}

// isSnapshotWanted reports whether this replica still leads in the term of a snapshot message, to a member with that data folder.
func (r *Replica) isSnapshotWanted(m consensus.Message) bool {
	nodeStatus := r.nodeStatus.Load()
	if nodeStatus.Role != consensus.Leader || nodeStatus.Term != m.Term {
		return false
	}
	for _, member := range nodeStatus.Membership.Members {
		if member.ID == m.To {
			return member.DiskID == m.ToDiskID
		}
	}
	return false
}

// sendPart sends the next part. It reports whether the receiver has the whole snapshot.
func (s *snapshotSending) sendPart(ctx context.Context) (isDone bool, err error) {
	url := s.hostURL(s.message.To)
	if url == "" {
		return false, &refusedError{reason: "its URL is not known"}
	}
	message, err := consensus.EncodeMessage(s.message)
	if err != nil {
		return false, err
	}
	part := s.data[s.received:min(s.received+uint64(s.partBytes), uint64(len(s.data)))]
	ctx, cancel := context.WithTimeout(ctx, s.options.StepTimeout)
	defer cancel()
	began := s.now()
	response, err := s.client(url).SnapshotPart(ctx, connect.NewRequest(&pb.SnapshotPartRequest{Cluster: s.options.ClusterName, FromUrl: s.options.SelfURL,
		Message: message, Size: uint64(len(s.data)), Checksum: s.checksum, Offset: s.received, Part: part}))
	if err != nil {
		if connect.CodeOf(err) == connect.CodeDeadlineExceeded {
			s.partBytes = max(s.partBytes/2, minPartBytes)
		}
		return false, err
	}
	if response.Msg.Received > uint64(len(s.data)) {
		return false, &PartError{From: s.message.To, Reason: fmt.Sprintf("the receiver has %d bytes of %d", response.Msg.Received, len(s.data))}
	}
	if s.now()-began < s.options.StepTimeout/8 {
		s.partBytes = min(2*s.partBytes, maxPartBytes)
	}
	s.received = response.Msg.Received
	return s.received == uint64(len(s.data)), nil
}

// sendWhole sends the snapshot in one call, to a host of a build without parts.
func (s *snapshotSending) sendWhole(ctx context.Context) error {
	snapshot := *s.message.Snapshot
	snapshot.Data = s.data
	m := s.message
	m.Snapshot = &snapshot
	ctx, cancel := context.WithTimeout(ctx, wholeSnapshotTimeout)
	defer cancel()
	return s.sendStep(ctx, m.To, []consensus.Message{m})
}

// SnapshotPart receives a part of a snapshot from another host.
func (s *peerService) SnapshotPart(_ context.Context, req *connect.Request[pb.SnapshotPartRequest]) (*connect.Response[pb.SnapshotPartResponse], error) {
	if err := s.checkRequest(req.Msg.Cluster); err != nil {
		return nil, err
	}
	m, err := consensus.DecodeMessage(req.Msg.Message)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	if m.Type != consensus.MsgSnapshot || m.Snapshot == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, &PartError{From: m.From, Reason: "its message has no snapshot"})
	}
	if m.To != s.options.ID || m.ToDiskID != s.journal.Identity().DiskID {
		return nil, connect.NewError(connect.CodeFailedPrecondition, &PartError{From: m.From, Reason: "it is for another data folder"})
	}
	if req.Msg.FromUrl != "" {
		s.learnedURLs.Store(m.From, req.Msg.FromUrl)
	}
	transfer := snapshotTransfer{from: m.From, term: m.Term, index: m.Snapshot.Index, logTerm: m.Snapshot.Term, size: req.Msg.Size, checksum: req.Msg.Checksum}
	if s.snapshotReceiver.isDelivered(transfer, m.SentAt) {
		return connect.NewResponse(&pb.SnapshotPartResponse{Received: transfer.size}), nil
	}
	received, err := s.snapshotReceiver.add(transfer, req.Msg.Offset, req.Msg.Part, s.now())
	if err != nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, err)
	}
	if data := s.snapshotReceiver.complete(transfer); data != nil {
		m.Snapshot.Data = data
		if err := s.messages.TryPut([]consensus.Message{m}); err != nil {
			return nil, connect.NewError(connect.CodeResourceExhausted, err)
		}
		s.snapshotReceiver.markDelivered(transfer, m.SentAt)
	}
	return connect.NewResponse(&pb.SnapshotPartResponse{Received: received}), nil
}
