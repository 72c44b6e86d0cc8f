// Package naiverollout is a simple policy for moves, the baseline with which the
// policy of package rollout is compared: fixed steps on a timer, and one threshold
// for the error rate of the new version.
package naiverollout

import (
	"time"

	"github.com/marjoramflow/marjoramflow/rollout"
)

const (
	stepDuration  = 30 * time.Second
	maxErrorShare = 0.05
	minRequests   = 20
	waitInterval  = 250 * time.Millisecond
	loadTimeout   = 3 * time.Second
)

// Policy implements rollout.Policy. It has no state and is safe for concurrent use.
type Policy struct{}

// Next implements rollout.Policy. It reverses the move on a cut, at the deadline and
// when the new version exceeds the error threshold; else it loads the targets and
// raises the share on a timer.
func (Policy) Next(in *rollout.Input) []rollout.Action {
	row := in.Row
	switch {
	case !in.Lease.Held:
		return []rollout.Action{rollout.Wait{For: waitInterval}}
	case in.RowVersion == 0 || (row.Phase == rollout.Reversed && in.Move.Attempt > row.Attempt):
		return writeRow(in, rollout.Row{
			Move: in.Move.Name, Service: in.Move.Service, From: in.Move.From, To: in.Move.To,
			Attempt: in.Move.Attempt, Phase: rollout.Loading, Deadline: in.Move.Deadline, Started: in.Now,
		})
	case row.Phase.Final():
		return []rollout.Action{rollout.Wait{For: waitInterval}}
	case in.CutReason != "":
		return reverseMove(in, in.CutReason)
	case !in.Now.Before(row.Deadline):
		return reverseMove(in, "deadline")
	case exceedsErrorThreshold(in):
		return reverseMove(in, "error threshold")
	case row.Phase == rollout.Loading:
		return loadTargets(in)
	}
	return advanceWhenDue(in)
}

// exceedsErrorThreshold reports whether the new version has at least minRequests
// requests and the share of its errors exceeds maxErrorShare.
func exceedsErrorThreshold(in *rollout.Input) bool {
	if in.Evidence == nil {
		return false
	}
	counts := in.Evidence.Totals(in.Move.To)
	return counts.Requests >= minRequests && counts.Errors > maxErrorShare*counts.Requests
}

// loadTargets commands the targets to load the new version, and starts the first
// step once all have loaded it.
func loadTargets(in *rollout.Input) []rollout.Action {
	var out []rollout.Action
	allLoaded := true
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.Loaded {
			continue
		}
		allLoaded = false
		if !t.LoadInFlight && !in.Now.Before(t.RetryAt) {
			out = append(out, rollout.LoadVersion{
				Target: t.Object, Version: in.Move.To, Fence: in.Lease.Fence,
				Timeout: loadTimeout, Deadline: in.Now.Add(loadTimeout),
			})
		}
	}
	if allLoaded {
		return startStep(in, 0)
	}
	return append(out, rollout.Wait{For: waitInterval})
}

// advanceWhenDue starts the next step when the current one has lasted
// stepDuration.
func advanceWhenDue(in *rollout.Input) []rollout.Action {
	if in.Now.Sub(in.StepSince) < stepDuration {
		return []rollout.Action{rollout.Wait{For: waitInterval}}
	}
	return startStep(in, in.Row.Step+1)
}

// startStep writes the share of a step, or Done after the last step.
func startStep(in *rollout.Input, step int) []rollout.Action {
	row := in.Row
	steps := rollout.Steps(in.Move)
	if step >= len(steps) {
		row.Phase = rollout.Done
		return writeRow(in, row)
	}
	row.Phase, row.Step, row.Share = rollout.Shifting, step, steps[step]
	return writeRow(in, row)
}

func reverseMove(in *rollout.Input, reason string) []rollout.Action {
	row := in.Row
	row.Phase, row.Share, row.Reason = rollout.Reversed, 0, reason
	cut := rollout.CutShare{Move: row.Move, Attempt: row.Attempt, Reason: reason}
	return append([]rollout.Action{cut}, writeRow(in, row)...)
}

func writeRow(in *rollout.Input, row rollout.Row) []rollout.Action {
	row.Holder, row.Fence = in.Lease.Holder, in.Lease.Fence
	return []rollout.Action{rollout.WriteRow{Row: row, IfVersion: in.RowVersion}}
}
