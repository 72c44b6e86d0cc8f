package membership

import (
	"slices"
	"time"
)

// Merge takes the gossip of another daemon.
func (t *Table) Merge(now time.Time, from string, members []Member) []Action {
	t.Heard(now, from)
	for _, m := range members {
		if m.Name == t.self.Name {
			t.refute(m)
			continue
		}
		e := t.entryFor(now, m)
		if e == nil || !m.overrides(e.Member) {
			continue
		}
		if t.doubts(now, from, e, m) {
			t.confront(m)
			continue
		}
		if m.State == Dead && e.isLive() {
			t.expectRefutation(now, e, m)
		} else {
			t.apply(now, e, m)
		}
		t.spread(e.Member)
	}
	return t.take()
}

// welcome sends the members of the data centre to a daemon that has just
// started. It would otherwise hold for live what the VM list names, members
// included that died or left lately. Only its neighbours on the ring do this.
func (t *Table) welcome(now time.Time, m Member) {
	if m.DataCentre != t.self.DataCentre || now.Sub(t.started) < t.grace || !t.near(m.Name) {
		return
	}
	var known []Member
	for _, name := range t.names() {
		if e := t.entries[name]; e.DataCentre == t.self.DataCentre && e.Incarnation > 0 && name != m.Name {
			known = append(known, e.Member)
		}
	}
	for part := range slices.Chunk(known, rumorsPerMessage) {
		t.pending = append(t.pending, Gossip{To: []string{m.Name}, Members: part})
	}
}

// doubts tells whether a report of silence is not believed: this daemon has
// direct evidence, or the report comes from another data centre, whose daemons
// may be cut off from this one. The own data centre watches its members itself.
func (t *Table) doubts(now time.Time, from string, e *entry, m Member) bool {
	if m.State != Suspect && m.State != Dead {
		return false
	}
	if m.Incarnation == e.Incarnation && now.Sub(e.heard) < directEvidence {
		return true
	}
	reporter := t.entries[from]
	own := e.DataCentre == t.self.DataCentre
	return own && reporter != nil && reporter.DataCentre != t.self.DataCentre
}

// confront tells a daemon what others believe of it, so that it refutes a wrong
// suspicion with a higher incarnation.
func (t *Table) confront(m Member) {
	if m.Incarnation > 0 {
		t.pending = append(t.pending, Gossip{To: []string{m.Name}, Members: []Member{m}})
	}
}

// expectRefutation treats the report that a live member is dead as a suspicion
// that ends soon. After a partition heals, the two sides hold each other dead,
// and the refutations arrive shortly after these reports.
func (t *Table) expectRefutation(now time.Time, e *entry, m Member) {
	m.State = Suspect
	known := e.State == Suspect
	t.apply(now, e, m)
	deadline := now.Add(refutationTime - t.grace)
	if !known || deadline.Before(e.since) {
		e.since = deadline
	}
}

// refute answers a wrong statement about this daemon with a higher incarnation.
func (t *Table) refute(m Member) {
	newer := m.Incarnation > t.self.Incarnation
	worse := m.Incarnation == t.self.Incarnation && m.State > t.self.State
	if !newer && !worse {
		return
	}
	t.self.Incarnation = m.Incarnation + 1
	t.entries[t.self.Name].Member = t.self
	t.spread(t.self)
}

// entryFor returns the entry of a member and creates it. It returns nil for
// this daemon, and for an unknown member that is gone already.
func (t *Table) entryFor(now time.Time, m Member) *entry {
	if m.Name == t.self.Name || m.Name == "" {
		return nil
	}
	e := t.entries[m.Name]
	if e == nil {
		if m.State == Dead || m.State == Leaving {
			return nil
		}
		e = &entry{Member: Member{Name: m.Name, Address: m.Address, DataCentre: m.DataCentre}, since: now}
		t.add(e)
		t.stale = true
	}
	if m.Address != "" && !e.inList {
		e.Address = m.Address
	}
	return e
}

// apply takes over newer information about a member.
func (t *Table) apply(now time.Time, e *entry, m Member) {
	if m.Incarnation > e.Incarnation && m.State == Alive {
		// A new incarnation is a sign of life, so the time until the next
		// suspicion starts again.
		e.watchedSince = latest(e.watchedSince, now)
	}
	e.Incarnation = m.Incarnation
	t.change(now, e, m.State)
}

// latest returns now unless the member is not watched at all.
func latest(watched, now time.Time) time.Time {
	if watched.IsZero() {
		return watched
	}
	return now
}
