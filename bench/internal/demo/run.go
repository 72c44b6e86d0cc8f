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
	// phasePause is how long a fault lasts under load.
	phasePause = 2 * time.Second
	// outageTime is how long the platform refuses every call.
	outageTime = 5 * time.Second
	// burstTokens bounds the answers of the burst.
	burstTokens = 160
	// demoDeadline is the deadline of all tiers; it is short, so that the burst
	// passes the capacity within seconds.
	demoDeadline = 8 * time.Second
)

// burstCounts are the requests of the burst by tier.
var burstCounts = []int{360, 60, 120}

// spec is the deployment of the demo: six daemons in three data centres of two
// regions, and two versions to move to.
func spec() cluster.Spec {
	s := cluster.TwoRegions()
	for rank, name := range tierNames {
		s.Tiers = append(s.Tiers, object.Tier{Name: name, Rank: rank, FirstToken: goodFirstToken, Deadline: demoDeadline})
		for _, account := range []string{accounts[rank], burstAccounts[rank]} {
			s.Accounts = append(s.Accounts, object.ClientAccount{Name: account, Tier: name})
		}
	}
	s.MoreVersions = []object.Version{
		{Name: goodVersion, Service: cluster.ModelService, Model: goodModel, WeightBytes: 1 << 30},
		{Name: badVersion, Service: cluster.ModelService, Model: badModel, WeightBytes: 1 << 30},
	}
	return s
}

// demo is one run.
type demo struct {
	cluster  *cluster.Cluster
	out      io.Writer
	started  time.Time
	traffic  *traffic
	watch    *watch
	evidence Evidence
}

// Run runs the demo and prints its report. It returns ErrPromiseBroken when a promise
// broke and other errors when the demo could not be carried out.
func Run(ctx context.Context, programs cluster.Programs, out io.Writer) error {
	dir, err := os.MkdirTemp("", "marjoramflow-demo-")
	if err != nil {
		return err
	}
	d := &demo{out: out, started: time.Now()}
	d.say("starting the stand-in servers and six daemons in three data centres; logs in %s", dir)
	d.cluster, err = cluster.Start(ctx, dir, programs, spec())
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
	d.say("done")
	return os.RemoveAll(dir)
}

func (d *demo) say(format string, args ...any) {
	fmt.Fprintf(d.out, "%5.1f s  %s\n", time.Since(d.started).Seconds(), fmt.Sprintf(format, args...))
}

func (d *demo) run(ctx context.Context) error {
	if err := d.firstPublication(ctx); err != nil {
		return err
	}
	d.watch = watchGenerations(ctx, d.cluster)
	d.traffic = newTraffic(d.cluster)
	d.traffic.start(ctx)
	steps := []func(context.Context) error{d.kill, d.plannedStop, d.drain, d.goodMove, d.badMove, d.outage, d.burst}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	d.evidence.Records = d.traffic.stop()
	d.evidence.Samples = d.watch.stop()
	return d.readLogs(ctx)
}

// firstPublication waits for the administration API and publishes the set.
func (d *demo) firstPublication(ctx context.Context) error {
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
	if err := d.publish(ctx, "first set"); err != nil {
		return err
	}
	return d.cluster.WaitReady(ctx)
}

// kill ends a daemon under load and starts it again.
func (d *demo) kill(ctx context.Context) error {
	sleep(ctx, phasePause)
	victim := d.cluster.Daemons[0]
	d.say("killing daemon %s", victim.Name)
	d.evidence.Killed = Window{Daemon: victim.Name, From: time.Now()}
	victim.Kill()
	sleep(ctx, phasePause)
	if err := victim.Start(); err != nil {
		return err
	}
	if err := victim.WaitReady(ctx); err != nil {
		return err
	}
	d.evidence.Killed.To = time.Now()
	d.say("daemon %s is ready again", victim.Name)
	return nil
}

// plannedStop stops a daemon gracefully behind a balancer.
func (d *demo) plannedStop(ctx context.Context) error {
	sleep(ctx, phasePause)
	leaver := d.cluster.Daemons[3]
	d.say("stopping daemon %s gracefully", leaver.Name)
	balanced, cancel := context.WithCancel(ctx)
	defer cancel()
	done := make(chan struct{})
	go func() {
		defer close(done)
		d.traffic.balance(balanced, leaver)
	}()
	d.evidence.Stopped = Window{Daemon: leaver.Name, From: time.Now()}
	if err := leaver.Stop(stopTimeout); err != nil {
		return err
	}
	if err := leaver.Start(); err != nil {
		return err
	}
	if err := leaver.WaitReady(ctx); err != nil {
		return err
	}
	d.evidence.Stopped.To = time.Now()
	cancel()
	<-done
	d.traffic.ready[leaver.Name].Store(true)
	return nil
}

// drain takes an engine out of service and puts it back.
func (d *demo) drain(ctx context.Context) error {
	target := d.cluster.Engines[0]
	d.say("draining %s with marjoramctl", target.Name)
	if err := d.tool(ctx, "drain of "+target.Name, "drain", target.Name); err != nil {
		return err
	}
	sleep(ctx, boundLeaving)
	r := Drained{Target: target.Name}
	before, all, err := d.runs(ctx, target, "")
	if err != nil {
		return err
	}
	sleep(ctx, phasePause)
	after, allAfter, err := d.runs(ctx, target, "")
	if err != nil {
		return err
	}
	r.AtBound, r.AtEnd, r.Elsewhere = before, after, allAfter-all
	d.evidence.Drained = r
	return d.tool(ctx, "undrain of "+target.Name, "undrain", target.Name)
}

// outage makes the platform refuse every call under load.
func (d *demo) outage(ctx context.Context) error {
	d.say("taking the platform down for %s", outageTime)
	d.evidence.Outage.From = time.Now()
	if err := d.cluster.Platform.SetFaults(ctx, faults.Switches{Down: true}); err != nil {
		return err
	}
	sleep(ctx, outageTime)
	d.evidence.Outage.To = time.Now()
	defer sleep(ctx, phasePause)
	return d.cluster.Platform.SetFaults(ctx, faults.Switches{})
}

// burst sends more than the engines can do, of all tiers.
func (d *demo) burst(ctx context.Context) error {
	d.say("sending a burst of %v requests by tier", burstCounts)
	d.evidence.Burst.From = time.Now()
	d.traffic.burst(ctx, burstCounts, burstTokens)
	d.evidence.Burst.To = time.Now()
	d.say("the burst is over; collecting the logs")
	return nil
}

// runs counts the attempts on one engine and on all, of a model or of any.
func (d *demo) runs(ctx context.Context, one *cluster.Server, model string) (own, all int, err error) {
	for _, s := range d.cluster.Engines {
		var list []engine.Execution
		if err := s.Get(ctx, "/v1/executions", &list); err != nil {
			return 0, 0, err
		}
		all += len(list)
		for _, x := range list {
			if (one == nil || s == one) && (model == "" || x.Version == model) {
				own++
			}
		}
	}
	return own, all, nil
}

// readLogs reads the execution logs of all stand-ins.
func (d *demo) readLogs(ctx context.Context) error {
	for _, s := range d.cluster.PlainServers {
		var list []plain.Execution
		if err := s.Get(ctx, "/v1/executions", &list); err != nil {
			return err
		}
		d.evidence.Plain = append(d.evidence.Plain, list...)
	}
	for _, s := range d.cluster.Engines {
		var list []engine.Execution
		if err := s.Get(ctx, "/v1/executions", &list); err != nil {
			return err
		}
		d.evidence.Engine = append(d.evidence.Engine, list...)
	}
	return nil
}
