package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

const targetCount = 40

// listScenario is a sequence of VM lists, one a second, with the targets that
// actually run in that second.
type listScenario struct {
	name string
	// listed and running report whether target i is in the list and whether it runs
	// in the given second; leaving reports whether the list marks it as leaving.
	listed, running, leaving func(second, i int) bool
}

func always(int, int) bool { return true }
func never(int, int) bool  { return false }

// absent returns a function that is false for the first count targets from
// second start until second end.
func absent(count, start, end int) func(second, i int) bool {
	return func(second, i int) bool { return i >= count || second < start || second >= end }
}

var listScenarios = []listScenario{
	{"list empty for 60 s, all run", absent(targetCount, 20, 80), always, never},
	{"list loses half for 60 s, all run", absent(targetCount/2, 20, 80), always, never},
	{"list loses 35% for 60 s, all run", absent(14, 20, 80), always, never},
	{"list loses 20% for good, they stopped", absent(8, 20, 1000), absent(8, 20, 1000), never},
	{"list loses half for good, they stopped", absent(20, 20, 1000), absent(20, 20, 1000), never},
	{"list loses half, 2 of them stopped", absent(20, 20, 80), absent(2, 20, 1000), never},
	{"list loses one target a second, all run", func(s, i int) bool { return s < 20 || i >= s-20 }, always, never},
	{"list loses one target every 5 s, all run", func(s, i int) bool { return s < 20 || i >= (s-20)/5 }, always, never},
	{"list flickers every 5 s, all run", func(s, i int) bool { return s < 20 || (s/5)%2 == 0 || i >= 20 }, always, never},
	{"rolling stop with marks", func(s, i int) bool { return s < 30+2*i }, func(s, i int) bool { return s < 30+2*i },
		func(s, i int) bool { return s >= 20+2*i }},
}

// replayResult summarizes how a table behaved in a scenario.
type replayResult struct {
	// minUsableShare is the lowest share of the running targets not marked as
	// leaving that was usable.
	minUsableShare float64
	// stoppedUsableSeconds sums the seconds in which each stopped target was usable.
	stoppedUsableSeconds int
}

// replay feeds the lists of a scenario to a table and answers its probes.
func replay(r listScenario, table *TargetTable) replayResult {
	now := time.Unix(1_700_000_000, 0)
	result := replayResult{minUsableShare: 1}
	for second := range 120 {
		var list []provider.VM
		for i := range targetCount {
			if r.listed(second, i) {
				state := provider.VMLive
				if r.leaving(second, i) {
					state = provider.VMLeaving
				}
				list = append(list, provider.VM{Name: targetName(i), Address: "10.1.0.1:80", Role: provider.RoleTarget, State: state})
			}
		}
		actions := append(table.SetVMList(now, list), table.Tick(now)...)
		for _, action := range actions {
			if probe, ok := action.(ProbeTarget); ok {
				table.ProbeFinished(now, probe.Name, r.running(second, targetIndex(probe.Name)), false)
			}
		}
		if second >= 5 {
			result.observe(r, table, second)
		}
		now = now.Add(time.Second)
	}
	return result
}

// observe adds the usable targets of one second to the result.
func (result *replayResult) observe(r listScenario, table *TargetTable, second int) {
	usable := map[string]bool{}
	names, _ := table.Usable()
	for _, name := range names {
		usable[name] = true
	}
	shouldBeUsable, usableCount := 0, 0
	for i := range targetCount {
		name := targetName(i)
		if !r.running(second, i) {
			if usable[name] {
				result.stoppedUsableSeconds++
			}
			continue
		}
		if r.leaving(second, i) {
			continue
		}
		shouldBeUsable++
		if usable[name] {
			usableCount++
		}
	}
	if shouldBeUsable > 0 {
		result.minUsableShare = min(result.minUsableShare, float64(usableCount)/float64(shouldBeUsable))
	}
}

func targetName(i int) string { return fmt.Sprintf("t-%02d", i) }

func targetIndex(name string) int {
	var i int
	_, _ = fmt.Sscanf(name, "t-%d", &i)
	return i
}

