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

// Result holds the outcome of one move under one system.
type Result struct {
	Seed           uint64
	Kind           Kind
	Slow           bool
	Phase          rollout.Phase
	InTime         bool          // phase Done was in force before the deadline
	TimeToFinal    time.Duration // from the start to the final phase
	Requests       [routes]int
	HarmedRequests [routes]int
	// Crossed reports whether the evidence crossed its bound while the new version
	// had a share. TimeToZero is the time from then to zero share at all daemons, and
	// TimeToReachableZero that to zero share at the daemons that are not cut off.
	Crossed             bool
	TimeToZero          time.Duration
	TimeToReachableZero time.Duration
	Reason              string
}

// runOne runs one move under one system until 5 s after its deadline.
func runOne(seed uint64, naive bool) Result {
	s := newSimulation(seed, naive)
	ctx := context.Background()
	for ; s.elapsed < s.scenario.deadline+5*time.Second; s.elapsed += step {
		s.deliverMessages()
		s.injectFailures()
		s.generateRequests()
		s.deliverAnswers()
		s.forwardEvidence()
		for _, n := range s.nodes {
			if n.alive() && s.elapsed >= n.nextTick {
				n.storeTimeouts = 0
				n.nextTick = s.elapsed + n.controller.Tick(ctx) + time.Duration(n.storeTimeouts)*storeCallTimeout
			}
		}
		s.observer.observe(s)
	}
	return s.collectResult()
}

// newSimulation returns a simulation with all daemons started.
func newSimulation(seed uint64, naive bool) *simulation {
	s := &simulation{
		scenario: newScenario(seed), naive: naive, rand: rand.New(rand.NewPCG(seed, 2)), table: memtable.New(),
		loadDoneAt: make(map[string]time.Duration), inFlight: make(map[int64][]completion),
	}
	s.objects = &object.Set{
		Services: []object.Service{{Name: serviceName, Kind: object.PlainService, Version: oldVersion}},
		Moves: []object.Move{{
			Name: moveName, Service: serviceName, From: oldVersion, To: newVersion, Attempt: 1, Deadline: epoch.Add(s.scenario.deadline),
		}},
	}
	for i := range dataCentres * targetsPerCentre {
		s.objects.Targets = append(s.objects.Targets, object.Target{
			Name: fmt.Sprintf("t%d", i), Service: serviceName, DataCentre: fmt.Sprint(i / targetsPerCentre),
			Versions: []string{oldVersion, newVersion}, ChecksFencing: i%2 == 0, Slots: slotsPerTarget,
		})
	}
	s.observer.oracle = rollout.NewTally(oldVersion, newVersion)
	for i := range dataCentres * entriesPerCentre {
		s.nodes = append(s.nodes, &node{sim: s, name: fmt.Sprintf("d%d", i), centre: i / entriesPerCentre})
	}
	for _, n := range s.nodes {
		n.start()
	}
	return s
}

func (s *simulation) naivePolicy() rollout.Policy { return naiverollout.Policy{} }

// deliverMessages delivers the messages of the last step. When a data centre is
// connected again, all daemons sync from their peers.
func (s *simulation) deliverMessages() {
	messages := s.messages
	s.messages = nil
	for _, m := range messages {
		m()
	}
	cutOffEnd := s.scenario.cutOff.to
	if cutOffEnd > 0 && s.elapsed >= cutOffEnd && s.elapsed < cutOffEnd+step {
		for _, n := range s.nodes {
			if n.alive() {
				s.syncFromPeers(n)
			}
		}
	}
}

// injectFailures kills the lease holder and restarts daemons.
func (s *simulation) injectFailures() {
	for _, n := range s.nodes {
		if n.downUntil > 0 && s.elapsed >= n.downUntil {
			n.downUntil = 0
			n.start()
		}
	}
	for _, at := range s.scenario.holderKills {
		if s.elapsed < at || s.elapsed >= at+step {
			continue
		}
		for _, n := range s.nodes {
			if n.alive() && n.controller.Status()[0].HoldsLease {
				n.downUntil = s.elapsed + restartDelay
			}
		}
	}
}

// forwardEvidence sends the evidence of the entries to the aggregators of their data
// centres and from there to the lease holder.
func (s *simulation) forwardEvidence() {
	due := s.elapsed%evidenceInterval == 0
	for _, n := range s.nodes {
		if !n.alive() {
			continue
		}
		for _, e := range n.collector.Drain() {
			n.unsent = append(n.unsent, e)
			s.observer.addEvidence(s, e)
		}
		if due {
			s.sendToAggregator(n)
		}
	}
	for _, n := range s.nodes {
		if due && n.alive() {
			s.evaluateEvidence(n)
		}
	}
}

// sendToAggregator sends the unsent evidence of a daemon to the aggregator of its
// data centre, which is the one of the first live daemon there.
func (s *simulation) sendToAggregator(n *node) {
	for _, other := range s.nodes {
		if other.centre == n.centre && other.alive() {
			for _, e := range n.unsent {
				s.messages = append(s.messages, func() {
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

// evaluateEvidence applies the cuts that the aggregator of a daemon finds necessary,
// and sends its evidence to the lease holders.
func (s *simulation) evaluateEvidence(n *node) {
	for _, c := range n.aggregator.Evaluate() {
		n.controller.Cut(c.Move, c.Attempt, c.Reason)
	}
	for _, m := range n.aggregator.Drain() {
		for _, holder := range s.nodes {
			if holder.name != m.Holder {
				continue
			}
			s.messages = append(s.messages, func() {
				if holder.alive() && s.canReach(n.centre, holder.centre) {
					holder.controller.AddEvidence(m.Evidence)
				}
			})
		}
	}
}

// collectResult returns the result after the last step.
func (s *simulation) collectResult() Result {
	r := s.result
	r.Seed, r.Kind, r.Slow = s.scenario.seed, s.scenario.kind, s.scenario.slow
	rows, err := s.table.Get(context.Background(), rollout.RowKey(moveName))
	if err == nil && rows[0].Version != 0 {
		if row, err := rollout.DecodeRow(rows[0].Value); err == nil {
			r.Phase, r.Reason = row.Phase, row.Reason
		}
	}
	r.InTime = s.observer.doneInForceAt > 0 && s.observer.doneInForceAt < s.scenario.deadline
	r.TimeToFinal = s.observer.finalPhaseAt
	r.Crossed = s.observer.crossedAt > 0
	r.TimeToZero = s.observer.sinceCrossing(s.observer.zeroShareAt)
	r.TimeToReachableZero = s.observer.sinceCrossing(s.observer.reachableZeroAt)
	return r
}
