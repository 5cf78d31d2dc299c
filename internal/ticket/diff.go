package ticket

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two configurations. An object that
// appears or goes away has one Change with an empty Field.
type Change struct {
	Object string `json:"object"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Words of a Change for an object as a whole.
const (
	changeAbsent  = "absent"
	changePresent = "present"
)

// Diff lists what differs from a to b by kind, name and field.
func Diff(a, b *State) []Change {
	var changes []Change
	changes = diffKind(changes, KindClass, a.Classes, b.Classes)
	changes = diffKind(changes, KindWorkspace, a.Workspaces, b.Workspaces)
	changes = diffKind(changes, KindModel, a.Models, b.Models)
	changes = diffKind(changes, KindService, a.Services, b.Services)
	changes = diffKind(changes, KindEndpointGroup, a.EndpointGroups, b.EndpointGroups)
	return diffKind(changes, KindLimit, a.Limits, b.Limits)
}

func diffKind[V any](changes []Change, kind Kind, a, b map[string]V) []Change {
	both := keys(a)
	for name := range b {
		both[name] = struct{}{}
	}
	for _, name := range sortedKeys(both) {
		before, had := a[name]
		after, has := b[name]
		switch {
		case !had:
			changes = append(changes, Change{Object: object(kind, name), Before: changeAbsent, After: changePresent})
			var zero V
			changes = diffFields(changes, object(kind, name), zero, after)
		case !has:
			changes = append(changes, Change{Object: object(kind, name), Before: changePresent, After: changeAbsent})
		default:
			changes = diffFields(changes, object(kind, name), before, after)
		}
	}
	return changes
}

// diffFields compares the fields by the names that operators write.
func diffFields(changes []Change, object string, a, b any) []Change {
	va, vb := reflect.ValueOf(a), reflect.ValueOf(b)
	for i := range va.NumField() {
		field, _, _ := strings.Cut(va.Type().Field(i).Tag.Get("toml"), ",")
		before, after := fieldText(va.Field(i)), fieldText(vb.Field(i))
		if before != after && field != "name" {
			changes = append(changes, Change{Object: object, Field: field, Before: before, After: after})
		}
	}
	return changes
}

func fieldText(v reflect.Value) string {
	if list, ok := v.Interface().([]string); ok {
		return strings.Join(list, ", ")
	}
	return fmt.Sprint(v.Interface())
}
