// Package share divides the service of a class of requests among workspaces while there is
// too little for all. Entries meter the work that each workspace offers, control hosts sum it up
// and find the workspaces that take more than their share, and entries let the requests
// outside of it wait behind the others.
//
// Its types have no clock, goroutine or I/O. They are not safe for concurrent use.
package share

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Class is the requests of one urgency rank to one service.
type Class struct {
	Service string
	Rank    int
}

// WorkspaceKey is a short hash of a workspace's name.
type WorkspaceKey uint32

// KeyOf returns the key of a workspace's name (FNV-1a).
func KeyOf(workspace string) WorkspaceKey {
	h := uint32(2166136261)
	for i := range len(workspace) {
		h = (h ^ uint32(workspace[i])) * 16777619
	}
	return WorkspaceKey(h)
}

// Row is the recent work of one workspace in one class.
type Row struct {
	Class     Class
	Workspace WorkspaceKey
	Offered   float64 // work of all requests, refused or not
	Refused   float64 // work of those that were refused for lack of room
	Weight    float64 // of the workspace; 0 counts as 1
}

const (
	// meterDecayTime is the time constant with which old work is forgotten.
	meterDecayTime = 2 * time.Second
	// minWork is the work below which a workspace is forgotten.
	minWork = 0.01
	// maxMeteredWorkspaces limits the rows of one entry.
	maxMeteredWorkspaces = 4096
)

// Meter records the recent work of workspaces at one entry.
type Meter struct {
	uses map[useKey]*use
}

type useKey struct {
	class     Class
	workspace WorkspaceKey
}

type use struct {
	offered, refused, weight float64
	updatedAt                time.Time
}

// NewMeter returns an empty meter.
func NewMeter() *Meter { return &Meter{uses: map[useKey]*use{}} }

// AddOffered records the work of a new request. Beyond maxMeteredWorkspaces it is not recorded.
func (m *Meter) AddOffered(now time.Time, c Class, w WorkspaceKey, weight, work float64) {
	if u := m.use(now, c, w); u != nil {
		u.offered += work
		u.weight = weight
	}
}

// AddRefused records that a request recorded before is refused for lack of room.
func (m *Meter) AddRefused(now time.Time, c Class, w WorkspaceKey, work float64) {
	if u := m.use(now, c, w); u != nil {
		u.refused += work
	}
}

// use returns the aged use of a workspace, or nil if there is no room for another one.
func (m *Meter) use(now time.Time, c Class, w WorkspaceKey) *use {
	key := useKey{class: c, workspace: w}
	u := m.uses[key]
	if u == nil {
		if len(m.uses) >= maxMeteredWorkspaces {
			m.forget(now)
		}
		if len(m.uses) >= maxMeteredWorkspaces {
			return nil
		}
		u = &use{updatedAt: now}
		m.uses[key] = u
	}
	u.age(now)
	return u
}

// age reduces the recorded work by what is forgotten until now.
func (u *use) age(now time.Time) {
	left := math.Exp(-max(now.Sub(u.updatedAt), 0).Seconds() / meterDecayTime.Seconds())
	u.offered, u.refused, u.updatedAt = u.offered*left, u.refused*left, now
}

// forget drops workspaces without recent work.
func (m *Meter) forget(now time.Time) {
	for key, u := range m.uses {
		if u.age(now); u.offered < minWork {
			delete(m.uses, key)
		}
	}
}

// Rows returns the recent work in the classes in which this entry refused requests, and in those
// in which others did, ordered by class and workspace.
func (m *Meter) Rows(now time.Time, pressed []Class) []Row {
	m.forget(now)
	refused := map[Class]bool{}
	for _, c := range pressed {
		refused[c] = true
	}
	for key, u := range m.uses {
		if u.refused >= minWork {
			refused[key.class] = true
		}
	}
	var rows []Row
	for key, u := range m.uses {
		if refused[key.class] {
			rows = append(rows, Row{Class: key.class, Workspace: key.workspace, Offered: u.offered, Refused: u.refused, Weight: u.weight})
		}
	}
	sortRows(rows)
	return rows
}

// sortRows orders rows by class and workspace.
func sortRows(rows []Row) {
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Class.Service, b.Class.Service), cmp.Compare(a.Class.Rank, b.Class.Rank), cmp.Compare(a.Workspace, b.Workspace))
	})
}
