package document

import (
	"flag"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
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
