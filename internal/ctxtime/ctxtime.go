// Package ctxtime provides waits and interval loops that end with a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits for a duration or until the context ends. It returns false if the context
// ended first.
func Sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// WaitClosed waits until a channel is closed, the timeout has passed or the context ends. It
// reports whether the channel was closed.
func WaitClosed(ctx context.Context, done <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// RunEvery calls do at an interval until the context ends, the first time after one
// interval. A call that takes longer delays the next one. It always returns nil; the error
// result lets a background task, which returns an error, return the call directly.
func RunEvery(ctx context.Context, interval time.Duration, do func(now time.Time)) error {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case now := <-ticker.C:
			do(now)
		}
	}
}
