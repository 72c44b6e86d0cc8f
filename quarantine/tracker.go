package quarantine

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"
)

// Tracker holds the suspect, pending and quarantined requests that one daemon
// knows. It is safe for concurrent use.
type Tracker struct {
	mu      sync.RWMutex
	options Options
	records map[uint64]*list.Element // by fingerprint
	// lists hold the records of each eviction class, the one changed longest ago
	// first.
	lists [classCount]*list.List
	// recentLosses are the losses of the last DuplicateLossWindow, oldest first.
	recentLosses []*loss
	pending      map[uint64]*record // by fingerprint
}

// New returns an empty tracker.
func New(options Options) *Tracker {
	t := &Tracker{options: options.withDefaults(), records: map[uint64]*list.Element{}, pending: map[uint64]*record{}}
	for i := range t.lists {
		t.lists[i] = list.New()
	}
	return t
}

// StateOf returns the state of a fingerprint as of the last call that was passed a
// time; it does not expire records itself.
func (t *Tracker) StateOf(fingerprint uint64) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.state(fingerprint)
}

func (t *Tracker) state(fingerprint uint64) State {
	e, ok := t.records[fingerprint]
	if !ok {
		return Clear
	}
	return e.Value.(*record).state
}

// Len returns the number of fingerprints that have a record.
func (t *Tracker) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records)
}

// Quarantined returns a notice for each quarantined fingerprint, the newest first, at most
// limit of them, for a daemon that may not know them.
func (t *Tracker) Quarantined(limit int) []Notice {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var notices []Notice
	for e := t.lists[classQuarantined].Back(); e != nil && len(notices) < limit; e = e.Prev() {
		r := e.Value.(*record)
		notices = append(notices, Notice{Fingerprint: r.fingerprint, State: Quarantined, Targets: r.targets()})
	}
	return notices
}

// TargetLost records that a target was lost while the given fingerprints were
// in flight on it, and returns the notices for the other daemons.
func (t *Tracker) TargetLost(now time.Time, target string, inFlight []uint64) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	notices := t.tick(now)
	l := t.findOrAddLoss(now, target)
	added := t.addInFlight(l, inFlight)
	if l.explained {
		return notices
	}
	notices = append(notices, t.attributeLoss(now, l, added)...)
	return append(notices, t.discountBurst(now)...)
}

// RequestFinished records that a request ran to its end, which clears a suspect or
// pending request. It returns the notices for the other daemons.
func (t *Tracker) RequestFinished(now time.Time, fingerprint uint64) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(fingerprint)
	if r == nil {
		return nil
	}
	r.explainedLosses = nil
	if r.state != Suspect && r.state != Pending {
		return nil
	}
	return []Notice{t.clear(now, r)}
}

// Tick resolves pending fingerprints whose wait is over, removes expired records,
// and returns the notices for the other daemons. It must be called at least every
// 250 ms, so that a quarantine reaches all daemons within 2 s.
func (t *Tracker) Tick(now time.Time) []Notice {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.tick(now)
}

func (t *Tracker) tick(now time.Time) []Notice {
	t.expire(now)
	var due []*record
	for _, r := range t.pending {
		if !now.Before(r.pendingUntil) {
			due = append(due, r)
		}
	}
	// The record whose wait ended first is resolved first: the order determines
	// which of two pending records explains a loss that they share.
	slices.SortFunc(due, func(x, y *record) int {
		return cmp.Or(x.pendingUntil.Compare(y.pendingUntil), cmp.Compare(x.fingerprint, y.fingerprint))
	})
	var notices []Notice
	for _, r := range due {
		notices = append(notices, t.resolvePending(now, r)...)
	}
	return notices
}

// addInFlight adds fingerprints to a loss and returns those that are new to it. The
// loss is explained when one of the new ones is quarantined.
func (t *Tracker) addInFlight(l *loss, inFlight []uint64) []uint64 {
	var added []uint64
	for _, fp := range inFlight {
		if slices.Contains(l.inFlight, fp) {
			continue
		}
		l.inFlight = append(l.inFlight, fp)
		added = append(added, fp)
		if t.state(fp) == Quarantined {
			l.explained = true
		}
	}
	return added
}

