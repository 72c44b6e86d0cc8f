package ratelimit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against leases of more units than the bucket holds, waits that are too
// short, and more than minUnits being leased while the bucket is less than half
// full.
func TestBucketLeases(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBucket(now, 100, 800)
	units, wait := b.Lease(now, 101, 101)
	assert.Equal(t, units, 0)
	assert.Assert(t, wait > 0 && wait < 20*time.Millisecond, "%v", wait)
	units, _ = b.Lease(now, 60, 500)
	assert.Equal(t, units, 60)

	full := now.Add(time.Minute)
	units, _ = b.Lease(full, 100, 500)
	assert.Equal(t, units, 400)
	units, wait = b.Lease(full, 500, 500)
	assert.Equal(t, units, 0)
	assert.Equal(t, wait, time.Second)
}

// Guards against a lease larger than the bucket that is never granted, or that is
// granted without being deducted in full.
func TestLeaseAboveBucketSizeIsDeductedInFull(t *testing.T) {
	now := time.Unix(1000, 0)
	b := NewBucket(now, 100, 200)
	full := now.Add(time.Minute)
	units, _ := b.Lease(full, 1000, 1000)
	assert.Equal(t, units, 1000)
	units, wait := b.Lease(full, 10, 10)
	assert.Equal(t, units, 0)
	assert.Assert(t, wait > 8*time.Second, "%v", wait)
}
