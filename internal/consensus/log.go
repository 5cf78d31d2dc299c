package consensus

// indexedMembership is a membership and the index of its log entry.
type indexedMembership struct {
	index      uint64
	membership Membership
}

// entryLog is the in-memory log, without its compacted prefix.
type entryLog struct {
	compactedIndex uint64 // index of the last compacted entry
	compactedTerm  uint64
	entries        []Entry
	snapshot       Snapshot            // newest snapshot, without Data
	memberships    []indexedMembership // oldest first; the last one is in effect
	nextWriteIndex uint64              // first index not yet returned in a WriteBatch
	syncedIndex    uint64              // last index that the journal has synced
}

// loadLog checks the stored log and treats all of it as synced.
func loadLog(stored PersistedState) (entryLog, error) {
	l := entryLog{compactedIndex: stored.Snapshot.Index, compactedTerm: stored.Snapshot.Term}
	l.snapshot = stored.Snapshot
	l.snapshot.Data = nil
	if stored.Snapshot.Index > 0 {
		l.memberships = []indexedMembership{{stored.Snapshot.Index, stored.Snapshot.Membership}}
	}
	entries := stored.Entries
	if len(entries) > 0 && entries[0].Index <= stored.Snapshot.Index {
		l.compactedIndex, l.compactedTerm = entries[0].Index, entries[0].Term
		entries = entries[1:]
	}
	for _, e := range entries {
		if e.Index != l.lastIndex()+1 {
			return l, &CorruptLogError{Index: e.Index, Reason: "entries are missing before it"}
		}
		if e.Term < l.lastTerm() {
			return l, &CorruptLogError{Index: e.Index, Reason: "its term is older than the one before"}
		}
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembership && e.Index > stored.Snapshot.Index {
			if err := l.recordMembership(e); err != nil {
				return l, err
			}
		}
	}
	if l.lastIndex() < stored.Snapshot.Index {
		return l, &CorruptLogError{Index: l.lastIndex(), Reason: "it ends before the snapshot"}
	}
	if term, _ := l.term(stored.Snapshot.Index); term != stored.Snapshot.Term {
		return l, &CorruptLogError{Index: stored.Snapshot.Index, Reason: "its term differs from the snapshot's"}
	}
	l.syncedIndex = l.lastIndex()
	l.nextWriteIndex = l.lastIndex() + 1
	return l, nil
}

// recordMembership adds the membership that an entry contains.
func (l *entryLog) recordMembership(e Entry) error {
	m, err := DecodeMembership(e.Data)
	if err != nil {
		return &CorruptLogError{Index: e.Index, Reason: err.Error()}
	}
	l.memberships = append(l.memberships, indexedMembership{e.Index, m})
	return nil
}

func (l *entryLog) lastIndex() uint64 { return l.compactedIndex + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	if len(l.entries) == 0 {
		return l.compactedTerm
	}
	return l.entries[len(l.entries)-1].Term
}

// term returns the term of the entry at index, or false if the log does not hold
// it.
func (l *entryLog) term(index uint64) (uint64, bool) {
	switch {
	case index == l.compactedIndex:
		return l.compactedTerm, true
	case index < l.compactedIndex || index > l.lastIndex():
		return 0, false
	}
	return l.entries[index-l.compactedIndex-1].Term, true
}

// slice returns the entries from first to last, up to the limits, but at least one
// if there is any. The caller must not modify the result.
func (l *entryLog) slice(first, last uint64, maxCount, maxBytes int) []Entry {
	if first <= l.compactedIndex || first > last {
		return nil
	}
	available := l.entries[first-l.compactedIndex-1 : last-l.compactedIndex]
	size := 0
	for i, e := range available {
		size += len(e.Data)
		if i == maxCount || (i > 0 && size > maxBytes) {
			return available[:i:i]
		}
	}
	return available[:len(available):len(available)]
}

// append adds entries, replacing any existing ones from their first index on.
func (l *entryLog) append(entries ...Entry) error {
	if len(entries) == 0 {
		return nil
	}
	first := entries[0].Index
	if first <= l.lastIndex() {
		l.truncate(first)
	}
	l.nextWriteIndex = min(l.nextWriteIndex, first)
	for _, e := range entries {
		l.entries = append(l.entries, e)
		if e.Kind == EntryMembership {
			if err := l.recordMembership(e); err != nil {
				return err
			}
		}
	}
	return nil
}

// truncate drops the entries from first on. Slices that were returned before stay
// valid, because later appends allocate a new array.
func (l *entryLog) truncate(first uint64) {
	keep := first - l.compactedIndex - 1
	l.entries = l.entries[:keep:keep]
	l.syncedIndex = min(l.syncedIndex, first-1)
	for n := len(l.memberships); n > 0 && l.memberships[n-1].index >= first; n-- {
		l.memberships = l.memberships[:n-1]
	}
}

// compactionIndex returns the lowest index to compact up to so that at most maxEntries entries with maxBytes of data
// remain up to and including last.
func (l *entryLog) compactionIndex(last, maxEntries uint64, maxBytes int) uint64 {
	index := last
	for index > l.compactedIndex && last-index < maxEntries {
		maxBytes -= len(l.entries[index-l.compactedIndex-1].Data)
		if maxBytes < 0 {
			break
		}
		index--
	}
	return index
}

// compact drops the entries up to index if the snapshot covers them.
func (l *entryLog) compact(index uint64) {
	if index <= l.compactedIndex || index > l.snapshot.Index {
		return
	}
	term, ok := l.term(index)
	if !ok {
		return
	}
	kept := l.entries[index-l.compactedIndex:]
	l.entries = append(make([]Entry, 0, len(kept)), kept...)
	l.compactedIndex, l.compactedTerm = index, term
}

func (l *entryLog) replaceWithSnapshot(s Snapshot) {
	l.compactedIndex, l.compactedTerm, l.entries = s.Index, s.Term, nil
	l.nextWriteIndex = s.Index + 1
	l.syncedIndex = 0
	l.setSnapshot(s)
	l.memberships = []indexedMembership{{s.Index, s.Membership}}
}

// setSnapshot records a newer snapshot and drops memberships that only older
// indexes need.
func (l *entryLog) setSnapshot(s Snapshot) {
	l.snapshot = s
	l.snapshot.Data = nil
	for len(l.memberships) > 1 && l.memberships[1].index <= s.Index {
		l.memberships = l.memberships[1:]
	}
}

// latestMembership returns the newest membership, committed or not, and the index
// of its entry.
func (l *entryLog) latestMembership() (Membership, uint64) {
	if len(l.memberships) == 0 {
		return Membership{}, 0
	}
	m := l.memberships[len(l.memberships)-1]
	return m.membership, m.index
}

// membershipAt returns the membership in effect at index.
func (l *entryLog) membershipAt(index uint64) Membership {
	for i := len(l.memberships) - 1; i >= 0; i-- {
		if l.memberships[i].index <= index {
			return l.memberships[i].membership
		}
	}
	return Membership{}
}

// isUpToDate reports whether a log that ends at (index, term) is at least as
// up to date as this one (the voting rule of Raft).
func (l *entryLog) isUpToDate(index, term uint64) bool {
	if term != l.lastTerm() {
		return term > l.lastTerm()
	}
	return index >= l.lastIndex()
}
