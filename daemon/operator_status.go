package daemon

import (
	"maps"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// peerStatus holds the time of a peer's last frame and the last generation that it reported.
type peerStatus struct {
	lastHeard  time.Time
	generation uint64
}

// peerStatuses keeps the status of each peer, for operators. It is safe for concurrent
// use.
type peerStatuses struct {
	mu       sync.Mutex
	statuses map[string]peerStatus
}

func newPeerStatuses() *peerStatuses {
	return &peerStatuses{statuses: make(map[string]peerStatus)}
}

// onMessage records a frame of a peer. Only some frames carry a generation.
func (p *peerStatuses) onMessage(from string, m *peerpb.Envelope) {
	generation, ok := generationOf(m)
	p.mu.Lock()
	defer p.mu.Unlock()
	status := p.statuses[from]
	status.lastHeard = time.Now()
	if ok {
		status.generation = generation
	}
	p.statuses[from] = status
}

// snapshot returns a copy of the statuses by peer.
func (p *peerStatuses) snapshot() map[string]peerStatus {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.statuses)
}

// generationOf returns the generation that a message reports, and false if it has none.
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

// targetStates keeps the probed states of owned targets, for operators. It is safe for
// concurrent use.
type targetStates struct {
	mu     sync.Mutex
	states map[string]string
}

func newTargetStates() *targetStates {
	return &targetStates{states: make(map[string]string)}
}

var targetStateNames = map[owner.TargetState]string{
	owner.TargetUp:      "up",
	owner.TargetDown:    "down",
	owner.TargetLeaving: "leaving",
	owner.TargetEjected: "ejected",
}

func (t *targetStates) set(target string, state owner.TargetState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.states[target] = targetStateNames[state]
}

// snapshot returns a copy of the states by target.
func (t *targetStates) snapshot() map[string]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.states)
}
