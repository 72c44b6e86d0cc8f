// Package naiverollout is a simple policy for moves, against which the one of
// package rollout is compared: fixed steps on a timer, and one threshold for the
// errors of the new version.
package naiverollout

import (
	"time"

	"github.com/marjoramflow/marjoramflow/rollout"
)

const (
	stepTime  = 30 * time.Second
	threshold = 0.05
	minimum   = 20
	pause     = 250 * time.Millisecond
	timeout   = 3 * time.Second
)

// Policy implements rollout.Policy.
type Policy struct{}

// Next implements rollout.Policy.
func (Policy) Next(in *rollout.Input) []rollout.Action {
	row := in.Row
	switch {
	case !in.Lease.Held:
		return []rollout.Action{rollout.Wait{For: pause}}
	case in.RowVersion == 0 || (row.Phase == rollout.Reversed && in.Move.Attempt > row.Attempt):
		return write(in, rollout.Row{
			Move: in.Move.Name, Service: in.Move.Service, From: in.Move.From, To: in.Move.To,
			Attempt: in.Move.Attempt, Phase: rollout.Loading, Deadline: in.Move.Deadline, Started: in.Now,
		})
	case row.Phase.Final():
		return []rollout.Action{rollout.Wait{For: pause}}
	case in.CutReason != "":
		return reverse(in, in.CutReason)
	case !in.Now.Before(row.Deadline):
		return reverse(in, "deadline")
	case failing(in):
		return reverse(in, "error threshold")
	case row.Phase == rollout.Loading:
		return load(in)
	}
	return step(in)
}

// failing compares all errors of the new version with the threshold.
func failing(in *rollout.Input) bool {
	if in.Evidence == nil {
		return false
	}
	c := in.Evidence.Totals(in.Move.To)
	return c.Requests >= minimum && c.Errors > threshold*c.Requests
}

func load(in *rollout.Input) []rollout.Action {
	var out []rollout.Action
	loaded := true
	for i := range in.Targets {
		t := &in.Targets[i]
		if t.Loaded {
			continue
		}
		loaded = false
		if !t.LoadInFlight && !in.Now.Before(t.RetryAt) {
			out = append(out, rollout.LoadVersion{
				Target: t.Object, Version: in.Move.To, Fence: in.Lease.Fence,
				Timeout: timeout, Deadline: in.Now.Add(timeout),
			})
		}
	}
	if loaded {
		return raise(in, 0)
	}
	return append(out, rollout.Wait{For: pause})
}

func step(in *rollout.Input) []rollout.Action {
	if in.Now.Sub(in.StepSince) < stepTime {
		return []rollout.Action{rollout.Wait{For: pause}}
	}
	return raise(in, in.Row.Step+1)
}

func raise(in *rollout.Input, n int) []rollout.Action {
	row := in.Row
	steps := rollout.Steps(in.Move)
	if n >= len(steps) {
		row.Phase = rollout.Done
		return write(in, row)
	}
	row.Phase, row.Step, row.Share = rollout.Shifting, n, steps[n]
	return write(in, row)
}

func reverse(in *rollout.Input, reason string) []rollout.Action {
	row := in.Row
	row.Phase, row.Share, row.Reason = rollout.Reversed, 0, reason
	cut := rollout.CutShare{Move: row.Move, Attempt: row.Attempt, Reason: reason}
	return append([]rollout.Action{cut}, write(in, row)...)
}

func write(in *rollout.Input, row rollout.Row) []rollout.Action {
	row.Holder, row.Fence = in.Lease.Holder, in.Lease.Fence
	return []rollout.Action{rollout.WriteRow{Row: row, IfVersion: in.RowVersion}}
}
