package e2e

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
	"github.com/marjoramflow/marjoramflow/bench/standin/faults"
)

// load sends chats through all daemons until stop is called and stores the results by
// daemon. It is safe for concurrent use.
type load struct {
	cancel  context.CancelFunc
	group   sync.WaitGroup
	mu      sync.Mutex
	results map[string][]caller.Result
}

// startLoad starts callersPerDaemon callers for each daemon. Each caller sends one chat
// after the other.
func startLoad(ctx context.Context, c *cluster.Cluster, callersPerDaemon int) *load {
	ctx, cancel := context.WithCancel(ctx)
	l := &load{cancel: cancel, results: make(map[string][]caller.Result)}
	for _, d := range c.Daemons {
		for i := range callersPerDaemon {
			l.group.Go(func() { l.run(ctx, d.Name, d.CallerAddress, i) })
		}
	}
	return l
}

func (l *load) run(ctx context.Context, name, address string, number int) {
	client := newCaller("donors")
	for i := 0; ctx.Err() == nil; i++ {
		chat := caller.Chat{Service: cluster.ModelService, Prompt: fmt.Sprintf("caller %s %d asks question %d", name, number, i), MaxTokens: 24}
		// When the load ends, the caller still waits for the request in progress.
		r := client.Chat(context.WithoutCancel(ctx), address, chat)
		l.mu.Lock()
		l.results[name] = append(l.results[name], r)
		l.mu.Unlock()
		if r.Outcome == caller.Broken {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// stop ends the load, waits for the requests in progress and returns all results by
// daemon.
func (l *load) stop() map[string][]caller.Result {
	l.cancel()
	l.group.Wait()
	return l.results
}

// waitResults waits until each of the named daemons has at least count results.
func (l *load) waitResults(ctx context.Context, names []string, count int) error {
	return cluster.WaitUntil(ctx, 30*time.Second, func(context.Context) error {
		l.mu.Lock()
		defer l.mu.Unlock()
		for _, name := range names {
			if len(l.results[name]) < count {
				return fmt.Errorf("daemon %s has %d results", name, len(l.results[name]))
			}
		}
		return nil
	})
}

// resultCount returns the number of results of a daemon.
func (l *load) resultCount(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.results[name])
}

// Guards against losing or cutting requests through other daemons when a daemon that
// owns target groups is killed.
func TestKilledDaemonCutsOnlyItsOwnCallers(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	l := startLoad(ctx, c, 4)
	names := []string{c.Daemons[0].Name, c.Daemons[1].Name, c.Daemons[2].Name}
	assert.NilError(t, l.waitResults(ctx, names, 5))
	c.Daemons[0].Kill()
	before := l.resultCount(names[1])
	assert.NilError(t, l.waitResults(ctx, names[1:], before+20))
	results := l.stop()
	for _, name := range names[1:] {
		for _, r := range results[name] {
			assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", name, r)
		}
	}
}

// Guards against cutting requests in a planned stop: under load, the daemons are stopped
// and started again one after the other.
func TestRollingRestartCutsNoRequest(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	for _, d := range c.Daemons {
		others := &cluster.Cluster{Daemons: daemonsExcept(c.Daemons, d)}
		l := startLoad(ctx, c, 3)
		assert.NilError(t, l.waitResults(ctx, []string{d.Name}, 3))
		stopped := make(chan error, 1)
		go func() { stopped <- d.Stop(30 * time.Second) }()
		assert.NilError(t, <-stopped)
		results := l.stop()
		for _, other := range others.Daemons {
			for _, r := range results[other.Name] {
				assert.Equal(t, r.Outcome, caller.Complete, "%s: %+v", other.Name, r)
			}
		}
		// Callers of the stopped daemon get complete answers until its port is closed.
		assertNoneCut(t, results[d.Name])
		assert.NilError(t, d.Start())
		assert.NilError(t, d.WaitReady(ctx))
	}
}

// assertNoneCut requires that each request through a stopped daemon got a complete answer
// or broke before its first token, as a refused connection does.
func assertNoneCut(t *testing.T, results []caller.Result) {
	t.Helper()
	for _, r := range results {
		if r.Outcome == caller.Broken {
			assert.Equal(t, r.Tokens, 0, "%+v", r)
			continue
		}
		assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
	}
}

// daemonsExcept returns the daemons without one of them.
func daemonsExcept(daemons []*cluster.Daemon, except *cluster.Daemon) []*cluster.Daemon {
	var out []*cluster.Daemon
	for _, d := range daemons {
		if d != except {
			out = append(out, d)
		}
	}
	return out
}

// Guards against waiting without limit for a daemon that is suspended with its
// connections open: the other daemons have to serve within seconds.
func TestFrozenDaemonDoesNotStopTheOthers(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(3))
	assert.NilError(t, c.Daemons[0].Suspend())
	client := newCaller("clerks")
	for _, d := range c.Daemons[1:] {
		for i := range 5 {
			r := client.Chat(ctx, d.CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: fmt.Sprintf("question %d of %s", i, d.Name), MaxTokens: 8})
			assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
			assert.Assert(t, r.FirstToken < 5*time.Second, "first token after %s", r.FirstToken)
		}
	}
	assert.NilError(t, c.Daemons[0].Resume())
}

