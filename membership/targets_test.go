package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

const poolSize = 40

// recording is a sequence of VM lists, one a second, with the targets that
// really run at that second.
type recording struct {
	name string
	// listed and running say whether target i is in the list and runs at a
	// second; leaving says whether the list marks it.
	listed, running, leaving func(second, i int) bool
}

func always(int, int) bool { return true }
func never(int, int) bool  { return false }

// without returns a function that is false for the first count targets from
// second start until second end.
func without(count, start, end int) func(second, i int) bool {
	return func(second, i int) bool { return i >= count || second < start || second >= end }
}

var recordings = []recording{
	{"list empty for 60 s, all run", without(poolSize, 20, 80), always, never},
	{"list loses half for 60 s, all run", without(poolSize/2, 20, 80), always, never},
	{"list loses 35% for 60 s, all run", without(14, 20, 80), always, never},
	{"list loses 20% for good, they stopped", without(8, 20, 1000), without(8, 20, 1000), never},
	{"list loses half for good, they stopped", without(20, 20, 1000), without(20, 20, 1000), never},
	{"list loses half, 2 of them stopped", without(20, 20, 80), without(2, 20, 1000), never},
	{"list loses one target a second, all run", func(s, i int) bool { return s < 20 || i >= s-20 }, always, never},
	{"list loses one target every 5 s, all run", func(s, i int) bool { return s < 20 || i >= (s-20)/5 }, always, never},
	{"list flickers every 5 s, all run", func(s, i int) bool { return s < 20 || (s/5)%2 == 0 || i >= 20 }, always, never},
	{"rolling stop with marks", func(s, i int) bool { return s < 30+2*i }, func(s, i int) bool { return s < 30+2*i },
		func(s, i int) bool { return s >= 20+2*i }},
}

// outcome is what one version of the pool did with a recording.
type outcome struct {
	// kept is the lowest share of the running, unmarked targets that was usable.
	kept float64
	// wrongSeconds counts seconds times targets that were usable but stopped.
	wrongSeconds int
}

// replay feeds a recording to a pool and answers its probes.
func replay(r recording, pool *TargetTable) outcome {
	now := time.Unix(1_700_000_000, 0)
	result := outcome{kept: 1}
	for second := range 120 {
		var list []provider.VM
		for i := range poolSize {
			if r.listed(second, i) {
				state := provider.VMLive
				if r.leaving(second, i) {
					state = provider.VMLeaving
				}
				list = append(list, provider.VM{Name: targetName(i), Address: "10.1.0.1:80", Role: provider.RoleTarget, State: state})
			}
		}
		actions := append(pool.SetList(now, list), pool.Tick(now)...)
		for _, action := range actions {
			if probe, ok := action.(ProbeTarget); ok {
				pool.Probed(now, probe.Name, r.running(second, targetIndex(probe.Name)), false)
			}
		}
		if second >= 5 {
			result.add(r, pool, second)
		}
		now = now.Add(time.Second)
	}
	return result
}

func (o *outcome) add(r recording, pool *TargetTable, second int) {
	usable := map[string]bool{}
	names, _ := pool.Usable()
	for _, name := range names {
		usable[name] = true
	}
	good, kept := 0, 0
	for i := range poolSize {
		name := targetName(i)
		if !r.running(second, i) {
			if usable[name] {
				o.wrongSeconds++
			}
			continue
		}
		if r.leaving(second, i) {
			continue
		}
		good++
		if usable[name] {
			kept++
		}
	}
	if good > 0 {
		o.kept = min(o.kept, float64(kept)/float64(good))
	}
}

func targetName(i int) string { return fmt.Sprintf("t-%02d", i) }

func targetIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "t-%d", &i)
	return i
}

// Compares the pool with and without the hold on the same recordings. Guards
// against a pool that is emptied by a wrong list, and against a hold that sends
// work to stopped targets for longer than the version without it.
func TestHoldAgainstVersionWithoutHold(t *testing.T) {
	for _, r := range recordings {
		with := replay(r, NewTargetTable(TargetTableConfig{}))
		without := replay(r, NewTargetTable(TargetTableConfig{MaxVanishedShare: 1}))
		t.Logf("%-42s kept: with hold %3.0f%%, without %3.0f%%; target-seconds on stopped targets: %d, %d",
			r.name, 100*with.kept, 100*without.kept, with.wrongSeconds, without.wrongSeconds)
		assert.Assert(t, with.kept >= without.kept, r.name)
		assert.Equal(t, with.wrongSeconds, without.wrongSeconds, r.name)
	}
}

// newPool returns a pool of three targets that answered a probe.
func newPool(now time.Time) (*TargetTable, []provider.VM) {
	pool := NewTargetTable(TargetTableConfig{})
	var list []provider.VM
	for i := range 3 {
		list = append(list, provider.VM{Name: targetName(i), Address: "10.1.0.1:80", Role: provider.RoleTarget, State: provider.VMLive})
	}
	pool.SetList(now, list)
	for i := range 3 {
		pool.Probed(now, targetName(i), true, false)
	}
	return pool, list
}

// Guards against new work on a target that any of the three marks says leaves.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	now := time.Unix(0, 0)
	marks := map[string]func(*TargetTable, []provider.VM){
		"list":   func(p *TargetTable, l []provider.VM) { l[0].State = provider.VMLeaving; p.SetList(now, l) },
		"answer": func(p *TargetTable, _ []provider.VM) { p.Probed(now, targetName(0), true, true) },
		"drain":  func(p *TargetTable, _ []provider.VM) { p.Drain(now, targetName(0), true) },
	}
	for name, mark := range marks {
		pool, list := newPool(now)
		_, before := pool.Usable()
		mark(pool, list)
		names, after := pool.Usable()
		assert.DeepEqual(t, names, []string{"t-01", "t-02"})
		assert.Assert(t, after == before+1, name)
		pool.RequestAnswered(now, targetName(0))
		assert.Equal(t, pool.State(targetName(0)), TargetLeaving, name)
	}
}

// Guards against a target that is taken out after one lost probe, and against
// one that keeps its work after three.
func TestTargetIsDownAfterThreeFailedProbes(t *testing.T) {
	now := time.Unix(0, 0)
	pool, _ := newPool(now)
	pool.Probed(now, "t-00", false, false)
	pool.Probed(now, "t-00", false, false)
	pool.RequestAnswered(now, "t-00")
	pool.Probed(now, "t-00", false, false)
	pool.Probed(now, "t-00", false, false)
	assert.Equal(t, pool.State("t-00"), TargetUp)
	pool.Probed(now, "t-00", false, false)
	assert.Equal(t, pool.State("t-00"), TargetDown)
	pool.Probed(now, "t-00", true, false)
	assert.Equal(t, pool.State("t-00"), TargetUp)
}

// Guards against a new VM that gets work before it answers, also when it took
// over the name of another one.
func TestNewTargetHasToAnswerFirst(t *testing.T) {
	now := time.Unix(0, 0)
	pool, list := newPool(now)
	list[1].Address = "10.1.0.9:80"
	pool.SetList(now, list)
	names, _ := pool.Usable()
	assert.DeepEqual(t, names, []string{"t-00", "t-02"})
	pool.Probed(now, "t-01", true, false)
	assert.Equal(t, pool.State("t-01"), TargetUp)
}
