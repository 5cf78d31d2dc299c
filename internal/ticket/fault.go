package ticket

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Fault is one reason why a ticket is refused, and how the operator can correct
// it.
type Fault struct {
	Object  string `json:"object"` // for example "class/stage-updates"
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy,omitempty"`
}

// wholeTicket is the Fault.Object of faults that concern no single object.
const wholeTicket = "ticket"

// maxListedNames bounds the names listed in one fault.
const maxListedNames = 3

// checker validates the configuration that one ticket leads to and collects the
// faults.
type checker struct {
	before              *Configuration
	after               *Configuration
	ticket              *Ticket
	faults              []Fault
	nameSets            map[ObjectKind]map[string]struct{}
	sortedNameLists     map[ObjectKind][]string
	closestNameSearches int
}

func (c *checker) addFault(object, field, problem, remedy string) {
	c.faults = append(c.faults, Fault{Object: object, Field: field, Problem: problem, Remedy: remedy})
}

// sortedFaults returns the faults by object, field and problem, without
// duplicates.
func (c *checker) sortedFaults() []Fault {
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Problem, b.Problem),
		)
	})
	return slices.Compact(c.faults)
}

// nameSet returns the names of one kind in the configuration after the ticket.
func (c *checker) nameSet(kind ObjectKind) map[string]struct{} {
	if c.nameSets == nil {
		c.nameSets = map[ObjectKind]map[string]struct{}{}
	}
	if _, found := c.nameSets[kind]; !found {
		c.nameSets[kind] = c.after.nameSet(kind)
	}
	return c.nameSets[kind]
}

// sortedNames is nameSet as a sorted list.
func (c *checker) sortedNames(kind ObjectKind) []string {
	if c.sortedNameLists == nil {
		c.sortedNameLists = map[ObjectKind][]string{}
	}
	if _, found := c.sortedNameLists[kind]; !found {
		c.sortedNameLists[kind] = sortedKeys(c.nameSet(kind))
	}
	return c.sortedNameLists[kind]
}

// checkReference adds a fault if an object refers to one that does not exist
// after the ticket.
func (c *checker) checkReference(object, field string, kind ObjectKind, name string) {
	if c.after.has(kind, name) {
		return
	}
	kindName := kind.displayName()
	problem := kindName + " " + strconv.Quote(name) + " does not exist after this ticket"
	if c.before.has(kind, name) {
		problem = kindName + " " + strconv.Quote(name) + " is removed by this ticket"
	}
	c.addFault(object, field, problem, c.suggestRemedy(kind, name, "name one that exists, or define it in this ticket"))
}

// suggestRemedy proposes the closest known name, or returns fallback if there is
// none or too many have been searched for.
func (c *checker) suggestRemedy(kind ObjectKind, name, fallback string) string {
	if c.closestNameSearches >= maxClosestNameSearches {
		return fallback
	}
	c.closestNameSearches++
	closest, found := closestName(name, c.nameSet(kind))
	if !found {
		return fallback
	}
	return "did you mean " + strconv.Quote(closest) + "?"
}

// objectPath identifies an object in faults and changes, for example
// "class/stage-updates".
func objectPath(kind ObjectKind, name string) string { return string(kind) + "/" + name }

// displayName returns the kind as messages show it, for example "endpoint group".
func (k ObjectKind) displayName() string { return strings.ReplaceAll(string(k), "_", " ") }

// summarizeNames lists the first names in sorted order and counts the others. It
// sorts names in place.
func summarizeNames(names []string) string {
	slices.Sort(names)
	listed := names[:min(len(names), maxListedNames)]
	text := strings.Join(listed, ", ")
	if len(names) > len(listed) {
		text += " and " + strconv.Itoa(len(names)-len(listed)) + " more"
	}
	return text
}
