// Package pause waits for a time or for the end of a context.
package pause

import (
	"context"
	"time"
)

// For waits, but not beyond the end of the context, and reports false when the
// context ended first.
func For(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
