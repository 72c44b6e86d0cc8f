package rolloutcompare

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/memtable"
	"github.com/marjoramflow/marjoramflow/internal/naiverollout"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// Result is the outcome of one move under one system.
type Result struct {
	Seed           uint64
	Kind           Kind
	Slow           bool
	Phase          rollout.Phase
	InTime         bool          // done was in force before the deadline
	Took           time.Duration // from the start to the final phase
	Requests       [routes]int
	HarmedRequests [routes]int
	// Crossed says that the evidence crossed its bound while the new version had a
	// share. TimeToZero is the time from then to zero share everywhere, and TimeToReachable
	// that to zero share at the daemons that are not cut off.
	Crossed         bool
	TimeToZero      time.Duration
	TimeToReachable time.Duration
	Reason          string
}

// runOne runs one move until its deadline has passed.
func runOne(seed uint64, naive bool) Result {
	w := newWorld(seed, naive)
	ctx := context.Background()
	for ; w.at < w.s.deadline+5*time.Second; w.at += step {
		w.deliver()
		w.fail()
		w.traffic()
		w.complete()
		w.evidence()
		for _, n := range w.nodes {
			if n.alive() && w.at >= n.nextTick {
				n.failures = 0
				n.nextTick = w.at + n.controller.Tick(ctx) + time.Duration(n.failures)*callTimeout
			}
		}
		w.watch.observe(w)
	}
	return w.finish()
}

func newWorld(seed uint64, naive bool) *world {
	w := &world{
		s: newScenario(seed), naive: naive, rand: rand.New(rand.NewPCG(seed, 2)), table: memtable.New(),
		loaded: make(map[string]time.Duration), flight: make(map[int64][]completion),
	}
	w.set = &object.Set{
		Services: []object.Service{{Name: service, Kind: object.PlainService, Version: oldName}},
		Moves: []object.Move{{
			Name: move, Service: service, From: oldName, To: newName, Attempt: 1, Deadline: epoch.Add(w.s.deadline),
		}},
	}
	for i := range dataCentres * targetsPerCentre {
		w.set.Targets = append(w.set.Targets, object.Target{
			Name: fmt.Sprintf("t%d", i), Service: service, DataCentre: fmt.Sprint(i / targetsPerCentre),
			Versions: []string{oldName, newName}, ChecksFencing: i%2 == 0, Slots: slotsPerTarget,
		})
	}
	w.watch.oracle = rollout.NewTally(oldName, newName)
	for i := range dataCentres * entriesPerCentre {
		w.nodes = append(w.nodes, &node{w: w, name: fmt.Sprintf("d%d", i), centre: i / entriesPerCentre})
	}
	for _, n := range w.nodes {
		n.boot()
	}
	return w
}

func (w *world) naivePolicy() rollout.Policy { return naiverollout.Policy{} }

// deliver hands over the messages of the last step, and lets daemons catch up
// when a cut-off data centre returns.
func (w *world) deliver() {
	mail := w.mail
	w.mail = nil
	for _, m := range mail {
		m()
	}
	back := w.s.cutOff.to
	if back > 0 && w.at >= back && w.at < back+step {
		for _, n := range w.nodes {
			if n.alive() {
				w.syncFrom(n)
			}
		}
	}
}

// fail kills holders and restarts daemons.
func (w *world) fail() {
	for _, n := range w.nodes {
		if n.deadUntil > 0 && w.at >= n.deadUntil {
			n.deadUntil = 0
			n.boot()
		}
	}
	for _, at := range w.s.killHolder {
		if w.at < at || w.at >= at+step {
			continue
		}
		for _, n := range w.nodes {
			if n.alive() && n.controller.Status()[0].HoldsLease {
				n.deadUntil = w.at + restart
			}
		}
	}
}

// evidence moves counts from the entries to the data centres and the holder.
func (w *world) evidence() {
	due := w.at%drainEvery == 0
	for _, n := range w.nodes {
		if !n.alive() {
			continue
		}
		for _, e := range n.collector.Drain() {
			n.unsent = append(n.unsent, e)
			w.watch.merge(w, e)
		}
		if due {
			w.toAggregator(n)
		}
	}
	for _, n := range w.nodes {
		if due && n.alive() {
			w.judge(n)
		}
	}
}

func (w *world) toAggregator(n *node) {
	for _, other := range w.nodes {
		if other.centre == n.centre && other.alive() {
			for _, e := range n.unsent {
				w.mail = append(w.mail, func() {
					if other.alive() {
						other.aggregator.Add(e)
					}
				})
			}
			break
		}
	}
	n.unsent = nil
}

func (w *world) judge(n *node) {
	for _, c := range n.aggregator.Evaluate() {
		n.controller.Cut(c.Move, c.Attempt, c.Reason)
	}
	for _, m := range n.aggregator.Drain() {
		for _, holder := range w.nodes {
			if holder.name != m.Holder {
				continue
			}
			w.mail = append(w.mail, func() {
				if holder.alive() && w.reach(n.centre, holder.centre) {
					holder.controller.AddEvidence(m.Evidence)
				}
			})
		}
	}
}

func (w *world) finish() Result {
	r := w.result
	r.Seed, r.Kind, r.Slow = w.s.seed, w.s.kind, w.s.slow
	rows, err := w.table.Get(context.Background(), rollout.RowKey(move))
	if err == nil && rows[0].Version != 0 {
		if row, err := rollout.DecodeRow(rows[0].Value); err == nil {
			r.Phase, r.Reason = row.Phase, row.Reason
		}
	}
	r.InTime = w.watch.inForce > 0 && w.watch.inForce < w.s.deadline
	r.Took = w.watch.final
	r.Crossed = w.watch.crossed > 0
	r.TimeToZero = w.watch.since(w.watch.zero)
	r.TimeToReachable = w.watch.since(w.watch.reached)
	return r
}
