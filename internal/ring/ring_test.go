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

// TestRing compares a ring with a slice.
func TestRing(t *testing.T) {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(1, 5).Draw(t, "capacity")
		r := ring.New[int]("orders", capacity)
		var want []int
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				if r.Len() != len(want) {
					t.Fatalf("holds %d instead of %d", r.Len(), len(want))
				}
			},
			"put": func(t *rapid.T) {
				item := rapid.Int().Draw(t, "item")
				err := r.Put(item)
				var full *ring.FullError
				if errors.As(err, &full) != (len(want) == capacity) {
					t.Fatalf("%d of %d held: %v", len(want), capacity, err)
				}
				if err == nil {
					want = append(want, item)
				} else if err := r.PutWait(ended, item); !errors.Is(err, context.Canceled) {
					t.Fatal(err)
				}
			},
			"take": func(t *rapid.T) {
				if len(want) == 0 {
					if _, err := r.Take(ended); !errors.Is(err, context.Canceled) {
						t.Fatal(err)
					}
					return
				}
				got, err := r.Take(context.Background())
				if err != nil || got != want[0] {
					t.Fatalf("%d instead of %d: %v", got, want[0], err)
				}
				want = want[1:]
			},
		})
	})
}
