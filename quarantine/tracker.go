package quarantine

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"
)

// Tracker holds the suspects and convicted requests that one daemon knows. It is
// safe for concurrent use.
type Tracker struct {
	mu      sync.RWMutex
	options Options
	records map[uint64]*list.Element
	// lists hold the records of each class, oldest first.
	lists [classes]*list.List
	// recent are the losses of the last DuplicateLossWindow, oldest first.
	recent []*loss
	held   map[uint64]*record
}

// New returns an empty book.
func New(options Options) *Tracker {
	b := &Tracker{options: options.withDefaults(), records: map[uint64]*list.Element{}, held: map[uint64]*record{}}
	for i := range b.lists {
		b.lists[i] = list.New()
	}
	return b
}

// Check returns the state of a fingerprint as of the last call that took a time.
func (b *Tracker) Check(fingerprint uint64) State {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return b.state(fingerprint)
}

func (b *Tracker) state(fingerprint uint64) State {
	e, ok := b.records[fingerprint]
	if !ok {
		return Clear
	}
	return e.Value.(*record).state
}

// Len returns the number of fingerprints in the book.
func (b *Tracker) Len() int {
	b.mu.RLock()
	defer b.mu.RUnlock()
	return len(b.records)
}

// TargetLost records that a target was lost while the given fingerprints were
// in flight on it, and returns the notices for the other daemons.
func (b *Tracker) TargetLost(now time.Time, target string, inFlight []uint64) []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.tick(now)
	l := b.lossOf(now, target)
	fresh := b.addMembers(l, inFlight)
	if l.explained {
		return out
	}
	out = append(out, b.accuse(now, l, fresh)...)
	return append(out, b.excuseBurst(now)...)
}

// RequestFinished records that a request ran to its end, which clears a suspect.
func (b *Tracker) RequestFinished(now time.Time, fingerprint uint64) []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.find(fingerprint)
	if r == nil {
		return nil
	}
	r.present = nil
	if r.state != Suspect && r.state != Pending {
		return nil
	}
	return []Notice{b.clear(now, r)}
}

// Tick decides held fingerprints and drops expired ones. It is called at least
// every 250 ms, so that a conviction reaches all daemons within 2 s.
func (b *Tracker) Tick(now time.Time) []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tick(now)
}

func (b *Tracker) tick(now time.Time) []Notice {
	b.expire(now)
	var due []*record
	for _, r := range b.held {
		if !now.Before(r.heldUntil) {
			due = append(due, r)
		}
	}
	// The record that is held longest is decided first; the order decides which
	// of two held suspects explains a loss that they share.
	slices.SortFunc(due, func(x, y *record) int {
		return cmp.Or(x.heldUntil.Compare(y.heldUntil), cmp.Compare(x.fingerprint, y.fingerprint))
	})
	var out []Notice
	for _, r := range due {
		out = append(out, b.decide(now, r)...)
	}
	return out
}

// addMembers adds fingerprints to a loss and returns those that are new to it.
func (b *Tracker) addMembers(l *loss, inFlight []uint64) []uint64 {
	var fresh []uint64
	for _, fp := range inFlight {
		if slices.Contains(l.members, fp) {
			continue
		}
		l.members = append(l.members, fp)
		fresh = append(fresh, fp)
		if b.state(fp) == Quarantined {
			l.explained = true
		}
	}
	return fresh
}

// accuse adds a loss to the evidence against fingerprints that were in flight.
func (b *Tracker) accuse(now time.Time, l *loss, fresh []uint64) []Notice {
	var others []uint64
	for _, fp := range fresh {
		if s := b.state(fp); s == Suspect || s == Pending {
			l.prior = append(l.prior, fp)
		} else {
			others = append(others, fp)
		}
	}
	switch len(l.prior) {
	case 0:
		return b.suspectAll(now, l, others)
	case 1:
		ambiguous := b.ambiguous(now, l, others)
		// A full book may have dropped the suspect.
		if r := b.find(l.prior[0]); r != nil && !ambiguous {
			// The one suspect explains the loss for as long as it is held.
			return b.hold(now, r, l)
		}
	}
	// Which of the suspects did it is unknown: all of them stay suspects.
	var out []Notice
	for _, fp := range l.prior {
		if r := b.find(fp); r != nil {
			out = append(out, b.unhold(r, l)...)
		}
	}
	return append(out, b.suspectAll(now, l, l.members)...)
}

// ambiguous notes the requests that were in flight beside the only suspect, and
// reports whether one of them was beside a suspect at an earlier loss too. Such a
// request may be the one that crashes targets, and the suspects innocent.
func (b *Tracker) ambiguous(now time.Time, l *loss, others []uint64) bool {
	found := false
	for _, fp := range others {
		r := b.need(now, fp)
		if r.state == Clear && len(r.present) > 0 {
			found = true
		}
		r.addPresent(l)
	}
	return found
}

// suspectAll makes fingerprints suspects because of a loss.
func (b *Tracker) suspectAll(now time.Time, l *loss, fingerprints []uint64) []Notice {
	var out []Notice
	for _, fp := range fingerprints {
		r := b.need(now, fp)
		if r.state == Quarantined || slices.Contains(r.evidence, l) || (l.burst && !r.excused) {
			continue
		}
		r.evidence = append(r.evidence, l)
		if r.state == Clear {
			b.set(now, r, Suspect)
		}
		out = append(out, Notice{Fingerprint: fp, State: r.state, Targets: r.targets()})
	}
	return out
}

