package rollout

import (
	"math"
	"time"
)

// soakTime returns how long the move soaks at full share.
func (m *StateMachine) soakTime(in *Input) time.Duration {
	if in.Move.Soak > 0 {
		return in.Move.Soak
	}
	return min(m.Options.Soak, total(in.Row)/5)
}

// total is the time from the start of the attempt to its deadline.
func total(row Row) time.Duration {
	return max(row.Deadline.Sub(row.Started), 0)
}

// latestFullShare is when the share must be full for the soak to end in time.
func (m *StateMachine) latestFullShare(in *Input) time.Time {
	reserve := min(m.Options.TakeoverAllowance, total(in.Row)/10)
	return m.latestDone(in.Row).Add(-reserve - m.soakTime(in))
}

// dwell returns the longest time to stay at the present step. The time left
// until the latest full share is divided over the remaining steps by the inverse
// square root of their shares: evidence is scarce at a small share, and a fault
// costs little there.
func (m *StateMachine) dwell(in *Input, steps []uint32) time.Duration {
	left := m.latestFullShare(in).Sub(in.Since)
	sum := 0.0
	for _, share := range steps[in.Row.Step : len(steps)-1] {
		sum += stepWeight(share)
	}
	part := stepWeight(steps[in.Row.Step]) / sum
	return max(time.Duration(float64(left)*part), 0)
}

func stepWeight(share uint32) float64 {
	return 1 / math.Sqrt(float64(share))
}

// shift raises the share when the evidence permits, or when time requires it and
// nothing speaks against the new version.
func (m *StateMachine) shift(in *Input, v Verdict) []Action {
	steps := Steps(in.Move)
	if in.Row.Step >= len(steps)-1 {
		return m.enter(in, Soaking, len(steps)-1, FullShare)
	}
	spent := in.Now.Sub(in.Since)
	limit := m.dwell(in, steps)
	switch {
	case v.Suspicious:
		return wait("the evidence leans against the new version")
	case spent < min(m.Options.MinimumDwell, limit):
		return wait("the step has just begun")
	case !v.Good && spent < limit:
		return wait("there is not enough evidence for the next step")
	}
	return m.enterStep(in, steps, in.Row.Step+1)
}

func (m *StateMachine) enterStep(in *Input, steps []uint32, step int) []Action {
	if step >= len(steps)-1 {
		return m.enter(in, Soaking, len(steps)-1, FullShare)
	}
	return m.enter(in, Shifting, step, steps[step])
}

// soak records done after the soak unless something speaks against it. A takeover
// may have cost time, so the soak is cut short rather than missing the deadline.
func (m *StateMachine) soak(in *Input, v Verdict) []Action {
	end := in.Since.Add(m.soakTime(in))
	last := m.latestDone(in.Row).Add(-m.Options.WriteAllowance)
	if last.Before(end) {
		end = last
	}
	if in.Now.Before(end) {
		return wait("the new version soaks at full share")
	}
	if v.Suspicious {
		return wait("the evidence leans against the new version")
	}
	return m.enter(in, Done, in.Row.Step, FullShare)
}

// load sends orders until enough targets have loaded.
func (m *StateMachine) load(in *Input) []Action {
	steps := Steps(in.Move)
	if m.loaded(in) {
		return m.enterStep(in, steps, 0)
	}
	return append(m.orders(in), wait("targets load the new version")...)
}

// loaded reports whether shifting may start.
func (m *StateMachine) loaded(in *Input) bool {
	all := make(map[string]int)
	ready := make(map[string]int)
	for i := range in.Targets {
		t := &in.Targets[i]
		all[t.Object.DataCentre]++
		if t.Loaded {
			ready[t.Object.DataCentre]++
		}
	}
	late := in.Now.Sub(in.Since) > time.Duration(float64(total(in.Row))*m.Options.LoadFraction)
	for dataCentre, n := range all {
		missing := n - ready[dataCentre]
		if missing > 0 && (!late || float64(missing) > float64(n)*m.Options.MissingTargets) {
			return false
		}
	}
	return len(all) > 0
}

// orders returns the orders that may be sent now.
func (m *StateMachine) orders(in *Input) []Action {
	var out []Action
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.Loaded || t.LoadInFlight || in.Now.Before(t.RetryAt) || !m.mayOrder(in, t) {
			continue
		}
		deadline := in.Now.Add(min(m.Options.LoadTimeout, in.Lease.Left))
		out = append(out, LoadVersion{
			Target: t.Object, Version: in.Move.To, Fence: in.Lease.Fence,
			Timeout: m.Options.LoadTimeout, Deadline: deadline,
		})
	}
	return out
}

// mayOrder applies the rule for targets that ignore fencing numbers: the order's
// timeout must fit into the lease, and a new holder first waits until the orders
// of the one before have timed out.
func (m *StateMachine) mayOrder(in *Input, t *Target) bool {
	if t.Object.ChecksFencing {
		return true
	}
	if in.Lease.Left < m.Options.LoadTimeout {
		return false
	}
	return in.Lease.Fence <= 1 || in.Now.Sub(in.Lease.Since) >= m.Options.LoadTimeout
}
