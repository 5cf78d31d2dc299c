package ticket

import "maps"

// Apply returns the configuration after t, at the next revision, or all faults
// of t in sorted order. It does not modify before, and does not check the number of
// t, which depends on the tickets submitted earlier.
func Apply(before *Configuration, t *Ticket) (*Configuration, []Fault) {
	next := Replay(before, t)
	c := &checker{before: before, after: next, ticket: t}
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
// accepted, without checking it again. It does not modify before.
func Replay(before *Configuration, t *Ticket) *Configuration {
	next := before.clone()
	next.Revision = before.Revision + 1
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

func (c *Configuration) clone() *Configuration {
	next := *c
	next.Classes = maps.Clone(c.Classes)
	next.Workspaces = maps.Clone(c.Workspaces)
	next.Models = maps.Clone(c.Models)
	next.Services = maps.Clone(c.Services)
	next.EndpointGroups = maps.Clone(c.EndpointGroups)
	next.Limits = maps.Clone(c.Limits)
	return &next
}

func (c *Configuration) remove(r Removal) {
	switch r.Kind {
	case KindClass:
		delete(c.Classes, r.Name)
	case KindWorkspace:
		delete(c.Workspaces, r.Name)
	case KindModel:
		delete(c.Models, r.Name)
	case KindService:
		delete(c.Services, r.Name)
	case KindEndpointGroup:
		delete(c.EndpointGroups, r.Name)
	case KindLimit:
		delete(c.Limits, r.Name)
	}
}

// has reports whether the configuration contains the object.
func (c *Configuration) has(kind ObjectKind, name string) bool {
	found := false
	switch kind {
	case KindClass:
		_, found = c.Classes[name]
	case KindWorkspace:
		_, found = c.Workspaces[name]
	case KindModel:
		_, found = c.Models[name]
	case KindService:
		_, found = c.Services[name]
	case KindEndpointGroup:
		_, found = c.EndpointGroups[name]
	case KindLimit:
		_, found = c.Limits[name]
	}
	return found
}

// nameSet returns the names of all objects of one kind.
func (c *Configuration) nameSet(kind ObjectKind) map[string]struct{} {
	switch kind {
	case KindClass:
		return keySet(c.Classes)
	case KindWorkspace:
		return keySet(c.Workspaces)
	case KindModel:
		return keySet(c.Models)
	case KindService:
		return keySet(c.Services)
	case KindEndpointGroup:
		return keySet(c.EndpointGroups)
	case KindLimit:
		return keySet(c.Limits)
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
