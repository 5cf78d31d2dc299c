package ring_test

import (
	"context"
	"errors"
	"flag"
	"testing"

	"pgregory.net/rapid"

	"github.com/trefoilkeel/trefoilkeel/internal/ring"
)

func init() { _ = flag.Set("rapid.seed", "20261203") }

// TestRing compares the queue with a slice over random operations.
func TestRing(t *testing.T) {
	canceled, cancel := context.WithCancel(context.Background())
	cancel()
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		queue := ring.New[int]("orders", capacity)
		var want []int
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if queue.Len() != len(want) {
					t.Fatalf("the queue has %d items, want %d", queue.Len(), len(want))
				}
			},
			"put": func(t *rapid.T) {
				item := rapid.Int().Draw(t, "item")
				err := queue.TryPut(item)
				var full *ring.FullError
				if errors.As(err, &full) != (len(want) == capacity) {
					t.Fatalf("TryPut with %d of %d items in the queue: %v", len(want), capacity, err)
				}
				if err == nil {
					want = append(want, item)
				} else if err := queue.PutWait(canceled, item); !errors.Is(err, context.Canceled) {
					t.Fatal(err)
				}
			},
			"take": func(t *rapid.T) {
				if len(want) == 0 {
					if _, err := queue.Take(canceled); !errors.Is(err, context.Canceled) {
						t.Fatal(err)
					}
					return
				}
				got, err := queue.Take(context.Background())
				if err != nil || got != want[0] {
					t.Fatalf("Take returned %d, want %d: %v", got, want[0], err)
				}
				want = want[1:]
			},
		})
	})
}
