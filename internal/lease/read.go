package lease

import (
	"slices"
	"sort"
	"strconv"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
)

// Member is what the table knows of one present incarnation.
type Member struct {
	Endpoint *pb.Endpoint
	Wanted   pb.EndpointState
	Orders   []*pb.Order
}

// Len is the number of present endpoints.
func (t *Table) Len() int { return len(t.entries) }

// Version grows with each change of the directory.
func (t *Table) Version() uint64 { return t.version }

// Newest is the newest incarnation and the newest fencing number granted.
func (t *Table) Newest() (incarnation, fence uint64) { return t.lastIncarnation, t.lastFence }

// Get returns the present incarnation of a name.
func (t *Table) Get(name string) (Member, bool) {
	e := t.entries[name]
	if e == nil {
		return Member{}, false
	}
	return Member{Endpoint: e.endpoint, Wanted: e.wanted, Orders: slices.Clone(e.orders)}, true
}

// Endpoints lists the present endpoints by name.
func (t *Table) Endpoints() []*pb.Endpoint {
	list := make([]*pb.Endpoint, 0, len(t.entries))
	for _, name := range t.names() {
		list = append(list, t.entries[name].endpoint)
	}
	return list
}

// Members lists the present members by name.
func (t *Table) Members() []Member {
	list := make([]Member, 0, len(t.entries))
	for _, name := range t.names() {
		m, _ := t.Get(name)
		list = append(list, m)
	}
	return list
}

// Since lists the changes after a version; ok is false if they are not all
// remembered, so that the whole list is needed.
func (t *Table) Since(version uint64) (changes []Change, ok bool) {
	if version == t.version {
		return nil, true
	}
	if len(t.changes) == 0 || version > t.version || version < t.changes[0].Version {
		return nil, false
	}
	first := sort.Search(len(t.changes), func(i int) bool { return t.changes[i].Version > version })
	return slices.Clone(t.changes[first:]), true
}

// Fulfilled tells whether the loaded models show that an order was carried out.
func Fulfilled(o *pb.Order, models []string) bool {
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

// Snapshot returns the whole table.
func (t *Table) Snapshot() *pb.LeaseSnapshot {
	s := &pb.LeaseSnapshot{LastIncarnation: t.lastIncarnation, LastFence: t.lastFence, Version: t.version}
	for _, name := range t.names() {
		e := t.entries[name]
		s.Entries = append(s.Entries, &pb.LeaseEntry{
			Endpoint:      e.endpoint,
			Nonce:         e.nonce,
			RetiredNonces: e.retired,
			Wanted:        e.wanted,
			Orders:        e.orders,
			Version:       e.version,
		})
	}
	return s
}

// Restore builds a table from a snapshot.
func Restore(s *pb.LeaseSnapshot) *Table {
	t := NewTable()
	t.lastIncarnation = s.GetLastIncarnation()
	t.lastFence = s.GetLastFence()
	t.version = s.GetVersion()
	for _, p := range s.GetEntries() {
		t.entries[p.GetEndpoint().GetName()] = &entry{
			endpoint: p.GetEndpoint(),
			nonce:    p.GetNonce(),
			retired:  p.GetRetiredNonces(),
			wanted:   p.GetWanted(),
			orders:   p.GetOrders(),
			version:  p.GetVersion(),
		}
	}
	return t
}

// Gate refuses orders with an old fencing number on behalf of an engine.
type Gate struct {
	newest uint64
}

// Newest is the newest number accepted.
func (g *Gate) Newest() uint64 { return g.newest }

// Accept tells whether an order with this number may be carried out: it is
// newer than all accepted before.
func (g *Gate) Accept(fence uint64) bool {
	if fence <= g.newest {
		return false
	}
	g.newest = fence
	return true
}
