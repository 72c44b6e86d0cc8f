package demo

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
	"github.com/marjoramflow/marjoramflow/bench/standin/plain"
	"github.com/marjoramflow/marjoramflow/object"
)

const (
	goodVersion = "assistant-2"
	goodModel   = "m2"
	badVersion  = "assistant-3"
	badModel    = "m3"

	startTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	moveTimeout  = 40 * time.Second
	// phaseTime is how long each phase lasts under load: the time before a fault, with
	// the fault, and after it.
	phaseTime = 2 * time.Second
	// outageTime is how long the platform refuses all calls.
	outageTime = 5 * time.Second
	// burstTokens is the max_tokens of the requests in the burst.
	burstTokens = 160
	// demoDeadline is the deadline of all tiers. It is short so that the burst exceeds
	// the capacity within seconds.
	demoDeadline = 8 * time.Second
)

// burstCounts holds the number of requests in the burst by rank of the tier.
var burstCounts = []int{360, 60, 120}

// demoSpec returns the deployment of the demo: six daemons in three data centres of
// two regions, and two model versions to move to.
func demoSpec() cluster.Spec {
	s := cluster.TwoRegions()
	for rank, name := range tierNames {
		s.Tiers = append(s.Tiers, object.Tier{Name: name, Rank: rank, FirstToken: firstTokenObjective, Deadline: demoDeadline})
		for _, account := range []string{accounts[rank], burstAccounts[rank]} {
			s.Accounts = append(s.Accounts, object.ClientAccount{Name: account, Tier: name})
		}
	}
	s.ExtraVersions = []object.Version{
		{Name: goodVersion, Service: cluster.ModelService, Model: goodModel, WeightBytes: 1 << 30},
		{Name: badVersion, Service: cluster.ModelService, Model: badModel, WeightBytes: 1 << 30},
	}
	return s
}

// demo is one run of the demo.
type demo struct {
	cluster  *cluster.Cluster
	out      io.Writer
	started  time.Time
	traffic  *traffic
	watcher  *generationWatcher
	evidence Evidence
}

// Run runs the demo and prints its progress and its report to out. It returns an error
// that wraps ErrViolation if a check found a violation, and another error if the demo
// could not be completed. It removes the logs only if there is no error.
func Run(ctx context.Context, programs cluster.Programs, out io.Writer) error {
	dir, err := os.MkdirTemp("", "marjoramflow-demo-")
	if err != nil {
		return err
	}
	d := &demo{out: out, started: time.Now()}
	d.logf("starting the stand-in servers and six daemons in three data centres; logs in %s", dir)
	d.cluster, err = cluster.Start(ctx, dir, programs, demoSpec())
	if err != nil {
		return err
	}
	defer d.cluster.Close()
	if err := d.run(ctx); err != nil {
		return fmt.Errorf("the demo stopped early (logs in %s): %w", dir, err)
	}
	fmt.Fprintln(out)
	if err := d.evidence.Report(out); err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	d.logf("done")
	return os.RemoveAll(dir)
}

// logf prints a line with the seconds since the start.
func (d *demo) logf(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

// run publishes the first set, runs all steps under load and collects the evidence.
func (d *demo) run(ctx context.Context) error {
	if err := d.publishFirstSet(ctx); err != nil {
		return err
	}
	d.watcher = watchGenerations(ctx, d.cluster)
	d.traffic = newTraffic(d.cluster)
	d.traffic.start(ctx)
	steps := []func(context.Context) error{d.killDaemon, d.stopDaemon, d.drainTarget, d.moveToGoodVersion, d.moveToBadVersion, d.platformOutage, d.sendBurst}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.evidence.Records = d.traffic.stop()
	d.evidence.Samples = d.watcher.stop()
	return d.readExecutionLogs(ctx)
}

// publishFirstSet waits for the administration API, publishes the set and waits until
// all daemons are ready.
func (d *demo) publishFirstSet(ctx context.Context) error {
	err := cluster.WaitUntil(ctx, startTimeout, func(ctx context.Context) error {
		admin, err := d.cluster.Admin()
		if err != nil {
			return err
		}
		_, err = admin.Status(ctx)
		return err
	})
	if err != nil {
		return err
	}
	if err := d.publishSet(ctx, "first set"); err != nil {
		return err
	}
	return d.cluster.WaitReady(ctx)
}

// killDaemon kills a daemon under load and starts it again.
func (d *demo) killDaemon(ctx context.Context) error {
	sleep(ctx, phaseTime)
	killed := d.cluster.Daemons[0]
	d.logf("killing daemon %s", killed.Name)
	d.evidence.Killed = Window{Daemon: killed.Name, From: time.Now()}
	killed.Kill()
	sleep(ctx, phaseTime)
	if err := killed.Start(); err != nil {
		return err
	}
	if err := killed.WaitReady(ctx); err != nil {
		return err
	}
	d.evidence.Killed.To = time.Now()
	d.logf("daemon %s is ready again", killed.Name)
	return nil
}

// stopDaemon stops a daemon gracefully and starts it again. Meanwhile its callers
// follow its readiness, as they would behind a load balancer.
func (d *demo) stopDaemon(ctx context.Context) error {
	sleep(ctx, phaseTime)
	stopped := d.cluster.Daemons[3]
	d.logf("stopping daemon %s gracefully", stopped.Name)
	pollCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.traffic.pollReadiness(pollCtx, stopped)
	}()
	d.evidence.Stopped = Window{Daemon: stopped.Name, From: time.Now()}
	if err := stopped.Stop(stopTimeout); err != nil {
		return err
	}
	if err := stopped.Start(); err != nil {
		return err
	}
	if err := stopped.WaitReady(ctx); err != nil {
		return err
	}
	d.evidence.Stopped.To = time.Now()
	cancel()
	<-done
	d.traffic.inRotation[stopped.Name].Store(true)
	return nil
}

