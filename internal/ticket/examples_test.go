package ticket_test

import (
	"os"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// encodedExample reads a ticket file of examples/ and encodes it.
func encodedExample(path string) []byte {
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
		verdict := ticket.NewStore().Submit(encodedExample(path), 1)
		Expect(verdict.Faults).To(BeEmpty())
		Expect(verdict.Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
		Expect(verdict.Revision).To(BeEquivalentTo(1))
	},
		Entry("rally", "rally/ticket-001.toml"),
		Entry("association", "association/ticket-001.toml"),
	)

	It("list every fault when refused, and change nothing", func() {
		store := ticket.NewStore()
		store.Submit(encodedExample("rally/ticket-001.toml"), 1)
		before := store.Configuration()

		verdict := store.Submit(encodedExample("rally/ticket-002-refused.toml"), 2)

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
		Expect(store.Configuration()).To(BeIdenticalTo(before))
	})
})

// documentedTickets returns the ticket files shown in docs/TICKETS.md, in order.
func documentedTickets() []string {
	GinkgoHelper()
	page, err := os.ReadFile("../../docs/TICKETS.md")
	Expect(err).NotTo(HaveOccurred())
	hashes := strings.NewReplacer("<the hash in force>", strings.Repeat("a", 64), "<the new hash>", strings.Repeat("b", 64))
	var tickets []string
	inTicket := false
	for line := range strings.Lines(string(page)) {
		content, indented := strings.CutPrefix(line, "    ")
		switch {
		case strings.HasPrefix(content, "number = ") && indented:
			inTicket, tickets = true, append(tickets, content)
		case inTicket && (indented || line == "\n"):
			tickets[len(tickets)-1] += hashes.Replace(content)
		default:
			inTicket = false
		}
	}
	return tickets
}

var _ = It("accepts the tickets of docs/TICKETS.md in order", func() {
	store := ticket.NewStore()
	store.Submit(encodedExample("rally/ticket-001.toml"), 1)
	texts := documentedTickets()
	Expect(texts).To(HaveLen(2))
	for _, text := range texts {
		t, err := ticket.DecodeTOML([]byte(text))
		Expect(err).NotTo(HaveOccurred())
		t.Author = "rally-desk"
		verdict := store.Submit(mustEncode(GinkgoT(), t), 2)
		Expect(verdict.Faults).To(BeEmpty())
		Expect(verdict.Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
	}
	Expect(store.Configuration().Models).To(BeEmpty())
	Expect(store.Configuration().Workspaces["talca"].KeyHashes).To(HaveLen(2))
})
