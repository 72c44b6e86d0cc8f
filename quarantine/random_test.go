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

// fleetSeeds is the number of simulated runs; MARJORAM_SEEDS sets another one.
func fleetSeeds() uint64 {
	if n, err := strconv.ParseUint(os.Getenv("MARJORAM_SEEDS"), 10, 32); err == nil {
		return n
	}
	return 3
}

// Guards against convicting innocent requests and against crash requests that
// take more than two targets with them, when one crash request runs at a time
// and two data centres are lost within 2 s. The naive book, which convicts
// whatever was in flight twice, shows that the simulation contains such traps.
func TestRandomFleet(t *testing.T) {
	naiveInnocents := 0
	for seed := range fleetSeeds() {
		d := disturbance{concurrent: 1}
		f, innocents := runFleet(t, seed, New(Options{}), d)
		assert.Equal(t, innocents, 0, "seed %d", seed)
		f.checkCrashRequests(seed)
		_, n := runFleet(t, seed, &naiveBook{losses: map[uint64]int{}}, d)
		naiveInnocents += n
	}
	t.Logf("naive book convicted %d innocent requests in %d runs, this book none", naiveInnocents, fleetSeeds())
	assert.Assert(t, naiveInnocents > 0)
}

// Guards against convictions that stay when targets die for other reasons in
// short succession: a loss per 15 s among 40 targets, known as such after 10 s.
func TestRandomLossesForOtherReasons(t *testing.T) {
	kept, naive := 0, 0
	for seed := range fleetSeeds() {
		d := disturbance{concurrent: 1, everySteps: 150, exonerate: true}
		_, innocents := runFleet(t, seed, New(Options{}), d)
		assert.Equal(t, innocents, 0, "seed %d", seed)
		d.exonerate = false
		_, n := runFleet(t, seed, New(Options{}), d)
		kept += n
		_, n = runFleet(t, seed, &naiveBook{losses: map[uint64]int{}}, d)
		naive += n
	}
	t.Logf("%d runs of 10 min: innocents convicted 0 with known causes, %d without, naive %d", fleetSeeds(), kept, naive)
	assert.Assert(t, kept < naive)
}

// Guards against crash requests that hide behind each other when several are
// sent in the same second, and against convicting innocents in their place. The
// bound of two targets holds for one at a time; with several, first losses may be
// excused as a burst, and a loss with two possible causes convicts nobody.
func TestRandomConcurrentCrashRequests(t *testing.T) {
	for concurrent, limit := range map[int]float64{2: 2.2, 3: 2.6, 5: 3.5} {
		most, total, crashes, innocents, acquitted := 0, 0, 0, 0, 0
		for seed := range fleetSeeds() {
			f, n := runFleet(t, seed, New(Options{}), disturbance{concurrent: concurrent})
			innocents += n
			for fp, lost := range f.crash {
				most, total, crashes = max(most, lost), total+lost, crashes+1
				if f.book.Check(fp) != Quarantined {
					acquitted++
				}
			}
		}
		mean := float64(total) / float64(crashes)
		t.Logf("%d at once: %.2f targets lost per crash request, at most %d; %d innocents convicted, %d of %d crash requests acquitted, in %d runs",
			concurrent, mean, most, innocents, acquitted, crashes, fleetSeeds())
		assert.Assert(t, mean <= limit, "%d at once", concurrent)
		// An acquitted request becomes a suspect again when it is sent again.
		assert.Assert(t, acquitted <= crashes/50 && (acquitted == 0 || concurrent > 3), "%d at once", concurrent)
		assert.Assert(t, innocents <= int(fleetSeeds())/10, "%d at once", concurrent)
	}
}

func (f *fleet) checkCrashRequests(seed uint64) {
	f.t.Helper()
	assert.Equal(f.t, len(f.waiting), 0, "seed %d: requests without a target at the end", seed)
	for fp, lost := range f.crash {
		assert.Assert(f.t, lost <= 2, "seed %d: request %d crashed %d targets", seed, fp, lost)
		assert.Equal(f.t, f.book.Check(fp), Quarantined, "seed %d: request %d", seed, fp)
	}
}

// fleet simulates targets that run requests, one Tracker and the placement rule
// that a suspect runs on a target without another suspect.
type fleet struct {
	t       *testing.T
	rng     *rand.Rand
	book    judge
	now     time.Time
	targets []*simTarget
	waiting []uint64
	crash   map[uint64]int
	done    map[uint64]bool
}

// judge is what the simulation needs of a book; naiveBook implements it too.
type judge interface {
	TargetLost(now time.Time, target string, inFlight []uint64) []Notice
	RequestFinished(now time.Time, fingerprint uint64) []Notice
	Tick(now time.Time) []Notice
	Check(fingerprint uint64) State
}

