package ticket_test

import (
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// base returns the first rally ticket and the configuration after it.
func base() (*ticket.Ticket, *ticket.State) {
	GinkgoHelper()
	text, err := os.ReadFile("../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	t, err := ticket.DecodeTOML(text)
	Expect(err).NotTo(HaveOccurred())
	state, faults := ticket.Apply(ticket.NewState(), t)
	Expect(faults).To(BeEmpty())
	return t, state
}

// class, workspace, group and limit return an object of the base to change.
func class(t *ticket.Ticket, edit func(*ticket.Class)) *ticket.Ticket {
	c := t.Classes[0]
	edit(&c)
	return &ticket.Ticket{Number: 2, Author: "desk", Classes: []ticket.Class{c}}
}

func workspace(t *ticket.Ticket, edit func(*ticket.Workspace)) *ticket.Ticket {
	w := t.Workspaces[0]
	edit(&w)
	return &ticket.Ticket{Number: 2, Author: "desk", Workspaces: []ticket.Workspace{w}}
}

func group(t *ticket.Ticket, edit func(*ticket.EndpointGroup)) *ticket.Ticket {
	g := t.EndpointGroups[0]
	edit(&g)
	return &ticket.Ticket{Number: 2, Author: "desk", EndpointGroups: []ticket.EndpointGroup{g}}
}

func limit(l ticket.Limit) *ticket.Ticket {
	return &ticket.Ticket{Number: 2, Author: "desk", Limits: []ticket.Limit{l}}
}

func remove(kind ticket.Kind, name string) *ticket.Ticket {
	return &ticket.Ticket{Number: 2, Author: "desk", Removals: []ticket.Removal{{Kind: kind, Name: name}}}
}

type change = func(t *ticket.Ticket) *ticket.Ticket

func ofClass(edit func(*ticket.Class)) change {
	return func(t *ticket.Ticket) *ticket.Ticket { return class(t, edit) }
}

func ofWorkspace(edit func(*ticket.Workspace)) change {
	return func(t *ticket.Ticket) *ticket.Ticket { return workspace(t, edit) }
}

func ofGroup(edit func(*ticket.EndpointGroup)) change {
	return func(t *ticket.Ticket) *ticket.Ticket { return group(t, edit) }
}

func ofLimit(l ticket.Limit) change {
	return func(*ticket.Ticket) *ticket.Ticket { return limit(l) }
}

func removal(kind ticket.Kind, name string) change {
	return func(*ticket.Ticket) *ticket.Ticket { return remove(kind, name) }
}

const ms = ticket.Duration(time.Millisecond)

var _ = DescribeTable("a faulty ticket is refused with exactly its faults",
	func(edit change, want ...string) {
		first, state := base()
		next, faults := ticket.Apply(state, edit(first))
		var got []string
		for _, f := range faults {
			Expect(f.Problem).NotTo(BeEmpty())
			Expect(f.Remedy).NotTo(BeEmpty())
			got = append(got, strings.TrimSpace(f.Object+" "+f.Field))
		}
		Expect(got).To(ConsistOf(want), "%v", faults)
		if len(want) > 0 {
			Expect(next).To(BeNil())
		}
	},
	Entry("none", ofClass(func(c *ticket.Class) { c.Tier = 2 })),
	Entry("seconds for milliseconds", ofClass(func(c *ticket.Class) { c.FirstTokenTarget = 490_000 * ms }), "class/stage-updates first_token_target"),
	Entry("seconds between tokens", ofClass(func(c *ticket.Class) { c.BetweenTokensTarget = 77_000 * ms }), "class/stage-updates between_tokens_target"),
	Entry("microseconds", ofClass(func(c *ticket.Class) { c.FirstTokenTarget = ms / 2 }), "class/stage-updates first_token_target"),
	Entry("no target", ofClass(func(c *ticket.Class) { c.FirstTokenTarget = 0 }), "class/stage-updates first_token_target"),
	Entry("negative deadline", ofClass(func(c *ticket.Class) { c.Deadline = -ms }), "class/stage-updates deadline"),
	Entry("targets swapped", ofClass(func(c *ticket.Class) { c.FirstTokenTarget, c.BetweenTokensTarget = 77*ms, 490*ms }), "class/stage-updates between_tokens_target"),
	Entry("patience under target", ofClass(func(c *ticket.Class) { c.Patience = 100 * ms }), "class/stage-updates patience"),
	Entry("deadline under patience", ofClass(func(c *ticket.Class) { c.Deadline = c.Patience }), "class/stage-updates deadline"),
	Entry("tier 0", ofClass(func(c *ticket.Class) { c.Tier = 0 }), "class/stage-updates tier"),
	Entry("tier 7", ofClass(func(c *ticket.Class) { c.Tier = 7 }), "class/stage-updates tier"),
	Entry("two names in other letters", ofClass(func(c *ticket.Class) { c.Name = "Questions" }), "class/Questions name", "class/questions name"),
	Entry("models in other letters", func(*ticket.Ticket) *ticket.Ticket {
		return &ticket.Ticket{Number: 2, Author: "desk", AllowStranding: true, Models: []ticket.Model{{Name: "Rally-Text", MaxOutputTokens: 1}}}
	}, "model/rally-text name"),
	Entry("name with a slash", ofClass(func(c *ticket.Class) { c.Name = "a/../b" }), "class/a/../b name"),
	Entry("name too long", ofClass(func(c *ticket.Class) { c.Name = strings.Repeat("a", 64) }), "class/"+strings.Repeat("a", 64)+" name"),
	Entry("no name", ofClass(func(c *ticket.Class) { c.Name = "" }), "class/ name"),
	Entry("everyone on top", func(t *ticket.Ticket) *ticket.Ticket {
		all := &ticket.Ticket{Number: 2, Author: "desk"}
		for _, c := range t.Classes {
			c.Tier = 1
			all.Classes = append(all.Classes, c)
		}
		return all
	}, "ticket class.tier"),
	Entry("unknown class", ofWorkspace(func(w *ticket.Workspace) { w.Classes = append(w.Classes[:len(w.Classes):len(w.Classes)], "bokings") }), "workspace/marshals classes"),
	Entry("no default class", ofWorkspace(func(w *ticket.Workspace) { w.DefaultClass = "" }), "workspace/marshals default_class"),
	Entry("foreign default class", ofWorkspace(func(w *ticket.Workspace) { w.Classes = []string{"bookings"} }), "workspace/marshals default_class"),
	Entry("class listed twice", ofWorkspace(func(w *ticket.Workspace) { w.Classes = append(w.Classes[:len(w.Classes):len(w.Classes)], "bookings") }), "workspace/marshals classes"),
	Entry("service class missing", ofWorkspace(func(w *ticket.Workspace) { w.Classes = []string{"stage-updates"} }), "service/entries class"),
	Entry("unknown limit", ofWorkspace(func(w *ticket.Workspace) { w.Limit = "larg" }), "workspace/marshals limit"),
	Entry("no share", ofWorkspace(func(w *ticket.Workspace) { w.Share = 0 }), "workspace/marshals share"),
	Entry("no key", ofWorkspace(func(w *ticket.Workspace) { w.KeyHashes = nil }), "workspace/marshals key_hashes"),
	Entry("key for its hash", ofWorkspace(func(w *ticket.Workspace) { w.KeyHashes = []string{"demo-marshals-key"} }), "workspace/marshals key_hashes[0]"),
	Entry("hash in capitals", ofWorkspace(func(w *ticket.Workspace) { w.KeyHashes = []string{strings.ToUpper(w.KeyHashes[0])} }), "workspace/marshals key_hashes[0]"),
	Entry("hash of nothing", ofWorkspace(func(w *ticket.Workspace) {
		w.KeyHashes = []string{"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}
	}), "workspace/marshals key_hashes[0]"),
	Entry("key hash twice", ofWorkspace(func(w *ticket.Workspace) { w.KeyHashes = []string{w.KeyHashes[0], w.KeyHashes[0]} }), "workspace/marshals key_hashes[1]"),
	Entry("key of another workspace", func(t *ticket.Ticket) *ticket.Ticket {
		return workspace(t, func(w *ticket.Workspace) { w.KeyHashes = t.Workspaces[1].KeyHashes })
	}, "workspace/riders key_hashes[0]"),
	Entry("group of an unknown workspace", ofGroup(func(g *ticket.EndpointGroup) { g.Workspaces = []string{"marshal"} }),
		"endpoint_group/rally-text workspaces", "model/rally-text"),
	Entry("star beside names", ofGroup(func(g *ticket.EndpointGroup) { g.Workspaces = []string{"*", "talca"} }), "endpoint_group/rally-text workspaces"),
	Entry("group serves nothing", ofGroup(func(g *ticket.EndpointGroup) { g.Models = nil }), "endpoint_group/rally-text models", "model/rally-text", "model/rally-text"),
	Entry("group of nobody", ofGroup(func(g *ticket.EndpointGroup) { g.Workspaces = nil }),
		"endpoint_group/rally-text workspaces", "model/rally-text"),
	Entry("unknown model", ofGroup(func(g *ticket.EndpointGroup) { g.Models = append([]string{"rally-txt"}, g.Models...) }), "endpoint_group/rally-text models"),
	Entry("last group of a model", removal(ticket.KindEndpointGroup, "rally-text"), "model/rally-text", "model/rally-text"),
	Entry("workspace without a group", func(t *ticket.Ticket) *ticket.Ticket {
		n := &ticket.Ticket{Number: 2, Author: "desk", AllowStranding: true}
		for _, g := range t.EndpointGroups {
			g.Workspaces = []string{"marshals", "riders", "secretaries", "santiago", "rancagua", "talca", "concepcion", "temuco", "valdivia"}
			n.EndpointGroups = append(n.EndpointGroups, g)
		}
		return n
	}, "workspace/puerto-montt"),
	Entry("class in use", removal(ticket.KindClass, "summaries"), "class/summaries",
		"workspace/marshals classes", "workspace/riders classes", "workspace/secretaries classes", "workspace/santiago classes",
		"workspace/rancagua classes", "workspace/talca classes", "workspace/concepcion classes", "workspace/temuco classes",
		"workspace/valdivia classes", "workspace/puerto-montt classes"),
	Entry("model in use", removal(ticket.KindModel, "rally-text"), "endpoint_group/rally-text models"),
	Entry("removal of nothing", removal(ticket.KindLimit, "larg"), "limit/larg"),
	Entry("removal of an unknown kind", removal("clas", "bookings"), "remove/bookings kind"),
	Entry("limit that bounds nothing", ofLimit(ticket.Limit{Name: "club"}), "limit/club"),
	Entry("negative limit", ofLimit(ticket.Limit{Name: "club", Concurrency: -1}), "limit/club concurrency"),
	Entry("output bound", func(*ticket.Ticket) *ticket.Ticket {
		return &ticket.Ticket{Number: 2, Author: "desk", Models: []ticket.Model{{Name: "rally-text"}}}
	}, "model/rally-text max_output_tokens"),
	Entry("defined twice", func(t *ticket.Ticket) *ticket.Ticket {
		return &ticket.Ticket{Number: 2, Author: "desk", Limits: []ticket.Limit{t.Limits[0], t.Limits[0]}}
	}, "limit/large"),
	Entry("defined and removed", func(t *ticket.Ticket) *ticket.Ticket {
		n := remove(ticket.KindLimit, "large")
		n.Limits = t.Limits[:1]
		return n
	}, "limit/large", "workspace/marshals limit", "workspace/riders limit", "workspace/secretaries limit"),
	Entry("no change and no author", func(*ticket.Ticket) *ticket.Ticket { return &ticket.Ticket{Number: 2} }, "ticket", "ticket author"),
	Entry("control characters", func(*ticket.Ticket) *ticket.Ticket {
		n := limit(ticket.Limit{Name: "club", Concurrency: 9})
		n.Summary = "a\nb"
		return n
	}, "ticket summary"),
)

var _ = DescribeTable("a ticket file that can't be read names every place",
	func(text string, want ...string) {
		_, err := ticket.DecodeTOML([]byte(text))
		for _, w := range want {
			Expect(err).To(MatchError(ContainSubstring(w)))
		}
	},
	Entry("unknown keys", "nmber = 1\n[[class]]\npatiense = \"1s\"\n[[limit]]\nconcurency = 3\n",
		"nmber; did you mean number?", "class.patiense; did you mean patience?", "limit.concurency; did you mean concurrency?"),
	Entry("values of another type", "[[class]]\ntier = \"1\"\n[[workspace]]\nshare = 1.5\n", "[[class]]", "[[workspace]]"),
	Entry("no TOML", "number = = 1", "line 1"),
)

var _ = It("reports a time without a unit and a written 0 together with other faults", func() {
	t, err := ticket.DecodeTOML([]byte(`
number = 2
author = "desk"
[[class]]
name = "stage-updates"
tier = 1
first_token_target = 490
patience = "4"
deadline = "soon"
[[limit]]
name = "club"
concurrency = 0
`))
	Expect(err).NotTo(HaveOccurred())
	encoded, err := ticket.Encode(t)
	Expect(err).NotTo(HaveOccurred())
	wired, err := ticket.Decode(encoded)
	Expect(err).NotTo(HaveOccurred())
	_, state := base()
	_, faults := ticket.Apply(state, wired)
	var got []string
	for _, f := range faults {
		got = append(got, f.Object+" "+f.Field)
	}
	Expect(got).To(Equal([]string{
		"class/stage-updates deadline", "class/stage-updates first_token_target", "class/stage-updates patience",
		"limit/club concurrency",
	}))
})
