package outlier

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// Detector watches the targets of some pools. It is safe for concurrent use.
type Detector struct {
	mu      sync.Mutex
	targets map[string]*target
	pools   map[string][]*target
}

type target struct {
	Target
	current, previous window
	since             time.Time
	bad               int
	ejected           bool
	// level is the number of doublings of the backoff, since readmission included.
	level       int
	levelSince  time.Time
	nextProbe   time.Time
	probesGood  int
	probing     bool
	peerLogMean float64
}

// New returns a detector without targets.
func New() *Detector {
	return &Detector{targets: map[string]*target{}, pools: map[string][]*target{}}
}

// SetTargets replaces the set of targets; those that stay keep their evidence.
func (d *Detector) SetTargets(now time.Time, targets []Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*target, len(targets))
	d.pools = map[string][]*target{}
	for _, t := range targets {
		known := d.targets[t.Name]
		if known == nil || known.Target != t {
			known = &target{Target: t, since: now, levelSince: now}
		}
		next[t.Name] = known
		d.pools[t.Pool] = append(d.pools[t.Pool], known)
	}
	d.targets = next
}

// Observe records a request that a target served. Samples of ejected targets and
// of unknown ones are dropped.
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

// Ejected reports whether a target is out of use.
func (d *Detector) Ejected(name string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	return t != nil && t.ejected
}

// Tick judges all targets. It is called once a second.
func (d *Detector) Tick(now time.Time) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Change
	for _, pool := range d.pools {
		out = append(out, d.judgePool(now, pool)...)
	}
	return out
}

// verdict is the evidence against one target; severity orders the ejections.
type verdict struct {
	target   *target
	reason   Reason
	severity float64
}

func (d *Detector) judgePool(now time.Time, pool []*target) []Change {
	ejected := 0
	for _, t := range pool {
		t.rotate(now)
		t.calm(now)
		if t.ejected {
			ejected++
		}
	}
	var bad []verdict
	for _, v := range judge(pool) {
		if v.target.bad >= badEvaluations {
			bad = append(bad, v)
		}
	}
	slices.SortFunc(bad, func(x, y verdict) int {
		return cmp.Or(cmp.Compare(y.severity, x.severity), cmp.Compare(x.target.Name, y.target.Name))
	})
	room := max(0, int(MaxEjectedShare*float64(len(pool)))-ejected)
	var out []Change
	for _, v := range bad[:min(room, len(bad))] {
		v.target.eject(now)
		out = append(out, Change{Target: v.target.Name, Ejected: true, Reason: v.reason})
	}
	return out
}

// rotate starts a new window when the current one is a period old.
func (t *target) rotate(now time.Time) {
	age := now.Sub(t.since)
	if age < EvidenceWindow {
		return
	}
	t.previous, t.current = t.current, window{}
	if age >= 2*EvidenceWindow {
		t.previous = window{}
	}
	t.since = now
}

// calm lowers the backoff of a target that stays in use.
func (t *target) calm(now time.Time) {
	if !t.ejected && t.level > 0 && now.Sub(t.levelSince) >= calmPeriod {
		t.level--
		t.levelSince = now
	}
}

func (t *target) eject(now time.Time) {
	t.ejected = true
	t.bad = 0
	t.current, t.previous = window{}, window{}
	t.backOff(now)
}

// backOff sets the next probe and raises the backoff.
func (t *target) backOff(now time.Time) {
	delay := firstBackoff
	for range t.level {
		delay = min(2*delay, maxBackoff)
	}
	if delay < maxBackoff {
		t.level++
	}
	t.levelSince = now
	t.probesGood = 0
	t.probing = false
	t.nextProbe = now.Add(delay)
}

// Probes returns the ejected targets that are due for a probe request. Each of
// them is reported once until ProbeDone or until probeTimeout has passed.
func (d *Detector) Probes(now time.Time) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, t := range d.targets {
		if t.ejected && !now.Before(t.nextProbe) {
			t.nextProbe = now.Add(probeTimeout)
			t.probing = true
			out = append(out, t.Name)
		}
	}
	slices.Sort(out)
	return out
}

// probeTimeout is the time after which a probe without a result is repeated.
const probeTimeout = time.Minute

// ProbeDone records the result of a probe request.
func (d *Detector) ProbeDone(now time.Time, name string, s Sample) []Change {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.targets[name]
	if t == nil || !t.ejected || !t.probing {
		return nil
	}
	if !t.passes(s) {
		t.backOff(now)
		return nil
	}
	t.probing = false
	t.probesGood++
	t.nextProbe = now.Add(probeInterval)
	if t.probesGood < goodProbes {
		return nil
	}
	t.ejected = false
	t.since, t.levelSince = now, now
	return []Change{{Target: name, Reason: Recovered}}
}
