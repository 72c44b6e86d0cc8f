package overflow

import (
	"cmp"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/topology"
)

// Place is another data centre with the groups that may run a request.
type Place struct {
	DataCentre string
	// Far is set for a data centre of another region.
	Far bool
	// Groups must not be empty. The first one is preferred if nothing is known.
	Groups []topology.Key
}

// Request is a request that finds no free target in its data centre.
type Request struct {
	Service                  string
	Tier                     int
	PromptBytes, AnswerBytes int
	// Unbudgeted is set for a request that the own region may not serve. It is not bound by the
	// byte budget of the link between regions, since it has no other choice.
	Unbudgeted bool
	// LateAt is the time after which the answer is late; zero means no bound.
	LateAt time.Time
	// Local are the groups of the own data centre that may run the request.
	Local []topology.Key
	// Elsewhere are the other data centres, nearby ones first.
	Elsewhere []Place
}

// Reason says why a request asks another data centre.
type Reason string

// Reasons.
const (
	// ReasonRoom means that free slots are known there.
	ReasonRoom Reason = "room"
	// ReasonProbe means that nothing recent is known about the data centre.
	ReasonProbe Reason = "probe"
	// ReasonQueue means that the wait is clearly shorter there.
	ReasonQueue Reason = "queue"
	// ReasonRefused means that the own data centre refused the request, and that the wait
	// there leaves enough time.
	ReasonRefused Reason = "refused"
	// ReasonTier means that lower tiers are served there.
	ReasonTier Reason = "tier"
	// ReasonNoTarget means that the own data centre has no target for the request.
	ReasonNoTarget Reason = "noTarget"
)

// Choice is one group of another data centre to ask.
type Choice struct {
	Key       topology.Key
	Far       bool
	Immediate bool
	Reason    Reason
}

const (
	// maxImmediate and maxProbes bound the data centres that a request asks for an
	// immediate grant before it waits, and those of them without known room.
	maxImmediate = 3
	maxProbes    = 2
	// maxAfterRefusal bounds the data centres that a request asks after its own refused it.
	maxAfterRefusal = 3
	// minQueueSaving is the least time that a move between queues has to save, and
	// queueSavingShare the least share of the local wait. Waits are predicted to about
	// a quarter. While requests move already, half of it is enough.
	minQueueSaving   = 20 * time.Millisecond
	queueSavingShare = 0.25
	// importingFraction is the part of the grants (a quarter) above which a data centre counts
	// as serving work from elsewhere. Near saturation single requests cross in both directions;
	// when each of them kept the queues apart, callers waited longer.
	importingFraction = 4
	// lateWaitFraction is the part of the time to its objective (a half) that a request may
	// wait in its data centre without risk of missing it; its cost elsewhere counts only up
	// to there.
	lateWaitFraction = 2
	// tierViewLifetime is the age from which on a data centre without lower tiers is asked
	// again for a request that was refused. An entry then sends each service of a data
	// centre at most 4 such asks per second, however many requests are refused.
	tierViewLifetime = 250 * time.Millisecond
	// usableWaitShare is the share of the time to its objective that a request may be
	// predicted to wait in a queue that it asks after a refusal. Owners admit up to 0.6.
	usableWaitShare = 0.8
)

// localWait returns the expected wait of a request in its data centre, without the age of
// the view, which makes it shorter.
func (p *Planner) localWait(now time.Time, r *Request) time.Duration {
	best := unusable
	for _, key := range r.Local {
		v := p.fresh(now, key)
		if v == nil {
			best = min(best, unknownSlotWait)
			continue
		}
		wait := v.waitIn(r.Tier)
		if wait < unusable {
			// The request found no target here, so a free slot is too slow for it.
			if v.FreeSlots > 0 {
				wait = max(wait, noTimelyTargetWait)
			}
			wait = max(wait-now.Sub(v.at), 0)
		}
		best = min(best, wait)
	}
	return best
}

// remoteWait returns the group of a place with the shortest expected wait and that wait,
// longer by the age of the view. A group without a view has an unknown wait.
func (p *Planner) remoteWait(now time.Time, r *Request, place *Place) (key topology.Key, wait time.Duration, known bool) {
	wait = unusable
	for _, k := range place.Groups {
		v := p.fresh(now, k)
		if v == nil {
			continue
		}
		known = true
		if w := min(v.waitIn(r.Tier)+now.Sub(v.at), unusable); w < wait {
			key, wait = k, w
		}
	}
	if key == (topology.Key{}) {
		key = place.Groups[0]
	}
	return key, wait, known
}

// late reports whether a wait puts the request at risk of being late.
func (r *Request) late(now time.Time, wait time.Duration) bool {
	return !r.LateAt.IsZero() && wait > r.LateAt.Sub(now)/lateWaitFraction
}

