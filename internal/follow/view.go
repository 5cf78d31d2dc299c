package follow

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// view is the configuration and the directory built from the events of
// subscriptions. It never goes back to an older revision or directory version,
// and depends on nothing but the events.
type view struct {
	config           *ticket.Configuration // nil before the first one is received
	directoryVersion uint64
	endpoints        map[string]*pb.Endpoint
	sortedEndpoints  []*pb.Endpoint // cache of listEndpoints; nil if outdated
}

func (v *view) revision() uint64 {
	if v.config == nil {
		return 0
	}
	return v.config.Revision
}

// apply applies one event and reports whether anything changed. Revisions and
// endpoint changes that are not newer are ignored.
func (v *view) apply(e *pb.FollowEvent) (changed bool, err error) {
	switch event := e.GetEvent().(type) {
	case *pb.FollowEvent_Checkpoint:
		return v.applyCheckpoint(event.Checkpoint)
	case *pb.FollowEvent_Revision:
		return v.applyRevision(event.Revision)
	case *pb.FollowEvent_Directory:
		return v.applyDirectory(event.Directory)
	case *pb.FollowEvent_Endpoint:
		return v.applyEndpoint(event.Endpoint, e.GetDirectoryVersion()), nil
	case *pb.FollowEvent_Digest:
		return v.applyLoadDigest(event.Digest), nil
	case *pb.FollowEvent_Alive:
		return v.applyAlive(event.Alive), nil
	default:
		return false, nil
	}
}

func (v *view) applyCheckpoint(c *pb.Checkpoint) (bool, error) {
	if v.config != nil && c.GetRevision() <= v.config.Revision {
		return false, nil
	}
	config, err := ticket.DecodeConfiguration(c.GetConfiguration())
	if err != nil {
		return false, errors.WithStack(err)
	}
	v.config = config
	return true, nil
}

func (v *view) applyRevision(r *pb.Revision) (bool, error) {
	if r.GetRevision() <= v.revision() {
		return false, nil
	}
	if r.GetRevision() != v.revision()+1 {
		return false, errors.WithStack(&RevisionGapError{Have: v.revision(), Got: r.GetRevision()})
	}
	t, err := ticket.Decode(r.GetTicket())
	if err != nil {
		return false, errors.WithStack(err)
	}
	config := v.config
	if config == nil {
		config = ticket.NewConfiguration()
	}
	// Control has validated the ticket. A subscriber of another software version
	// must not reject an accepted ticket.
	v.config = ticket.Replay(config, t)
	return true, nil
}

// applyAlive sets the empty configuration if control has no revision yet.
func (v *view) applyAlive(a *pb.Alive) bool {
	if v.config != nil || a.GetRevision() != 0 {
		return false
	}
	v.config = ticket.NewConfiguration()
	return true
}

func (v *view) applyDirectory(d *pb.Directory) (bool, error) {
	if d.GetVersion() < v.directoryVersion {
		return false, errors.WithStack(&StaleControlHostError{Have: v.directoryVersion, Got: d.GetVersion()})
	}
	endpoints := make(map[string]*pb.Endpoint, len(d.GetEndpoints()))
	for _, e := range d.GetEndpoints() {
		endpoints[e.GetName()] = withNewerLoad(e, v.endpoints[e.GetName()])
	}
	v.directoryVersion = d.GetVersion()
	v.endpoints = endpoints
	v.sortedEndpoints = nil
	return true, nil
}

func (v *view) applyEndpoint(e *pb.Endpoint, version uint64) bool {
	if version <= v.directoryVersion || v.endpoints == nil {
		return false
	}
	v.directoryVersion = version
	v.sortedEndpoints = nil
	if e.GetState() == pb.EndpointState_ENDPOINT_STATE_GONE {
		delete(v.endpoints, e.GetName())
		return true
	}
	v.endpoints[e.GetName()] = withNewerLoad(e, v.endpoints[e.GetName()])
	return true
}

// applyLoadDigest merges newer loads into the directory.
func (v *view) applyLoadDigest(d *pb.Digest) bool {
	changed := false
	for _, l := range d.GetLoads() {
		e := v.endpoints[l.GetName()]
		if e == nil || e.GetIncarnation() != l.GetIncarnation() {
			continue
		}
		if e.GetLoad() != nil && e.GetLoad().GetSequence() >= l.GetLoad().GetSequence() {
			continue
		}
		v.endpoints[l.GetName()] = copyWithLoad(e, l.GetLoad())
		v.sortedEndpoints = nil
		changed = true
	}
	return changed
}

// confirmsState reports whether an event shows that its sender is not behind this view.
func (v *view) confirmsState(e *pb.FollowEvent) bool {
	alive, ok := e.GetEvent().(*pb.FollowEvent_Alive)
	return !ok || alive.Alive.GetRevision() >= v.revision()
}

// listEndpoints returns the endpoints sorted by name.
func (v *view) listEndpoints() []*pb.Endpoint {
	if v.sortedEndpoints == nil && v.endpoints != nil {
		v.sortedEndpoints = make([]*pb.Endpoint, 0, len(v.endpoints))
		for _, name := range slices.Sorted(maps.Keys(v.endpoints)) {
			v.sortedEndpoints = append(v.sortedEndpoints, v.endpoints[name])
		}
	}
	return v.sortedEndpoints
}

// withNewerLoad returns e with the load of old if that is newer and of the same
// incarnation.
func withNewerLoad(e, old *pb.Endpoint) *pb.Endpoint {
	if old.GetLoad() == nil || old.GetIncarnation() != e.GetIncarnation() {
		return e
	}
	if e.GetLoad() != nil && e.GetLoad().GetSequence() >= old.GetLoad().GetSequence() {
		return e
	}
	return copyWithLoad(e, old.GetLoad())
}

// copyWithLoad returns a shallow copy of e with the given load.
func copyWithLoad(e *pb.Endpoint, load *pb.Load) *pb.Endpoint {
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
