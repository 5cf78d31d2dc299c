package ticket

import (
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two configurations. An added or removed object
// has one Change with an empty Field. An added object also has one for each field
// that differs from the zero value.
type Change struct {
	Object string `json:"object"`
	Field  string `json:"field,omitempty"`
	Before string `json:"before,omitempty"`
	After  string `json:"after,omitempty"`
}

// Values of Change.Before and Change.After for an object as a whole.
const (
	changeAbsent  = "absent"
	changePresent = "present"
)

// Diff lists the differences between two configurations by kind, name and field.
func Diff(before, after *Configuration) []Change {
	var changes []Change
	changes = diffKind(changes, KindClass, before.Classes, after.Classes)
	changes = diffKind(changes, KindWorkspace, before.Workspaces, after.Workspaces)
	changes = diffKind(changes, KindModel, before.Models, after.Models)
	changes = diffKind(changes, KindService, before.Services, after.Services)
	changes = diffKind(changes, KindEndpointGroup, before.EndpointGroups, after.EndpointGroups)
	return diffKind(changes, KindLimit, before.Limits, after.Limits)
}

func diffKind[V any](changes []Change, kind ObjectKind, before, after map[string]V) []Change {
	names := keySet(before)
	for name := range after {
		names[name] = struct{}{}
	}
	for _, name := range sortedKeys(names) {
		oldObject, inBefore := before[name]
		newObject, inAfter := after[name]
		switch {
		case !inBefore:
			changes = append(changes, Change{Object: objectPath(kind, name), Before: changeAbsent, After: changePresent})
			var zero V
			changes = diffFields(changes, objectPath(kind, name), zero, newObject)
		case !inAfter:
			changes = append(changes, Change{Object: objectPath(kind, name), Before: changePresent, After: changeAbsent})
		default:
			changes = diffFields(changes, objectPath(kind, name), oldObject, newObject)
		}
	}
	return changes
}

// diffFields compares two objects field by field, under the names that ticket
// files use.
func diffFields(changes []Change, object string, before, after any) []Change {
	oldValue, newValue := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range oldValue.NumField() {
		field, _, _ := strings.Cut(oldValue.Type().Field(i).Tag.Get("toml"), ",")
		oldText, newText := fieldText(oldValue.Field(i)), fieldText(newValue.Field(i))
		if oldText != newText && field != "name" {
			changes = append(changes, Change{Object: object, Field: field, Before: oldText, After: newText})
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
