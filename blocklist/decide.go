package blocklist

import (
	"slices"
	"time"
)

// accuseMostLikely accuses the likeliest part of a loss, if the evidence is enough: one that was never
// answered to its end, that explains the most losses, and that the fewest of the attempts lost in them
// hold, since the others ran beside these.
func (t *Tracker) accuseMostLikely(now time.Time, l *loss) *Block {
	var likely *candidate
	for _, attempt := range l.attempts {
		for _, part := range attempt.Parts {
			if c := t.candidate(part); c != nil && (likely == nil || c.isLikelierThan(likely)) {
				likely = c
			}
		}
	}
	if likely == nil {
		return nil
	}
	return t.accuse(now, likely.part)
}

// candidate is a part that may be accused.
type candidate struct {
	part uint64
	// losses are explained by the part, and with of the attempts lost in them hold it.
	losses, with int
	// answered is set if a target has answered a request with the part to its end.
	answered bool
}

// candidate returns a part that may be accused, or nil.
func (t *Tracker) candidate(part uint64) *candidate {
	if _, isReady := t.ready[part]; !isReady {
		return nil
	}
	r, found := t.records.Peek(part)
	if !found {
		return nil
	}
	a := t.sufficient(part, r)
	if a == nil {
		return nil
	}
	with, _ := a.attempts(part)
	answers, _ := t.answered.Peek(part)
	return &candidate{part: part, losses: a.losses, with: with, answered: !answers.whole.IsZero()}
}

func (c *candidate) isLikelierThan(other *candidate) bool {
	switch {
	case c.answered != other.answered:
		return other.answered
	case c.losses != other.losses:
		return c.losses > other.losses
	}
	return c.with < other.with
}

// accuse accuses the set of parts that all lost attempts with a part have in common. It
// returns nil while another set is accused, if that set is blocked already, or if all its
// parts were answered since.
func (t *Tracker) accuse(now time.Time, part uint64) *Block {
	if slices.ContainsFunc(t.blocks, func(b *block) bool { return b.State == Accused }) {
		return nil
	}
	delete(t.ready, part)
	r, found := t.records.Peek(part)
	if !found {
		return nil
	}
	a := t.sufficient(part, r)
	if a == nil {
		return nil
	}
	b := &block{decidesHere: true, accusedUntil: now.Add(t.options.VetoWindow)}
	b.State, b.Begun = Accused, a.begun
	b.FirstLoss = a.evidence[0].loss.at
	b.LastLoss = a.evidence[len(a.evidence)-1].loss.at
	_, _, windows := t.count(a.evidence)
	b.Recurring = windows >= t.options.MinLosses
	b.Parts = t.commonParts(&b.Block, a.evidence)
	if len(b.Parts) == 0 || t.findBlock(b.Parts) != nil {
		return nil
	}
	seen := make(map[*loss]bool, a.losses)
	for _, e := range a.evidence {
		if !seen[e.loss] {
			b.Targets = append(b.Targets, e.loss.target)
		}
		seen[e.loss] = true
	}
	t.addBlock(b)
	accused := b.Block
	return &accused
}

// commonParts returns the parts that all lost attempts in the evidence have in common and
// that no answer contradicts, sorted.
func (t *Tracker) commonParts(b *Block, evidence []lostAttempt) []uint64 {
	common := slices.Clone(evidence[0].attempt.Parts)
	for _, e := range evidence[1:] {
		common = slices.DeleteFunc(common, func(part uint64) bool { return !slices.Contains(e.attempt.Parts, part) })
	}
	common = slices.DeleteFunc(common, func(part uint64) bool { return t.isContradicted(b, part) })
	slices.Sort(common)
	return slices.Compact(common)
}

// isContradicted reports whether an answer that was seen here contradicts that a part of a set
// crashes targets.
func (t *Tracker) isContradicted(b *Block, part uint64) bool {
	answers, _ := t.answered.Peek(part)
	at := answers.at(b.onlyWhole())
	return !at.IsZero() && b.contradictedBy(at)
}

// Tick decides about accused sets and forgets old ones. It returns the sets that were
// accused or blocked, for the other daemons. It must be called at least every 250 ms.
func (t *Tracker) Tick(now time.Time) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Block
	var likely *candidate
	for part, since := range t.ready {
		if now.Sub(since) < t.options.AccuseDelay {
			continue
		}
		if c := t.candidate(part); c != nil && (likely == nil || c.isLikelierThan(likely)) {
			likely = c
		}
	}
	if likely != nil {
		if accused := t.accuse(now, likely.part); accused != nil {
			out = append(out, *accused)
		}
	}
	for _, b := range t.blocks {
		if b.State == Accused && b.decidesHere && !now.Before(b.accusedUntil) {
			t.block(b)
			out = append(out, b.Block)
		}
	}
	if len(t.blocks) > 0 {
		t.removeBlocks(func(b *block) bool {
			return (b.State == Accused && !now.Before(b.accusedUntil)) || now.Sub(b.LastLoss) > t.options.Expiry
		})
	}
	return out
}

// block blocks an accused set. The losses that it explains no longer count against other
// parts.
func (t *Tracker) block(b *block) {
	b.State = Blocked
	for _, part := range t.records.Keys() {
		t.filterEvidence(part, func(e lostAttempt) bool { return !e.loss.involves(b.Parts) })
	}
	for _, l := range t.recentLosses {
		l.explained = l.explained || l.involves(b.Parts)
	}
}

// Merge applies a notice of another daemon about an accused or blocked set, or a row of the
// table service. It returns the parts of the set that were answered here, with the time of
// the last answer, which the other daemons do not know.
func (t *Tracker) Merge(now time.Time, notice Block) []Answer {
	t.mu.Lock()
	defer t.mu.Unlock()
	var vetoes []Answer
	notice.Parts = slices.DeleteFunc(slices.Clone(notice.Parts), func(part uint64) bool {
		if !t.isContradicted(&notice, part) {
			return false
		}
		answers, _ := t.answered.Peek(part)
		vetoes = append(vetoes, Answer{Parts: []uint64{part}, At: answers.at(notice.onlyWhole()), Whole: notice.onlyWhole()})
		return true
	})
	if len(notice.Parts) == 0 || notice.State == Allowed || now.Sub(notice.LastLoss) > t.options.Expiry {
		return vetoes
	}
	b := t.findBlock(notice.Parts)
	if b == nil {
		b = &block{Block: notice, accusedUntil: now.Add(2 * t.options.VetoWindow)}
		t.addBlock(b)
	}
	if notice.State == Blocked {
		b.Begun = b.Begun || notice.Begun
		b.LastLoss = maxTime(b.LastLoss, notice.LastLoss)
		b.FailedTrials = max(b.FailedTrials, notice.FailedTrials)
		t.block(b)
	}
	return vetoes
}
