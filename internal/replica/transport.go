package replica

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// hostURL returns the base URL of a host, "" if it is unknown. The membership
// comes first, then the hosts to join through and the initial ones, then the host's own report.
func (r *Replica) hostURL(id uint64) string {
	for _, m := range r.nodeStatus.Load().Membership.Members {
		if m.ID == id && m.URL != "" {
			return m.URL
		}
	}
	for _, m := range slices.Concat(*r.joinMembers.Load(), r.options.InitialMembers) {
		if m.ID == id && m.URL != "" {
			return m.URL
		}
	}
	if url, ok := r.learnedURLs.Load(id); ok {
		return url.(string)
	}
	return ""
}

// client returns the cached client for a base URL.
func (r *Replica) client(url string) trefoilkeelv1connect.PeerServiceClient {
	if cached, ok := r.clients.Load(url); ok {
		return cached.(trefoilkeelv1connect.PeerServiceClient)
	}
	created := trefoilkeelv1connect.NewPeerServiceClient(r.options.HTTPClient, url,
		connect.WithReadMaxBytes(maxPeerMessageBytes), connect.WithAcceptCompression("gzip", nil, nil))
	cached, _ := r.clients.LoadOrStore(url, created)
	return cached.(trefoilkeelv1connect.PeerServiceClient)
}

// queueMessages puts messages into the queues of their hosts. If a queue is
// full, the message is counted and dropped; the protocol sends it again.
func (l *nodeLoop) queueMessages(ctx context.Context, messages []consensus.Message) {
	for _, m := range messages {
		queue := l.queueOf(ctx, m)
		if err := queue.TryPut(m); err != nil {
			l.stats.MessagesDropped.Add(1)
			l.logger.Debug("message dropped", "to", m.To, "error", err)
		}
	}
}

// queueOf returns the queue of a message: each host has one for snapshots and one for other messages. The first call for
// a queue starts its sender.
func (l *nodeLoop) queueOf(ctx context.Context, m consensus.Message) *ring.Ring[consensus.Message] {
	queues, capacity, run := l.peerQueues, peerQueueCapacity, l.runPeerSender
	if m.Type == consensus.MsgSnapshot {
		queues, capacity, run = l.snapshotQueues, snapshotSendQueueCapacity, l.runSnapshotSender
	}
	if existing, ok := queues[m.To]; ok {
		return existing
	}
	queue := ring.New[consensus.Message]("peer", capacity)
	queues[m.To] = queue
	l.group.Go(func() error { return run(ctx, m.To, queue) })
	return queue
}

// runPeerSender sends the queued messages of one host in batches, one request at
// a time.
func (r *Replica) runPeerSender(ctx context.Context, id uint64, queue *ring.Ring[consensus.Message]) error {
	for {
		first, err := queue.Take(ctx)
		if err != nil {
			return nil
		}
		batch := []consensus.Message{first}
		sizeBytes := estimatedMessageBytes(first)
		for sizeBytes < targetBatchBytes && queue.Len() > 0 {
			next, err := queue.Take(ctx)
			if err != nil {
				return nil
			}
			batch = append(batch, next)
			sizeBytes += estimatedMessageBytes(next)
		}
		stepCtx, cancel := context.WithTimeout(ctx, r.options.StepTimeout)
		err = r.sendStep(stepCtx, id, batch)
		cancel()
		if err != nil && !r.waitRetryInterval(ctx) {
			return nil
		}
	}
}

// targetBatchBytes is the size from which no further message is added to a
// request to another host.
const targetBatchBytes = 1 << 20

// estimatedMessageBytes estimates the encoded size of a message.
func estimatedMessageBytes(m consensus.Message) int {
	sizeBytes := 64
	for _, e := range m.Entries {
		sizeBytes += 16 + len(e.Data)
	}
	return sizeBytes
}

// sendStep sends messages to a host in one Step request.
func (r *Replica) sendStep(ctx context.Context, id uint64, batch []consensus.Message) error {
	url := r.hostURL(id)
	if url == "" {
		return &refusedError{reason: "its URL is not known"}
	}
	request := &pb.StepRequest{From: r.options.ID, To: id, Cluster: r.options.ClusterName, FromUrl: r.options.SelfURL}
	for _, m := range batch {
		encoded, err := consensus.EncodeMessage(m)
		if err != nil {
			return err
		}
		request.Messages = append(request.Messages, encoded)
	}
	received := r.addDigests(request)
	r.stats.StepRequestsSent.Add(1)
	r.stats.MessagesSent.Add(uint64(len(batch)))
	_, err := r.client(url).Step(ctx, connect.NewRequest(request))
	if err != nil {
		r.logger.Debug("sending messages to a host failed", "to", id, "error", err)
		return err
	}
	received()
	return nil
}

// forwardProposal proposes a command to the leader.
func (r *Replica) forwardProposal(ctx context.Context, url string, command []byte) ([]byte, error) {
	response, err := r.client(url).Propose(ctx, connect.NewRequest(&pb.ProposeRequest{Command: command, Cluster: r.options.ClusterName}))
	if err != nil {
		return nil, classifyForwardError(err)
	}
	return response.Msg.Result, nil
}

