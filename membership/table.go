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
	// TickInterval is the interval at which Tick must be called. Gossip is sent
	// in ticks.
	TickInterval = 200 * time.Millisecond
	// probeInterval is how long a watched daemon may be silent before it is
	// probed, and the time between probes.
	probeInterval = time.Second
	// slowProbeInterval is the time between probes of watched daemons that are not
	// live.
	slowProbeInterval = 5 * time.Second
	// suspectAfter is the silence after which a watched daemon is suspect: three
	// missed probes.
	suspectAfter = 3 * probeInterval
	// directEvidenceTime is how long a frame from a daemon outweighs reports by
	// others that it is suspect or dead in the same incarnation.
	directEvidenceTime = suspectAfter
	// refutationTimeout is the time that a member has to refute a report that it
	// is dead. A refutation spreads to all daemons of a data centre within about a
	// second.
	refutationTimeout = 2 * time.Second
	// goneRetention is how long dead and leaving members stay in the table, so
	// that late gossip about them is recognized as old.
	goneRetention = time.Minute
	// pauseThreshold is the time between ticks above which this daemon itself counts
	// as paused. The silence of others during that time is then disregarded.
	pauseThreshold = 5 * TickInterval
)

// Config configures a Table.
type Config struct {
	// Self is this daemon; its incarnation must be higher than in its previous
	// run, for example the start time in milliseconds.
	Self Member
	// Random chooses the peers for gossip; nil means a generator with a random
	// seed.
	Random *rand.Rand
	// Grace is the time from suspicion to removal; 0 means GracePeriod.
	Grace time.Duration
}

// Table holds the daemons. It is not safe for concurrent use.
type Table struct {
	self     Member
	grace    time.Duration
	random   *rand.Rand
	started  time.Time
	lastTick time.Time

	members map[string]*trackedMember
	// sortedNames caches the names of the members in order; nil when stale.
	sortedNames []string
	// updates are the changes queued for gossip.
	updates []gossipUpdate
	watched []string
	// watchedStale is set when the watched set has to be computed again.
	watchedStale   bool
	live           map[string]*liveList
	pendingActions []Action
	nextSync       time.Time
	// nextSyncName is the name at which the next sync starts.
	nextSyncName string
	// nextUnconfirmedProbe is the earliest time of the next probe of an
	// unconfirmed member.
	nextUnconfirmedProbe time.Time
}

// NewTable returns a table that contains only this daemon.
func NewTable(config Config, now time.Time) *Table {
	t := &Table{
		self:         config.Self,
		grace:        config.Grace,
		random:       config.Random,
		started:      now,
		lastTick:     now,
		members:      map[string]*trackedMember{},
		live:         map[string]*liveList{},
		watchedStale: true,
	}
	if t.grace == 0 {
		t.grace = GracePeriod
	}
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	t.self.State = Alive
	t.add(&trackedMember{Member: t.self, lastHeard: now, stateSince: now})
	t.nextSync = now.Add(t.syncDelay())
	t.nextUnconfirmedProbe = now.Add(t.grace / 2)
	t.queueUpdate(t.self)
	return t
}

// Self returns this daemon with its current incarnation and state.
func (t *Table) Self() Member {
	return t.self
}

// SetVMList applies the platform's list of VMs. A daemon that is listed for the
// first time becomes live when any daemon hears from it. While this table is
// younger than the grace period it has no evidence yet, so new listed daemons start
// as suspect, which counts as live, until the grace period has passed.
func (t *Table) SetVMList(now time.Time, list []provider.VM) []Action {
	listed := make(map[string]bool, len(list))
	for _, vm := range list {
		if vm.Role != provider.RoleEntry || vm.Name == t.self.Name {
			continue
		}
		listed[vm.Name] = true
		t.addListed(now, vm)
	}
	for name, tm := range t.members {
		if !listed[name] && tm.listed {
			tm.listed, tm.listedLeaving = false, false
			t.invalidate(tm)
		}
	}
	return t.takeActions()
}

// addListed applies what the VM list says about one daemon, and adds a daemon that
// is unknown.
func (t *Table) addListed(now time.Time, vm provider.VM) {
	tm := t.members[vm.Name]
	if tm == nil {
		tm = &trackedMember{Member: Member{Name: vm.Name, DataCentre: vm.DataCentre}, stateSince: now}
		t.add(tm)
		if now.Sub(t.started) < t.grace {
			tm.State = Suspect
		}
		t.invalidate(tm)
	}
	leaving := vm.State == provider.VMLeaving
	if !tm.listed || tm.listedLeaving != leaving {
		t.invalidate(tm)
	}
	tm.listed, tm.listedLeaving, tm.Address = true, leaving, vm.Address
}

// SessionUp reports that a session with m came up; the incarnation is that of the
// peer's Hello.
func (t *Table) SessionUp(now time.Time, m Member) []Action {
	tm := t.findOrAdd(now, m)
	if tm == nil {
		return nil
	}
	tm.hasSession = true
	if m.Incarnation > tm.Incarnation {
		m.State = Alive
		t.apply(now, tm, m)
		t.queueUpdate(tm.Member)
		t.sendMembersTo(now, m)
	}
	return t.FrameReceived(now, m.Name)
}

