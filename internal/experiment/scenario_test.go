package experiment

import (
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

const goodScenario = `
name = "s"
ticket = "t.toml"
duration = "10s"
[[endpoint]]
group = "g"
kind = "engine"
serves = "m"
count = 2
domains = ["a"]
[[load]]
class = "c"
model = "m"
rate = 2.0
tokens_median = 10.0
`

var _ = ginkgo.Describe("a scenario file", func() {
	ginkgo.It("is read whole", func() {
		s, err := decodeScenario("f", []byte(goodScenario))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.endpointNames()).To(Equal([]string{"g-1", "g-2"}))
		Expect(s.Routers).To(Equal(defaultRouters))
	})

	ginkgo.DescribeTable("is refused with the key of each fault",
		func(change func(string) string, keys ...string) {
			_, err := decodeScenario("f", []byte(change(goodScenario)))
			var faults *ScenarioError
			Expect(err).To(BeAssignableToTypeOf(err))
			Expect(asScenarioError(err, &faults)).To(BeTrue())
			var got []string
			for _, p := range faults.Problems {
				got = append(got, p.Key)
			}
			Expect(got).To(ConsistOf(keys))
		},
		ginkgo.Entry("not TOML", swap(`name = "s"`, `name = `), "file"),
		ginkgo.Entry("a duration without a unit", swap(`"10s"`, `"10"`), "file"),
		ginkgo.Entry("unknown keys", swap("rate = 2.0", "rate = 2.0\nburts = 1"), "load.burts"),
		ginkgo.Entry("several at once", swap(`rate = 2.0`, `rate = 0.0`, `kind = "engine"`, `kind = "pump"`), "load[0].rate", "endpoint[0].kind"),
		ginkgo.Entry("a model and a service", swap(`model = "m"`, "model = \"m\"\nservice = \"x\""), "load[0].model"),
		ginkgo.Entry("too long", swap(`"10s"`, `"3m"`), "duration"),
		ginkgo.Entry("a burst that ends before it begins", swap("tokens_median = 10.0", "tokens_median = 10.0\n[[load.burst]]\nfrom = \"5s\"\nto = \"4s\"\nfactor = 2.0"), "load[0].burst[0]"),
		ginkgo.Entry("an unknown event", swap("tokens_median = 10.0", "tokens_median = 10.0\n[[event]]\nat = \"1s\"\nkind = \"rain\""), "event[0].kind"),
		ginkgo.Entry("an event at no endpoint", swap("tokens_median = 10.0", "tokens_median = 10.0\n[[event]]\nat = \"1s\"\nkind = \"drain\"\nendpoints = [\"g-9\"]"), "event[0].endpoints"),
		ginkgo.Entry("an event after the end", swap("tokens_median = 10.0", "tokens_median = 10.0\n[[event]]\nat = \"11s\"\nkind = \"lose_control\""), "event[0].at"),
	)

	ginkgo.It("in examples/ is valid, every one", func() {
		files, err := filepath.Glob("../../examples/*/scenario-*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(14))
		for _, file := range files {
			_, err := LoadScenario(file)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// swap replaces pairs of texts.
func swap(pairs ...string) func(string) string {
	return func(s string) string { return strings.NewReplacer(pairs...).Replace(s) }
}

// drawnScenario is a scenario without a file.
func drawnScenario(t *rapid.T) *Scenario {
	s, err := decodeScenario("f", []byte(goodScenario))
	if err != nil {
		t.Fatal(err)
	}
	s.Loads[0].Rate = rapid.Float64Range(1, 50).Draw(t, "rate")
	s.Loads[0].Repeat = 0.5
	s.Loads[0].Bursts = []Burst{{From: Duration(2 * time.Second), To: Duration(4 * time.Second), Factor: rapid.Float64Range(0.5, 8).Draw(t, "factor")}}
	s.configuration = &ticket.Ticket{
		Classes:    []ticket.Class{{Name: "c", Tier: 1, NonIdempotent: true}},
		Workspaces: []ticket.Workspace{{Name: "w1", Classes: []string{"c"}, Share: 3}, {Name: "w2", Classes: []string{"c"}, Share: 1}, {Name: "w3", Share: 9}},
	}
	return s
}

func TestPlanIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawnScenario(t)
		seed := rapid.Uint64().Draw(t, "seed")
		first, second := plan(s, seed), plan(s, seed)
		if len(first) != len(second) {
			t.Fatalf("%d arrivals, then %d", len(first), len(second))
		}
		keys := map[string]bool{}
		for i, a := range first {
			if string(a.Body) != string(second[i].Body) || a.At != second[i].At || a.Copies != second[i].Copies {
				t.Fatalf("arrival %d differs", i)
			}
			if i > 0 && a.At < first[i-1].At || a.At >= time.Duration(s.Duration) {
				t.Fatalf("arrival %d is out of order or late", i)
			}
			if keys[a.Key] || a.Workspace == "w3" {
				t.Fatalf("arrival %d repeats a key or is of a workspace without the class", i)
			}
			keys[a.Key] = true
		}
	})
}