// forwardMemberChange asks the leader for a membership change.
func (r *Replica) forwardMemberChange(ctx context.Context, url string, m consensus.Member, remove bool) error {
	request := &pb.ChangeMemberRequest{Id: m.ID, Url: m.URL, Remove: remove, Cluster: r.options.ClusterName}
	_, err := r.client(url).ChangeMember(ctx, connect.NewRequest(request))
	return classifyForwardError(err)
}

// classifyForwardError converts the error of a call to the leader. Only a refusal
// by the leader itself or a failure to connect prove that the call had no effect;
// after any other error the outcome is unknown.
func classifyForwardError(err error) error {
	if err == nil {
		return nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &refusedError{reason: "the leader can't be reached", retryable: true}
	}
	if connect.IsWireError(err) {
		switch connect.CodeOf(err) {
		case connect.CodeFailedPrecondition:
			return &refusedError{reason: err.Error(), retryable: true}
		case connect.CodeAborted, connect.CodePermissionDenied:
			return &refusedError{reason: err.Error()}
		}
	}
	return &OutcomeUnknownError{Reason: "the leader did not answer", Cause: err}
}

// wireError converts the error of a forwarded call to the Connect error that
// classifyForwardError recognizes.
func wireError(err error) error {
	var refused *refusedError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.retryable:
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.As(err, &refused):
		return connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewError(connect.CodeUnknown, err)
}

// Refuse answers any call of another host, in the place of the handler of a replica that is not open: the call had no
// effect and may be repeated at once.
func Refuse(w http.ResponseWriter, reason error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	// A write error means that the caller is gone, so it is ignored.
	_ = json.NewEncoder(w).Encode(map[string]string{"code": connect.CodeFailedPrecondition.String(), "message": reason.Error()})
}

// peerService serves the requests of the other hosts.
type peerService struct {
	*Replica
}

// Handler returns the handler of PeerService and the path to serve it at.
func (r *Replica) Handler() (path string, h http.Handler) {
	return trefoilkeelv1connect.NewPeerServiceHandler(&peerService{r}, connect.WithReadMaxBytes(maxPeerMessageBytes))
}

// checkCluster refuses a request from a host of another cluster.
func (s *peerService) checkCluster(cluster string) error {
	if cluster == s.options.ClusterName {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied, &refusedError{reason: "this host is of another cluster"})
}

// checkRequest refuses a request from a host of another cluster, or after the replica has stopped.
func (s *peerService) checkRequest(cluster string) error {
	if err := s.checkCluster(cluster); err != nil {
		return err
	}
	select {
	case <-s.stopped:
		return connect.NewError(connect.CodeFailedPrecondition, &refusedError{reason: "the replica stopped"})
	default:
		return nil
	}
}

// Step receives messages from another host.
func (s *peerService) Step(_ context.Context, req *connect.Request[pb.StepRequest]) (*connect.Response[pb.StepResponse], error) {
	if err := s.checkRequest(req.Msg.Cluster); err != nil {
		return nil, err
	}
	batch := make([]consensus.Message, 0, len(req.Msg.Messages))
	for _, encoded := range req.Msg.Messages {
		m, err := consensus.DecodeMessage(encoded)
		if err != nil {
			return nil, connect.NewError(connect.CodeInvalidArgument, err)
		}
		batch = append(batch, m)
	}
	if req.Msg.FromUrl != "" {
		s.learnedURLs.Store(req.Msg.From, req.Msg.FromUrl)
	}
	if err := s.messages.TryPut(batch); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	if err := s.receiveDigests(req.Msg); err != nil {
		s.logger.Warn("digests left out", "id", s.options.ID, "from", req.Msg.From, "error", err)
	}
	return connect.NewResponse(&pb.StepResponse{}), nil
}

// Propose proposes a command forwarded by another host. It fails on a follower.
func (s *peerService) Propose(ctx context.Context, req *connect.Request[pb.ProposeRequest]) (*connect.Response[pb.ProposeResponse], error) {
	if err := s.checkCluster(req.Msg.Cluster); err != nil {
		return nil, err
	}
	result, err := s.proposeAsLeader(ctx, req.Msg.Command)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&pb.ProposeResponse{Result: result}), nil
}

// Confirm returns the read index to another host. It fails on a follower.
func (s *peerService) Confirm(ctx context.Context, req *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	if err := s.checkCluster(req.Msg.Cluster); err != nil {
		return nil, err
	}
	index, err := s.leaderReadIndex(ctx)
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&pb.ConfirmResponse{Index: index}), nil
}

// ChangeMember changes the membership for another host. It fails on a follower.
func (s *peerService) ChangeMember(ctx context.Context, req *connect.Request[pb.ChangeMemberRequest]) (*connect.Response[pb.ChangeMemberResponse], error) {
	if err := s.checkCluster(req.Msg.Cluster); err != nil {
		return nil, err
	}
	member := consensus.Member{ID: req.Msg.Id, URL: req.Msg.Url}
	err := s.submitControl(ctx, &controlRequest{member: member, remove: req.Msg.Remove, done: make(chan outcome, 1)})
	if err != nil {
		return nil, wireError(err)
	}
	return connect.NewResponse(&pb.ChangeMemberResponse{}), nil
}
