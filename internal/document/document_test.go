package document

import (
	"flag"
	"maps"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/origin"
)

// rapidSeed makes the generated cases reproducible; the flag -rapid.seed overrides it.
const rapidSeed = "20261203"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

// Commands arrive in any order, with restarts from a snapshot in between. The state
// machine must hold the highest version, with the first content received for it.
func TestHighestVersionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, highest, content := New(), uint64(0), ""
		for i, version := range rapid.SliceOfN(rapid.Uint64Range(1, 9), 1, 40).Draw(t, "versions") {
			text := rapid.StringMatching("[a-z]{0,5}").Draw(t, "content")
			if version > highest {
				highest, content = version, text
			}
			m.Apply(uint64(i+1), EncodeCommand(version, []byte(text)))
			if rapid.Bool().Draw(t, "restart") {
				m = restored(t, m)
			}
			current, stored, _ := m.Current()
			if current != highest || string(stored) != content {
				t.Fatalf("version %d %q, want %d %q", current, stored, highest, content)
			}
		}
	})
}

// restored returns a state machine restored from the snapshot of m.
func restored(t *rapid.T, m *StateMachine) *StateMachine {
	snapshot, err := m.Snapshot()
	if err != nil {
		t.Fatalf("snapshot: %v", err)
	}
	replacement := New()
	if err := replacement.Restore(snapshot); err != nil {
		t.Fatalf("restore: %v", err)
	}
	return replacement
}

func TestCurrentNotifiesOfReplacement(t *testing.T) {
	g := NewWithT(t)
	m := New()
	_, _, changed := m.Current()
	m.Apply(1, EncodeCommand(1, []byte("a")))
	g.Expect(changed).To(BeClosed())
	_, _, changed = m.Current()
	m.Apply(2, EncodeCommand(1, []byte("b")))
	g.Consistently(changed, "20ms").ShouldNot(BeClosed())
}

func TestTruncatedInputIsRejected(t *testing.T) {
	g := NewWithT(t)
	var corrupt *CorruptError
	g.Expect(New().Restore([]byte{1})).To(BeAssignableToTypeOf(corrupt))
	m := New()
	m.Apply(1, []byte{1, 2})
	version, _, _ := m.Current()
	g.Expect(version).To(BeZero())
}

func TestCompressionRoundTrip(t *testing.T) {
	g := NewWithT(t)
	content := make([]byte, 100_000)
	compressed, err := Compress(content)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(compressed)).To(BeNumerically("<", len(content)/100))
	g.Expect(Decompress(compressed)).To(Equal(content))
	g.Expect(Decompress(nil)).To(BeEmpty())
	_, err = Decompress([]byte("no archive"))
	g.Expect(err).To(HaveOccurred())
}

// Quarantined parts must survive restarts from a snapshot, whatever the order of commands,
// and leave the document as it is.
func TestQuarantineSurvivesSnapshots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, want := New(), map[uint64]QuarantinedPart{}
		m.Apply(1, EncodeCommand(3, []byte("three")))
		for range rapid.IntRange(1, 40).Draw(t, "commands") {
			part := rapid.Uint64Range(1, 4).Draw(t, "part")
			change := rapid.SampledFrom([]QuarantineChange{Quarantine, Release, Exonerate}).Draw(t, "change")
			m.Apply(1, EncodeQuarantineCommand(change, part))
			state := want[part]
			switch {
			case change == Quarantine && !state.Active:
				want[part] = QuarantinedPart{Part: part, Active: true, Offences: state.Offences + 1}
			case change == Release && state.Active:
				want[part] = QuarantinedPart{Part: part, Offences: state.Offences}
			case change == Exonerate:
				delete(want, part)
			}
			if rapid.Bool().Draw(t, "restart") {
				m = restored(t, m)
			}
			parts, _ := m.Quarantined()
			got := map[uint64]QuarantinedPart{}
			for _, p := range parts {
				got[p.Part] = p
			}
			if !maps.Equal(got, want) {
				t.Fatalf("quarantined %v, want %v", got, want)
			}
			if version, content, _ := m.Current(); version != 3 || string(content) != "three" {
				t.Fatalf("document %d %q", version, content)
			}
		}
	})
}

// A snapshot without quarantined parts has the form that earlier versions write and read.
func TestSnapshotsWithoutQuarantineKeepTheirForm(t *testing.T) {
	g := NewWithT(t)
	m := New()
	m.Apply(1, EncodeCommand(3, []byte("three")))
	snapshot, err := m.Snapshot()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(snapshot).To(Equal(EncodeCommand(3, []byte("three"))))
}

// The stored parts are limited; past quarantines are forgotten first.
func TestQuarantinedPartsAreLimited(t *testing.T) {
	g := NewWithT(t)
	m := New()
	for part := range uint64(MaxQuarantinedParts) {
		m.Apply(1, EncodeQuarantineCommand(Quarantine, part))
	}
	m.Apply(1, EncodeQuarantineCommand(Quarantine, 1000))
	parts, _ := m.Quarantined()
	g.Expect(parts).To(HaveLen(MaxQuarantinedParts))
	g.Expect(parts[len(parts)-1].Part).NotTo(Equal(uint64(1000)))
	m.Apply(1, EncodeQuarantineCommand(Release, 7))
	m.Apply(1, EncodeQuarantineCommand(Quarantine, 1000))
	parts, _ = m.Quarantined()
	g.Expect(parts).To(HaveLen(MaxQuarantinedParts))
	g.Expect(parts[len(parts)-1]).To(Equal(QuarantinedPart{Part: 1000, Active: true, Offences: 1}))
}

// The versions that serve, duties, quarantined parts and the document must survive restarts from a
// snapshot side by side, for names of all lengths.
func TestServedVersionsSurviveSnapshots(t *testing.T) {
	g := NewWithT(t)
	for length := range 12 {
		m := New()
		m.Apply(1, EncodeCommand(3, []byte("three")))
		m.Apply(1, EncodeQuarantineCommand(Quarantine, 7))
		acquireDuties(m)
		o := origin.Origin{Service: "s", Version: "v" + strings.Repeat("1", length)}
		_, _, changed := m.Current()
		m.Apply(1, EncodeServedCommand(origin.Change{Origin: o, Presence: origin.Serving}))
		g.Expect(changed).To(BeClosed())
		snapshot, err := m.Snapshot()
		g.Expect(err).NotTo(HaveOccurred())
		other := New()
		g.Expect(other.Restore(snapshot)).To(Succeed())
		record, _ := other.Served()
		g.Expect(record.Versions()).To(Equal([]origin.Origin{o}))
		parts, _ := other.Quarantined()
		g.Expect(parts).To(HaveLen(1))
		duties, _ := other.Duties()
		g.Expect(duties.IsZero()).To(BeFalse())
		version, content, _ := other.Current()
		g.Expect(version).To(Equal(uint64(3)))
		g.Expect(string(content)).To(Equal("three"))
		for n := servedSectionBytes; n < len(snapshot); n++ {
			_ = New().Restore(snapshot[:n]) // must not panic
		}
	}
}
