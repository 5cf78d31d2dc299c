package ticket_test

import (
	"crypto/sha256"
	"encoding/hex"
	"runtime"
	"strconv"
	"testing"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const manyWorkspaces = 1_500

// largeTicket has 1,500 workspaces, 5 models, 6 classes and 20 endpoint groups.
func largeTicket(faulty bool) *ticket.Ticket {
	n := &ticket.Ticket{Number: 1, Author: "desk", Summary: "everything"}
	var classes []string
	for i := range 6 {
		name := "class-" + strconv.Itoa(i)
		classes = append(classes, name)
		n.Classes = append(n.Classes, ticket.Class{Name: name, Tier: ticket.Tier(i + 1),
			FirstTokenTarget: 490 * ms, BetweenTokensTarget: 77 * ms, Patience: 4000 * ms, Deadline: 30000 * ms})
	}
	if faulty {
		classes = []string{"class-1", "clas-2", "clas-3"}
	}
	for i := range manyWorkspaces {
		n.Workspaces = append(n.Workspaces, largeWorkspace(i, 1, classes))
	}
	for i := range 5 {
		n.Models = append(n.Models, ticket.Model{Name: "model-" + strconv.Itoa(i), MaxOutputTokens: 4096})
	}
	for i := range 20 {
		n.EndpointGroups = append(n.EndpointGroups, ticket.EndpointGroup{Name: "group-" + strconv.Itoa(i),
			Workspaces: []string{"*"}, Models: []string{"model-" + strconv.Itoa(i%5)}})
	}
	return n
}

func largeWorkspace(i, share int, classes []string) ticket.Workspace {
	name := "workspace-" + strconv.Itoa(i)
	sum := sha256.Sum256([]byte(name))
	return ticket.Workspace{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}, Classes: classes, DefaultClass: classes[0], Share: share}
}

// BenchmarkSubmitLarge decides one ticket with 1,500 workspaces.
func BenchmarkSubmitLarge(b *testing.B) {
	for name, faulty := range map[string]bool{"accepted": false, "refused": true} {
		b.Run(name, func(b *testing.B) {
			encoded := mustEncode(b, largeTicket(faulty))
			var v ticket.Verdict
			for b.Loop() {
				v = ticket.NewBook().Submit(encoded, 1)
			}
			if (v.Kind == pb.Verdict_VERDICT_REFUSED) != faulty {
				b.Fatal(v.Kind, v.Faults)
			}
			b.ReportMetric(float64(len(encoded)), "ticket-bytes")
			b.ReportMetric(float64(len(v.Faults)), "faults")
		})
	}
}

// BenchmarkSubmitSmall decides a ticket that changes one of 1,500 workspaces.
func BenchmarkSubmitSmall(b *testing.B) {
	book := ticket.NewBook()
	book.Submit(mustEncode(b, largeTicket(false)), 1)
	number := uint64(1)
	for b.Loop() {
		number++
		n := &ticket.Ticket{Number: number, Author: "desk",
			Workspaces: []ticket.Workspace{largeWorkspace(7, 1+int(number%9), []string{"class-1"})}}
		if v := book.Submit(mustEncode(b, n), 1); v.Kind != pb.Verdict_VERDICT_ACCEPTED {
			b.Fatal(v)
		}
	}
}

// BenchmarkBookDays decides tickets that each change one of 1,500 workspaces
// and reports what the book then holds.
func BenchmarkBookDays(b *testing.B) {
	for _, tickets := range []int{0, 1_000, 3_400} {
		b.Run(strconv.Itoa(tickets)+"-tickets", func(b *testing.B) {
			for b.Loop() {
				measureBook(b, tickets)
			}
		})
	}
}

func measureBook(b *testing.B, tickets int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	book := ticket.NewBook()
	large := largeTicket(false)
	book.Submit(mustEncode(b, large), 1)
	for i := range tickets {
		n := &ticket.Ticket{Number: uint64(i + 2), Author: "desk", Summary: "change the share of one workspace",
			Workspaces: []ticket.Workspace{largeWorkspace(i%manyWorkspaces, 1+i%9, []string{"class-1", "class-2"})}}
		if v := book.Submit(mustEncode(b, n), 1); v.Kind != pb.Verdict_VERDICT_ACCEPTED {
			b.Fatal(v)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	image, err := book.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	state, err := ticket.EncodeState(book.State())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-bytes")
	b.ReportMetric(float64(len(image)), "snapshot-bytes")
	b.ReportMetric(float64(len(state)), "state-bytes")
	runtime.KeepAlive(book)
}

// BenchmarkRestore reads a snapshot after 1,000 tickets.
func BenchmarkRestore(b *testing.B) {
	book := ticket.NewBook()
	book.Submit(mustEncode(b, largeTicket(false)), 1)
	for i := range 1_000 {
		n := limit(ticket.Limit{Name: "l", Concurrency: i + 1})
		n.Number = uint64(i + 2)
		book.Submit(mustEncode(b, n), 1)
	}
	image, err := book.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := ticket.RestoreBook(image); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(image)), "snapshot-bytes")
}

// BenchmarkBookFull fills every bounded table of a book over a small
// configuration.
func BenchmarkBookFull(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		book := ticket.NewBook()
		for i := range 40_000 {
			n := &ticket.Ticket{Number: uint64(i + 1), Author: "desk", Summary: "change the limit of one workspace",
				Limits: []ticket.Limit{{Name: "l", Concurrency: i + 1}}}
			book.Submit(mustEncode(b, n), 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		image, err := book.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-bytes")
		b.ReportMetric(float64(len(image)), "snapshot-bytes")
	}
}

// BenchmarkReplaySmall applies an accepted ticket at a subscriber.
func BenchmarkReplaySmall(b *testing.B) {
	state, faults := ticket.Apply(ticket.NewState(), largeTicket(false))
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	n := &ticket.Ticket{Number: 2, Author: "desk", Workspaces: []ticket.Workspace{largeWorkspace(7, 3, []string{"class-1"})}}
	b.Run("replay", func(b *testing.B) {
		for b.Loop() {
			ticket.Replay(state, n)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			ticket.Apply(state, n)
		}
	})
}
