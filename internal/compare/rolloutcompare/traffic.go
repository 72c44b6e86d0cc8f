package rolloutcompare

import (
	"fmt"
	"math"
	"time"

	"github.com/marjoramflow/marjoramflow/rollout"
)

// completion is an answer that arrives at an entry. It is lost if the entry has been
// restarted since the request.
type completion struct {
	node        *node
	incarnation int
	observation rollout.Observation
}

var routeNames = [routes]string{"r0", "r1", "r2"}

// generateRequests draws and sends the requests of one step.
func (s *simulation) generateRequests() {
	count := s.drawPoisson(s.scenario.rate * step.Seconds())
	for range count {
		s.sendRequest()
	}
}

// drawPoisson draws from a Poisson distribution by Knuth's method, whose cost grows
// with the mean; the means here are below 30.
func (s *simulation) drawPoisson(mean float64) int {
	limit := math.Exp(-mean)
	n, product := 0, s.rand.Float64()
	for product > limit {
		n++
		product *= s.rand.Float64()
	}
	return n
}

// sendRequest draws one request at a live entry and schedules its answer.
func (s *simulation) sendRequest() {
	n := s.nodes[s.rand.IntN(len(s.nodes))]
	for !n.alive() {
		n = s.nodes[s.rand.IntN(len(s.nodes))]
	}
	route := s.drawRoute()
	version := n.trafficSplit.Pick(serviceName, s.rand.Uint64())
	target := n.centre*targetsPerCentre + s.rand.IntN(targetsPerCentre)
	load := s.scenario.targetLoad(s.elapsed) + 0.1*s.rand.NormFloat64()
	level := rollout.LoadLevel(int(load*slotsPerTarget), slotsPerTarget)
	latency := routeLatency[route].Seconds() * math.Exp(logLatencySigma*s.rand.NormFloat64()) * (1 + load*load)
	failed := s.rand.Float64() < baseErrorRate
	harmed := false
	if version == newVersion {
		failed, latency, harmed = s.applyFault(route, level, failed, latency)
	}
	if s.elapsed < s.scenario.deadline {
		s.result.Requests[route]++
		if harmed {
			s.result.HarmedRequests[route]++
		}
	}
	answerTime := time.Duration(latency * float64(time.Second))
	key := int64((s.elapsed + answerTime) / step)
	s.inFlight[key] = append(s.inFlight[key], completion{node: n, incarnation: n.incarnation, observation: rollout.Observation{
		Service: serviceName, Version: version, Route: routeNames[route], Target: fmt.Sprintf("t%d", target),
		Load: level, Failed: failed, Latency: answerTime,
	}})
}

// applyFault applies the new version's fault to a request. It returns whether the
// request fails, its latency in seconds and whether it is harmed: it fails because of
// the fault, or takes 1.8 times as long or longer.
func (s *simulation) applyFault(route int, level uint32, failed bool, latency float64) (bool, float64, bool) {
	if s.observer.firstNewVersionAt == 0 {
		s.observer.firstNewVersionAt = s.elapsed
	}
	if !s.scenario.showsFault(route, level, s.elapsed-s.observer.firstNewVersionAt) {
		return failed, latency, false
	}
	if s.scenario.slow {
		return failed, latency * s.scenario.severity, true
	}
	bad := s.rand.Float64() < s.scenario.severity
	return failed || bad, latency, bad
}

// drawRoute draws a route by routeMix.
func (s *simulation) drawRoute() int {
	x := s.rand.Float64()
	for i, share := range routeMix {
		if x -= share; x < 0 {
			return i
		}
	}
	return routes - 1
}

// deliverAnswers reports the answers that arrive in this step to the collectors of
// their entries.
func (s *simulation) deliverAnswers() {
	key := int64(s.elapsed / step)
	for _, c := range s.inFlight[key] {
		if c.node.alive() && c.node.incarnation == c.incarnation {
			c.node.collector.Observe(c.observation)
		}
	}
	delete(s.inFlight, key)
}

