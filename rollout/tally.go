package rollout

import (
	"time"
)

// StratumCounts counts the answers of one version in one stratum: a combination of
// route, target and load level.
type StratumCounts struct {
	Version string
	Route   string
	Target  string
	// Load is the load level of the target when the request was sent.
	Load     uint32
	Requests uint32
	Errors   uint32
	// Timed counts answers whose latency could be compared, and Slow those of them that took
	// longer than 9 of 10 answers of the old version on the same route.
	Timed, Slow uint32
	// Paced counts streamed answers whose pace could be compared, and SlowPaced those of them
	// that took longer between two events than three of four such answers of the old version
	// on the same route.
	Paced, SlowPaced uint32
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
	// windowShort and windowLong are the periods over which the newest answers are
	// evaluated on their own, so that earlier good answers do not hide a fault that
	// appears late.
	windowShort = 2 * time.Second
	windowLong  = 10 * time.Second
	// intervalLength is the resolution of the windows: answers are counted by the
	// interval in which they arrive.
	intervalLength = 500 * time.Millisecond
	intervalCount  = int(windowLong / intervalLength)
)

// Counts are answers of one version in one stratum.
type Counts struct {
	Requests, Errors, Timed, Slow, Paced, SlowPaced float64
}

func (c *Counts) add(o Counts) {
	c.Requests += o.Requests
	c.Errors += o.Errors
	c.Timed += o.Timed
	c.Slow += o.Slow
	c.Paced += o.Paced
	c.SlowPaced += o.SlowPaced
}

// stratum is a combination of route, target and load level. Versions are compared only
// within strata or groups of them.
type stratum struct {
	route  string
	target string
	load   uint32
}

// versionPair holds the counts of both versions in one stratum.
type versionPair struct {
	key      stratum
	old, new Counts
	// groupIndex holds, for each grouping, the index of this stratum's group in
	// Tally.totals.
	groupIndex     [groupingCount]int
	newestInterval int64 // interval of the newest answer of the new version
	// The recent counts are ring buffers: interval i is at i % intervalCount while
	// recentInterval has i there.
	recentOld      [intervalCount]Counts
	recentNew      [intervalCount]Counts
	recentInterval [intervalCount]int64
}

// Tally adds up the evidence of one attempt. It is not safe for concurrent use.
type Tally struct {
	From, To      string
	epoch         time.Time // when the first evidence arrived
	pairs         []*versionPair
	pairByStratum map[stratum]*versionPair
	totals        [groupingCount][]groupTotal
	groupIndexes  [groupingCount]map[stratum]int // indices into totals
	origins       map[string]*seenSequences
	scratch       []activeStratum // reused by newWindowView
}

// NewTally returns an empty tally for a move between two versions.
func NewTally(from, to string) *Tally {
	t := &Tally{
		From: from, To: to, pairByStratum: make(map[stratum]*versionPair), origins: make(map[string]*seenSequences),
	}
	for grouping := range groupingCount {
		t.groupIndexes[grouping] = make(map[stratum]int)
	}
	return t
}

// Merge adds evidence that arrived at now. It ignores the message and returns false
// if the message was merged before, or is older than the last 64 of its origin.
func (t *Tally) Merge(now time.Time, e *Evidence) bool {
	seen := t.origins[e.Origin]
	if seen == nil {
		seen = &seenSequences{}
		t.origins[e.Origin] = seen
	}
	if !seen.markSeen(e.Sequence) {
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

// Totals returns the answers of a version over all strata since the start of the
// attempt.
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

// add adds the counts of one stratum; those of other versions are ignored.
func (t *Tally) add(now time.Time, c *StratumCounts) {
	if c.Version != t.From && c.Version != t.To {
		return
	}
	key := stratum{route: c.Route, target: c.Target, load: c.Load}
	p := t.pairFor(key)
	counts := Counts{
		Requests:  float64(c.Requests),
		Errors:    float64(min(c.Errors, c.Requests)),
		Timed:     float64(c.Timed),
		Slow:      float64(min(c.Slow, c.Timed)),
		Paced:     float64(c.Paced),
		SlowPaced: float64(min(c.SlowPaced, c.Paced)),
	}
	p.add(t.intervalAt(now), c.Version == t.To, counts)
	if c.Version == t.To {
		return
	}
	for grouping := range groupingCount {
		t.totals[grouping][p.groupIndex[grouping]].old.add(counts)
	}
}

// pairFor returns the counts of a stratum. It creates them, and the stratum's group in
// each grouping, if needed.
func (t *Tally) pairFor(key stratum) *versionPair {
	if p := t.pairByStratum[key]; p != nil {
		return p
	}
	p := &versionPair{key: key}
	for grouping := range groupingCount {
		groupKey := coarsen(grouping, key)
		index, ok := t.groupIndexes[grouping][groupKey]
		if !ok {
			index = len(t.totals[grouping])
			t.groupIndexes[grouping][groupKey] = index
			t.totals[grouping] = append(t.totals[grouping], groupTotal{key: groupKey})
		}
		p.groupIndex[grouping] = index
	}
	t.pairByStratum[key] = p
	t.pairs = append(t.pairs, p)
	return p
}

// intervalAt returns the number of the interval that contains now. The first is 1; 0
// marks an unused position of the ring buffers.
func (t *Tally) intervalAt(now time.Time) int64 {
	return int64(now.Sub(t.epoch)/intervalLength) + 1
}

// add adds answers of one version that arrived in an interval.
func (p *versionPair) add(interval int64, isNew bool, c Counts) {
	i := int(interval) % intervalCount
	if p.recentInterval[i] != interval {
		p.recentInterval[i] = interval
		p.recentOld[i] = Counts{}
		p.recentNew[i] = Counts{}
	}
	if isNew {
		p.newestInterval = interval
		p.new.add(c)
		p.recentNew[i].add(c)
		return
	}
	p.old.add(c)
	p.recentOld[i].add(c)
}

// recent returns the counts of a window of the given length that ends with interval.
func (p *versionPair) recent(interval int64, length time.Duration) (oldCounts, newCounts Counts) {
	first := interval - int64(length/intervalLength) + 1
	for i := range p.recentInterval {
		if p.recentInterval[i] >= first && p.recentInterval[i] <= interval && p.recentInterval[i] > 0 {
			oldCounts.add(p.recentOld[i])
			newCounts.add(p.recentNew[i])
		}
	}
	return oldCounts, newCounts
}

// seenSequences records which sequence numbers of an origin were merged: the highest,
// and a bit for each of the 64 numbers up to and including it.
type seenSequences struct {
	highest uint64
	bits    uint64
}

// markSeen marks a number as merged and reports whether it was not marked before. It
// returns false for numbers that are too old to have a bit.
func (s *seenSequences) markSeen(n uint64) bool {
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
	distance := s.highest - n
	if distance >= 64 || s.bits&(1<<distance) != 0 {
		return false
	}
	s.bits |= 1 << distance
	return true
}
