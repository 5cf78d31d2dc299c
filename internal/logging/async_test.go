package logging

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blocked is a writer that waits until it is let go.
type blocked struct {
	mu      sync.Mutex
	lines   bytes.Buffer
	release chan struct{}
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.lines.Write(p)
}

// Ten times the lines that there is room for: nobody waits, what is left out is
// counted, and the rest comes in order.
func TestNobodyWaitsForALine(t *testing.T) {
	g := NewWithT(t)
	out := &blocked{release: make(chan struct{})}
	a := NewAsync(out, 100)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	began := time.Now()
	for i := range 1000 {
		_, err := fmt.Fprintf(a, "%d\n", i)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	close(out.release)
	cancel()
	g.Eventually(done, "2s").Should(BeClosed())
	text := out.lines.String()
	g.Expect(text).To(HavePrefix("0\n"))
	g.Expect(text).To(ContainSubstring(`"omitted":`))
	g.Expect(bytes.Count(out.lines.Bytes(), []byte("\n"))).To(BeNumerically("<=", 200))
}
