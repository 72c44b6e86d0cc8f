package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// successors is the number of live daemons watched in the own data centre.
	successors = 3
	// passedOver bounds the daemons that are not live and are probed slowly
	// because they stand between this daemon and its successors.
	passedOver = 8
	// gossipFanout is the number of peers that a round of gossip goes to.
	gossipFanout = 3
	// gossipSessions is the number of sessions in the data centre from which on
	// gossip opens no further ones. Each idle session costs pings, and a full
	// mesh of 160 daemons spreads a change no faster (docs/decisions/membership.md).
	gossipSessions = 12
	// rumorsPerMessage bounds one message to about 3 KB.
	rumorsPerMessage = 48
	// syncMembers is the size of the part of the table that is sent to one
	// random peer every syncInterval. It repairs what gossip has missed.
	syncMembers  = 32
	syncInterval = 5 * time.Second
)

// rumor is a change that is still being passed on.
type rumor struct {
	member Member
	rounds int
}

// Watched returns the daemons that this one watches.
func (t *Table) Watched() []string {
	return slices.Clone(t.watch)
}

// updateWatch computes the watch set: the next live daemons in the rendezvous
// order of the data centre, and one daemon in each other data centre.
func (t *Table) updateWatch(now time.Time) {
	if !t.stale {
		return
	}
	t.stale = false
	byDataCentre := map[string][]string{}
	for _, name := range t.names() {
		e := t.entries[name]
		if e.State != Leaving && !e.listLeaving && name != t.self.Name {
			byDataCentre[e.DataCentre] = append(byDataCentre[e.DataCentre], name)
		}
	}
	watch := t.ownSuccessors(byDataCentre[t.self.DataCentre])
	for dataCentre, names := range byDataCentre {
		if dataCentre != t.self.DataCentre {
			watch = append(watch, t.remoteWatch(names))
		}
	}
	slices.Sort(watch)
	for name, e := range t.entries {
		_, watched := slices.BinarySearch(watch, name)
		switch {
		case !watched:
			e.watchedSince = time.Time{}
		case e.watchedSince.IsZero():
			e.watchedSince = now
		}
	}
	t.watch = watch
}

// ownSuccessors walks along the ring until three live daemons are found. Dead
// and silent ones on the way are watched too, so that their return is noticed.
func (t *Table) ownSuccessors(names []string) []string {
	ring := rendezvous.Rank(t.self.DataCentre, append(names, t.self.Name))
	start := slices.Index(ring, t.self.Name)
	var watch []string
	live, other := 0, 0
	for i := 1; i < len(ring) && live < successors; i++ {
		name := ring[(start+i)%len(ring)]
		if t.entries[name].isLive() {
			live++
			watch = append(watch, name)
		} else if other < passedOver {
			other++
			watch = append(watch, name)
		}
	}
	return watch
}

// near tells whether a live member of the data centre is among the next live
// daemons on the ring in either direction.
func (t *Table) near(name string) bool {
	var live []string
	for _, n := range t.names() {
		if e := t.entries[n]; e.DataCentre == t.self.DataCentre && e.isLive() {
			live = append(live, n)
		}
	}
	ring := rendezvous.Rank(t.self.DataCentre, live)
	other := slices.Index(ring, name)
	if other < 0 {
		return false
	}
	distance := max(other, slices.Index(ring, t.self.Name)) - min(other, slices.Index(ring, t.self.Name))
	return min(distance, len(ring)-distance) <= successors
}

// remoteWatch prefers a live daemon. While none is, it picks any, so that the
// end of a partition is noticed.
func (t *Table) remoteWatch(names []string) string {
	var live []string
	for _, name := range names {
		if t.entries[name].isLive() {
			live = append(live, name)
		}
	}
	if len(live) > 0 {
		return rendezvous.Owner(t.self.Name, live)
	}
	return rendezvous.Owner(t.self.Name, names)
}

// probeWatched probes silent daemons and suspects those that stay silent.
func (t *Table) probeWatched(now time.Time) {
	for _, name := range t.watch {
		e := t.entries[name]
		if e == nil {
			continue
		}
		interval := probeInterval
		if !e.isLive() {
			interval = slowProbeInterval
		}
		if now.Sub(e.heard) >= probeInterval && now.Sub(e.probed) >= interval {
			e.probed = now
			t.pending = append(t.pending, Probe{To: name})
		}
		silent := min(now.Sub(e.heard), now.Sub(e.watchedSince))
		if e.State == Alive && silent >= suspectAfter {
			t.change(now, e, Suspect)
			t.spread(e.Member)
		}
	}
}

