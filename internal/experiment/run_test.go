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

// smallRun runs the small scenario in a folder of its own.
func smallRun(ctx context.Context, start Starter, extra string) *Report {
	folder := ginkgo.GinkgoT().TempDir()
	text, err := os.ReadFile("../../examples/rally/ticket-001.toml")
	Expect(err).NotTo(HaveOccurred())
	Expect(os.WriteFile(filepath.Join(folder, "ticket.toml"), text, 0o600)).To(Succeed())
	path := filepath.Join(folder, "scenario.toml")
	Expect(os.WriteFile(path, []byte(smallScenario+extra), 0o600)).To(Succeed())
	report, err := Run(ctx, Options{Path: path, Baseline: start != nil, Start: start, Logger: slog.New(slog.DiscardHandler)})
	Expect(err).NotTo(HaveOccurred())
	return report
}

var _ = ginkgo.Describe("a run", func() {
	ginkgo.It("serves every caller, and runs a repeated booking once, unlike the baseline", func(ctx ginkgo.SpecContext) {
		report := smallRun(ctx, StartEmbedded(slog.New(slog.DiscardHandler)), "")
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

	ginkgo.It("shows what a proxy without a second try loses to a fault", func(ctx ginkgo.SpecContext) {
		report := smallRun(ctx, nil, `
[[event]]
at = "0s"
kind = "fault"
endpoints = ["rally-text-2"]
fault = { kind = "crash_mid", count = 1000, after_tokens = 2 }
`)
		Expect(report.Classes["stage-updates"].Failed).To(BeNumerically(">", 0))
		Expect(report.WastedShare).To(BeNumerically(">", 0))
		Expect(report.Violations.PartialAnswer).To(BeZero())
	})
})

var _ = ginkgo.Describe("a link", func() {
	ginkgo.It("breaks every connection when it is cut, and takes no new one", func() {
		held := make(chan struct{})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.WriteHeader(http.StatusOK)
			Expect(http.NewResponseController(w).Flush()).To(Succeed())
			<-r.Context().Done()
			close(held)
		}))
		ginkgo.DeferCleanup(server.Close)
		l, err := newLink(server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		resp, err := http.Get("http://" + l.address())
		Expect(err).NotTo(HaveOccurred())
		l.cut()
		_, err = resp.Body.Read(make([]byte, 1))
		Expect(err).To(HaveOccurred())
		Expect(resp.Body.Close()).To(Succeed())
		Eventually(held).Should(BeClosed())
		_, err = net.Dial("tcp", l.address())
		Expect(err).To(HaveOccurred())
	})
})
