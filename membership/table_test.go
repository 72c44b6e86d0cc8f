package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

var clusterSizes = map[string]map[string]int{
	"4":   {"a": 4},
	"18":  {"a": 6, "b": 6, "c": 6},
	"160": {"a": 160},
}

// Guards against daemons that never agree on the live list after they started
// together, and against one that stays listed after it was killed.
func TestTablesConverge(t *testing.T) {
	t.Parallel()
	for name, size := range clusterSizes {
		t.Run(name, func(t *testing.T) {
			s := newSimulation(t, 1, size)
			s.loss = 0.1
			startTime := s.runUntil(5*time.Second, s.agreeOn(allNodes))
			s.run(20*time.Second - startTime)
			s.kill("a-001")
			removalTime := s.runUntil(suspectAfter+GracePeriod+3*time.Second, s.agreeOn(allNodes))
			s.nodes["a-002"].leave(s)
			leaveTime := s.runUntil(3*time.Second, s.agreeOn(func(n *simNode) bool { return n.name != "a-002" }))
			s.kill("a-002")
			s.run(time.Second)
			s.boot("a-001", "a")
			returnTime := s.runUntil(5*time.Second, s.agreeOn(allNodes))
			s.assertNoWrongRemovals()
			t.Logf("10%% loss: start %v, kill to removal %v, leave %v, return %v", startTime, removalTime, leaveTime, returnTime)
		})
	}
}

func (n *simNode) leave(s *simulation) {
	s.perform(n, n.table.Leave(s.now))
}

// Guards against a removal caused by a short pause, and against a daemon that
// stays removed after a long one.
func TestPausedDaemonRefutesItsSuspicion(t *testing.T) {
	s := newSimulation(t, 2, map[string]int{"a": 20})
	s.run(15 * time.Second)
	before := s.nodes["a-003"].table.Self().Incarnation
	s.pause(s.nodes["a-003"], 8*time.Second)
	for range 120 {
		s.run(100 * time.Millisecond)
		got, _ := s.nodes["a-005"].table.Live("a")
		assert.Assert(t, slices.Contains(got, "a-003"), "removed after a pause of 8 s")
	}
	s.runUntil(3*time.Second, s.agreeOn(allNodes))
	assert.Assert(t, s.nodes["a-003"].table.Self().Incarnation > before, "the suspicion was not refuted")

	s.pause(s.nodes["a-003"], 30*time.Second)
	s.run(20 * time.Second)
	got, _ := s.nodes["a-005"].table.Live("a")
	assert.Assert(t, !slices.Contains(got, "a-003"), "still listed after 20 s of silence")
	s.run(10 * time.Second)
	returnTime := s.runUntil(5*time.Second, s.agreeOn(allNodes))
	t.Logf("listed everywhere %v after a pause of 30 s", returnTime)
	s.assertNoWrongRemovals()
}

// Guards against a daemon that was paused itself and then suspects the others,
// because it could not hear from them meanwhile.
func TestOwnPauseDoesNotMakeOthersSuspect(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Config{Self: Member{Name: "a-0", DataCentre: "a", Incarnation: 1}}, now)
	table.SessionUp(now, Member{Name: "a-1", DataCentre: "a", Incarnation: 5})
	table.Tick(now)
	now = now.Add(time.Minute)
	table.Tick(now)
	assert.Equal(t, table.members["a-1"].State, Alive)
	for range 4 * time.Second / TickInterval {
		now = now.Add(TickInterval)
		table.Tick(now)
	}
	assert.Equal(t, table.members["a-1"].State, Suspect)
}

// Guards against members that stay removed after a partition heals, and against
// removals within a data centre because the other one reports its members as dead.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	s := newSimulation(t, 3, map[string]int{"a": 40, "b": 40})
	s.run(15 * time.Second)
	s.partitioned = func(a, b string) bool { return a != b }
	s.run(120 * time.Second)
	for _, name := range []string{"a-000", "b-000"} {
		n := s.nodes[name]
		got, _ := n.table.Live(n.dataCentre)
		assert.Equal(t, len(got), 40)
	}
	stillListed, _ := s.nodes["a-000"].table.Live("b")
	t.Logf("members of the other side still listed after 120 s: %d of 40", len(stillListed))
	s.partitioned = func(string, string) bool { return false }
	localProblem := func() string {
		for _, name := range s.names {
			n := s.nodes[name]
			if got, _ := n.table.Live(n.dataCentre); len(got) != 40 {
				return fmt.Sprintf("%s lists %d of its own data centre", name, len(got))
			}
		}
		return ""
	}
	start := s.now
	for s.agreeOn(allNodes)() != "" && s.now.Sub(start) < time.Minute {
		assert.Equal(t, localProblem(), "")
		s.run(100 * time.Millisecond)
	}
	assert.Equal(t, s.agreeOn(allNodes)(), "")
	t.Logf("healed after %v", s.now.Sub(start))
}

// Guards against accepting a suspicion from a data centre that cannot reach the
// member. Each data centre watches its own members; the report is sent to the member,
// which can refute it.
func TestSuspicionByOtherDataCentreIsRejected(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable(Config{Self: Member{Name: "a-0", DataCentre: "a", Incarnation: 1}}, now)
	subject := Member{Name: "a-1", DataCentre: "a", Incarnation: 5, State: Alive}
	table.Merge(now, "a-2", []Member{subject, {Name: "a-2", DataCentre: "a", Incarnation: 5, State: Alive}})
	table.SessionUp(now, Member{Name: "b-1", DataCentre: "b", Incarnation: 5})
	now = now.Add(time.Minute)
	report := subject
	report.State = Suspect

	actions := table.Merge(now, "b-1", []Member{report})
	assert.DeepEqual(t, actions, []Action{Gossip{To: []string{"a-1"}, Members: []Member{report}}})
	assert.Equal(t, table.members["a-1"].State, Alive)

	table.Merge(now, "a-2", []Member{report})
	assert.Equal(t, table.members["a-1"].State, Suspect)
}

