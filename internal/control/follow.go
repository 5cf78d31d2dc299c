package control

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// smallLogMaxBytes is the total size up to which missed tickets are always sent.
// Above it the checkpoint is encoded, and whichever is smaller is sent.
const smallLogMaxBytes = 4 << 10

// followStream is the sending side of one subscription.
type followStream struct {
	server           *Server
	send             func(*pb.FollowEvent) error
	request          *pb.FollowRequest
	subscriber       *subscriberStream
	sentRevision     uint64 // newest revision sent, at first the one to resume from
	directoryVersion uint64 // newest version of the directory that was sent
	directorySent    bool   // the full directory has been sent
	loadCursor       loadCursor
}

// Follow streams the configuration and the directory until the subscriber
// disconnects or this host stops. No events are queued: a slow subscriber gets
// fewer events, each covering more changes.
func (d *directoryService) Follow(ctx context.Context, r *connect.Request[pb.FollowRequest], out *connect.ServerStream[pb.FollowEvent]) error {
	sub, ok := d.server.subscribers.add(d.server.now(), r.Msg.GetSubscriber(), r.Msg.GetKind(), r.Msg.GetRevision())
	if !ok {
		return connect.NewError(connect.CodeResourceExhausted,
			&TooManySubscribersError{MaxSubscribers: d.server.settings.MaxSubscribers})
	}
	defer d.server.subscribers.remove(sub)
	from := r.Msg.GetRevision()
	if r.Msg.GetResync() {
		from = 0
	}
	if from == 0 {
		if err := d.server.awaitUpToDate(ctx); err != nil {
			return err
		}
	}
	f := &followStream{server: d.server, send: out.Send, request: r.Msg, subscriber: sub, sentRevision: from}
	return f.run(ctx)
}

// TooManySubscribersError reports that MaxSubscribers streams are already open on
// the host.
type TooManySubscribersError struct {
	MaxSubscribers int
}

// Error implements the error interface.
func (e *TooManySubscribersError) Error() string {
	return "the control host takes no further subscribers"
}

// run sends the pending changes each time the state changes.
func (f *followStream) run(ctx context.Context) error {
	keepalive := time.NewTicker(f.server.settings.KeepaliveInterval)
	defer keepalive.Stop()
	if err := f.sendKeepalive(); err != nil {
		return err
	}
	for {
		changed := f.server.machine.Changed()
		if err := f.sendChanges(); err != nil {
			return err
		}
		if err := f.awaitChange(ctx, changed, keepalive.C); err != nil {
			return err
		}
	}
}

