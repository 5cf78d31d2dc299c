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
		maxWait time.Duration
		minWait time.Duration
	}{
		{"the first tokens are not delayed", target, 3, false, 0, 0},
		{"later tokens wait for a third of the target", target, 100, false, target / 3, target / 3},
		{"a class without a target never waits", 0, 100, false, 0, 0},
		{"a cancelled context ends the wait", target, 100, true, 0, 0},
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
					g.Expect(time.Since(started)).To(And(BeNumerically(">=", c.minWait), BeNumerically("<=", c.maxWait)))
				}
			})
		})
	}
}
