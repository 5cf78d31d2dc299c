package ticket_test

import (
	"crypto/sha256"
	"encoding/json"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// drawTicket makes a small ticket, good or faulty, over few names so that
// tickets touch one another.
func drawTicket(t *rapid.T, number uint64) *ticket.Ticket {
	names := []string{"a", "b", "c"}
	name := rapid.SampledFrom(names)
	n := &ticket.Ticket{Number: number, Author: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "author"),
		AllowStranding: rapid.Bool().Draw(t, "stranding")}
	for _, c := range names[:rapid.IntRange(0, 3).Draw(t, "classes")] {
		n.Classes = append(n.Classes, ticket.Class{Name: c, Tier: ticket.Tier(rapid.IntRange(1, 6).Draw(t, "tier")),
			FirstTokenTarget: 490 * ms, Patience: ticket.Duration(rapid.IntRange(480, 900).Draw(t, "patience")) * ms, Deadline: 9000 * ms})
	}
	if rapid.Bool().Draw(t, "group") {
		n.Models = []ticket.Model{{Name: "m", MaxOutputTokens: 10}}
		n.EndpointGroups = []ticket.EndpointGroup{{Name: "g", Workspaces: []string{"*"}, Models: []string{"m"}}}
	}
	if rapid.IntRange(0, 3).Draw(t, "workspaces") == 0 {
		w := name.Draw(t, "workspace name")
		c := name.Draw(t, "workspace class")
		hash := json.Number(w).String()
		for len(hash) < 64 {
			hash += "0"
		}
		n.Workspaces = []ticket.Workspace{{Name: w, KeyHashes: []string{hash}, Classes: []string{c}, DefaultClass: c, Share: 1}}
	}
	if rapid.IntRange(0, 7).Draw(t, "removes") == 0 {
		n.Removals = []ticket.Removal{{Kind: rapid.SampledFrom([]ticket.Kind{ticket.KindClass, ticket.KindWorkspace, ticket.KindEndpointGroup}).Draw(t, "kind"), Name: name.Draw(t, "removed")}}
	}
	return n
}

func mustEncode(t interface{ Fatal(...any) }, n *ticket.Ticket) []byte {
	encoded, err := ticket.Encode(n)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func stateText(t interface{ Fatal(...any) }, s *ticket.State) string {
	text, err := ticket.EncodeState(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestApplyNeverChangesItsInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state := ticket.NewState()
		for number := range uint64(rapid.IntRange(1, 12).Draw(t, "tickets")) {
			n := drawTicket(t, number+1)
			before, encoded := stateText(t, state), mustEncode(t, n)
			next, faults := ticket.Apply(state, n)
			if stateText(t, state) != before || string(mustEncode(t, n)) != string(encoded) {
				t.Fatal("the input was changed")
			}
			if (next == nil) != (len(faults) > 0) {
				t.Fatal("neither accepted nor refused as a whole")
			}
			if next != nil {
				state = next
			}
		}
	})
}

// sent is a ticket that some operator holds and may send again at any time.
type sent struct {
	number  uint64
	encoded []byte
	first   *ticket.Verdict // the first answer to it
}

func TestOneVerdictPerNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := ticket.NewBook()
		var held []*sent
		owner := map[uint64]*sent{} // who decided each number
		replayed := map[uint64]string{0: stateText(t, book.State())}
		newTicket := func(t *rapid.T) {
			number := rapid.Uint64Range(1, 40).Draw(t, "number")
			held = append(held, &sent{number: number, encoded: mustEncode(t, drawTicket(t, number))})
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": newTicket,
			"send": func(t *rapid.T) {
				if len(held) == 0 {
					newTicket(t)
				}
				s := rapid.SampledFrom(held).Draw(t, "ticket")
				before := book.State()
				checked := book.Check(s.encoded).Verdict
				v := book.Submit(s.encoded, 7)
				if checked.Kind != v.Kind || checked.Repeated != v.Repeated {
					t.Fatalf("check said %v, submit %v", checked, v)
				}
				checkVerdict(t, s, v, owner, before, book)
				replayed[book.State().Revision] = stateText(t, book.State())
			},
			"snapshot": func(t *rapid.T) {
				image, err := book.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored, err := ticket.RestoreBook(image)
				if err != nil {
					t.Fatal(err)
				}
				again, err := restored.Snapshot()
				if err != nil || string(again) != string(image) {
					t.Fatal("a restored book differs")
				}
				book = restored
			},
			"follow": func(t *rapid.T) {
				from := rapid.Uint64Range(0, book.State().Revision).Draw(t, "revision")
				followFrom(t, book, from, replayed)
			},
		})
	})
}