// awaitChange sends load digests and keepalives until the state changes.
func (f *followStream) awaitChange(ctx context.Context, changed <-chan struct{}, keepalive <-chan time.Time) error {
	for {
		var loadsChanged <-chan struct{}
		if f.request.GetWithDirectory() {
			loadsChanged, _ = f.server.loadChanges.watch()
		}
		select {
		case <-changed:
			return nil
		case <-loadsChanged:
			if err := f.sendDigests(); err != nil {
				return err
			}
		case <-keepalive:
			if err := f.sendKeepalive(); err != nil {
				return err
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		case <-f.server.stopping:
			return connect.NewError(connect.CodeUnavailable, &StoppingError{})
		}
	}
}

func (f *followStream) sendChanges() error {
	if err := f.sendConfiguration(); err != nil {
		return err
	}
	if !f.request.GetWithDirectory() {
		return nil
	}
	return f.sendDirectory()
}

// sendConfiguration brings the subscriber to the newest revision. It sends
// nothing if this host is behind the subscriber.
func (f *followStream) sendConfiguration() error {
	config := f.server.machine.Configuration()
	if config.Revision <= f.sentRevision {
		return nil
	}
	events, err := f.server.catchUpEvents(f.sentRevision, config)
	if err != nil {
		return err
	}
	for _, e := range events {
		if err := f.send(e); err != nil {
			return err
		}
	}
	f.sentRevision = config.Revision
	f.subscriber.recordSent(f.server.now(), f.sentRevision)
	return nil
}

// catchUpEvents returns the tickets from a revision up to config, or a
// checkpoint of config if that is smaller or the tickets are no longer
// retained.
func (s *Server) catchUpEvents(after uint64, config *ticket.Configuration) ([]*pb.FollowEvent, error) {
	tickets, ok := s.machine.TicketsSince(after)
	if ok {
		tickets = truncateAfter(tickets, config.Revision)
		size := totalTicketBytes(tickets)
		if size <= smallLogMaxBytes {
			return revisionEvents(tickets), nil
		}
		checkpoint, err := s.checkpoints.encode(config)
		if err != nil {
			return nil, err
		}
		if size <= len(checkpoint) {
			return revisionEvents(tickets), nil
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

// truncateAfter drops the tickets after a revision.
func truncateAfter(tickets []*pb.Revision, revision uint64) []*pb.Revision {
	for i, r := range tickets {
		if r.GetRevision() > revision {
			return tickets[:i]
		}
	}
	return tickets
}

func totalTicketBytes(tickets []*pb.Revision) int {
	n := 0
	for _, r := range tickets {
		n += len(r.GetTicket())
	}
	return n
}

func revisionEvents(tickets []*pb.Revision) []*pb.FollowEvent {
	events := make([]*pb.FollowEvent, 0, len(tickets))
	for _, r := range tickets {
		events = append(events, &pb.FollowEvent{Event: &pb.FollowEvent_Revision{Revision: r}})
	}
	return events
}

// sendDirectory sends the changed endpoints, or the full directory at first and
// when the changes are no longer retained.
func (f *followStream) sendDirectory() error {
	changes, ok := f.server.machine.EndpointChangesSince(f.directoryVersion)
	if !f.directorySent || !ok {
		return f.sendFullDirectory()
	}
	for _, c := range changes {
		e := &pb.FollowEvent{Event: &pb.FollowEvent_Endpoint{Endpoint: c.Endpoint}, DirectoryVersion: c.Version}
		if err := f.send(e); err != nil {
			return err
		}
		f.directoryVersion = c.Version
	}
	return nil
}

func (f *followStream) sendFullDirectory() error {
	_, loadVersion := f.server.loadChanges.watch()
	f.loadCursor = loadCursor{initialVersion: loadVersion, versions: map[string]uint64{}}
	endpoints, version := f.server.machine.Endpoints()
	directory := &pb.Directory{Version: version, Endpoints: f.server.loads.withLoads(endpoints)}
	f.directorySent = true
	f.directoryVersion = version
	return f.send(&pb.FollowEvent{
		Event:            &pb.FollowEvent_Directory{Directory: directory},
		DirectoryVersion: version,
	})
}

func (f *followStream) sendDigests() error {
	events := f.loadCursor.nextEvents(f.server.loadChanges, f.request.GetFailureDomain(), f.server.settings.MaxDigestBytes)
	for _, e := range events {
		if err := f.send(e); err != nil {
			return err
		}
	}
	return nil
}

func (f *followStream) sendKeepalive() error {
	alive := &pb.Alive{Revision: f.server.machine.Configuration().Revision}
	f.subscriber.recordSent(f.server.now(), 0)
	return f.send(&pb.FollowEvent{Event: &pb.FollowEvent_Alive{Alive: alive}})
}

// checkpointCache keeps the newest encoded configuration, so that all
// subscribers share one encoding.
type checkpointCache struct {
	mu       sync.Mutex
	revision uint64
	encoded  []byte
}

func (c *checkpointCache) encode(config *ticket.Configuration) ([]byte, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.encoded != nil && c.revision == config.Revision {
		return c.encoded, nil
	}
	encoded, err := ticket.EncodeConfiguration(config)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	c.revision, c.encoded = config.Revision, encoded
	return encoded, nil
}
