package ticket

import (
	"slices"
	"strconv"
)

// workspaceWildcard in EndpointGroup.Workspaces means all workspaces.
const workspaceWildcard = "*"

func (c *checker) checkGroups() {
	for _, name := range c.sortedNames(KindEndpointGroup) {
		c.checkGroup(objectPath(KindEndpointGroup, name), c.after.EndpointGroups[name])
	}
}

func (c *checker) checkGroup(object string, g EndpointGroup) {
	if len(g.Workspaces) == 0 {
		c.addFault(object, "workspaces", "serves no workspace", "list workspaces, or \"*\" for all")
	}
	if len(g.Models)+len(g.Services) == 0 {
		c.addFault(object, "models", "serves no model and no service", "list at least one in models or services")
	}
	c.checkDuplicates(object, "workspaces", g.Workspaces)
	c.checkDuplicates(object, "models", g.Models)
	c.checkDuplicates(object, "services", g.Services)
	if slices.Contains(g.Workspaces, workspaceWildcard) && len(g.Workspaces) > 1 {
		c.addFault(object, "workspaces", "\"*\" stands beside names", "keep \"*\" alone, or the names alone")
	}
	for _, w := range g.Workspaces {
		if w != workspaceWildcard {
			c.checkReference(object, "workspaces", KindWorkspace, w)
		}
	}
	for _, m := range g.Models {
		c.checkReference(object, "models", KindModel, m)
	}
	for _, v := range g.Services {
		c.checkReference(object, "services", KindService, v)
	}
}

// coverage holds the workspaces that the endpoint groups of a configuration serve,
// in total and for each model and service.
type coverage struct {
	allWorkspaces bool // an endpoint group serves all workspaces
	workspaces    map[string]bool
	models        map[string]*workspaceSet
	services      map[string]*workspaceSet
}

// workspaceSet is the set of workspaces that are served one model or service. A
// nil set is empty.
type workspaceSet struct {
	all   bool
	names map[string]bool
}

func (s *workspaceSet) contains(workspace string) bool {
	return s != nil && (s.all || s.names[workspace])
}

func coverageOf(configuration *Configuration) *coverage {
	cov := &coverage{workspaces: map[string]bool{}, models: map[string]*workspaceSet{}, services: map[string]*workspaceSet{}}
	for _, g := range configuration.EndpointGroups {
		if len(g.Models)+len(g.Services) == 0 {
			continue
		}
		cov.allWorkspaces = cov.allWorkspaces || slices.Contains(g.Workspaces, workspaceWildcard)
		for _, w := range g.Workspaces {
			cov.workspaces[w] = true
		}
		addWorkspaces(cov.models, g.Models, g.Workspaces)
		addWorkspaces(cov.services, g.Services, g.Workspaces)
	}
	return cov
}

func addWorkspaces(sets map[string]*workspaceSet, targets, workspaces []string) {
	for _, target := range targets {
		set := sets[target]
		if set == nil {
			set = &workspaceSet{names: map[string]bool{}}
			sets[target] = set
		}
		for _, w := range workspaces {
			set.all = set.all || w == workspaceWildcard
			set.names[w] = true
		}
	}
}

// checkCoverage adds faults for workspaces, models and services without an
// endpoint group, and for services whose class is not available to all
// workspaces that may call them.
func (c *checker) checkCoverage() {
	cov := coverageOf(c.after)
	for _, name := range c.sortedNames(KindWorkspace) {
		if !cov.allWorkspaces && !cov.workspaces[name] {
			c.addFault(objectPath(KindWorkspace, name), "", "no endpoint group serves it",
				"add it to the workspaces of an endpoint group")
		}
	}
	for _, name := range c.sortedNames(KindModel) {
		c.checkHasGroup(objectPath(KindModel, name), "models", cov.models[name])
	}
	for _, name := range c.sortedNames(KindService) {
		c.checkHasGroup(objectPath(KindService, name), "services", cov.services[name])
		c.checkServiceClass(name, cov.services[name])
	}
}

func (c *checker) checkHasGroup(object, field string, served *workspaceSet) {
	if served == nil && !c.ticket.AllowStranding {
		c.addFault(object, "", "no endpoint group serves it",
			"add it to the "+field+" of an endpoint group, or set allow_stranding = true")
	}
}

func (c *checker) checkServiceClass(name string, served *workspaceSet) {
	class := c.after.Services[name].Class
	if class == "" {
		return
	}
	var lackingClass []string
	for workspace, w := range c.after.Workspaces {
		if served.contains(workspace) && !slices.Contains(w.Classes, class) {
			lackingClass = append(lackingClass, workspace)
		}
	}
	if len(lackingClass) > 0 {
		c.addFault(objectPath(KindService, name), "class",
			"workspaces that reach the service do not have class "+strconv.Quote(class)+": "+summarizeNames(lackingClass),
			"add the class to these workspaces, or leave class out so that each uses its default")
	}
}

// checkStranding adds faults for existing workspaces that would lose a class, or
// their last endpoint group for a model or service.
func (c *checker) checkStranding() {
	if c.ticket.AllowStranding {
		return
	}
	for _, r := range c.ticket.Removals {
		if r.Kind == KindClass {
			c.checkStrandedClass(r.Name)
		}
	}
	before, after := coverageOf(c.before), coverageOf(c.after)
	for _, name := range sortedKeys(c.before.Models) {
		c.checkStrandedWorkspaces(KindModel, name, before.models[name], after.models[name])
	}
	for _, name := range sortedKeys(c.before.Services) {
		c.checkStrandedWorkspaces(KindService, name, before.services[name], after.services[name])
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
		c.addFault(objectPath(KindClass, class), "", "removed while workspaces use it: "+summarizeNames(users),
			"take it out of their classes in an earlier ticket, or set allow_stranding = true")
	}
}

func (c *checker) checkStrandedWorkspaces(kind ObjectKind, name string, before, after *workspaceSet) {
	if before == nil || after != nil && after.all {
		return
	}
	var stranded []string
	for workspace := range c.before.Workspaces {
		_, remains := c.after.Workspaces[workspace]
		if remains && before.contains(workspace) && !after.contains(workspace) {
			stranded = append(stranded, workspace)
		}
	}
	if len(stranded) > 0 {
		c.addFault(objectPath(kind, name), "", "workspaces would lose their last endpoint group for it: "+summarizeNames(stranded),
			"keep one endpoint group that serves it to them, or set allow_stranding = true")
	}
}
