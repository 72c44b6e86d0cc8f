package modelcheck

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// findViolation returns the violation that a step recorded, or checks that the two
// processes do not hold the lease at once.
func (m *moveModel) findViolation(s state) string {
	if s.violation != "" {
		return s.violation
	}
	_, _, a := s.processes[0].lease.Held(tickTime(s.now))
	_, _, b := s.processes[1].lease.Held(tickTime(s.now))
	if a && b {
		return "two processes hold the lease at once"
	}
	return ""
}

func explore(removed removedGuards, b bounds, limit int) Result {
	m := &moveModel{removed: removed, bounds: b}
	return Explore(Model[state]{Initial: m.initial(b), Steps: m.steps, Violation: m.findViolation}, limit)
}

var moveBounds = []bounds{
	{term: 2, ticks: 2, lost: 1, leases: 2, rows: 2},
	{term: 2, ticks: 2, lost: 1, crashes: 1, leases: 2},
	{term: 2, ticks: 2, crashes: 1, leases: 2, rows: 1},
	{term: 2, timeout: 1, ticks: 3, orders: true, leases: 2, releases: 1, target: 0},
	{term: 2, timeout: 1, ticks: 3, orders: true, leases: 2, releases: 1, target: 1},
	{term: 4, timeout: 3, ticks: 7, orders: true, leases: 2, target: 1, held: true},
}

// Guards against a sequence of steps in which a fencing number has two holders, a
// command of an earlier holder is executed after one of a later holder, a reversed
// attempt gets a share, or an attempt is both done and reversed. It explores every
// sequence within the bounds.
func TestMovesKeepInvariants(t *testing.T) {
	t.Parallel()
	for _, b := range moveBounds {
		t.Run(fmt.Sprintf("%+v", b), func(t *testing.T) {
			t.Parallel()
			began := time.Now()
			r := explore(removedGuards{}, b, 400_000)
			t.Logf("%d states, %d steps, depth %d, %v", r.States, r.Steps, r.Depth, time.Since(began))
			assert.Equal(t, r.Violation, "", "%v", r.Trace)
			assert.Assert(t, r.Complete)
		})
	}
}

// Guards against a model that is too weak: without any one of the guards, the
// exploration must find a violation.
func TestEachGuardIsNeeded(t *testing.T) {
	t.Parallel()
	rows, checkingTarget, nonCheckingTarget, longLease := moveBounds[0], moveBounds[3], moveBounds[4], moveBounds[5]
	const staleCommand = "a command of an earlier holder was executed after one of a later holder"
	const doneAndReversed = "an attempt is both done and reversed"
	for _, c := range []struct {
		name string
		g    removedGuards
		b    bounds
		want string
	}{
		{"lease condition in the transaction", removedGuards{noLeaseCondition: true}, rows, "a row was written by an earlier holder"},
		{"lease and row conditions", removedGuards{noLeaseCondition: true, noRowCondition: true}, rows, ""},
		{"wait for the whole term", removedGuards{shortWait: true}, rows, "two processes hold the lease at once"},
		{"end of the holder's term", removedGuards{longTerm: true}, rows, "two processes hold the lease at once"},
		{"token compare", removedGuards{noTokenCompare: true}, rows, ""},
		{"lease covers the command", removedGuards{noCommandMargin: true}, longLease, staleCommand},
		{"deadline of sending", removedGuards{noSendDeadline: true}, nonCheckingTarget, staleCommand},
		{"wait after takeover", removedGuards{noTakeoverWait: true}, nonCheckingTarget, staleCommand},
		{"fence check of the target", removedGuards{noFenceCheck: true}, checkingTarget, staleCommand},
		{"final phases", removedGuards{reopensFinalRow: true}, rows, doneAndReversed},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := explore(c.g, c.b, 400_000)
			t.Logf("%d states, found: %s %q", r.States, r.Violation, r.Trace)
			assert.Assert(t, r.Violation != "", "no violation without the guard in %d states", r.States)
			if c.want != "" {
				assert.Equal(t, r.Violation, c.want)
			}
		})
	}
}
