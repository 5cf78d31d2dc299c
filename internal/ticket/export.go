package ticket

import "strings"

// ExportTicket returns a ticket that defines every object whose path starts with
// prefix, for example "class/" or "workspace/talca"; "" selects all objects.
// Operators edit it to prepare the next change.
func (s *Configuration) ExportTicket(prefix string) *Ticket {
	t := &Ticket{Number: s.LastNumber + 1}
	t.Classes = objectsWithPrefix(KindClass, s.Classes, prefix)
	t.Workspaces = objectsWithPrefix(KindWorkspace, s.Workspaces, prefix)
	t.Models = objectsWithPrefix(KindModel, s.Models, prefix)
	t.Services = objectsWithPrefix(KindService, s.Services, prefix)
	t.EndpointGroups = objectsWithPrefix(KindEndpointGroup, s.EndpointGroups, prefix)
	t.Limits = objectsWithPrefix(KindLimit, s.Limits, prefix)
	return t
}

func objectsWithPrefix[V any](kind ObjectKind, objects map[string]V, prefix string) []V {
	var values []V
	for _, name := range sortedKeys(objects) {
		if strings.HasPrefix(objectPath(kind, name), prefix) {
			values = append(values, objects[name])
		}
	}
	return values
}
