package ticket_test

import (
	"os"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// rallyConfiguration returns the first ticket of the rally example and the
// configuration after it.
func rallyConfiguration() (*ticket.Ticket, *ticket.Configuration) {
	GinkgoHelper()
	text, err := os.ReadFile("../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	t, err := ticket.DecodeTOML(text)
	Expect(err).NotTo(HaveOccurred())
	config, faults := ticket.Apply(ticket.NewConfiguration(), t)
	Expect(faults).To(BeEmpty())
	return t, config
}

// ticketWithClass returns a ticket that redefines the first class of t as edited.
// ticketWithWorkspace and ticketWithGroup do the same for their kinds.
func ticketWithClass(t *ticket.Ticket, edit func(*ticket.Class)) *ticket.Ticket {
	c := t.Classes[0]
	edit(&c)
	return &ticket.Ticket{Number: 2, Author: "desk", Classes: []ticket.Class{c}}
}

func ticketWithWorkspace(t *ticket.Ticket, edit func(*ticket.Workspace)) *ticket.Ticket {
	w := t.Workspaces[0]
	edit(&w)
	return &ticket.Ticket{Number: 2, Author: "desk", Workspaces: []ticket.Workspace{w}}
}

func ticketWithGroup(t *ticket.Ticket, edit func(*ticket.EndpointGroup)) *ticket.Ticket {
	g := t.EndpointGroups[0]
	edit(&g)
	return &ticket.Ticket{Number: 2, Author: "desk", EndpointGroups: []ticket.EndpointGroup{g}}
}

func ticketWithLimit(l ticket.Limit) *ticket.Ticket {
	return &ticket.Ticket{Number: 2, Author: "desk", Limits: []ticket.Limit{l}}
}

func ticketWithRemoval(kind ticket.ObjectKind, name string) *ticket.Ticket {
	return &ticket.Ticket{Number: 2, Author: "desk", Removals: []ticket.Removal{{Kind: kind, Name: name}}}
}

type ticketEdit = func(t *ticket.Ticket) *ticket.Ticket

func editClass(edit func(*ticket.Class)) ticketEdit {
	return func(t *ticket.Ticket) *ticket.Ticket { return ticketWithClass(t, edit) }
}

func editWorkspace(edit func(*ticket.Workspace)) ticketEdit {
	return func(t *ticket.Ticket) *ticket.Ticket { return ticketWithWorkspace(t, edit) }
}

func editGroup(edit func(*ticket.EndpointGroup)) ticketEdit {
	return func(t *ticket.Ticket) *ticket.Ticket { return ticketWithGroup(t, edit) }
}

func defineLimit(l ticket.Limit) ticketEdit {
	return func(*ticket.Ticket) *ticket.Ticket { return ticketWithLimit(l) }
}

func removeObject(kind ticket.ObjectKind, name string) ticketEdit {
	return func(*ticket.Ticket) *ticket.Ticket { return ticketWithRemoval(kind, name) }
}

const millisecond = ticket.Duration(time.Millisecond)

var _ = DescribeTable("a faulty ticket is refused with exactly the expected faults",
	func(edit ticketEdit, want ...string) {
		rallyTicket, config := rallyConfiguration()
		next, faults := ticket.Apply(config, edit(rallyTicket))
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
	Entry("none", editClass(func(c *ticket.Class) { c.Tier = 2 })),
	Entry("seconds written for milliseconds", editClass(func(c *ticket.Class) { c.FirstTokenTarget = 490_000 * millisecond }), "class/stage-updates first_token_target"),
	Entry("seconds written for milliseconds between tokens", editClass(func(c *ticket.Class) { c.BetweenTokensTarget = 77_000 * millisecond }), "class/stage-updates between_tokens_target"),
	Entry("target below a millisecond", editClass(func(c *ticket.Class) { c.FirstTokenTarget = millisecond / 2 }), "class/stage-updates first_token_target"),
	Entry("no target", editClass(func(c *ticket.Class) { c.FirstTokenTarget = 0 }), "class/stage-updates first_token_target"),
	Entry("negative deadline", editClass(func(c *ticket.Class) { c.Deadline = -millisecond }), "class/stage-updates deadline"),
	Entry("targets swapped", editClass(func(c *ticket.Class) { c.FirstTokenTarget, c.BetweenTokensTarget = 77*millisecond, 490*millisecond }), "class/stage-updates between_tokens_target"),
	Entry("patience under target", editClass(func(c *ticket.Class) { c.Patience = 100 * millisecond }), "class/stage-updates patience"),
	Entry("deadline under patience", editClass(func(c *ticket.Class) { c.Deadline = c.Patience }), "class/stage-updates deadline"),
	Entry("tier 0", editClass(func(c *ticket.Class) { c.Tier = 0 }), "class/stage-updates tier"),
	Entry("tier 7", editClass(func(c *ticket.Class) { c.Tier = 7 }), "class/stage-updates tier"),
	Entry("class names that differ in letter case", editClass(func(c *ticket.Class) { c.Name = "Questions" }), "class/Questions name", "class/questions name"),
	Entry("model names that differ in letter case", func(*ticket.Ticket) *ticket.Ticket {
		return &ticket.Ticket{Number: 2, Author: "desk", AllowStranding: true, Models: []ticket.Model{{Name: "Rally-Text", MaxOutputTokens: 1}}}
	}, "model/rally-text name"),
	Entry("name with a slash", editClass(func(c *ticket.Class) { c.Name = "a/../b" }), "class/a/../b name"),
	Entry("name too long", editClass(func(c *ticket.Class) { c.Name = strings.Repeat("a", 64) }), "class/"+strings.Repeat("a", 64)+" name"),
	Entry("no name", editClass(func(c *ticket.Class) { c.Name = "" }), "class/ name"),
	Entry("all classes in tier 1", func(t *ticket.Ticket) *ticket.Ticket {
		all := &ticket.Ticket{Number: 2, Author: "desk"}
		for _, c := range t.Classes {
			c.Tier = 1
			all.Classes = append(all.Classes, c)
		}
		return all
	}, "ticket class.tier"),
	Entry("unknown class", editWorkspace(func(w *ticket.Workspace) { w.Classes = append(w.Classes[:len(w.Classes):len(w.Classes)], "bokings") }), "workspace/marshals classes"),
	Entry("default class missing", editWorkspace(func(w *ticket.Workspace) { w.DefaultClass = "" }), "workspace/marshals default_class"),
	Entry("default class not allowed for the workspace", editWorkspace(func(w *ticket.Workspace) { w.Classes = []string{"bookings"} }), "workspace/marshals default_class"),
	Entry("class listed twice", editWorkspace(func(w *ticket.Workspace) { w.Classes = append(w.Classes[:len(w.Classes):len(w.Classes)], "bookings") }), "workspace/marshals classes"),
	Entry("workspaces without the class of a service", editWorkspace(func(w *ticket.Workspace) { w.Classes = []string{"stage-updates"} }), "service/entries class"),
	Entry("unknown limit", editWorkspace(func(w *ticket.Workspace) { w.Limit = "larg" }), "workspace/marshals limit"),
	Entry("share 0", editWorkspace(func(w *ticket.Workspace) { w.Share = 0 }), "workspace/marshals share"),
	Entry("no key", editWorkspace(func(w *ticket.Workspace) { w.KeyHashes = nil }), "workspace/marshals key_hashes"),
	Entry("key instead of its hash", editWorkspace(func(w *ticket.Workspace) { w.KeyHashes = []string{"demo-marshals-key"} }), "workspace/marshals key_hashes[0]"),
	Entry("hash in capitals", editWorkspace(func(w *ticket.Workspace) { w.KeyHashes = []string{strings.ToUpper(w.KeyHashes[0])} }), "workspace/marshals key_hashes[0]"),
	Entry("hash of an empty key", editWorkspace(func(w *ticket.Workspace) {
		w.KeyHashes = []string{"e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855"}
	}), "workspace/marshals key_hashes[0]"),
	Entry("key hash twice", editWorkspace(func(w *ticket.Workspace) { w.KeyHashes = []string{w.KeyHashes[0], w.KeyHashes[0]} }), "workspace/marshals key_hashes[1]"),
	Entry("key of another workspace", func(t *ticket.Ticket) *ticket.Ticket {
		return ticketWithWorkspace(t, func(w *ticket.Workspace) { w.KeyHashes = t.Workspaces[1].KeyHashes })
	}, "workspace/riders key_hashes[0]"),
	Entry("group of an unknown workspace", editGroup(func(g *ticket.EndpointGroup) { g.Workspaces = []string{"marshal"} }),
		"endpoint_group/rally-text workspaces", "model/rally-text"),
	Entry("wildcard and names", editGroup(func(g *ticket.EndpointGroup) { g.Workspaces = []string{"*", "talca"} }), "endpoint_group/rally-text workspaces"),
	Entry("group without models and services", editGroup(func(g *ticket.EndpointGroup) { g.Models = nil }), "endpoint_group/rally-text models", "model/rally-text", "model/rally-text"),
	Entry("group without workspaces", editGroup(func(g *ticket.EndpointGroup) { g.Workspaces = nil }),
		"endpoint_group/rally-text workspaces", "model/rally-text"),
	Entry("unknown model", editGroup(func(g *ticket.EndpointGroup) { g.Models = append([]string{"rally-txt"}, g.Models...) }), "endpoint_group/rally-text models"),
	Entry("last group of a model", removeObject(ticket.KindEndpointGroup, "rally-text"), "model/rally-text", "model/rally-text"),
	Entry("workspace without a group", func(t *ticket.Ticket) *ticket.Ticket {
		tkt := &ticket.Ticket{Number: 2, Author: "desk", AllowStranding: true}
		for _, g := range t.EndpointGroups {
			g.Workspaces = []string{"marshals", "riders", "secretaries", "santiago", "rancagua", "talca", "concepcion", "temuco", "valdivia"}
			tkt.EndpointGroups = append(tkt.EndpointGroups, g)
		}
		return tkt
	}, "workspace/puerto-montt"),
	Entry("class in use", removeObject(ticket.KindClass, "summaries"), "class/summaries",
		"workspace/marshals classes", "workspace/riders classes", "workspace/secretaries classes", "workspace/santiago classes",
		"workspace/rancagua classes", "workspace/talca classes", "workspace/concepcion classes", "workspace/temuco classes",
		"workspace/valdivia classes", "workspace/puerto-montt classes"),
	Entry("model in use", removeObject(ticket.KindModel, "rally-text"), "endpoint_group/rally-text models"),
	Entry("removal of an unknown object", removeObject(ticket.KindLimit, "larg"), "limit/larg"),
	Entry("removal of an unknown kind", removeObject("clas", "bookings"), "remove/bookings kind"),
	Entry("limit without bounds", defineLimit(ticket.Limit{Name: "club"}), "limit/club"),
	Entry("negative limit", defineLimit(ticket.Limit{Name: "club", Concurrency: -1}), "limit/club concurrency"),
	Entry("no maximum output length", func(*ticket.Ticket) *ticket.Ticket {
		return &ticket.Ticket{Number: 2, Author: "desk", Models: []ticket.Model{{Name: "rally-text"}}}
	}, "model/rally-text max_output_tokens"),
	Entry("defined twice", func(t *ticket.Ticket) *ticket.Ticket {
		return &ticket.Ticket{Number: 2, Author: "desk", Limits: []ticket.Limit{t.Limits[0], t.Limits[0]}}
	}, "limit/large"),
	Entry("defined and removed", func(t *ticket.Ticket) *ticket.Ticket {
		tkt := ticketWithRemoval(ticket.KindLimit, "large")
		tkt.Limits = t.Limits[:1]
		return tkt
	}, "limit/large", "workspace/marshals limit", "workspace/riders limit", "workspace/secretaries limit"),
	Entry("no change and no author", func(*ticket.Ticket) *ticket.Ticket { return &ticket.Ticket{Number: 2} }, "ticket", "ticket author"),
	Entry("control characters", func(*ticket.Ticket) *ticket.Ticket {
		tkt := ticketWithLimit(ticket.Limit{Name: "club", Concurrency: 9})
		tkt.Summary = "a\nb"
		return tkt
	}, "ticket summary"),
)

var _ = DescribeTable("the error for a malformed ticket file names every problem",
	func(text string, want ...string) {
		_, err := ticket.DecodeTOML([]byte(text))
		for _, w := range want {
			Expect(err).To(MatchError(ContainSubstring(w)))
		}
	},
	Entry("unknown keys", "nmber = 1\n[[class]]\npatiense = \"1s\"\n[[limit]]\nconcurency = 3\n",
		"nmber; did you mean number?", "class.patiense; did you mean patience?", "limit.concurency; did you mean concurrency?"),
	Entry("values of another type", "[[class]]\ntier = \"1\"\n[[workspace]]\nshare = 1.5\n", "[[class]]", "[[workspace]]"),
	Entry("invalid TOML syntax", "number = = 1", "line 1"),
)

var _ = It("reports durations without a unit and an explicit 0 together with other faults", func() {
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
	decoded, err := ticket.Decode(encoded)
	Expect(err).NotTo(HaveOccurred())
	_, config := rallyConfiguration()
	_, faults := ticket.Apply(config, decoded)
	var got []string
	for _, f := range faults {
		got = append(got, f.Object+" "+f.Field)
	}
	Expect(got).To(Equal([]string{
		"class/stage-updates deadline", "class/stage-updates first_token_target", "class/stage-updates patience",
		"limit/club concurrency",
	}))
})
