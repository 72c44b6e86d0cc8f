package blocklist

import (
	"slices"
	"time"
)

// RecordLoss records the loss of a target, as seen here or told by another daemon. It
// reports whether a blocked set explains the loss. The notices are for the other daemons:
// sets whose trial failed, or, when the loss was seen here and completes the evidence
// against a part, the accused set.
func (t *Tracker) RecordLoss(now time.Time, report Loss, seenHere bool) (notices []Block, explained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.findOrAddLoss(now, report.Target)
	for _, attempt := range report.Attempts[:min(len(report.Attempts), MaxAttempts)] {
		attempt.Parts = attempt.Parts[:min(len(attempt.Parts), MaxAttemptParts)]
		if len(l.attempts) < MaxAttempts {
			l.attempts = append(l.attempts, attempt)
		}
	}
	if notices = t.explain(l); l.explained {
		return notices, true
	}
	for _, attempt := range l.attempts {
		for _, part := range attempt.Parts {
			t.addEvidence(now, part, lostAttempt{l, attempt})
		}
	}
	if !seenHere {
		return nil, false
	}
	if accused := t.accuseMostLikely(now, l); accused != nil {
		notices = append(notices, *accused)
	}
	return notices, false
}

// findOrAddLoss returns the recent loss of a target, and adds one when there is none.
func (t *Tracker) findOrAddLoss(now time.Time, target string) *loss {
	t.recentLosses = slices.DeleteFunc(t.recentLosses, func(l *loss) bool { return now.Sub(l.at) > t.options.DuplicateLossWindow })
	for _, l := range t.recentLosses {
		if l.target == target {
			return l
		}
	}
	l := &loss{target: target, at: now}
	t.recentLosses = append(t.recentLosses, l)
	return l
}

// explain marks a loss as explained if a blocked set was among its attempts. It returns the
// sets of which a trial failed with this loss.
func (t *Tracker) explain(l *loss) []Block {
	var failed []Block
	for _, b := range t.blocks {
		if b.State != Blocked || !l.involves(b.Parts) {
			continue
		}
		l.explained = true
		b.LastLoss = maxTime(b.LastLoss, l.at)
		if !b.trialUntil.IsZero() {
			b.trialUntil = time.Time{}
			b.FailedTrials++
			failed = append(failed, b.Block)
		}
	}
	if l.explained {
		t.dropEvidence(l)
	}
	return failed
}

// involves reports whether an attempt with all parts of a set was lost with the target.
func (l *loss) involves(set []uint64) bool {
	return slices.ContainsFunc(l.attempts, func(a Attempt) bool { return containsAll(a.Parts, set) })
}

// addEvidence records a lost attempt against one part.
func (t *Tracker) addEvidence(now time.Time, part uint64, lost lostAttempt) {
	if at, found := t.answered.Peek(part); found && !at.Before(lost.loss.at) {
		return
	}
	r, found := t.records.Get(part)
	if !found {
		r = &record{}
		t.records.Add(part, r)
	}
	known := func(e lostAttempt) bool {
		return e.loss == lost.loss && e.attempt.Fingerprint == lost.attempt.Fingerprint
	}
	if slices.ContainsFunc(r.evidence, known) {
		return
	}
	r.evidence = slices.DeleteFunc(r.evidence, func(e lostAttempt) bool { return now.Sub(e.loss.at) > t.options.Expiry })
	if len(r.evidence) >= maxEvidence {
		r.evidence = slices.Delete(r.evidence, 0, 1)
	}
	r.evidence = append(r.evidence, lost)
	if _, isReady := t.ready[part]; !isReady && t.suffices(part, r) {
		t.ready[part] = now
	}
}

// suffices reports whether the evidence against a part is enough to accuse it.
func (t *Tracker) suffices(part uint64, r *record) bool {
	losses, requests, windows := t.count(r.evidence)
	if losses < t.options.MinLosses || requests < t.options.MinLosses {
		return false
	}
	if t.answered.Contains(part) {
		return windows >= t.options.MinLosses
	}
	return windows > 1
}

// count returns the numbers of different losses and requests in the evidence, and of burst
// windows into which the losses fall.
func (t *Tracker) count(evidence []lostAttempt) (losses, requests, windows int) {
	var windowStart time.Time
	seenLosses := make(map[*loss]bool, len(evidence))
	seenRequests := make(map[uint64]bool, len(evidence))
	for _, e := range evidence {
		seenLosses[e.loss] = true
		seenRequests[e.attempt.Fingerprint] = true
		if windows == 0 || e.loss.at.Sub(windowStart) > t.options.BurstWindow {
			windows++
			windowStart = e.loss.at
		}
	}
	return len(seenLosses), len(seenRequests), windows
}

// dropEvidence removes a loss from the evidence against all parts.
func (t *Tracker) dropEvidence(l *loss) {
	for _, attempt := range l.attempts {
		for _, part := range attempt.Parts {
			t.filterEvidence(part, func(e lostAttempt) bool { return e.loss != l })
		}
	}
}

// filterEvidence keeps the evidence against a part for which keep returns true.
func (t *Tracker) filterEvidence(part uint64, keep func(lostAttempt) bool) {
	r, found := t.records.Peek(part)
	if !found {
		return
	}
	r.evidence = slices.DeleteFunc(r.evidence, func(e lostAttempt) bool { return !keep(e) })
	switch {
	case len(r.evidence) == 0:
		t.records.Remove(part)
	case !t.suffices(part, r):
		delete(t.ready, part)
	}
}

// Answered records that a target answered a request with these parts. When that lifts or
// narrows an accused or blocked set, it returns the notice for the other daemons.
func (t *Tracker) Answered(now time.Time, parts []uint64) (Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.noteAnswered(now, parts)
	return Answer{Parts: changed, At: now}, len(changed) > 0
}

// MergeAnswer applies a notice of another daemon, and returns the parts that it took out of
// accused or blocked sets.
func (t *Tracker) MergeAnswer(b Answer) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.noteAnswered(b.At, b.Parts)
}

// noteAnswered removes the evidence that is older than an answer, and takes the parts out of
// the sets that this evidence accuses. It returns the parts that it took out.
func (t *Tracker) noteAnswered(at time.Time, parts []uint64) []uint64 {
	var changed []uint64
	for _, part := range parts {
		last, _ := t.answered.Get(part)
		t.answered.Add(part, maxTime(last, at))
		t.filterEvidence(part, func(e lostAttempt) bool { return e.loss.at.After(at) })
		if t.takeOut(at, part) {
			changed = append(changed, part)
		}
	}
	return changed
}

// takeOut removes a part that was answered at a time from the sets whose evidence the answer
// contradicts.
func (t *Tracker) takeOut(at time.Time, part uint64) bool {
	changed := false
	for _, b := range t.blocks {
		if i := slices.Index(b.Parts, part); i >= 0 && b.contradictedBy(at) {
			b.Parts = slices.Delete(slices.Clone(b.Parts), i, i+1)
			changed = true
		}
	}
	if changed {
		// Two sets may have become the same one.
		seen := make(map[string]bool, len(t.blocks))
		t.removeBlocks(func(b *block) bool {
			key := Key(b.Parts)
			redundant := len(b.Parts) == 0 || seen[key]
			seen[key] = true
			return redundant
		})
	}
	return changed
}

// contradictedBy reports whether an answer at a time shows that a part of the set does not
// crash targets: it came after the first loss, or before losses that may have one cause.
func (b *Block) contradictedBy(at time.Time) bool {
	return at.After(b.FirstLoss) || !b.Recurring
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
