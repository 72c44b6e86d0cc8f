// Package probes watches the targets that a daemon owns: a probe a second tells
// whether a target is up, leaving or down and which versions it has loaded, and
// a lost connection is checked at once, so that requests which crash targets are
// told from connections that merely broke.
package probes

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/ring"
)

const (
	// probeInterval and probeTimeout bound how long a leaving mark stays unseen.
	probeInterval = time.Second
	probeTimeout  = 900 * time.Millisecond
	// failuresForDown keeps a single lost packet from removing a target.
	failuresForDown = 3
	// lossWindow joins the losses of one crash: the attempts on a target break
	// within this time.
	lossWindow = 500 * time.Millisecond
	// suspicionRing bounds losses that wait to be checked.
	suspicionRing = 256
	// parallelProbes bounds open probes.
	parallelProbes = 16
)

// Prober asks a target for its health.
type Prober interface {
	Probe(ctx context.Context, target, address string) (*engine.Health, error)
}

// Config holds the parts of a Duty. All are required. The callbacks are called
// from the duty's goroutines and must not block.
type Config struct {
	Prober   Prober
	OnState  func(target string, state owner.TargetState)
	OnLoaded func(target string, models []string)
	// OnLost is told the fingerprints that ran on a target when it was lost.
	OnLost func(target string, fingerprints []uint64)
	Logger *eventlog.Logger
}

// Duty probes targets. Its methods are safe for concurrent use.
type Duty struct {
	Config
	losses *ring.Ring[loss]

	mu      sync.Mutex
	targets map[string]*watched
}

// watched is the probe state of one target.
type watched struct {
	target   *object.Target
	failures int
	state    owner.TargetState
}

// loss is an attempt whose connection to the target broke.
type loss struct {
	target  string
	running []owner.Running
}

// New returns a duty without targets.
func New(config Config) *Duty {
	return &Duty{Config: config, losses: ring.New[loss](suspicionRing), targets: make(map[string]*watched)}
}

// SetTargets replaces the list of targets to probe. States of targets that stay
// are kept.
func (d *Duty) SetTargets(targets []*object.Target) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*watched, len(targets))
	for _, t := range targets {
		w := d.targets[t.Name]
		if w == nil {
			w = &watched{}
		}
		w.target = t
		next[t.Name] = w
	}
	d.targets = next
}

// Lost reports that a connection to a target broke while requests ran there.
func (d *Duty) Lost(target string, running []owner.Running) {
	d.losses.TryPush(loss{target: target, running: running})
}

// Run probes until the context ends.
func (d *Duty) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return d.probeLoop(ctx) })
	group.Go(func() error { return d.lossLoop(ctx) })
	return group.Wait()
}

func (d *Duty) probeLoop(ctx context.Context) error {
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	for {
		d.probeAll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

func (d *Duty) probeAll(ctx context.Context) {
	var group errgroup.Group
	group.SetLimit(parallelProbes)
	for _, w := range d.list() {
		group.Go(func() error {
			d.probe(ctx, w)
			return nil
		})
	}
	_ = group.Wait()
}

func (d *Duty) list() []*watched {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]*watched, 0, len(d.targets))
	for _, w := range d.targets {
		out = append(out, w)
	}
	return out
}

// probe asks one target and reports changes.
func (d *Duty) probe(ctx context.Context, w *watched) bool {
	d.mu.Lock()
	target := w.target
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	health, err := d.Prober.Probe(ctx, target.Name, target.Address)
	if err == nil {
		d.OnLoaded(target.Name, health.Versions)
	}
	if from, to, changed := d.judge(w, health, err); changed {
		d.report(target.Name, from, to, err)
	}
	return err == nil
}

// judge updates the state of a target after one probe.
func (d *Duty) judge(w *watched, health *engine.Health, err error) (from, to owner.TargetState, changed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	from = w.state
	switch {
	case err == nil && health.Leaving():
		w.failures = 0
		w.state = owner.Leaving
	case err == nil:
		w.failures = 0
		w.state = owner.Up
	default:
		w.failures++
		if w.failures >= failuresForDown {
			w.state = owner.Down
		}
	}
	return from, w.state, from != w.state
}

func (d *Duty) report(target string, from, to owner.TargetState, err error) {
	d.OnState(target, to)
	fields := eventlog.Fields{"target": target}
	if to == owner.Down {
		d.Logger.EmitError(eventlog.TargetDown, err, fields)
	} else if from == owner.Down {
		d.Logger.Emit(eventlog.TargetUp, fields)
	}
}

// lossLoop collects the losses of one target for a short time and then checks
// the target.
func (d *Duty) lossLoop(ctx context.Context) error {
	var checks errgroup.Group
	checks.SetLimit(parallelProbes)
	defer func() { _ = checks.Wait() }()
	collected := make(map[string]map[uint64]bool)
	ticker := time.NewTicker(lossWindow)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case l := <-d.losses.Items():
			collect(collected, l)
		case <-ticker.C:
			for target, fingerprints := range collected {
				checks.Go(func() error {
					d.check(ctx, target, fingerprints)
					return nil
				})
			}
			collected = make(map[string]map[uint64]bool)
		}
	}
}

func collect(collected map[string]map[uint64]bool, l loss) {
	fingerprints := collected[l.target]
	if fingerprints == nil {
		fingerprints = make(map[uint64]bool)
		collected[l.target] = fingerprints
	}
	for _, r := range l.running {
		fingerprints[r.Fingerprint] = true
	}
}

// check probes a target that broke connections. A target that still answers has
// not crashed.
func (d *Duty) check(ctx context.Context, target string, fingerprints map[uint64]bool) {
	d.mu.Lock()
	w := d.targets[target]
	d.mu.Unlock()
	if w == nil || d.probe(ctx, w) {
		return
	}
	d.markDown(w)
	list := make([]uint64, 0, len(fingerprints))
	for f := range fingerprints {
		list = append(list, f)
	}
	d.OnLost(target, list)
}

// markDown takes a crashed target out at once: broken connections and a failed
// probe together are enough evidence.
func (d *Duty) markDown(w *watched) {
	d.mu.Lock()
	from := w.state
	w.state = owner.Down
	w.failures = failuresForDown
	name := w.target.Name
	d.mu.Unlock()
	if from != owner.Down {
		d.OnState(name, owner.Down)
	}
}