// Compares tables with and without retention of vanished targets in the same
// scenarios. Guards against a table that loses its targets because of a wrong list,
// and against retention that sends work to stopped targets for longer.
func TestWrongListsWithAndWithoutRetention(t *testing.T) {
	for _, r := range listScenarios {
		withRetention := replay(r, NewTargetTable(TargetTableConfig{}))
		withoutRetention := replay(r, NewTargetTable(TargetTableConfig{MaxVanishedShare: 1}))
		t.Logf("%-42s lowest usable share: with retention %3.0f%%, without %3.0f%%; target-seconds on stopped targets: %d, %d",
			r.name, 100*withRetention.minUsableShare, 100*withoutRetention.minUsableShare, withRetention.stoppedUsableSeconds, withoutRetention.stoppedUsableSeconds)
		assert.Assert(t, withRetention.minUsableShare >= withoutRetention.minUsableShare, r.name)
		assert.Equal(t, withRetention.stoppedUsableSeconds, withoutRetention.stoppedUsableSeconds, r.name)
	}
}

// newTableOfThree returns a table with three targets that answered a probe, and
// their VM list.
func newTableOfThree(now time.Time) (*TargetTable, []provider.VM) {
	table := NewTargetTable(TargetTableConfig{})
	var list []provider.VM
	for i := range 3 {
		list = append(list, provider.VM{Name: targetName(i), Address: "10.1.0.1:80", Role: provider.RoleTarget, State: provider.VMLive})
	}
	table.SetVMList(now, list)
	for i := range 3 {
		table.ProbeFinished(now, targetName(i), true, false)
	}
	return table, list
}

// Guards against new work on a target that the list, its own answer or an operator
// marks as leaving.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	now := time.Unix(0, 0)
	marks := map[string]func(*TargetTable, []provider.VM){
		"list":   func(table *TargetTable, l []provider.VM) { l[0].State = provider.VMLeaving; table.SetVMList(now, l) },
		"answer": func(table *TargetTable, _ []provider.VM) { table.ProbeFinished(now, targetName(0), true, true) },
		"drain":  func(table *TargetTable, _ []provider.VM) { table.SetDrained(now, targetName(0), true) },
	}
	for name, mark := range marks {
		table, list := newTableOfThree(now)
		_, before := table.Usable()
		mark(table, list)
		names, after := table.Usable()
		assert.DeepEqual(t, names, []string{"t-01", "t-02"})
		assert.Assert(t, after == before+1, name)
		table.RequestAnswered(now, targetName(0))
		assert.Equal(t, table.State(targetName(0)), TargetLeaving, name)
	}
}

// Guards against a target that is down after fewer than three failed probes in a
// row, and against one that is still up after three.
func TestTargetIsDownAfterThreeFailedProbes(t *testing.T) {
	now := time.Unix(0, 0)
	table, _ := newTableOfThree(now)
	table.ProbeFinished(now, "t-00", false, false)
	table.ProbeFinished(now, "t-00", false, false)
	table.RequestAnswered(now, "t-00")
	table.ProbeFinished(now, "t-00", false, false)
	table.ProbeFinished(now, "t-00", false, false)
	assert.Equal(t, table.State("t-00"), TargetUp)
	table.ProbeFinished(now, "t-00", false, false)
	assert.Equal(t, table.State("t-00"), TargetDown)
	table.ProbeFinished(now, "t-00", true, false)
	assert.Equal(t, table.State("t-00"), TargetUp)
}

// Guards against a new VM that gets work before it answers, also when it took
// over the name of another one.
func TestNewTargetHasToAnswerFirst(t *testing.T) {
	now := time.Unix(0, 0)
	table, list := newTableOfThree(now)
	list[1].Address = "10.1.0.9:80"
	table.SetVMList(now, list)
	names, _ := table.Usable()
	assert.DeepEqual(t, names, []string{"t-00", "t-02"})
	table.ProbeFinished(now, "t-01", true, false)
	assert.Equal(t, table.State("t-01"), TargetUp)
}
