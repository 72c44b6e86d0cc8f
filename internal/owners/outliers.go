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
	// evaluationInterval is how often the evidence about targets is evaluated.
	evaluationInterval = time.Second
	// probePromptTokens and probeOutputTokens are the size of a probe request.
	probePromptTokens = 1
	probeOutputTokens = 1
)

// EjectionProbe sends a small request to an ejected target and returns an error if it
// was not answered. It is called in its own goroutine.
type EjectionProbe func(target *object.Target) error

// observeTarget passes the result of an attempt to the outlier detector. Attempts
// that were cancelled, preempted or sent to a replaced target are left out, since
// they are no evidence about the target.
func (mgr *Manager) observeTarget(now time.Time, s *groupState, m *peerpb.Release) {
	switch m.Outcome {
	case peerpb.ReleaseOutcome_RELEASE_CANCELLED, peerpb.ReleaseOutcome_RELEASE_PREEMPTED, peerpb.ReleaseOutcome_RELEASE_TARGET_REPLACED:
		return
	}
	t := mgr.findTarget(m.Service, m.Target)
	if t == nil {
		return
	}
	sample := outlier.Sample{
		Failed:   m.Outcome != peerpb.ReleaseOutcome_RELEASE_DONE,
		Observed: time.Duration(m.DurationUs) * time.Microsecond,
	}
	sample.Predicted = mgr.model.Predict(estimate.Job{
		Version:       m.Version,
		Hardware:      t.Hardware,
		PrefillTokens: int(m.PromptTokens) - int(m.CachedTokens),
		OutputTokens:  int(m.OutputTokens),
		Batch:         max(1, len(s.group.InFlight(m.Target))),
		Plain:         m.PromptTokens == 0,
	}).Finish
	mgr.detector.Observe(now, m.Target, sample)
}

// findTarget returns a target of the own data centre, or nil.
func (mgr *Manager) findTarget(service, name string) *object.Target {
	if mgr.topology == nil {
		return nil
	}
	for _, g := range mgr.topology.Groups(service) {
		for _, t := range g.Targets {
			if t.Name == name {
				return t
			}
		}
	}
	return nil
}

// setDetectorTargets sets the targets that the outlier detector watches: those of
// the owned groups. Each group is a pool, since its targets can replace each other.
func (mgr *Manager) setDetectorTargets(now time.Time) {
	var targets []outlier.Target
	for k := range mgr.groups {
		if k.number >= grants.FallbackGroup {
			continue
		}
		for _, t := range mgr.groupTargets(k) {
			// Where the hardware is unknown, it carries the name of the target.
			targets = append(targets, outlier.Target{
				Name:           t.Name,
				Pool:           k.service + "/" + strconv.Itoa(k.number),
				Hardware:       t.Hardware,
				IgnoreSlowness: t.Hardware == t.Name,
			})
		}
	}
	mgr.detector.SetTargets(now, targets)
}

// evaluateTargets ejects and readmits targets and starts ejection probes, at most
// once in evaluationInterval.
func (mgr *Manager) evaluateTargets(now time.Time) {
	if now.Sub(mgr.lastEvaluation) < evaluationInterval {
		return
	}
	mgr.lastEvaluation = now
	mgr.applyEjectionChanges(now, mgr.detector.Tick(now))
	for _, name := range mgr.detector.DueProbes(now) {
		mgr.startEjectionProbe(name)
	}
}

// startEjectionProbe probes an ejected target in a new goroutine and passes the result
// to the outlier detector.
func (mgr *Manager) startEjectionProbe(name string) {
	var found *object.Target
	for k := range mgr.groups {
		if t := mgr.findTarget(k.service, name); t != nil {
			found = t
		}
	}
	if found == nil || len(found.Versions) == 0 {
		return
	}
	job := estimate.Job{Version: found.Versions[0], Hardware: found.Hardware, PrefillTokens: probePromptTokens, OutputTokens: probeOutputTokens, Batch: 1}
	predicted := mgr.model.Predict(job).Finish
	go func() {
		started := time.Now()
		err := mgr.ejectionProbe(found)
		sample := outlier.Sample{Failed: err != nil, Observed: time.Since(started), Predicted: predicted}
		mgr.events.TryPush(func(now time.Time) {
			mgr.applyEjectionChanges(now, mgr.detector.RecordProbe(now, name, sample))
		})
	}()
}

func (mgr *Manager) applyEjectionChanges(now time.Time, changes []outlier.Change) {
	for _, c := range changes {
		if c.Ejected {
			mgr.logger.Emit(eventlog.TargetEjected, eventlog.Fields{"target": c.Target, "reason": string(c.Reason)})
		} else {
			mgr.logger.Emit(eventlog.TargetReadmitted, eventlog.Fields{"target": c.Target})
		}
		mgr.applyTargetState(now, c.Target)
	}
}

// applyTargetState updates the state of a target in all groups of its service.
func (mgr *Manager) applyTargetState(now time.Time, target string) {
	for k, s := range mgr.groups {
		if t := mgr.findTarget(k.service, target); t != nil {
			mgr.noteTargetState(now, t)
			mgr.tickColdGroup(now, k)
			mgr.sendDecisions(k, s, s.group.SetTargetState(now, target, mgr.targetState(t)))
		}
	}
}

// stateWithEjection returns the last state that was set for a target, or
// TargetEjected if the target is up but ejected.
func (mgr *Manager) stateWithEjection(target string) owner.TargetState {
	state := mgr.targetStates[target]
	if state == owner.TargetUp && mgr.detector.IsEjected(target) {
		return owner.TargetEjected
	}
	return state
}