// probeUnconfirmed probes a random daemon of the data centre that is listed and
// of which nothing was ever heard, directly or by gossip. In the second half of
// the first grace period, it does so in every tick, since gossip is lost while
// the sessions of a common start are not up yet.
func (t *Table) probeUnconfirmed(now time.Time) {
	if now.Before(t.nextConfirm) {
		return
	}
	if now.Sub(t.started) > t.grace {
		t.nextConfirm = now.Add(slowProbeInterval)
	}
	var names []string
	for _, name := range t.names() {
		e := t.entries[name]
		if e.inList && !e.listLeaving && e.Incarnation == 0 && e.DataCentre == t.self.DataCentre {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		t.pending = append(t.pending, Probe{To: names[t.random.IntN(len(names))]})
	}
}

// spread starts passing on a change. A newer change of the same member takes
// its place.
func (t *Table) spread(m Member) {
	rounds := 2 + bits.Len(uint(len(t.entries)))/2
	for i := range t.rumors {
		if t.rumors[i].member.Name == m.Name {
			t.rumors[i] = rumor{member: m, rounds: rounds}
			return
		}
	}
	t.rumors = append(t.rumors, rumor{member: m, rounds: rounds})
}

// gossip sends the changes to random peers. A suspect is told of its suspicion
// too, so that it can refute it.
func (t *Table) gossip(now time.Time) {
	if len(t.rumors) > 0 {
		t.sendRumors()
	}
	if now.Before(t.nextSync) {
		return
	}
	t.nextSync = now.Add(t.syncDelay())
	peers := t.gossipPeers(1)
	if len(peers) > 0 {
		t.pending = append(t.pending, Gossip{To: peers, Members: t.nextPart()})
	}
}

func (t *Table) sendRumors() {
	count := min(len(t.rumors), rumorsPerMessage)
	members := make([]Member, 0, count)
	var suspects []string
	kept := t.rumors[:0:0]
	for i, r := range t.rumors {
		if i >= count {
			kept = append(kept, r)
			continue
		}
		members = append(members, r.member)
		if r.member.State == Suspect {
			suspects = append(suspects, r.member.Name)
		}
		if r.rounds--; r.rounds > 0 {
			kept = append(kept, r)
		}
	}
	t.rumors = kept
	peers := t.gossipPeers(gossipFanout)
	for _, name := range suspects {
		if !slices.Contains(peers, name) && t.entries[name] != nil && t.entries[name].session {
			peers = append(peers, name)
		}
	}
	if len(peers) > 0 {
		t.pending = append(t.pending, Gossip{To: peers, Members: members})
	}
}

// gossipPeers picks random live peers, of those with a session when they are
// enough. The last one is a session peer of another data centre when there is
// one: gossip opens no sessions to other data centres.
func (t *Table) gossipPeers(count int) []string {
	var own, connected, other []string
	for _, name := range t.names() {
		e := t.entries[name]
		switch {
		case name == t.self.Name || !e.isLive():
		case e.DataCentre == t.self.DataCentre:
			own = append(own, name)
			if e.session {
				connected = append(connected, name)
			}
		case e.session:
			other = append(other, name)
		}
	}
	if len(connected) >= gossipSessions {
		own = connected
	}
	t.random.Shuffle(len(own), func(i, j int) { own[i], own[j] = own[j], own[i] })
	remote := 0
	if len(other) > 0 && (count > 1 || t.random.IntN(gossipFanout) == 0 || len(own) == 0) {
		remote = 1
	}
	peers := own[:min(len(own), count-remote)]
	if remote > 0 {
		peers = append(peers, other[t.random.IntN(len(other))])
	}
	return peers
}

// nextPart returns the next part of the table in name order, this daemon first.
func (t *Table) nextPart() []Member {
	part := []Member{t.self}
	names := t.names()
	start, _ := slices.BinarySearch(names, t.syncFrom)
	for i := range min(len(names), syncMembers) {
		name := names[(start+i)%len(names)]
		if e := t.entries[name]; e.Incarnation > 0 && e.State != Listed && name != t.self.Name {
			part = append(part, e.Member)
		}
		t.syncFrom = names[(start+i+1)%len(names)]
	}
	return part
}

// syncDelay spreads the repairs of daemons that started together.
func (t *Table) syncDelay() time.Duration {
	return syncInterval/2 + time.Duration(t.random.Int64N(int64(syncInterval)))
}
