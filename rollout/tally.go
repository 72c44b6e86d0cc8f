package rollout

import (
	"time"
)

// StratumCounts counts the answers in one stratum.
type StratumCounts struct {
	Version string
	Route   string
	Target  string
	// Load is the load level of the target when the request was sent.
	Load     uint32
	Requests uint32
	Errors   uint32
	// Slow counts answers that took longer than 9 of 10 answers of the old
	// version on the same route did.
	Slow uint32
}

// Evidence carries the counts of one origin since its last message.
type Evidence struct {
	Move    string
	Attempt int
	// Origin names the sender and Sequence rises with each of its messages.
	Origin   string
	Sequence uint64
	Strata   []StratumCounts
}

const (
	// windows are the spans over which the newest answers are judged on their
	// own, so that earlier good answers do not hide a fault that appears late.
	windowShort = 2 * time.Second
	windowLong  = 10 * time.Second
	// slot is the resolution of the windows.
	slot  = 500 * time.Millisecond
	slots = int(windowLong / slot)
)

// Counts are answers of one version in one stratum.
type Counts struct {
	Requests, Errors, Slow float64
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Errors += o.Errors
	c.Slow += o.Slow
}

// stratum is a place where versions are compared.
type stratum struct {
	route  string
	target string
	load   uint32
}

// pair holds the counts of both versions in one stratum.
type pair struct {
	old, new Counts
	// parents are the indices of the strata that hold this one, by family.
	parents    [families]int
	newest     int64 // slot of the newest answer of the new version
	recentOld  [slots]Counts
	recentNew  [slots]Counts
	recentSlot [slots]int64
}

// Tally is the evidence of one attempt. It is not safe for concurrent use.
type Tally struct {
	From, To string
	epoch    time.Time
	pairs    []*pair
	index    map[stratum]*pair
	totals   [families][]familyTotal
	places   [families]map[stratum]int // indices into totals
	origins  map[string]*seenSequences
	scratch  []active
}

// NewTally returns an empty tally for a move between two versions.
func NewTally(from, to string) *Tally {
	t := &Tally{
		From: from, To: to, index: make(map[stratum]*pair), origins: make(map[string]*seenSequences),
	}
	for family := range families {
		t.places[family] = make(map[stratum]int)
	}
	return t
}

// Merge adds evidence that arrived at now. It reports false when the message was
// merged before, or is older than the last 64 of its origin.
func (t *Tally) Merge(now time.Time, e *Evidence) bool {
	seen := t.origins[e.Origin]
	if seen == nil {
		seen = &seenSequences{}
		t.origins[e.Origin] = seen
	}
	if !seen.first(e.Sequence) {
		return false
	}
	if t.epoch.IsZero() {
		t.epoch = now
	}
	for i := range e.Strata {
		t.add(now, &e.Strata[i])
	}
	return true
}

// Totals returns the answers of a version over all strata since the start.
func (t *Tally) Totals(version string) Counts {
	var sum Counts
	for _, p := range t.pairs {
		if version == t.To {
			sum.add(p.new)
		} else {
			sum.add(p.old)
		}
	}
	return sum
}

func (t *Tally) add(now time.Time, c *StratumCounts) {
	if c.Version != t.From && c.Version != t.To {
		return
	}
	key := stratum{route: c.Route, target: c.Target, load: c.Load}
	p := t.pair(key)
	counts := Counts{
		Requests: float64(c.Requests),
		Errors:   float64(min(c.Errors, c.Requests)),
		Slow:     float64(min(c.Slow, c.Requests)),
	}
	p.add(t.slot(now), c.Version == t.To, counts)
	if c.Version == t.To {
		return
	}
	for family := range families {
		t.totals[family][p.parents[family]].old.add(counts)
	}
}

// pair returns the counts of a stratum and enters it into all families.
func (t *Tally) pair(key stratum) *pair {
	if p := t.index[key]; p != nil {
		return p
	}
	p := &pair{}
	for family := range families {
		wide := project(family, key)
		place, ok := t.places[family][wide]
		if !ok {
			place = len(t.totals[family])
			t.places[family][wide] = place
			t.totals[family] = append(t.totals[family], familyTotal{key: wide})
		}
		p.parents[family] = place
	}
	t.index[key] = p
	t.pairs = append(t.pairs, p)
	return p
}

// slot numbers the slot of now; 0 is never used.
func (t *Tally) slot(now time.Time) int64 {
	return int64(now.Sub(t.epoch)/slot) + 1
}

func (p *pair) add(s int64, isNew bool, c Counts) {
	i := int(s) % slots
	if p.recentSlot[i] != s {
		p.recentSlot[i] = s
		p.recentOld[i] = Counts{}
		p.recentNew[i] = Counts{}
	}
	if isNew {
		p.newest = s
		p.new.add(c)
		p.recentNew[i].add(c)
		return
	}
	p.old.add(c)
	p.recentOld[i].add(c)
}

// recent returns the counts of the last span before the end of slot s.
func (p *pair) recent(s int64, span time.Duration) (old, fresh Counts) {
	first := s - int64(span/slot) + 1
	for i := range p.recentSlot {
		if p.recentSlot[i] >= first && p.recentSlot[i] <= s && p.recentSlot[i] > 0 {
			old.add(p.recentOld[i])
			fresh.add(p.recentNew[i])
		}
	}
	return old, fresh
}

// seenSequences remembers which sequence numbers of an origin were merged: the
// highest, and a bit for each of the 64 below and including it.
type seenSequences struct {
	highest uint64
	bits    uint64
}

// first reports whether the number is new, and marks it.
func (s *seenSequences) first(n uint64) bool {
	if n > s.highest {
		shift := n - s.highest
		if shift >= 64 {
			s.bits = 0
		} else {
			s.bits <<= shift
		}
		s.bits |= 1
		s.highest = n
		return true
	}
	back := s.highest - n
	if back >= 64 || s.bits&(1<<back) != 0 {
		return false
	}
	s.bits |= 1 << back
	return true
}