// Immediate returns the groups of other data centres to ask for an immediate grant, best
// first. The list is empty if nothing promises a grant that pays off. Take must be called
// before each ask.
func (p *Planner) Immediate(now time.Time, r *Request) []Choice {
	wait := p.localWait(now, r)
	late := r.late(now, wait)
	var room, probes []Choice
	value := make(map[topology.Key]time.Duration)
	for i := range r.Elsewhere {
		place := &r.Elsewhere[i]
		if p.paused(now, place.DataCentre) {
			continue
		}
		saved := wait - p.cost(r, place)
		if saved <= 0 && !late {
			p.stats.NotWorthIt++
			continue
		}
		key, free := p.mostRoom(now, place)
		switch {
		case free > 0:
			room = append(room, Choice{Key: key, Far: place.Far, Immediate: true, Reason: ReasonRoom})
			value[key] = saved
		case p.probeDue(now, r, place):
			key = p.oldestView(place)
			probes = append(probes, Choice{Key: key, Far: place.Far, Immediate: true, Reason: ReasonProbe})
		default:
			p.stats.QueriesAvoided++
		}
	}
	slices.SortStableFunc(room, func(a, b Choice) int { return cmp.Compare(value[b.Key], value[a.Key]) })
	choices := append(room, probes[:min(len(probes), maxProbes)]...)
	return choices[:min(len(choices), maxImmediate)]
}

// mostRoom returns the group of a place with the most room, and its room in slots.
func (p *Planner) mostRoom(now time.Time, place *Place) (best topology.Key, room float64) {
	best = place.Groups[0]
	for _, key := range place.Groups {
		if r := p.room(now, key); r > room {
			best, room = key, r
		}
	}
	return best, room
}

// oldestView returns the group of a place that was not heard of for the longest time.
func (p *Planner) oldestView(place *Place) topology.Key {
	best, at := place.Groups[0], time.Time{}
	for i, key := range place.Groups {
		v := p.views[key]
		if v == nil {
			return key
		}
		if i == 0 || v.at.Before(at) {
			best, at = key, v.at
		}
	}
	return best
}

// probeDue reports whether a place may be asked although no room is known there. A full
// place without waiting requests may have a free slot at any moment; a queue is not served
// before half of its predicted wait.
func (p *Planner) probeDue(now time.Time, r *Request, place *Place) bool {
	interval := p.probeInterval()
	if _, wait, known := p.remoteWait(now, r, place); known {
		interval = max(interval, fullProbeInterval, min(wait/2, maxProbeInterval))
	}
	return now.Sub(p.place(place.DataCentre, r.Service).probedAt) >= interval
}

// probeInterval returns the least time between two probes of a service in a data centre.
func (p *Planner) probeInterval() time.Duration {
	return max(minProbeInterval, time.Duration(p.senders)*probeIntervalPerEntry)
}

// Take accounts for an ask and reports whether it may be made now: probes within their
// interval, other asks within the rate toward the data centre.
func (p *Planner) Take(now time.Time, choice Choice) bool {
	s := p.place(choice.Key.DataCentre, choice.Key.Service)
	switch choice.Reason {
	case ReasonProbe:
		if now.Sub(s.probedAt) < p.probeInterval() {
			return false
		}
		s.probedAt = now
		return true
	case ReasonRoom, ReasonQueue:
		p.refill(now, s, choice)
		if s.allowance < 1 {
			p.stats.RefusedByRate++
			return false
		}
		s.allowance--
	}
	return true
}

// refill adds the allowance that has accrued.
func (p *Planner) refill(now time.Time, s *placeState, choice Choice) {
	if !s.allowanceAt.IsZero() {
		s.allowance += now.Sub(s.allowanceAt).Seconds() * p.Rate(now, choice)
	}
	s.allowanceAt = now
	s.allowance = min(s.allowance, max(1, s.share*p.room(now, choice.Key)))
}

// Rate returns how many requests per second may leave for the group of a choice: the entry's
// share of its free slots in the time in which the view is renewed, and without free slots
// its share of the grants.
func (p *Planner) Rate(now time.Time, choice Choice) float64 {
	key := choice.Key
	share := p.place(key.DataCentre, key.Service).share
	if room := p.room(now, key); room > 0 {
		refillTime := max(minRefillTime, refillRoundTrips*p.roundTrip(key.DataCentre, choice.Far))
		return max(minRate, share*room/refillTime.Seconds())
	}
	grants := 0
	if v := p.fresh(now, key); v != nil {
		grants = v.Grants
	}
	return max(minRate, share*float64(grants))
}

// ObserveResult records whether a choice that Take permitted led to a grant.
func (p *Planner) ObserveResult(r *Request, choice Choice, granted bool) {
	s := p.place(choice.Key.DataCentre, choice.Key.Service)
	factor := shareLoss
	if granted {
		factor = shareGrowth
		p.stats.addLeft(choice, r.PromptBytes+r.AnswerBytes)
	}
	if choice.Reason == ReasonRoom || granted {
		s.share = min(max(s.share*factor, 1/float64(p.senders)), 1)
	}
}

