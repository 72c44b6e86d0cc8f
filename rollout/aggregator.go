package rollout

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Aggregator sums the evidence of the collectors in one data centre. It passes the
// sums on to the holder and also evaluates them itself, so that a data centre can
// cut a bad version while the holder is unreachable or while no daemon holds the
// lease. It is safe for concurrent use.
type Aggregator struct {
	config AggregatorConfig

	mu       sync.Mutex
	attempts map[attemptKey]*pooledEvidence
	sequence uint64
}

// AggregatorConfig sets up an Aggregator.
type AggregatorConfig struct {
	TrafficSplit *TrafficSplit
	// Origin must be unique to this run of the daemon.
	Origin string
	// Evaluator decides on cuts. NewSequentialTest().SplitAmong(2 * data centres) keeps
	// the error probabilities of all evaluators of an attempt together within Alpha:
	// the holder gets one half of it, the aggregators of the data centres share the
	// other.
	Evaluator Evaluator
	// Now defaults to time.Now.
	Now func() time.Time
}

// pooledEvidence is the evidence of one attempt in this data centre.
type pooledEvidence struct {
	tally     *Tally
	total     map[countsKey]*StratumCounts // since the start of the attempt
	unsent    map[countsKey]*StratumCounts // since the last message to the holder
	sentFence uint64                       // fencing number of the holder that was last sent to
	changed   bool                         // evidence arrived since the last evaluation
}

// NewAggregator returns an empty aggregator.
func NewAggregator(c AggregatorConfig) *Aggregator {
	if c.Now == nil {
		c.Now = time.Now
	}
	return &Aggregator{config: c, attempts: make(map[attemptKey]*pooledEvidence)}
}

// Add merges a message of a collector. Repeated messages and messages about
// attempts that are unknown or have ended have no effect.
func (a *Aggregator) Add(e *Evidence) {
	row, _, ok := a.config.TrafficSplit.Row(e.Move)
	if !ok || row.Attempt != e.Attempt || row.Phase.Final() {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	key := attemptKey{e.Move, e.Attempt}
	p := a.attempts[key]
	if p == nil {
		p = &pooledEvidence{
			tally: NewTally(row.From, row.To), total: make(map[countsKey]*StratumCounts), unsent: make(map[countsKey]*StratumCounts),
		}
		a.attempts[key] = p
	}
	if !p.tally.Merge(a.config.Now(), e) {
		return
	}
	p.changed = true
	for i := range e.Strata {
		addCounts(p.total, &e.Strata[i])
		addCounts(p.unsent, &e.Strata[i])
	}
}

// addCounts adds c to the sum of its version and stratum.
func addCounts(sums map[countsKey]*StratumCounts, c *StratumCounts) {
	key := countsKey{version: c.Version, stratum: stratum{route: c.Route, target: c.Target, load: c.Load}}
	sum := sums[key]
	if sum == nil {
		sum = &StratumCounts{Version: c.Version, Route: c.Route, Target: c.Target, Load: c.Load}
		sums[key] = sum
	}
	sum.Requests += c.Requests
	sum.Errors += c.Errors
	sum.Timed += c.Timed
	sum.Slow += c.Slow
	sum.Paced += c.Paced
	sum.SlowPaced += c.SlowPaced
}

// Evaluate returns the attempts whose evidence in this data centre shows a bad
// version. The caller passes them to Controller.Cut. Attempts without new evidence
// since the last call are skipped, and the evidence of ended attempts is discarded.
func (a *Aggregator) Evaluate() []CutShare {
	a.mu.Lock()
	defer a.mu.Unlock()
	var cuts []CutShare
	for key, p := range a.attempts {
		row, _, ok := a.config.TrafficSplit.Row(key.move)
		if !ok || row.Attempt != key.attempt || row.Phase.Final() {
			delete(a.attempts, key)
			continue
		}
		if _, isCut := a.config.TrafficSplit.CutReason(key.move, key.attempt); isCut || !p.changed {
			continue
		}
		p.changed = false
		if v := a.config.Evaluator.Evaluate(p.tally, a.config.Now(), FullShare); v.Bad {
			cuts = append(cuts, CutShare{Move: key.move, Attempt: key.attempt, Reason: v.Reason})
		}
	}
	return cuts
}

// HolderEvidence is evidence to be sent to the holder of a move.
type HolderEvidence struct {
	Holder   string
	Evidence *Evidence
}

// Drain returns the evidence that has not yet been sent to the holders and counts
// it as sent. A new holder starts without evidence, so it is sent all of it since
// the start of the attempt.
func (a *Aggregator) Drain() []HolderEvidence {
	a.mu.Lock()
	defer a.mu.Unlock()
	var out []HolderEvidence
	for key, p := range a.attempts {
		row, _, ok := a.config.TrafficSplit.Row(key.move)
		if !ok || row.Attempt != key.attempt || row.Phase.Final() {
			continue
		}
		counts := p.unsent
		if row.Fence != p.sentFence {
			p.sentFence = row.Fence
			counts = p.total
		}
		if len(counts) == 0 {
			continue
		}
		a.sequence++
		e := &Evidence{
			Move: key.move, Attempt: key.attempt, Origin: fencedOrigin(a.config.Origin, row.Fence), Sequence: a.sequence,
		}
		for _, c := range counts {
			e.Strata = append(e.Strata, *c)
		}
		p.unsent = make(map[countsKey]*StratumCounts)
		out = append(out, HolderEvidence{Holder: row.Holder, Evidence: e})
	}
	return out
}

// fencedOrigin appends the fencing number of the holder that the evidence is meant
// for. Sums since the start of the attempt are meant for a new holder only; a
// holder that already has a part of them would count that part twice.
func fencedOrigin(origin string, fence uint64) string {
	return fmt.Sprintf("%s#%d", origin, fence)
}

// isForHolder reports whether evidence with this origin is meant for the holder
// with this fencing number. An origin without a fencing number belongs to a
// collector and is accepted by every holder.
func isForHolder(origin string, fence uint64) bool {
	_, addressee, ok := strings.Cut(origin, "#")
	return !ok || addressee == strconv.FormatUint(fence, 10)
}

// IsPooled reports whether evidence with this origin was summed by an Aggregator
// and is meant for a holder. Other evidence comes from a Collector and is meant
// for an Aggregator.
func IsPooled(origin string) bool {
	return strings.Contains(origin, "#")
}
