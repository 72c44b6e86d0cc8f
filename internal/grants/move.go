package grants

import (
	"context"
	"time"

	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/topology"
)

// PlacesChanged is called after the topology changed: grants are registered
// with the new owners of their groups, and waiting requests follow.
func (c *Client) PlacesChanged() {
	for _, resync := range c.reassign() {
		c.send(resync.owner, resync.message)
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
	c.mu.Lock()
	byKey := make(map[topology.Key]*peerpb.Resync)
	for _, h := range c.held {
		if h.owner == daemon {
			addHeld(byKey, h)
		}
	}
	c.mu.Unlock()
	for _, message := range byKey {
		c.send(daemon, message)
	}
}

// resyncInterval is the time after which an owner learns of a release that was
// lost on the way.
const resyncInterval = 10 * time.Second

// Run tells the owners of the groups in use which grants are held, until the
// context ends. Without it a lost release would keep a slot for ever.
func (c *Client) Run(ctx context.Context) error {
	ticker := time.NewTicker(resyncInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			c.resyncAll()
		}
	}
}

// resyncAll sends one message per group that was used since the last call, also
// when no grant is held there any more.
func (c *Client) resyncAll() {
	c.mu.Lock()
	owners := c.used
	c.used = make(map[topology.Key]string)
	byKey := make(map[topology.Key]*peerpb.Resync, len(owners))
	for key := range owners {
		byKey[key] = &peerpb.Resync{Service: key.Service, Group: uint32(key.Number)}
	}
	for _, h := range c.held {
		owners[h.key] = h.owner
		c.used[h.key] = h.owner
		addHeld(byKey, h)
	}
	c.mu.Unlock()
	for key, message := range byKey {
		c.send(owners[key], message)
	}
}

// resync is a message for a new owner.
type resync struct {
	owner   string
	message *peerpb.Resync
}

// reassign updates the owners of held grants and signals waiting requests.
func (c *Client) reassign() []resync {
	places := c.allPlaces()
	c.mu.Lock()
	defer c.mu.Unlock()
	changed := make(map[topology.Key]*peerpb.Resync)
	owners := make(map[topology.Key]string)
	for _, h := range c.held {
		next := ownerIn(places, h.key)
		if next == "" || next == h.owner {
			continue
		}
		h.owner = next
		owners[h.key] = next
		addHeld(changed, h)
	}
	for _, w := range c.waiting {
		if next := ownerIn(places, w.key); next != "" && next != w.owner {
			w.signalMoved()
		}
	}
	out := make([]resync, 0, len(changed))
	for key, message := range changed {
		out = append(out, resync{owner: owners[key], message: message})
	}
	return out
}

func ownerIn(places []*topology.Topology, key topology.Key) string {
	for _, place := range places {
		if place.DataCentre != key.DataCentre {
			continue
		}
		if group := place.Group(key); group != nil {
			return group.Owner
		}
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
