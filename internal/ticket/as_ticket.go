package ticket

import "strings"

// AsTicket returns a ticket with every object of the configuration whose name
// has the prefix, for example "class/" or "workspace/talca"; "" takes all.
// It is where an operator's next change begins.
func (s *State) AsTicket(prefix string) *Ticket {
	t := &Ticket{Number: s.LastNumber + 1}
	t.Classes = selected(KindClass, s.Classes, prefix)
	t.Workspaces = selected(KindWorkspace, s.Workspaces, prefix)
	t.Models = selected(KindModel, s.Models, prefix)
	t.Services = selected(KindService, s.Services, prefix)
	t.EndpointGroups = selected(KindEndpointGroup, s.EndpointGroups, prefix)
	t.Limits = selected(KindLimit, s.Limits, prefix)
	return t
}

func selected[V any](kind Kind, from map[string]V, prefix string) []V {
	var values []V
	for _, name := range sortedKeys(from) {
		if strings.HasPrefix(object(kind, name), prefix) {
			values = append(values, from[name])
		}
	}
	return values
}
