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

// rapidSeed makes every run draw the same cases; a flag overrides it.
const rapidSeed = "20261203"

func init() { _ = flag.Set("rapid.seed", rapidSeed) }

var printErrors = flag.Bool("errors", false, "print the error of the limits by way of sharing")

var epoch = time.Unix(1_800_000_000, 0)

func state(limit ticket.Limit) *ticket.State {
	s := ticket.NewState()
	limit.Name = "l"
	s.Limits["l"] = limit
	s.Workspaces["w"] = ticket.Workspace{Name: "w", Limit: "l"}
	return s
}

// fleet is routers that share a limit; arrivals go to a random one.
type fleet struct {
	routers []*Limiter
	now     time.Time
	running []finish
	late    map[string]Usage // sums on their way back
}

type finish struct {
	at     time.Time
	router int
}

// outcome is what came of a run, per second.
type outcome struct{ asked, admitted, peakRunning float64 }

// run offers Poisson arrivals for a minute and leaves out the first ten
// seconds. Sums, if used, come back a second after the report.
func run(limit ticket.Limit, routers int, rate float64, hold time.Duration, sums bool) outcome {
	f := &fleet{now: epoch}
	for range routers {
		l := New(routers)
		l.Update(state(limit), routers)
		f.routers = append(f.routers, l)
	}
	random := rand.New(rand.NewPCG(1, 2))
	var o outcome
	next := epoch.Add(time.Second)
	for f.now.Before(epoch.Add(time.Minute)) {
		f.now = f.now.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		f.endDue(10)
		if sums && f.now.After(next) {
			f.exchange()
			next = next.Add(time.Second)
		}
		i := random.IntN(routers)
		counts := f.now.Sub(epoch) >= 10*time.Second
		if counts {
			o.asked += 1.0 / 50
		}
		if f.routers[i].Take(f.now, "w") != nil {
			continue
		}
		f.running = append(f.running, finish{at: f.now.Add(hold), router: i})
		if counts {
			o.admitted += 1.0 / 50
			o.peakRunning = math.Max(o.peakRunning, float64(len(f.running)))
		}
	}
	return o
}

// endDue ends what is over; every answer has so many tokens.
func (f *fleet) endDue(tokens int) {
	for len(f.running) > 0 && !f.running[0].at.After(f.now) {
		f.routers[f.running[0].router].Finish(f.now, "w", tokens)
		f.running = f.running[1:]
	}
}

func (f *fleet) exchange() {
	total := Usage{}
	for _, l := range f.routers {
		total = total.Add(l.Report(f.now)["w"])
		if f.late != nil {
			l.Totals(f.now, f.late)
		}
	}
	f.late = map[string]Usage{"w": total}
}

// TestErrors prints the error of each way: go test -run TestErrors -errors -v.
func TestErrors(t *testing.T) {
	if !*printErrors {
		t.Skip("prints figures only")
	}
	for _, routers := range []int{3, 20, 350} {
		for _, load := range []float64{0.5, 0.9, 1, 2, 10} {
			for _, sums := range []bool{false, true} {
				o := run(ticket.Limit{RequestsPerSecond: 100}, routers, 100*load, 2*time.Second, sums)
				c := run(ticket.Limit{Concurrency: 200}, routers, 100*load, 2*time.Second, sums)
				k := run(ticket.Limit{TokensPerSecond: 1000}, routers, 100*load, 2*time.Second, sums)
				fmt.Printf("routers %3d offered %4.1f of the limit, sums %-5v: requests %5.1f%%, tokens %5.1f%%, concurrency peak %5.1f%% of the limit\n",
					routers, load, sums, o.admitted, k.admitted, c.peakRunning/2)
			}
		}
	}
}

// TestSums holds the request rate within a tenth of the limit at 350 routers
// and refuses next to nothing below it.
func TestSums(t *testing.T) {
	g := gomega.NewWithT(t)
	limit := ticket.Limit{RequestsPerSecond: 100}
	over := run(limit, 350, 300, time.Second, true)
	g.Expect(over.admitted).To(gomega.BeNumerically("~", 100, 10))
	under := run(limit, 350, 70, time.Second, true)
	g.Expect(under.admitted / under.asked).To(gomega.BeNumerically(">", 0.99))
}

// TestLocalShare: without sums, the routers together never admit more than
// the limit and their bursts, and an error says when to come back.
func TestLocalShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		routers := rapid.IntRange(1, 20).Draw(t, "routers")
		rate := rapid.IntRange(1, 50).Draw(t, "rate")
		l := New(routers)
		l.Update(state(ticket.Limit{RequestsPerSecond: rate}), routers)
		share := float64(rate) / float64(routers)
		now, admitted := epoch, 0
		for range rapid.IntRange(1, 200).Draw(t, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 500).Draw(t, "ms")) * time.Millisecond)
			err := l.Take(now, "w")
			if err == nil {
				admitted++
				continue
			}
			if exceeded, ok := err.(*ExceededError); !ok || exceeded.RetryAfter < time.Second {
				t.Fatalf("refused with %v", err)
			}
		}
		bound := share*now.Sub(epoch).Seconds() + math.Max(share*localBurst.Seconds(), minBurst) + 1e-6
		if float64(admitted) > bound {
			t.Fatalf("%d admitted, bound %f", admitted, bound)
		}
	})
}