// Guards against reporting a truncated answer as complete when an engine cuts streams, and
// against passing frames of another request to a caller.
func TestCutAndCrossedStreamsAreWhole(t *testing.T) {
	ctx, c := startCluster(t, cluster.OneDataCentre(2))
	assert.NilError(t, c.Engines[0].SetFaults(ctx, faults.Switches{CutAfterTokens: 5, CrossFrames: true}))
	assert.NilError(t, c.Engines[1].SetFaults(ctx, faults.Switches{CrossFrames: true}))
	client := newCaller("clerks")
	complete := 0
	for i := range 10 {
		r := client.Chat(ctx, c.Daemons[i%2].CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: fmt.Sprintf("question %d", i), MaxTokens: 40})
		assert.Assert(t, r.Outcome == caller.Complete || r.Outcome == caller.Failed, "%+v", r)
		if r.Outcome == caller.Complete {
			complete++
		}
	}
	assert.Equal(t, complete, 10)
}

// Guards against a request that crashes every target that runs it: it has to be
// quarantined after it crashed at most two targets, and on all daemons within two seconds.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	const mark = "crash-the-engine"
	spec := cluster.OneDataCentre(2)
	spec.DataCentres[0].Engines = append(spec.DataCentres[0].Engines, cluster.FastEngine, cluster.FastEngine)
	ctx, c := startCluster(t, spec)
	for _, e := range c.Engines {
		assert.NilError(t, e.SetFaults(ctx, faults.Switches{CrashMark: mark}))
	}
	client := newCaller("donors")
	bad := caller.Chat{Service: cluster.ModelService, Prompt: "please " + mark, MaxTokens: 8}
	r := client.Chat(ctx, c.Daemons[0].CallerAddress, bad)
	assert.Assert(t, r.Outcome != caller.Complete, "%+v", r)
	err := cluster.WaitUntil(ctx, 2*time.Second, func(ctx context.Context) error {
		for _, d := range c.Daemons {
			if r := client.Chat(ctx, d.CallerAddress, bad); r.Code != "quarantined" {
				return fmt.Errorf("%s: %+v", d.Name, r)
			}
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Assert(t, countCrashes(t, c) <= 2)
	r = client.Chat(ctx, c.Daemons[1].CallerAddress, caller.Chat{Service: cluster.ModelService, Prompt: "an innocent question", MaxTokens: 8})
	assert.Equal(t, r.Outcome, caller.Complete, "%+v", r)
}

// countCrashes returns the number of crashes of all engines.
func countCrashes(t *testing.T, c *cluster.Cluster) int {
	t.Helper()
	total := 0
	for _, e := range c.Engines {
		var count struct{ Crashes int }
		err := cluster.WaitUntil(t.Context(), 10*time.Second, func(ctx context.Context) error { return e.Get(ctx, "/v1/crashes", &count) })
		assert.NilError(t, err)
		total += count.Crashes
	}
	return total
}
