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
	t.unexplained = append(t.unexplained, l)
	t.unexplained = t.unexplained[max(0, len(t.unexplained)-maxUnexplained):]
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
	if answers, found := t.answered.Peek(part); found && !answers.whole.Before(lost.loss.at) {
		return
	}
	r, found := t.records.Get(part)
	if !found {
		r = &record{}
		t.records.Add(part, r)
	}
	sameLoss := 0
	for _, e := range r.evidence {
		if e.loss == lost.loss && e.attempt.Fingerprint == lost.attempt.Fingerprint {
			return
		}
		if e.loss == lost.loss && e.attempt.Begun == lost.attempt.Begun {
			sameLoss++
		}
	}
	if sameLoss >= maxSameLoss {
		return
	}
	r.evidence = slices.DeleteFunc(r.evidence, func(e lostAttempt) bool { return now.Sub(e.loss.at) > t.options.Expiry })
	if len(r.evidence) >= maxEvidence {
		r.evidence = slices.Delete(r.evidence, 0, 1)
	}
	r.evidence = append(r.evidence, lost)
	if _, isReady := t.ready[part]; !isReady && t.sufficient(part, r) != nil {
		t.ready[part] = now
	}
}

// sufficient returns the evidence against a part if it is enough to accuse it, else nil: attempts
// that were lost before their targets began to answer, since a target last began to answer a request
// with the part, or more losses since the last whole answer, see DefaultMinLossesBegun.
func (t *Tracker) sufficient(part uint64, r *record) *accusation {
	answers, known := t.answered.Peek(part)
	var unanswered []lostAttempt
	for _, e := range r.evidence {
		if !e.attempt.Begun && e.loss.at.After(answers.begun) {
			unanswered = append(unanswered, e)
		}
	}
	losses, requests, windows := t.count(unanswered)
	minWindows := 2
	if known {
		minWindows = t.options.MinLosses
	}
	if losses >= t.options.MinLosses && requests >= t.options.MinLosses && windows >= minWindows {
		return &accusation{evidence: unanswered, losses: losses}
	}
	losses, requests, windows = t.count(r.evidence)
	minLosses, minWindows := t.options.MinLossesBegun, 2
	if !answers.whole.IsZero() {
		minLosses, minWindows = answeredFactor*t.options.MinLossesBegun, t.options.MinLosses
	}
	if losses < minLosses || requests < minLosses || windows < minWindows {
		return nil
	}
	a := &accusation{evidence: r.evidence, losses: losses, begun: true}
	if !a.isSpecific(part) || losses*maxLossesPerExplained < t.countUnexplained(r.evidence[0].loss.at) {
		return nil
	}
	return a
}

// countUnexplained returns the number of losses since a time that no blocked set explains.
func (t *Tracker) countUnexplained(since time.Time) int {
	count := 0
	for _, l := range t.unexplained {
		if !l.explained && !l.at.Before(since) {
			count++
		}
	}
	return count
}

// accusation is the evidence that accuses a part.
type accusation struct {
	evidence []lostAttempt
	losses   int
	// begun is set if it includes attempts that targets had begun to answer.
	begun bool
}

// attempts returns the number of attempts lost in the losses of the accusation, and of those with
// the part.
func (a *accusation) attempts(part uint64) (with, all int) {
	seen := make(map[*loss]bool, a.losses)
	for _, e := range a.evidence {
		if seen[e.loss] {
			continue
		}
		seen[e.loss] = true
		all += len(e.loss.attempts)
		for _, attempt := range e.loss.attempts {
			if slices.Contains(attempt.Parts, part) {
				with++
			}
		}
	}
	return with, all
}

// isSpecific reports whether the part tells the lost attempts apart: a target that is lost takes all
// attempts with it that run there, so a part that most requests hold is among them whatever the
// cause.
func (a *accusation) isSpecific(part uint64) bool {
	with, all := a.attempts(part)
	return with <= max(a.losses, all/2)
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
	case t.sufficient(part, r) == nil:
		delete(t.ready, part)
	}
}

// Answered records that a target answered a request with these parts to its end. When that lifts or
// narrows an accused or blocked set, it returns the notice for the other daemons.
func (t *Tracker) Answered(at time.Time, parts []uint64) (Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.noteAnswered(at, parts, true)
	return Answer{Parts: changed, At: at, Whole: true}, len(changed) > 0
}

// Begun records that a target began to answer a request with these parts. It does not show that the
// parts are sound, since a target may crash while it answers, but evidence of attempts that were
// not begun to be answered has another cause. When that ends an accusation, it returns the notice
// for the other daemons.
func (t *Tracker) Begun(now time.Time, parts []uint64) (Answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.noteAnswered(now, parts, false)
	return Answer{Parts: changed, At: now}, len(changed) > 0
}

// MergeAnswer applies a notice of another daemon, and returns the parts that it took out of
// accused or blocked sets.
func (t *Tracker) MergeAnswer(b Answer) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.noteAnswered(b.At, b.Parts, b.Whole)
}

// noteAnswered removes the evidence that an answer contradicts, and takes the parts out of the sets
// that this evidence accuses. It returns the parts that it took out.
func (t *Tracker) noteAnswered(at time.Time, parts []uint64, whole bool) []uint64 {
	var changed []uint64
	for _, part := range parts {
		answers, _ := t.answered.Get(part)
		answers.begun = maxTime(answers.begun, at)
		if whole {
			answers.whole = maxTime(answers.whole, at)
		}
		t.answered.Add(part, answers)
		t.filterEvidence(part, func(e lostAttempt) bool { return e.loss.at.After(answers.whole) })
		if t.takeOut(at, part, whole) {
			changed = append(changed, part)
		}
	}
	return changed
}

// takeOut removes a part that was answered at a time from the sets whose evidence the answer
// contradicts.
func (t *Tracker) takeOut(at time.Time, part uint64, whole bool) bool {
	changed := false
	for _, b := range t.blocks {
		if i := slices.Index(b.Parts, part); i >= 0 && (whole || !b.onlyWhole()) && b.contradictedBy(at) {
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

// onlyWhole reports whether only whole answers contradict the set. An answer that was begun to a
// blocked request, such as a trial, may be the beginning of the next crash.
func (b *Block) onlyWhole() bool {
	return b.Begun || b.State == Blocked
}

// Suspects returns the parts of a lost attempt that may have crashed its target: those without a
// whole answer in knownSoundTime, parts that were never answered first, at most MaxAttemptParts. If
// there are more, the fingerprint of the request decides which ones are left out.
func (t *Tracker) Suspects(now time.Time, fingerprint uint64, parts []uint64) []uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	var never, others []uint64
	for _, part := range parts {
		answers, found := t.answered.Peek(part)
		isAccused := slices.ContainsFunc(t.blocks, func(b *block) bool { return slices.Contains(b.Parts, part) })
		switch {
		case !found || answers.whole.IsZero():
			never = append(never, part)
		case isAccused || now.Sub(answers.whole) >= knownSoundTime:
			others = append(others, part)
		}
	}
	suspects := append(rotate(never, fingerprint), rotate(others, fingerprint)...)
	return suspects[:min(len(suspects), MaxAttemptParts)]
}

// rotate returns a list that begins at a position which a number determines.
func rotate(list []uint64, number uint64) []uint64 {
	if len(list) <= MaxAttemptParts {
		return list
	}
	start := int(number % uint64(len(list)))
	return slices.Concat(list[start:], list[:start])
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
