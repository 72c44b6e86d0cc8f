package daemon

import (
	"maps"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// heardPeer is what a peer's frames told last.
type heardPeer struct {
	at         time.Time
	generation uint64
}

// peerViews keeps the generation that each peer reported. It is safe for
// concurrent use.
type peerViews struct {
	mu    sync.Mutex
	views map[string]heardPeer
}

func newPeerViews() *peerViews {
	return &peerViews{views: make(map[string]heardPeer)}
}

// onMessage notes a frame; only some frames carry a generation.
func (p *peerViews) onMessage(from string, m *peerpb.Envelope) {
	generation, ok := generationOf(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	view := p.views[from]
	view.at = time.Now()
	if ok {
		view.generation = generation
	}
	p.views[from] = view
}

func (p *peerViews) snapshot() map[string]heardPeer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.views)
}

func generationOf(m *peerpb.Envelope) (uint64, bool) {
	switch body := m.Body.(type) {
	case *peerpb.Envelope_Ping:
		return body.Ping.Generation, true
	case *peerpb.Envelope_Pong:
		return body.Pong.Generation, true
	case *peerpb.Envelope_ConfigAnnounce:
		return body.ConfigAnnounce.Generation, true
	}
	return 0, false
}

// targetStates keeps the probed states of owned targets for operators. It is
// safe for concurrent use.
type targetStates struct {
	mu     sync.Mutex
	states map[string]string
}

func newTargetStates() *targetStates {
	return &targetStates{states: make(map[string]string)}
}

var stateNames = map[owner.TargetState]string{
	owner.TargetUp:      "up",
	owner.TargetDown:    "down",
	owner.TargetLeaving: "leaving",
	owner.TargetEjected: "ejected",
}

func (t *targetStates) set(target string, state owner.TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[target] = stateNames[state]
}

func (t *targetStates) snapshot() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.states)
}
