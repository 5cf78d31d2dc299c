package agent

import (
	"context"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
)

// Requests go on coming while an agent stops: each is counted until it is
// refused, also one that comes just as nothing is in flight.
func TestRequestsThatComeDuringAStopAreCounted(t *testing.T) {
	t.Parallel()
	var f flights
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			for range 2000 {
				f.enter()
				f.leave()
			}
		})
		group.Go(func() {
			for range 200 {
				if err := f.wait(t.Context()); err != nil {
					t.Error(err)
				}
			}
		})
	}
	group.Wait()
	if f.count != 0 {
		t.Errorf("%d still counted", f.count)
	}
}

func TestAStopWaitsForWhatIsInFlight(t *testing.T) {
	t.Parallel()
	var f flights
	f.enter()
	gone := errors.New("out of time")
	ctx, cancel := context.WithCancelCause(t.Context())
	cancel(gone)
	if err := f.wait(ctx); !errors.Is(err, gone) {
		t.Errorf("waited for nothing: %v", err)
	}
	done := make(chan error, 1)
	go func() { done <- f.wait(t.Context()) }()
	f.leave()
	if err := <-done; err != nil {
		t.Error(err)
	}
}
