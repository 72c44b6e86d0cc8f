package membership

import (
	"slices"
	"time"
)

// Merge applies the gossip that was received from another daemon.
func (t *Table) Merge(now time.Time, from string, members []Member) []Action {
	t.FrameReceived(now, from)
	for _, m := range members {
		if m.Name == t.self.Name {
			t.refute(m)
			continue
		}
		tm := t.findOrAdd(now, m)
		if tm == nil || !m.overrides(tm.Member) {
			continue
		}
		if t.rejectsReport(now, from, tm, m) {
			t.requestRefutation(m)
			continue
		}
		if m.State == Dead && tm.isLive() {
			t.suspectBriefly(now, tm, m)
		} else {
			t.apply(now, tm, m)
		}
		t.queueUpdate(tm.Member)
	}
	return t.takeActions()
}

// sendMembersTo sends the members of the data centre to a daemon that has just
// started. It would otherwise take the whole VM list for live, including members
// that died or left lately. Only its neighbours on the ring do this, once they have
// run for a grace period themselves.
func (t *Table) sendMembersTo(now time.Time, m Member) {
	if m.DataCentre != t.self.DataCentre || now.Sub(t.started) < t.grace || !t.isRingNeighbour(m.Name) {
		return
	}
	var members []Member
	for _, name := range t.allNames() {
		if tm := t.members[name]; tm.DataCentre == t.self.DataCentre && tm.Incarnation > 0 && name != m.Name {
			members = append(members, tm.Member)
		}
	}
	for chunk := range slices.Chunk(members, membersPerMessage) {
		t.pendingActions = append(t.pendingActions, Gossip{To: []string{m.Name}, Members: chunk})
	}
}

// rejectsReport reports whether a report that a member is suspect or dead is not
// accepted: this daemon has heard from the member lately, or the member is in this
// data centre and the report comes from another one, whose daemons may be cut off from
// this one. Each data centre watches its own members.
func (t *Table) rejectsReport(now time.Time, from string, tm *trackedMember, m Member) bool {
	if m.State != Suspect && m.State != Dead {
		return false
	}
	if m.Incarnation == tm.Incarnation && now.Sub(tm.lastHeard) < directEvidenceTime {
		return true
	}
	reporter := t.members[from]
	local := tm.DataCentre == t.self.DataCentre
	return local && reporter != nil && reporter.DataCentre != t.self.DataCentre
}

// requestRefutation sends a daemon what is reported about it, so that it refutes a
// wrong suspicion with a higher incarnation.
func (t *Table) requestRefutation(m Member) {
	if m.Incarnation > 0 {
		t.pendingActions = append(t.pendingActions, Gossip{To: []string{m.Name}, Members: []Member{m}})
	}
}

// suspectBriefly treats the report that a live member is dead as a suspicion that
// ends after refutationTimeout: it dates the suspicion back, so that the grace period
// ends then. After a partition heals, each side takes the other for dead, and the
// refutations arrive shortly after these reports.
func (t *Table) suspectBriefly(now time.Time, tm *trackedMember, m Member) {
	m.State = Suspect
	wasSuspect := tm.State == Suspect
	t.apply(now, tm, m)
	suspectSince := now.Add(refutationTimeout - t.grace)
	if !wasSuspect || suspectSince.Before(tm.stateSince) {
		tm.stateSince = suspectSince
	}
}

// refute answers a wrong report about this daemon with a higher incarnation.
func (t *Table) refute(m Member) {
	newer := m.Incarnation > t.self.Incarnation
	worse := m.Incarnation == t.self.Incarnation && m.State > t.self.State
	if !newer && !worse {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.members[t.self.Name].Member = t.self
	t.queueUpdate(t.self)
}

// findOrAdd returns a member, and adds it when it is unknown. It returns nil for
// this daemon, and for an unknown member that is dead or leaving.
func (t *Table) findOrAdd(now time.Time, m Member) *trackedMember {
	if m.Name == t.self.Name || m.Name == "" {
		return nil
	}
	tm := t.members[m.Name]
	if tm == nil {
		if m.State == Dead || m.State == Leaving {
			return nil
		}
		tm = &trackedMember{Member: Member{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}, stateSince: now}
		t.add(tm)
		t.watchedStale = true
	}
	if m.Address != "" && !tm.listed {
		tm.Address = m.Address
	}
	return tm
}

// apply stores newer information about a member.
func (t *Table) apply(now time.Time, tm *trackedMember, m Member) {
	if m.Incarnation > tm.Incarnation && m.State == Alive {
		// A new incarnation shows that the daemon runs, so the time until the next
		// suspicion starts again.
		tm.watchedSince = restartWatch(tm.watchedSince, now)
	}
	tm.Incarnation = m.Incarnation
	t.setState(now, tm, m.State)
}

// restartWatch returns now as the new start of the watch, or zero when the member is
// not watched.
func restartWatch(watchedSince, now time.Time) time.Time {
	if watchedSince.IsZero() {
		return watchedSince
	}
	return now
}
