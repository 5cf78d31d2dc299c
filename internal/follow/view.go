package follow

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// view is what a subscriber knows. It only moves forward. It is pure: a
// function of the events.
type view struct {
	config    *ticket.State // nil before the first
	version   uint64
	endpoints map[string]*pb.Endpoint
	listed    []*pb.Endpoint // by name; nil if it must be made anew
}

func (v *view) revision() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Revision
}

// apply takes one event and tells whether anything changed. Revisions and
// versions that are not newer are ignored.
func (v *view) apply(e *pb.FollowEvent) (changed bool, err error) {
	switch event := e.GetEvent().(type) {
	case *pb.FollowEvent_Checkpoint:
		return v.checkpoint(event.Checkpoint)
	case *pb.FollowEvent_Revision:
		return v.ticket(event.Revision)
	case *pb.FollowEvent_Directory:
		return v.directory(event.Directory)
	case *pb.FollowEvent_Endpoint:
		return v.endpoint(event.Endpoint, e.GetDirectoryVersion()), nil
	case *pb.FollowEvent_Digest:
		return v.digest(event.Digest), nil
	case *pb.FollowEvent_Alive:
		return v.alive(event.Alive), nil
	default:
		return false, nil
	}
}

func (v *view) checkpoint(c *pb.Checkpoint) (bool, error) {
	if v.config != nil && c.GetRevision() <= v.config.Revision {
		return false, nil
	}
	config, err := ticket.DecodeState(c.GetConfiguration())
	if err != nil {
		return false, errors.WithStack(err)
	}
	v.config = config
	return true, nil
}

func (v *view) ticket(r *pb.Revision) (bool, error) {
	if r.GetRevision() <= v.revision() {
		return false, nil
	}
	if r.GetRevision() != v.revision()+1 {
		return false, errors.WithStack(&GapError{Have: v.revision(), Got: r.GetRevision()})
	}
	t, err := ticket.Decode(r.GetTicket())
	if err != nil {
		return false, errors.WithStack(err)
	}
	config := v.config
	if config == nil {
		config = ticket.NewState()
	}
	// Control has checked the ticket: a subscriber of another version must
	// not refuse what was accepted.
	v.config = ticket.Replay(config, t)
	return true, nil
}

// alive makes the empty configuration known when control has no other yet.
func (v *view) alive(a *pb.Alive) bool {
	if v.config != nil || a.GetRevision() != 0 {
		return false
	}
	v.config = ticket.NewState()
	return true
}

func (v *view) directory(d *pb.Directory) (bool, error) {
	if d.GetVersion() < v.version {
		return false, errors.WithStack(&BehindError{Have: v.version, Got: d.GetVersion()})
	}
	next := make(map[string]*pb.Endpoint, len(d.GetEndpoints()))
	for _, e := range d.GetEndpoints() {
		next[e.GetName()] = withLoad(e, v.endpoints[e.GetName()])
	}
	v.version = d.GetVersion()
	v.endpoints = next
	v.listed = nil
	return true, nil
}

func (v *view) endpoint(e *pb.Endpoint, version uint64) bool {
	if version <= v.version || v.endpoints == nil {
		return false
	}
	v.version = version
	v.listed = nil
	if e.GetState() == pb.EndpointState_ENDPOINT_STATE_GONE {
		delete(v.endpoints, e.GetName())
		return true
	}
	v.endpoints[e.GetName()] = withLoad(e, v.endpoints[e.GetName()])
	return true
}

// digest joins newer loads into the directory.
func (v *view) digest(d *pb.Digest) bool {
	changed := false
	for _, l := range d.GetLoads() {
		e := v.endpoints[l.GetName()]
		if e == nil || e.GetIncarnation() != l.GetIncarnation() {
			continue
		}
		if e.GetLoad() != nil && e.GetLoad().GetSequence() >= l.GetLoad().GetSequence() {
			continue
		}
		v.endpoints[l.GetName()] = replaceLoad(e, l.GetLoad())
		v.listed = nil
		changed = true
	}
	return changed
}

// confirms tells whether an event shows that the sender is not behind.
func (v *view) confirms(e *pb.FollowEvent) bool {
	alive, ok := e.GetEvent().(*pb.FollowEvent_Alive)
	return !ok || alive.Alive.GetRevision() >= v.revision()
}

// list returns the endpoints by name.
func (v *view) list() []*pb.Endpoint {
	if v.listed == nil && v.endpoints != nil {
		v.listed = make([]*pb.Endpoint, 0, len(v.endpoints))
		for _, name := range slices.Sorted(maps.Keys(v.endpoints)) {
			v.listed = append(v.listed, v.endpoints[name])
		}
	}
	return v.listed
}

// withLoad keeps the newer of the loads known of the same incarnation.
func withLoad(e, old *pb.Endpoint) *pb.Endpoint {
	if old.GetLoad() == nil || old.GetIncarnation() != e.GetIncarnation() {
		return e
	}
	if e.GetLoad() != nil && e.GetLoad().GetSequence() >= old.GetLoad().GetSequence() {
		return e
	}
	return replaceLoad(e, old.GetLoad())
}

// replaceLoad returns a shallow copy of e with another load.
func replaceLoad(e *pb.Endpoint, load *pb.Load) *pb.Endpoint {
	return &pb.Endpoint{
		Name:          e.GetName(),
		Incarnation:   e.GetIncarnation(),
		Fence:         e.GetFence(),
		Group:         e.GetGroup(),
		Kind:          e.GetKind(),
		Host:          e.GetHost(),
		FailureDomain: e.GetFailureDomain(),
		AgentUrl:      e.GetAgentUrl(),
		State:         e.GetState(),
		Models:        e.GetModels(),
		Load:          load,
		ChecksFence:   e.GetChecksFence(),
	}
}