// Queue returns the group of another data centre in whose queue the request should wait, or
// false if it should wait in its own.
func (p *Planner) Queue(now time.Time, r *Request) (Choice, bool) {
	local := p.localWait(now, r)
	if choice, found := p.queueAtLowerTiers(now, r, local); found {
		return choice, true
	}
	best, saved, found := Choice{}, time.Duration(0), false
	for i := range r.Elsewhere {
		candidate := &r.Elsewhere[i]
		key, wait, known := p.remoteWait(now, r, candidate)
		if !known {
			wait = unknownSlotWait
		}
		if (!known && local < unusable) || p.paused(now, candidate.DataCentre) || wait == unusable {
			continue
		}
		if s := local - wait - p.cost(r, candidate); !found || s > saved {
			best, saved, found = Choice{Key: key, Far: candidate.Far, Reason: ReasonQueue}, s, true
		}
	}
	if !found {
		return Choice{}, false
	}
	if local == unusable {
		best.Reason = ReasonNoTarget
		return best, true
	}
	return best, p.mayMoveQueue(now, r, best.Key, local, saved)
}

// queueAtLowerTiers returns a group of another data centre that serves lower tiers, for a
// request that may become late among its own tier and higher ones.
func (p *Planner) queueAtLowerTiers(now time.Time, r *Request, local time.Duration) (Choice, bool) {
	if _, found := p.servesLower(r, r.Local); found || !r.late(now, local) {
		return Choice{}, false
	}
	for i := range r.Elsewhere {
		place := &r.Elsewhere[i]
		if key, found := p.servesLower(r, place.Groups); found && !p.paused(now, place.DataCentre) {
			return Choice{Key: key, Far: place.Far, Reason: ReasonTier}, true
		}
	}
	return Choice{}, false
}

// mayMoveQueue applies the hysteresis to a move between queues: it has to save a clear part
// of the wait, and work does not leave while work from elsewhere is served here.
func (p *Planner) mayMoveQueue(now time.Time, r *Request, to topology.Key, local, saved time.Duration) bool {
	s := p.place(to.DataCentre, to.Service)
	required := max(minQueueSaving, time.Duration(queueSavingShare*float64(local)))
	if s.queueing {
		required /= 2
	}
	s.queueing = saved > required && !p.importing(now, r)
	if saved > 0 && !s.queueing {
		p.stats.RefusedByHysteresis++
	}
	return s.queueing
}

// importing reports whether a good part of the grants of the own data centre in the last second
// was for work from elsewhere.
func (p *Planner) importing(now time.Time, r *Request) bool {
	for _, key := range r.Local {
		if v := p.fresh(now, key); v != nil && v.RemoteGrants > v.Grants/importingFraction {
			return true
		}
	}
	return false
}

// AfterRefusal returns the groups of other data centres that may take a request that its
// own data centre refused: those that serve lower tiers, those without a recent view, and those
// whose queue is short enough. With none, asking has no hope.
func (p *Planner) AfterRefusal(now time.Time, r *Request) []Choice {
	var lower, other []Choice
	for i := range r.Elsewhere {
		place := &r.Elsewhere[i]
		if p.paused(now, place.DataCentre) {
			continue
		}
		if key, found := p.servesLower(r, place.Groups); found {
			lower = append(lower, Choice{Key: key, Far: place.Far, Reason: ReasonTier})
			continue
		}
		key, wait, known := p.remoteWait(now, r, place)
		switch {
		case known && wait < unusable && p.inTime(now, r, place, wait):
			other = append(other, Choice{Key: key, Far: place.Far, Reason: ReasonRefused})
		case p.tierViewOld(now, place):
			other = append(other, Choice{Key: p.oldestView(place), Far: place.Far, Reason: ReasonProbe})
		default:
			p.stats.QueriesAvoided++
		}
	}
	choices := append(lower, other...)
	return choices[:min(len(choices), maxAfterRefusal)]
}

// servesLower returns the group, of some, that was last seen to serve tiers below the
// request's. The view may have any age.
func (p *Planner) servesLower(r *Request, groups []topology.Key) (topology.Key, bool) {
	best, at := topology.Key{}, time.Time{}
	for _, key := range groups {
		if v := p.views[key]; v != nil && v.LowestTier > r.Tier && v.at.After(at) {
			best, at = key, v.at
		}
	}
	return best, !at.IsZero()
}

// tierViewOld reports whether lower tiers may be served in a place by now.
func (p *Planner) tierViewOld(now time.Time, place *Place) bool {
	v := p.views[p.oldestView(place)]
	return v == nil || now.Sub(v.at) > max(tierViewLifetime, p.probeInterval())
}

// inTime reports whether a wait elsewhere leaves a request with an objective enough time.
func (p *Planner) inTime(now time.Time, r *Request, place *Place, wait time.Duration) bool {
	if r.LateAt.IsZero() {
		return true
	}
	left := r.LateAt.Sub(now) - p.transit(place)
	return float64(wait) < usableWaitShare*float64(left)
}
