package state_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	pb "github.com/trefoilkeel/trefoilkeel/gen/trefoilkeel/v1"
	"github.com/trefoilkeel/trefoilkeel/internal/state"
	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

// Replicas must stay identical, also when one is restored from a snapshot: after
// the same random commands, their results and their snapshots must be equal.
func TestReplicasAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		first, second := state.New(state.Options{}), state.New(state.Options{})
		for index := uint64(1); index <= 60; index++ {
			command, err := proto.Marshal(drawCommand(t))
			if err != nil {
				t.Fatal(err)
			}
			if string(first.Apply(index, command)) != string(second.Apply(index, command)) {
				t.Fatal("the results differ")
			}
			firstSnapshot, errFirst := first.Snapshot()
			secondSnapshot, errSecond := second.Snapshot()
			if errFirst != nil || errSecond != nil || string(firstSnapshot) != string(secondSnapshot) {
				t.Fatal("the states differ")
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				second = state.New(state.Options{})
				if err := second.Restore(firstSnapshot); err != nil {
					t.Fatal(err)
				}
			}
		}
	})
}

// stateCopy is a host's copy of the state, with what its data folder holds besides the log.
type stateCopy struct {
	machine       *state.Machine
	index         uint64 // of the last applied command
	snapshotIndex uint64
	snapshot      []byte
}

// reopen builds the state from the stored snapshot, as the opening of a data folder does.
func (c *stateCopy) reopen(t *rapid.T) {
	c.machine, c.index = state.New(state.Options{}), c.snapshotIndex
	if c.snapshotIndex > 0 {
		if err := c.machine.Restore(c.snapshot); err != nil {
			t.Fatal(err)
		}
	}
}

// Guards against copies of the state that differ at the same index, or answer a command differently,
// after any reopenings of data folders, snapshots and installed snapshots.
func TestCopiesAgreeHoweverTheyAreReopened(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		// The reference applies every command once and is never reopened.
		reference := state.New(state.Options{})
		commands, results, snapshots := [][]byte{nil}, [][]byte{nil}, [][]byte{nil}
		copies := []*stateCopy{{}, {}, {}}
		for _, c := range copies {
			c.reopen(t)
		}
		drawCopy := func(label string) *stateCopy {
			return copies[rapid.IntRange(0, len(copies)-1).Draw(t, label)]
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			c := drawCopy("copy")
			switch rapid.SampledFrom([]string{"propose", "propose", "propose", "apply", "apply", "snapshot", "install", "reopen"}).Draw(t, "step") {
			case "propose":
				command, err := proto.Marshal(drawCommand(t))
				if err != nil {
					t.Fatal(err)
				}
				result := reference.Apply(uint64(len(commands)), command)
				snapshot, err := reference.Snapshot()
				if err != nil {
					t.Fatal(err)
				}
				commands, results, snapshots = append(commands, command), append(results, result), append(snapshots, snapshot)
			case "apply":
				for until := rapid.Uint64Range(c.index, uint64(len(commands)-1)).Draw(t, "until"); c.index < until; {
					c.index++
					if result := c.machine.Apply(c.index, commands[c.index]); string(result) != string(results[c.index]) {
						t.Fatalf("result of command %d: %q, want %q", c.index, result, results[c.index])
					}
				}
			case "snapshot":
				var err error
				if c.snapshot, err = c.machine.Snapshot(); err != nil {
					t.Fatal(err)
				}
				c.snapshotIndex = c.index
			case "install":
				if from := drawCopy("from"); from.snapshotIndex > c.index {
					c.snapshot, c.snapshotIndex, c.index = from.snapshot, from.snapshotIndex, from.snapshotIndex
					if err := c.machine.Restore(c.snapshot); err != nil {
						t.Fatal(err)
					}
				}
			case "reopen":
				c.reopen(t)
			}
			for i, c := range copies {
				if got, err := c.machine.Snapshot(); err != nil || c.index > 0 && string(got) != string(snapshots[c.index]) {
					t.Fatalf("copy %d differs at index %d (%v)", i, c.index, err)
				}
			}
		}
	})
}

