package fleet

import (
	"context"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

const (
	findStreamTimeout = 200 * time.Millisecond
	// settleTime is how long after the start of a control host all endpoints have reported to one.
	settleTime = 3 * time.Second
	// maxStoredStarts and maxStartsPerResponse hold what the entries of a failure domain report
	// between several polls of a peer.
	maxStoredStarts      = 16384
	maxStartsPerResponse = 4096
)

// streamStarts is what a control host knows of the origins of streams. The Server's lock guards it.
type streamStarts struct {
	memory origin.Memory
	log    exchangeLog[origin.Start]
}

func newStreamStarts() *streamStarts {
	return &streamStarts{log: newExchangeLog[origin.Start](maxStoredStarts, maxStartsPerResponse)}
}

// add adds what an entry reported, or with the name "" another control host.
func (s *streamStarts) add(now time.Time, entry string, starts []origin.Start) {
	for _, start := range starts {
		s.memory.Add(now, start)
	}
	s.log.add(now, entry, starts)
}

// FindStream returns the origin of a stream if this host knows it.
func (s *Server) FindStream(_ context.Context, req *connect.Request[pb.FindStreamRequest]) (*connect.Response[pb.FindStreamResponse], error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.streams.memory.Find(req.Msg.Stream)
	return connect.NewResponse(&pb.FindStreamResponse{Known: known, Service: o.Service, Version: o.Version, Settled: time.Since(s.startedAt) > settleTime}), nil
}

// FindStream asks all live control hosts for the origin of a stream, and returns what the first
// one knows. If none does, settled tells whether one has run long enough to know all endpoints.
func (f *Follower) FindStream(ctx context.Context, stream uint64) (o origin.Origin, known, settled bool) {
	ctx, cancel := context.WithTimeout(ctx, findStreamTimeout)
	defer cancel()
	hosts := f.liveHosts()
	found := make(chan *pb.FindStreamResponse, len(hosts))
	for _, h := range hosts {
		go func() {
			response, err := h.client.FindStream(ctx, connect.NewRequest(&pb.FindStreamRequest{Stream: stream}))
			if err != nil {
				f.options.Logger.Debug("origin of a stream not received", "url", h.url, "error", err)
				found <- &pb.FindStreamResponse{}
				return
			}
			found <- response.Msg
		}()
	}
	for range hosts {
		response := <-found
		if response.Known {
			return origin.Origin{Service: response.Service, Version: response.Version}, true, true
		}
		settled = settled || response.Settled
	}
	return origin.Origin{}, false, settled
}

// InContact reports whether any control host is live, and the versions that serve, or did so short
// ago, are known from one.
func (f *Follower) InContact() bool { return f.Status().Confirmed && len(f.liveHosts()) > 0 }

func (f *Follower) liveHosts() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	var live []*host
	for _, h := range f.hosts {
		if h.live {
			live = append(live, h)
		}
	}
	return live
}

// streamStartsToProto groups successive starts by origin, and so keeps their order.
func streamStartsToProto(starts []origin.Start) []*pb.StreamStarts {
	var out []*pb.StreamStarts
	for _, s := range starts {
		if n := len(out); n == 0 || out[n-1].Service != s.Origin.Service || out[n-1].Version != s.Origin.Version {
			out = append(out, &pb.StreamStarts{Service: s.Origin.Service, Version: s.Origin.Version})
		}
		last := out[len(out)-1]
		last.Streams = append(last.Streams, s.Stream)
	}
	return out
}

func streamStartsFromProto(groups []*pb.StreamStarts) []origin.Start {
	var out []origin.Start
	for _, group := range groups {
		for _, stream := range group.Streams {
			out = append(out, origin.Start{Stream: stream, Origin: origin.Origin{Service: group.Service, Version: group.Version}})
		}
	}
	return out
}
