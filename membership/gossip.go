package membership

import (
	"math/bits"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/rendezvous"
)

const (
	// watchedSuccessors is the number of live daemons of its own data centre that
	// a daemon watches.
	watchedSuccessors = 3
	// maxWatchedNotLive bounds the daemons that are watched, with slow probes,
	// although they are not live, because they stand on the ring between this
	// daemon and its successors.
	maxWatchedNotLive = 8
	// gossipFanout is the number of peers that get each gossip message.
	gossipFanout = 3
	// enoughGossipSessions is the number of sessions in the data centre at which
	// gossip opens no further ones. Each idle session costs pings, and a full
	// mesh of 160 daemons spreads a change no faster (docs/decisions/membership.md).
	enoughGossipSessions = 12
	// membersPerMessage bounds one message to about 3 KB.
	membersPerMessage = 48
	// membersPerSync is the largest number of members sent to one random peer in
	// each sync, about every syncInterval. Syncs repair what gossip has missed.
	membersPerSync = 32
	syncInterval   = 5 * time.Second
)

// gossipUpdate is a change of a member and the number of rounds in which it is still
// sent.
type gossipUpdate struct {
	member     Member
	roundsLeft int
}

// Watched returns the names of the daemons that this one watches, in order.
func (t *Table) Watched() []string {
	return slices.Clone(t.watched)
}

// updateWatched computes the watched set again if it is stale: the next live daemons
// in the rendezvous order of the data centre, and one daemon in each other data
// centre.
func (t *Table) updateWatched(now time.Time) {
	if !t.watchedStale {
		return
	}
	t.watchedStale = false
	byDataCentre := map[string][]string{}
	for _, name := range t.allNames() {
		tm := t.members[name]
		if tm.State != Leaving && !tm.listedLeaving && name != t.self.Name {
			byDataCentre[tm.DataCentre] = append(byDataCentre[tm.DataCentre], name)
		}
	}
	watchedNames := t.localSuccessors(byDataCentre[t.self.DataCentre])
	for dataCentre, names := range byDataCentre {
		if dataCentre != t.self.DataCentre {
			watchedNames = append(watchedNames, t.pickRemote(names))
		}
	}
	slices.Sort(watchedNames)
	for name, tm := range t.members {
		_, watched := slices.BinarySearch(watchedNames, name)
		switch {
		case !watched:
			tm.watchedSince = time.Time{}
		case tm.watchedSince.IsZero():
			tm.watchedSince = now
		}
	}
	t.watched = watchedNames
}

// localSuccessors follows the ring until it has found watchedSuccessors live
// daemons. Up to maxWatchedNotLive daemons on the way that are not live are
// included, so that their return is noticed.
func (t *Table) localSuccessors(names []string) []string {
	ring := rendezvous.Rank(t.self.DataCentre, append(names, t.self.Name))
	start := slices.Index(ring, t.self.Name)
	var watchedNames []string
	live, notLive := 0, 0
	for i := 1; i < len(ring) && live < watchedSuccessors; i++ {
		name := ring[(start+i)%len(ring)]
		if t.members[name].isLive() {
			live++
			watchedNames = append(watchedNames, name)
		} else if notLive < maxWatchedNotLive {
			notLive++
			watchedNames = append(watchedNames, name)
		}
	}
	return watchedNames
}

// isRingNeighbour reports whether a live member of the data centre is at most
// watchedSuccessors positions away on the ring of live daemons, in either direction.
func (t *Table) isRingNeighbour(name string) bool {
	var live []string
	for _, n := range t.allNames() {
		if tm := t.members[n]; tm.DataCentre == t.self.DataCentre && tm.isLive() {
			live = append(live, n)
		}
	}
	ring := rendezvous.Rank(t.self.DataCentre, live)
	otherIndex := slices.Index(ring, name)
	if otherIndex < 0 {
		return false
	}
	distance := max(otherIndex, slices.Index(ring, t.self.Name)) - min(otherIndex, slices.Index(ring, t.self.Name))
	return min(distance, len(ring)-distance) <= watchedSuccessors
}

// pickRemote picks the daemon of another data centre to watch: a live one, or any
// while none is live, so that the end of a partition is noticed.
func (t *Table) pickRemote(names []string) string {
	var live []string
	for _, name := range names {
		if t.members[name].isLive() {
			live = append(live, name)
		}
	}
	if len(live) > 0 {
		return rendezvous.Owner(t.self.Name, live)
	}
	return rendezvous.Owner(t.self.Name, names)
}

// probeWatched probes watched daemons that are silent and suspects those that stay
// silent for suspectAfter.
func (t *Table) probeWatched(now time.Time) {
	for _, name := range t.watched {
		tm := t.members[name]
		if tm == nil {
			continue
		}
		interval := probeInterval
		if !tm.isLive() {
			interval = slowProbeInterval
		}
		if now.Sub(tm.lastHeard) >= probeInterval && now.Sub(tm.lastProbed) >= interval {
			tm.lastProbed = now
			t.pendingActions = append(t.pendingActions, Probe{To: name})
		}
		silent := min(now.Sub(tm.lastHeard), now.Sub(tm.watchedSince))
		if tm.State == Alive && silent >= suspectAfter {
			t.setState(now, tm, Suspect)
			t.queueUpdate(tm.Member)
		}
	}
}

