package ticket

import "strings"

// ExportTicket returns a ticket that defines every object whose path starts with
// prefix, for example "class/" or "workspace/talca"; "" selects all objects.
// Operators edit it to prepare the next change.
func (c *Configuration) ExportTicket(prefix string) *Ticket {
	t := &Ticket{Number: c.LastNumber + 1}
	t.Classes = objectsWithPrefix(KindClass, c.Classes, prefix)
	t.Workspaces = objectsWithPrefix(KindWorkspace, c.Workspaces, prefix)
	t.Models = objectsWithPrefix(KindModel, c.Models, prefix)
	t.Services = objectsWithPrefix(KindService, c.Services, prefix)
	t.EndpointGroups = objectsWithPrefix(KindEndpointGroup, c.EndpointGroups, prefix)
	t.Limits = objectsWithPrefix(KindLimit, c.Limits, prefix)
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
