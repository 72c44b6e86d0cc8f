package quarantine

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// fleetSeedCount returns the number of simulated runs; the environment variable
// MARJORAM_SEEDS overrides it.
func fleetSeedCount() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MARJORAM_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 3
}

// Guards against quarantining requests that crash nothing, and against crash
// requests that crash more than two targets, when one crash request runs at a time
// and two data centres are lost within 2 s. naiveTracker shows that a simpler rule
// quarantines wrong requests in the same simulation.
func TestRandomFleet(t *testing.T) {
	naiveFalsePositives := 0
	for seed := range fleetSeedCount() {
		faults := faultConfig{concurrentCrashRequests: 1}
		f, falsePositives := runFleet(t, seed, New(Options{}), faults)
		assert.Equal(t, falsePositives, 0, "seed %d", seed)
		f.checkCrashRequests(seed)
		_, n := runFleet(t, seed, &naiveTracker{losses: map[uint64]int{}}, faults)
		naiveFalsePositives += n
	}
	t.Logf("the naive tracker quarantined %d requests that crash nothing in %d runs, Tracker none", naiveFalsePositives, fleetSeedCount())
	assert.Assert(t, naiveFalsePositives > 0)
}

// Guards against quarantines that stay when targets are lost for other reasons in
// short succession: one loss per 15 s among 40 targets, discounted after 10 s.
func TestRandomLossesForOtherReasons(t *testing.T) {
	withoutDiscount, naive := 0, 0
	for seed := range fleetSeedCount() {
		faults := faultConfig{concurrentCrashRequests: 1, stepsPerLoss: 150, discountLosses: true}
		_, falsePositives := runFleet(t, seed, New(Options{}), faults)
		assert.Equal(t, falsePositives, 0, "seed %d", seed)
		faults.discountLosses = false
		_, n := runFleet(t, seed, New(Options{}), faults)
		withoutDiscount += n
		_, n = runFleet(t, seed, &naiveTracker{losses: map[uint64]int{}}, faults)
		naive += n
	}
	t.Logf("%d runs of 10 min: requests that crash nothing but were quarantined: 0 with DiscountLoss, %d without, naive tracker %d", fleetSeedCount(), withoutDiscount, naive)
	assert.Assert(t, withoutDiscount < naive)
}

// Guards against missing crash requests when several are sent in the same second,
// and against quarantining other requests in their place. The bound of two targets
// per crash request holds only for one at a time: with several, their first losses
// may be discounted as a burst, and a loss with two possible causes quarantines no
// request.
func TestRandomConcurrentCrashRequests(t *testing.T) {
	for concurrent, limit := range map[int]float64{2: 2.2, 3: 2.6, 5: 3.5} {
		mostLost, totalLost, crashRequests, falsePositives, notQuarantined := 0, 0, 0, 0, 0
		for seed := range fleetSeedCount() {
			f, n := runFleet(t, seed, New(Options{}), faultConfig{concurrentCrashRequests: concurrent})
			falsePositives += n
			for fp, lost := range f.crashLosses {
				mostLost, totalLost, crashRequests = max(mostLost, lost), totalLost+lost, crashRequests+1
				if f.tracker.StateOf(fp) != Quarantined {
					notQuarantined++
				}
			}
		}
		mean := float64(totalLost) / float64(crashRequests)
		t.Logf("%d at once: %.2f targets lost per crash request, at most %d; %d other requests quarantined, %d of %d crash requests not quarantined at the end, in %d runs",
			concurrent, mean, mostLost, falsePositives, notQuarantined, crashRequests, fleetSeedCount())
		assert.Assert(t, mean <= limit, "%d at once", concurrent)
		// A crash request that was cleared becomes a suspect again when it is sent
		// again.
		assert.Assert(t, notQuarantined <= crashRequests/50 && (notQuarantined == 0 || concurrent > 3), "%d at once", concurrent)
		assert.Assert(t, falsePositives <= int(fleetSeedCount())/10, "%d at once", concurrent)
	}
}

// checkCrashRequests asserts that each crash request is quarantined and crashed at
// most two targets.
func (f *fleet) checkCrashRequests(seed uint64) {
	f.t.Helper()
	assert.Equal(f.t, len(f.waiting), 0, "seed %d: requests without a target at the end", seed)
	for fp, lost := range f.crashLosses {
		assert.Assert(f.t, lost <= 2, "seed %d: request %d crashed %d targets", seed, fp, lost)
		assert.Equal(f.t, f.tracker.StateOf(fp), Quarantined, "seed %d: request %d", seed, fp)
	}
}

// fleet simulates targets that run requests, with one tracker and the placement
// rule that a suspect only runs on a target without another suspect.
type fleet struct {
	t           *testing.T
	rng         *rand.Rand
	tracker     lossTracker
	now         time.Time
	targets     []*simTarget
	waiting     []uint64       // requests without a target
	crashLosses map[uint64]int // lost targets by crash request
	finished    map[uint64]bool
}

// lossTracker is the part of Tracker that the simulation uses; naiveTracker
// implements it too.
type lossTracker interface {
	TargetLost(now time.Time, target string, inFlight []uint64) []Notice
	RequestFinished(now time.Time, fingerprint uint64) []Notice
	Tick(now time.Time) []Notice
	StateOf(fingerprint uint64) State
}

// naiveTracker quarantines every request that was in flight at two losses.
type naiveTracker struct{ losses map[uint64]int }

