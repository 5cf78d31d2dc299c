package document

import (
	"bytes"
	"encoding/binary"
	"math"
	"slices"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/duty"
	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

// drawCommand draws a command that may be of no known kind, cut off or changed.
func drawCommand(t *rapid.T) []byte {
	content := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "content")
	version := rapid.SampledFrom([]uint64{0, 1, 2, 1 << 63, math.MaxUint64 - 1, math.MaxUint64}).Draw(t, "version")
	holder := duty.Holdership{Token: 1, Life: 1, Stamp: rapid.Uint64Range(0, 3).Draw(t, "stamp")}
	command := rapid.SampledFrom([][]byte{
		content,
		EncodeCommand(version, content),
		EncodeQuarantineCommand(QuarantineChange(rapid.Byte().Draw(t, "change")), version),
		EncodeDutyCommand(content),
		EncodeDutyCommand(duty.EncodeAcquire(version, string(content), 1, 1, duty.Holding{})),
		EncodeDutyCommand(duty.EncodeAgreeUsage(holder, version, content)),
		EncodeDutyCommand(duty.EncodeSettleUsage(holder, version, duty.Delivered)),
		EncodeServedCommand(origin.Change{Origin: origin.Origin{Service: string(content), Version: "v"}, Presence: origin.Presence(rapid.Byte().Draw(t, "presence"))}),
	}).Draw(t, "command")
	command = slices.Clone(command[:rapid.IntRange(0, len(command)).Draw(t, "length")])
	if len(command) > versionBytes && rapid.Bool().Draw(t, "changed") {
		command[rapid.IntRange(versionBytes, len(command)-1).Draw(t, "at")] ^= rapid.Byte().Draw(t, "by")
	}
	return command
}

// Guards against a command in the log, odd or of a later build, that ends every host whenever it
// applies the command or restores a snapshot.
func TestAnyCommandLeavesARestorableState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := New()
		for i, command := range rapid.SliceOfN(rapid.Custom(drawCommand), 1, 20).Draw(t, "commands") {
			m.Apply(uint64(i+1), command)
		}
		snapshot, _ := m.Snapshot()
		again, _ := restored(t, m).Snapshot()
		if !bytes.Equal(snapshot, again) {
			t.Fatalf("restored as % x, not % x", again, snapshot)
		}
	})
}

// Guards against a snapshot that panics or takes much memory because of a count or length in it.
func TestAnySnapshotIsRestoredOrRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		snapshot := rapid.SliceOfN(rapid.Byte(), 0, 60).Draw(t, "rest")
		for range rapid.IntRange(0, 3).Draw(t, "sections") {
			parts := rapid.SampledFrom([]uint32{0, 1, MaxQuarantinedParts, MaxQuarantinedParts + 1, servedSnapshotParts, dutySnapshotParts}).Draw(t, "parts")
			snapshot = append(binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(nil, quarantineSnapshotVersion), parts), snapshot...)
		}
		if err := New().Restore(snapshot); err != nil {
			NewWithT(t).Expect(err).To(BeAssignableToTypeOf(&CorruptError{}))
		}
	})
}

// Guards against a document whose version marks a section of a snapshot: no host could restore one.
func TestHighestNumberIsNoVersion(t *testing.T) {
	g := NewWithT(t)
	m := New()
	m.Apply(1, EncodeCommand(3, []byte("three")))
	m.Apply(2, EncodeCommand(math.MaxUint64, []byte("last")))
	snapshot, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	replacement := New()
	g.Expect(replacement.Restore(snapshot)).To(Succeed())
	version, content, _ := replacement.Current()
	g.Expect(version).To(Equal(uint64(3)))
	g.Expect(string(content)).To(Equal("three"))
}
