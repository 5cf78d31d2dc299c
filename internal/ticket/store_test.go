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

// drawTicket draws a small ticket, valid or faulty. It uses few names, so that
// tickets often change the same objects.
func drawTicket(t *rapid.T, number uint64) *ticket.Ticket {
	names := []string{"a", "b", "c"}
	name := rapid.SampledFrom(names)
	tkt := &ticket.Ticket{Number: number, Author: rapid.SampledFrom([]string{"x", "y"}).Draw(t, "author"),
		AllowStranding: rapid.Bool().Draw(t, "stranding")}
	for _, c := range names[:rapid.IntRange(0, 3).Draw(t, "classes")] {
		tkt.Classes = append(tkt.Classes, ticket.Class{Name: c, Tier: ticket.Tier(rapid.IntRange(1, 6).Draw(t, "tier")),
			FirstTokenTarget: 490 * millisecond, Patience: ticket.Duration(rapid.IntRange(480, 900).Draw(t, "patience")) * millisecond, Deadline: 9000 * millisecond})
	}
	if rapid.Bool().Draw(t, "group") {
		tkt.Models = []ticket.Model{{Name: "m", MaxOutputTokens: 10}}
		tkt.EndpointGroups = []ticket.EndpointGroup{{Name: "g", Workspaces: []string{"*"}, Models: []string{"m"}}}
	}
	if rapid.IntRange(0, 3).Draw(t, "workspaces") == 0 {
		w := name.Draw(t, "workspace name")
		c := name.Draw(t, "workspace class")
		hash := json.Number(w).String()
		for len(hash) < 64 {
			hash += "0"
		}
		tkt.Workspaces = []ticket.Workspace{{Name: w, KeyHashes: []string{hash}, Classes: []string{c}, DefaultClass: c, Share: 1}}
	}
	if rapid.IntRange(0, 7).Draw(t, "removes") == 0 {
		tkt.Removals = []ticket.Removal{{Kind: rapid.SampledFrom([]ticket.ObjectKind{ticket.KindClass, ticket.KindWorkspace, ticket.KindEndpointGroup}).Draw(t, "kind"), Name: name.Draw(t, "removed")}}
	}
	return tkt
}

func mustEncode(t interface{ Fatal(...any) }, tkt *ticket.Ticket) []byte {
	encoded, err := ticket.Encode(tkt)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func encodedConfiguration(t interface{ Fatal(...any) }, config *ticket.Configuration) string {
	text, err := ticket.EncodeConfiguration(config)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

func TestApplyNeverChangesItsInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := ticket.NewConfiguration()
		for number := range uint64(rapid.IntRange(1, 12).Draw(t, "tickets")) {
			tkt := drawTicket(t, number+1)
			before, encoded := encodedConfiguration(t, config), mustEncode(t, tkt)
			next, faults := ticket.Apply(config, tkt)
			if encodedConfiguration(t, config) != before || string(mustEncode(t, tkt)) != string(encoded) {
				t.Fatal("the input was changed")
			}
			if (next == nil) != (len(faults) > 0) {
				t.Fatal("neither accepted nor refused as a whole")
			}
			if next != nil {
				config = next
			}
		}
	})
}

// submission is a ticket that an operator may submit repeatedly.
type submission struct {
	number  uint64
	encoded []byte
	first   *ticket.Verdict // nil until the ticket has decided its number
}

func TestOneVerdictPerNumber(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := ticket.NewStore()
		var submissions []*submission
		firstByNumber := map[uint64]*submission{} // the ticket that decided each number
		configByRevision := map[uint64]string{0: encodedConfiguration(t, store.Configuration())}
		newTicket := func(t *rapid.T) {
			number := rapid.Uint64Range(1, 40).Draw(t, "number")
			submissions = append(submissions, &submission{number: number, encoded: mustEncode(t, drawTicket(t, number))})
		}
		t.Repeat(map[string]func(*rapid.T){
			"write": newTicket,
			"send": func(t *rapid.T) {
				if len(submissions) == 0 {
					newTicket(t)
				}
				s := rapid.SampledFrom(submissions).Draw(t, "ticket")
				before := store.Configuration()
				checked := store.Check(s.encoded).Verdict
				v := store.Submit(s.encoded, 7)
				if checked.Kind != v.Kind || checked.Repeated != v.Repeated {
					t.Fatalf("Check returned %v, Submit returned %v", checked, v)
				}
				checkVerdict(t, s, v, firstByNumber, before, store)
				configByRevision[store.Configuration().Revision] = encodedConfiguration(t, store.Configuration())
			},
			"snapshot": func(t *rapid.T) {
				snapshot, err := store.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				restored, err := ticket.RestoreStore(snapshot)
				if err != nil {
					t.Fatal(err)
				}
				again, err := restored.Snapshot()
				if err != nil || string(again) != string(snapshot) {
					t.Fatal("the snapshot of a restored store differs")
				}
				store = restored
			},
			"follow": func(t *rapid.T) {
				from := rapid.Uint64Range(0, store.Configuration().Revision).Draw(t, "revision")
				checkReplayFrom(t, store, from, configByRevision)
			},
		})
	})
}

