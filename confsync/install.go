package confsync

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// install puts a generation in force and pushes it along the tree, unless the
// generation in force is equal or higher. The update is the delta or whole set
// as it was received; from is the sender, or empty if it came from the store.
func (s *Syncer) install(from string, next *installedSet, update *peerpb.ConfigData) {
	s.installMu.Lock()
	defer s.installMu.Unlock()
	previous := s.current.Load()
	if next.generation <= previous.generation {
		return
	}
	if update.Base == 0 {
		update = s.deltaFromPrevious(previous, next, update)
	}
	s.setCurrent(next, update)
	for _, f := range s.subscribers {
		f(next.generation, next.set)
	}
	s.config.Logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": next.generation, "from": from})
	s.push(from, update)
}

// deltaFromPrevious returns the delta from the previous generation in force to
// next. It returns whole if there is no previous generation or the delta cannot
// be encoded.
func (s *Syncer) deltaFromPrevious(previous, next *installedSet, whole *peerpb.ConfigData) *peerpb.ConfigData {
	if previous.generation == 0 {
		return whole
	}
	data, err := s.codec.Delta(previous.set, next.set)
	if err != nil {
		return whole
	}
	return &peerpb.ConfigData{Base: previous.generation, Generation: next.generation, Data: data, Digest: next.digest}
}

// setCurrent makes next the generation in force, adds its delta to the history,
// and removes the peers that are not ahead any more. It clears lastPull, so that
// the next pull may be sent at once.
func (s *Syncer) setCurrent(next *installedSet, update *peerpb.ConfigData) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(next)
	s.noteDigest(next.generation, next.digest)
	s.lastPull = time.Time{}
	s.stats.Installed++
	if update.Base > 0 {
		s.history.add(update)
	} else {
		s.history.clear()
	}
	for peer, generation := range s.peersAhead {
		if generation <= next.generation {
			delete(s.peersAhead, peer)
		}
	}
}

// push sends a delta to the neighbours in the tree, except to the peer it came
// from. It sends to the parent as well as to the children, since any of the
// pollers may be the first to find a change. Whole sets are not pushed but
// announced, and a daemon that lacks the generation pulls it.
func (s *Syncer) push(from string, update *peerpb.ConfigData) {
	for _, peer := range s.Neighbours() {
		if peer == from {
			continue
		}
		if update.Base > 0 {
			s.sendData(peer, update)
			continue
		}
		announce := &peerpb.ConfigAnnounce{Generation: update.Generation}
		_ = s.config.Sender.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigAnnounce{ConfigAnnounce: announce}})
	}
}

// treePositionLocked returns the position of this daemon in the push tree. It
// recomputes the position if the list of live daemons has changed. The caller
// holds mu.
func (s *Syncer) treePositionLocked() treePosition {
	live, version := s.config.LiveLocal()
	if !s.position.valid || s.position.liveVersion != version {
		s.position = newTreePosition(s.config.DataCentre, s.config.Self, slices.Clone(live))
		s.position.liveVersion, s.position.valid = version, true
	}
	return s.position
}
