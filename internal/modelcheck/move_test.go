package modelcheck

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// broken adds the invariant that no two processes hold the lease at once.
func (m *moveModel) broken(s state) string {
	if s.broken != "" {
		return s.broken
	}
	_, _, a := s.procs[0].lease.Held(at(s.now))
	_, _, b := s.procs[1].lease.Held(at(s.now))
	if a && b {
		return "two processes hold the lease at once"
	}
	return ""
}

func explore(g guards, b bounds, limit int) Result {
	m := &moveModel{g: g, b: b}
	return Explore(Model[state]{Initial: m.initial(b), Steps: m.steps, Violation: m.broken}, limit)
}

var moveBounds = []bounds{
	{term: 2, ticks: 2, lost: 1, leases: 2, rows: 2},
	{term: 2, ticks: 2, lost: 1, crashes: 1, leases: 2},
	{term: 2, ticks: 2, crashes: 1, leases: 2, rows: 1},
	{term: 2, timeout: 1, ticks: 3, orders: true, leases: 2, releases: 1, target: 0},
	{term: 2, timeout: 1, ticks: 3, orders: true, leases: 2, releases: 1, target: 1},
	{term: 4, timeout: 3, ticks: 7, orders: true, leases: 2, target: 1, held: true},
}

// Guards against every order of steps, within the bounds, in which a fencing
// number has two holders, an old order follows a newer one, a reversed attempt
// gets a share, or an attempt is both done and reversed.
func TestMovesKeepInvariants(t *testing.T) {
	t.Parallel()
	for _, b := range moveBounds {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			r := explore(guards{}, b, 400_000)
			t.Logf("%d states, %d steps, depth %d, %v", r.States, r.Steps, r.Depth, time.Since(began))
			assert.Equal(t, r.Violation, "", "%v", r.Trace)
			assert.Assert(t, r.Complete)
		})
	}
}

// Shows for each guard that the exploration finds the fault it prevents.
func TestEachGuardIsNeeded(t *testing.T) {
	t.Parallel()
	rows, checked, unchecked, long := moveBounds[0], moveBounds[3], moveBounds[4], moveBounds[5]
	const old = "an order of an old holder was executed after one of a newer holder"
	const both = "an attempt is both done and reversed"
	for _, c := range []struct {
		name string
		g    guards
		b    bounds
		want string
	}{
		{"lease condition in the transaction", guards{noLeaseCondition: true}, rows, "a row was written by an old holder"},
		{"lease and row conditions", guards{noLeaseCondition: true, noRowCondition: true}, rows, ""},
		{"wait for the whole term", guards{shortWait: true}, rows, "two processes hold the lease at once"},
		{"end of the holder's term", guards{longTerm: true}, rows, "two processes hold the lease at once"},
		{"token compare", guards{noTokenCompare: true}, rows, ""},
		{"lease covers the order", guards{noOrderMargin: true}, long, old},
		{"deadline of sending", guards{noSendDeadline: true}, unchecked, old},
		{"wait after takeover", guards{noTakeoverWait: true}, unchecked, old},
		{"fence check of the target", guards{noFenceCheck: true}, checked, old},
		{"final phases", guards{revives: true}, rows, both},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := explore(c.g, c.b, 400_000)
			t.Logf("%d states, found: %s %q", r.States, r.Violation, r.Trace)
			assert.Assert(t, r.Violation != "", "removing the guard broke nothing in %d states", r.States)
			if c.want != "" {
				assert.Equal(t, r.Violation, c.want)
			}
		})
	}
}
