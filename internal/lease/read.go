package lease

import (
	"slices"
	"sort"
	"strconv"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Member is the state of one current incarnation.
type Member struct {
	Endpoint      *pb.Endpoint
	WantedState   pb.EndpointState
	PendingOrders []*pb.Order
}

// Len returns the number of current endpoints.
func (t *Table) Len() int { return len(t.entries) }

// Version increases with each change of an endpoint.
func (t *Table) Version() uint64 { return t.version }

// LastGranted returns the last incarnation and the last fencing number granted.
func (t *Table) LastGranted() (incarnation, fence uint64) { return t.lastIncarnation, t.lastFence }

// Get returns the current incarnation of a name.
func (t *Table) Get(name string) (Member, bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return Member{Endpoint: e.endpoint, WantedState: e.wantedState, PendingOrders: slices.Clone(e.pendingOrders)}, true
}

// Endpoints lists the current endpoints, sorted by name.
func (t *Table) Endpoints() []*pb.Endpoint {
	list := make([]*pb.Endpoint, 0, len(t.entries))
	for _, name := range t.sortedNames() {
		list = append(list, t.entries[name].endpoint)
	}
	return list
}

// Members lists the current members, sorted by name.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.entries))
	for _, name := range t.sortedNames() {
		m, _ := t.Get(name)
		list = append(list, m)
	}
	return list
}

// ChangesSince lists the changes after a version. ok is false if some of them may not be
// stored, so that the caller needs the whole list of endpoints.
func (t *Table) ChangesSince(version uint64) (changes []Change, ok bool) {
	if version == t.version {
		return nil, true
	}
	if len(t.changes) == 0 || version > t.version || version < t.changes[0].Version {
		return nil, false
	}
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].Version > version })
	return slices.Clone(t.changes[first:]), true
}

// OrderFulfilled reports whether the loaded models show that the order was carried
// out.
func OrderFulfilled(o *pb.Order, models []string) bool {
	loaded := slices.Contains(models, o.GetModel())
	switch o.GetKind() {
	case pb.OrderKind_ORDER_KIND_LOAD, pb.OrderKind_ORDER_KIND_ADAPTER, pb.OrderKind_ORDER_KIND_VERSION:
		return loaded
	case pb.OrderKind_ORDER_KIND_UNLOAD:
		return !loaded
	default:
		return false
	}
}

func orderID(o *pb.Order) string { return "order-" + strconv.FormatUint(o.GetFence(), 10) }

// Snapshot returns the state of the table without the stored changes.
func (t *Table) Snapshot() *pb.LeaseSnapshot {
	s := &pb.LeaseSnapshot{LastIncarnation: t.lastIncarnation, LastFence: t.lastFence, Version: t.version}
	for _, name := range t.sortedNames() {
		e := t.entries[name]
		s.Entries = append(s.Entries, &pb.LeaseEntry{
			Endpoint:      e.endpoint,
			Nonce:         e.nonce,
			RetiredNonces: e.retiredNonces,
			Wanted:        e.wantedState,
			Orders:        e.pendingOrders,
			Version:       e.version,
		})
	}
	return s
}

func Restore(s *pb.LeaseSnapshot) *Table {
	t := NewTable()
	t.lastIncarnation = s.GetLastIncarnation()
	t.lastFence = s.GetLastFence()
	t.version = s.GetVersion()
	for _, stored := range s.GetEntries() {
		t.entries[stored.GetEndpoint().GetName()] = &entry{
			endpoint:      stored.GetEndpoint(),
			nonce:         stored.GetNonce(),
			retiredNonces: stored.GetRetiredNonces(),
			wantedState:   stored.GetWanted(),
			pendingOrders: stored.GetOrders(),
			version:       stored.GetVersion(),
		}
	}
	return t
}

// FenceGate is the endpoint's check of fencing numbers: it rejects outdated orders.
type FenceGate struct {
	newestFence uint64
}

// NewestFence returns the highest fencing number accepted.
func (g *FenceGate) NewestFence() uint64 { return g.newestFence }

// Accept reports whether an order with this fencing number may be carried out, which
// requires it to be above all accepted before.
func (g *FenceGate) Accept(fence uint64) bool {
	if fence <= g.newestFence {
		return false
	}
	g.newestFence = fence
	return true
}
