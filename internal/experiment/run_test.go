package experiment

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"

	"github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

const smallScenario = `
name = "small"
ticket = "ticket.toml"
duration = "600ms"
settle = "30s"
routers = 2
[[endpoint]]
group = "rally-text"
kind = "engine"
serves = "rally-text"
count = 3
domains = ["a", "b"]
step_base = "1ms"
[[endpoint]]
group = "entries"
kind = "service"
serves = "entries"
count = 1
domains = ["a"]
latency = "2ms"
[[load]]
class = "stage-updates"
model = "rally-text"
rate = 60.0
tokens_median = 8.0
[[load]]
class = "summaries"
model = "rally-text"
rate = 20.0
tokens_median = 20.0
buffered = true
[[load]]
class = "bookings"
service = "entries"
rate = 30.0
repeat = 1.0
[[event]]
at = "200ms"
kind = "drain"
endpoints = ["rally-text-1"]
`

// runSmallScenario runs smallScenario with extra TOML appended. A nil start runs
// only the baseline proxy.
func runSmallScenario(ctx context.Context, start StartFunc, extra string) *Report {
	dir := ginkgo.GinkgoT().TempDir()
	text, err := os.ReadFile("../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(filepath.Join(dir, "ticket.toml"), text, 0o600)).To(Succeed())
	path := filepath.Join(dir, "scenario.toml")
	Expect(os.WriteFile(path, []byte(smallScenario+extra), 0o600)).To(Succeed())
	report, err := Run(ctx, Options{ScenarioPath: path, RunBaseline: start != nil, StartSystem: start, Logger: slog.New(slog.DiscardHandler)})
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = ginkgo.Describe("a run", func() {
	ginkgo.It("serves every caller, and runs a repeated booking once, unlike the baseline", func(ctx ginkgo.SpecContext) {
		report := runSmallScenario(ctx, StartEmbedded(slog.New(slog.DiscardHandler)), "")
		for _, run := range []*RunReport{&report.RunReport, report.Baseline} {
			Expect(run.Classes).To(HaveLen(3))
			for _, class := range run.Classes {
				Expect(class.Offered).To(BeNumerically(">", 0))
				Expect(class.Finished).To(Equal(class.Offered))
			}
		}
		Expect(report.Violations.Total()).To(BeZero())
		Expect(report.Baseline.Violations.DoubleRun).To(Equal(report.Baseline.Classes["bookings"].Offered))
	})

	ginkgo.It("shows that the baseline, which does not retry, fails calls when an engine crashes", func(ctx ginkgo.SpecContext) {
		report := runSmallScenario(ctx, nil, `
[[event]]
at = "0s"
kind = "fault"
endpoints = ["rally-text-2"]
fault = { kind = "crash_mid", count = 1000, after_tokens = 2 }
`)
		Expect(report.Classes["stage-updates"].Failed).To(BeNumerically(">", 0))
		Expect(report.WastedTokenFraction).To(BeNumerically(">", 0))
		Expect(report.Violations.PartialAnswer).To(BeZero())
	})
})

var _ = ginkgo.Describe("a TCP relay", func() {
	ginkgo.It("closes every connection at its shutdown and refuses new ones", func() {
		disconnected := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			Expect(http.NewResponseController(w).Flush()).To(Succeed())
			<-r.Context().Done()
			close(disconnected)
		}))
		ginkgo.DeferCleanup(server.Close)
		relay, err := newTCPRelay(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.Get("http://" + relay.address())
		Expect(err).NotTo(HaveOccurred())
		relay.shutDown()
		_, err = resp.Body.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(disconnected).Should(BeClosed())
		_, err = net.Dial("tcp", relay.address())
		Expect(err).To(HaveOccurred())
	})
})
