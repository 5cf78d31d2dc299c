package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// smallLogBytes is the size below which a log is sent without asking how long
// a checkpoint would be.
const smallLogBytes = 4 << 10

// stream is the sending side of one subscription.
type stream struct {
	s          *Server
	send       func(*pb.FollowEvent) error
	request    *pb.FollowRequest
	subscriber *subscriber
	revision   uint64 // newest revision sent or held by the subscriber
	directory  uint64 // version of the directory sent
	whole      bool   // the whole directory has been sent
	loads      loadPlaces
}

// Follow streams the configuration and the directory until the subscriber or
// this host goes. It holds no queue: a slow subscriber gets fewer, larger steps.
func (d *directoryService) Follow(ctx context.Context, r *connect.Request[pb.FollowRequest], out *connect.ServerStream[pb.FollowEvent]) error {
	sub, ok := d.s.subscribers.add(d.s.now(), r.Msg.GetSubscriber(), r.Msg.GetKind(), r.Msg.GetRevision())
	if !ok {
		return connect.NewError(connect.CodeResourceExhausted, &SubscribersError{Bound: d.s.settings.MaxSubscribers})
	}
	defer d.s.subscribers.remove(sub)
	from := r.Msg.GetRevision()
	if r.Msg.GetResync() {
		from = 0
	}
	if from == 0 {
		if err := d.s.awaitFresh(ctx); err != nil {
			return err
		}
	}
	f := &stream{s: d.s, send: out.Send, request: r.Msg, subscriber: sub, revision: from}
	return f.run(ctx)
}

// SubscribersError says that a host has as many subscribers as it takes.
type SubscribersError struct {
	Bound int
}

// Error says so.
func (e *SubscribersError) Error() string { return "the control host takes no further subscribers" }

// run sends what changed, then waits for the next change.
func (f *stream) run(ctx context.Context) error {
	alive := time.NewTicker(f.s.settings.AliveInterval)
	defer alive.Stop()
	if err := f.sendAlive(); err != nil {
		return err
	}
	for {
		changed := f.s.machine.Changed()
		if err := f.sendChanges(); err != nil {
			return err
		}
		if err := f.wait(ctx, changed, alive.C); err != nil {
			return err
		}
	}
}

// wait sends digests and signs of life until the state changes.
func (f *stream) wait(ctx context.Context, changed <-chan struct{}, alive <-chan time.Time) error {
	for {
		var digest <-chan struct{}
		if f.request.GetWithDirectory() {
			digest, _ = f.s.digests.next()
		}
		select {
		case <-changed:
			return nil
		case <-digest:
			if err := f.sendDigests(); err != nil {
				return err
			}
		case <-alive:
			if err := f.sendAlive(); err != nil {
				return err
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.s.stopping:
			return connect.NewError(connect.CodeUnavailable, &StoppingError{})
		}
	}
}

func (f *stream) sendChanges() error {
	if err := f.sendConfiguration(); err != nil {
		return err
	}
	if !f.request.GetWithDirectory() {
		return nil
	}
	return f.sendDirectory()
}

// sendConfiguration brings the subscriber to the newest revision. A host that
// is behind the subscriber sends nothing.
func (f *stream) sendConfiguration() error {
	config := f.s.machine.Configuration()
	if config.Revision <= f.revision {
		return nil
	}
	events, err := f.s.catchUp(f.revision, config)
	if err != nil {
		return err
	}
	for _, e := range events {
		if err := f.send(e); err != nil {
			return err
		}
	}
	f.revision = config.Revision
	f.subscriber.sent(f.s.now(), f.revision)
	return nil
}

// catchUp returns the log from a revision to config, or a checkpoint where
// that is fewer bytes or the log is no longer held.
func (s *Server) catchUp(after uint64, config *ticket.State) ([]*pb.FollowEvent, error) {
	log, ok := s.machine.Tickets(after)
	if ok {
		log = upTo(log, config.Revision)
		size := logBytes(log)
		if size <= smallLogBytes {
			return logEvents(log), nil
		}
		checkpoint, err := s.checkpoints.encode(config)
		if err != nil {
			return nil, err
		}
		if size <= len(checkpoint) {
			return logEvents(log), nil
		}
	}
	checkpoint, err := s.checkpoints.encode(config)
	if err != nil {
		return nil, err
	}
	return []*pb.FollowEvent{{Event: &pb.FollowEvent_Checkpoint{
		Checkpoint: &pb.Checkpoint{Revision: config.Revision, Configuration: checkpoint},
	}}}, nil
}

// upTo cuts a log behind a revision.
func upTo(log []*pb.Revision, revision uint64) []*pb.Revision {
	for i, r := range log {
		if r.GetRevision() > revision {
			return log[:i]
		}
	}
	return log
}

func logBytes(log []*pb.Revision) int {
	n := 0
	for _, r := range log {
		n += len(r.GetTicket())
	}
	return n
}

func logEvents(log []*pb.Revision) []*pb.FollowEvent {
	events := make([]*pb.FollowEvent, 0, len(log))
	for _, r := range log {
		events = append(events, &pb.FollowEvent{Event: &pb.FollowEvent_Revision{Revision: r}})
	}
	return events
}

// sendDirectory sends the changed endpoints, or the whole directory at first
// and where the changes are no longer held.
func (f *stream) sendDirectory() error {
	changes, ok := f.s.machine.EndpointChanges(f.directory)
	if !f.whole || !ok {
		return f.sendWholeDirectory()
	}
	for _, c := range changes {
		e := &pb.FollowEvent{Event: &pb.FollowEvent_Endpoint{Endpoint: c.Endpoint}, DirectoryVersion: c.Version}
		if err := f.send(e); err != nil {
			return err
		}
		f.directory = c.Version
	}
	return nil
}

func (f *stream) sendWholeDirectory() error {
	_, number := f.s.digests.next()
	f.loads = loadPlaces{start: number, places: map[string]uint64{}}
	endpoints, version := f.s.machine.Endpoints()
	directory := &pb.Directory{Version: version, Endpoints: f.s.loads.attach(endpoints)}
	f.whole = true
	f.directory = version
	return f.send(&pb.FollowEvent{
		Event:            &pb.FollowEvent_Directory{Directory: directory},
		DirectoryVersion: version,
	})
}

func (f *stream) sendDigests() error {
	events := f.loads.pick(f.s.digests, f.request.GetFailureDomain(), f.s.settings.DigestBytes)
	for _, e := range events {
		if err := f.send(e); err != nil {
			return err
		}
	}
	return nil
}

func (f *stream) sendAlive() error {
	alive := &pb.Alive{Revision: f.s.machine.Configuration().Revision}
	f.subscriber.sent(f.s.now(), 0)
	return f.send(&pb.FollowEvent{Event: &pb.FollowEvent_Alive{Alive: alive}})
}

// checkpoints keeps the newest encoded configuration, so that many
// subscribers share one encoding.
type checkpoints struct {
	mu       sync.Mutex
	revision uint64
	encoded  []byte
}

func (c *checkpoints) encode(config *ticket.State) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.revision == config.Revision {
		return c.encoded, nil
	}
	encoded, err := ticket.EncodeState(config)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	c.revision, c.encoded = config.Revision, encoded
	return encoded, nil
}
