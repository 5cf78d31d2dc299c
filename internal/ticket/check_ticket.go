package ticket

import (
	"maps"
	"slices"
	"strconv"
	"strings"
)

// MaxEncodedBytes bounds one encoded ticket.
const MaxEncodedBytes = 2 << 20

// maxNumber is the largest ticket number: every JSON reader keeps it exact.
const maxNumber = 1<<53 - 1

// maxObjects bounds the objects of each kind in the configuration.
var maxObjects = map[Kind]int{
	KindClass:         100,
	KindWorkspace:     5_000,
	KindModel:         200,
	KindService:       200,
	KindEndpointGroup: 500,
	KindLimit:         5_000,
}

// Kinds lists the kinds of objects in the order pages show them.
var kinds = []Kind{KindClass, KindWorkspace, KindModel, KindService, KindEndpointGroup, KindLimit}

// checkTicket checks what concerns the ticket alone.
func (c *checker) checkTicket() {
	t := c.ticket
	c.checkText("author", t.Author, maxAuthorBytes)
	c.checkText("summary", t.Summary, maxSummaryBytes)
	if t.Author == "" {
		c.add(objectTicket, "author", "the author is missing", "write who makes the change")
	}
	set := t.names()
	if len(set) == 0 && len(t.Removals) == 0 {
		c.add(objectTicket, "", "the ticket changes nothing", "add an object or a removal")
	}
	count := map[string]int{}
	for _, name := range set {
		count[name]++
	}
	for _, name := range slices.Sorted(maps.Keys(count)) {
		if count[name] > 1 {
			c.add(name, "", "defined "+strconv.Itoa(count[name])+" times in this ticket", "keep one of them")
		}
	}
	c.checkRemovals(count)
	for _, kind := range kinds {
		if n := len(c.names(kind)); n > maxObjects[kind] {
			c.add(objectTicket, string(kind), strconv.Itoa(n)+" objects would be in force",
				"keep at most "+strconv.Itoa(maxObjects[kind]))
		}
	}
}

func (c *checker) checkText(field, text string, limit int) {
	if len(text) > limit {
		c.add(objectTicket, field, "longer than "+strconv.Itoa(limit)+" bytes", "shorten it")
	}
	if !printable(text) {
		c.add(objectTicket, field, "has control characters or is not UTF-8", "write it as one line of plain text")
	}
}

func (c *checker) checkRemovals(set map[string]int) {
	seen := map[Removal]bool{}
	for _, r := range c.ticket.Removals {
		name := object(r.Kind, r.Name)
		switch {
		case !slices.Contains(kinds, r.Kind):
			c.add("remove/"+r.Name, "kind", "kind "+strconv.Quote(string(r.Kind))+" is unknown", kindRemedy(r.Kind))
		case seen[r]:
			c.add(name, "", "removed twice in this ticket", "keep one removal")
		case set[name] > 0:
			c.add(name, "", "both defined and removed in this ticket", "keep one of the two")
		case !c.before.has(r.Kind, r.Name):
			known := c.before.names(r.Kind)
			remedy := "leave the removal out"
			if near, found := nearest(r.Name, known); found {
				remedy = "did you mean " + strconv.Quote(near) + "?"
			}
			c.add(name, "", "can't be removed: it does not exist", remedy)
		}
		seen[r] = true
	}
}

func kindRemedy(kind Kind) string {
	known := map[string]struct{}{}
	for _, k := range kinds {
		known[string(k)] = struct{}{}
	}
	if near, found := nearest(string(kind), known); found {
		return "did you mean " + strconv.Quote(near) + "?"
	}
	return "use one of " + strings.Join(slices.Sorted(maps.Keys(known)), ", ")
}

// names lists every object that the ticket defines, with repeats.
func (t *Ticket) names() []string {
	var names []string
	names = appendNames(names, KindClass, t.Classes, func(v Class) string { return v.Name })
	names = appendNames(names, KindWorkspace, t.Workspaces, func(v Workspace) string { return v.Name })
	names = appendNames(names, KindModel, t.Models, func(v Model) string { return v.Name })
	names = appendNames(names, KindService, t.Services, func(v Service) string { return v.Name })
	names = appendNames(names, KindEndpointGroup, t.EndpointGroups, func(v EndpointGroup) string { return v.Name })
	return appendNames(names, KindLimit, t.Limits, func(v Limit) string { return v.Name })
}

func appendNames[V any](names []string, kind Kind, values []V, name func(V) string) []string {
	for _, v := range values {
		names = append(names, object(kind, name(v)))
	}
	return names
}

// checkNames checks the characters of names, and names that differ only in
// letter case.
func (c *checker) checkNames() {
	for _, kind := range kinds {
		lower := make(map[string]string, len(c.names(kind)))
		for _, name := range c.ordered(kind) {
			if problem, remedy := nameProblem(kind, name); problem != "" {
				c.add(object(kind, name), "name", problem, remedy)
			}
			folded := strings.ToLower(name)
			if other, found := lower[folded]; found {
				c.add(object(kind, name), "name",
					"differs from "+kind.label()+" "+strconv.Quote(other)+" only in letter case",
					"use one spelling and remove the other")
			}
			lower[folded] = name
		}
	}
}
