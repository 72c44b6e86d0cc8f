package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// openAfter is the number of failures in a row that opens the breaker.
	openAfter = 5
	// minProbeDelay and maxProbeDelay bound the time between two probes. With
	// 2,600 daemons that all have something to ask, the longest delay leads to
	// about 700 probes a second, a third of the store's reads.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 5 * time.Second
)

// breaker stops calls to a service that does not answer. It is safe for
// concurrent use.
type breaker struct {
	mu       sync.Mutex
	failures int
	open     bool
	probing  bool
	delay    time.Duration
	nextTry  time.Time
	opened   uint64
}

// allow reports whether a call may be made. While the breaker is open, one call
// at a time is let through as a probe.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.nextTry) {
		return false
	}
	b.probing = true
	return true
}

// refuses reports whether allow would refuse a call now. It starts no probe.
func (b *breaker) refuses(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && (b.probing || now.Before(b.nextTry))
}

// succeeded closes the breaker.
func (b *breaker) succeeded() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.open, b.probing, b.delay = 0, false, false, 0
}

// failed counts a failure; it opens the breaker or delays the next probe. It
// reports whether the breaker has just opened.
func (b *breaker) failed(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.open && !b.probing {
		// A call that began before the breaker opened.
		return false
	}
	if !b.open && b.failures < openAfter {
		return false
	}
	opens := !b.open
	if opens {
		b.opened++
	}
	b.open, b.probing = true, false
	b.delay = min(max(2*b.delay, minProbeDelay), maxProbeDelay)
	b.nextTry = now.Add(b.delay/2 + rand.N(b.delay/2))
	return opens
}

// abandoned ends a probe without a result, when its caller gave up.
func (b *breaker) abandoned() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

func (b *breaker) openings() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opened
}
