package quarantine

import (
	"slices"
	"time"
)

// evictionClassOf returns the eviction class of records in a state.
func evictionClassOf(s State) evictionClass {
	switch s {
	case Quarantined:
		return classQuarantined
	case Suspect, Pending:
		return classSuspect
	default:
		return classCleared
	}
}

// find returns the record of a fingerprint, or nil.
func (t *Tracker) find(fingerprint uint64) *record {
	if e, ok := t.records[fingerprint]; ok {
		return e.Value.(*record)
	}
	return nil
}

// findOrCreate returns the record of a fingerprint, and creates a clear one when
// there is none. A full tracker evicts the oldest cleared record first, then the
// oldest suspect, then the oldest quarantined record.
func (t *Tracker) findOrCreate(now time.Time, fingerprint uint64) *record {
	if r := t.find(fingerprint); r != nil {
		return r
	}
	for len(t.records) >= t.options.MaxRecords {
		t.evictOldest()
	}
	r := &record{fingerprint: fingerprint, changedAt: now}
	t.records[fingerprint] = t.lists[classCleared].PushBack(r)
	return r
}

// setState changes the state of a record and moves it to the end of the list of
// its new eviction class.
func (t *Tracker) setState(now time.Time, r *record, s State) {
	t.remove(r)
	r.state = s
	r.class = evictionClassOf(s)
	r.changedAt = now
	t.records[r.fingerprint] = t.lists[r.class].PushBack(r)
	if s == Pending {
		t.pending[r.fingerprint] = r
	}
}

// remove deletes a record from the tracker.
func (t *Tracker) remove(r *record) {
	if e, ok := t.records[r.fingerprint]; ok {
		t.lists[r.class].Remove(e)
	}
	delete(t.records, r.fingerprint)
	delete(t.pending, r.fingerprint)
}

// evictOldest removes the oldest record of the first eviction class that has one.
func (t *Tracker) evictOldest() {
	for _, list := range t.lists {
		if e := list.Front(); e != nil {
			t.remove(e.Value.(*record))
			return
		}
	}
}

// expire removes records whose last change is Expiry old, and forgets losses older
// than DuplicateLossWindow.
func (t *Tracker) expire(now time.Time) {
	for _, list := range t.lists {
		for e := list.Front(); e != nil && now.Sub(e.Value.(*record).changedAt) >= t.options.Expiry; e = list.Front() {
			t.remove(e.Value.(*record))
		}
	}
	t.recentLosses = slices.DeleteFunc(t.recentLosses, func(l *loss) bool { return now.Sub(l.lostAt) > t.options.DuplicateLossWindow })
}

// findLoss returns the recent loss of a target, or else a loss without a time that
// is not added to the recent ones: a quarantine read from the table service may be
// hours old, so its losses must not count towards a burst.
func (t *Tracker) findLoss(target string) *loss {
	for _, l := range t.recentLosses {
		if l.target == target {
			return l
		}
	}
	return &loss{target: target}
}

// findOrAddLoss returns the recent loss of a target, and adds one at now when
// there is none.
func (t *Tracker) findOrAddLoss(now time.Time, target string) *loss {
	if l := t.findLoss(target); !l.lostAt.IsZero() {
		return l
	}
	l := &loss{target: target, lostAt: now}
	t.recentLosses = append(t.recentLosses, l)
	return l
}
