package overflow

import (
	"maps"
	"math"
	"time"

	"github.com/marjoramflow/marjoramflow/topology"
)

// Options are the operator's figures.
type Options struct {
	// NearbyCost and FarCost are the wait that a request has to be spared for each
	// megabyte of its prompt and answer that goes to another data centre of the region,
	// or to another region.
	NearbyCost, FarCost time.Duration
}

const (
	// viewLifetime is the age from which on a view counts as unknown. Targets serve most
	// requests in about this time, so all slots may have changed hands.
	viewLifetime = time.Second
	// minRefillTime is the least time in which the allowance for a data centre grows by the
	// entry's share of the free slots. It is otherwise refillRoundTrips round trips: by then
	// a reply has shown which slots are still free.
	minRefillTime    = 10 * time.Millisecond
	refillRoundTrips = 2
	// minRate is the least number of requests per second that may leave for a data centre.
	minRate = 5
	// shareGrowth and shareLoss change the share of an entry after a grant and after a
	// refusal.
	shareGrowth, shareLoss = 1.5, 0.5
	// minProbeInterval is the least time between probes of a service in one data centre.
	// The reply to the first probe comes in about this time.
	minProbeInterval = 20 * time.Millisecond
	// fullProbeInterval is the least time between probes where no slot was free. With 100 ms,
	// free slots near saturation were found so late that more callers were refused.
	fullProbeInterval = 30 * time.Millisecond
	// maxProbeInterval bounds the time for which a view of a long queue spares probes.
	maxProbeInterval = time.Second
	// probeIntervalPerEntry bounds the probes of all entries to 500 per second for each
	// service of a data centre.
	probeIntervalPerEntry = 2 * time.Millisecond
	// pauseAfterTimeout is the time for which a data centre is left out after none of its
	// owners answered in time. The pause doubles up to maxPause while nothing answers.
	pauseAfterTimeout = 500 * time.Millisecond
	maxPause          = 4 * time.Second
	// unknownNearbyTransit and unknownFarTransit are the times from an ask to its reply
	// that are assumed until one is measured.
	unknownNearbyTransit = 5 * time.Millisecond
	unknownFarTransit    = 50 * time.Millisecond
	// transitGain is the weight of a new sample of the transit time.
	transitGain = 0.125
	// transitsPerRequest counts the round trips that a request pays for elsewhere: one for
	// the grant and one for the request and its answer.
	transitsPerRequest = 2
	// unknownSlotWait is the assumed wait in a group without a view, and the longest
	// assumed wait for the next slot of a group that granted requests in the last second.
	// noGrantWait is assumed if it granted none.
	unknownSlotWait = 100 * time.Millisecond
	noGrantWait     = time.Second
	// noTimelyTargetWait is the assumed wait in a group that has free slots but refused
	// the request, because their targets are too slow for it.
	noTimelyTargetWait = 200 * time.Millisecond
	bytesPerMB         = 1e6
)

// unusable is the wait in a group that has no target for the request.
const unusable = time.Duration(math.MaxInt64 / 4)

// Load is what an owner reported about a group.
type Load struct {
	FreeSlots, Slots int
	// Waiting counts the waiting requests by tier.
	Waiting []int
	// LowestTier is the lowest tier (largest number) that waits or can be preempted; -1
	// for none.
	LowestTier    int
	PredictedWait time.Duration
	// Grants counts the grants of the last second, RemoteGrants those of them for entries
	// of other data centres.
	Grants, RemoteGrants int
}

// view is the last load of a group.
type view struct {
	Load
	at time.Time
}

// placeKey identifies a service in a data centre.
type placeKey struct{ dataCentre, service string }

// placeState is what an entry knows about a service in another data centre.
type placeState struct {
	// share is the part of the free slots that this entry may use; 0 means the start value.
	share float64
	// allowance is the number of requests that may leave at allowanceAt.
	allowance   float64
	allowanceAt time.Time
	probedAt    time.Time
	// queueing is set while waiting requests of this entry move into queues there.
	queueing bool
}

// linkState is what an entry knows about the way to another data centre.
type linkState struct {
	transit     time.Duration
	answeredAt  time.Time
	pausedUntil time.Time
	pause       time.Duration
}

// Planner holds the views and the damping of one entry. It is not safe for concurrent use.
type Planner struct {
	options Options
	// senders is the number of entries that may send to a data centre.
	senders int
	views   map[topology.Key]*view
	places  map[placeKey]*placeState
	links   map[string]*linkState
	stats   Stats
}

// New returns a Planner without views, for one sender.
func New(options Options) *Planner {
	return &Planner{
		options: options,
		senders: 1,
		views:   make(map[topology.Key]*view),
		places:  make(map[placeKey]*placeState),
		links:   make(map[string]*linkState),
		stats:   Stats{Left: make(map[string]map[string]Leaving)},
	}
}

// SetSenders sets the number of entries that may send work to the same data centre.
func (p *Planner) SetSenders(count int) {
	p.senders = max(1, count)
}

