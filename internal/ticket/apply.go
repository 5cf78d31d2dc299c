package ticket

import "maps"

// Apply returns the configuration after t, one revision later, or every fault
// of t in a fixed order. It never changes s. The number of t is checked by
// Book, which keeps the verdicts.
func Apply(s *State, t *Ticket) (*State, []Fault) {
	next := Replay(s, t)
	c := &checker{before: s, after: next, ticket: t}
	c.checkTicket()
	c.checkNames()
	c.checkClasses()
	c.checkWorkspaces()
	c.checkModelsAndServices()
	c.checkGroups()
	c.checkLimits()
	c.checkReach()
	c.checkStranding()
	if len(c.faults) > 0 {
		return nil, c.sorted()
	}
	return next, nil
}

// Replay returns the configuration after a ticket that was accepted before,
// without checking it again. It never changes s.
func Replay(s *State, t *Ticket) *State {
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
	return next
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

// has reports whether the object is part of the configuration.
func (s *State) has(kind Kind, name string) bool {
	found := false
	switch kind {
	case KindClass:
		_, found = s.Classes[name]
	case KindWorkspace:
		_, found = s.Workspaces[name]
	case KindModel:
		_, found = s.Models[name]
	case KindService:
		_, found = s.Services[name]
	case KindEndpointGroup:
		_, found = s.EndpointGroups[name]
	case KindLimit:
		_, found = s.Limits[name]
	}
	return found
}

// names returns the names of all objects of one kind.
func (s *State) names(kind Kind) map[string]struct{} {
	switch kind {
	case KindClass:
		return keys(s.Classes)
	case KindWorkspace:
		return keys(s.Workspaces)
	case KindModel:
		return keys(s.Models)
	case KindService:
		return keys(s.Services)
	case KindEndpointGroup:
		return keys(s.EndpointGroups)
	case KindLimit:
		return keys(s.Limits)
	}
	return nil
}

func keys[V any](m map[string]V) map[string]struct{} {
	set := make(map[string]struct{}, len(m))
	for k := range m {
		set[k] = struct{}{}
	}
	return set
}
