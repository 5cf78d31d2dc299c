package agent

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
)

// Guards against a miscount or a lost wake-up when requests arrive while the
// agent stops, in particular as the count reaches zero.
func TestInFlightCounterCountsRequestsDuringStop(t *testing.T) {
	t.Parallel()
	var counter inFlightCounter
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 2000 {
				counter.add()
				counter.done()
			}
		})
		group.Go(func() {
			for range 200 {
				if err := counter.wait(t.Context()); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	if counter.count != 0 {
		t.Errorf("%d requests still counted", counter.count)
	}
}

func TestInFlightCounterWaitsForRequestsInFlight(t *testing.T) {
	t.Parallel()
	var counter inFlightCounter
	counter.add()
	errTimeout := errors.New("stop timeout")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(errTimeout)
	if err := counter.wait(ctx); !errors.Is(err, errTimeout) {
		t.Errorf("wait returned %v, want the cause of the context", err)
	}
	done := make(chan error, 1)
	go func() { done <- counter.wait(t.Context()) }()
	counter.done()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
