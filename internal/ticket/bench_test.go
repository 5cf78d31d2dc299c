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

const initialWorkspaces = 1_500

// initialTicket defines 1,500 workspaces, 5 models, 6 classes and 20 endpoint
// groups. If faulty, its workspaces refer to classes that do not exist.
func initialTicket(faulty bool) *ticket.Ticket {
	tkt := &ticket.Ticket{Number: 1, Author: "desk", Summary: "everything"}
	var classes []string
	for i := range 6 {
		name := "class-" + strconv.Itoa(i)
		classes = append(classes, name)
		tkt.Classes = append(tkt.Classes, ticket.Class{Name: name, Tier: ticket.Tier(i + 1),
			FirstTokenTarget: 490 * millisecond, BetweenTokensTarget: 77 * millisecond, Patience: 4000 * millisecond, Deadline: 30000 * millisecond})
	}
	if faulty {
		classes = []string{"class-1", "clas-2", "clas-3"}
	}
	for i := range initialWorkspaces {
		tkt.Workspaces = append(tkt.Workspaces, numberedWorkspace(i, 1, classes))
	}
	for i := range 5 {
		tkt.Models = append(tkt.Models, ticket.Model{Name: "model-" + strconv.Itoa(i), MaxOutputTokens: 4096})
	}
	for i := range 20 {
		tkt.EndpointGroups = append(tkt.EndpointGroups, ticket.EndpointGroup{Name: "group-" + strconv.Itoa(i),
			Workspaces: []string{"*"}, Models: []string{"model-" + strconv.Itoa(i%5)}})
	}
	return tkt
}

func numberedWorkspace(i, share int, classes []string) ticket.Workspace {
	name := "workspace-" + strconv.Itoa(i)
	sum := sha256.Sum256([]byte(name))
	return ticket.Workspace{Name: name, KeyHashes: []string{hex.EncodeToString(sum[:])}, Classes: classes, DefaultClass: classes[0], Share: share}
}

// BenchmarkSubmitInitialConfiguration submits a ticket with 1,500 workspaces.
func BenchmarkSubmitInitialConfiguration(b *testing.B) {
	for name, faulty := range map[string]bool{"accepted": false, "refused": true} {
		b.Run(name, func(b *testing.B) {
			encoded := mustEncode(b, initialTicket(faulty))
			var v ticket.Verdict
			for b.Loop() {
				v = ticket.NewStore().Submit(encoded, 1)
			}
			if (v.Kind == pb.Verdict_VERDICT_REFUSED) != faulty {
				b.Fatal(v.Kind, v.Faults)
			}
			b.ReportMetric(float64(len(encoded)), "ticket-bytes")
			b.ReportMetric(float64(len(v.Faults)), "faults")
		})
	}
}

// BenchmarkSubmitOneWorkspace submits tickets that each change one of 1,500
// workspaces.
func BenchmarkSubmitOneWorkspace(b *testing.B) {
	store := ticket.NewStore()
	store.Submit(mustEncode(b, initialTicket(false)), 1)
	number := uint64(1)
	for b.Loop() {
		number++
		tkt := &ticket.Ticket{Number: number, Author: "desk",
			Workspaces: []ticket.Workspace{numberedWorkspace(7, 1+int(number%9), []string{"class-1"})}}
		if v := store.Submit(mustEncode(b, tkt), 1); v.Kind != pb.Verdict_VERDICT_ACCEPTED {
			b.Fatal(v)
		}
	}
}

// BenchmarkStoreAfterTickets submits tickets that each change one of 1,500
// workspaces and reports the size of the store after them.
func BenchmarkStoreAfterTickets(b *testing.B) {
	for _, tickets := range []int{0, 1_000, 3_400} {
		b.Run(strconv.Itoa(tickets)+"-tickets", func(b *testing.B) {
			for b.Loop() {
				measureStore(b, tickets)
			}
		})
	}
}

func measureStore(b *testing.B, tickets int) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	store := ticket.NewStore()
	large := initialTicket(false)
	store.Submit(mustEncode(b, large), 1)
	for i := range tickets {
		tkt := &ticket.Ticket{Number: uint64(i + 2), Author: "desk", Summary: "change the share of one workspace",
			Workspaces: []ticket.Workspace{numberedWorkspace(i%initialWorkspaces, 1+i%9, []string{"class-1", "class-2"})}}
		if v := store.Submit(mustEncode(b, tkt), 1); v.Kind != pb.Verdict_VERDICT_ACCEPTED {
			b.Fatal(v)
		}
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	snapshot, err := store.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	encodedConfig, err := ticket.EncodeConfiguration(store.Configuration())
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-bytes")
	b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
	b.ReportMetric(float64(len(encodedConfig)), "configuration-bytes")
	runtime.KeepAlive(store)
}

// BenchmarkRestore restores a snapshot taken after 1,000 tickets.
func BenchmarkRestore(b *testing.B) {
	store := ticket.NewStore()
	store.Submit(mustEncode(b, initialTicket(false)), 1)
	for i := range 1_000 {
		tkt := ticketWithLimit(ticket.Limit{Name: "l", Concurrency: i + 1})
		tkt.Number = uint64(i + 2)
		store.Submit(mustEncode(b, tkt), 1)
	}
	snapshot, err := store.Snapshot()
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := ticket.RestoreStore(snapshot); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
}

// BenchmarkBookFull fills the bounded tables of a store, with a small
// configuration, and reports its size.
func BenchmarkBookFull(b *testing.B) {
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		store := ticket.NewStore()
		for i := range 40_000 {
			tkt := &ticket.Ticket{Number: uint64(i + 1), Author: "desk", Summary: "change the limit of one workspace",
				Limits: []ticket.Limit{{Name: "l", Concurrency: i + 1}}}
			store.Submit(mustEncode(b, tkt), 1)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		snapshot, err := store.Snapshot()
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc)), "heap-bytes")
		b.ReportMetric(float64(len(snapshot)), "snapshot-bytes")
	}
}

// BenchmarkReplayOneWorkspace compares Replay, which subscribers use for accepted
// tickets, with Apply.
func BenchmarkReplayOneWorkspace(b *testing.B) {
	config, faults := ticket.Apply(ticket.NewConfiguration(), initialTicket(false))
	if len(faults) > 0 {
		b.Fatal(faults)
	}
	tkt := &ticket.Ticket{Number: 2, Author: "desk", Workspaces: []ticket.Workspace{numberedWorkspace(7, 3, []string{"class-1"})}}
	b.Run("replay", func(b *testing.B) {
		for b.Loop() {
			ticket.Replay(config, tkt)
		}
	})
	b.Run("apply", func(b *testing.B) {
		for b.Loop() {
			ticket.Apply(config, tkt)
		}
	})
}
