package demo

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/adminapi"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/settings"
)

const (
	// sampleInterval is the interval at which each daemon's generation is read.
	sampleInterval = 250 * time.Millisecond
	// ctlTimeout bounds the wait of marjoramctl. It is longer than the bound of promise R9, so
	// that a publication that is in force too late is found by its measured time.
	ctlTimeout = "15s"
)

// runMarjoramctl runs a marjoramctl command with --wait and records the publication
// under the given name, with its time. It returns an error if the command fails.
func (d *demo) runMarjoramctl(ctx context.Context, name string, args ...string) error {
	args = append(args, "--wait", "--timeout", ctlTimeout)
	cmd := exec.CommandContext(ctx, d.cluster.Programs.Ctl, args...)
	var servers []string
	for _, daemon := range d.cluster.Daemons {
		if daemon.Running() {
			servers = append(servers, daemon.AdminAddress)
		}
	}
	cmd.Env = append(os.Environ(), "MARJORAM_SERVERS="+strings.Join(servers, ","), "MARJORAM_TOKEN="+cluster.OperatorToken)
	started := time.Now()
	out, err := cmd.CombinedOutput()
	p := Publication{Name: name, Took: time.Since(started)}
	if err != nil {
		p.Err = fmt.Sprintf("marjoramctl %s: %v: %s", args[0], err, out)
	}
	d.evidence.Publications = append(d.evidence.Publications, p)
	if err != nil {
		return fmt.Errorf("%s", p.Err)
	}
	d.logf("published: %s, in force on all daemons after %d ms", name, p.Took.Milliseconds())
	return nil
}

// publishSet publishes the cluster's set with marjoramctl and waits until it is in
// force.
func (d *demo) publishSet(ctx context.Context, name string) error {
	path, err := d.cluster.WriteSet("objects.yaml")
	if err != nil {
		return err
	}
	return d.runMarjoramctl(ctx, name, "publish", "--base", "current", path)
}

// moveToGoodVersion moves the service to a version without faults.
func (d *demo) moveToGoodVersion(ctx context.Context) error {
	move, err := d.runMove(ctx, object.Move{Name: "upgrade", From: cluster.ModelVersion, To: goodVersion}, goodModel, "done")
	d.evidence.GoodMove = move
	return err
}

// moveToBadVersion moves the service to a version that fails every request. It also
// counts the attempts of this version after the reversal.
func (d *demo) moveToBadVersion(ctx context.Context) error {
	for _, e := range d.cluster.Engines {
		bad := faults.Switches{Versions: map[string]faults.VersionFault{badModel: {FailShare: 1}}}
		if err := e.SetFaults(ctx, bad); err != nil {
			return err
		}
	}
	d.cluster.Set.Services[0].Version = goodVersion
	move, err := d.runMove(ctx, object.Move{Name: "upgrade-2", From: goodVersion, To: badVersion}, badModel, "reversed")
	if err != nil {
		return err
	}
	sleep(ctx, maxLeavingDelay)
	atBound, _, err := d.countAttempts(ctx, nil, badModel)
	if err != nil {
		return err
	}
	sleep(ctx, phaseTime)
	atEnd, _, err := d.countAttempts(ctx, nil, badModel)
	move.LateAttempts = atEnd - atBound
	d.evidence.BadMove = move
	return err
}

// runMove publishes a move to a version with the given model and waits for its end. The
// phase that the move ought to end in is only recorded in the result.
func (d *demo) runMove(ctx context.Context, move object.Move, model, wantPhase string) (MoveResult, error) {
	move.Service = cluster.ModelService
	move.Deadline = time.Now().Add(moveTimeout)
	move.Attempt = 1
	move.Soak = time.Second
	d.cluster.Set.Moves = []object.Move{move}
	result := MoveResult{WantPhase: wantPhase}
	newBefore, allBefore, err := d.countAttempts(ctx, nil, model)
	if err != nil {
		return result, err
	}
	if err := d.publishSet(ctx, fmt.Sprintf("move from %s to %s", move.From, move.To)); err != nil {
		return result, err
	}
	started := time.Now()
	status, err := d.waitMoveEnd(ctx, move.Name)
	if err != nil {
		return result, err
	}
	newAfter, allAfter, err := d.countAttempts(ctx, nil, model)
	result.Phase, result.Reason, result.Took = status.Phase, status.Reason, time.Since(started)
	result.NewVersionAttempts, result.AllAttempts = newAfter-newBefore, allAfter-allBefore
	d.logf("move to %s is %s after %.1f s (%s)", move.To, status.Phase, result.Took.Seconds(), status.Reason)
	return result, err
}

// waitMoveEnd waits until the move is done or reversed and returns its last status.
func (d *demo) waitMoveEnd(ctx context.Context, name string) (last adminapi.MoveStatus, err error) {
	admin, err := d.cluster.Admin()
	if err != nil {
		return last, err
	}
	err = cluster.WaitUntil(ctx, moveTimeout+maxInForceDelay, func(ctx context.Context) error {
		list, err := admin.Moves(ctx)
		if err != nil {
			return err
		}
		for _, m := range list {
			if m.Name == name {
				last = m
			}
		}
		if last.Phase != "done" && last.Phase != "reversed" {
			return fmt.Errorf("move %s is in phase %q at %.0f%%", name, last.Phase, last.SharePercent)
		}
		return nil
	})
	return last, err
}

// generationWatcher samples the generation of every daemon until it is stopped.
type generationWatcher struct {
	cancel  context.CancelFunc
	group   sync.WaitGroup
	mu      sync.Mutex
	samples []Sample
}

// watchGenerations starts a watcher of all daemons.
func watchGenerations(ctx context.Context, c *cluster.Cluster) *generationWatcher {
	w := &generationWatcher{}
	ctx, w.cancel = context.WithCancel(ctx)
	for _, d := range c.Daemons {
		w.group.Go(func() { w.poll(ctx, d.Name, d.AdminAddress) })
	}
	return w
}

// poll samples the generation of one daemon until the context ends.
func (w *generationWatcher) poll(ctx context.Context, name, address string) {
	admin, err := adminapi.NewClient(adminapi.ClientOptions{Servers: []string{"http://" + address}, Token: settings.NewSecret(cluster.OperatorToken)})
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		at := time.Now()
		// A daemon that is down or has no configuration yet serves nothing, so it is not
		// sampled.
		if config, err := admin.Current(ctx); err == nil && config.Generation > 0 {
			w.mu.Lock()
			w.samples = append(w.samples, Sample{Daemon: name, At: at, Generation: config.Generation})
			w.mu.Unlock()
		}
		sleep(ctx, sampleInterval)
	}
}

// stop ends the sampling and returns all samples.
func (w *generationWatcher) stop() []Sample {
	w.cancel()
	w.group.Wait()
	return w.samples
}
