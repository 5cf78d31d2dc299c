package fleet

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/wait"
)

// Guards against hosts that stall after the head of their response, which keep a live host from being asked.
func TestStalledResponsesMakeRoomForOtherHosts(t *testing.T) {
	for _, stalledCount := range []int{1, 2, 3} {
		for _, earlier := range []bool{false, true} {
			t.Run(fmt.Sprint(stalledCount, " stalled, tried before: ", earlier), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				answering := startScriptedHost(t, "b")
				hosts := []*scriptedHost{answering}
				for range stalledCount {
					stalled := startScriptedHost(t, "a")
					stalled.bodyDelay = time.Hour
					hosts = append(hosts, stalled)
				}
				_, c := followScripted(t, hosts...)
				if earlier {
					for _, h := range hosts[1:] {
						h.announceVersion(5)
					}
					time.Sleep(6 * fetchTimeout) // until fetches are given more time
				}
				startedAt := time.Now()
				for _, h := range hosts {
					h.announceVersion(6)
				}
				g.Eventually(versionInForce(c), "10s", "1ms").Should(Equal(uint64(6)))
				t.Logf("in force after %v", time.Since(startedAt))
				g.Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second), "the bound of a change")
			})
		}
	}
}

// Guards against responses that stall after their head or come byte by byte and were given more time, which
// keep a live host from being asked.
func TestStalledResponsesWithMoreTimeMakeRoom(t *testing.T) {
	for name, slowDown := range map[string]func(*scriptedHost){
		"stalled":  func(h *scriptedHost) { h.bodyDelay = time.Hour },
		"dripping": func(h *scriptedHost) { h.dripInterval = fetchTimeout / 4 },
	} {
		for phase := range 6 {
			t.Run(fmt.Sprint(name, ", phase ", phase), func(t *testing.T) {
				t.Parallel()
				g := NewWithT(t)
				answering := startScriptedHost(t, "b")
				hosts := []*scriptedHost{answering}
				for range maxParallelFetches {
					slow := startScriptedHost(t, "a")
					slowDown(slow)
					hosts = append(hosts, slow)
				}
				_, c := followScripted(t, hosts...)
				for _, h := range hosts[1:] {
					h.announceVersion(5)
				}
				time.Sleep(10*fetchTimeout + time.Duration(phase)*fetchTimeout) // until fetches are given more time
				startedAt := time.Now()
				answering.announceVersion(5)
				g.Eventually(versionInForce(c), "10s", "1ms").Should(Equal(uint64(5)))
				t.Logf("in force after %v", time.Since(startedAt))
				g.Expect(time.Since(startedAt)).To(BeNumerically("<", 2*time.Second), "the bound of a change")
			})
		}
	}
}

// Guards against a fetch over a slow link that ends for another host although one that brings less could.
func TestFetchThatBringsLeastMakesRoom(t *testing.T) {
	now := time.Now()
	progress := func(age, silentTime time.Duration, bytes int64) *fetchProgress {
		p := &fetchProgress{startedAt: now.Add(-age)}
		p.bodyBytes.Store(bytes)
		p.bodyDelay.Store(int64(age - silentTime))
		return p
	}
	for name, test := range map[string]struct {
		running   []*fetchProgress
		displaced int // of running, -1 for none
	}{
		"the slowest":                     {[]*fetchProgress{progress(4*time.Second, 0, 4000), progress(time.Second, 0, 500), progress(2*time.Second, 0, 3000)}, 1},
		"a stalled one before the slow":   {[]*fetchProgress{progress(4*time.Second, 0, 10), progress(2*time.Second, time.Second, 9000)}, 1},
		"the one that stalled longest":    {[]*fetchProgress{progress(time.Second, time.Second, 0), progress(4*time.Second, 3*time.Second, 9000)}, 1},
		"none that has not had its time":  {[]*fetchProgress{progress(4*time.Second, 0, 4000), progress(fetchTimeout/2, fetchTimeout/2, 0)}, 0},
		"nobody while all began recently": {[]*fetchProgress{progress(fetchTimeout/2, fetchTimeout/2, 0)}, -1},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			displaced := -1
			x := &fetcher{running: map[*host]runningFetch{}}
			for i, p := range test.running {
				x.running[&host{}] = runningFetch{progress: p, cancel: func(error) { displaced = i }}
			}
			nextAt := x.makeRoom(now)
			g.Expect(displaced).To(Equal(test.displaced))
			g.Expect(nextAt.IsZero()).To(Equal(displaced >= 0))
		})
	}
}

// Guards against fetches over slow links that all end for ones from further hosts, again and again while versions change.
func TestSlowFetchesGoOnWhileVersionsChange(t *testing.T) {
	g := NewWithT(t)
	var hosts []*scriptedHost
	for range 2 * maxParallelFetches {
		h := startScriptedHost(t, "a")
		h.slowTime = 3 * fetchTimeout
		hosts = append(hosts, h)
	}
	_, c := followScripted(t, hosts...)
	announce := func(version uint64) {
		for _, h := range hosts {
			h.announceVersion(version)
		}
	}
	announce(1)
	g.Eventually(versionInForce(c), "30s", "10ms").Should(BeEquivalentTo(1), "by then fetches have more time")
	ctx, stop := context.WithCancel(context.Background())
	var changes sync.WaitGroup
	changes.Go(func() {
		for version := uint64(2); wait.For(ctx, fetchTimeout); version++ {
			announce(version)
		}
	})
	defer changes.Wait()
	defer stop()
	g.Eventually(versionInForce(c), "10s", "10ms").Should(BeNumerically(">", 1))
}
