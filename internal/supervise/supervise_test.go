package supervise_test

import (
	"context"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	. "github.com/onsi/gomega"

	"github.com/trefoilkeel/trefoilkeel/internal/supervise"
)

var errFailing = errors.New("broken")

func newTree() *supervise.Tree { return supervise.New(slog.New(slog.DiscardHandler)) }

func TestChildrenStopInReverseOrderOfStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var mu sync.Mutex
		var stopped []string
		tree := newTree()
		for _, name := range []string{"control", "agent", "router"} {
			tree.Add(name, func(ctx context.Context) error {
				<-ctx.Done()
				time.Sleep(time.Second)
				mu.Lock()
				defer mu.Unlock()
				stopped = append(stopped, name)
				return nil
			})
		}
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() { done <- tree.Run(ctx) }()
		synctest.Wait()
		cancel()
		g.Expect(<-done).To(Succeed())
		g.Expect(stopped).To(Equal([]string{"router", "agent", "control"}))
	})
}

func TestFailingChildIsRestartedWithBackoffUntilItsLimit(t *testing.T) {
	cases := []struct {
		name      string
		failures  int // before the first run that succeeds
		treeFails bool
	}{
		{"a child that fails three times keeps running", 3, false},
		{"a child that keeps failing stops the tree", 100, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var starts []time.Time
				tree := newTree()
				tree.Add("child", func(ctx context.Context) error {
					starts = append(starts, time.Now())
					if len(starts) <= c.failures {
						return errFailing
					}
					<-ctx.Done()
					return nil
				})
				ctx, cancel := context.WithTimeout(context.Background(), 10*time.Minute)
				defer cancel()
				err := tree.Run(ctx)
				var failed *supervise.RestartLimitError
				g.Expect(errors.As(err, &failed)).To(Equal(c.treeFails))
				g.Expect(len(starts)).To(BeNumerically(">", 3))
				var gaps []time.Duration
				for i := 1; i < len(starts); i++ {
					gaps = append(gaps, starts[i].Sub(starts[i-1]))
				}
				g.Expect(slices.IsSorted(gaps)).To(BeTrue(), "backoff grows")
			})
		})
	}
}

func TestPanickingChildIsRestarted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		runs := 0
		tree := newTree()
		tree.Add("child", func(context.Context) error {
			runs++
			if runs == 1 {
				panic("once")
			}
			return nil
		})
		g.Expect(tree.Run(context.Background())).To(Succeed())
		g.Expect(runs).To(Equal(2))
	})
}
