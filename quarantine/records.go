package quarantine

import (
	"slices"
	"time"
)

// classOf returns the list that records in a state are kept in.
func classOf(s State) class {
	switch s {
	case Quarantined:
		return classConvicted
	case Suspect, Pending:
		return classSuspect
	default:
		return classCleared
	}
}

func (b *Tracker) find(fingerprint uint64) *record {
	if e, ok := b.records[fingerprint]; ok {
		return e.Value.(*record)
	}
	return nil
}

// need returns the record of a fingerprint and makes one when there is none. A
// full book evicts the oldest cleared record, then the oldest suspect, then the
// oldest convicted one.
func (b *Tracker) need(now time.Time, fingerprint uint64) *record {
	if r := b.find(fingerprint); r != nil {
		return r
	}
	for len(b.records) >= b.options.MaxEntries {
		b.evict()
	}
	r := &record{fingerprint: fingerprint, since: now}
	b.records[fingerprint] = b.lists[classCleared].PushBack(r)
	return r
}

// set changes the state of a record and the list that it is in.
func (b *Tracker) set(now time.Time, r *record, s State) {
	b.drop(r)
	r.state = s
	r.class = classOf(s)
	r.since = now
	b.records[r.fingerprint] = b.lists[r.class].PushBack(r)
	if s == Pending {
		b.held[r.fingerprint] = r
	}
}

func (b *Tracker) drop(r *record) {
	if e, ok := b.records[r.fingerprint]; ok {
		b.lists[r.class].Remove(e)
	}
	delete(b.records, r.fingerprint)
	delete(b.held, r.fingerprint)
}

func (b *Tracker) evict() {
	for _, l := range b.lists {
		if e := l.Front(); e != nil {
			b.drop(e.Value.(*record))
			return
		}
	}
}

// expire drops records and losses that are too old.
func (b *Tracker) expire(now time.Time) {
	for _, l := range b.lists {
		for e := l.Front(); e != nil && now.Sub(e.Value.(*record).since) >= b.options.Expiry; e = l.Front() {
			b.drop(e.Value.(*record))
		}
	}
	b.recent = slices.DeleteFunc(b.recent, func(l *loss) bool { return now.Sub(l.at) > b.options.DuplicateLossWindow })
}

// knownLoss returns the recent loss of a target, or one that does not count as
// recent: a conviction read from the store may be hours old.
func (b *Tracker) knownLoss(target string) *loss {
	for _, l := range b.recent {
		if l.target == target {
			return l
		}
	}
	return &loss{target: target}
}

// lossOf returns the recent loss of a target, or a new one.
func (b *Tracker) lossOf(now time.Time, target string) *loss {
	if l := b.knownLoss(target); !l.at.IsZero() {
		return l
	}
	l := &loss{target: target, at: now}
	b.recent = append(b.recent, l)
	return l
}
