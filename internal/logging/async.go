package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// maxBatch bounds the bytes that are written at once.
const maxBatch = 64 << 10

// Async is a writer that never waits for the one below: lines wait in a bounded
// ring, and those beyond it are left out and counted.
type Async struct {
	next  io.Writer
	lines *ring.Ring[[]byte]
	left  atomic.Int64
}

// NewAsync returns a writer with room for so many lines. Run writes them.
func NewAsync(next io.Writer, capacity int) *Async {
	return &Async{next: next, lines: ring.New[[]byte]("log lines", capacity)}
}

// Write takes a line. It never fails: a line without room is counted.
func (a *Async) Write(line []byte) (int, error) {
	if a.lines.Put(append([]byte(nil), line...)) != nil {
		a.left.Add(1)
	}
	return len(line), nil
}

// Run writes the lines until ctx ends, then those that wait.
func (a *Async) Run(ctx context.Context) {
	for {
		first, err := a.lines.Take(ctx)
		if err != nil {
			a.flush(nil)
			return
		}
		a.flush(first)
	}
}

// flush writes a line and those that wait behind it, in batches.
func (a *Async) flush(batch []byte) {
	for {
		if left := a.left.Swap(0); left > 0 {
			batch = fmt.Appendf(batch, `{"level":"WARN","msg":"lines left out","omitted":%d}`+"\n", left)
		}
		for len(batch) < maxBatch && a.lines.Len() > 0 {
			batch = append(batch, <-a.lines.Out()...)
		}
		if len(batch) == 0 {
			return
		}
		// Standard output is gone or full; there is nowhere left to tell.
		_, _ = a.next.Write(batch)
		batch = nil
	}
}
