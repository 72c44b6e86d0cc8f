package grants

import "time"

// maxAskAge is the age from which an ask without a reply is forgotten.
const maxAskAge = 5 * time.Second

// ask identifies a reserve that was sent to an owner.
type ask struct {
	id, owner string
}

// recordAsk records that a reserve was sent. The caller holds the lock.
func (c *Client) recordAsk(a ask) {
	if _, open := c.askedAt[a]; !open {
		c.askedAt[a] = time.Now()
	}
}

// observeReply records the time of an owner's first reply to a reserve, and that the owner
// replies. It returns the time since the ask, and false for a later reply. The caller holds
// the lock.
func (c *Client) observeReply(owner, id string) (time.Duration, bool) {
	delete(c.unansweredAt, owner)
	a := ask{id: id, owner: owner}
	at, open := c.askedAt[a]
	if !open {
		return 0, false
	}
	delete(c.askedAt, a)
	roundTrip := time.Since(at)
	c.replyTimes.Observe(owner, roundTrip)
	return roundTrip, true
}

// recordUnanswered records that an owner did not reply in the usual time.
func (c *Client) recordUnanswered(owner string) {
	c.mu.Lock()
	c.unansweredAt[owner] = time.Now()
	c.mu.Unlock()
	c.OnUnanswered(owner)
}

// isUnanswered reports whether an owner recently did not reply in time and has not replied
// since. The caller holds the lock.
func (c *Client) isUnanswered(owner string) bool {
	at, unanswered := c.unansweredAt[owner]
	return unanswered && time.Since(at) < avoidTime
}

// splitUnanswered separates the groups whose owners did not reply in time from the others.
func (c *Client) splitUnanswered(choices []groupChoice) (replying, unanswered []groupChoice) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, pick := range choices {
		if c.isUnanswered(pick.owner) {
			unanswered = append(unanswered, pick)
		} else {
			replying = append(replying, pick)
		}
	}
	return replying, unanswered
}

// dropOldAsks forgets the asks that will hardly be answered any more.
func (c *Client) dropOldAsks(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for a, at := range c.askedAt {
		if now.Sub(at) > maxAskAge {
			delete(c.askedAt, a)
		}
	}
}
