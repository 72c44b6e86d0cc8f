package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// penaltyHalfLife is the time in which half of a flap penalty decays.
	penaltyHalfLife = time.Minute
	// dampingThreshold is the flap penalty from which a returning member is damped.
	dampingThreshold = 1.5
	// minDamping is the damping time at the threshold. It doubles with each
	// further return, up to maxDamping.
	minDamping = 5 * time.Second
	maxDamping = time.Minute
	// maxDampedShare bounds the share of a data centre that may be damped. When
	// more members return at once, the fault was in the network, and none is damped.
	maxDampedShare = 0.3
)

// liveList caches the live members of one data centre.
type liveList struct {
	names   []string
	version uint64
	stale   bool
}

// Live returns the names of the live daemons of a data centre, in order, and a
// version that changes exactly when the list does. Callers must not change the
// slice. Suspect daemons are included; leaving, dead and damped ones are not.
func (t *Table) Live(dataCentre string) ([]string, uint64) {
	l := t.live[dataCentre]
	if l == nil {
		l = &liveList{stale: true}
		t.live[dataCentre] = l
	}
	if l.stale {
		l.stale = false
		names := t.liveNames(dataCentre)
		if l.version == 0 || !slices.Equal(names, l.names) {
			l.names = names
			l.version++
		}
	}
	return l.names, l.version
}

// liveNames returns the names of the live members of a data centre, in order. It
// leaves out damped members unless their share exceeds maxDampedShare.
func (t *Table) liveNames(dataCentre string) []string {
	var steady, damped []string
	for name, tm := range t.members {
		if tm.DataCentre != dataCentre || !tm.isLive() {
			continue
		}
		if tm.dampedUntil.IsZero() {
			steady = append(steady, name)
		} else {
			damped = append(damped, name)
		}
	}
	total := len(steady) + len(damped)
	if float64(len(damped)) > maxDampedShare*float64(total) {
		steady = append(steady, damped...)
	}
	slices.Sort(steady)
	return steady
}

// isLive reports whether a member may get work, apart from damping.
func (tm *trackedMember) isLive() bool {
	return (tm.State == Alive || tm.State == Suspect) && !tm.listedLeaving
}

// DataCentres returns the data centres of all known members, in order.
func (t *Table) DataCentres() []string {
	var dataCentres []string
	for _, tm := range t.members {
		if !slices.Contains(dataCentres, tm.DataCentre) {
			dataCentres = append(dataCentres, tm.DataCentre)
		}
	}
	slices.Sort(dataCentres)
	return dataCentres
}

// Members returns all known members in name order, including this daemon.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.members))
	for _, name := range t.allNames() {
		members = append(members, t.members[name].Member)
	}
	return members
}

// penalize adds the return of a dead member to its flap penalty, and damps the
// member from dampingThreshold on.
func (t *Table) penalize(now time.Time, tm *trackedMember) {
	if !tm.penaltyUpdated.IsZero() {
		tm.flapPenalty *= math.Exp2(-now.Sub(tm.penaltyUpdated).Seconds() / penaltyHalfLife.Seconds())
	}
	tm.flapPenalty++
	tm.penaltyUpdated = now
	if tm.flapPenalty < dampingThreshold {
		return
	}
	damping := time.Duration(float64(minDamping) * math.Exp2(tm.flapPenalty-dampingThreshold))
	tm.dampedUntil = now.Add(min(damping, maxDamping))
}