// Commands and snapshots that can't be decoded must not change the state.
func TestUndecodableInputChangesNothing(t *testing.T) {
	m := state.New(state.Options{})
	before, _ := m.Snapshot()
	if result := m.Apply(1, []byte("\xff\xff")); result != nil {
		t.Errorf("result %q", result)
	}
	if m.Restore([]byte("\xff\xff")) == nil {
		t.Error("an undecodable snapshot was accepted")
	}
	if after, _ := m.Snapshot(); string(after) != string(before) {
		t.Error("the state changed")
	}
}

func drawCommand(t *rapid.T) *pb.Command {
	c := &pb.Command{
		NowUnixMs: int64(rapid.IntRange(0, 5000).Draw(t, "now")),
		Term:      uint64(rapid.IntRange(1, 3).Draw(t, "term")),
	}
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	number := uint64(rapid.IntRange(1, 20).Draw(t, "number"))
	switch rapid.IntRange(0, 6).Draw(t, "command") {
	case 0:
		encoded, _ := ticket.Encode(&ticket.Ticket{Number: number, Author: "t", Summary: "s",
			Limits: []ticket.Limit{{Name: name, RequestsPerSecond: int(number % 7)}}})
		c.Command = &pb.Command_Submit{Submit: &pb.SubmitCommand{Ticket: encoded}}
	case 1:
		c.Command = &pb.Command_Join{Join: &pb.JoinCommand{Endpoint: &pb.Endpoint{Name: name},
			Nonce: fmt.Sprint(number % 3), MaxEndpoints: 2}}
	case 2:
		c.Command = &pb.Command_Leave{Leave: &pb.LeaveCommand{Incarnations: []*pb.Incarnation{{Name: name, Incarnation: number}}}}
	case 3:
		c.Command = &pb.Command_Update{Update: &pb.UpdateCommand{Updates: []*pb.EndpointUpdate{
			{Name: name, Incarnation: number, Models: []string{"m"}}}}}
	case 4:
		c.Command = &pb.Command_Want{Want: &pb.WantCommand{Name: name, Wanted: pb.EndpointState_ENDPOINT_STATE_DRAINING}}
	case 5:
		c.Command = &pb.Command_Order{Order: &pb.OrderCommand{Name: name, Incarnation: number,
			Orders: []*pb.Order{{Kind: pb.OrderKind_ORDER_KIND_LOAD, Model: "m"}}}}
	default:
		c.Command = &pb.Command_Ledger{Ledger: drawLedgerCommand(t, name, fmt.Sprint(number%4))}
	}
	return c
}

func drawLedgerCommand(t *rapid.T, key, request string) *pb.LedgerCommand {
	digest := sha256.Sum256([]byte("body"))
	attempt := uint32(rapid.IntRange(0, 2).Draw(t, "attempt"))
	return &pb.LedgerCommand{
		Bounds: &pb.LedgerBounds{RetentionMs: 1000, MaxEntries: 2, MaxBytes: 1 << 20, MaxAnswerBytes: 4},
		Operations: []*pb.LedgerOperation{
			{Operation: &pb.LedgerOperation_Claim{Claim: &pb.ClaimRequest{Workspace: "w", Key: key,
				BodyDigest: digest[:], RequestId: request, AfterAttempt: attempt}}},
			{Operation: &pb.LedgerOperation_Settle{Settle: &pb.SettleRequest{Workspace: "w", Key: key, RequestId: request,
				Attempt: attempt, Execution: pb.Execution(rapid.IntRange(1, 3).Draw(t, "execution"))}}},
			{Operation: &pb.LedgerOperation_Lookup{Lookup: &pb.LookupRequest{Workspace: "w", Key: key}}},
		},
	}
}
