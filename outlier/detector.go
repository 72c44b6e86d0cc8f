package outlier

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Detector decides which targets of its pools are ejected and readmitted. It is
// safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	targets map[string]*target   // by name
	pools   map[string][]*target // by Target.Pool
}

// target is a target with its evidence and, while it is ejected, its probes.
type target struct {
	Target
	current, previous window
	windowStart       time.Time // start of the current window
	consecutiveBad    int       // bad evaluations in a row
	ejected           bool
	// backoffLevel is how many times the next backoff is doubled. It is kept when
	// the target is readmitted.
	backoffLevel          int
	backoffChangedAt      time.Time
	nextProbeAt           time.Time
	consecutiveGoodProbes int
	probing               bool    // a probe was requested and has no result yet
	peerMedianLogRatio    float64 // median of the peers' mean log ratios
}

// New returns a detector without targets.
func New() *Detector {
	return &Detector{targets: map[string]*target{}, pools: map[string][]*target{}}
}

// SetTargets replaces the targets. Those that were present before with the same
// fields keep their evidence and state.
func (d *Detector) SetTargets(now time.Time, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*target, len(targets))
	d.pools = map[string][]*target{}
	for _, t := range targets {
		existing := d.targets[t.Name]
		if existing == nil || existing.Target != t {
			existing = &target{Target: t, windowStart: now, backoffChangedAt: now}
		}
		next[t.Name] = existing
		d.pools[t.Pool] = append(d.pools[t.Pool], existing)
	}
	d.targets = next
}

// Observe records a request that a target served. Samples of ejected and of
// unknown targets are dropped.
func (d *Detector) Observe(now time.Time, name string, s Sample) {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	if t == nil || t.ejected {
		return
	}
	t.rotate(now)
	t.current.add(s)
}

// IsEjected reports whether a target is ejected; an unknown one is not.
func (d *Detector) IsEjected(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	return t != nil && t.ejected
}

// Tick evaluates all targets and returns the new ejections. It is called once a
// second.
func (d *Detector) Tick(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var changes []Change
	for _, pool := range d.pools {
		changes = append(changes, d.evaluatePool(now, pool)...)
	}
	return changes
}

// ejectionCandidate is a target with a bad evaluation. Candidates of greater
// severity are ejected first.
type ejectionCandidate struct {
	target   *target
	reason   Reason
	severity float64
}

// evaluatePool evaluates the targets of one pool, and ejects the worst ones as far
// as MaxEjectedShare permits.
func (d *Detector) evaluatePool(now time.Time, pool []*target) []Change {
	ejected := 0
	for _, t := range pool {
		t.rotate(now)
		t.decayBackoff(now)
		if t.ejected {
			ejected++
		}
	}
	var candidates []ejectionCandidate
	for _, candidate := range evaluate(pool) {
		if candidate.target.consecutiveBad >= evaluationsToEject {
			candidates = append(candidates, candidate)
		}
	}
	slices.SortFunc(candidates, func(x, y ejectionCandidate) int {
		return cmp.Or(cmp.Compare(y.severity, x.severity), cmp.Compare(x.target.Name, y.target.Name))
	})
	ejectionsLeft := max(0, int(MaxEjectedShare*float64(len(pool)))-ejected)
	var changes []Change
	for _, candidate := range candidates[:min(ejectionsLeft, len(candidates))] {
		candidate.target.eject(now)
		changes = append(changes, Change{Target: candidate.target.Name, Ejected: true, Reason: candidate.reason})
	}
	return changes
}

// rotate starts a new window when the current one is EvidenceWindow old.
func (t *target) rotate(now time.Time) {
	age := now.Sub(t.windowStart)
	if age < EvidenceWindow {
		return
	}
	t.previous, t.current = t.current, window{}
	if age >= 2*EvidenceWindow {
		t.previous = window{}
	}
	t.windowStart = now
}

// decayBackoff lowers the backoff of a target that has been in use without an
// ejection for backoffDecayInterval.
func (t *target) decayBackoff(now time.Time) {
	if !t.ejected && t.backoffLevel > 0 && now.Sub(t.backoffChangedAt) >= backoffDecayInterval {
		t.backoffLevel--
		t.backoffChangedAt = now
	}
}

// eject takes a target out of use, drops its evidence and schedules its probe.
func (t *target) eject(now time.Time) {
	t.ejected = true
	t.consecutiveBad = 0
	t.current, t.previous = window{}, window{}
	t.raiseBackoff(now)
}

// raiseBackoff schedules the next probe after the present backoff, and doubles the
// backoff for the time after that.
func (t *target) raiseBackoff(now time.Time) {
	delay := initialBackoff
	for range t.backoffLevel {
		delay = min(2*delay, maxBackoff)
	}
	if delay < maxBackoff {
		t.backoffLevel++
	}
	t.backoffChangedAt = now
	t.consecutiveGoodProbes = 0
	t.probing = false
	t.nextProbeAt = now.Add(delay)
}

// DueProbes returns the names of the ejected targets that are due for a probe
// request. A target is not returned again before RecordProbe is called for it or
// probeTimeout has passed.
func (d *Detector) DueProbes(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var due []string
	for _, t := range d.targets {
		if t.ejected && !now.Before(t.nextProbeAt) {
			t.nextProbeAt = now.Add(probeTimeout)
			t.probing = true
			due = append(due, t.Name)
		}
	}
	slices.Sort(due)
	return due
}

// probeTimeout is the time after which a probe without a result is repeated.
const probeTimeout = time.Minute

// RecordProbe records the result of a probe request, and returns the readmission of
// the target when this was the last good probe that it needed. Results for targets
// without an outstanding probe are ignored.
func (d *Detector) RecordProbe(now time.Time, name string, s Sample) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	if t == nil || !t.ejected || !t.probing {
		return nil
	}
	if !t.probePasses(s) {
		t.raiseBackoff(now)
		return nil
	}
	t.probing = false
	t.consecutiveGoodProbes++
	t.nextProbeAt = now.Add(probeInterval)
	if t.consecutiveGoodProbes < probesToReadmit {
		return nil
	}
	t.ejected = false
	t.windowStart, t.backoffChangedAt = now, now
	return []Change{{Target: name, Reason: Recovered}}
}
