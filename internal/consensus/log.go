package consensus

// placedMembership is a membership with the index of its entry.
type placedMembership struct {
	index      uint64
	membership Membership
}

// entryLog is the log in memory, from a compacted prefix on.
type entryLog struct {
	offset      uint64 // index of the last entry that is no longer held
	offsetTerm  uint64
	entries     []Entry
	snapshot    Snapshot           // newest one, without its data
	memberships []placedMembership // oldest first; the last one is in force
	unsaved     uint64             // first index the journal was not given yet
	synced      uint64             // last index the journal has synced
}

// loadLog checks what was stored and takes it as synced.
func loadLog(stored Stored) (entryLog, error) {
	l := entryLog{offset: stored.Snapshot.Index, offsetTerm: stored.Snapshot.Term}
	l.snapshot = stored.Snapshot
	l.snapshot.Data = nil
	if stored.Snapshot.Index > 0 {
		l.memberships = []placedMembership{{stored.Snapshot.Index, stored.Snapshot.Membership}}
	}
	entries := stored.Entries
	if len(entries) > 0 && entries[0].Index <= stored.Snapshot.Index {
		l.offset, l.offsetTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.Index != l.last()+1 {
			return l, &CorruptLogError{Index: e.Index, Reason: "entries are missing before it"}
		}
		if e.Term < l.lastTerm() {
			return l, &CorruptLogError{Index: e.Index, Reason: "its term is older than the one before"}
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembership && e.Index > stored.Snapshot.Index {
			if err := l.place(e); err != nil {
				return l, err
			}
		}
	}
	if l.last() < stored.Snapshot.Index {
		return l, &CorruptLogError{Index: l.last(), Reason: "it ends before the snapshot"}
	}
	if at, _ := l.term(stored.Snapshot.Index); at != stored.Snapshot.Term {
		return l, &CorruptLogError{Index: stored.Snapshot.Index, Reason: "its term differs from the snapshot's"}
	}
	l.synced = l.last()
	l.unsaved = l.last() + 1
	return l, nil
}

// place records the membership of an entry.
func (l *entryLog) place(e Entry) error {
	m, err := DecodeMembership(e.Data)
	if err != nil {
		return &CorruptLogError{Index: e.Index, Reason: err.Error()}
	}
	l.memberships = append(l.memberships, placedMembership{e.Index, m})
	return nil
}

func (l *entryLog) last() uint64 { return l.offset + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.offsetTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term at an index, or false if it is not held.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.offset:
		return l.offsetTerm, true
	case index < l.offset || index > l.last():
		return 0, false
	}
	return l.entries[index-l.offset-1].Term, true
}

// slice returns the entries from first on within the bounds; at least one if
// there is any. The result must not be changed.
func (l *entryLog) slice(first, last uint64, maxCount, maxBytes int) []Entry {
	if first <= l.offset || first > last {
		return nil
	}
	held := l.entries[first-l.offset-1 : last-l.offset]
	size := 0
	for i, e := range held {
		size += len(e.Data)
		if i == maxCount || (i > 0 && size > maxBytes) {
			return held[:i:i]
		}
	}
	return held[:len(held):len(held)]
}

// append adds entries, which replace everything from the first of them on.
func (l *entryLog) append(entries ...Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= l.last() {
		l.truncate(first)
	}
	l.unsaved = min(l.unsaved, first)
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembership {
			if err := l.place(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// truncate drops the entries from first on. Slices handed out before stay
// valid: later appends write to a new array.
func (l *entryLog) truncate(first uint64) {
	keep := first - l.offset - 1
	l.entries = l.entries[:keep:keep]
	l.synced = min(l.synced, first-1)
	for n := len(l.memberships); n > 0 && l.memberships[n-1].index >= first; n-- {
		l.memberships = l.memberships[:n-1]
	}
}

// compact drops the entries up to an index that a snapshot covers.
func (l *entryLog) compact(index uint64) {
	if index <= l.offset || index > l.snapshot.Index {
		return
	}
	at, ok := l.term(index)
	if !ok {
		return
	}
	kept := l.entries[index-l.offset:]
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.offset, l.offsetTerm = index, at
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(s Snapshot) {
	l.offset, l.offsetTerm, l.entries = s.Index, s.Term, nil
	l.unsaved = s.Index + 1
	l.synced = 0
	l.setSnapshot(s)
	l.memberships = []placedMembership{{s.Index, s.Membership}}
}

// setSnapshot records a newer snapshot and forgets memberships before it.
func (l *entryLog) setSnapshot(s Snapshot) {
	l.snapshot = s
	l.snapshot.Data = nil
	for len(l.memberships) > 1 && l.memberships[1].index <= s.Index {
		l.memberships = l.memberships[1:]
	}
}

// membership returns the newest one and the index of its entry.
func (l *entryLog) membership() (Membership, uint64) {
	if len(l.memberships) == 0 {
		return Membership{}, 0
	}
	m := l.memberships[len(l.memberships)-1]
	return m.membership, m.index
}

// membershipAt returns the one in force at an index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.memberships) - 1; i >= 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].membership
		}
	}
	return Membership{}
}

// upToDate reports whether a log that ends at (index, term) holds at least
// everything that this one could have acknowledged.
func (l *entryLog) upToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.last()
}
