package ticket

import "maps"

// Fault is one thing wrong with a ticket, in words an operator can act on.
type Fault struct {
	Object  string // for example class/stage-updates
	Field   string
	Problem string
	Remedy  string
}

// Apply returns the configuration after t, one revision later, or every fault
// of t. It never changes s. The number of t is checked by the caller, who
// keeps the verdicts.
func Apply(s *State, t *Ticket) (*State, []Fault) {
	next := s.clone()
	next.Revision = s.Revision + 1
	next.LastNumber = t.Number
	put(next.Classes, t.Classes, func(c Class) string { return c.Name })
	put(next.Workspaces, t.Workspaces, func(w Workspace) string { return w.Name })
	put(next.Models, t.Models, func(m Model) string { return m.Name })
	put(next.Services, t.Services, func(v Service) string { return v.Name })
	put(next.EndpointGroups, t.EndpointGroups, func(g EndpointGroup) string { return g.Name })
	put(next.Limits, t.Limits, func(l Limit) string { return l.Name })
	for _, r := range t.Removals {
		next.remove(r)
	}
	return next, nil
}

func put[V any](into map[string]V, values []V, name func(V) string) {
	for _, v := range values {
		into[name(v)] = v
	}
}

func (s *State) clone() *State {
	next := *s
	next.Classes = maps.Clone(s.Classes)
	next.Workspaces = maps.Clone(s.Workspaces)
	next.Models = maps.Clone(s.Models)
	next.Services = maps.Clone(s.Services)
	next.EndpointGroups = maps.Clone(s.EndpointGroups)
	next.Limits = maps.Clone(s.Limits)
	return &next
}

func (s *State) remove(r Removal) {
	switch r.Kind {
	case KindClass:
		delete(s.Classes, r.Name)
	case KindWorkspace:
		delete(s.Workspaces, r.Name)
	case KindModel:
		delete(s.Models, r.Name)
	case KindService:
		delete(s.Services, r.Name)
	case KindEndpointGroup:
		delete(s.EndpointGroups, r.Name)
	case KindLimit:
		delete(s.Limits, r.Name)
	}
}
