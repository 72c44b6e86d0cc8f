package owner

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against groups that are too large, and against targets that are in no group
// or in two.
func TestAssignPutsEachTargetInOneGroupOfAtMostEight(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.StringMatching(`[a-z0-9.:]{1,12}`), rapid.ID[string])
		targets := names.Draw(t, "targets")
		daemons := names.Draw(t, "daemons")
		groups := Assign(map[string][]string{"s": targets}, daemons)
		assert.Equal(t, len(groups), (len(targets)+MaxGroupTargets-1)/MaxGroupTargets)
		seen := make([]string, 0, len(targets))
		for _, g := range groups {
			assert.Assert(t, len(g.Targets) <= MaxGroupTargets)
			assert.Equal(t, g.Daemon == "", len(daemons) == 0)
			seen = append(seen, g.Targets...)
		}
		slices.Sort(seen)
		want := slices.Clone(targets)
		slices.Sort(want)
		assert.DeepEqual(t, seen, want)
	})
}

// Guards against daemons that compute different assignments from the same lists in
// different orders.
func TestAssignDoesNotDependOnOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfDistinct(rapid.StringMatching(`[a-z0-9]{1,6}`), rapid.ID[string])
		targets := names.Draw(t, "targets")
		daemons := names.Draw(t, "daemons")
		want := Assign(map[string][]string{"s": targets}, daemons)
		got := Assign(map[string][]string{"s": rapid.Permutation(targets).Draw(t, "shuffledTargets")},
			rapid.Permutation(daemons).Draw(t, "shuffledDaemons"))
		assert.DeepEqual(t, got, want)
	})
}

// Guards against a daemon that owns two groups while another owns none.
func TestAssignSpreadsGroupsOverDaemons(t *testing.T) {
	targets := targetNames(5, 98)
	groups := Assign(targets, daemonNames(162))
	owned := make(map[string]int)
	for _, g := range groups {
		owned[g.Daemon]++
		assert.Assert(t, owned[g.Daemon] <= 1, "%s owns two groups", g.Daemon)
	}
	assert.Equal(t, len(groups), 65)
}

// Guards against a restart of one daemon that changes the owners of many groups, each
// of which has to be resynced. Checks each daemon of a deployment of the planned size.
func TestLeavingDaemonMovesFewGroups(t *testing.T) {
	targets := targetNames(5, 98)
	daemons := daemonNames(162)
	before := Assign(targets, daemons)
	total := 0
	for i := range daemons {
		rest := slices.Delete(slices.Clone(daemons), i, i+1)
		after := Assign(targets, rest)
		moved := 0
		for k := range before {
			if before[k].Daemon != after[k].Daemon {
				moved++
			}
		}
		total += moved
		assert.Assert(t, moved <= 6, "removing %s moved %d of %d groups", daemons[i], moved, len(before))
	}
	t.Logf("mean groups moved by removing one daemon: %.2f of %d", float64(total)/float64(len(daemons)), len(before))
	assert.Assert(t, total <= len(daemons))
}

// targetNames returns the target names of a number of services, with size targets
// each, by service.
func targetNames(services, size int) map[string][]string {
	targets := make(map[string][]string)
	for s := range services {
		name := fmt.Sprintf("service-%d", s)
		for i := range size {
			targets[name] = append(targets[name], fmt.Sprintf("10.%d.0.%d:8000", s, i))
		}
	}
	return targets
}

func daemonNames(count int) []string {
	names := make([]string, count)
	for i := range names {
		names[i] = fmt.Sprintf("10.9.0.%d:7000", i)
	}
	return names
}
