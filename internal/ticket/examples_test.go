package ticket_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// example reads a ticket of examples/ in its encoded form.
func example(path string) []byte {
	GinkgoHelper()
	text, err := os.ReadFile("../../examples/" + path)
	Expect(err).NotTo(HaveOccurred())
	t, err := ticket.DecodeTOML(text)
	Expect(err).NotTo(HaveOccurred())
	encoded, err := ticket.Encode(t)
	Expect(err).NotTo(HaveOccurred())
	return encoded
}

var _ = Describe("the example tickets", func() {
	DescribeTable("of both deployments are accepted", func(path string) {
		verdict := ticket.NewBook().Submit(example(path), 1)
		Expect(verdict.Faults).To(BeEmpty())
		Expect(verdict.Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
		Expect(verdict.Revision).To(BeEquivalentTo(1))
	},
		Entry("rally", "rally/ticket-001.toml"),
		Entry("association", "association/ticket-001.toml"),
	)

	It("list every fault of a refused one and change nothing", func() {
		book := ticket.NewBook()
		book.Submit(example("rally/ticket-001.toml"), 1)
		before := book.State()

		verdict := book.Submit(example("rally/ticket-002-refused.toml"), 2)

		Expect(verdict.Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
		var found []string
		for _, f := range verdict.Faults {
			found = append(found, f.Object+" "+f.Field+": "+f.Remedy)
		}
		Expect(found).To(Equal([]string{
			"class/Bookings name: use lower-case letters, digits, '-', '_' and '.', and begin with a letter or a digit",
			"class/Bookings tier: use 1 (highest) to 6",
			"class/bookings name: use one spelling and remove the other",
			"class/stage-updates deadline: set it to more than 4s",
			"class/stage-updates first_token_target: use 5ms to 2m0s",
			"limit/club concurrency: use 1 to 1000000000, or leave the field out for no bound",
			"model/rally-text : add it to the models of an endpoint group, or set allow_stranding = true",
			"model/rally-text : keep one endpoint group that serves it to them, or set allow_stranding = true",
			"service/entries class: add the class to these workspaces, or leave class out so that each uses its default",
			"workspace/osorno classes: did you mean \"summaries\"?",
			"workspace/osorno default_class: name the class of requests that name none",
			"workspace/osorno key_hashes[0]: make a new key with `trefoilkeel keys new` and paste its hash",
			"workspace/osorno limit: did you mean \"club\"?",
			"workspace/osorno share: use 1 to 1000",
		}))
		Expect(book.State()).To(BeIdenticalTo(before))
	})
})

// pageTickets returns the tickets that docs/TICKETS.md shows, in order.
func pageTickets() []string {
	GinkgoHelper()
	page, err := os.ReadFile("../../docs/TICKETS.md")
	Expect(err).NotTo(HaveOccurred())
	hashes := strings.NewReplacer("<the hash in force>", strings.Repeat("a", 64), "<the new hash>", strings.Repeat("b", 64))
	var tickets []string
	open := false
	for line := range strings.Lines(string(page)) {
		text, indented := strings.CutPrefix(line, "    ")
		switch {
		case strings.HasPrefix(text, "number = ") && indented:
			open, tickets = true, append(tickets, text)
		case open && (indented || line == "\n"):
			tickets[len(tickets)-1] += hashes.Replace(text)
		default:
			open = false
		}
	}
	return tickets
}

var _ = It("accepts the tickets of docs/TICKETS.md one after the other", func() {
	book := ticket.NewBook()
	book.Submit(example("rally/ticket-001.toml"), 1)
	texts := pageTickets()
	Expect(texts).To(HaveLen(2))
	for _, text := range texts {
		t, err := ticket.DecodeTOML([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		t.Author = "rally-desk"
		verdict := book.Submit(mustEncode(GinkgoT(), t), 2)
		Expect(verdict.Faults).To(BeEmpty())
		Expect(verdict.Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
	}
	Expect(book.State().Models).To(BeEmpty())
	Expect(book.State().Workspaces["talca"].KeyHashes).To(HaveLen(2))
})