// probeUnconfirmed probes a random daemon of the data centre that is listed and
// not confirmed: nothing was heard of it, directly or by gossip. In the second half
// of the first grace period it does so in every tick, because gossip is lost while
// the sessions of daemons that start together are not up yet; later, every
// slowProbeInterval.
func (t *Table) probeUnconfirmed(now time.Time) {
	if now.Before(t.nextUnconfirmedProbe) {
		return
	}
	if now.Sub(t.started) > t.grace {
		t.nextUnconfirmedProbe = now.Add(slowProbeInterval)
	}
	var names []string
	for _, name := range t.allNames() {
		tm := t.members[name]
		if tm.listed && !tm.listedLeaving && tm.Incarnation == 0 && tm.DataCentre == t.self.DataCentre {
			names = append(names, name)
		}
	}
	if len(names) > 0 {
		t.pendingActions = append(t.pendingActions, Probe{To: names[t.random.IntN(len(names))]})
	}
}

// queueUpdate queues a change of a member for gossip. It replaces an older change
// of the same member.
func (t *Table) queueUpdate(m Member) {
	rounds := 2 + bits.Len(uint(len(t.members)))/2
	for i := range t.updates {
		if t.updates[i].member.Name == m.Name {
			t.updates[i] = gossipUpdate{member: m, roundsLeft: rounds}
			return
		}
	}
	t.updates = append(t.updates, gossipUpdate{member: m, roundsLeft: rounds})
}

// gossip sends the queued updates to random peers, and part of the table when a
// sync is due.
func (t *Table) gossip(now time.Time) {
	if len(t.updates) > 0 {
		t.sendUpdates()
	}
	if now.Before(t.nextSync) {
		return
	}
	t.nextSync = now.Add(t.syncDelay())
	peers := t.gossipPeers(1)
	if len(peers) > 0 {
		t.pendingActions = append(t.pendingActions, Gossip{To: peers, Members: t.nextSyncMembers()})
	}
}

// sendUpdates sends up to membersPerMessage queued updates to random peers. A
// suspect with a session gets them too, so that it can refute the suspicion.
func (t *Table) sendUpdates() {
	count := min(len(t.updates), membersPerMessage)
	members := make([]Member, 0, count)
	var suspects []string
	remaining := t.updates[:0:0]
	for i, u := range t.updates {
		if i >= count {
			remaining = append(remaining, u)
			continue
		}
		members = append(members, u.member)
		if u.member.State == Suspect {
			suspects = append(suspects, u.member.Name)
		}
		if u.roundsLeft--; u.roundsLeft > 0 {
			remaining = append(remaining, u)
		}
	}
	t.updates = remaining
	peers := t.gossipPeers(gossipFanout)
	for _, name := range suspects {
		if !slices.Contains(peers, name) && t.members[name] != nil && t.members[name].hasSession {
			peers = append(peers, name)
		}
	}
	if len(peers) > 0 {
		t.pendingActions = append(t.pendingActions, Gossip{To: peers, Members: members})
	}
}

// gossipPeers picks up to count random live peers of the data centre. From
// enoughGossipSessions sessions with them on, it picks only peers with a session. A
// peer of another data centre that has a session takes one of the places: always when
// count is above 1 or there is no local peer, otherwise in one of gossipFanout calls on
// average. Gossip opens no sessions to other data centres.
func (t *Table) gossipPeers(count int) []string {
	var local, connected, remote []string
	for _, name := range t.allNames() {
		tm := t.members[name]
		switch {
		case name == t.self.Name || !tm.isLive():
		case tm.DataCentre == t.self.DataCentre:
			local = append(local, name)
			if tm.hasSession {
				connected = append(connected, name)
			}
		case tm.hasSession:
			remote = append(remote, name)
		}
	}
	if len(connected) >= enoughGossipSessions {
		local = connected
	}
	t.random.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	remoteCount := 0
	if len(remote) > 0 && (count > 1 || t.random.IntN(gossipFanout) == 0 || len(local) == 0) {
		remoteCount = 1
	}
	peers := local[:min(len(local), count-remoteCount)]
	if remoteCount > 0 {
		peers = append(peers, remote[t.random.IntN(len(remote))])
	}
	return peers
}

// nextSyncMembers returns this daemon and the next members in name order.
func (t *Table) nextSyncMembers() []Member {
	members := []Member{t.self}
	names := t.allNames()
	start, _ := slices.BinarySearch(names, t.nextSyncName)
	for i := range min(len(names), membersPerSync) {
		name := names[(start+i)%len(names)]
		if tm := t.members[name]; tm.Incarnation > 0 && tm.State != Listed && name != t.self.Name {
			members = append(members, tm.Member)
		}
		t.nextSyncName = names[(start+i+1)%len(names)]
	}
	return members
}

// syncDelay returns a random time until the next sync, so that daemons that started
// together do not send theirs at once.
func (t *Table) syncDelay() time.Duration {
	return syncInterval/2 + time.Duration(t.random.Int64N(int64(syncInterval)))
}
