package state

import (
	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/lease"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// Configuration returns the newest configuration; it is never changed afterwards.
func (m *Machine) Configuration() *ticket.State {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.book.State()
}

// Book returns the ticket book for reading; it is safe for concurrent use. A
// restored snapshot replaces it, so it must not be kept.
func (m *Machine) Book() *ticket.Book {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.book
}

// Changed returns a channel that is closed at the next change of the
// configuration, the directory or the orders.
func (m *Machine) Changed() <-chan struct{} {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.changed
}

// Tickets returns the accepted tickets after a revision, in order and
// encoded; ok is false if they are not all remembered.
func (m *Machine) Tickets(after uint64) (tickets []*pb.Revision, ok bool) {
	entries, ok := m.Book().Since(after)
	for _, e := range entries {
		tickets = append(tickets, &pb.Revision{Revision: e.Revision, Ticket: e.Ticket})
	}
	return tickets, ok
}

// Endpoints lists the present endpoints by name, and the directory's version.
func (m *Machine) Endpoints() ([]*pb.Endpoint, uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.Endpoints(), m.table.Version()
}

// EndpointChanges lists the changes of the directory after a version; ok is
// false if they are not all remembered.
func (m *Machine) EndpointChanges(after uint64) (changes []lease.Change, ok bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.Since(after)
}

// Members lists the present members by name.
func (m *Machine) Members() []lease.Member {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.Members()
}

// Member returns the present incarnation of a name.
func (m *Machine) Member(name string) (lease.Member, bool) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.Get(name)
}

// Newest returns the newest incarnation and the newest fencing number granted.
func (m *Machine) Newest() (incarnation, fence uint64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.table.Newest()
}

// Lookup reads a claim of the ledger.
func (m *Machine) Lookup(r *pb.LookupRequest) *pb.ClaimResponse {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Lookup(m.nowMs, r)
}

// LedgerSize returns the entries of the ledger and their estimated bytes.
func (m *Machine) LedgerSize() (entries int, bytes int64) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.ledger.Len(), m.ledger.Bytes()
}
