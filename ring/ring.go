// Package ring provides a bounded first-in first-out queue between goroutines.
// A full ring does not grow: TryPush returns false, and the caller decides whether
// to refuse the item, to drop it or to wait.
package ring

import (
	"context"
	"errors"
	"sync"
)

// ErrClosed is returned by Push and Pop after Close.
var ErrClosed = errors.New("ring closed")

// Ring is a bounded queue. All methods are safe for concurrent use.
type Ring[T any] struct {
	items     chan T
	closed    chan struct{}
	closeOnce sync.Once
}

// New returns a ring for capacity items.
func New[T any](capacity int) *Ring[T] {
	return &Ring[T]{items: make(chan T, capacity), closed: make(chan struct{})}
}

// TryPush adds an item without waiting. It returns false when the ring is full or
// closed.
func (r *Ring[T]) TryPush(item T) bool {
	select {
	case <-r.closed:
		return false
	default:
	}
	select {
	case r.items <- item:
		return true
	default:
		return false
	}
}

// Push adds an item and waits while the ring is full. It returns ErrClosed or
// the context's error when the item was not added.
func (r *Ring[T]) Push(ctx context.Context, item T) error {
	select {
	case r.items <- item:
		return nil
	case <-r.closed:
		return ErrClosed
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Pop removes the oldest item and waits while the ring is empty. Items that
// were added before Close are still returned; then it returns ErrClosed.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var zero T
	select {
	case item := <-r.items:
		return item, nil
	default:
	}
	select {
	case item := <-r.items:
		return item, nil
	case <-r.closed:
		return zero, ErrClosed
	case <-ctx.Done():
		return zero, ctx.Err()
	}
}

// Items returns the channel of the queued items, for a select statement of the only
// consumer. The channel stays open after Close.
func (r *Ring[T]) Items() <-chan T {
	return r.items
}

// Len returns the number of queued items.
func (r *Ring[T]) Len() int {
	return len(r.items)
}

// Close makes further pushes fail; queued items can still be received. It may be
// called more than once.
func (r *Ring[T]) Close() {
	r.closeOnce.Do(func() { close(r.closed) })
}
