package logging

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

// maxBatchBytes is the size at which a batch of lines is written.
const maxBatchBytes = 64 << 10

// AsyncWriter writes lines to another writer without blocking the caller. Lines
// wait in a bounded queue; lines that find it full are dropped and counted.
type AsyncWriter struct {
	out     io.Writer
	pending *ring.Ring[[]byte]
	dropped atomic.Int64
}

// NewAsyncWriter returns a writer that queues up to capacity lines for out. Run
// writes them.
func NewAsyncWriter(out io.Writer, capacity int) *AsyncWriter {
	return &AsyncWriter{out: out, pending: ring.New[[]byte]("log lines", capacity)}
}

// Write queues a line. It never fails: a line that finds the queue full is
// dropped and counted.
func (a *AsyncWriter) Write(line []byte) (int, error) {
	if a.pending.TryPut(append([]byte(nil), line...)) != nil {
		a.dropped.Add(1)
	}
	return len(line), nil
}

// Run writes queued lines until ctx ends, then writes those still queued.
func (a *AsyncWriter) Run(ctx context.Context) {
	for {
		first, err := a.pending.Take(ctx)
		if err != nil {
			a.flush(nil)
			return
		}
		a.flush(first)
	}
}

// flush writes the batch and all queued lines, in batches of about
// maxBatchBytes. If lines were dropped, it adds a line with their number.
func (a *AsyncWriter) flush(batch []byte) {
	for {
		if dropped := a.dropped.Swap(0); dropped > 0 {
			batch = fmt.Appendf(batch, `{"level":"WARN","msg":"lines left out","omitted":%d}`+"\n", dropped)
		}
		for len(batch) < maxBatchBytes && a.pending.Len() > 0 {
			batch = append(batch, <-a.pending.Chan()...)
		}
		if len(batch) == 0 {
			return
		}
		// A failed write, such as to a closed or full standard output, can't be
		// reported anywhere else.
		_, _ = a.out.Write(batch)
		batch = nil
	}
}
