package ratelimit

import (
	"slices"
	"sync"
	"time"
)

const (
	// freshFor is the age up to which a report is answered. Reports come once a
	// second; one that comes late is answered in the next round.
	freshFor = 1500 * time.Millisecond
	// roundTime is the time between reports, and between answers.
	roundTime = time.Second
	// idleShare is the part of its floor that each daemon keeps without demand,
	// for the first requests of a caller that comes to it.
	idleShare = 0.1
)

// Portion is the rate that a daemon may use.
type Portion struct {
	Daemon    string
	PerSecond float64
}

// Divider divides the limit of one account. It is safe for concurrent use.
type Divider struct {
	mu      sync.Mutex
	started time.Time
	limit   float64
	daemons map[string]*share
	live    int
}

// share is what the divider knows about one daemon.
type share struct {
	live     bool
	demand   float64
	reported time.Time
	// grants that may be in force; the newest is the last.
	grants []grant
	// raiseAt is when the daemon may go to its floor by itself.
	raiseAt time.Time
}

type grant struct {
	perSecond float64
	until     time.Time
}

// NewDivider returns a divider that starts to hand out portions after Validity.
func NewDivider(now time.Time, limit float64, daemons []string) *Divider {
	d := &Divider{started: now, limit: limit, daemons: map[string]*share{}}
	d.SetDaemons(daemons)
	return d
}

// SetLimit changes the account's limit in units per second.
func (d *Divider) SetLimit(limit float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.limit = limit
}

// SetDaemons replaces the live daemons. What a removed daemon was given counts
// until it expires.
func (d *Divider) SetDaemons(names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.daemons {
		s.live = false
	}
	d.live = 0
	for _, name := range names {
		s := d.daemons[name]
		if s == nil {
			s = &share{}
			d.daemons[name] = s
		}
		if !s.live {
			s.live = true
			d.live++
		}
	}
}

// Report records the demand of a daemon in units per second.
func (d *Divider) Report(now time.Time, daemon string, perSecond float64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.daemons[daemon]; s != nil {
		s.demand, s.reported = perSecond, now
	}
}

// Divide returns new portions for the daemons that reported lately. It is called
// once a second.
func (d *Divider) Divide(now time.Time) []Portion {
	d.mu.Lock()
	defer d.mu.Unlock()
	floor := d.limit / float64(max(1, d.live))
	d.expire(now, floor)
	if now.Sub(d.started) < Validity {
		return nil
	}
	free := d.limit
	var fresh []string
	for name, s := range d.daemons {
		if s.live && s.fresh(now) {
			fresh = append(fresh, name)
		} else {
			free -= s.reserved(floor)
		}
	}
	slices.Sort(fresh)
	wanted := d.wanted(fresh, max(free, 0), floor)
	return d.grant(now, fresh, wanted, free, floor)
}

// expire drops grants that are no longer in force and removed daemons without
// any. After a portion expired, its daemon uses that portion or its floor,
// whichever is less, until it gets another one. The next one may be lost, so two
// must have followed.
func (d *Divider) expire(now time.Time, floor float64) {
	for name, s := range d.daemons {
		kept := s.grants[:0]
		for i, g := range s.grants {
			followed := len(s.grants)-1-i >= 2
			if !now.Before(g.until) {
				g.perSecond = min(g.perSecond, floor)
			}
			if now.Before(g.until) || (!followed && now.Before(g.until.Add(RaiseAfter))) {
				kept = append(kept, g)
			}
		}
		s.grants = kept
		if len(s.grants) == 0 && !s.live {
			delete(d.daemons, name)
		}
	}
}

func (s *share) fresh(now time.Time) bool {
	return !s.reported.IsZero() && now.Sub(s.reported) < freshFor
}

// outstanding is the largest rate that the daemon may use by a grant.
func (s *share) outstanding() (most float64) {
	for _, g := range s.grants {
		most = max(most, g.perSecond)
	}
	return most
}

// reserved is what is kept for a daemon without a fresh report. A live one goes to
// its floor by itself, later than the others can give it back.
func (s *share) reserved(floor float64) float64 {
	if s.live {
		return max(s.outstanding(), floor)
	}
	return s.outstanding()
}

// newest is the newest portion of a daemon, or what it uses without one.
func (s *share) newest(now time.Time, floor float64) float64 {
	if n := len(s.grants); n > 0 {
		return s.grants[n-1].perSecond
	}
	return s.inForce(now, floor)
}

// inForce is the largest rate that a daemon may use at a time without a new
// portion. A daemon that never had one uses its floor.
func (s *share) inForce(at time.Time, floor float64) float64 {
	if at.Before(s.raiseAt) {
		return s.outstanding()
	}
	return max(s.outstanding(), floor)
}

// wanted divides what is free: each daemon gets a small share, then by demand,
// and what is left over is divided equally.
func (d *Divider) wanted(fresh []string, free, floor float64) map[string]float64 {
	base := min(idleShare*floor, free/float64(max(1, len(fresh))))
	rest := free - base*float64(len(fresh))
	total := 0.0
	for _, name := range fresh {
		total += max(0, d.daemons[name].demand-base)
	}
	scale, extra := 1.0, 0.0
	if total > rest {
		scale = rest / total
	} else {
		extra = (rest - total) / float64(max(1, len(fresh)))
	}
	out := map[string]float64{}
	for _, name := range fresh {
		out[name] = base + scale*max(0, d.daemons[name].demand-base) + extra
	}
	return out
}

// grant hands out the wanted portions, and increases only as far as the portions
// that are still in force leave room.
func (d *Divider) grant(now time.Time, fresh []string, wanted map[string]float64, free, floor float64) []Portion {
	room, increase := free, 0.0
	held := map[string]float64{}
	for _, name := range fresh {
		held[name] = d.daemons[name].inForce(now, floor)
		room -= held[name]
		increase += max(0, wanted[name]-held[name])
	}
	part := 1.0
	switch {
	case room < 0:
		// Some daemons go to their floor soon, and what the others may still use
		// exceeds the rest: nobody rises above its newest portion.
		part = 0
		for _, name := range fresh {
			held[name] = d.daemons[name].newest(now, floor)
		}
	case increase > room:
		part = room / increase
	}
	out := make([]Portion, 0, len(fresh))
	for _, name := range fresh {
		s := d.daemons[name]
		perSecond := wanted[name]
		if perSecond > held[name] {
			perSecond = held[name] + part*(perSecond-held[name])
		}
		// The daemon counts from its report, which was sent before this moment.
		if n := len(s.grants); n > 0 && now.Before(s.grants[n-1].until) {
			// The first grant after a pause may be lost, and the daemon then stays
			// at its floor; only the second shows that it uses portions again.
			s.raiseAt = now.Add(RaiseAfter - roundTime)
		}
		s.grants = append(s.grants, grant{perSecond, now.Add(Validity)})
		out = append(out, Portion{name, perSecond})
	}
	return out
}
