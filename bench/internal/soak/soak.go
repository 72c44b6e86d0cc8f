package soak

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// Config describes a run.
type Config struct {
	Seed uint64
	// Duration is the time with faults.
	Duration time.Duration
	Daemons  int
	Callers  int
	// Program is the daemon, Dir a directory for settings and logs.
	Program, Dir string
}

// Report is the result of a run.
type Report struct {
	Seed uint64
	// Faults are those that were injected, Broken the promises that were not kept.
	Faults, Violations []string
	// Counts are the answers by kind of request and status.
	Counts map[string]int
}

// String lists the result; the faults only where a promise was broken.
func (r *Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "seed %d: %d faults, %d promises broken;", r.Seed, len(r.Faults), len(r.Violations))
	for _, what := range slices.Sorted(maps.Keys(r.Counts)) {
		fmt.Fprintf(&b, " %s: %d,", what, r.Counts[what])
	}
	b.WriteString("\n")
	if len(r.Violations) > 0 {
		for _, line := range append(slices.Clone(r.Faults), r.Violations...) {
			fmt.Fprintf(&b, "  %s\n", line)
		}
	}
	return b.String()
}

const (
	startTimeout = 15 * time.Second
	// calmTime is the time after the last fault in which everything recovers: the
	// longest bound of the users' pages.
	calmTime = 12 * time.Second
	// finalCalls is the number of requests to each daemon after that, of which
	// finalShare have to be served.
	finalCalls = 40
	finalShare = 0.95
)

// Run plays one seed.
func Run(ctx context.Context, config Config) (*Report, error) {
	w, err := newWorld(config.Program, config.Dir, config.Daemons)
	if err != nil {
		return nil, err
	}
	defer w.close()
	if err := w.begin(ctx); err != nil {
		return nil, err
	}
	i := newInjector(w, config.Seed)
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var callers sync.WaitGroup
	for n := range config.Callers {
		c := newCaller(w, n, config.Seed)
		callers.Go(func() { c.run(calling) })
	}
	harming, stopHarming := context.WithTimeout(ctx, config.Duration)
	defer stopHarming()
	i.run(harming)
	w.store.Faults.Set(faults.Switches{})
	time.Sleep(calmTime)
	stopCalling()
	callers.Wait()
	w.checkRecovery(config.Seed)
	w.judgeCuts(i)
	i.judgeStops()
	return report(config.Seed, w.records, i), ctx.Err()
}

// begin writes the first manifest, starts everything and waits until it serves.
func (w *world) begin(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := w.publish(ctx); err != nil {
		return err
	}
	for _, t := range w.targets {
		if err := w.register(ctx, t); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.start(); err != nil {
			return err
		}
	}
	for _, d := range w.daemons {
		if err := d.waitReady(ctx); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	return nil
}

// checkRecovery asks every daemon, after the calm time, for the newest manifest and for
// ordinary requests.
func (w *world) checkRecovery(seed uint64) {
	c := newCaller(w, 1000, seed)
	for _, d := range w.daemons {
		version := w.newestManifest()
		if status := c.call(d, kindSafe, markPath(version)+"x"); status != 200 {
			w.records.breaks("%s answers %d for the route of manifest %d after the calm time", d.Name, status, version)
		}
		served := 0
		for n := range finalCalls {
			kind := []string{kindSafe, kindOnce, kindStream}[n%3]
			if c.call(d, kind, "/"+kind+"/x") == 200 {
				served++
			}
		}
		if float64(served) < finalShare*finalCalls {
			w.records.breaks("%s serves %d of %d requests after the calm time", d.Name, served, finalCalls)
		}
	}
}

// judgeCuts reports requests that planned stops cut.
func (w *world) judgeCuts(i *injector) {
	for _, c := range w.records.cuts {
		if !i.excused(c.request.sent.Add(-settleTime), c.at) {
			w.records.breaks("request %s (%s) of %s was cut by a planned stop after %s: %v",
				c.request.id, c.request.kind, c.request.daemon, c.at.Sub(c.request.sent).Round(time.Millisecond), c.err)
		}
	}
}

func report(seed uint64, r *records, i *injector) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := &Report{Seed: seed, Violations: r.broken, Counts: r.counts}
	slices.SortFunc(i.log, func(a, b fault) int { return a.from.Compare(b.from) })
	for _, f := range i.log {
		out.Faults = append(out.Faults, f.String())
	}
	return out
}
