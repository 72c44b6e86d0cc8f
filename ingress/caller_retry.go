package ingress

import (
	"sync"
	"time"
)

// returnMargin is what a first attempt may lose on its way to the daemon.
const returnMargin = 100 * time.Millisecond

// maxTimes bounds the ingresses that are remembered; a manifest has hundreds.
const maxTimes = 10_000

// callerTimes tells first attempts from those of callers that were sent away before:
// callers of one ingress wait equally long, and one that comes back has less time
// left. It is safe for concurrent use.
type callerTimes struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// returned records the time left of a request and says whether it is a later attempt.
func (c *callerTimes) returned(ingress string, left time.Duration) bool {
	if left <= 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	longest := c.longest[ingress]
	if left > longest {
		if len(c.longest) >= maxTimes {
			clear(c.longest)
		}
		c.longest[ingress] = left
	}
	return left < longest-returnMargin
}
