package logging

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// blockedWriter closes entered at its first write and blocks until release is
// closed.
type blockedWriter struct {
	lines   bytes.Buffer // read only after Run has returned
	once    sync.Once
	entered chan struct{}
	release chan struct{}
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	return b.lines.Write(p)
}

// Guards against log calls that block on a stalled output: ten times the queue's
// capacity is written while the output blocks. The queue fills, the rest is
// dropped and counted, and the order is kept.
func TestStalledOutputDoesNotBlockWriters(t *testing.T) {
	const capacity = 100
	g := NewWithT(t)
	out := &blockedWriter{entered: make(chan struct{}), release: make(chan struct{})}
	a := NewAsyncWriter(out, capacity)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	fmt.Fprintln(a, "first")
	g.Eventually(out.entered, "2s").Should(BeClosed())
	started := time.Now()
	want := "first\n"
	for i := range 10 * capacity {
		_, err := fmt.Fprintln(a, i)
		g.Expect(err).NotTo(HaveOccurred())
		if i < capacity {
			want += fmt.Sprintln(i)
		}
	}
	g.Expect(time.Since(started)).To(BeNumerically("<", time.Second))
	close(out.release)
	cancel()
	g.Eventually(done, "2s").Should(BeClosed())
	droppedLine := fmt.Sprintf(`{"level":"WARN","msg":"lines left out","omitted":%d}`+"\n", 9*capacity)
	g.Expect(strings.Replace(out.lines.String(), droppedLine, "", 1)).To(Equal(want))
	g.Expect(out.lines.String()).To(ContainSubstring(droppedLine))
}
