package blocklist

import (
	"slices"
	"time"
)

// accuseMostLikely accuses the part of a loss with the most evidence, if that is enough.
func (t *Tracker) accuseMostLikely(now time.Time, l *loss) *Block {
	var likely uint64
	most := 0
	for _, attempt := range l.attempts {
		for _, part := range attempt.Parts {
			if _, isReady := t.ready[part]; !isReady {
				continue
			}
			if r, found := t.records.Peek(part); found && len(r.evidence) > most {
				likely, most = part, len(r.evidence)
			}
		}
	}
	if most == 0 {
		return nil
	}
	return t.accuse(now, likely)
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
	b := &block{decidesHere: true, accusedUntil: now.Add(t.options.VetoWindow)}
	b.State = Accused
	b.FirstLoss = r.evidence[0].loss.at
	b.LastLoss = r.evidence[len(r.evidence)-1].loss.at
	_, _, windows := t.count(r.evidence)
	b.Recurring = windows >= t.options.MinLosses
	b.Parts = t.commonParts(&b.Block, r.evidence)
	if len(b.Parts) == 0 || t.findBlock(b.Parts) != nil {
		return nil
	}
	for _, e := range r.evidence {
		if !slices.Contains(b.Targets, e.loss.target) {
			b.Targets = append(b.Targets, e.loss.target)
		}
	}
	t.addBlock(b)
	accusation := b.Block
	return &accusation
}

// commonParts returns the parts that all lost attempts in the evidence have in common and
// that no answer contradicts, sorted.
func (t *Tracker) commonParts(b *Block, evidence []lostAttempt) []uint64 {
	common := slices.Clone(evidence[0].attempt.Parts)
	for _, e := range evidence[1:] {
		common = slices.DeleteFunc(common, func(part uint64) bool { return !slices.Contains(e.attempt.Parts, part) })
	}
	common = slices.DeleteFunc(common, func(part uint64) bool {
		at, found := t.answered.Peek(part)
		return found && b.contradictedBy(at)
	})
	slices.Sort(common)
	return slices.Compact(common)
}

// Tick decides about accused sets and forgets old ones. It returns the sets that were
// accused or blocked, for the other daemons. It must be called at least every 250 ms.
func (t *Tracker) Tick(now time.Time) []Block {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Block
	for part, since := range t.ready {
		if now.Sub(since) < t.options.AccuseDelay {
			continue
		}
		if accusation := t.accuse(now, part); accusation != nil {
			out = append(out, *accusation)
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
		at, found := t.answered.Peek(part)
		if !found || !notice.contradictedBy(at) {
			return false
		}
		vetoes = append(vetoes, Answer{Parts: []uint64{part}, At: at})
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
		b.LastLoss = maxTime(b.LastLoss, notice.LastLoss)
		b.FailedTrials = max(b.FailedTrials, notice.FailedTrials)
		t.block(b)
	}
	return vetoes
}
