package quarantine

import (
	"slices"
	"time"
)

// Merge applies a notice of another daemon or a row of the table service. A
// quarantined record ignores notices of the states Suspect and Pending. Targets
// whose loss was cleared recently are ignored in such notices, so that notices may
// arrive in any order. A daemon that was cut off may tell a quarantine that has ended
// meanwhile; it is ignored if all its losses were cleared here.
func (t *Tracker) Merge(now time.Time, n Notice) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	r := t.findOrCreate(now, n.Fingerprint)
	if r.state == Quarantined && n.State != Clear {
		return
	}
	switch n.State {
	case Quarantined:
		if r.cleared(n.Targets) {
			return
		}
		t.mergeEvidence(r, n.Targets, t.findLoss)
		t.quarantine(now, r)
	case Clear:
		t.mergeClear(now, r, n.Targets)
	case Suspect, Pending:
		t.mergeSuspicion(now, r, n)
	}
}

// mergeEvidence adds the losses of targets, as returned by findLoss, to a record's
// evidence. Targets that are already part of the evidence are skipped.
func (t *Tracker) mergeEvidence(r *record, targets []string, findLoss func(target string) *loss) {
	for _, target := range targets {
		if slices.Contains(r.targets(), target) {
			continue
		}
		l := findLoss(target)
		if !slices.Contains(l.inFlight, r.fingerprint) {
			l.inFlight = append(l.inFlight, r.fingerprint)
		}
		r.evidence = append(r.evidence, l)
	}
}

// mergeSuspicion applies a notice of the state Suspect or Pending.
func (t *Tracker) mergeSuspicion(now time.Time, r *record, n Notice) {
	targets := slices.DeleteFunc(slices.Clone(n.Targets), func(target string) bool {
		return r.recentlyCleared(now, target, t.options.DuplicateLossWindow)
	})
	t.mergeEvidence(r, targets, func(target string) *loss { return t.findOrAddLoss(now, target) })
	if len(r.evidence) == 0 {
		return
	}
	switch {
	case n.State == Pending && r.state != Pending && len(r.evidence) >= 2:
		// The daemon that saw the loss decides after one burst window. This
		// one waits twice as long, and returns the record to Suspect when no
		// decision arrives.
		r.pendingUntil = now.Add(2 * t.options.BurstWindow)
		r.decidesLocally = false
		t.setState(now, r, Pending)
	case n.State == Suspect && (r.state == Clear || (r.state == Pending && !r.decidesLocally)):
		t.setState(now, r, Suspect)
	}
}

// mergeClear removes the losses of targets from a record's evidence.
func (t *Tracker) mergeClear(now time.Time, r *record, targets []string) {
	r.markCleared(now, targets...)
	r.evidence = slices.DeleteFunc(r.evidence, func(l *loss) bool {
		return slices.Contains(targets, l.target)
	})
	t.lowerState(now, r)
}

// lowerState clears a record without evidence, and turns a quarantined record with
// a single loss as evidence back into a suspect.
func (t *Tracker) lowerState(now time.Time, r *record) {
	switch {
	case len(r.evidence) == 0 && r.state != Clear:
		t.clear(now, r)
	case len(r.evidence) == 1 && r.state == Quarantined:
		t.setState(now, r, Suspect)
	}
}

// DiscountLoss withdraws the last loss of a target as evidence, because its cause
// is known not to be a request, such as a VM that failed or was stopped by hand.
// A quarantine that depends on that loss ends. It returns the notices for the
// other daemons.
func (t *Tracker) DiscountLoss(now time.Time, target string) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.expire(now)
	var notices []Notice
	for _, list := range t.lists {
		for e := list.Front(); e != nil; {
			r := e.Value.(*record)
			e = e.Next()
			if slices.Contains(r.targets(), target) {
				t.mergeClear(now, r, []string{target})
				notices = append(notices, Notice{Fingerprint: r.fingerprint, State: Clear, Targets: []string{target}})
			}
		}
	}
	return notices
}