// Guards against an empty or short VM list that removes daemons that run.
func TestListThatLosesDaemonsRemovesNone(t *testing.T) {
	s := newSimulation(t, 4, map[string]int{"a": 30})
	s.run(15 * time.Second)
	for _, list := range [][]provider.VM{nil, s.list[:3]} {
		for _, name := range s.names {
			s.perform(s.nodes[name], s.nodes[name].table.SetVMList(s.now, list))
		}
		s.run(30 * time.Second)
		assert.Equal(t, s.agreeOn(allNodes)(), "")
	}
	s.assertNoWrongRemovals()
}

// Guards against a live list that changes with every return of a daemon whose
// network fails again and again.
func TestFlappingDaemonIsDamped(t *testing.T) {
	s := newSimulation(t, 5, map[string]int{"a": 20})
	s.run(15 * time.Second)
	observer := s.nodes["a-005"].table
	_, firstVersion := observer.Live("a")
	for range 6 {
		s.pause(s.nodes["a-003"], 16*time.Second)
		for range 18 {
			s.run(time.Second)
			observer.Live("a")
		}
	}
	_, lastVersion := observer.Live("a")
	t.Logf("changes of the live list during 6 returns: %d", lastVersion-firstVersion)
	assert.Assert(t, lastVersion-firstVersion <= 6, "%d changes", lastVersion-firstVersion)
	returnTime := s.runUntil(2*maxDamping, s.agreeOn(allNodes))
	t.Logf("listed again everywhere %v after the last return", returnTime)
}

// Guards against a version that changes without a change of the list, which
// would make callers compute their groups again.
func TestLiveVersionChangesWithTheListOnly(t *testing.T) {
	s := newSimulation(t, 6, map[string]int{"a": 10})
	s.run(15 * time.Second)
	_, before := s.nodes["a-000"].table.Live("a")
	s.pause(s.nodes["a-003"], 6*time.Second)
	s.run(20 * time.Second)
	_, after := s.nodes["a-000"].table.Live("a")
	assert.Equal(t, before, after)
}

// Guards against tables that do not agree after combined faults: loss, pauses,
// kills, restarts, partitions and wrong lists in random order.
func TestRandomFaults(t *testing.T) {
	t.Parallel()
	for seed := range uint64(12) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			s := newSimulation(t, seed, map[string]int{"a": 12, "b": 9, "c": 4})
			s.loss = 0.2
			s.run(12 * time.Second)
			for range 25 {
				s.randomFault()
				s.run(time.Duration(s.random.IntN(4000)) * time.Millisecond)
			}
			s.partitioned = func(string, string) bool { return false }
			for i, name := range s.names {
				if !s.nodes[name].alive {
					s.boot(name, s.list[i].DataCentre)
				}
				s.perform(s.nodes[name], s.nodes[name].table.SetVMList(s.now, s.list))
			}
			healed := s.runUntil(2*time.Minute, s.agreeOn(allNodes))
			t.Logf("agreed %v after the last fault", healed)
		})
	}
}

func (s *simulation) randomFault() {
	name := s.names[s.random.IntN(len(s.names))]
	n := s.nodes[name]
	switch s.random.IntN(6) {
	case 0:
		s.kill(name)
	case 1:
		if !n.alive {
			s.boot(name, n.dataCentre)
		}
	case 2:
		s.pause(n, time.Duration(s.random.IntN(20_000))*time.Millisecond)
	case 3:
		cut := []string{"a", "b", "c"}[s.random.IntN(3)]
		s.partitioned = func(a, b string) bool { return a != b && (a == cut || b == cut) }
	case 4:
		s.partitioned = func(string, string) bool { return false }
	case 5:
		s.perform(n, n.table.SetVMList(s.now, s.list[:s.random.IntN(len(s.list))]))
	}
}

// Measures the gossip of a data centre of 160 daemons, and guards against more than
// 1000 B/s per daemon without changes or 3000 B/s with restarts.
func TestGossipBytesPerDaemon(t *testing.T) {
	t.Parallel()
	const daemons = 160
	s := newSimulation(t, 7, map[string]int{"a": daemons})
	s.run(10 * time.Second)
	t.Logf("start: %.0f B/s per daemon over 10 s", float64(s.bytes)/daemons/10)
	s.run(20 * time.Second)
	s.bytes = 0
	s.run(30 * time.Second)
	idle := float64(s.bytes) / daemons / 30
	s.bytes = 0
	for i := range 6 {
		s.kill(fmt.Sprintf("a-%03d", i))
		s.run(5 * time.Second)
		s.boot(fmt.Sprintf("a-%03d", i), "a")
		s.run(5 * time.Second)
	}
	busy := float64(s.bytes) / daemons / 60
	sessions := 0
	for _, name := range s.names {
		sessions += len(s.nodes[name].sessions)
	}
	t.Logf("sessions per daemon: %.1f", float64(sessions)/daemons)
	t.Logf("without changes: %.0f B/s per daemon; with one restart every 10 s: %.0f B/s", idle, busy)
	assert.Assert(t, idle < 1000 && busy < 3000)
}
