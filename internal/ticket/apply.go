package ticket

import "maps"

// Apply returns the configuration after t, at the next revision, or all faults
// of t in sorted order. It does not modify s. It does not check the number of t,
// which depends on the tickets decided before.
func Apply(s *Configuration, t *Ticket) (*Configuration, []Fault) {
	next := Replay(s, t)
	c := &checker{before: s, after: next, ticket: t}
	c.checkTicket()
	c.checkObjectNames()
	c.checkClasses()
	c.checkWorkspaces()
	c.checkModelsAndServices()
	c.checkGroups()
	c.checkLimits()
	c.checkCoverage()
	c.checkStranding()
	if len(c.faults) > 0 {
		return nil, c.sortedFaults()
	}
	return next, nil
}

// Replay returns the configuration after a ticket that has already been
// accepted, without checking it again. It does not modify s.
func Replay(s *Configuration, t *Ticket) *Configuration {
	next := s.clone()
	next.Revision = s.Revision + 1
	next.LastNumber = t.Number
	upsert(next.Classes, t.Classes, func(c Class) string { return c.Name })
	upsert(next.Workspaces, t.Workspaces, func(w Workspace) string { return w.Name })
	upsert(next.Models, t.Models, func(m Model) string { return m.Name })
	upsert(next.Services, t.Services, func(v Service) string { return v.Name })
	upsert(next.EndpointGroups, t.EndpointGroups, func(g EndpointGroup) string { return g.Name })
	upsert(next.Limits, t.Limits, func(l Limit) string { return l.Name })
	for _, r := range t.Removals {
		next.remove(r)
	}
	return next
}

func upsert[V any](objects map[string]V, values []V, name func(V) string) {
	for _, v := range values {
		objects[name(v)] = v
	}
}

func (s *Configuration) clone() *Configuration {
	next := *s
	next.Classes = maps.Clone(s.Classes)
	next.Workspaces = maps.Clone(s.Workspaces)
	next.Models = maps.Clone(s.Models)
	next.Services = maps.Clone(s.Services)
	next.EndpointGroups = maps.Clone(s.EndpointGroups)
	next.Limits = maps.Clone(s.Limits)
	return &next
}

func (s *Configuration) remove(r Removal) {
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

// has reports whether the configuration contains the object.
func (s *Configuration) has(kind ObjectKind, name string) bool {
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

// nameSet returns the names of all objects of one kind.
func (s *Configuration) nameSet(kind ObjectKind) map[string]struct{} {
	switch kind {
	case KindClass:
		return keySet(s.Classes)
	case KindWorkspace:
		return keySet(s.Workspaces)
	case KindModel:
		return keySet(s.Models)
	case KindService:
		return keySet(s.Services)
	case KindEndpointGroup:
		return keySet(s.EndpointGroups)
	case KindLimit:
		return keySet(s.Limits)
	}
	return nil
}

func keySet[V any](m map[string]V) map[string]struct{} {
	set := make(map[string]struct{}, len(m))
	for k := range m {
		set[k] = struct{}{}
	}
	return set
}
