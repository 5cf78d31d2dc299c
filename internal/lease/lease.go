// Package lease manages the membership of endpoints. A replicated table holds their
// incarnations and fencing numbers; a record local to the leader holds the times of
// their last heartbeats.
//
// The package reads no clock, starts no goroutine and does no I/O.
package lease

import (
	"maps"
	"slices"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"google.golang.org/protobuf/proto"
)

// Bounds of the table, and the layout of fencing numbers.
const (
	maxRetiredNonces   = 4    // superseded processes remembered per name
	maxStoredChanges   = 2048 // once twice as many changes are stored, all but this many are dropped
	fenceTermShiftBits = 32   // the leadership term is stored in the bits from this one up
)

// Table is the replicated membership. It is not safe for concurrent use. Endpoints
// that it returns are never modified afterwards.
type Table struct {
	entries         map[string]*entry
	lastIncarnation uint64
	lastFence       uint64
	version         uint64
	changes         []Change
}

// entry is an endpoint name with its current incarnation.
type entry struct {
	endpoint      *pb.Endpoint
	nonce         string
	retiredNonces []string
	wantedState   pb.EndpointState
	pendingOrders []*pb.Order
	version       uint64
}

// Change is a new state of one endpoint; the state GONE removes it.
type Change struct {
	Version  uint64
	Endpoint *pb.Endpoint
}

func NewTable() *Table { return &Table{entries: map[string]*entry{}} }

// Join grants an incarnation and a fencing number to an endpoint. The nonce makes it
// idempotent: the same process gets the same grant again, and a superseded process
// is refused.
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
		return e.joinResult()
	}
	if e != nil && slices.Contains(e.retiredNonces, c.GetNonce()) {
		return &pb.JoinResult{Refusal: pb.JoinRefusal_JOIN_REFUSAL_SUPERSEDED}
	}
	e = t.addIncarnation(e, term, c)
	t.recordChange(index, e)
	return e.joinResult()
}

// addIncarnation makes the endpoint of c the current incarnation of its name.
func (t *Table) addIncarnation(old *entry, term uint64, c *pb.JoinCommand) *entry {
	next := &entry{nonce: c.GetNonce(), wantedState: pb.EndpointState_ENDPOINT_STATE_ACTIVE}
	if old != nil {
		next.wantedState = old.wantedState
		next.retiredNonces = append(slices.Clone(old.retiredNonces), old.nonce)
		if extra := len(next.retiredNonces) - maxRetiredNonces; extra > 0 {
			next.retiredNonces = next.retiredNonces[extra:]
		}
	}
	t.lastIncarnation++
	endpoint := proto.CloneOf(c.GetEndpoint())
	endpoint.Incarnation = t.lastIncarnation
	endpoint.Fence = t.nextFence(term)
	endpoint.State = pb.EndpointState_ENDPOINT_STATE_ACTIVE
	endpoint.Load = nil
	if next.wantedState == pb.EndpointState_ENDPOINT_STATE_DRAINING {
		endpoint.State = next.wantedState
	}
	next.endpoint = endpoint
	t.entries[endpoint.GetName()] = next
	return next
}

// nextFence returns a number above all earlier ones and all numbers of earlier
// terms.
func (t *Table) nextFence(term uint64) uint64 {
	t.lastFence = max(t.lastFence, term<<fenceTermShiftBits) + 1
	return t.lastFence
}

// Leave removes the given incarnations if they are current, and returns how many it
// removed.
func (t *Table) Leave(index uint64, c *pb.LeaveCommand) int {
	removed := 0
	for _, i := range c.GetIncarnations() {
		e := t.currentEntry(i.GetName(), i.GetIncarnation())
		if e == nil {
			continue
		}
		gone := proto.CloneOf(e.endpoint)
		gone.State = pb.EndpointState_ENDPOINT_STATE_GONE
		e.endpoint = gone
		t.recordChange(index, e)
		delete(t.entries, i.GetName())
		removed++
	}
	return removed
}

// Update records the reported states and loaded models, drops the orders that are
// now fulfilled, and returns how many incarnations it changed.
func (t *Table) Update(index uint64, c *pb.UpdateCommand) int {
	changed := 0
	for _, u := range c.GetUpdates() {
		e := t.currentEntry(u.GetName(), u.GetIncarnation())
		if e == nil {
			continue
		}
		next := proto.CloneOf(e.endpoint)
		next.State = e.effectiveState(u.GetState())
		next.Models = slices.Clone(u.GetModels())
		e.endpoint = next
		e.pendingOrders = slices.DeleteFunc(slices.Clone(e.pendingOrders), func(o *pb.Order) bool {
			return OrderFulfilled(o, next.Models)
		})
		t.recordChange(index, e)
		changed++
	}
	return changed
}

// effectiveState combines the reported state with the state that the operator wants:
// draining wins.
func (e *entry) effectiveState(reported pb.EndpointState) pb.EndpointState {
	draining := pb.EndpointState_ENDPOINT_STATE_DRAINING
	if reported == draining || e.wantedState == draining {
		return draining
	}
	return pb.EndpointState_ENDPOINT_STATE_ACTIVE
}

// SetWantedState records the state that the operator wants for an endpoint and its
// later incarnations. It returns 1 if the endpoint is known and 0 otherwise.
func (t *Table) SetWantedState(index uint64, c *pb.WantCommand) int {
	e := t.entries[c.GetName()]
	if e == nil {
		return 0
	}
	e.wantedState = c.GetWanted()
	next := proto.CloneOf(e.endpoint)
	next.State = c.GetWanted()
	e.endpoint = next
	t.recordChange(index, e)
	return 1
}

// ReplaceOrders replaces the pending orders of an incarnation and assigns their fencing
// numbers. It returns 1 if the incarnation is current and 0 otherwise.
func (t *Table) ReplaceOrders(term uint64, c *pb.OrderCommand) int {
	e := t.currentEntry(c.GetName(), c.GetIncarnation())
	if e == nil {
		return 0
	}
	e.pendingOrders = make([]*pb.Order, 0, len(c.GetOrders()))
	for _, o := range c.GetOrders() {
		o = proto.CloneOf(o)
		o.Fence = t.nextFence(term)
		o.Id = orderID(o)
		e.pendingOrders = append(e.pendingOrders, o)
	}
	return 1
}

func (t *Table) currentEntry(name string, incarnation uint64) *entry {
	e := t.entries[name]
	if e == nil || e.endpoint.GetIncarnation() != incarnation {
		return nil
	}
	return e
}

// recordChange assigns a new version to e and stores the change for subscribers.
func (t *Table) recordChange(index uint64, e *entry) {
	t.version = max(t.version+1, index)
	e.version = t.version
	t.changes = append(t.changes, Change{Version: t.version, Endpoint: e.endpoint})
	if extra := len(t.changes) - 2*maxStoredChanges; extra >= 0 {
		t.changes = slices.Clone(t.changes[len(t.changes)-maxStoredChanges:])
	}
}

func (e *entry) joinResult() *pb.JoinResult {
	return &pb.JoinResult{Incarnation: e.endpoint.GetIncarnation(), Fence: e.endpoint.GetFence()}
}

func (t *Table) sortedNames() []string { return slices.Sorted(maps.Keys(t.entries)) }
