package state

import (
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Configuration returns the newest configuration, which is immutable.
func (m *Machine) Configuration() *ticket.Configuration {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ticketStore.Configuration()
}

// TicketStore returns the ticket store, which is safe for concurrent use. Callers must
// not modify it, and not retain it, because Restore replaces it.
func (m *Machine) TicketStore() *ticket.Store {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ticketStore
}

// Changed returns a channel that is closed at the next change of the
// configuration, the endpoint directory or the orders.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// TicketsSince returns the encoded tickets accepted after a revision, in order. ok is
// false if some of them are no longer stored or the revision is not reached yet.
func (m *Machine) TicketsSince(after uint64) (tickets []*pb.Revision, ok bool) {
	entries, ok := m.TicketStore().EntriesAfter(after)
	for _, e := range entries {
		tickets = append(tickets, &pb.Revision{Revision: e.Revision, Ticket: e.EncodedTicket})
	}
	return tickets, ok
}

// Endpoints returns the current endpoints, sorted by name, and the version of the
// endpoint directory.
func (m *Machine) Endpoints() ([]*pb.Endpoint, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaseTable.Endpoints(), m.leaseTable.Version()
}

// EndpointChangesSince returns the changes of the endpoint directory after a version.
// ok is false if some of them are no longer stored.
func (m *Machine) EndpointChangesSince(after uint64) (changes []lease.Change, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaseTable.ChangesSince(after)
}

// Members returns the current members, sorted by name.
func (m *Machine) Members() []lease.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaseTable.Members()
}

// Member returns the current member with a name, and whether there is one.
func (m *Machine) Member(name string) (lease.Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaseTable.Get(name)
}

// LastGranted returns the highest incarnation and the highest fencing number granted.
func (m *Machine) LastGranted() (incarnation, fence uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.leaseTable.LastGranted()
}

// LookupClaim returns the state of a claim in the ledger.
func (m *Machine) LookupClaim(r *pb.LookupRequest) *pb.ClaimResponse {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Lookup(m.logTimeMs, r)
}

// LedgerSize returns the number of ledger entries and their estimated memory.
func (m *Machine) LedgerSize() (entries int, bytes int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Len(), m.ledger.MemoryBytes()
}