func (n *naiveTracker) TargetLost(_ time.Time, _ string, inFlight []uint64) []Notice {
	for _, fp := range inFlight {
		n.losses[fp]++
	}
	return nil
}
func (n *naiveTracker) RequestFinished(time.Time, uint64) []Notice { return nil }
func (n *naiveTracker) Tick(time.Time) []Notice                    { return nil }
func (n *naiveTracker) StateOf(fp uint64) State {
	if n.losses[fp] >= 2 {
		return Quarantined
	}
	return Clear
}

type simTarget struct {
	name       string
	running    map[uint64]time.Time // finish or crash time
	restartsAt time.Time
}

// placeRequest starts a request on a random target that may run it, and reports
// false when there is none or the request is pending.
func (f *fleet) placeRequest(fp uint64) bool {
	state := f.tracker.StateOf(fp)
	if state == Pending {
		return false
	}
	for _, i := range f.rng.Perm(len(f.targets)) {
		target := f.targets[i]
		if f.now.Before(target.restartsAt) || len(target.running) >= 8 {
			continue
		}
		if state == Suspect && f.hasSuspect(target) {
			continue
		}
		target.running[fp] = f.now.Add(time.Duration(200+f.rng.IntN(4000)) * time.Millisecond)
		return true
	}
	return false
}

func (f *fleet) hasSuspect(target *simTarget) bool {
	for fp := range target.running {
		if s := f.tracker.StateOf(fp); s == Suspect || s == Pending {
			return true
		}
	}
	return false
}

// loseTarget takes a target down for 20 s and reports the loss to the tracker.
func (f *fleet) loseTarget(target *simTarget) {
	if f.now.Before(target.restartsAt) {
		return
	}
	var inFlight []uint64
	for fp := range target.running {
		inFlight = append(inFlight, fp)
	}
	slices.Sort(inFlight)
	clear(target.running)
	target.restartsAt = f.now.Add(20 * time.Second)
	f.tracker.TargetLost(f.now, target.name, inFlight)
	f.waiting = append(f.waiting, inFlight...)
}

func (f *fleet) loseTargets(targets []*simTarget) {
	for _, target := range targets {
		f.loseTarget(target)
	}
}

// step advances the clock, ends requests that are due, and places those waiting.
func (f *fleet) step(elapsed time.Duration) {
	f.now = f.now.Add(elapsed)
	for _, target := range f.targets {
		for _, fp := range slices.Sorted(maps.Keys(target.running)) {
			end := target.running[fp]
			if f.now.Before(end) {
				continue
			}
			if _, crashes := f.crashLosses[fp]; crashes {
				f.crashLosses[fp]++
				f.loseTarget(target)
				break
			}
			delete(target.running, fp)
			f.tracker.RequestFinished(f.now, fp)
			f.finished[fp] = true
		}
	}
	f.tracker.Tick(f.now)
	stillWaiting := f.waiting[:0]
	for _, fp := range f.waiting {
		if f.tracker.StateOf(fp) != Quarantined && !f.placeRequest(fp) {
			stillWaiting = append(stillWaiting, fp)
		}
	}
	f.waiting = stillWaiting
}

// faultConfig sets the faults of a simulation.
type faultConfig struct {
	// stepsPerLoss is the mean number of steps of 100 ms between losses of single
	// targets for reasons other than a request; 0 is none.
	stepsPerLoss int
	// discountLosses calls DiscountLoss 10 s after each such loss.
	discountLosses bool
	// concurrentCrashRequests is the number of crash requests that start within
	// one second, once a minute.
	concurrentCrashRequests int
}

// runFleet simulates ten minutes: crash requests every minute, losses of targets
// for other reasons and two data centres lost within 2 s. It returns the number of
// quarantined requests that crash nothing.
func runFleet(t *testing.T, seed uint64, tracker lossTracker, faults faultConfig) (f *fleet, falsePositives int) {
	f = &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), tracker: tracker, now: start, crashLosses: map[uint64]int{}, finished: map[uint64]bool{}}
	for i := range 40 {
		f.targets = append(f.targets, &simTarget{name: fmt.Sprint("t", i), running: map[uint64]time.Time{}})
	}
	next := uint64(1)
	discounts := map[int]func(){}
	for i := range 6000 {
		if i < 5500 {
			for range 2 + f.rng.IntN(4) {
				f.waiting = append(f.waiting, next)
				next++
			}
		}
		if i%600 < faults.concurrentCrashRequests && i < 5500 {
			f.crashLosses[next] = 0
			f.waiting = append(f.waiting, next)
			next++
		}
		if i == 3300 {
			f.loseTargets(f.targets[:20])
		}
		if i == 3320 {
			f.loseTargets(f.targets[20:35])
		}
		if faults.stepsPerLoss > 0 && f.rng.IntN(faults.stepsPerLoss) == 0 && i < 5500 {
			target := f.targets[f.rng.IntN(len(f.targets))]
			f.loseTarget(target)
			if quarantineTracker, ok := tracker.(*Tracker); ok && faults.discountLosses {
				discounts[i+100] = func() { quarantineTracker.DiscountLoss(f.now, target.name) }
			}
		}
		if discount := discounts[i]; discount != nil {
			discount()
		}
		f.step(100 * time.Millisecond)
	}
	for fp := uint64(1); fp < next; fp++ {
		if _, crashes := f.crashLosses[fp]; !crashes && tracker.StateOf(fp) == Quarantined {
			falsePositives++
		}
	}
	return f, falsePositives
}