// attributeLoss decides which of the requests in flight a loss counts against: the
// only prior suspect, which becomes pending, or else all of them.
func (t *Tracker) attributeLoss(now time.Time, l *loss, added []uint64) []Notice {
	var others []uint64
	for _, fp := range added {
		if s := t.state(fp); s == Suspect || s == Pending {
			l.priorSuspects = append(l.priorSuspects, fp)
		} else {
			others = append(others, fp)
		}
	}
	switch len(l.priorSuspects) {
	case 0:
		return t.addSuspects(now, l, others)
	case 1:
		ambiguous := t.recordExplainedLoss(now, l, others)
		// The suspect's record may have been evicted.
		if r := t.find(l.priorSuspects[0]); r != nil && !ambiguous {
			// The only suspect explains the loss while it is pending.
			return t.setPending(now, r, l)
		}
	}
	// It is unknown which request caused the loss: all of them become or stay
	// suspects.
	var notices []Notice
	for _, fp := range l.priorSuspects {
		if r := t.find(fp); r != nil {
			notices = append(notices, t.cancelPending(r, l)...)
		}
	}
	return append(notices, t.addSuspects(now, l, l.inFlight)...)
}

// recordExplainedLoss adds a loss to the explained losses of the requests that were
// in flight beside its only suspect. It reports whether one of these requests had
// an explained loss before: such a request may be the one that crashes targets,
// and the suspects not the cause.
func (t *Tracker) recordExplainedLoss(now time.Time, l *loss, others []uint64) bool {
	ambiguous := false
	for _, fp := range others {
		r := t.findOrCreate(now, fp)
		if r.state == Clear && len(r.explainedLosses) > 0 {
			ambiguous = true
		}
		r.addExplainedLoss(l)
	}
	return ambiguous
}

// addSuspects counts a loss against fingerprints and makes the clear ones suspects.
// A loss in a burst counts only against requests that were in flight in a
// discounted burst before.
func (t *Tracker) addSuspects(now time.Time, l *loss, fingerprints []uint64) []Notice {
	var notices []Notice
	for _, fp := range fingerprints {
		r := t.findOrCreate(now, fp)
		if r.state == Quarantined || slices.Contains(r.evidence, l) || (l.inBurst && !r.burstDiscounted) {
			continue
		}
		r.evidence = append(r.evidence, l)
		if r.state == Clear {
			t.setState(now, r, Suspect)
		}
		notices = append(notices, Notice{Fingerprint: fp, State: r.state, Targets: r.targets()})
	}
	return notices
}

// setPending keeps the only suspect of a lost target from running for one burst
// window, after which resolvePending decides about it.
func (t *Tracker) setPending(now time.Time, r *record, l *loss) []Notice {
	if !slices.Contains(r.evidence, l) {
		r.evidence = append(r.evidence, l)
	}
	r.decidesLocally = true
	r.pendingLoss = l
	if r.state != Pending {
		r.pendingUntil = now.Add(t.options.BurstWindow)
		t.setState(now, r, Pending)
	}
	return []Notice{{Fingerprint: r.fingerprint, State: Pending, Targets: r.targets()}}
}

// cancelPending makes a record a suspect again if it is pending because of l, which
// turned out to have other suspects too.
func (t *Tracker) cancelPending(r *record, l *loss) []Notice {
	if r.state != Pending || r.pendingLoss != l {
		return nil
	}
	t.setState(r.changedAt, r, Suspect)
	return []Notice{{Fingerprint: r.fingerprint, State: Suspect, Targets: r.targets()}}
}

// resolvePending quarantines a pending record with at least two losses as evidence,
// if this daemon saw the second one. Any other pending record becomes a suspect
// again.
func (t *Tracker) resolvePending(now time.Time, r *record) []Notice {
	if r.state != Pending {
		return nil
	}
	if r.decidesLocally && len(r.evidence) >= 2 {
		return t.quarantine(now, r)
	}
	t.setState(now, r, Suspect)
	notices := []Notice{{Fingerprint: r.fingerprint, State: Suspect, Targets: r.targets()}}
	if l := r.pendingLoss; r.decidesLocally && !l.inBurst && slices.Contains(r.evidence, l) {
		// The record lost its earlier evidence, so it no longer explains this
		// loss for the other requests in flight.
		notices = append(notices, t.addSuspects(now, l, l.inFlight)...)
	}
	return notices
}

