package owners

import (
	"strconv"
	"time"

	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/outlier"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

const (
	// judgeInterval is how often the evidence about targets is judged.
	judgeInterval = time.Second
	// trialPrompt and trialOutput are the size of a trial request in tokens.
	trialPrompt = 1
	trialOutput = 1
)

// EjectionProbe sends a small request to an ejected target and reports whether it was
// answered. It runs in its own goroutine.
type EjectionProbe func(target *object.Target) error

// observeTarget passes what an attempt showed to the detector. Attempts that the
// caller or the scheduler ended show nothing.
func (d *Manager) observeTarget(now time.Time, s *state, m *peerpb.Release) {
	switch m.Outcome {
	case peerpb.ReleaseOutcome_RELEASE_CANCELLED, peerpb.ReleaseOutcome_RELEASE_PREEMPTED, peerpb.ReleaseOutcome_RELEASE_TARGET_REPLACED:
		return
	}
	t := d.target(m.Service, m.Target)
	if t == nil {
		return
	}
	sample := outlier.Sample{
		Failed:   m.Outcome != peerpb.ReleaseOutcome_RELEASE_DONE,
		Observed: time.Duration(m.DurationUs) * time.Microsecond,
	}
	sample.Predicted = d.model.Predict(estimate.Job{
		Version:       m.Version,
		Hardware:      t.Hardware,
		PrefillTokens: int(m.PromptTokens) - int(m.CachedTokens),
		OutputTokens:  int(m.OutputTokens),
		Batch:         max(1, len(s.group.InFlight(m.Target))),
		Plain:         m.PromptTokens == 0,
	}).Finish
	d.detector.Observe(now, m.Target, sample)
}

// target returns a target of the own data centre.
func (d *Manager) target(service, name string) *object.Target {
	if d.local == nil {
		return nil
	}
	for _, g := range d.local.Groups(service) {
		for _, t := range g.Targets {
			if t.Name == name {
				return t
			}
		}
	}
	return nil
}

// setDetectorTargets tells the detector the targets of the owned groups. Targets
// of one group replace each other.
func (d *Manager) setDetectorTargets(now time.Time) {
	var targets []outlier.Target
	for k := range d.groups {
		if k.number >= grants.FallbackGroup {
			continue
		}
		for _, t := range d.targetsOf(k) {
			targets = append(targets, outlier.Target{
				Name:           t.Name,
				Pool:           k.service + "/" + strconv.Itoa(k.number),
				Hardware:       t.Hardware,
				IgnoreSlowness: t.Hardware == t.Name,
			})
		}
	}
	d.detector.SetTargets(now, targets)
}

// judgeTargets ejects and readmits targets, and starts trials.
func (d *Manager) judgeTargets(now time.Time) {
	if now.Sub(d.judged) < judgeInterval {
		return
	}
	d.judged = now
	d.applyChanges(now, d.detector.Tick(now))
	for _, name := range d.detector.Probes(now) {
		d.startTrial(name)
	}
}

func (d *Manager) startTrial(name string) {
	var found *object.Target
	for k := range d.groups {
		if t := d.target(k.service, name); t != nil {
			found = t
		}
	}
	if found == nil || len(found.Versions) == 0 {
		return
	}
	job := estimate.Job{Version: found.Versions[0], Hardware: found.Hardware, PrefillTokens: trialPrompt, OutputTokens: trialOutput, Batch: 1}
	predicted := d.model.Predict(job).Finish
	go func() {
		started := time.Now()
		err := d.trial(found)
		sample := outlier.Sample{Failed: err != nil, Observed: time.Since(started), Predicted: predicted}
		d.events.TryPush(func(now time.Time) {
			d.applyChanges(now, d.detector.ProbeDone(now, name, sample))
		})
	}()
}

func (d *Manager) applyChanges(now time.Time, changes []outlier.Change) {
	for _, c := range changes {
		if c.Ejected {
			d.logger.Emit(eventlog.TargetEjected, eventlog.Fields{"target": c.Target, "reason": string(c.Reason)})
		} else {
			d.logger.Emit(eventlog.TargetReadmitted, eventlog.Fields{"target": c.Target})
		}
		d.applyState(now, c.Target)
	}
}

// applyState gives the groups the state of a target that follows from probes and
// ejection.
func (d *Manager) applyState(now time.Time, target string) {
	for k, s := range d.groups {
		if t := d.target(k.service, target); t != nil {
			d.send(k, s, s.group.SetTargetState(now, target, d.stateOf(t)))
		}
	}
}

// combined is the state of a target from its probes and its ejection.
func (d *Manager) combined(target string) owner.TargetState {
	state := d.states[target]
	if state == owner.TargetUp && d.detector.Ejected(target) {
		return owner.TargetEjected
	}
	return state
}
