package rollout

import (
	"math"
	"time"
)

// soakTime returns how long the move stays at full share before it is done.
func (m *StateMachine) soakTime(in *Input) time.Duration {
	if in.Move.Soak > 0 {
		return in.Move.Soak
	}
	return min(m.Options.Soak, moveTime(in.Row)/5)
}

// moveTime returns the time from the start of the attempt to its deadline.
func moveTime(row Row) time.Duration {
	return max(row.Deadline.Sub(row.Started), 0)
}

// latestFullShare returns the latest time at which the share must be full for the soak
// to end in time.
func (m *StateMachine) latestFullShare(in *Input) time.Time {
	takeoverReserve := min(m.Options.TakeoverAllowance, moveTime(in.Row)/10)
	return m.latestDoneWrite(in.Row).Add(-takeoverReserve - m.soakTime(in))
}

// maxDwell returns the longest time to stay at the present step. The time until
// latestFullShare is divided over the remaining steps in proportion to the inverse
// square root of their shares: evidence is scarce at a small share, and a fault
// harms few requests there.
func (m *StateMachine) maxDwell(in *Input, steps []uint32) time.Duration {
	left := m.latestFullShare(in).Sub(in.StepSince)
	weightSum := 0.0
	for _, share := range steps[in.Row.Step : len(steps)-1] {
		weightSum += stepWeight(share)
	}
	fraction := stepWeight(steps[in.Row.Step]) / weightSum
	return max(time.Duration(float64(left)*fraction), 0)
}

// stepWeight returns the weight of a step in the division of the time left.
func stepWeight(share uint32) float64 {
	return 1 / math.Sqrt(float64(share))
}

// raiseShare enters the next step when the evidence permits it, or when maxDwell has
// passed and the evidence is not suspicious.
func (m *StateMachine) raiseShare(in *Input, v Verdict) []Action {
	steps := Steps(in.Move)
	if in.Row.Step >= len(steps)-1 {
		return m.enterPhase(in, Soaking, len(steps)-1, FullShare)
	}
	elapsed := in.Now.Sub(in.StepSince)
	limit := m.maxDwell(in, steps)
	switch {
	case v.Suspicious:
		return waitBecause("the evidence leans against the new version")
	case elapsed < min(m.Options.MinimumDwell, limit):
		return waitUntil(in, in.StepSince.Add(min(m.Options.MinimumDwell, limit)), "the step has just begun")
	case !v.Good && elapsed < limit:
		return waitUntil(in, in.StepSince.Add(limit), "there is not enough evidence for the next step")
	}
	return m.enterStep(in, steps, in.Row.Step+1)
}

// enterStep enters a step, or the phase soaking if it is the last.
func (m *StateMachine) enterStep(in *Input, steps []uint32, step int) []Action {
	if step >= len(steps)-1 {
		return m.enterPhase(in, Soaking, len(steps)-1, FullShare)
	}
	return m.enterPhase(in, Shifting, step, steps[step])
}

// finishSoak records done after the soak unless the evidence leans against the new version: the
// old one ends with the move, so a fault cannot be undone. If a takeover has cost time, the soak
// is shortened rather than missing the deadline, but not below MinimumSoak, counted from the
// takeover: a new holder begins without evidence.
func (m *StateMachine) finishSoak(in *Input, v Verdict) []Action {
	end := in.StepSince.Add(m.soakTime(in))
	latestEnd := m.latestDoneWrite(in.Row).Add(-m.Options.WriteAllowance)
	if latestEnd.Before(end) {
		end = latestEnd
	}
	evidenceSince := in.StepSince
	if in.Lease.AcquiredAt.After(evidenceSince) {
		evidenceSince = in.Lease.AcquiredAt
	}
	if earliestEnd := evidenceSince.Add(m.Options.MinimumSoak); end.Before(earliestEnd) {
		end = earliestEnd
	}
	if in.Now.Before(end) {
		return waitUntil(in, end, "the new version soaks at full share")
	}
	if v.Suspicious || v.Leaning {
		return waitBecause("the evidence leans against the new version")
	}
	return m.enterPhase(in, Done, in.Row.Step, FullShare)
}

// loadTargets sends load commands until enough targets have loaded the new version,
// and then enters the first step.
func (m *StateMachine) loadTargets(in *Input) []Action {
	steps := Steps(in.Move)
	if m.enoughLoaded(in) {
		return m.enterStep(in, steps, 0)
	}
	return append(m.loadCommands(in), waitBecause("targets load the new version")...)
}

// enoughLoaded reports whether shifting may start: all targets have loaded or, after
// LoadFraction of the move's time, all but MissingTargets in each data centre.
func (m *StateMachine) enoughLoaded(in *Input) bool {
	all := make(map[string]int)
	ready := make(map[string]int)
	for i := range in.Targets {
		t := &in.Targets[i]
		all[t.Object.DataCentre]++
		if t.Loaded {
			ready[t.Object.DataCentre]++
		}
	}
	allowMissing := in.Now.Sub(in.StepSince) > time.Duration(float64(moveTime(in.Row))*m.Options.LoadFraction)
	for dataCentre, n := range all {
		missing := n - ready[dataCentre]
		if missing > 0 && (!allowMissing || float64(missing) > float64(n)*m.Options.MissingTargets) {
			return false
		}
	}
	return len(all) > 0
}

// loadCommands returns the load commands that may be sent now.
func (m *StateMachine) loadCommands(in *Input) []Action {
	var out []Action
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.Loaded || t.LoadInFlight || in.Now.Before(t.RetryAt) || !m.maySendLoad(in, t) {
			continue
		}
		deadline := in.Now.Add(min(m.Options.LoadTimeout, in.Lease.Remaining))
		out = append(out, LoadVersion{
			Target: t.Object, Version: in.Move.To, Fence: in.Lease.Fence,
			Timeout: m.Options.LoadTimeout, Deadline: deadline,
		})
	}
	return out
}

// maySendLoad applies the rule for targets that do not check fencing numbers: the
// command's timeout must fit into the rest of the lease, and a new holder first
// waits until the commands of its predecessor have timed out.
func (m *StateMachine) maySendLoad(in *Input, t *Target) bool {
	if t.Object.ChecksFencing {
		return true
	}
	if in.Lease.Remaining < m.Options.LoadTimeout {
		return false
	}
	return in.Lease.Fence <= 1 || in.Now.Sub(in.Lease.AcquiredAt) >= m.Options.LoadTimeout
}
