package ticket

import (
	"slices"
	"strconv"
)

// allWorkspaces in an endpoint group stands for every workspace.
const allWorkspaces = "*"

func (c *checker) checkGroups() {
	for _, name := range c.ordered(KindEndpointGroup) {
		c.checkGroup(object(KindEndpointGroup, name), c.after.EndpointGroups[name])
	}
}

func (c *checker) checkGroup(object string, g EndpointGroup) {
	if len(g.Workspaces) == 0 {
		c.add(object, "workspaces", "serves no workspace", "list workspaces, or \"*\" for all")
	}
	if len(g.Models)+len(g.Services) == 0 {
		c.add(object, "models", "serves no model and no service", "list at least one in models or services")
	}
	c.checkRepeats(object, "workspaces", g.Workspaces)
	c.checkRepeats(object, "models", g.Models)
	c.checkRepeats(object, "services", g.Services)
	if slices.Contains(g.Workspaces, allWorkspaces) && len(g.Workspaces) > 1 {
		c.add(object, "workspaces", "\"*\" stands beside names", "keep \"*\" alone, or the names alone")
	}
	for _, w := range g.Workspaces {
		if w != allWorkspaces {
			c.reference(object, "workspaces", KindWorkspace, w)
		}
	}
	for _, m := range g.Models {
		c.reference(object, "models", KindModel, m)
	}
	for _, v := range g.Services {
		c.reference(object, "services", KindService, v)
	}
}

// reach holds, for one configuration, which workspaces reach which models
// and services.
type reach struct {
	all        bool // some endpoint group serves every workspace
	workspaces map[string]bool
	models     map[string]*audience
	services   map[string]*audience
}

// audience is the workspaces of one model or service.
type audience struct {
	all   bool
	named map[string]bool
}

func (a *audience) includes(workspace string) bool {
	return a != nil && (a.all || a.named[workspace])
}

func reachOf(s *State) *reach {
	r := &reach{workspaces: map[string]bool{}, models: map[string]*audience{}, services: map[string]*audience{}}
	for _, g := range s.EndpointGroups {
		if len(g.Models)+len(g.Services) == 0 {
			continue
		}
		r.all = r.all || slices.Contains(g.Workspaces, allWorkspaces)
		for _, w := range g.Workspaces {
			r.workspaces[w] = true
		}
		widen(r.models, g.Models, g.Workspaces)
		widen(r.services, g.Services, g.Workspaces)
	}
	return r
}

func widen(audiences map[string]*audience, targets, workspaces []string) {
	for _, target := range targets {
		a := audiences[target]
		if a == nil {
			a = &audience{named: map[string]bool{}}
			audiences[target] = a
		}
		for _, w := range workspaces {
			a.all = a.all || w == allWorkspaces
			a.named[w] = true
		}
	}
}

// checkReach finds workspaces without an endpoint group, and models and
// services that nobody reaches or whose class their callers lack.
func (c *checker) checkReach() {
	r := reachOf(c.after)
	for _, name := range c.ordered(KindWorkspace) {
		if !r.all && !r.workspaces[name] {
			c.add(object(KindWorkspace, name), "", "no endpoint group serves it",
				"add it to the workspaces of an endpoint group")
		}
	}
	for _, name := range c.ordered(KindModel) {
		c.checkServed(object(KindModel, name), "models", r.models[name])
	}
	for _, name := range c.ordered(KindService) {
		c.checkServed(object(KindService, name), "services", r.services[name])
		c.checkServiceClass(name, r.services[name])
	}
}

func (c *checker) checkServed(object, field string, a *audience) {
	if a == nil && !c.ticket.AllowStranding {
		c.add(object, "", "no endpoint group serves it",
			"add it to the "+field+" of an endpoint group, or set allow_stranding = true")
	}
}

func (c *checker) checkServiceClass(name string, a *audience) {
	class := c.after.Services[name].Class
	if class == "" {
		return
	}
	var without []string
	for workspace, w := range c.after.Workspaces {
		if a.includes(workspace) && !slices.Contains(w.Classes, class) {
			without = append(without, workspace)
		}
	}
	if len(without) > 0 {
		c.add(object(KindService, name), "class",
			"workspaces that reach the service do not have class "+strconv.Quote(class)+": "+sample(without),
			"add the class to these workspaces, or leave class out so that each uses its default")
	}
}

// checkStranding finds work in force before the ticket that it would leave
// without a class, a model, a service or an endpoint group.
func (c *checker) checkStranding() {
	if c.ticket.AllowStranding {
		return
	}
	for _, r := range c.ticket.Removals {
		if r.Kind == KindClass {
			c.checkStrandedClass(r.Name)
		}
	}
	before, after := reachOf(c.before), reachOf(c.after)
	for _, name := range sortedKeys(c.before.Models) {
		c.checkStrandedTarget(KindModel, name, before.models[name], after.models[name])
	}
	for _, name := range sortedKeys(c.before.Services) {
		c.checkStrandedTarget(KindService, name, before.services[name], after.services[name])
	}
}

func (c *checker) checkStrandedClass(class string) {
	var users []string
	for name, w := range c.before.Workspaces {
		if slices.Contains(w.Classes, class) {
			users = append(users, name)
		}
	}
	if len(users) > 0 {
		c.add(object(KindClass, class), "", "removed while workspaces use it: "+sample(users),
			"take it out of their classes in an earlier ticket, or set allow_stranding = true")
	}
}

func (c *checker) checkStrandedTarget(kind Kind, name string, before, after *audience) {
	if before == nil || after != nil && after.all {
		return
	}
	var stranded []string
	for workspace := range c.before.Workspaces {
		_, stays := c.after.Workspaces[workspace]
		if stays && before.includes(workspace) && !after.includes(workspace) {
			stranded = append(stranded, workspace)
		}
	}
	if len(stranded) > 0 {
		c.add(object(kind, name), "", "workspaces would lose their last endpoint group for it: "+sample(stranded),
			"keep one endpoint group that serves it to them, or set allow_stranding = true")
	}
}
