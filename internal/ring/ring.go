// Package ring provides a bounded queue between goroutines. A full queue rejects
// new items with a typed error and never drops an item that it accepted.
package ring

import (
	"context"
	"fmt"
)

// FullError reports that a queue is at its capacity.
type FullError struct {
	Name     string
	Capacity int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("queue %s is full (capacity %d)", e.Name, e.Capacity)
}

// Ring is a bounded first-in, first-out queue that any number of goroutines may
// use concurrently.
type Ring[T any] struct {
	name string
	ch   chan T
}

// New returns an empty queue for up to capacity items. The name appears in
// FullError.
func New[T any](name string, capacity int) *Ring[T] {
	return &Ring[T]{name: name, ch: make(chan T, capacity)}
}

// TryPut adds an item without waiting, or returns a *FullError.
func (r *Ring[T]) TryPut(item T) error {
	select {
	case r.ch <- item:
		return nil
	default:
		return &FullError{Name: r.name, Capacity: cap(r.ch)}
	}
}

// PutWait adds an item. While the queue is full, it waits until ctx ends.
func (r *Ring[T]) PutWait(ctx context.Context, item T) error {
	select {
	case r.ch <- item:
		return nil
	case <-ctx.Done():
		return context.Cause(ctx)
	}
}

// Take removes and returns the oldest item. While the queue is empty, it waits
// until ctx ends.
func (r *Ring[T]) Take(ctx context.Context) (T, error) {
	select {
	case item := <-r.ch:
		return item, nil
	case <-ctx.Done():
		var zero T
		return zero, context.Cause(ctx)
	}
}

// Chan returns the channel to receive items from, for use in a select.
func (r *Ring[T]) Chan() <-chan T { return r.ch }

// Len returns the number of queued items.
func (r *Ring[T]) Len() int { return len(r.ch) }
