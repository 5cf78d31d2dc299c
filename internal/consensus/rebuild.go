package consensus

// SetMayLead sets whether this replica may lead; it may by default. One that may not steps down and
// starts no election, but votes and stores entries as before: neither rests on the state that is
// built from the log.
func (n *Node) SetMayLead(mayLead bool) { n.barred = !mayLead }

// Reapply makes TakeCommitted return the entries after index again, for a state that was built up to
// there by another replica. It returns the membership at index and the index of the newest own
// snapshot; ok is false if the log does not lead on from index, or if entries up to there were not
// returned yet.
func (n *Node) Reapply(index uint64) (m Membership, snapshotIndex uint64, ok bool) {
	m = n.log.membershipAt(index)
	if index < n.log.compactedIndex || index > n.appliedIndex || len(m.Members) == 0 {
		return Membership{}, 0, false
	}
	n.appliedIndex = index
	return m, n.log.snapshot.Index, true
}
