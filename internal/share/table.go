package share

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reportTTL is how long the last report of an entry or a control host counts.
	reportTTL = 2 * time.Second
	// pressureRatio is the fraction of a class's work that must be refused for its workspaces
	// to be limited to their shares.
	pressureRatio = 0.02
	// maxNamedRows limits the workspaces of a class that a control host names to another one.
	maxNamedRows = 16
	// maxReports limits the entries and control hosts whose reports are kept.
	maxReports = 1024
)

// Report is the recent work that a host knows of.
type Report struct {
	Rows []Row
	Rest []Rest // between control hosts
}

// Rest is the sum over the workspaces of a class that are not named.
type Rest struct {
	Class            Class
	Workspaces       int
	Offered, Refused float64
}

// Excess is a workspace that takes more than its share of a class.
type Excess struct {
	Class     Class
	Workspace WorkspaceKey
	Within    float64 // fraction of its requests that is within the share, below 1
}

// Table holds the recent work of all entries, at a control host.
type Table struct {
	reports map[source]report
}

// source is the host that a report came from.
type source struct {
	name   string
	isPeer bool // another control host
}

type report struct {
	Report
	receivedAt time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{reports: map[source]report{}} }

// SetEntry replaces the report of an entry.
func (t *Table) SetEntry(now time.Time, name string, rows []Row) {
	t.set(now, source{name: name}, Report{Rows: rows})
}

// SetPeer replaces the report of another control host, which sums up its own entries.
func (t *Table) SetPeer(now time.Time, name string, r Report) {
	t.set(now, source{name: name, isPeer: true}, r)
}

func (t *Table) set(now time.Time, from source, r Report) {
	t.expire(now)
	if len(r.Rows) == 0 && len(r.Rest) == 0 {
		delete(t.reports, from)
		return
	}
	if _, known := t.reports[from]; known || len(t.reports) < maxReports {
		t.reports[from] = report{Report: r, receivedAt: now}
	}
}

func (t *Table) expire(now time.Time) {
	for from, r := range t.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(t.reports, from)
		}
	}
}

// OwnReport sums up the entries that report to this host, for other control hosts: the largest
// rows of each class, and the rest of it as one sum.
func (t *Table) OwnReport(now time.Time) Report {
	t.expire(now)
	var out Report
	for _, s := range t.sums(false) {
		rows := s.rows()
		slices.SortStableFunc(rows, func(a, b Row) int { return cmp.Compare(b.Offered/b.weight(), a.Offered/a.weight()) })
		named := min(len(rows), maxNamedRows)
		out.Rows = append(out.Rows, rows[:named]...)
		if rest := (Rest{Class: s.class, Workspaces: len(rows) - named}); rest.Workspaces > 0 {
			for _, r := range rows[named:] {
				rest.Offered, rest.Refused = rest.Offered+r.Offered, rest.Refused+r.Refused
			}
			out.Rest = append(out.Rest, rest)
		}
	}
	return out
}

// Pressed returns the classes in which entries refuse requests for lack of room.
func (t *Table) Pressed(now time.Time) []Class {
	t.expire(now)
	var pressed []Class
	for _, s := range t.sums(true) {
		if s.pressed() {
			pressed = append(pressed, s.class)
		}
	}
	return pressed
}

// Excesses returns the workspaces that take more than their share, ordered by class and
// workspace.
func (t *Table) Excesses(now time.Time) []Excess {
	t.expire(now)
	var out []Excess
	for _, s := range t.sums(true) {
		if !s.pressed() {
			continue
		}
		rows := s.rows()
		level := s.level(rows)
		for _, r := range rows {
			if fair := level * r.weight(); r.Offered > fair {
				out = append(out, Excess{Class: s.class, Workspace: r.Workspace, Within: fair / r.Offered})
			}
		}
	}
	return out
}

// classSum is the recent work of one class.
type classSum struct {
	class            Class
	workspaces       map[WorkspaceKey]Row
	rest             Rest
	offered, refused float64
}

// sums adds up the reports of the entries, and with peers those of other control hosts, by class.
func (t *Table) sums(peers bool) []*classSum {
	byClass := map[Class]*classSum{}
	find := func(c Class) *classSum {
		if byClass[c] == nil {
			byClass[c] = &classSum{class: c, workspaces: map[WorkspaceKey]Row{}}
		}
		return byClass[c]
	}
	for from, r := range t.reports {
		if from.isPeer && !peers {
			continue
		}
		for _, row := range r.Rows {
			find(row.Class).add(row)
		}
		for _, rest := range r.Rest {
			find(rest.Class).addRest(rest)
		}
	}
	var sums []*classSum
	for _, s := range byClass {
		sums = append(sums, s)
	}
	slices.SortFunc(sums, func(a, b *classSum) int {
		return cmp.Or(cmp.Compare(a.class.Service, b.class.Service), cmp.Compare(a.class.Rank, b.class.Rank))
	})
	return sums
}

func (s *classSum) add(r Row) {
	sum := s.workspaces[r.Workspace]
	s.workspaces[r.Workspace] = Row{Class: r.Class, Workspace: r.Workspace, Offered: sum.Offered + r.Offered, Refused: sum.Refused + r.Refused, Weight: max(sum.Weight, r.Weight)}
	s.offered, s.refused = s.offered+r.Offered, s.refused+r.Refused
}

// addRest adds unnamed workspaces. Those of several hosts may be the same ones, so the larger
// number counts.
func (s *classSum) addRest(r Rest) {
	s.rest.Workspaces = max(s.rest.Workspaces, r.Workspaces)
	s.rest.Offered, s.rest.Refused = s.rest.Offered+r.Offered, s.rest.Refused+r.Refused
	s.offered, s.refused = s.offered+r.Offered, s.refused+r.Refused
}

func (s *classSum) pressed() bool { return s.refused > pressureRatio*s.offered }

// rows returns the workspaces in order.
func (s *classSum) rows() []Row {
	rows := make([]Row, 0, len(s.workspaces))
	for _, r := range s.workspaces {
		rows = append(rows, r)
	}
	sortRows(rows)
	return rows
}

// level returns the work for each unit of weight at which all workspaces together get what
// the class is served (max-min fairness). The unnamed ones count as equal.
func (s *classSum) level(rows []Row) float64 {
	demands := slices.Clone(rows)
	for range s.rest.Workspaces {
		demands = append(demands, Row{Offered: s.rest.Offered / float64(s.rest.Workspaces)})
	}
	return Level(s.offered-s.refused, demands)
}

// Level returns the work for each unit of weight that divides capacity by max-min fairness:
// a workspace that offers less leaves the rest to the others.
func Level(capacity float64, rows []Row) float64 {
	sorted := slices.Clone(rows)
	slices.SortFunc(sorted, func(a, b Row) int { return cmp.Compare(a.Offered/a.weight(), b.Offered/b.weight()) })
	weight := 0.0
	for _, r := range sorted {
		weight += r.weight()
	}
	level := 0.0
	for _, r := range sorted {
		level = capacity / weight
		if r.Offered/r.weight() > level {
			return level
		}
		capacity, weight = capacity-r.Offered, weight-r.weight()
		level = r.Offered / r.weight()
	}
	return level
}

func (r Row) weight() float64 {
	if r.Weight <= 0 {
		return 1
	}
	return r.Weight
}
