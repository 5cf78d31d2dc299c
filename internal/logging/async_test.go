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

// blocked is a writer that tells of its first write and waits until it is let go.
type blocked struct {
	lines   bytes.Buffer // read once Run has returned
	once    sync.Once
	entered chan struct{}
	release chan struct{}
}

func (b *blocked) Write(p []byte) (int, error) {
	b.once.Do(func() { close(b.entered) })
	<-b.release
	return b.lines.Write(p)
}

// Ten times the lines that there is room for, while the output takes none: nobody
// waits, exactly the room is used, the rest is counted, and the order is kept.
func TestNobodyWaitsForALine(t *testing.T) {
	const room = 100
	g := NewWithT(t)
	out := &blocked{entered: make(chan struct{}), release: make(chan struct{})}
	a := NewAsync(out, room)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); a.Run(ctx) }()
	fmt.Fprintln(a, "first")
	g.Eventually(out.entered, "2s").Should(BeClosed())
	began := time.Now()
	want := "first\n"
	for i := range 10 * room {
		_, err := fmt.Fprintln(a, i)
		g.Expect(err).NotTo(HaveOccurred())
		if i < room {
			want += fmt.Sprintln(i)
		}
	}
	g.Expect(time.Since(began)).To(BeNumerically("<", time.Second))
	close(out.release)
	cancel()
	g.Eventually(done, "2s").Should(BeClosed())
	left := fmt.Sprintf(`{"level":"WARN","msg":"lines left out","omitted":%d}`+"\n", 9*room)
	g.Expect(strings.Replace(out.lines.String(), left, "", 1)).To(Equal(want))
	g.Expect(out.lines.String()).To(ContainSubstring(left))
}
