package fleet

import (
	"context"
	"maps"
	"slices"
	"time"

	"connectrpc.com/connect"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

const (
	findStreamTimeout = 200 * time.Millisecond
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

// FindStream returns the origin of a stream if this host knows it, and the versions of its service.
func (s *Server) FindStream(_ context.Context, req *connect.Request[pb.FindStreamRequest]) (*connect.Response[pb.FindStreamResponse], error) {
	response := &pb.FindStreamResponse{}
	view := s.state.State()
	response.Vote, response.Complete = s.recordVote(view) // before the record is read
	response.Versions = s.knownVersions(view, req.Msg.AskedService)
	response.Settled = response.Complete // for entries of older builds
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.streams.memory.Find(req.Msg.Stream)
	response.Known, response.Service, response.Version = known, o.Service, o.Version
	return connect.NewResponse(response), nil
}

// FindStream asks all control hosts, as one whose watch is lost may be reached again. It returns once one
// knows the stream, or a majority knows the only version of the service.
func (f *Follower) FindStream(ctx context.Context, service string, stream uint64) origin.Finding {
	hosts := f.followedHosts()
	answers := make(chan *origin.Answer, len(hosts))
	for _, h := range hosts {
		go func() { answers <- f.askForStream(ctx, h, service, stream) }()
	}
	var finding origin.Finding
	for range hosts {
		select {
		case a := <-answers:
			if a != nil {
				finding.Add(*a)
			}
		case <-ctx.Done():
			return finding
		}
		if finding.Known || finding.Complete && len(finding.Versions) == 1 {
			break
		}
	}
	return finding
}

// askForStream returns the answer of a control host, nil if there is none. It does not end with ctx, since
// that would close the connection.
func (f *Follower) askForStream(ctx context.Context, h *host, service string, stream uint64) *origin.Answer {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), findStreamTimeout)
	defer cancel()
	response, err := h.client.FindStream(ctx, connect.NewRequest(&pb.FindStreamRequest{Stream: stream, AskedService: service}))
	if err != nil {
		f.options.Logger.Debug("origin of a stream not received", "url", h.url, "error", err)
		return nil
	}
	m := response.Msg
	return &origin.Answer{Origin: origin.Origin{Service: m.Service, Version: m.Version}, Known: m.Known, Versions: m.Versions, Complete: m.Complete, Vote: voteFromProto(m.Vote)}
}

func (f *Follower) followedHosts() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.hosts))
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
