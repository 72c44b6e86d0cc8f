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
	// samplePause is the interval at which generations are read.
	samplePause = 250 * time.Millisecond
	// toolTimeout bounds the wait of marjoramctl; a publication that is in force
	// later than the bound of R9 is found by its measured time.
	toolTimeout = "15s"
)

// tool runs marjoramctl with --wait and records the publication's time.
func (d *demo) tool(ctx context.Context, name string, args ...string) error {
	args = append(args, "--wait", "--timeout", toolTimeout)
	cmd := exec.CommandContext(ctx, d.cluster.Programs.Ctl, args...)
	var servers []string
	for _, m := range d.cluster.Daemons {
		if m.Running() {
			servers = append(servers, m.AdminAddress)
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
	d.say("published: %s, in force on all daemons after %d ms", name, p.Took.Milliseconds())
	return nil
}

// publish puts the cluster's set in force with marjoramctl.
func (d *demo) publish(ctx context.Context, name string) error {
	path, err := d.cluster.WriteSet("objects.yaml")
	if err != nil {
		return err
	}
	return d.tool(ctx, name, "publish", "--base", "current", path)
}

// goodMove moves the service to a version without faults.
func (d *demo) goodMove(ctx context.Context) error {
	move, err := d.move(ctx, object.Move{Name: "upgrade", From: cluster.ModelVersion, To: goodVersion}, goodModel, "done")
	d.evidence.Good = move
	return err
}

// badMove moves the service on to a version that fails every request.
func (d *demo) badMove(ctx context.Context) error {
	for _, e := range d.cluster.Engines {
		bad := faults.Switches{Versions: map[string]faults.VersionFault{badModel: {FailShare: 1}}}
		if err := e.SetFaults(ctx, bad); err != nil {
			return err
		}
	}
	d.cluster.Set.Services[0].Version = goodVersion
	move, err := d.move(ctx, object.Move{Name: "upgrade-2", From: goodVersion, To: badVersion}, badModel, "reversed")
	if err != nil {
		return err
	}
	sleep(ctx, boundLeaving)
	atBound, _, err := d.runs(ctx, nil, badModel)
	if err != nil {
		return err
	}
	sleep(ctx, phasePause)
	atEnd, _, err := d.runs(ctx, nil, badModel)
	move.LateRuns = atEnd - atBound
	d.evidence.Bad = move
	return err
}

// move publishes a move and waits for its end.
func (d *demo) move(ctx context.Context, m object.Move, model, want string) (Move, error) {
	m.Service = cluster.ModelService
	m.Deadline = time.Now().Add(moveTimeout)
	m.Attempt = 1
	m.Soak = time.Second
	d.cluster.Set.Moves = []object.Move{m}
	result := Move{Want: want}
	newBefore, allBefore, err := d.runs(ctx, nil, model)
	if err != nil {
		return result, err
	}
	if err := d.publish(ctx, fmt.Sprintf("move from %s to %s", m.From, m.To)); err != nil {
		return result, err
	}
	started := time.Now()
	status, err := d.waitMove(ctx, m.Name)
	if err != nil {
		return result, err
	}
	newAfter, allAfter, err := d.runs(ctx, nil, model)
	result.Phase, result.Reason, result.Took = status.Phase, status.Reason, time.Since(started)
	result.NewRuns, result.AllRuns = newAfter-newBefore, allAfter-allBefore
	d.say("move to %s is %s after %.1f s (%s)", m.To, status.Phase, result.Took.Seconds(), status.Reason)
	return result, err
}

func (d *demo) waitMove(ctx context.Context, name string) (last adminapi.MoveStatus, err error) {
	admin, err := d.cluster.Admin()
	if err != nil {
		return last, err
	}
	err = cluster.WaitUntil(ctx, moveTimeout+boundInForce, func(ctx context.Context) error {
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

// watch reads the generation of every daemon until it is stopped.
type watch struct {
	cancel  context.CancelFunc
	group   sync.WaitGroup
	mu      sync.Mutex
	samples []Sample
}

func watchGenerations(ctx context.Context, c *cluster.Cluster) *watch {
	w := &watch{}
	ctx, w.cancel = context.WithCancel(ctx)
	for _, d := range c.Daemons {
		w.group.Go(func() { w.follow(ctx, d.Name, d.AdminAddress) })
	}
	return w
}

func (w *watch) follow(ctx context.Context, name, address string) {
	admin, err := adminapi.NewClient(adminapi.ClientOptions{Servers: []string{"http://" + address}, Token: settings.NewSecret(cluster.OperatorToken)})
	if err != nil {
		return
	}
	for ctx.Err() == nil {
		at := time.Now()
		// A daemon that is down, or that started and has no configuration yet, serves
		// nothing and is not sampled.
		if config, err := admin.Current(ctx); err == nil && config.Generation > 0 {
			w.mu.Lock()
			w.samples = append(w.samples, Sample{Daemon: name, At: at, Generation: config.Generation})
			w.mu.Unlock()
		}
		sleep(ctx, samplePause)
	}
}

func (w *watch) stop() []Sample {
	w.cancel()
	w.group.Wait()
	return w.samples
}
