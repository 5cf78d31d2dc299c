package control

import (
	"sync"
	"time"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"google.golang.org/protobuf/proto"
)

// loads holds the newest load of each incarnation.
type loads struct {
	mu     sync.Mutex
	newest map[string]*pb.EndpointLoad
}

func newLoads() *loads { return &loads{newest: map[string]*pb.EndpointLoad{}} }

// put keeps a load that is newer than the one held. A load is never changed
// after it was put.
func (l *loads) put(name string, incarnation uint64, load *pb.Load) {
	if load == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := l.newest[name]
	older := old.GetIncarnation() > incarnation
	same := old.GetIncarnation() == incarnation && old.GetLoad().GetSequence() >= load.GetSequence()
	if old != nil && (older || same) {
		return
	}
	l.newest[name] = &pb.EndpointLoad{Name: name, Incarnation: incarnation, Load: load}
}

// get returns the load of an incarnation, or nil.
func (l *loads) get(name string, incarnation uint64) *pb.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	held := l.newest[name]
	if held.GetIncarnation() != incarnation {
		return nil
	}
	return held
}

// attach returns copies of the endpoints with their newest loads.
func (l *loads) attach(endpoints []*pb.Endpoint) []*pb.Endpoint {
	list := make([]*pb.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		e = proto.CloneOf(e)
		e.Load = l.get(e.GetName(), e.GetIncarnation()).GetLoad()
		list = append(list, e)
	}
	return list
}

// all lists the newest loads.
func (l *loads) all() []*pb.EndpointLoad {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]*pb.EndpointLoad, 0, len(l.newest))
	for _, e := range l.newest {
		list = append(list, e)
	}
	return list
}

// retain drops the loads of absent incarnations.
func (l *loads) retain(present []*pb.Endpoint) {
	l.mu.Lock()
	defer l.mu.Unlock()
	kept := make(map[string]*pb.EndpointLoad, len(present))
	for _, e := range present {
		held := l.newest[e.GetName()]
		if held != nil && held.GetIncarnation() >= e.GetIncarnation() {
			kept[e.GetName()] = held
		}
	}
	l.newest = kept
}

// beats gathers the heartbeats since the last accepted report.
type beats struct {
	mu      sync.Mutex
	pending map[string]beat
	wake    chan struct{}
}

// beat is the newest heartbeat of a name.
type beat struct {
	at      time.Time
	request *pb.HeartbeatRequest
}

func newBeats() *beats {
	return &beats{pending: map[string]beat{}, wake: make(chan struct{}, 1)}
}

// put keeps the newest heartbeat of a name.
func (b *beats) put(at time.Time, r *pb.HeartbeatRequest) {
	b.mu.Lock()
	defer b.mu.Unlock()
	old, found := b.pending[r.GetName()]
	if found && old.request.GetIncarnation() > r.GetIncarnation() {
		return
	}
	b.pending[r.GetName()] = beat{at: at, request: r}
}

// hurry asks for a report before its interval is over.
func (b *beats) hurry() {
	select {
	case b.wake <- struct{}{}:
	default:
	}
}

// take removes and returns what was gathered, with its ages at now.
func (b *beats) take(now time.Time) []*pb.Beat {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]*pb.Beat, 0, len(b.pending))
	for _, p := range b.pending {
		list = append(list, &pb.Beat{
			Name:        p.request.GetName(),
			Incarnation: p.request.GetIncarnation(),
			AgeMs:       uint64(max(0, now.Sub(p.at).Milliseconds())),
			Load:        p.request.GetLoad(),
			State:       p.request.GetState(),
			Models:      p.request.GetModels(),
		})
	}
	clear(b.pending)
	return list
}

// restore puts beats back that no leader took; newer ones stay.
func (b *beats) restore(now time.Time, list []*pb.Beat) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range list {
		if _, newer := b.pending[p.GetName()]; newer {
			continue
		}
		b.pending[p.GetName()] = beat{
			at: now.Add(-time.Duration(p.GetAgeMs()) * time.Millisecond),
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
