package owner

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// benchGroups returns groups of at most 8 targets for a total number of targets.
func benchGroups(targets int) []*Group {
	var groups []*Group
	for first := 0; first < targets; first += MaxGroupTargets {
		g := NewGroup("assistant", len(groups), Options{})
		var infos []TargetInfo
		for i := first; i < min(first+MaxGroupTargets, targets); i++ {
			infos = append(infos, TargetInfo{
				Name: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Hardware: fmt.Sprintf("h%d", i%2),
				Slots: 16, KVTokens: 200_000, Versions: []string{"v1"},
			})
		}
		g.SetTargets(start, infos)
		groups = append(groups, g)
	}
	return groups
}

func benchRequest(n, accounts int) Request {
	return Request{
		ID: fmt.Sprintf("r%09d", n), Entry: "10.1.0.7:7000", Service: "assistant", Version: "v1",
		Account: fmt.Sprintf("account-%d", n%accounts), Tier: n % 3, PromptTokens: 100 + n%1000, OutputTokens: 50 + n%200,
		Deadline: start.Add(time.Hour), Preemptible: true,
		Prefix: []uint64{uint64(n % 64), uint64(n%64) + 1000, uint64(n), uint64(n) + 7},
	}
}

// BenchmarkDecision measures one reservation and one release in steady state
// with full targets and 200 requests waiting in each group.
func BenchmarkDecision(b *testing.B) {
	for _, targets := range []int{18, 500, 7800} {
		for _, accounts := range []int{5, 800} {
			b.Run(fmt.Sprintf("targets=%d/accounts=%d", targets, accounts), func(b *testing.B) {
				benchDecision(b, targets, accounts, 200)
			})
		}
	}
}

// BenchmarkDecisionByQueue measures how the cost of a decision depends on the number
// of waiting requests.
func BenchmarkDecisionByQueue(b *testing.B) {
	for _, waiting := range []int{10, 100, 1000, 10_000} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			benchDecision(b, 8, 800, waiting)
		})
	}
}

func benchDecision(b *testing.B, targets, accounts, waiting int) {
	groups := benchGroups(targets)
	next := 0
	running := make([][]string, len(groups))
	reserve := func(at int) {
		for _, d := range groups[at].Reserve(start, benchRequest(next, accounts)) {
			if d.Kind == Grant {
				running[at] = append(running[at], d.ID)
			}
		}
		next++
	}
	for at, g := range groups {
		g.options.MaxWaiting = 2 * waiting
		for range MaxGroupTargets*17 + waiting {
			reserve(at)
		}
	}
	requests := make([]Request, 4096)
	for i := range requests {
		requests[i] = benchRequest(next, accounts)
		next++
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		at := i % len(groups)
		request := requests[i%len(requests)]
		request.ID = fmt.Sprint(i)
		for _, d := range groups[at].Reserve(start, request) {
			if d.Kind == Grant {
				running[at] = append(running[at], d.ID)
			}
		}
		id := running[at][0]
		running[at] = running[at][1:]
		report := Report{ID: id, Outcome: OutcomeDone, PromptTokens: 100, OutputTokens: 100, Version: "v1",
			FirstToken: 50 * time.Millisecond, Duration: 2 * time.Second}
		for _, d := range groups[at].Release(start, report) {
			if d.Kind == Grant {
				running[at] = append(running[at], d.ID)
			}
		}
	}
}

// BenchmarkTick measures a tick of a group with a long queue in which no timer has
// expired.
func BenchmarkTick(b *testing.B) {
	g := benchGroups(8)[0]
	g.options.MaxWaiting = 5000
	for i := range 1000 {
		g.Reserve(start, benchRequest(i, 800))
	}
	b.ReportAllocs()
	for b.Loop() {
		g.Tick(start)
	}
}

// BenchmarkState reports the heap bytes per waiting request, per running request and
// per group without requests.
func BenchmarkState(b *testing.B) {
	const waiting = 4000
	running := MaxGroupTargets * 17
	var perWaiting, perRunning, perGroup float64
	for b.Loop() {
		before := heapBytes()
		groups := benchGroups(800)
		atEmpty := heapBytes()
		n := 0
		for _, g := range groups {
			for range running {
				g.Reserve(start, benchRequest(n, 800))
				n++
			}
		}
		atRunning := heapBytes()
		g := groups[0]
		for range waiting {
			g.Reserve(start, benchRequest(n, 800))
			n++
		}
		atWaiting := heapBytes()
		perGroup = float64(atEmpty-before) / float64(len(groups))
		perRunning = float64(atRunning-atEmpty) / float64(len(groups)*running)
		perWaiting = float64(atWaiting-atRunning) / waiting
		runtime.KeepAlive(groups)
	}
	b.ReportMetric(perGroup, "B/group")
	b.ReportMetric(perRunning, "B/running")
	b.ReportMetric(perWaiting, "B/waiting")
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// BenchmarkAssign measures Assign for one data centre at the present size and at the
// planned size.
func BenchmarkAssign(b *testing.B) {
	for _, size := range []struct{ services, targets, daemons int }{{1, 8, 7}, {5, 98, 162}} {
		targets := targetNames(size.services, size.targets)
		daemons := daemonNames(size.daemons)
		b.Run(fmt.Sprintf("targets=%d/daemons=%d", size.services*size.targets, size.daemons), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				Assign(targets, daemons)
			}
		})
	}
}
