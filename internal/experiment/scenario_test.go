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

const validScenario = `
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
	ginkgo.It("is decoded, with defaults", func() {
		s, err := decodeScenario("f", []byte(validScenario))
		Expect(err).NotTo(HaveOccurred())
		Expect(s.endpointNames()).To(Equal([]string{"g-1", "g-2"}))
		Expect(s.RouterCount).To(Equal(defaultRouterCount))
	})

	ginkgo.DescribeTable("is rejected with the key of each problem",
		func(change func(string) string, keys ...string) {
			_, err := decodeScenario("f", []byte(change(validScenario)))
			var scenarioErr *ScenarioError
			Expect(err).To(BeAssignableToTypeOf(err))
			Expect(asScenarioError(err, &scenarioErr)).To(BeTrue())
			var got []string
			for _, p := range scenarioErr.Problems {
				got = append(got, p.Key)
			}
			Expect(got).To(ConsistOf(keys))
		},
		ginkgo.Entry("not TOML", replacing(`name = "s"`, `name = `), "file"),
		ginkgo.Entry("a duration without a unit", replacing(`"10s"`, `"10"`), "file"),
		ginkgo.Entry("unknown keys", replacing("rate = 2.0", "rate = 2.0\nburts = 1"), "load.burts"),
		ginkgo.Entry("several problems", replacing(`rate = 2.0`, `rate = 0.0`, `kind = "engine"`, `kind = "pump"`), "load[0].rate", "endpoint[0].kind"),
		ginkgo.Entry("a model and a service", replacing(`model = "m"`, "model = \"m\"\nservice = \"x\""), "load[0].model"),
		ginkgo.Entry("a duration over the maximum", replacing(`"10s"`, `"3m"`), "duration"),
		ginkgo.Entry("a burst that ends before it begins", replacing("tokens_median = 10.0", "tokens_median = 10.0\n[[load.burst]]\nfrom = \"5s\"\nto = \"4s\"\nfactor = 2.0"), "load[0].burst[0]"),
		ginkgo.Entry("an unknown event kind", replacing("tokens_median = 10.0", "tokens_median = 10.0\n[[event]]\nat = \"1s\"\nkind = \"rain\""), "event[0].kind"),
		ginkgo.Entry("an event at an unknown endpoint", replacing("tokens_median = 10.0", "tokens_median = 10.0\n[[event]]\nat = \"1s\"\nkind = \"drain\"\nendpoints = [\"g-9\"]"), "event[0].endpoints"),
		ginkgo.Entry("an event after the duration", replacing("tokens_median = 10.0", "tokens_median = 10.0\n[[event]]\nat = \"11s\"\nkind = \"lose_control\""), "event[0].at"),
	)

	ginkgo.It("is valid for each file in examples/", func() {
		files, err := filepath.Glob("../../examples/*/scenario-*.toml")
		Expect(err).NotTo(HaveOccurred())
		Expect(files).To(HaveLen(14))
		for _, file := range files {
			_, err := LoadScenario(file)
			Expect(err).NotTo(HaveOccurred())
		}
	})
})

// replacing returns a function that replaces each old text by the new one after it.
func replacing(pairs ...string) func(string) string {
	return func(s string) string { return strings.NewReplacer(pairs...).Replace(s) }
}

// randomScenario returns validScenario with a drawn rate and burst, and a ticket
// whose third workspace may not use the class.
func randomScenario(t *rapid.T) *Scenario {
	s, err := decodeScenario("f", []byte(validScenario))
	if err != nil {
		t.Fatal(err)
	}
	s.Loads[0].RequestsPerSecond = rapid.Float64Range(1, 50).Draw(t, "rate")
	s.Loads[0].RepeatFraction = 0.5
	s.Loads[0].Bursts = []Burst{{From: Duration(2 * time.Second), To: Duration(4 * time.Second), RateFactor: rapid.Float64Range(0.5, 8).Draw(t, "factor")}}
	s.initialTicket = &ticket.Ticket{
		Classes:    []ticket.Class{{Name: "c", Tier: 1, NonIdempotent: true}},
		Workspaces: []ticket.Workspace{{Name: "w1", Classes: []string{"c"}, Share: 3}, {Name: "w2", Classes: []string{"c"}, Share: 1}, {Name: "w3", Share: 9}},
	}
	return s
}

func TestPlanRequestsIsDeterministic(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := randomScenario(t)
		seed := rapid.Uint64().Draw(t, "seed")
		first, second := planRequests(s, seed), planRequests(s, seed)
		if len(first) != len(second) {
			t.Fatalf("%d requests, then %d", len(first), len(second))
		}
		keys := map[string]bool{}
		for i, r := range first {
			if string(r.Body) != string(second[i].Body) || r.Offset != second[i].Offset || r.Copies != second[i].Copies {
				t.Fatalf("request %d differs", i)
			}
			if i > 0 && r.Offset < first[i-1].Offset || r.Offset >= time.Duration(s.Duration) {
				t.Fatalf("request %d is out of order or after the duration", i)
			}
			if keys[r.RecordKey] || r.Workspace == "w3" {
				t.Fatalf("request %d repeats a record key or belongs to a workspace without the class", i)
			}
			keys[r.RecordKey] = true
		}
	})
}
