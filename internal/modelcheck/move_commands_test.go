package modelcheck

import (
	"fmt"
	"time"
)

// commandSteps calls next for each state in which process p's command has been built,
// sent or executed.
func (m *moveModel) commandSteps(s state, p int, next func(string, state)) {
	q := s.processes[p]
	if q.command.active {
		m.advanceCommand(s, p, next)
		return
	}
	fence, left, held := q.lease.Held(tickTime(s.now))
	if !held || !s.remaining.orders {
		return
	}
	ticksLeft := int8(left / time.Second)
	if s.remaining.target == 1 && !m.maySendCommand(q, s.now, ticksLeft) {
		return
	}
	t := s
	lifetime := min(m.bounds.timeout, ticksLeft)
	if m.removed.noCommandMargin {
		lifetime = m.bounds.timeout
	}
	t.processes[p].command = command{active: true, target: s.remaining.target, fence: fence, expires: s.now + lifetime}
	next(fmt.Sprintf("%s builds a command for target %d", letterName(p), s.remaining.target), t)
}

// maySendCommand reports whether a process may command the target that ignores fencing
// numbers: its lease must last for the timeout of the command, and a holder that took
// the lease over must have waited as long for commands of the earlier holder.
func (m *moveModel) maySendCommand(q process, now, ticksLeft int8) bool {
	if !m.removed.noCommandMargin && ticksLeft < m.bounds.timeout {
		return false
	}
	fence, _, _ := q.lease.Held(tickTime(now))
	return m.removed.noTakeoverWait || fence <= 1 || now-q.fenceSince >= m.bounds.timeout
}

// advanceCommand sends the command of process p or executes it. A command that is lost
// or rejected takes no step.
func (m *moveModel) advanceCommand(s state, p int, next func(string, state)) {
	c := s.processes[p].command
	if !c.sent {
		if s.now < c.expires || m.removed.noSendDeadline {
			t := s
			t.processes[p].command.sent = true
			t.processes[p].command.expires = s.now + m.bounds.timeout
			next(letterName(p)+" sends the command", t)
		}
		return
	}
	checksFence := c.target == 0 && !m.removed.noFenceCheck
	// A command to a target that checks fencing numbers may arrive at any time.
	if c.ended || (c.target == 1 && s.now >= c.expires) {
		return
	}
	t := s
	t.processes[p].command.ended = true
	if c.fence < s.executedFence[c.target] {
		if checksFence {
			return
		}
		t.violation = "a command of an earlier holder was executed after one of a later holder"
	}
	t.executedFence[c.target] = max(c.fence, s.executedFence[c.target])
	next(fmt.Sprintf("target %d executes %s's command", c.target, letterName(p)), t)
}
