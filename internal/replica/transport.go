package replica

import (
	"context"
	"net"
	"net/http"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1/trefoilkeelv1connect"
	"github.com/trefoilkeel/trefoilkeel/internal/consensus"
	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// urlOf returns the base URL of a host, "" if unknown.
func (r *Replica) urlOf(id uint64) string {
	for _, m := range r.view.Load().Membership.Members {
		if m.ID == id && m.URL != "" {
			return m.URL
		}
	}
	for _, m := range *r.seeds.Load() {
		if m.ID == id && m.URL != "" {
			return m.URL
		}
	}
	if url, ok := r.learned.Load(id); ok {
		return url.(string)
	}
	return ""
}

// client returns the client of a base URL.
func (r *Replica) client(url string) trefoilkeelv1connect.PeerServiceClient {
	if known, ok := r.clients.Load(url); ok {
		return known.(trefoilkeelv1connect.PeerServiceClient)
	}
	made := trefoilkeelv1connect.NewPeerServiceClient(r.options.HTTP, url,
		connect.WithReadMaxBytes(maxPeerBytes), connect.WithAcceptCompression("gzip", nil, nil))
	known, _ := r.clients.LoadOrStore(url, made)
	return known.(trefoilkeelv1connect.PeerServiceClient)
}

// sendAll puts messages into the rings of their hosts. One that does not fit
// is counted and lost; the protocol sends it again.
func (s *stepper) sendAll(ctx context.Context, messages []consensus.Message) {
	for _, m := range messages {
		to := s.peer(ctx, m.To)
		if m.Type == consensus.MsgSnapshot {
			to = s.installs
		}
		if err := to.Put(m); err != nil {
			s.stats.Dropped.Add(1)
			s.logger.Debug("message dropped", "to", m.To, "error", err)
		}
	}
}

// peer returns the ring of a host and starts its sender at the first use.
func (s *stepper) peer(ctx context.Context, id uint64) *ring.Ring[consensus.Message] {
	if known, ok := s.peers[id]; ok {
		return known
	}
	made := ring.New[consensus.Message]("peer", peerSlots)
	s.peers[id] = made
	s.group.Go(func() error { return s.runSender(ctx, id, made) })
	return made
}

// runSender sends what waits for one host, as one request after the other.
func (r *Replica) runSender(ctx context.Context, id uint64, from *ring.Ring[consensus.Message]) error {
	for {
		first, err := from.Take(ctx)
		if err != nil {
			return nil
		}
		batch := []consensus.Message{first}
		size := messageSize(first)
		for size < maxBatchBytes && from.Len() > 0 {
			next, err := from.Take(ctx)
			if err != nil {
				return nil
			}
			batch = append(batch, next)
			size += messageSize(next)
		}
		stepCtx, cancel := context.WithTimeout(ctx, r.options.StepTimeout)
		err = r.deliver(stepCtx, id, batch)
		cancel()
		if err != nil && !r.pause(ctx) {
			return nil
		}
	}
}

// maxBatchBytes is when a request to another host is full.
const maxBatchBytes = 1 << 20

// messageSize is about the encoded size of a message in bytes.
func messageSize(m consensus.Message) int {
	size := 64
	for _, e := range m.Entries {
		size += 16 + len(e.Data)
	}
	return size
}

// deliver sends messages to a host in one request.
func (r *Replica) deliver(ctx context.Context, id uint64, batch []consensus.Message) error {
	url := r.urlOf(id)
	if url == "" {
		return &refusal{reason: "its URL is not known"}
	}
	request := &pb.StepRequest{From: r.options.ID, To: id, Cluster: r.options.ClusterID, FromUrl: r.options.SelfURL}
	for _, m := range batch {
		encoded, err := consensus.EncodeMessage(m)
		if err != nil {
			return err
		}
		request.Messages = append(request.Messages, encoded)
	}
	r.stats.StepsSent.Add(1)
	r.stats.MessagesSent.Add(uint64(len(batch)))
	_, err := r.client(url).Step(ctx, connect.NewRequest(request))
	if err != nil {
		r.logger.Debug("host did not take messages", "to", id, "error", err)
	}
	return err
}

// runInstalls sends snapshots, one at a time and beside everything else.
func (r *Replica) runInstalls(ctx context.Context) error {
	for {
		m, err := r.installs.Take(ctx)
		if err != nil {
			return nil
		}
		snapshot, err := r.journal.ReadSnapshot()
		if err != nil {
			return err
		}
		m.Snapshot = &snapshot
		sendCtx, cancel := context.WithTimeout(ctx, installTimeout)
		if err := r.deliver(sendCtx, m.To, []consensus.Message{m}); err == nil {
			r.logger.Info("snapshot sent", "to", m.To, "index", snapshot.Index, "bytes", len(snapshot.Data))
		}
		cancel()
	}
}

// forward proposes at the leader.
func (r *Replica) forward(ctx context.Context, url string, command []byte) ([]byte, error) {
	response, err := r.client(url).Propose(ctx, connect.NewRequest(&pb.ProposeRequest{Command: command, Cluster: r.options.ClusterID}))
	if err != nil {
		return nil, forwardError(err)
	}
	return response.Msg.Result, nil
}

// forwardChange asks the leader for a change of the hosts.
func (r *Replica) forwardChange(ctx context.Context, url string, m consensus.Member, remove bool) error {
	request := &pb.ChangeMemberRequest{Id: m.ID, Url: m.URL, Remove: remove, Cluster: r.options.ClusterID}
	_, err := r.client(url).ChangeMember(ctx, connect.NewRequest(request))
	return forwardError(err)
}

// forwardError tells what is certain from what is not. Only the leader's own
// refusal, and a connection that never came about, say that nothing happened.
func forwardError(err error) error {
	if err == nil {
		return nil
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return &refusal{reason: "the leader can't be reached", retry: true}
	}
	if connect.IsWireError(err) {
		switch connect.CodeOf(err) {
		case connect.CodeFailedPrecondition:
			return &refusal{reason: err.Error(), retry: true}
		case connect.CodeAborted, connect.CodePermissionDenied:
			return &refusal{reason: err.Error()}
		}
	}
	return &UnknownError{Reason: "the leader did not answer", Cause: err}
}

// answerError turns the end of a forwarded call into a wire error.
func answerError(err error) error {
	var refused *refusal
	switch {
	case err == nil:
		return nil
	case errors.As(err, &refused) && refused.retry:
		return connect.NewError(connect.CodeFailedPrecondition, err)
	case errors.As(err, &refused):
		return connect.NewError(connect.CodeAborted, err)
	}
	return connect.NewError(connect.CodeUnknown, err)
}

// peerService answers the other hosts.
type peerService struct {
	*Replica
}

// Handler serves PeerService at the path.
func (r *Replica) Handler() (path string, h http.Handler) {
	return trefoilkeelv1connect.NewPeerServiceHandler(&peerService{r}, connect.WithReadMaxBytes(maxPeerBytes))
}

// sameCluster refuses a request that was meant for another cluster.
func (s *peerService) sameCluster(cluster string) error {
	if cluster == s.options.ClusterID {
		return nil
	}
	return connect.NewError(connect.CodePermissionDenied, &refusal{reason: "this host is of another cluster"})
}

// Step takes messages of another host.
func (s *peerService) Step(_ context.Context, req *connect.Request[pb.StepRequest]) (*connect.Response[pb.StepResponse], error) {
	if err := s.sameCluster(req.Msg.Cluster); err != nil {
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
		s.learned.Store(req.Msg.From, req.Msg.FromUrl)
	}
	if err := s.messages.Put(batch); err != nil {
		return nil, connect.NewError(connect.CodeResourceExhausted, err)
	}
	return connect.NewResponse(&pb.StepResponse{}), nil
}

// Propose proposes here, as the leader.
func (s *peerService) Propose(ctx context.Context, req *connect.Request[pb.ProposeRequest]) (*connect.Response[pb.ProposeResponse], error) {
	if err := s.sameCluster(req.Msg.Cluster); err != nil {
		return nil, err
	}
	result, err := s.proposeHere(ctx, req.Msg.Command)
	if err != nil {
		return nil, answerError(err)
	}
	return connect.NewResponse(&pb.ProposeResponse{Result: result}), nil
}

// Confirm confirms here, as the leader.
func (s *peerService) Confirm(ctx context.Context, req *connect.Request[pb.ConfirmRequest]) (*connect.Response[pb.ConfirmResponse], error) {
	if err := s.sameCluster(req.Msg.Cluster); err != nil {
		return nil, err
	}
	index, err := s.confirmHere(ctx)
	if err != nil {
		return nil, answerError(err)
	}
	return connect.NewResponse(&pb.ConfirmResponse{Index: index}), nil
}

// ChangeMember changes the hosts here, as the leader.
func (s *peerService) ChangeMember(ctx context.Context, req *connect.Request[pb.ChangeMemberRequest]) (*connect.Response[pb.ChangeMemberResponse], error) {
	if err := s.sameCluster(req.Msg.Cluster); err != nil {
		return nil, err
	}
	member := consensus.Member{ID: req.Msg.Id, URL: req.Msg.Url}
	err := s.ask(ctx, &control{member: member, remove: req.Msg.Remove, done: make(chan outcome, 1)})
	if err != nil {
		return nil, answerError(err)
	}
	return connect.NewResponse(&pb.ChangeMemberResponse{}), nil
}
