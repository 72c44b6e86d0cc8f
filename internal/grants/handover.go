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

// TopologyChanged is called after the topology changed: grants are registered
// with the new owners of their groups, and waiting requests follow.
func (c *Client) TopologyChanged() {
	for _, daemon := range c.reassign() {
		c.resync(daemon)
		c.resyncLater(daemon)
	}
}

// SessionLost is called when the session with a daemon ended. Requests that
// wait at that daemon are sent again.
func (c *Client) SessionLost(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.waiting {
		if w.owner == daemon {
			w.signalMoved()
		}
	}
}

// SessionUp is called when a session with a daemon is up: it may have missed
// releases, so it is told the grants that are held there.
func (c *Client) SessionUp(daemon string) {
	c.resync(daemon)
	c.resyncLater(daemon)
}

// resyncInterval bounds how long a slot stays taken when an owner dropped a
// release because its event ring was full.
const resyncInterval = 10 * time.Second

// Run resyncs with all owners every resyncInterval until the context ends.
func (c *Client) Run(ctx context.Context) error {
	return ctxtime.RunEvery(ctx, resyncInterval, func(time.Time) {
		for _, daemon := range c.knownOwners() {
			c.resync(daemon)
		}
	})
}

// knownOwners returns the owners of the groups that were asked.
func (c *Client) knownOwners() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	daemons := make(map[string]bool)
	for _, owner := range c.owners {
		daemons[owner] = true
	}
	return slices.Collect(maps.Keys(daemons))
}

// resyncDelay is the time after which a resync is repeated. Owners keep grants
// that are younger than 2 s and not listed, since the grant and the list may have
// crossed on the way; the repetition finds those that were lost.
const resyncDelay = 2500 * time.Millisecond

// resync tells a daemon the grants that are held in each of its groups. Groups
// without grants are told as well: their releases may have been lost.
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

// resyncLater repeats the resync with a daemon after resyncDelay, until it can be
// sent or the daemon owns no group that was asked.
func (c *Client) resyncLater(daemon string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if timer := c.repairs[daemon]; timer != nil && timer.Reset(resyncDelay) {
		return
	}
	var timer *time.Timer
	timer = time.AfterFunc(resyncDelay, func() {
		c.mu.Lock()
		if c.repairs[daemon] == timer {
			delete(c.repairs, daemon)
		}
		c.mu.Unlock()
		c.resync(daemon)
	})
	c.repairs[daemon] = timer
}

// noteOwner records the owner of a group that is asked. It follows the topology,
// which may have changed since the group was chosen; the caller holds the lock.
func (c *Client) noteOwner(pick choice) {
	if _, known := c.owners[pick.key]; known {
		return
	}
	c.owners[pick.key] = pick.owner
	if now := ownerIn(c.allPlaces(), pick.key); now != "" {
		c.owners[pick.key] = now
	}
}

// reassign updates the owners of groups and held grants, signals waiting requests
// and returns the daemons that became owners.
func (c *Client) reassign() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	places := c.allPlaces()
	changed := make(map[string]bool)
	for key, last := range c.owners {
		next := ownerIn(places, key)
		switch {
		case next != "" && next != last:
			c.owners[key] = next
			changed[next] = true
		case key.Number < FallbackGroup && groupIn(places, key) == nil:
			delete(c.owners, key)
		}
	}
	for _, h := range c.held {
		if next := ownerIn(places, h.key); next != "" && next != h.owner {
			h.owner = next
			changed[next] = true
		}
	}
	for _, w := range c.waiting {
		if next := ownerIn(places, w.key); next != "" && next != w.owner {
			w.signalMoved()
		}
	}
	return slices.Collect(maps.Keys(changed))
}

func groupIn(places []*topology.Topology, key topology.Key) *topology.Group {
	for _, place := range places {
		if place.DataCentre == key.DataCentre {
			return place.Group(key)
		}
	}
	return nil
}

func ownerIn(places []*topology.Topology, key topology.Key) string {
	if group := groupIn(places, key); group != nil {
		return group.Owner
	}
	return ""
}

func addHeld(byKey map[topology.Key]*peerpb.Resync, h *held) {
	message := byKey[h.key]
	if message == nil {
		message = &peerpb.Resync{Service: h.key.Service, Group: uint32(h.key.Number)}
		byKey[h.key] = message
	}
	message.Held = append(message.Held, &peerpb.HeldGrant{Reserve: h.reserve, Target: h.target})
}

func (w *wait) signalMoved() {
	select {
	case w.moved <- struct{}{}:
	default:
	}
}
