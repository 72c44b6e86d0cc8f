package rolloutcompare

import (
	"math"
	"math/rand/v2"
	"time"
)

// Kind is the fault of the new version.
type Kind string

// The kinds of versions. Each fault either fails requests or slows them down.
const (
	Good          Kind = "good"
	BadAtOnce     Kind = "bad at once"
	BadLater      Kind = "bad later"
	BadUnderLoad  Kind = "bad under load"
	BadOnOneRoute Kind = "bad on one route"
)

var kinds = []Kind{BadAtOnce, BadLater, BadUnderLoad, BadOnOneRoute}

const (
	dataCentres         = 3
	entriesPerCentre    = 2
	targetsPerCentre    = 2
	routes              = 3
	slotsPerTarget      = 64
	baseErrors          = 0.002
	latencySigma        = 0.5
	leastRate, mostRate = 40.0, 400.0 // requests/s over all routes and entries
)

// routeMix is each route's share of the requests, and routeLatency the median
// time of an answer.
var (
	routeMix     = [routes]float64{0.6, 0.3, 0.1}
	routeLatency = [routes]time.Duration{80 * time.Millisecond, 150 * time.Millisecond, 120 * time.Millisecond}
)

// outage is a period in which something fails.
type outage struct{ from, to time.Duration }

func (o outage) covers(t time.Duration) bool { return t >= o.from && t < o.to }

// scenario is one move.
type scenario struct {
	seed     uint64
	kind     Kind
	slow     bool    // slows down rather than fails
	severity float64 // part of the answers that fail, or factor of the latency
	route    int     // for BadOnOneRoute
	delay    time.Duration
	deadline time.Duration
	rate     float64
	bursts   []outage
	baseLoad float64

	storeDown  []outage
	lost       float64 // probability that a commit's answer or request is lost
	killHolder []time.Duration
	cutOff     outage // of the last data centre
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
	s.route = r.IntN(routes)
	s.delay = seconds(r, 5, 90)
	s.deadline = seconds(r, 300, 900)
	s.rate = leastRate * math.Pow(mostRate/leastRate, r.Float64())
	s.baseLoad = 0.2 + 0.3*r.Float64()
	for at := seconds(r, 20, 60); at < s.deadline; at += seconds(r, 40, 100) {
		s.bursts = append(s.bursts, outage{at, at + seconds(r, 15, 40)})
	}
	s.addFailures(r)
	return s
}

func (s *scenario) addFailures(r *rand.Rand) {
	if r.Float64() < 0.3 {
		at := seconds(r, 5, s.deadline.Seconds())
		s.storeDown = append(s.storeDown, outage{at, at + seconds(r, 5, 60)})
	}
	if r.Float64() < 0.5 {
		s.lost = 0.1
	}
	if r.Float64() < 0.3 {
		s.killHolder = append(s.killHolder, seconds(r, 5, s.deadline.Seconds()))
	}
	if r.Float64() < 0.15 {
		at := seconds(r, 5, s.deadline.Seconds())
		s.cutOff = outage{at, at + seconds(r, 20, 60)}
	}
}

func seconds(r *rand.Rand, low, high float64) time.Duration {
	return time.Duration((low + (high-low)*r.Float64()) * float64(time.Second))
}

// load is the use of the targets at t, between 0 and 1.
func (s *scenario) load(t time.Duration) float64 {
	for _, b := range s.bursts {
		if b.covers(t) {
			return 0.85
		}
	}
	return s.baseLoad
}

// faulty reports whether the new version's fault shows for a request.
func (s *scenario) faulty(route int, level uint32, sinceFirst time.Duration) bool {
	switch s.kind {
	case BadAtOnce:
		return true
	case BadLater:
		return sinceFirst >= s.delay
	case BadUnderLoad:
		return level == 3
	case BadOnOneRoute:
		return route == s.route
	}
	return false
}
