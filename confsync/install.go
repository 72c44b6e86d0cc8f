package confsync

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// install puts a generation into force unless a higher or equal one is, and
// passes it on along the tree. Link is how it was received; from is the sender,
// or empty when it came from the store.
func (s *Syncer) install(from string, next *inForce, link *peerpb.ConfigData) {
	s.installing.Lock()
	defer s.installing.Unlock()
	previous := s.current.Load()
	if next.generation <= previous.generation {
		return
	}
	if link.Base == 0 {
		link = s.deltaTo(previous, next, link)
	}
	s.remember(next, link)
	for _, f := range s.subscribers {
		f(next.generation, next.set)
	}
	s.config.Logger.Emit(eventlog.ConfigInForce, eventlog.Fields{"generation": next.generation, "from": from})
	s.push(from, link)
}

// deltaTo replaces a whole set by the delta from the generation that was in
// force. The first generation of a daemon has no delta.
func (s *Syncer) deltaTo(previous, next *inForce, whole *peerpb.ConfigData) *peerpb.ConfigData {
	if previous.generation == 0 {
		return whole
	}
	data, err := s.codec.Delta(previous.set, next.set)
	if err != nil {
		return whole
	}
	return &peerpb.ConfigData{Base: previous.generation, Generation: next.generation, Data: data, Digest: next.digest}
}

// remember stores the generation and its link, and forgets the peers that are
// not ahead any more.
func (s *Syncer) remember(next *inForce, link *peerpb.ConfigData) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Store(next)
	s.pulled = time.Time{}
	s.stats.Installed++
	if link.Base > 0 {
		s.history.add(link)
	} else {
		s.history.clear()
	}
	for peer, generation := range s.ahead {
		if generation <= next.generation {
			delete(s.ahead, peer)
		}
	}
}

// push sends a delta to the neighbours in the tree, except to the one that sent
// it. The tree is used in both directions, since either poller may be first.
// Whole sets are not pushed: they are announced, and who lacks them pulls.
func (s *Syncer) push(from string, link *peerpb.ConfigData) {
	for _, peer := range s.Neighbours() {
		if peer == from {
			continue
		}
		if link.Base > 0 {
			s.sendData(peer, link)
			continue
		}
		announce := &peerpb.ConfigAnnounce{Generation: link.Generation}
		_ = s.config.Sender.Send(peer, &peerpb.Envelope{Body: &peerpb.Envelope_ConfigAnnounce{ConfigAnnounce: announce}})
	}
}

// placeLocked returns the position in the data centre. The caller holds mu.
func (s *Syncer) placeLocked() place {
	live, version := s.config.LiveLocal()
	if !s.place.valid || s.place.version != version {
		s.place = newPlace(s.config.DataCentre, s.config.Self, slices.Clone(live))
		s.place.version, s.place.valid = version, true
	}
	return s.place
}