// naiveBook convicts whatever was in flight on two lost targets.
type naiveBook struct{ losses map[uint64]int }

func (n *naiveBook) TargetLost(_ time.Time, _ string, inFlight []uint64) []Notice {
	for _, fp := range inFlight {
		n.losses[fp]++
	}
	return nil
}
func (n *naiveBook) RequestFinished(time.Time, uint64) []Notice { return nil }
func (n *naiveBook) Tick(time.Time) []Notice                    { return nil }
func (n *naiveBook) Check(fp uint64) State {
	if n.losses[fp] >= 2 {
		return Quarantined
	}
	return Clear
}

type simTarget struct {
	name    string
	running map[uint64]time.Time // finish or crash time
	upAt    time.Time
}

func (f *fleet) place(fp uint64) bool {
	state := f.book.Check(fp)
	if state == Pending {
		return false
	}
	for _, i := range f.rng.Perm(len(f.targets)) {
		target := f.targets[i]
		if f.now.Before(target.upAt) || len(target.running) >= 8 {
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
		if s := f.book.Check(fp); s == Suspect || s == Pending {
			return true
		}
	}
	return false
}

func (f *fleet) lose(target *simTarget) {
	if f.now.Before(target.upAt) {
		return
	}
	var inFlight []uint64
	for fp := range target.running {
		inFlight = append(inFlight, fp)
	}
	slices.Sort(inFlight)
	clear(target.running)
	target.upAt = f.now.Add(20 * time.Second)
	f.book.TargetLost(f.now, target.name, inFlight)
	f.waiting = append(f.waiting, inFlight...)
}

func (f *fleet) loseAll(targets []*simTarget) {
	for _, target := range targets {
		f.lose(target)
	}
}

func (f *fleet) step(d time.Duration) {
	f.now = f.now.Add(d)
	for _, target := range f.targets {
		for _, fp := range slices.Sorted(maps.Keys(target.running)) {
			end := target.running[fp]
			if f.now.Before(end) {
				continue
			}
			if _, crashes := f.crash[fp]; crashes {
				f.crash[fp]++
				f.lose(target)
				break
			}
			delete(target.running, fp)
			f.book.RequestFinished(f.now, fp)
			f.done[fp] = true
		}
	}
	f.book.Tick(f.now)
	rest := f.waiting[:0]
	for _, fp := range f.waiting {
		if f.book.Check(fp) != Quarantined && !f.place(fp) {
			rest = append(rest, fp)
		}
	}
	f.waiting = rest
}

// disturbance is what goes wrong in a simulation.
type disturbance struct {
	// everySteps is the mean number of steps of 100 ms between losses of single
	// targets for reasons other than a request; 0 is none.
	everySteps int
	// exonerate tells the book the cause of such a loss 10 s later.
	exonerate bool
	// concurrent crash requests start in the same second.
	concurrent int
}

// runFleet simulates ten minutes: crash requests every minute, losses of targets
// for other reasons and two data centres lost within 2 s.
func runFleet(t *testing.T, seed uint64, book judge, d disturbance) (f *fleet, convictedInnocents int) {
	f = &fleet{t: t, rng: rand.New(rand.NewPCG(seed, 1)), book: book, now: start, crash: map[uint64]int{}, done: map[uint64]bool{}}
	for i := range 40 {
		f.targets = append(f.targets, &simTarget{name: fmt.Sprint("t", i), running: map[uint64]time.Time{}})
	}
	next := uint64(1)
	causes := map[int]func(){}
	for i := range 6000 {
		if i < 5500 {
			for range 2 + f.rng.IntN(4) {
				f.waiting = append(f.waiting, next)
				next++
			}
		}
		if i%600 < d.concurrent && i < 5500 {
			f.crash[next] = 0
			f.waiting = append(f.waiting, next)
			next++
		}
		if i == 3300 {
			f.loseAll(f.targets[:20])
		}
		if i == 3320 {
			f.loseAll(f.targets[20:35])
		}
		if d.everySteps > 0 && f.rng.IntN(d.everySteps) == 0 && i < 5500 {
			target := f.targets[f.rng.IntN(len(f.targets))]
			f.lose(target)
			if b, ok := book.(*Tracker); ok && d.exonerate {
				causes[i+100] = func() { b.DiscountLoss(f.now, target.name) }
			}
		}
		if cause := causes[i]; cause != nil {
			cause()
		}
		f.step(100 * time.Millisecond)
	}
	for fp := uint64(1); fp < next; fp++ {
		if _, crashes := f.crash[fp]; !crashes && book.Check(fp) == Quarantined {
			convictedInnocents++
		}
	}
	return f, convictedInnocents
}
