// Package ctxtime waits for times or for the end of a context.
package ctxtime

import (
	"context"
	"time"
)

// Sleep waits, but not beyond the end of the context, and reports false when the
// context ended first.
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

// WaitClosed waits for a channel to be closed, at most for a time and not beyond the end of
// the context, and reports whether it was closed.
func WaitClosed(ctx context.Context, done <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-done:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

// RunEvery calls do at an interval until the context ends, not at the start. A call that
// takes longer delays the next one. It returns nil, as the duty of a goroutine does that
// ends with its context.
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