// drainTarget drains an engine with marjoramctl, counts the attempts that reach it and
// the other engines afterwards, and ends the drain.
func (d *demo) drainTarget(ctx context.Context) error {
	target := d.cluster.Engines[0]
	d.logf("draining %s with marjoramctl", target.Name)
	if err := d.runMarjoramctl(ctx, "drain of "+target.Name, "drain", target.Name); err != nil {
		return err
	}
	sleep(ctx, maxLeavingDelay)
	result := DrainResult{Target: target.Name}
	attemptsBefore, allBefore, err := d.countAttempts(ctx, target, "")
	if err != nil {
		return err
	}
	sleep(ctx, phaseTime)
	attemptsAfter, allAfter, err := d.countAttempts(ctx, target, "")
	if err != nil {
		return err
	}
	result.AttemptsAtBound, result.AttemptsAtEnd, result.AttemptsOnAllEngines = attemptsBefore, attemptsAfter, allAfter-allBefore
	d.evidence.Drain = result
	return d.runMarjoramctl(ctx, "undrain of "+target.Name, "undrain", target.Name)
}

// platformOutage makes the platform refuse all calls for outageTime.
func (d *demo) platformOutage(ctx context.Context) error {
	d.logf("taking the platform down for %s", outageTime)
	d.evidence.Outage.From = time.Now()
	if err := d.cluster.Platform.SetFaults(ctx, faults.Switches{Down: true}); err != nil {
		return err
	}
	sleep(ctx, outageTime)
	d.evidence.Outage.To = time.Now()
	defer sleep(ctx, phaseTime)
	return d.cluster.Platform.SetFaults(ctx, faults.Switches{})
}

// sendBurst sends more requests of all tiers than the engines can serve.
func (d *demo) sendBurst(ctx context.Context) error {
	d.logf("sending a burst of %v requests by tier", burstCounts)
	d.evidence.Burst.From = time.Now()
	d.traffic.sendBurst(ctx, burstCounts, burstTokens)
	d.evidence.Burst.To = time.Now()
	d.logf("the burst is over; collecting the logs")
	return nil
}

// countAttempts returns the number of attempts so far. own counts those on one engine (on
// all if server is nil) with the given model (any model if it is empty); all counts every
// attempt on every engine.
func (d *demo) countAttempts(ctx context.Context, server *cluster.Server, model string) (own, all int, err error) {
	for _, s := range d.cluster.Engines {
		var list []engine.Execution
		if err := s.Get(ctx, "/v1/executions", &list); err != nil {
			return 0, 0, err
		}
		all += len(list)
		for _, x := range list {
			if (server == nil || s == server) && (model == "" || x.Version == model) {
				own++
			}
		}
	}
	return own, all, nil
}

// readExecutionLogs reads the execution logs of all stand-in servers.
func (d *demo) readExecutionLogs(ctx context.Context) error {
	for _, s := range d.cluster.PlainServers {
		var list []plain.Execution
		if err := s.Get(ctx, "/v1/executions", &list); err != nil {
			return err
		}
		d.evidence.PlainExecutions = append(d.evidence.PlainExecutions, list...)
	}
	for _, s := range d.cluster.Engines {
		var list []engine.Execution
		if err := s.Get(ctx, "/v1/executions", &list); err != nil {
			return err
		}
		d.evidence.EngineExecutions = append(d.evidence.EngineExecutions, list...)
	}
	return nil
}
