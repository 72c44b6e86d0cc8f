package quarantine

import (
	"slices"
	"time"
)

// State says how a request with a fingerprint is to be treated.
type State uint8

const (
	// Clear requests run without restriction.
	Clear State = iota
	// Suspect requests run only on a target that runs no other suspect.
	Suspect
	// Pending requests wait: a second target was lost under them, and the book
	// decides within one burst window.
	Pending
	// Quarantined requests are refused.
	Quarantined
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"clear", "suspect", "held", "convicted"}[s]
}

// Notice tells other daemons about a change of a fingerprint's state.
type Notice struct {
	Fingerprint uint64
	State       State
	// Targets are the lost targets that the state rests on. A Clear notice
	// lists the targets whose loss no longer counts against the fingerprint.
	Targets []string
}

const (
	// DefaultExpiry is the time after which a conviction or suspicion ends.
	DefaultExpiry = 24 * time.Hour
	// DefaultBurstWindow is the time within which several losses count as
	// simultaneous. Notices must reach all daemons within 2 s of the loss, so a
	// conviction can wait for about half of that.
	DefaultBurstWindow = time.Second
	// DefaultBurstTargets is the number of simultaneous losses that is a burst.
	DefaultBurstTargets = 3
	// DefaultDuplicateLossWindow is the time within which two reports about one target are
	// the same loss. A restart of a target takes longer.
	DefaultDuplicateLossWindow = 5 * time.Second
	// DefaultMaxEntries bounds the memory of a book to about 4 MB.
	DefaultMaxEntries = 10000
)

// Options are the limits of a book. Zero fields take the defaults.
type Options struct {
	Expiry              time.Duration
	BurstWindow         time.Duration
	BurstTargets        int
	DuplicateLossWindow time.Duration
	MaxEntries          int
}

func (o Options) withDefaults() Options {
	if o.Expiry == 0 {
		o.Expiry = DefaultExpiry
	}
	if o.BurstWindow == 0 {
		o.BurstWindow = DefaultBurstWindow
	}
	if o.BurstTargets == 0 {
		o.BurstTargets = DefaultBurstTargets
	}
	if o.DuplicateLossWindow == 0 {
		o.DuplicateLossWindow = DefaultDuplicateLossWindow
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	return o
}

// loss is one loss of one target.
type loss struct {
	target string
	at     time.Time
	// members were in flight; prior of them were suspects before.
	members []uint64
	prior   []uint64
	// explained is set when a convicted request was in flight; culprits are the
	// requests that were convicted for this loss.
	explained bool
	culprits  []uint64
	// burst is set when the loss is no evidence.
	burst bool
}

// class is the list that a record is in. Records are evicted in this order.
type class uint8

const (
	classCleared class = iota
	classSuspect
	classConvicted
	classes
)

// record is what the book knows about one fingerprint.
type record struct {
	fingerprint uint64
	state       State
	class       class
	since       time.Time
	// evidence are the losses that count against the fingerprint.
	evidence []*loss
	// present are losses that another request explains. They count again when
	// that explanation fails, and are forgotten when the request finishes.
	present []*loss
	// heldUntil is when a held record is decided; judge is set in the book that
	// saw the loss, whereas other books wait for its notice.
	heldUntil time.Time
	judge     bool
	heldFor   *loss
	// excused is set after a burst: the next loss counts even in a burst.
	excused bool
	// cleared are targets whose loss no longer counts, to drop late notices.
	cleared   []string
	clearedAt time.Time
}

// maxCleared bounds the targets that a record remembers as cleared.
const maxCleared = 8

// forgive notes that the loss of some targets no longer counts.
func (r *record) forgive(now time.Time, targets ...string) {
	r.cleared = append(r.cleared, targets...)
	r.cleared = r.cleared[max(0, len(r.cleared)-maxCleared):]
	r.clearedAt = now
}

// forgiven reports whether the loss of a target was cleared so recently that a
// notice about it is a late one.
func (r *record) forgiven(now time.Time, target string, sameLoss time.Duration) bool {
	return now.Sub(r.clearedAt) <= sameLoss && slices.Contains(r.cleared, target)
}

// maxPresent bounds the explained losses that a record remembers.
const maxPresent = 4

func (r *record) addPresent(l *loss) {
	if !slices.Contains(r.present, l) && len(r.present) < maxPresent {
		r.present = append(r.present, l)
	}
}

// explainedByOthers reports whether each loss that counts against the record has
// another convicted request in flight.
func (r *record) explainedByOthers() bool {
	for _, l := range r.evidence {
		other := func(fp uint64) bool { return fp != r.fingerprint }
		if !slices.ContainsFunc(l.culprits, other) {
			return false
		}
	}
	return len(r.evidence) > 0
}

func (r *record) targets() []string {
	out := make([]string, len(r.evidence))
	for i, l := range r.evidence {
		out[i] = l.target
	}
	return out
}
