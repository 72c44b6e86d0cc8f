package membership

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// GracePeriod is the time from suspicion to removal.
	GracePeriod = 10 * time.Second
	// TickInterval is how often Tick is to be called. Gossip is sent in ticks.
	TickInterval = 200 * time.Millisecond
	// probeInterval is the time without a sign of life after which a watched
	// daemon is probed, and the time between probes.
	probeInterval = time.Second
	// slowProbeInterval is used for watched daemons that are not live.
	slowProbeInterval = 5 * time.Second
	// suspectAfter is three missed probes.
	suspectAfter = 3 * probeInterval
	// directEvidence is the time for which a sign of life outweighs a
	// suspicion of somebody else in the same incarnation.
	directEvidence = suspectAfter
	// refutationTime is left to a member that others hold dead. A refutation
	// spreads to all daemons of a data centre within about a second.
	refutationTime = 2 * time.Second
	// forgetAfter is how long dead and left members stay in the table, so that
	// late gossip about them is recognized as old.
	forgetAfter = time.Minute
	// pauseLimit is the time between ticks above which this daemon was paused.
	// Its own pause is not held against the others.
	pauseLimit = 5 * TickInterval
)

// Config configures a Table.
type Config struct {
	// Self is this daemon; its incarnation must be higher than in its previous
	// run, for example the start time in milliseconds.
	Self Member
	// Random chooses the peers for gossip; nil takes a random seed.
	Random *rand.Rand
	// Grace is the time from suspicion to removal; 0 means GracePeriod.
	Grace time.Duration
}

// Table holds the daemons. It is not safe for concurrent use.
type Table struct {
	self    Member
	grace   time.Duration
	random  *rand.Rand
	started time.Time
	lastRun time.Time

	entries map[string]*entry
	// sorted caches the names of the entries in order.
	sorted []string
	rumors []rumor
	watch  []string
	// stale is set when the watch set has to be computed again.
	stale    bool
	live     map[string]*liveList
	pending  []Action
	nextSync time.Time
	syncFrom string
	// nextConfirm is the time of the next probe of an unconfirmed member.
	nextConfirm time.Time
}

// NewTable returns a table that knows only this daemon.
func NewTable(config Config, now time.Time) *Table {
	t := &Table{
		self:    config.Self,
		grace:   config.Grace,
		random:  config.Random,
		started: now,
		lastRun: now,
		entries: map[string]*entry{},
		live:    map[string]*liveList{},
		stale:   true,
	}
	if t.grace == 0 {
		t.grace = GracePeriod
	}
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	t.self.State = Alive
	t.add(&entry{Member: t.self, heard: now, since: now})
	t.nextSync = now.Add(t.syncDelay())
	t.nextConfirm = now.Add(t.grace / 2)
	t.spread(t.self)
	return t
}

// Self returns this daemon with its current incarnation and state.
func (t *Table) Self() Member {
	return t.self
}

// SetList takes the platform's list of VMs. A daemon that is listed for the
// first time becomes live when somebody hears from it. While this table is
// younger than the grace period it has no evidence yet, and takes listed
// daemons as live until they prove silent.
func (t *Table) SetList(now time.Time, list []provider.VM) []Action {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		if vm.Role != provider.RoleEntry || vm.Name == t.self.Name {
			continue
		}
		listed[vm.Name] = true
		t.listEntry(now, vm)
	}
	for name, e := range t.entries {
		if !listed[name] && e.inList {
			e.inList, e.listLeaving = false, false
			t.touch(e)
		}
	}
	return t.take()
}

func (t *Table) listEntry(now time.Time, vm provider.VM) {
	e := t.entries[vm.Name]
	if e == nil {
		e = &entry{Member: Member{Name: vm.Name, DataCentre: vm.DataCentre}, since: now}
		t.add(e)
		if now.Sub(t.started) < t.grace {
			e.State = Suspect
		}
		t.touch(e)
	}
	leaving := vm.State == provider.VMLeaving
	if !e.inList || e.listLeaving != leaving {
		t.touch(e)
	}
	e.inList, e.listLeaving, e.Address = true, leaving, vm.Address
}

// SessionUp tells that a session is up; the incarnation is that of the peer's
// Hello.
func (t *Table) SessionUp(now time.Time, m Member) []Action {
	e := t.entryFor(now, m)
	if e == nil {
		return nil
	}
	e.session = true
	if m.Incarnation > e.Incarnation {
		m.State = Alive
		t.apply(now, e, m)
		t.spread(e.Member)
		t.welcome(now, m)
	}
	return t.Heard(now, m.Name)
}

