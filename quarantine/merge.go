package quarantine

import (
	"slices"
	"time"
)

// Merge takes over a notice of another daemon or a row of the store. A
// conviction outweighs every suspicion. A suspicion is dropped when its targets
// were cleared before, so that notices may arrive in any order.
func (b *Tracker) Merge(now time.Time, n Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	r := b.need(now, n.Fingerprint)
	if r.state == Quarantined && n.State != Clear {
		return
	}
	switch n.State {
	case Quarantined:
		b.mergeEvidence(r, n.Targets, b.knownLoss)
		b.convict(now, r)
	case Clear:
		b.mergeClear(now, r, n.Targets)
	case Suspect, Pending:
		b.mergeSuspicion(now, r, n)
	}
}

// mergeEvidence adds the losses of targets to a record's evidence.
func (b *Tracker) mergeEvidence(r *record, targets []string, lossOf func(target string) *loss) {
	for _, target := range targets {
		if slices.Contains(r.targets(), target) {
			continue
		}
		l := lossOf(target)
		if !slices.Contains(l.members, r.fingerprint) {
			l.members = append(l.members, r.fingerprint)
		}
		r.evidence = append(r.evidence, l)
	}
}

func (b *Tracker) mergeSuspicion(now time.Time, r *record, n Notice) {
	targets := slices.DeleteFunc(slices.Clone(n.Targets), func(target string) bool {
		return r.forgiven(now, target, b.options.DuplicateLossWindow)
	})
	b.mergeEvidence(r, targets, func(target string) *loss { return b.lossOf(now, target) })
	if len(r.evidence) == 0 {
		return
	}
	switch {
	case n.State == Pending && r.state != Pending && len(r.evidence) >= 2:
		// The book that saw the loss decides; this one waits longer than that
		// and returns to Suspect when no decision arrives.
		r.heldUntil = now.Add(2 * b.options.BurstWindow)
		r.judge = false
		b.set(now, r, Pending)
	case n.State == Suspect && (r.state == Clear || (r.state == Pending && !r.judge)):
		b.set(now, r, Suspect)
	}
}

func (b *Tracker) mergeClear(now time.Time, r *record, targets []string) {
	r.forgive(now, targets...)
	r.evidence = slices.DeleteFunc(r.evidence, func(l *loss) bool {
		return slices.Contains(targets, l.target)
	})
	b.settle(now, r)
}

// settle gives a record the state that its remaining evidence supports.
func (b *Tracker) settle(now time.Time, r *record) {
	switch {
	case len(r.evidence) == 0 && r.state != Clear:
		b.clear(now, r)
	case len(r.evidence) == 1 && r.state == Quarantined:
		b.set(now, r, Suspect)
	}
}

// DiscountLoss withdraws the last loss of a target as evidence, because its cause
// is known to be another one, such as a VM that failed or was stopped by hand.
// A conviction that rests on that loss ends.
func (b *Tracker) DiscountLoss(now time.Time, target string) []Notice {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.expire(now)
	var out []Notice
	for _, list := range b.lists {
		for e := list.Front(); e != nil; {
			r := e.Value.(*record)
			e = e.Next()
			if slices.Contains(r.targets(), target) {
				b.mergeClear(now, r, []string{target})
				out = append(out, Notice{Fingerprint: r.fingerprint, State: Clear, Targets: []string{target}})
			}
		}
	}
	return out
}
