package control

import (
	"sync"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"google.golang.org/protobuf/proto"
)

// loadTable holds the newest load of each endpoint.
type loadTable struct {
	mu         sync.Mutex
	byEndpoint map[string]*pb.EndpointLoad
}

func newLoadTable() *loadTable { return &loadTable{byEndpoint: map[string]*pb.EndpointLoad{}} }

// record stores a load that is newer than the stored one. Stored loads are
// never modified.
func (l *loadTable) record(name string, incarnation uint64, load *pb.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.byEndpoint[name]
	fromOldIncarnation := old.GetIncarnation() > incarnation
	notNewer := old.GetIncarnation() == incarnation && old.GetLoad().GetSequence() >= load.GetSequence()
	if old != nil && (fromOldIncarnation || notNewer) {
		return
	}
	l.byEndpoint[name] = &pb.EndpointLoad{Name: name, Incarnation: incarnation, Load: load}
}

// get returns the load of an incarnation, or nil.
func (l *loadTable) get(name string, incarnation uint64) *pb.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	stored := l.byEndpoint[name]
	if stored.GetIncarnation() != incarnation {
		return nil
	}
	return stored
}

// withLoads returns copies of the endpoints with their newest loads.
func (l *loadTable) withLoads(endpoints []*pb.Endpoint) []*pb.Endpoint {
	list := make([]*pb.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		e = proto.CloneOf(e)
		e.Load = l.get(e.GetName(), e.GetIncarnation()).GetLoad()
		list = append(list, e)
	}
	return list
}

// all lists the newest loads.
func (l *loadTable) all() []*pb.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*pb.EndpointLoad, 0, len(l.byEndpoint))
	for _, e := range l.byEndpoint {
		list = append(list, e)
	}
	return list
}

// removeAbsent drops the loads of endpoints that are not present, and those of
// earlier incarnations than the present ones.
func (l *loadTable) removeAbsent(present []*pb.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[string]*pb.EndpointLoad, len(present))
	for _, e := range present {
		stored := l.byEndpoint[e.GetName()]
		if stored != nil && stored.GetIncarnation() >= e.GetIncarnation() {
			kept[e.GetName()] = stored
		}
	}
	l.byEndpoint = kept
}

// heartbeatBuffer collects the newest heartbeat of each endpoint since the last
// accepted report.
type heartbeatBuffer struct {
	mu              sync.Mutex
	pending         map[string]heartbeat
	reportRequested chan struct{}
}

type heartbeat struct {
	receivedAt time.Time
	request    *pb.HeartbeatRequest
}

func newHeartbeatBuffer() *heartbeatBuffer {
	return &heartbeatBuffer{pending: map[string]heartbeat{}, reportRequested: make(chan struct{}, 1)}
}

// record stores a heartbeat unless a newer incarnation has sent one.
func (b *heartbeatBuffer) record(receivedAt time.Time, r *pb.HeartbeatRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, found := b.pending[r.GetName()]
	if found && old.request.GetIncarnation() > r.GetIncarnation() {
		return
	}
	b.pending[r.GetName()] = heartbeat{receivedAt: receivedAt, request: r}
}

// requestReport triggers a report before the next interval.
func (b *heartbeatBuffer) requestReport() {
	select {
	case b.reportRequested <- struct{}{}:
	default:
	}
}

// takeAll removes and returns the collected heartbeats, with their ages at now.
func (b *heartbeatBuffer) takeAll(now time.Time) []*pb.Beat {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*pb.Beat, 0, len(b.pending))
	for _, p := range b.pending {
		list = append(list, &pb.Beat{
			Name:        p.request.GetName(),
			Incarnation: p.request.GetIncarnation(),
			AgeMs:       uint64(max(0, now.Sub(p.receivedAt).Milliseconds())),
			Load:        p.request.GetLoad(),
			State:       p.request.GetState(),
			Models:      p.request.GetModels(),
		})
	}
	clear(b.pending)
	return list
}

// restore puts back heartbeats that the leader did not accept, except where a
// newer one has been collected.
func (b *heartbeatBuffer) restore(now time.Time, list []*pb.Beat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range list {
		if _, newer := b.pending[p.GetName()]; newer {
			continue
		}
		b.pending[p.GetName()] = heartbeat{
			receivedAt: now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
			request: &pb.HeartbeatRequest{
				Name:        p.GetName(),
				Incarnation: p.GetIncarnation(),
				Load:        p.GetLoad(),
				State:       p.GetState(),
				Models:      p.GetModels(),
			},
		}
	}
}