// SessionDown tells that a session ended. This alone is no evidence against the
// peer; a watched peer is probed at once.
func (t *Table) SessionDown(now time.Time, name string) []Action {
	e := t.entries[name]
	if e == nil || name == t.self.Name {
		return nil
	}
	e.session = false
	if !e.watchedSince.IsZero() && e.State != Leaving {
		e.probed = now
		t.pending = append(t.pending, Probe{To: name})
	}
	return t.take()
}

// Heard tells that a frame of the daemon was received.
func (t *Table) Heard(now time.Time, name string) []Action {
	e := t.entries[name]
	if e == nil || name == t.self.Name {
		return nil
	}
	e.heard = now
	switch e.State {
	case Listed:
		t.change(now, e, Alive)
		t.spread(e.Member)
	case Suspect, Dead:
		t.confront(e.Member)
		t.change(now, e, Alive)
	}
	return t.take()
}

// Leave tells the others that this daemon stops. The returned gossip goes to
// all session peers, since the daemon may not live until the next tick.
func (t *Table) Leave(now time.Time) []Action {
	t.self.State = Leaving
	t.self.Incarnation++
	e := t.entries[t.self.Name]
	e.Member = t.self
	t.touch(e)
	t.pending = append(t.pending, Changed{Member: t.self, Previous: Alive})
	t.spread(t.self)
	var peers []string
	for name, other := range t.entries {
		if other.session {
			peers = append(peers, name)
		}
	}
	slices.Sort(peers)
	if len(peers) > 0 {
		t.pending = append(t.pending, Gossip{To: peers, Members: []Member{t.self}})
	}
	return t.take()
}

// Tick advances time. It is called every TickInterval.
func (t *Table) Tick(now time.Time) []Action {
	if gap := now.Sub(t.lastRun); gap > pauseLimit {
		t.shift(gap)
	}
	t.lastRun = now
	for _, name := range t.names() {
		t.advance(now, t.entries[name])
	}
	t.updateWatch(now)
	t.probeWatched(now)
	t.probeUnconfirmed(now)
	t.gossip(now)
	return t.take()
}

// shift moves the evidence past a pause of this daemon, during which it could
// hear nobody.
func (t *Table) shift(gap time.Duration) {
	for _, e := range t.entries {
		if !e.heard.IsZero() {
			e.heard = e.heard.Add(gap)
		}
		if !e.watchedSince.IsZero() {
			e.watchedSince = e.watchedSince.Add(gap)
		}
		e.since = e.since.Add(gap)
	}
}

// advance applies the timeouts of one member.
func (t *Table) advance(now time.Time, e *entry) {
	if e.Name == t.self.Name {
		return
	}
	// A damped member that is silent again stays damped until it is heard.
	if e.State != Suspect && !e.dampedUntil.IsZero() && !now.Before(e.dampedUntil) {
		e.dampedUntil = time.Time{}
		t.touch(e)
	}
	age := now.Sub(e.since)
	switch {
	case e.State == Suspect && age >= t.grace && e.Incarnation == 0:
		// Nobody has ever heard from it, so there is nothing to tell the others.
		t.change(now, e, Listed)
	case e.State == Suspect && age >= t.grace:
		t.change(now, e, Dead)
		t.spread(e.Member)
	case (e.State == Dead || e.State == Leaving) && !e.inList && age >= forgetAfter,
		e.State == Listed && !e.inList:
		t.remove(e)
		t.touch(e)
	}
}

func (t *Table) change(now time.Time, e *entry, state State) {
	previous := e.State
	if previous == state {
		return
	}
	if previous == Dead && state == Alive {
		t.penalize(now, e)
	}
	e.State, e.since = state, now
	t.touch(e)
	t.pending = append(t.pending, Changed{Member: e.Member, Previous: previous})
}

// touch marks what depends on a member as stale.
func (t *Table) touch(e *entry) {
	t.stale = true
	if l := t.live[e.DataCentre]; l != nil {
		l.stale = true
	}
}

// take returns the pending actions.
func (t *Table) take() []Action {
	actions := t.pending
	t.pending = nil
	return actions
}

// names returns all names in order, so that runs with one seed are equal.
// Callers must not change the slice.
func (t *Table) names() []string {
	if len(t.sorted) != len(t.entries) {
		t.sorted = make([]string, 0, len(t.entries))
		for name := range t.entries {
			t.sorted = append(t.sorted, name)
		}
		slices.Sort(t.sorted)
	}
	return t.sorted
}

// add and remove keep the sorted names in step with the entries.
func (t *Table) add(e *entry) {
	t.entries[e.Name] = e
	t.sorted = nil
}

func (t *Table) remove(e *entry) {
	delete(t.entries, e.Name)
	t.sorted = nil
}
