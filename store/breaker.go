package store

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// failuresToOpen is the number of consecutive failures that opens the breaker.
	failuresToOpen = 5
	// minProbeDelay and maxProbeDelay bound the time between two probes. If all
	// 2,600 daemons have calls to make, the longest delay leads to about 700
	// probes a second, a third of the store's capacity for reads.
	minProbeDelay = 500 * time.Millisecond
	maxProbeDelay = 5 * time.Second
)

// breaker is a circuit breaker: it refuses calls to a service that does not answer.
// It is safe for concurrent use.
type breaker struct {
	mu         sync.Mutex
	failures   int
	open       bool
	probing    bool
	probeDelay time.Duration
	nextProbe  time.Time
	openings   uint64
}

// allow reports whether a call may be made. While the breaker is open, it lets one
// call at a time through as a probe, which the caller ends with recordSuccess,
// recordFailure or cancelProbe.
func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.open {
		return true
	}
	if b.probing || now.Before(b.nextProbe) {
		return false
	}
	b.probing = true
	return true
}

// wouldRefuse reports whether allow would return false now. It starts no probe.
func (b *breaker) wouldRefuse(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open && (b.probing || now.Before(b.nextProbe))
}

// recordSuccess closes the breaker and resets the count of failures.
func (b *breaker) recordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures, b.open, b.probing, b.probeDelay = 0, false, false, 0
}

// recordFailure counts a failure. After failuresToOpen consecutive failures it opens
// the breaker; after a failed probe it doubles the delay to the next one, within
// bounds. It reports whether this call opened the breaker.
func (b *breaker) recordFailure(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.failures++
	if b.open && !b.probing {
		// This call started before the breaker opened.
		return false
	}
	if !b.open && b.failures < failuresToOpen {
		return false
	}
	justOpened := !b.open
	if justOpened {
		b.openings++
	}
	b.open, b.probing = true, false
	b.probeDelay = min(max(2*b.probeDelay, minProbeDelay), maxProbeDelay)
	b.nextProbe = now.Add(b.probeDelay/2 + rand.N(b.probeDelay/2))
	return justOpened
}

// cancelProbe ends a probe without a result, when its caller has given up.
func (b *breaker) cancelProbe() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.probing = false
}

// openingCount returns how often the breaker has opened.
func (b *breaker) openingCount() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.openings
}
