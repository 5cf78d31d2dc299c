// Package lease holds the membership of endpoints: the replicated table of
// incarnations and fencing numbers, and the leader's own record of who was
// heard when.
//
// Nothing here reads a clock, starts a goroutine or does I/O.
package lease

import (
	"maps"
	"slices"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"google.golang.org/protobuf/proto"
)

// Bounds of the table.
const (
	maxRetiredNonces = 4    // processes remembered per name after they were superseded
	maxChanges       = 2048 // changes remembered for subscribers
	termShift        = 32   // position of the leadership term in a fencing number
)

// Table is the replicated membership. It is not safe for concurrent use. The
// endpoints that it hands out are never changed afterwards.
type Table struct {
	entries         map[string]*entry
	lastIncarnation uint64
	lastFence       uint64
	version         uint64
	changes         []Change
}

// entry is one name with its present incarnation.
type entry struct {
	endpoint *pb.Endpoint
	nonce    string
	retired  []string
	wanted   pb.EndpointState
	orders   []*pb.Order
	version  uint64
}

// Change is one changed endpoint; GONE removes it.
type Change struct {
	Version  uint64
	Endpoint *pb.Endpoint
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Join grants an incarnation and a fencing number to an endpoint. The nonce
// makes it idempotent: the same process gets the same grant again, and a
// process that was superseded is refused.
func (t *Table) Join(index, term uint64, c *pb.JoinCommand) *pb.JoinResult {
	name := c.GetEndpoint().GetName()
	if name == "" || c.GetNonce() == "" {
		return &pb.JoinResult{Refusal: pb.JoinRefusal_JOIN_REFUSAL_INVALID}
	}
	e := t.entries[name]
	if e == nil && len(t.entries) >= int(c.GetMaxEndpoints()) {
		return &pb.JoinResult{Refusal: pb.JoinRefusal_JOIN_REFUSAL_FULL}
	}
	if e != nil && e.nonce == c.GetNonce() {
		return e.grant()
	}
	if e != nil && slices.Contains(e.retired, c.GetNonce()) {
		return &pb.JoinResult{Refusal: pb.JoinRefusal_JOIN_REFUSAL_SUPERSEDED}
	}
	e = t.admit(e, term, c)
	t.changed(index, e)
	return e.grant()
}

// admit makes the endpoint of c the present incarnation of its name.
func (t *Table) admit(old *entry, term uint64, c *pb.JoinCommand) *entry {
	next := &entry{nonce: c.GetNonce(), wanted: pb.EndpointState_ENDPOINT_STATE_ACTIVE}
	if old != nil {
		next.wanted = old.wanted
		next.retired = append(slices.Clone(old.retired), old.nonce)
		if extra := len(next.retired) - maxRetiredNonces; extra > 0 {
			next.retired = next.retired[extra:]
		}
	}
	t.lastIncarnation++
	endpoint := proto.CloneOf(c.GetEndpoint())
	endpoint.Incarnation = t.lastIncarnation
	endpoint.Fence = t.nextFence(term)
	endpoint.State = pb.EndpointState_ENDPOINT_STATE_ACTIVE
	endpoint.Load = nil
	if next.wanted == pb.EndpointState_ENDPOINT_STATE_DRAINING {
		endpoint.State = next.wanted
	}
	next.endpoint = endpoint
	t.entries[endpoint.GetName()] = next
	return next
}

// nextFence returns a number above every earlier one and above every one of
// an earlier term.
func (t *Table) nextFence(term uint64) uint64 {
	t.lastFence = max(t.lastFence, term<<termShift) + 1
	return t.lastFence
}

// Leave removes the incarnations that are still present, and returns how many.
func (t *Table) Leave(index uint64, c *pb.LeaveCommand) int {
	removed := 0
	for _, i := range c.GetIncarnations() {
		e := t.current(i.GetName(), i.GetIncarnation())
		if e == nil {
			continue
		}
		gone := proto.CloneOf(e.endpoint)
		gone.State = pb.EndpointState_ENDPOINT_STATE_GONE
		e.endpoint = gone
		t.changed(index, e)
		delete(t.entries, i.GetName())
		removed++
	}
	return removed
}

// Update records states and loaded models, drops the orders that these
// fulfil, and returns how many incarnations changed.
func (t *Table) Update(index uint64, c *pb.UpdateCommand) int {
	changed := 0
	for _, u := range c.GetUpdates() {
		e := t.current(u.GetName(), u.GetIncarnation())
		if e == nil {
			continue
		}
		next := proto.CloneOf(e.endpoint)
		next.State = e.stateFor(u.GetState())
		next.Models = slices.Clone(u.GetModels())
		e.endpoint = next
		e.orders = slices.DeleteFunc(slices.Clone(e.orders), func(o *pb.Order) bool {
			return Fulfilled(o, next.Models)
		})
		t.changed(index, e)
		changed++
	}
	return changed
}

// stateFor joins what the endpoint says and what the operator wants.
func (e *entry) stateFor(said pb.EndpointState) pb.EndpointState {
	draining := pb.EndpointState_ENDPOINT_STATE_DRAINING
	if said == draining || e.wanted == draining {
		return draining
	}
	return pb.EndpointState_ENDPOINT_STATE_ACTIVE
}

// Want records the operator's wish for an endpoint and its later
// incarnations, and returns 1 if the endpoint is known.
func (t *Table) Want(index uint64, c *pb.WantCommand) int {
	e := t.entries[c.GetName()]
	if e == nil {
		return 0
	}
	e.wanted = c.GetWanted()
	next := proto.CloneOf(e.endpoint)
	next.State = c.GetWanted()
	e.endpoint = next
	t.changed(index, e)
	return 1
}

// Order replaces the pending orders of an incarnation and gives each its
// fencing number. It returns 1 if the incarnation is present.
func (t *Table) Order(term uint64, c *pb.OrderCommand) int {
	e := t.current(c.GetName(), c.GetIncarnation())
	if e == nil {
		return 0
	}
	e.orders = make([]*pb.Order, 0, len(c.GetOrders()))
	for _, o := range c.GetOrders() {
		o = proto.CloneOf(o)
		o.Fence = t.nextFence(term)
		o.Id = orderID(o)
		e.orders = append(e.orders, o)
	}
	return 1
}

func (t *Table) current(name string, incarnation uint64) *entry {
	e := t.entries[name]
	if e == nil || e.endpoint.GetIncarnation() != incarnation {
		return nil
	}
	return e
}

// changed records the present endpoint of e under a new version.
func (t *Table) changed(index uint64, e *entry) {
	t.version = max(t.version+1, index)
	e.version = t.version
	t.changes = append(t.changes, Change{Version: t.version, Endpoint: e.endpoint})
	if extra := len(t.changes) - 2*maxChanges; extra >= 0 {
		t.changes = slices.Clone(t.changes[len(t.changes)-maxChanges:])
	}
}

func (e *entry) grant() *pb.JoinResult {
	return &pb.JoinResult{Incarnation: e.endpoint.GetIncarnation(), Fence: e.endpoint.GetFence()}
}

// names returns the names in order.
func (t *Table) names() []string { return slices.Sorted(maps.Keys(t.entries)) }
