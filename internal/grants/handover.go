package grants

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/topology"
)

// TopologyChanged must be called after the topology changed. It registers the grants in
// use with the new owners of their groups, and has waiting requests sent to them.
func (c *Client) TopologyChanged() {
	c.updatePlanner()
	for _, daemon := range c.updateOwners() {
		c.resync(daemon)
		c.resyncLater(daemon)
	}
}

// SessionLost must be called when the session with a daemon ended. Requests that wait
// at that daemon are sent again.
func (c *Client) SessionLost(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pending {
		if p.owner == daemon {
			p.signalResend()
		}
	}
}

// SessionUp must be called when a session with a daemon is up. The daemon may have
// missed releases, so it gets the list of the grants that are held there.
func (c *Client) SessionUp(daemon string) {
	c.resync(daemon)
	c.resyncLater(daemon)
}

// resyncInterval bounds how long a slot stays in use when an owner dropped a release
// because its event ring was full.
const resyncInterval = 10 * time.Second

// Run resyncs with all owners every resyncInterval until the context ends.
func (c *Client) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, resyncInterval, func(now time.Time) {
		c.dropOldAsks(now)
		for _, daemon := range c.askedOwners() {
			c.resync(daemon)
		}
	})
}

// askedOwners returns the last known owners of the groups that were asked.
func (c *Client) askedOwners() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	daemons := make(map[string]bool)
	for _, owner := range c.owners {
		daemons[owner] = true
	}
	return slices.Collect(maps.Keys(daemons))
}

// resyncDelay is the time after which a resync is repeated. Owners keep grants that
// are younger than 2 s even if the resync does not list them, since the grant and the
// resync may have crossed in transit. The repetition drops those that were lost.
const resyncDelay = 2500 * time.Millisecond

// resync sends a daemon the list of the grants that are held in each of its groups.
// Groups without grants are included, since their releases may have been lost.
func (c *Client) resync(daemon string) {
	c.mu.Lock()
	byKey := make(map[topology.Key]*peerpb.Resync)
	for key, owner := range c.owners {
		if owner == daemon {
			byKey[key] = &peerpb.Resync{Service: key.Service, Group: uint32(key.Number)}
		}
	}
	for _, h := range c.held {
		if h.owner == daemon {
			addHeld(byKey, h)
		}
	}
	c.mu.Unlock()
	for _, message := range byKey {
		_ = c.send(daemon, message)
	}
}

// resyncLater resyncs with a daemon after resyncDelay, and again until the resync can
// be sent or the daemon owns no group that was asked.
func (c *Client) resyncLater(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.resyncTimers[daemon]; timer != nil && timer.Reset(resyncDelay) {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(resyncDelay, func() {
		c.mu.Lock()
		if c.resyncTimers[daemon] == timer {
			delete(c.resyncTimers, daemon)
		}
		c.mu.Unlock()
		c.resync(daemon)
	})
	c.resyncTimers[daemon] = timer
}

// recordOwner records the owner of a group that is asked for the first time. It prefers
// the owner in the current topology, which may have changed since the group was chosen.
// The caller holds the lock.
func (c *Client) recordOwner(pick groupChoice) {
	if _, known := c.owners[pick.key]; known {
		return
	}
	c.owners[pick.key] = pick.owner
	if current := findOwner(c.allTopologies(), pick.key); current != "" {
		c.owners[pick.key] = current
	}
}

// updateOwners updates the owners of groups and held grants, signals waiting requests
// whose group has another owner, and returns the daemons that became owners.
func (c *Client) updateOwners() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	topologies := c.allTopologies()
	changed := make(map[string]bool)
	for key, last := range c.owners {
		next := findOwner(topologies, key)
		switch {
		case next != "" && next != last:
			c.owners[key] = next
			changed[next] = true
		case key.Number < FallbackGroup && findGroup(topologies, key) == nil:
			delete(c.owners, key)
		}
	}
	for _, h := range c.held {
		if next := findOwner(topologies, h.key); next != "" && next != h.owner {
			h.owner = next
			changed[next] = true
		}
	}
	for _, p := range c.pending {
		if next := findOwner(topologies, p.key); next != "" && next != p.owner {
			p.signalResend()
		}
	}
	return slices.Collect(maps.Keys(changed))
}

// findGroup returns the group with a key, or nil.
func findGroup(topologies []*topology.Topology, key topology.Key) *topology.Group {
	for _, t := range topologies {
		if t.DataCentre == key.DataCentre {
			return t.Group(key)
		}
	}
	return nil
}

// findOwner returns the owner of the group with a key, or "".
func findOwner(topologies []*topology.Topology, key topology.Key) string {
	if group := findGroup(topologies, key); group != nil {
		return group.Owner
	}
	return ""
}

func addHeld(byKey map[topology.Key]*peerpb.Resync, h *heldGrant) {
	message := byKey[h.key]
	if message == nil {
		message = &peerpb.Resync{Service: h.key.Service, Group: uint32(h.key.Number)}
		byKey[h.key] = message
	}
	message.Held = append(message.Held, &peerpb.HeldGrant{Reserve: h.reserve, Target: h.target})
}

func (p *pendingReserve) signalResend() {
	select {
	case p.resend <- struct{}{}:
	default:
	}
}
