package agent

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Tokens every 20 ms under a target of 150 ms: no gap that a caller sees may
// exceed the target, and nothing may be held past the window.
func TestCoalescerHoldsNothingPastItsWindow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		recorder := httptest.NewRecorder()
		c := newCoalescer(recorder, 150*time.Millisecond)
		start := time.Now()
		for range 10 {
			g.Expect(c.write([]byte("x"))).To(Succeed())
			c.mu.Lock()
			g.Expect(time.Since(c.last)).To(BeNumerically("<", 50*time.Millisecond))
			c.mu.Unlock()
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(50 * time.Millisecond)
		synctest.Wait()
		c.mu.Lock()
		g.Expect(c.held).To(BeFalse())
		c.mu.Unlock()
		c.close()
		g.Expect(recorder.Body.Len()).To(Equal(10))
		g.Expect(time.Since(start)).To(BeNumerically(">", 200*time.Millisecond))
	})
}

// A class without a target sends each token at once.
func TestCoalescerWithoutTargetSendsAtOnce(t *testing.T) {
	g := NewWithT(t)
	c := newCoalescer(httptest.NewRecorder(), 0)
	for range 3 {
		g.Expect(c.write([]byte("x"))).To(Succeed())
		g.Expect(c.held).To(BeFalse())
	}
}
