// Package ring provides the bounded queue that joins two goroutines. A full
// ring refuses with a typed error; it never drops what it took.
package ring

import (
	"context"
	"fmt"
)

// FullError says that a ring is at its capacity.
type FullError struct {
	Name     string
	Capacity int
}

// Error names the ring.
func (e *FullError) Error() string { return fmt.Sprintf("ring %s is full at %d", e.Name, e.Capacity) }

// Ring is a bounded first-in-first-out queue for any number of writers and readers.
type Ring[T any] struct {
	name  string
	items chan T
}

// New returns an empty ring for up to capacity items.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, items: make(chan T, capacity)}
}

// Put adds an item or returns a *FullError at once.
func (r *Ring[T]) Put(item T) error {
	select {
	case r.items <- item:
		return nil
	default:
		return &FullError{Name: r.name, Capacity: cap(r.items)}
	}
}

// PutWait adds an item, waiting for room until ctx ends.
func (r *Ring[T]) PutWait(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Take removes the oldest item, waiting until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.items:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// Out is the reading side for use in a select.
func (r *Ring[T]) Out() <-chan T { return r.items }

// Len is the number of items held.
func (r *Ring[T]) Len() int { return len(r.items) }