// quarantine sets a record to Quarantined and removes the losses that it explains
// from the evidence against other requests.
func (t *Tracker) quarantine(now time.Time, r *record) []Notice {
	t.setState(now, r, Quarantined)
	for _, l := range r.explainedLosses {
		if !slices.Contains(r.evidence, l) {
			r.evidence = append(r.evidence, l)
		}
	}
	notices := []Notice{{Fingerprint: r.fingerprint, State: Quarantined, Targets: r.targets()}}
	for _, l := range r.evidence {
		l.explained = true
		l.causes = append(l.causes, r.fingerprint)
		notices = append(notices, t.removeEvidence(now, l, func(other *record) bool {
			other.addExplainedLoss(l)
			return true
		})...)
	}
	return append(notices, t.clearExplained(now, r)...)
}

// clearExplained clears quarantined records that share a loss with the newly
// quarantined one, if other quarantined requests explain all of their losses.
func (t *Tracker) clearExplained(now time.Time, quarantined *record) []Notice {
	var notices []Notice
	for _, l := range quarantined.evidence {
		for _, fp := range l.inFlight {
			r := t.find(fp)
			if r != nil && r != quarantined && r.state == Quarantined && r.explainedByOthers() {
				for _, attributed := range r.evidence {
					attributed.causes = slices.DeleteFunc(attributed.causes, func(c uint64) bool { return c == fp })
				}
				notices = append(notices, t.clear(now, r))
			}
		}
	}
	return notices
}

// removeEvidence removes a loss from the evidence against those records for which
// applies returns true. Quarantined records keep it.
func (t *Tracker) removeEvidence(now time.Time, l *loss, applies func(*record) bool) []Notice {
	var notices []Notice
	for _, fp := range l.inFlight {
		r := t.find(fp)
		if r == nil || r.state == Quarantined || !slices.Contains(r.evidence, l) || !applies(r) {
			continue
		}
		if len(r.evidence) == 1 {
			notices = append(notices, t.clear(now, r))
			continue
		}
		r.evidence = slices.DeleteFunc(r.evidence, func(other *loss) bool { return other == l })
		r.markCleared(now, l.target)
		notices = append(notices, Notice{Fingerprint: fp, State: Clear, Targets: []string{l.target}})
	}
	return notices
}

// discountBurst withdraws the losses of the last burst window as evidence when
// there are so many of them that a common cause is likely.
func (t *Tracker) discountBurst(now time.Time) []Notice {
	start := slices.IndexFunc(t.recentLosses, func(l *loss) bool { return now.Sub(l.lostAt) <= t.options.BurstWindow })
	if start < 0 {
		return nil
	}
	inWindow := t.recentLosses[start:]
	unexplained := 0
	for _, l := range inWindow {
		if !l.explained && len(l.priorSuspects) == 0 {
			unexplained++
		}
	}
	if unexplained < t.options.BurstTargets {
		return nil
	}
	var notices []Notice
	for _, l := range inWindow {
		if l.inBurst {
			continue
		}
		l.inBurst = true
		// A burst never quarantines a request, and only requests that were in
		// flight in an earlier burst stay suspects because of it.
		notices = append(notices, t.removeEvidence(now, l, func(r *record) bool { return !r.burstDiscounted || r.state == Pending })...)
		for _, fp := range l.inFlight {
			if r := t.findOrCreate(now, fp); r.state != Quarantined {
				r.burstDiscounted = true
			}
		}
	}
	return notices
}

// clear removes all evidence against a record, sets it to Clear and returns the
// notice for the other daemons.
func (t *Tracker) clear(now time.Time, r *record) Notice {
	n := Notice{Fingerprint: r.fingerprint, State: Clear, Targets: r.targets()}
	r.markCleared(now, n.Targets...)
	r.evidence = nil
	t.setState(now, r, Clear)
	return n
}
