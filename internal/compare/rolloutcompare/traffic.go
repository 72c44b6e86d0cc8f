package rolloutcompare

import (
	"fmt"
	"math"
	"time"

	"github.com/marjoramflow/marjoramflow/rollout"
)

// completion is an answer that arrives at an entry.
type completion struct {
	n   *node
	run int
	o   rollout.Observation
}

var routeNames = [routes]string{"r0", "r1", "r2"}

// traffic draws the requests of one step.
func (w *world) traffic() {
	count := w.poisson(w.s.rate * step.Seconds())
	for range count {
		w.request()
	}
}

// poisson draws from a Poisson distribution by Knuth's method; the means here are
// below 30.
func (w *world) poisson(mean float64) int {
	limit := math.Exp(-mean)
	n, product := 0, w.rand.Float64()
	for product > limit {
		n++
		product *= w.rand.Float64()
	}
	return n
}

func (w *world) request() {
	n := w.nodes[w.rand.IntN(len(w.nodes))]
	for !n.alive() {
		n = w.nodes[w.rand.IntN(len(w.nodes))]
	}
	route := w.route()
	version := n.trafficSplit.Pick(service, w.rand.Uint64())
	target := n.centre*targetsPerCentre + w.rand.IntN(targetsPerCentre)
	use := w.s.load(w.at) + 0.1*w.rand.NormFloat64()
	level := rollout.LoadLevel(int(use*slotsPerTarget), slotsPerTarget)
	latency := routeLatency[route].Seconds() * math.Exp(latencySigma*w.rand.NormFloat64()) * (1 + use*use)
	failed := w.rand.Float64() < baseErrors
	hurt := false
	if version == newName {
		failed, latency, hurt = w.newVersion(route, level, failed, latency)
	}
	if w.at < w.s.deadline {
		w.result.Requests[route]++
		if hurt {
			w.result.HarmedRequests[route]++
		}
	}
	done := time.Duration(latency * float64(time.Second))
	key := int64((w.at + done) / step)
	w.flight[key] = append(w.flight[key], completion{n: n, run: n.run, o: rollout.Observation{
		Service: service, Version: version, Route: routeNames[route], Target: fmt.Sprintf("t%d", target),
		Load: level, Failed: failed, Latency: done,
	}})
}

// newVersion applies the fault. A request counts as hurt when it fails because of
// the fault, or takes 1.8 times as long or longer.
func (w *world) newVersion(route int, level uint32, failed bool, latency float64) (bool, float64, bool) {
	if w.watch.firstNew == 0 {
		w.watch.firstNew = w.at
	}
	if !w.s.faulty(route, level, w.at-w.watch.firstNew) {
		return failed, latency, false
	}
	if w.s.slow {
		return failed, latency * w.s.severity, true
	}
	bad := w.rand.Float64() < w.s.severity
	return failed || bad, latency, bad
}

func (w *world) route() int {
	x := w.rand.Float64()
	for i, part := range routeMix {
		if x -= part; x < 0 {
			return i
		}
	}
	return routes - 1
}

// complete reports the answers of this step to their entries.
func (w *world) complete() {
	key := int64(w.at / step)
	for _, c := range w.flight[key] {
		if c.n.alive() && c.n.run == c.run {
			c.n.collector.Observe(c.o)
		}
	}
	delete(w.flight, key)
}

// watch measures from outside what no daemon knows.
type watch struct {
	oracle    *rollout.Tally
	sequence  uint64
	dirty     bool
	firstNew  time.Duration // first request to the new version
	crossed   time.Duration // when all evidence together crossed its bound
	cutAt     time.Duration
	zero      time.Duration // first time with zero share everywhere after the cut
	reached   time.Duration // the same for the daemons that are not cut off
	inForce   time.Duration // when all reachable daemons knew done
	final     time.Duration // when the first daemon knew a final phase
	lastJudge time.Duration
}

func (o *watch) cut(at time.Duration) {
	if o.cutAt == 0 {
		o.cutAt = at
	}
}

// merge feeds the oracle with evidence without delay.
func (o *watch) merge(w *world, e *rollout.Evidence) {
	if o.crossed > 0 || w.s.kind == Good {
		return
	}
	o.sequence++
	copied := *e
	copied.Origin, copied.Sequence = "oracle", o.sequence
	o.oracle.Merge(w.now(), &copied)
	o.dirty = true
}

func (o *watch) observe(w *world) {
	if o.dirty && o.crossed == 0 && w.at-o.lastJudge >= 2*step {
		o.lastJudge = w.at
		if rollout.NewSequentialTest().SplitAmong(2).Evaluate(o.oracle, w.now(), rollout.FullShare).Bad {
			o.crossed = w.at
		}
	}
	if o.cutAt > 0 && o.reached == 0 && w.zeroShare(false) {
		o.reached = w.at
	}
	if o.cutAt > 0 && o.zero == 0 && w.zeroShare(true) {
		o.zero = w.at
	}
	if o.final == 0 || (o.inForce == 0 && w.at < w.s.deadline) {
		o.phases(w)
	}
}

// zeroShare reports whether no daemon sends requests to the new version; those of
// a data centre that is cut off count if all is set.
func (w *world) zeroShare(all bool) bool {
	for _, n := range w.nodes {
		if n.alive() && (all || !w.isolated(n.centre)) && n.trafficSplit.Pick(service, 0) == newName {
			return false
		}
	}
	return true
}

func (o *watch) phases(w *world) {
	all := true
	for _, n := range w.nodes {
		if !n.alive() || w.isolated(n.centre) {
			continue
		}
		row, _, ok := n.trafficSplit.Row(move)
		if ok && row.Phase.Final() && o.final == 0 {
			o.final = w.at
		}
		all = all && ok && row.Phase == rollout.Done
	}
	if all && o.inForce == 0 {
		o.inForce = w.at
	}
}

// since is the time from the crossing to at. It is 0 when a data centre cut on its
// own evidence before all evidence together crossed the bound.
func (o *watch) since(at time.Duration) time.Duration {
	if o.crossed == 0 || at == 0 {
		return 0
	}
	return max(at-o.crossed, 0)
}
