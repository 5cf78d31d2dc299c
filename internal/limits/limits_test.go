package limits

import (
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/ticket"
)

// rapidSeed makes every run draw the same cases. The flag -rapid.seed overrides it.
const rapidSeed = "20261203"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

var printLimitErrors = flag.Bool("errors", false, "print the error of the limits with and without shared totals")

var epoch = time.Unix(1_800_000_000, 0)

func configurationWithLimit(limit ticket.Limit) *ticket.Configuration {
	c := ticket.NewConfiguration()
	limit.Name = "l"
	c.Limits["l"] = limit
	c.Workspaces["w"] = ticket.Workspace{Name: "w", Limit: "l"}
	return c
}

// routerFleet simulates routers that share a limit. Each arrival goes to a random one.
type routerFleet struct {
	routers       []*Limiter
	now           time.Time
	running       []pendingFinish
	delayedTotals map[string]Usage // totals not yet received by the routers
}

type pendingFinish struct {
	at     time.Time
	router int
}

// measuredRates is the result of a simulation; asked and admitted are per second.
type measuredRates struct{ asked, admitted, peakRunning float64 }

// simulate offers Poisson arrivals for a minute and measures after the first ten
// seconds. With shareTotals, routers receive the totals a second after the report.
func simulate(limit ticket.Limit, routers int, rate float64, hold time.Duration, shareTotals bool) measuredRates {
	f := &routerFleet{now: epoch}
	for range routers {
		l := New(routers)
		l.Configure(configurationWithLimit(limit), routers)
		f.routers = append(f.routers, l)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var rates measuredRates
	nextExchange := epoch.Add(time.Second)
	for f.now.Before(epoch.Add(time.Minute)) {
		f.now = f.now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		f.finishDue(10)
		if shareTotals && f.now.After(nextExchange) {
			f.exchangeTotals()
			nextExchange = nextExchange.Add(time.Second)
		}
		i := random.IntN(routers)
		measuring := f.now.Sub(epoch) >= 10*time.Second
		if measuring {
			rates.asked += 1.0 / 50
		}
		if f.routers[i].Admit(f.now, "w") != nil {
			continue
		}
		f.running = append(f.running, pendingFinish{at: f.now.Add(hold), router: i})
		if measuring {
			rates.admitted += 1.0 / 50
			rates.peakRunning = math.Max(rates.peakRunning, float64(len(f.running)))
		}
	}
	return rates
}

// finishDue ends the requests that are due; every answer has the given number of
// tokens.
func (f *routerFleet) finishDue(tokens int) {
	for len(f.running) > 0 && !f.running[0].at.After(f.now) {
		f.routers[f.running[0].router].Finish(f.now, "w", tokens)
		f.running = f.running[1:]
	}
}

func (f *routerFleet) exchangeTotals() {
	total := Usage{}
	for _, l := range f.routers {
		total = total.Add(l.Report(f.now)["w"])
		if f.delayedTotals != nil {
			l.SetTotals(f.now, f.delayedTotals)
		}
	}
	f.delayedTotals = map[string]Usage{"w": total}
}

// TestErrors prints the error of the limits with and without shared totals:
// go test -run TestErrors -errors -v.
func TestErrors(t *testing.T) {
	if !*printLimitErrors {
		t.Skip("prints figures only, with -errors")
	}
	for _, routers := range []int{3, 20, 350} {
		for _, load := range []float64{0.5, 0.9, 1, 2, 10} {
			for _, shareTotals := range []bool{false, true} {
				requests := simulate(ticket.Limit{RequestsPerSecond: 100}, routers, 100*load, 2*time.Second, shareTotals)
				concurrency := simulate(ticket.Limit{Concurrency: 200}, routers, 100*load, 2*time.Second, shareTotals)
				tokens := simulate(ticket.Limit{TokensPerSecond: 1000}, routers, 100*load, 2*time.Second, shareTotals)
				fmt.Printf("routers %3d offered %4.1f of the limit, shared totals %-5v: requests %5.1f%%, tokens %5.1f%%, concurrency peak %5.1f%% of the limit\n",
					routers, load, shareTotals, requests.admitted, tokens.admitted, concurrency.peakRunning/2)
			}
		}
	}
}

// With shared totals, 350 routers keep the request rate within a tenth of the limit
// and refuse less than 1% of the requests below it.
func TestSharedTotals(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := ticket.Limit{RequestsPerSecond: 100}
	over := simulate(limit, 350, 300, time.Second, true)
	g.Expect(over.admitted).To(gomega.BeNumerically("~", 100, 10))
	under := simulate(limit, 350, 70, time.Second, true)
	g.Expect(under.admitted / under.asked).To(gomega.BeNumerically(">", 0.99))
}

// Without totals, a router admits no more than its share of the limit and a burst,
// and a refusal has a retry time of at least a second.
func TestLocalShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 20).Draw(t, "routers")
		rate := rapid.IntRange(1, 50).Draw(t, "rate")
		l := New(routers)
		l.Configure(configurationWithLimit(ticket.Limit{RequestsPerSecond: rate}), routers)
		share := float64(rate) / float64(routers)
		now, admitted := epoch, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			err := l.Admit(now, "w")
			if err == nil {
				admitted++
				continue
			}
			if exceeded, ok := err.(*ExceededError); !ok || exceeded.RetryAfter < time.Second {
				t.Fatalf("refused with %v", err)
			}
		}
		bound := share*now.Sub(epoch).Seconds() + math.Max(share*localBurstPeriod.Seconds(), minBurstRequests) + 1e-6
		if float64(admitted) > bound {
			t.Fatalf("%d admitted, bound %f", admitted, bound)
		}
	})
}
