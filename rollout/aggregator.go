package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Aggregator pools the evidence of one data centre. It passes the sums on to the
// holder and judges them itself, so that a data centre cuts a bad version while
// it is cut off from the holder or while nobody holds the lease. It is safe for
// concurrent use.
type Aggregator struct {
	config AggregatorConfig

	mu       sync.Mutex
	moves    map[attemptKey]*pooled
	sequence uint64
}

// AggregatorConfig sets up an Aggregator.
type AggregatorConfig struct {
	Shares *Shares
	// Origin must be unique to this run of the daemon.
	Origin string
	// Judge decides on cuts; NewTest().Share(2 * data centres) keeps the error
	// probability of all judges together at its bound.
	Evaluator Evaluator
	// Now defaults to time.Now.
	Now func() time.Time
}

// pooled is the evidence of one attempt: since the start and since the last
// message to the holder.
type pooled struct {
	tally *Tally
	total map[cellKey]*StratumCounts
	since map[cellKey]*StratumCounts
	fence uint64
	fresh bool
}

// NewAggregator returns an empty aggregator.
func NewAggregator(c AggregatorConfig) *Aggregator {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Aggregator{config: c, moves: make(map[attemptKey]*pooled)}
}

// Add merges a message of a collector. Repeated messages have no effect.
func (a *Aggregator) Add(e *Evidence) {
	row, _, ok := a.config.Shares.Row(e.Move)
	if !ok || row.Attempt != e.Attempt || row.Phase.Final() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := attemptKey{e.Move, e.Attempt}
	p := a.moves[key]
	if p == nil {
		p = &pooled{
			tally: NewTally(row.From, row.To), total: make(map[cellKey]*StratumCounts), since: make(map[cellKey]*StratumCounts),
		}
		a.moves[key] = p
	}
	if !p.tally.Merge(a.config.Now(), e) {
		return
	}
	p.fresh = true
	for i := range e.Strata {
		addCell(p.total, &e.Strata[i])
		addCell(p.since, &e.Strata[i])
	}
}

func addCell(cells map[cellKey]*StratumCounts, c *StratumCounts) {
	key := cellKey{version: c.Version, stratum: stratum{route: c.Route, target: c.Target, load: c.Load}}
	sum := cells[key]
	if sum == nil {
		sum = &StratumCounts{Version: c.Version, Route: c.Route, Target: c.Target, Load: c.Load}
		cells[key] = sum
	}
	sum.Requests += c.Requests
	sum.Errors += c.Errors
	sum.Slow += c.Slow
}

// Judge returns the attempts whose evidence in this data centre shows a bad
// version. The caller passes them to Controller.Cut. Attempts that have ended are
// forgotten.
func (a *Aggregator) Evaluate() []CutShare {
	a.mu.Lock()
	defer a.mu.Unlock()
	var cuts []CutShare
	for key, p := range a.moves {
		row, _, ok := a.config.Shares.Row(key.move)
		if !ok || row.Attempt != key.attempt || row.Phase.Final() {
			delete(a.moves, key)
			continue
		}
		if _, done := a.config.Shares.CutReason(key.move, key.attempt); done || !p.fresh {
			continue
		}
		p.fresh = false
		if v := a.config.Evaluator.Evaluate(p.tally, a.config.Now(), FullShare); v.Bad {
			cuts = append(cuts, CutShare{Move: key.move, Attempt: key.attempt, Reason: v.Reason})
		}
	}
	return cuts
}

// HolderEvidence is evidence for the holder of a move.
type HolderEvidence struct {
	Holder   string
	Evidence *Evidence
}

// Drain returns what the holders have not been sent yet. A new holder knows
// nothing, so it is sent everything since the start of the attempt.
func (a *Aggregator) Drain() []HolderEvidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []HolderEvidence
	for key, p := range a.moves {
		row, _, ok := a.config.Shares.Row(key.move)
		if !ok || row.Attempt != key.attempt || row.Phase.Final() {
			continue
		}
		cells := p.since
		if row.Fence != p.fence {
			p.fence = row.Fence
			cells = p.total
		}
		if len(cells) == 0 {
			continue
		}
		a.sequence++
		e := &Evidence{
			Move: key.move, Attempt: key.attempt, Origin: fencedOrigin(a.config.Origin, row.Fence), Sequence: a.sequence,
		}
		for _, c := range cells {
			e.Strata = append(e.Strata, *c)
		}
		p.since = make(map[cellKey]*StratumCounts)
		out = append(out, HolderEvidence{Holder: row.Holder, Evidence: e})
	}
	return out
}

// fencedOrigin marks evidence with the holder that it is meant for: sums since
// the start, sent to a new holder, must not reach one that has them already.
func fencedOrigin(origin string, fence uint64) string {
	return fmt.Sprintf("%s#%d", origin, fence)
}

// meantFor reports whether evidence is meant for the holder with this fencing
// number. Evidence without a mark comes straight from a collector.
func meantFor(origin string, fence uint64) bool {
	_, mark, ok := strings.Cut(origin, "#")
	return !ok || mark == strconv.FormatUint(fence, 10)
}

// IsPooled reports whether evidence with this origin was pooled by an Aggregator
// and is meant for a holder. Other evidence comes from a Collector and is meant
// for an Aggregator.
func IsPooled(origin string) bool {
	return strings.Contains(origin, "#")
}