// hold keeps the only suspect of a lost target from running until it is decided.
func (b *Tracker) hold(now time.Time, r *record, l *loss) []Notice {
	if !slices.Contains(r.evidence, l) {
		r.evidence = append(r.evidence, l)
	}
	r.judge = true
	r.heldFor = l
	if r.state != Pending {
		r.heldUntil = now.Add(b.options.BurstWindow)
		b.set(now, r, Pending)
	}
	return []Notice{{Fingerprint: r.fingerprint, State: Pending, Targets: r.targets()}}
}

// unhold makes a held record a suspect again when the loss that it is held for
// had other suspects too.
func (b *Tracker) unhold(r *record, l *loss) []Notice {
	if r.state != Pending || r.heldFor != l {
		return nil
	}
	b.set(r.since, r, Suspect)
	return []Notice{{Fingerprint: r.fingerprint, State: Suspect, Targets: r.targets()}}
}

// decide ends the hold of a record.
func (b *Tracker) decide(now time.Time, r *record) []Notice {
	if r.state != Pending {
		return nil
	}
	if r.judge && len(r.evidence) >= 2 {
		return b.convict(now, r)
	}
	b.set(now, r, Suspect)
	out := []Notice{{Fingerprint: r.fingerprint, State: Suspect, Targets: r.targets()}}
	if l := r.heldFor; r.judge && !l.burst && slices.Contains(r.evidence, l) {
		// The suspicion lost its earlier evidence, so it explains nothing.
		out = append(out, b.suspectAll(now, l, l.members)...)
	}
	return out
}

// convict convicts a record and drops the losses that it explains from the
// evidence against others.
func (b *Tracker) convict(now time.Time, r *record) []Notice {
	b.set(now, r, Quarantined)
	for _, l := range r.present {
		if !slices.Contains(r.evidence, l) {
			r.evidence = append(r.evidence, l)
		}
	}
	out := []Notice{{Fingerprint: r.fingerprint, State: Quarantined, Targets: r.targets()}}
	for _, l := range r.evidence {
		l.explained = true
		l.culprits = append(l.culprits, r.fingerprint)
		out = append(out, b.withdraw(now, l, func(other *record) bool {
			other.addPresent(l)
			return true
		})...)
	}
	return append(out, b.acquit(now, r)...)
}

// acquit clears those who were convicted for losses that a later conviction and
// others explain.
func (b *Tracker) acquit(now time.Time, convicted *record) []Notice {
	var out []Notice
	for _, l := range convicted.evidence {
		for _, fp := range l.members {
			r := b.find(fp)
			if r != nil && r != convicted && r.state == Quarantined && r.explainedByOthers() {
				for _, own := range r.evidence {
					own.culprits = slices.DeleteFunc(own.culprits, func(c uint64) bool { return c == fp })
				}
				out = append(out, b.clear(now, r))
			}
		}
	}
	return out
}

// withdraw removes a loss from the evidence against the suspects that applies
// selects.
func (b *Tracker) withdraw(now time.Time, l *loss, applies func(*record) bool) []Notice {
	var out []Notice
	for _, fp := range l.members {
		r := b.find(fp)
		if r == nil || r.state == Quarantined || !slices.Contains(r.evidence, l) || !applies(r) {
			continue
		}
		if len(r.evidence) == 1 {
			out = append(out, b.clear(now, r))
			continue
		}
		r.evidence = slices.DeleteFunc(r.evidence, func(other *loss) bool { return other == l })
		r.forgive(now, l.target)
		out = append(out, Notice{Fingerprint: fp, State: Clear, Targets: []string{l.target}})
	}
	return out
}

// excuseBurst withdraws the losses of the last burst window when there are so
// many that a common cause is likely.
func (b *Tracker) excuseBurst(now time.Time) []Notice {
	start := slices.IndexFunc(b.recent, func(l *loss) bool { return now.Sub(l.at) <= b.options.BurstWindow })
	if start < 0 {
		return nil
	}
	burst := b.recent[start:]
	unexplained := 0
	for _, l := range burst {
		if !l.explained && len(l.prior) == 0 {
			unexplained++
		}
	}
	if unexplained < b.options.BurstTargets {
		return nil
	}
	var out []Notice
	for _, l := range burst {
		if l.burst {
			continue
		}
		l.burst = true
		// A burst never convicts, and makes suspects only of requests that were
		// in flight in a burst before.
		out = append(out, b.withdraw(now, l, func(r *record) bool { return !r.excused || r.state == Pending })...)
		for _, fp := range l.members {
			if r := b.need(now, fp); r.state != Quarantined {
				r.excused = true
			}
		}
	}
	return out
}

// clear ends a suspicion.
func (b *Tracker) clear(now time.Time, r *record) Notice {
	n := Notice{Fingerprint: r.fingerprint, State: Clear, Targets: r.targets()}
	r.forgive(now, n.Targets...)
	r.evidence = nil
	b.set(now, r, Clear)
	return n
}
