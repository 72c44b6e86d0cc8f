package ring

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a ring that grows, loses its order, or drops items on Close.
func TestRing(t *testing.T) {
	r := New[int](2)
	assert.Assert(t, r.TryPush(1) && r.TryPush(2) && !r.TryPush(3))
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	assert.ErrorIs(t, r.Push(ended, 3), context.Canceled)
	r.Close()
	r.Close()
	assert.Assert(t, !r.TryPush(3))
	assert.ErrorIs(t, r.Push(t.Context(), 3), ErrClosed)
	for want := 1; want <= 2; want++ {
		got, err := r.Pop(t.Context())
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	_, err := r.Pop(t.Context())
	assert.ErrorIs(t, err, ErrClosed)
}