// Observe records the load that the owner of a group reported.
func (p *Planner) Observe(now time.Time, key topology.Key, load Load) {
	p.views[key] = &view{Load: load, at: now}
}

// ObserveReply records that an owner in a data centre answered, after a round trip. It
// reports whether the data centre was left out before.
func (p *Planner) ObserveReply(now time.Time, dataCentre string, roundTrip time.Duration) (back bool) {
	l := p.link(dataCentre)
	back = l.pause > 0
	l.answeredAt = now
	l.pausedUntil, l.pause = time.Time{}, 0
	if l.transit == 0 {
		l.transit = roundTrip
	}
	l.transit += time.Duration(transitGain * float64(roundTrip-l.transit))
	return back
}

// ObserveTimeout records that an ask of askedAt was not answered in time. The data centre is
// left out for a pause, unless another of its owners has answered since the ask. It reports
// whether the data centre was not left out before.
func (p *Planner) ObserveTimeout(now time.Time, dataCentre string, askedAt time.Time) (leftOut bool) {
	l := p.link(dataCentre)
	if l.answeredAt.After(askedAt) || now.Before(l.pausedUntil) {
		return false
	}
	leftOut = l.pause == 0
	l.pause = min(max(2*l.pause, pauseAfterTimeout), maxPause)
	l.pausedUntil = now.Add(l.pause)
	return leftOut
}

// Forget drops the views of groups that keep does not report as existing, and the damping of
// services without a view, so that the state is bounded by the configuration.
func (p *Planner) Forget(keep func(topology.Key) bool) {
	for key := range p.views {
		if !keep(key) {
			delete(p.views, key)
		}
	}
	seen := make(map[placeKey]bool)
	for key := range p.views {
		seen[placeKey{key.DataCentre, key.Service}] = true
	}
	maps.DeleteFunc(p.places, func(k placeKey, _ *placeState) bool { return !seen[k] })
}

func (p *Planner) link(dataCentre string) *linkState {
	l := p.links[dataCentre]
	if l == nil {
		l = &linkState{}
		p.links[dataCentre] = l
	}
	return l
}

func (p *Planner) place(dataCentre, service string) *placeState {
	k := placeKey{dataCentre, service}
	s := p.places[k]
	if s == nil {
		s = &placeState{share: 1 / float64(p.senders), allowance: 1}
		p.places[k] = s
	}
	return s
}

// fresh returns the view of a group that is younger than viewLifetime, or nil.
func (p *Planner) fresh(now time.Time, key topology.Key) *view {
	if v := p.views[key]; v != nil && now.Sub(v.at) < viewLifetime {
		return v
	}
	return nil
}

// room returns the free slots of a group that still count: all of a new view, none of one
// of age viewLifetime.
func (p *Planner) room(now time.Time, key topology.Key) float64 {
	v := p.fresh(now, key)
	if v == nil {
		return 0
	}
	return float64(v.FreeSlots) * (1 - float64(now.Sub(v.at))/float64(viewLifetime))
}

// waitIn returns the expected wait of a request of a tier in the queue of a group at the
// time of the view.
func (v *view) waitIn(tier int) time.Duration {
	if v.Slots == 0 && v.FreeSlots == 0 {
		return unusable
	}
	ahead, total := 0, 0
	for t, n := range v.Waiting {
		total += n
		if t <= tier {
			ahead += n
		}
	}
	wait := time.Duration(0)
	if total > 0 {
		wait = v.PredictedWait * time.Duration(ahead) / time.Duration(total)
	}
	if v.FreeSlots > 0 {
		return wait
	}
	slotWait := noGrantWait
	if v.Grants > 0 {
		slotWait = min(unknownSlotWait, time.Second/time.Duration(v.Grants))
	}
	return wait + slotWait
}

// transit returns the time that a request spends on the way if it leaves.
func (p *Planner) transit(place *Place) time.Duration {
	return transitsPerRequest * p.roundTrip(place.DataCentre, place.Far)
}

// roundTrip returns the time from an ask to its reply.
func (p *Planner) roundTrip(dataCentre string, far bool) time.Duration {
	if l := p.links[dataCentre]; l != nil && l.transit > 0 {
		return l.transit
	}
	if far {
		return unknownFarTransit
	}
	return unknownNearbyTransit
}

// cost returns the wait that a request has to be spared to leave for a data centre.
func (p *Planner) cost(r *Request, place *Place) time.Duration {
	perMB := p.options.NearbyCost
	if place.Far {
		perMB = p.options.FarCost
	}
	megabytes := float64(r.PromptBytes+r.AnswerBytes) / bytesPerMB
	return p.transit(place) + time.Duration(megabytes*float64(perMB))
}

// paused reports whether a data centre is left out because its owners do not answer.
func (p *Planner) paused(now time.Time, dataCentre string) bool {
	l := p.links[dataCentre]
	return l != nil && now.Before(l.pausedUntil)
}