// SessionDown reports that a session ended. This alone is no evidence that the peer
// failed; a watched peer is probed at once.
func (t *Table) SessionDown(now time.Time, name string) []Action {
	tm := t.members[name]
	if tm == nil || name == t.self.Name {
		return nil
	}
	tm.hasSession = false
	if !tm.watchedSince.IsZero() && tm.State != Leaving {
		tm.lastProbed = now
		t.pendingActions = append(t.pendingActions, Probe{To: name})
	}
	return t.takeActions()
}

// FrameReceived reports that a frame of the daemon was received.
func (t *Table) FrameReceived(now time.Time, name string) []Action {
	tm := t.members[name]
	if tm == nil || name == t.self.Name {
		return nil
	}
	tm.lastHeard = now
	switch tm.State {
	case Listed:
		t.setState(now, tm, Alive)
		t.queueUpdate(tm.Member)
	case Suspect, Dead:
		t.requestRefutation(tm.Member)
		t.setState(now, tm, Alive)
	}
	return t.takeActions()
}

// Leave announces that this daemon stops. The returned gossip goes to all session
// peers at once, since the daemon may stop before the next tick.
func (t *Table) Leave(now time.Time) []Action {
	t.self.State = Leaving
	t.self.Incarnation++
	tm := t.members[t.self.Name]
	tm.Member = t.self
	t.invalidate(tm)
	t.pendingActions = append(t.pendingActions, MemberChanged{Member: t.self, Previous: Alive})
	t.queueUpdate(t.self)
	var peers []string
	for name, other := range t.members {
		if other.hasSession {
			peers = append(peers, name)
		}
	}
	slices.Sort(peers)
	if len(peers) > 0 {
		t.pendingActions = append(t.pendingActions, Gossip{To: peers, Members: []Member{t.self}})
	}
	return t.takeActions()
}

// Tick applies timeouts and asks for probes and gossip. It must be called every
// TickInterval.
func (t *Table) Tick(now time.Time) []Action {
	if gap := now.Sub(t.lastTick); gap > pauseThreshold {
		t.shiftEvidence(gap)
	}
	t.lastTick = now
	for _, name := range t.allNames() {
		t.applyTimeouts(now, t.members[name])
	}
	t.updateWatched(now)
	t.probeWatched(now)
	t.probeUnconfirmed(now)
	t.gossip(now)
	return t.takeActions()
}

// shiftEvidence adds the length of a pause of this daemon to the times of its
// evidence, because it could not hear from any daemon meanwhile.
func (t *Table) shiftEvidence(gap time.Duration) {
	for _, tm := range t.members {
		if !tm.lastHeard.IsZero() {
			tm.lastHeard = tm.lastHeard.Add(gap)
		}
		if !tm.watchedSince.IsZero() {
			tm.watchedSince = tm.watchedSince.Add(gap)
		}
		tm.stateSince = tm.stateSince.Add(gap)
	}
}

// applyTimeouts applies the timeouts of one member.
func (t *Table) applyTimeouts(now time.Time, tm *trackedMember) {
	if tm.Name == t.self.Name {
		return
	}
	// A damped member that is suspect again stays damped until it is heard.
	if tm.State != Suspect && !tm.dampedUntil.IsZero() && !now.Before(tm.dampedUntil) {
		tm.dampedUntil = time.Time{}
		t.invalidate(tm)
	}
	age := now.Sub(tm.stateSince)
	switch {
	case tm.State == Suspect && age >= t.grace && tm.Incarnation == 0:
		// No daemon has ever heard from it, so there is no change to send.
		t.setState(now, tm, Listed)
	case tm.State == Suspect && age >= t.grace:
		t.setState(now, tm, Dead)
		t.queueUpdate(tm.Member)
	case (tm.State == Dead || tm.State == Leaving) && !tm.listed && age >= goneRetention,
		tm.State == Listed && !tm.listed:
		t.remove(tm)
		t.invalidate(tm)
	}
}

// setState changes the state of a member and reports the change.
func (t *Table) setState(now time.Time, tm *trackedMember, state State) {
	previous := tm.State
	if previous == state {
		return
	}
	if previous == Dead && state == Alive {
		t.penalize(now, tm)
	}
	tm.State, tm.stateSince = state, now
	t.invalidate(tm)
	t.pendingActions = append(t.pendingActions, MemberChanged{Member: tm.Member, Previous: previous})
}

// invalidate marks the watched set and the live list of a member's data centre as
// stale.
func (t *Table) invalidate(tm *trackedMember) {
	t.watchedStale = true
	if l := t.live[tm.DataCentre]; l != nil {
		l.stale = true
	}
}

// takeActions returns and clears the pending actions.
func (t *Table) takeActions() []Action {
	actions := t.pendingActions
	t.pendingActions = nil
	return actions
}

// allNames returns all names in order, so that runs with the same seed are
// identical. Callers must not change the slice.
func (t *Table) allNames() []string {
	if len(t.sortedNames) != len(t.members) {
		t.sortedNames = make([]string, 0, len(t.members))
		for name := range t.members {
			t.sortedNames = append(t.sortedNames, name)
		}
		slices.Sort(t.sortedNames)
	}
	return t.sortedNames
}

// add and remove change the members and mark the sorted names as stale.
func (t *Table) add(tm *trackedMember) {
	t.members[tm.Name] = tm
	t.sortedNames = nil
}

func (t *Table) remove(tm *trackedMember) {
	delete(t.members, tm.Name)
	t.sortedNames = nil
}
