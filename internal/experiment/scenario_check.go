package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// scenarioChecker collects the problems of a scenario.
type scenarioChecker struct{ problems []Problem }

func (c *scenarioChecker) addProblem(key, text string) {
	c.problems = append(c.problems, Problem{Key: key, Text: text})
}

func (c *scenarioChecker) require(ok bool, key, text string) {
	if !ok {
		c.addProblem(key, text)
	}
}

func (c *scenarioChecker) checkScenario(s *Scenario) {
	c.require(s.Name != "", "name", "is missing")
	c.require(s.TicketFile != "", "ticket", "is missing")
	c.require(s.Duration > 0, "duration", "must be above 0")
	c.require(time.Duration(s.Duration+s.SettleTimeout) <= maxScenarioDuration, "duration", "with settle must be at most 2m")
	c.require(s.RouterCount >= 0, "routers", "must not be negative")
	c.require(len(s.EndpointSets) > 0, "endpoint", "is missing")
	c.require(len(s.Loads) > 0, "load", "is missing")
	for i := range s.EndpointSets {
		c.checkEndpointSet(fmt.Sprintf("endpoint[%d]", i), &s.EndpointSets[i])
	}
	for i := range s.Loads {
		c.checkLoad(fmt.Sprintf("load[%d]", i), &s.Loads[i])
	}
	names := s.endpointNames()
	for i := range s.Events {
		c.checkEvent(fmt.Sprintf("event[%d]", i), s, &s.Events[i], names)
	}
}

func (c *scenarioChecker) checkEndpointSet(key string, e *EndpointSet) {
	c.require(e.Group != "", key+".group", "is missing")
	c.require(e.Kind == kindEngine || e.Kind == kindService, key+".kind", "must be engine or service")
	c.require(e.Serves != "", key+".serves", "names no model or service")
	c.require(e.Count > 0, key+".count", "must be above 0")
	c.require(len(e.FailureDomains) > 0, key+".domains", "names no failure domain")
	c.require(e.Slots >= 0, key+".slots", "must not be negative")
}

func (c *scenarioChecker) checkLoad(key string, l *Load) {
	c.require(l.Class != "", key+".class", "is missing")
	c.require((l.Model == "") != (l.Service == ""), key+".model", "name either a model or a service")
	c.require(l.RequestsPerSecond > 0, key+".rate", "must be above 0")
	c.require(l.RepeatFraction >= 0 && l.RepeatFraction <= 1, key+".repeat", "must be a share from 0 to 1")
	c.require(l.Model == "" || l.TokensMedian >= 1, key+".tokens_median", "must be at least 1")
	c.require(l.TokensSigma >= 0, key+".tokens_sigma", "must not be negative")
	for i, b := range l.Bursts {
		burstKey := fmt.Sprintf("%s.burst[%d]", key, i)
		c.require(b.From >= 0 && b.From < b.To, burstKey, "from must come before to")
		c.require(b.RateFactor > 0, burstKey+".factor", "must be above 0")
	}
}

func (c *scenarioChecker) checkEvent(key string, s *Scenario, e *Event, endpointNames []string) {
	c.require(e.At >= 0 && e.At <= s.Duration, key+".at", "must lie within the duration")
	for _, name := range e.Endpoints {
		c.require(slices.Contains(endpointNames, name), key+".endpoints", fmt.Sprintf("%q is no endpoint", name))
	}
	switch e.Kind {
	case EventFault, EventDrain, EventUndrain:
		c.require(len(e.Endpoints) > 0, key+".endpoints", "is missing")
	case EventRollingDrain:
		c.require(e.DrainInterval > 0 && e.DrainDuration > 0, key+".every", "a rolling drain needs every and hold")
	case EventFailDomain:
		c.require(slices.Contains(s.failureDomains(), e.FailureDomain), key+".domain", "is no failure domain of an endpoint")
	case EventTicket:
		c.require(e.TicketFile != "", key+".ticket", "is missing")
	case EventStopControlHosts:
	default:
		c.addProblem(key+".kind", fmt.Sprintf("%q is no kind of event", e.Kind))
	}
}

// checkAgainstTicket checks that the groups and classes of a scenario exist in
// its ticket, and that each load has a workspace that may use its class.
func (s *Scenario) checkAgainstTicket(t *ticket.Ticket) []Problem {
	c := &scenarioChecker{}
	classes := map[string]bool{}
	for _, class := range t.Classes {
		classes[class.Name] = true
	}
	groups := map[string]bool{}
	for _, g := range t.EndpointGroups {
		groups[g.Name] = true
	}
	for i := range s.EndpointSets {
		c.require(groups[s.EndpointSets[i].Group], fmt.Sprintf("endpoint[%d].group", i), "is no endpoint group of the ticket")
	}
	for i := range s.Loads {
		l := &s.Loads[i]
		key := fmt.Sprintf("load[%d]", i)
		c.require(classes[l.Class], key+".class", "is no class of the ticket")
		c.require(len(l.effectiveWeights(t)) > 0, key+".workspaces", "no workspace of the ticket may use the class")
	}
	return c.problems
}

// workspaceWeight is the weight with which a workspace is drawn for the requests
// of a load.
type workspaceWeight struct {
	workspace string
	weight    int
}

// effectiveWeights returns the weights of the workspaces that may use the load's
// class: those that the load sets or, if it sets none, the workspaces' shares.
func (l *Load) effectiveWeights(t *ticket.Ticket) []workspaceWeight {
	var list []workspaceWeight
	for _, w := range t.Workspaces {
		weight := w.Share
		if len(l.WorkspaceWeights) > 0 {
			weight = l.WorkspaceWeights[w.Name]
		}
		if weight > 0 && slices.Contains(w.Classes, l.Class) {
			list = append(list, workspaceWeight{workspace: w.Name, weight: weight})
		}
	}
	return list
}