func checkVerdict(t *rapid.T, s *submission, v ticket.Verdict, firstByNumber map[uint64]*submission, before *ticket.Configuration, store *ticket.Store) {
	accepted := v.Kind == pb.Verdict_VERDICT_ACCEPTED && !v.Repeated
	if !accepted && store.Configuration() != before {
		t.Fatal("a ticket that was not accepted changed the configuration")
	}
	if accepted && (store.Configuration().Revision != before.Revision+1 || s.number <= before.LastNumber) {
		t.Fatal("the revision or the last number did not increase")
	}
	decided := v.Kind == pb.Verdict_VERDICT_ACCEPTED || v.Kind == pb.Verdict_VERDICT_REFUSED
	first := firstByNumber[s.number]
	switch {
	case decided && !v.Repeated && first != nil:
		t.Fatalf("number %d was decided twice", s.number)
	case decided && !v.Repeated:
		firstByNumber[s.number], s.first = s, &v
	case decided:
		if sha256.Sum256(first.encoded) != sha256.Sum256(s.encoded) {
			t.Fatal("a ticket with different content got the recorded verdict")
		}
		if first.first.Kind != v.Kind || first.first.Revision != v.Revision || len(first.first.Faults) != len(v.Faults) {
			t.Fatal("the verdict differs from the recorded one")
		}
	case v.Kind == pb.Verdict_VERDICT_CONFLICT:
		if first == nil || string(first.encoded) == string(s.encoded) {
			t.Fatal("conflict, but no ticket with different content has decided the number")
		}
	case v.Kind == pb.Verdict_VERDICT_STALE:
		if first != nil || s.number > v.LastNumber {
			t.Fatal("stale, but the number is recorded or above the last accepted one")
		}
	}
}

// checkReplayFrom replays the log after a revision and compares the configuration
// at each revision.
func checkReplayFrom(t *rapid.T, store *ticket.Store, from uint64, want map[uint64]string) {
	entries, ok := store.EntriesAfter(from)
	if !ok || uint64(len(entries)) != store.Configuration().Revision-from {
		t.Fatal("the log has a gap")
	}
	config, err := ticket.DecodeConfiguration([]byte(want[from]))
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range entries {
		tkt, err := ticket.Decode(e.EncodedTicket)
		if err != nil {
			t.Fatal(err)
		}
		config = ticket.Replay(config, tkt)
		if config.Revision != e.Revision || encodedConfiguration(t, config) != want[e.Revision] {
			t.Fatal("the configuration differs after replay")
		}
	}
}

var _ = Describe("Store", func() {
	It("repeats a recorded verdict after 800 later tickets and a restore, and bounds its log", func() {
		store := ticket.NewStore()
		first := encodedExample("association/ticket-001.toml")
		refused := mustEncode(GinkgoT(), ticketWithLimit(ticket.Limit{Name: "empty"}))
		Expect(store.Submit(first, 1).Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
		Expect(store.Submit(refused, 1).Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
		for number := uint64(3); number < 803; number++ {
			tkt := ticketWithLimit(ticket.Limit{Name: "member", Concurrency: int(number)})
			tkt.Number = number
			Expect(store.Submit(mustEncode(GinkgoT(), tkt), int64(number)).Kind).To(Equal(pb.Verdict_VERDICT_ACCEPTED))
		}
		snapshot, err := store.Snapshot()
		Expect(err).NotTo(HaveOccurred())
		store, err = ticket.RestoreStore(snapshot)
		Expect(err).NotTo(HaveOccurred())

		again := store.Submit(first, 9)
		Expect(again).To(Equal(ticket.Verdict{Kind: pb.Verdict_VERDICT_ACCEPTED, Revision: 1, Repeated: true, LastNumber: 802, NextNumber: 803}))
		again = store.Submit(refused, 9)
		Expect(again.Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
		Expect(again.Repeated).To(BeTrue())
		Expect(again.Faults).To(HaveLen(1))
		Expect(store.Configuration().Revision).To(BeEquivalentTo(801))

		_, ok := store.EntriesAfter(1)
		Expect(ok).To(BeFalse(), "older than the log")
		entries, ok := store.EntriesAfter(800)
		Expect(ok).To(BeTrue())
		Expect(entries).To(HaveLen(1))
		_, ok = store.EntriesAfter(900)
		Expect(ok).To(BeFalse(), "revision not reached yet")
		Expect(store.History(790, 5)).To(HaveLen(5))
	})

	It("refuses a number far above the last one, and records nothing for a ticket without a valid number", func() {
		store := ticket.NewStore()
		store.Submit(encodedExample("rally/ticket-001.toml"), 1)
		tkt := ticketWithLimit(ticket.Limit{Name: "club", Concurrency: 5})
		tkt.Number = 20_261_203
		v := store.Submit(mustEncode(GinkgoT(), tkt), 1)
		Expect(v.Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
		Expect(v.Faults[0].Remedy).To(Equal("use 2"))
		tkt.Number = 0
		for _, encoded := range [][]byte{mustEncode(GinkgoT(), tkt), []byte("{"), nil, make([]byte, ticket.MaxEncodedBytes+1)} {
			v = store.Submit(encoded, 1)
			Expect(v.Kind).To(Equal(pb.Verdict_VERDICT_REFUSED))
			Expect(v.Repeated).To(BeFalse())
			Expect(v.NextNumber).To(BeEquivalentTo(2))
		}
	})

	DescribeTable("refuses a truncated or malformed snapshot", func(snapshot string) {
		_, err := ticket.RestoreStore([]byte(snapshot))
		Expect(err).To(HaveOccurred())
	},
		Entry("empty", ""),
		Entry("truncated", `{"state":{"revision":1`),
		Entry("no configuration", `{"state":null}`),
		Entry("unknown field", `{"state":{},"other":1}`),
		Entry("more data", `{"state":{}}{}`),
		Entry("bad digest", `{"state":{},"decisions":[{"n":1,"d":"zz","k":1}]}`),
	)
})
