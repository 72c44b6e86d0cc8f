package ingress

import (
	"sync"
	"time"
)

// maxArrivalJitter is what a first attempt may lose on its way to the daemon.
const maxArrivalJitter = 100 * time.Millisecond

// maxIngresses bounds the ingresses that are remembered; a manifest has hundreds.
const maxIngresses = 10_000

// callerRetryDetector tells first attempts from those of callers that were sent away before:
// callers of one ingress wait equally long, and one that comes back has less time
// left. It is safe for concurrent use.
type callerRetryDetector struct {
	mu              sync.Mutex
	longestTimeLeft map[string]time.Duration
}

// observe records the time left of a request and says whether it is a later attempt.
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
