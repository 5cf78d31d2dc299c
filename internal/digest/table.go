package digest

import (
	"cmp"
	"slices"
)

// Limits of a table.
const (
	keptOwn     = 64 // digests of the own state
	keptIndexes = 8  // newest indexes whose digests of other hosts are kept
	keptHosts   = 64 // digests of other hosts at one index
)

// Group is the hosts that have reported the same sums.
type Group struct {
	Sums   []Sum
	Hosts  []uint64 // in ascending order
	Voters int      // among Hosts
}

// Verdict compares what is known of one index.
type Verdict struct {
	Own         Digest
	Groups      []Group // the one with the most voters first
	Voters      int     // of the cluster
	HasMajority bool    // the first group contains a majority of the voters
}

// Differs reports whether copies differ.
func (v Verdict) Differs() bool { return len(v.Groups) > 1 }

// Odd returns the groups that differ from the majority, none without a majority.
func (v Verdict) Odd() []Group {
	if !v.HasMajority {
		return nil
	}
	return v.Groups[1:]
}

// IsOdd reports whether a host's digest differs from that of the majority.
func (v Verdict) IsOdd(host uint64) bool {
	return slices.ContainsFunc(v.Odd(), func(g Group) bool { return slices.Contains(g.Hosts, host) })
}

// IsFinal reports whether voters that have not reported can no longer change whether there is a majority.
func (v Verdict) IsFinal() bool {
	absent := v.Voters
	for _, g := range v.Groups {
		absent -= g.Voters
	}
	return v.HasMajority || len(v.Groups) > 0 && 2*(v.Groups[0].Voters+absent) <= v.Voters
}

// Table holds the newest digests of a host's own state, and those that other hosts report. It is not
// safe for concurrent use.
type Table struct {
	self    uint64
	own     []Digest                     // in ascending order of their indexes
	former  []Digest                     // of the state that the own one has replaced
	reports map[uint64]map[uint64]report // by index and host
}

// report is a digest that another host has reported.
type report struct {
	format uint32
	sums   []Sum
}

// NewTable returns an empty table of a host.
func NewTable(self uint64) *Table {
	return &Table{self: self, reports: map[uint64]map[uint64]report{}}
}

// RecordOwn adds a digest of the own state. It must be newer than those recorded before.
func (t *Table) RecordOwn(d Digest) {
	if n := len(t.own); n > 0 && t.own[n-1].Index >= d.Index {
		return
	}
	t.own = append(t.own, d)
	t.own = t.own[max(0, len(t.own)-keptOwn):]
}

// ForgetOwn removes the digests of the own state, which has been replaced. They are only reported any more.
func (t *Table) ForgetOwn() { t.own, t.former = nil, t.own }

// Reported returns the digest that this host reports of an index: that of the state that it had then.
func (t *Table) Reported(index uint64) (Digest, bool) {
	if d, ok := t.Own(index); ok {
		return d, true
	}
	return find(t.former, index)
}

// Own returns the digest of the own state at an index.
func (t *Table) Own(index uint64) (Digest, bool) {
	return find(t.own, index)
}

func find(digests []Digest, index uint64) (Digest, bool) {
	i, ok := slices.BinarySearchFunc(digests, index, func(d Digest, index uint64) int { return cmp.Compare(d.Index, index) })
	if !ok {
		return Digest{}, false
	}
	return digests[i], true
}

// NewestOwn returns the newest digest of the own state.
func (t *Table) NewestOwn() (Digest, bool) {
	if len(t.own) == 0 {
		return Digest{}, false
	}
	return t.own[len(t.own)-1], true
}

// RecordReport adds the digest that another host reports. One of an index that is no longer kept, or
// of the host itself, is ignored.
func (t *Table) RecordReport(host, index uint64, format uint32, sums []Sum) {
	if host == t.self || !IsAgreed(index) {
		return
	}
	if t.reports[index] == nil {
		if !t.makeRoom(index) {
			return
		}
		t.reports[index] = map[uint64]report{}
	}
	if _, known := t.reports[index][host]; known || len(t.reports[index]) < keptHosts {
		t.reports[index][host] = report{format: format, sums: slices.Clone(sums)}
	}
}

// makeRoom removes the oldest index if there are too many. It reports false if index is older.
func (t *Table) makeRoom(index uint64) bool {
	if len(t.reports) < keptIndexes {
		return true
	}
	oldest := index
	for i := range t.reports {
		oldest = min(oldest, i)
	}
	delete(t.reports, oldest)
	return oldest != index
}

// HasReport reports whether a host has reported a digest of an index, in any format.
func (t *Table) HasReport(host, index uint64) bool {
	_, ok := t.reports[index][host]
	return ok
}

// Compare compares the digests of an index. ok is false if the own state has none.
func (t *Table) Compare(index uint64, voters []uint64) (v Verdict, ok bool) {
	own, ok := t.Own(index)
	if !ok {
		return Verdict{}, false
	}
	v = Verdict{Own: own, Voters: len(voters)}
	v.add(t.self, own.Sums, voters)
	for host, h := range t.reports[index] {
		if h.format == own.Format && len(h.sums) == len(own.Sums) {
			v.add(host, h.sums, voters)
		}
	}
	for _, g := range v.Groups {
		slices.Sort(g.Hosts)
	}
	slices.SortFunc(v.Groups, func(a, b Group) int {
		return cmp.Or(cmp.Compare(b.Voters, a.Voters), slices.Compare(a.Sums, b.Sums))
	})
	v.HasMajority = 2*v.Groups[0].Voters > v.Voters
	return v, true
}

// add adds a host to the group with its sums.
func (v *Verdict) add(host uint64, sums []Sum, voters []uint64) {
	i := slices.IndexFunc(v.Groups, func(g Group) bool { return slices.Equal(g.Sums, sums) })
	if i < 0 {
		i = len(v.Groups)
		v.Groups = append(v.Groups, Group{Sums: sums})
	}
	v.Groups[i].Hosts = append(v.Groups[i].Hosts, host)
	if slices.Contains(voters, host) {
		v.Groups[i].Voters++
	}
}

// AllOwn returns the digests of the own state that are kept, in ascending order of their indexes.
func (t *Table) AllOwn() []Digest { return slices.Clone(t.own) }
