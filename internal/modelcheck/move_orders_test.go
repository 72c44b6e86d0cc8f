package modelcheck

import (
	"fmt"
	"time"
)

// orderSteps builds, sends, executes and loses orders of process p.
func (m *moveModel) orderSteps(s state, p int, next func(string, state)) {
	q := s.procs[p]
	if q.order.on {
		m.orderProgress(s, p, next)
		return
	}
	fence, left, held := q.lease.Held(at(s.now))
	if !held || !s.left.orders {
		return
	}
	rest := int8(left / time.Second)
	if s.left.target == 1 && !m.mayOrder(q, s.now, rest) {
		return
	}
	t := s
	until := min(m.b.timeout, rest)
	if m.g.noOrderMargin {
		until = m.b.timeout
	}
	t.procs[p].order = order{on: true, target: s.left.target, fence: fence, until: s.now + until}
	next(fmt.Sprintf("%s builds an order for target %d", name(p), s.left.target), t)
}

// mayOrder is the rule for the target that ignores fencing numbers.
func (m *moveModel) mayOrder(q process, now, rest int8) bool {
	if !m.g.noOrderMargin && rest < m.b.timeout {
		return false
	}
	fence, _, _ := q.lease.Held(at(now))
	return m.g.noTakeoverWait || fence <= 1 || now-q.since >= m.b.timeout
}

func (m *moveModel) orderProgress(s state, p int, next func(string, state)) {
	o := s.procs[p].order
	if !o.sent {
		if s.now < o.until || m.g.noSendDeadline {
			t := s
			t.procs[p].order.sent = true
			t.procs[p].order.until = s.now + m.b.timeout
			next(name(p)+" sends the order", t)
		}
		return
	}
	checks := o.target == 0 && !m.g.noFenceCheck
	// An order to a target that checks may arrive at any time.
	if o.ended || (o.target == 1 && s.now >= o.until) {
		return
	}
	t := s
	t.procs[p].order.ended = true
	if o.fence < s.executed[o.target] {
		if checks {
			return
		}
		t.broken = "an order of an old holder was executed after one of a newer holder"
	}
	t.executed[o.target] = max(o.fence, s.executed[o.target])
	next(fmt.Sprintf("target %d executes %s's order", o.target, name(p)), t)
}
