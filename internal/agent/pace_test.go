package agent

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

func TestPacer(t *testing.T) {
	const target = 150 * time.Millisecond
	cases := []struct {
		name    string
		target  time.Duration
		events  int
		cancel  bool
		longest time.Duration
		least   time.Duration
	}{
		{"the first tokens go at once", target, 3, false, 0, 0},
		{"later ones wait for a third of the target", target, 100, false, target / 3, target / 3},
		{"a class without a target never waits", 0, 100, false, 0, 0},
		{"a caller that is gone ends the wait", target, 100, true, 0, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				if c.cancel {
					cancel()
				}
				p := newPacer(c.target)
				for range 3 {
					started := time.Now()
					p.wait(ctx, c.events)
					g.Expect(time.Since(started)).To(And(BeNumerically(">=", c.least), BeNumerically("<=", c.longest)))
				}
			})
		})
	}
}
