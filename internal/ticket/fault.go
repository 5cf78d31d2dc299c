package ticket

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
)

// Fault is one thing wrong with a ticket, in words an operator can act on.
type Fault struct {
	Object  string `json:"object"` // for example class/stage-updates
	Field   string `json:"field,omitempty"`
	Problem string `json:"problem"`
	Remedy  string `json:"remedy,omitempty"`
}

// objectTicket is the object of faults that concern the ticket as a whole.
const objectTicket = "ticket"

// shownNames bounds how many names one fault lists.
const shownNames = 3

// checker collects the faults of one ticket.
type checker struct {
	before *State
	after  *State
	ticket *Ticket
	faults []Fault
	known  map[Kind]map[string]struct{}
	order  map[Kind][]string
	hints  int
}

func (c *checker) add(object, field, problem, remedy string) {
	c.faults = append(c.faults, Fault{Object: object, Field: field, Problem: problem, Remedy: remedy})
}

// sorted returns the faults by object and field, each once.
func (c *checker) sorted() []Fault {
	slices.SortStableFunc(c.faults, func(a, b Fault) int {
		return cmp.Or(
			cmp.Compare(a.Object, b.Object),
			cmp.Compare(a.Field, b.Field),
			cmp.Compare(a.Problem, b.Problem),
		)
	})
	return slices.Compact(c.faults)
}

// names returns the names of one kind after the ticket.
func (c *checker) names(kind Kind) map[string]struct{} {
	if c.known == nil {
		c.known = map[Kind]map[string]struct{}{}
	}
	if _, found := c.known[kind]; !found {
		c.known[kind] = c.after.names(kind)
	}
	return c.known[kind]
}

// ordered returns the names of one kind after the ticket in their order.
func (c *checker) ordered(kind Kind) []string {
	if c.order == nil {
		c.order = map[Kind][]string{}
	}
	if _, found := c.order[kind]; !found {
		c.order[kind] = sortedKeys(c.names(kind))
	}
	return c.order[kind]
}

// reference adds a fault if an object names another that will not exist.
func (c *checker) reference(object, field string, kind Kind, name string) {
	if c.after.has(kind, name) {
		return
	}
	label := kind.label()
	problem := label + " " + strconv.Quote(name) + " does not exist after this ticket"
	if c.before.has(kind, name) {
		problem = label + " " + strconv.Quote(name) + " is removed by this ticket"
	}
	c.add(object, field, problem, c.suggest(kind, name, "name one that exists, or define it in this ticket"))
}

// suggest returns the nearest known name as a remedy, or the fallback.
func (c *checker) suggest(kind Kind, name, fallback string) string {
	if c.hints >= maxHints {
		return fallback
	}
	c.hints++
	near, found := nearest(name, c.names(kind))
	if !found {
		return fallback
	}
	return "did you mean " + strconv.Quote(near) + "?"
}

// object writes the name of an object as faults and differences show it.
func object(kind Kind, name string) string { return string(kind) + "/" + name }

// label is the kind in words.
func (k Kind) label() string { return strings.ReplaceAll(string(k), "_", " ") }

// sample writes the count of names and the first few of them.
func sample(names []string) string {
	slices.Sort(names)
	shown := names[:min(len(names), shownNames)]
	text := strings.Join(shown, ", ")
	if len(names) > len(shown) {
		text += " and " + strconv.Itoa(len(names)-len(shown)) + " more"
	}
	return text
}
