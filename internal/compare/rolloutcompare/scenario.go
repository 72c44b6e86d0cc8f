package rolloutcompare

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is the kind of fault that the new version has.
type Kind string

// Kinds of versions. Each fault either fails requests or slows them down.
const (
	Good          Kind = "good"
	BadAtOnce     Kind = "bad at once"
	BadLater      Kind = "bad later"
	BadUnderLoad  Kind = "bad under load"
	BadOnOneRoute Kind = "bad on one route"
)

var kinds = []Kind{BadAtOnce, BadLater, BadUnderLoad, BadOnOneRoute}

const (
	dataCentres      = 3
	entriesPerCentre = 2
	targetsPerCentre = 2
	routes           = 3
	slotsPerTarget   = 64
	baseErrorRate    = 0.002
	logLatencySigma  = 0.5
	minRate, maxRate = 40.0, 400.0 // requests/s over all routes and entries
)

// routeMix is the share of the requests of each route, and routeLatency their median
// latency on an idle target.
var (
	routeMix     = [routes]float64{0.6, 0.3, 0.1}
	routeLatency = [routes]time.Duration{80 * time.Millisecond, 150 * time.Millisecond, 120 * time.Millisecond}
)

// period is the interval [from, to) of virtual time.
type period struct{ from, to time.Duration }

func (p period) contains(t time.Duration) bool { return t >= p.from && t < p.to }

// scenario describes one move, its load and the failures during it.
type scenario struct {
	seed        uint64
	kind        Kind
	slow        bool          // the fault slows requests down rather than fails them
	severity    float64       // share of the answers that fail, or factor of the latency
	faultyRoute int           // for BadOnOneRoute
	faultDelay  time.Duration // for BadLater, since the first request to the new version
	deadline    time.Duration
	rate        float64
	bursts      []period
	baseLoad    float64

	storeOutages []period
	commitLoss   float64 // probability that a commit's answer or request is lost
	holderKills  []time.Duration
	cutOff       period // when the last data centre is cut off
}

func newScenario(seed uint64) scenario {
	r := rand.New(rand.NewPCG(seed, 1))
	s := scenario{seed: seed, kind: Good}
	// A third of the moves are good.
	if n := int(seed % 12); n >= 4 {
		s.kind = kinds[(n-4)%4]
		s.slow = n >= 8
	}
	s.severity = 0.05 + 0.95*math.Pow(r.Float64(), 1.5)
	if s.slow {
		s.severity = 1.8 + 3*r.Float64()
	}
	s.faultyRoute = r.IntN(routes)
	s.faultDelay = randomSeconds(r, 5, 90)
	s.deadline = randomSeconds(r, 300, 900)
	s.rate = minRate * math.Pow(maxRate/minRate, r.Float64())
	s.baseLoad = 0.2 + 0.3*r.Float64()
	for at := randomSeconds(r, 20, 60); at < s.deadline; at += randomSeconds(r, 40, 100) {
		s.bursts = append(s.bursts, period{at, at + randomSeconds(r, 15, 40)})
	}
	s.addFailures(r)
	return s
}

// addFailures draws the failures of stores, messages, lease holders and data centres.
func (s *scenario) addFailures(r *rand.Rand) {
	if r.Float64() < 0.3 {
		at := randomSeconds(r, 5, s.deadline.Seconds())
		s.storeOutages = append(s.storeOutages, period{at, at + randomSeconds(r, 5, 60)})
	}
	if r.Float64() < 0.5 {
		s.commitLoss = 0.1
	}
	if r.Float64() < 0.3 {
		s.holderKills = append(s.holderKills, randomSeconds(r, 5, s.deadline.Seconds()))
	}
	if r.Float64() < 0.15 {
		at := randomSeconds(r, 5, s.deadline.Seconds())
		s.cutOff = period{at, at + randomSeconds(r, 20, 60)}
	}
}

// randomSeconds draws a duration between low and high seconds.
func randomSeconds(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + (high-low)*r.Float64()) * float64(time.Second))
}

// targetLoad returns the share of the targets' slots in use at t.
func (s *scenario) targetLoad(t time.Duration) float64 {
	for _, b := range s.bursts {
		if b.contains(t) {
			return 0.85
		}
	}
	return s.baseLoad
}

// showsFault reports whether the new version's fault affects a request on a route, at
// the load level of its target (rollout.LoadLevel) and a time after the first request to
// the version. BadUnderLoad shows at the highest level, 3, only.
func (s *scenario) showsFault(route int, level uint32, sinceFirst time.Duration) bool {
	switch s.kind {
	case BadAtOnce:
		return true
	case BadLater:
		return sinceFirst >= s.faultDelay
	case BadUnderLoad:
		return level == 3
	case BadOnOneRoute:
		return route == s.faultyRoute
	}
	return false
}
