package ingress

import (
	"sync"
	"time"
)

// maxArrivalJitter is how much of its time limit a first attempt may use up before it
// reaches the daemon, without being taken for a retry.
const maxArrivalJitter = 100 * time.Millisecond

// maxIngresses bounds the number of ingresses that are tracked; a manifest has hundreds.
const maxIngresses = 10_000

// callerRetryDetector distinguishes first attempts from retries of callers that were shed
// before. All callers of one ingress have the same time limit, so a retry arrives with less
// time left. It is safe for concurrent use.
type callerRetryDetector struct {
	mu sync.Mutex
	// longestTimeLeft is the longest time left seen so far, by ingress.
	longestTimeLeft map[string]time.Duration
}

// observe records the time that the caller of a request has left, and reports whether the
// request is a caller retry. A timeLeft of 0 means that the caller stated none.
func (d *callerRetryDetector) observe(ingress string, timeLeft time.Duration) bool {
	if timeLeft <= 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	longest := d.longestTimeLeft[ingress]
	if timeLeft > longest {
		if len(d.longestTimeLeft) >= maxIngresses {
			clear(d.longestTimeLeft)
		}
		d.longestTimeLeft[ingress] = timeLeft
	}
	return timeLeft < longest-maxArrivalJitter
}