// observer measures what no single daemon can know. Times are since the start of the
// move; 0 means not yet.
type observer struct {
	// oracle holds the evidence of all daemons, without the delays of messages.
	oracle            *rollout.Tally
	sequence          uint64
	hasEvidence       bool
	firstNewVersionAt time.Duration // first request to the new version
	crossedAt         time.Duration // when the evidence of all daemons together crossed its bound
	cutAt             time.Duration
	zeroShareAt       time.Duration // first time with zero share at all daemons after the first cut
	reachableZeroAt   time.Duration // the same for the daemons that are not cut off
	doneInForceAt     time.Duration // when all reachable daemons knew of phase Done
	finalPhaseAt      time.Duration // when the first reachable daemon knew of a final phase
	lastEvaluation    time.Duration
}

// recordCut records the time of the first cut.
func (o *observer) recordCut(at time.Duration) {
	if o.cutAt == 0 {
		o.cutAt = at
	}
}

// addEvidence adds evidence to the oracle tally without the delays of messages. It
// is not needed for good versions or after the crossing.
func (o *observer) addEvidence(s *simulation, e *rollout.Evidence) {
	if o.crossedAt > 0 || s.scenario.kind == Good {
		return
	}
	o.sequence++
	copied := *e
	copied.Origin, copied.Sequence = "oracle", o.sequence
	o.oracle.Merge(s.now(), &copied)
	o.hasEvidence = true
}

// observe checks after each step what has happened for the first time.
func (o *observer) observe(s *simulation) {
	if o.hasEvidence && o.crossedAt == 0 && s.elapsed-o.lastEvaluation >= 2*step {
		o.lastEvaluation = s.elapsed
		if rollout.NewSequentialTest().SplitAmong(2).Evaluate(o.oracle, s.now(), rollout.FullShare).Bad {
			o.crossedAt = s.elapsed
		}
	}
	if o.cutAt > 0 && o.reachableZeroAt == 0 && s.hasZeroShare(false) {
		o.reachableZeroAt = s.elapsed
	}
	if o.cutAt > 0 && o.zeroShareAt == 0 && s.hasZeroShare(true) {
		o.zeroShareAt = s.elapsed
	}
	if o.finalPhaseAt == 0 || (o.doneInForceAt == 0 && s.elapsed < s.scenario.deadline) {
		o.observePhases(s)
	}
}

// hasZeroShare reports whether no live daemon sends requests to the new version. The
// daemons of a data centre that is cut off count only if includeCutOff is set.
func (s *simulation) hasZeroShare(includeCutOff bool) bool {
	for _, n := range s.nodes {
		if n.alive() && (includeCutOff || !s.isCutOff(n.centre)) && n.trafficSplit.Pick(serviceName, 0) == newVersion {
			return false
		}
	}
	return true
}

// observePhases records when the first reachable daemon knows a final phase, and when
// all of them know phase Done.
func (o *observer) observePhases(s *simulation) {
	allDone := true
	for _, n := range s.nodes {
		if !n.alive() || s.isCutOff(n.centre) {
			continue
		}
		row, _, ok := n.trafficSplit.Row(moveName)
		if ok && row.Phase.Final() && o.finalPhaseAt == 0 {
			o.finalPhaseAt = s.elapsed
		}
		allDone = allDone && ok && row.Phase == rollout.Done
	}
	if allDone && o.doneInForceAt == 0 {
		o.doneInForceAt = s.elapsed
	}
}

// sinceCrossing returns the time from the crossing of the bound to at. It is 0 when a
// data centre cut on its own evidence before all evidence together crossed the bound,
// and when there was no crossing or at is 0.
func (o *observer) sinceCrossing(at time.Duration) time.Duration {
	if o.crossedAt == 0 || at == 0 {
		return 0
	}
	return max(at-o.crossedAt, 0)
}
