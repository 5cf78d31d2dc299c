package ticket

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// MaxEncodedBytes is the maximum size of an encoded ticket.
const MaxEncodedBytes = 2 << 20

// maxTicketNumber is the largest integer that is exact in every JSON decoder,
// including those that use float64.
const maxTicketNumber = 1<<53 - 1

// maxObjectsByKind bounds the objects of each kind in the configuration.
var maxObjectsByKind = map[ObjectKind]int{
	KindClass:         100,
	KindWorkspace:     5_000,
	KindModel:         200,
	KindService:       200,
	KindEndpointGroup: 500,
	KindLimit:         5_000,
}

// objectKinds lists the object kinds in display order.
var objectKinds = []ObjectKind{KindClass, KindWorkspace, KindModel, KindService, KindEndpointGroup, KindLimit}

// checkTicket checks the ticket's texts, duplicate definitions, removals, and the
// number of objects after it.
func (c *checker) checkTicket() {
	t := c.ticket
	c.checkText("author", t.Author, maxAuthorBytes)
	c.checkText("summary", t.Summary, maxSummaryBytes)
	if t.Author == "" {
		c.addFault(wholeTicket, "author", "the author is missing", "write who makes the change")
	}
	paths := t.definedObjects()
	if len(paths) == 0 && len(t.Removals) == 0 {
		c.addFault(wholeTicket, "", "the ticket changes nothing", "add an object or a removal")
	}
	definitionCounts := map[string]int{}
	for _, path := range paths {
		definitionCounts[path]++
	}
	for _, path := range slices.Sorted(maps.Keys(definitionCounts)) {
		if definitionCounts[path] > 1 {
			c.addFault(path, "", "defined "+strconv.Itoa(definitionCounts[path])+" times in this ticket", "keep one of them")
		}
	}
	c.checkRemovals(definitionCounts)
	for _, kind := range objectKinds {
		if objectCount := len(c.nameSet(kind)); objectCount > maxObjectsByKind[kind] {
			c.addFault(wholeTicket, string(kind), strconv.Itoa(objectCount)+" objects would be in force",
				"keep at most "+strconv.Itoa(maxObjectsByKind[kind]))
		}
	}
}

func (c *checker) checkText(field, text string, maxBytes int) {
	if len(text) > maxBytes {
		c.addFault(wholeTicket, field, "longer than "+strconv.Itoa(maxBytes)+" bytes", "shorten it")
	}
	if !isPrintable(text) {
		c.addFault(wholeTicket, field, "has control characters or is not UTF-8", "write it as one line of plain text")
	}
}

func (c *checker) checkRemovals(definitionCounts map[string]int) {
	seen := map[Removal]bool{}
	for _, r := range c.ticket.Removals {
		path := objectPath(r.Kind, r.Name)
		switch {
		case !slices.Contains(objectKinds, r.Kind):
			c.addFault("remove/"+r.Name, "kind", "kind "+strconv.Quote(string(r.Kind))+" is unknown", unknownKindRemedy(r.Kind))
		case seen[r]:
			c.addFault(path, "", "removed twice in this ticket", "keep one removal")
		case definitionCounts[path] > 0:
			c.addFault(path, "", "both defined and removed in this ticket", "keep one of the two")
		case !c.before.has(r.Kind, r.Name):
			existing := c.before.nameSet(r.Kind)
			remedy := "leave the removal out"
			if closest, found := closestName(r.Name, existing); found {
				remedy = "did you mean " + strconv.Quote(closest) + "?"
			}
			c.addFault(path, "", "can't be removed: it does not exist", remedy)
		}
		seen[r] = true
	}
}

func unknownKindRemedy(kind ObjectKind) string {
	known := map[string]struct{}{}
	for _, k := range objectKinds {
		known[string(k)] = struct{}{}
	}
	if closest, found := closestName(string(kind), known); found {
		return "did you mean " + strconv.Quote(closest) + "?"
	}
	return "use one of " + strings.Join(slices.Sorted(maps.Keys(known)), ", ")
}

// definedObjects returns the path of each object that the ticket defines, with
// duplicates.
func (t *Ticket) definedObjects() []string {
	var paths []string
	paths = appendObjectPaths(paths, KindClass, t.Classes, func(v Class) string { return v.Name })
	paths = appendObjectPaths(paths, KindWorkspace, t.Workspaces, func(v Workspace) string { return v.Name })
	paths = appendObjectPaths(paths, KindModel, t.Models, func(v Model) string { return v.Name })
	paths = appendObjectPaths(paths, KindService, t.Services, func(v Service) string { return v.Name })
	paths = appendObjectPaths(paths, KindEndpointGroup, t.EndpointGroups, func(v EndpointGroup) string { return v.Name })
	return appendObjectPaths(paths, KindLimit, t.Limits, func(v Limit) string { return v.Name })
}

func appendObjectPaths[V any](paths []string, kind ObjectKind, values []V, name func(V) string) []string {
	for _, v := range values {
		paths = append(paths, objectPath(kind, name(v)))
	}
	return paths
}

// checkObjectNames checks the length and characters of names, and that no two
// names differ only in letter case.
func (c *checker) checkObjectNames() {
	for _, kind := range objectKinds {
		nameByFolded := make(map[string]string, len(c.nameSet(kind)))
		for _, name := range c.sortedNames(kind) {
			if problem, remedy := nameProblem(kind, name); problem != "" {
				c.addFault(objectPath(kind, name), "name", problem, remedy)
			}
			folded := strings.ToLower(name)
			if other, found := nameByFolded[folded]; found {
				c.addFault(objectPath(kind, name), "name",
					"differs from "+kind.displayName()+" "+strconv.Quote(other)+" only in letter case",
					"use one spelling and remove the other")
			}
			nameByFolded[folded] = name
		}
	}
}
