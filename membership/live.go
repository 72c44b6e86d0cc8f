package membership

import (
	"math"
	"slices"
	"time"
)

const (
	// penaltyHalfLife is the time in which half of a flapping penalty decays.
	penaltyHalfLife = time.Minute
	// dampingFrom is the penalty from which a returning member is held back.
	dampingFrom = 1.5
	// dampingBase doubles with each further return, up to dampingLimit.
	dampingBase  = 5 * time.Second
	dampingLimit = time.Minute
	// dampedShare bounds the share of a data centre that may be held back. When
	// more members return at once, the network was at fault and not they.
	dampedShare = 0.3
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

func (t *Table) liveNames(dataCentre string) []string {
	var steady, damped []string
	for name, e := range t.entries {
		if e.DataCentre != dataCentre || !e.isLive() {
			continue
		}
		if e.dampedUntil.IsZero() {
			steady = append(steady, name)
		} else {
			damped = append(damped, name)
		}
	}
	all := len(steady) + len(damped)
	if float64(len(damped)) > dampedShare*float64(all) {
		steady = append(steady, damped...)
	}
	slices.Sort(steady)
	return steady
}

// isLive tells whether a member may get work, apart from damping.
func (e *entry) isLive() bool {
	return (e.State == Alive || e.State == Suspect) && !e.listLeaving
}

// DataCentres returns the data centres of all known members, in order.
func (t *Table) DataCentres() []string {
	var all []string
	for _, e := range t.entries {
		if !slices.Contains(all, e.DataCentre) {
			all = append(all, e.DataCentre)
		}
	}
	slices.Sort(all)
	return all
}

// Members returns everything that is known, by name, this daemon included.
func (t *Table) Members() []Member {
	members := make([]Member, 0, len(t.entries))
	for _, name := range t.names() {
		members = append(members, t.entries[name].Member)
	}
	return members
}

// penalize records the return of a dead member and holds it back when it has
// returned often lately.
func (t *Table) penalize(now time.Time, e *entry) {
	if !e.penaltySince.IsZero() {
		e.penalty *= math.Exp2(-now.Sub(e.penaltySince).Seconds() / penaltyHalfLife.Seconds())
	}
	e.penalty++
	e.penaltySince = now
	if e.penalty < dampingFrom {
		return
	}
	hold := time.Duration(float64(dampingBase) * math.Exp2(e.penalty-dampingFrom))
	e.dampedUntil = now.Add(min(hold, dampingLimit))
}