func checkVerdict(t *rapid.T, s *sent, v ticket.Verdict, owner map[uint64]*sent, before *ticket.State, book *ticket.Book) {
	accepted := v.Kind == pb.Verdict_VERDICT_ACCEPTED && !v.Repeated
	if !accepted && book.State() != before {
		t.Fatal("a ticket that was not accepted changed the configuration")
	}
	if accepted && (book.State().Revision != before.Revision+1 || s.number <= before.LastNumber) {
		t.Fatal("revision or number went back")
	}
	decided := v.Kind == pb.Verdict_VERDICT_ACCEPTED || v.Kind == pb.Verdict_VERDICT_REFUSED
	first := owner[s.number]
	switch {
	case decided && !v.Repeated && first != nil:
		t.Fatalf("number %d was decided twice", s.number)
	case decided && !v.Repeated:
		owner[s.number], s.first = s, &v
	case decided:
		if sha256.Sum256(first.encoded) != sha256.Sum256(s.encoded) {
			t.Fatal("the verdict of another content was given")
		}
		if first.first.Kind != v.Kind || first.first.Revision != v.Revision || len(first.first.Faults) != len(v.Faults) {
			t.Fatal("the first verdict was not repeated")
		}
	case v.Kind == pb.Verdict_VERDICT_CONFLICT:
		if first == nil || string(first.encoded) == string(s.encoded) {
			t.Fatal("a conflict without another content")
		}
	case v.Kind == pb.Verdict_VERDICT_STALE:
		if first != nil || s.number > v.LastNumber {
			t.Fatal("a stale answer to a number that is known or ahead")
		}
	}
}

// followFrom applies the log after a revision and compares each step.
func followFrom(t *rapid.T, book *ticket.Book, from uint64, want map[uint64]string) {
	entries, ok := book.Since(from)
	if !ok || uint64(len(entries)) != book.State().Revision-from {
		t.Fatal("the log has a gap")
	}
	state, err := ticket.DecodeState([]byte(want[from]))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		n, err := ticket.Decode(e.Ticket)
		if err != nil {
			t.Fatal(err)
		}
		state = ticket.Replay(state, n)
		if state.Revision != e.Revision || stateText(t, state) != want[e.Revision] {
			t.Fatal("a follower differs")
		}
	}
}

var _ = Describe("Book", func() {
	It("repeats a verdict after hundreds of later tickets and a restart, and bounds its log", func() {
		book := ticket.NewBook()
		first := example("association/ticket-001.toml")
		refused := mustEncode(GinkgoT(), limit(ticket.Limit{Name: "empty"}))
		Expect(book.Submit(first, 1).Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
		Expect(book.Submit(refused, 1).Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
		for number := uint64(3); number < 803; number++ {
			n := limit(ticket.Limit{Name: "member", Concurrency: int(number)})
			n.Number = number
			Expect(book.Submit(mustEncode(GinkgoT(), n), int64(number)).Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
		}
		image, err := book.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		book, err = ticket.RestoreBook(image)
		Expect(err).NotTo(HaveOccurred())

		again := book.Submit(first, 9)
		Expect(again).To(Equal(ticket.Verdict{Kind: pb.Verdict_VERDICT_ACCEPTED, Revision: 1, Repeated: true, LastNumber: 802, NextNumber: 803}))
		again = book.Submit(refused, 9)
		Expect(again.Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Faults).To(HaveLen(1))
		Expect(book.State().Revision).To(BeEquivalentTo(801))

		_, ok := book.Since(1)
		Expect(ok).To(BeFalse(), "older than the kept log")
		entries, ok := book.Since(800)
		Expect(ok).To(BeTrue())
		Expect(entries).To(HaveLen(1))
		_, ok = book.Since(900)
		Expect(ok).To(BeFalse(), "newer than the book")
		Expect(book.History(790, 5)).To(HaveLen(5))
	})

	It("refuses a number far ahead, and a ticket without a usable number leaves no trace", func() {
		book := ticket.NewBook()
		book.Submit(example("rally/ticket-001.toml"), 1)
		n := limit(ticket.Limit{Name: "club", Concurrency: 5})
		n.Number = 20_261_203
		v := book.Submit(mustEncode(GinkgoT(), n), 1)
		Expect(v.Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
		Expect(v.Faults[0].Remedy).To(Equal("use 2"))
		n.Number = 0
		for _, encoded := range [][]byte{mustEncode(GinkgoT(), n), []byte("{"), nil, make([]byte, ticket.MaxEncodedBytes+1)} {
			v = book.Submit(encoded, 1)
			Expect(v.Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
			Expect(v.Repeated).To(BeFalse())
			Expect(v.NextNumber).To(BeEquivalentTo(2))
		}
	})

	DescribeTable("refuses a snapshot that is torn or foreign", func(image string) {
		_, err := ticket.RestoreBook([]byte(image))
		Expect(err).To(HaveOccurred())
	},
		Entry("empty", ""),
		Entry("torn", `{"state":{"revision":1`),
		Entry("no configuration", `{"state":null}`),
		Entry("unknown field", `{"state":{},"other":1}`),
		Entry("more data", `{"state":{}}{}`),
		Entry("bad digest", `{"state":{},"decisions":[{"n":1,"d":"zz","k":1}]}`),
	)
})
