package quarantine

import (
	"slices"
	"time"
)

// State determines how requests with a fingerprint are treated.
type State uint8

const (
	// Clear requests run without restriction.
	Clear State = iota
	// Suspect requests run only on a target that runs no other suspect.
	Suspect
	// Pending requests wait: a second target was lost with them in flight, and
	// they are quarantined or become suspects again after one burst window.
	Pending
	// Quarantined requests are refused.
	Quarantined
)

// String returns the state's name. Pending and Quarantined are called "held" and
// "convicted", as in the messages between daemons.
func (s State) String() string {
	return [...]string{"clear", "suspect", "held", "convicted"}[s]
}

// Notice tells other daemons about a change of a fingerprint's state.
type Notice struct {
	Fingerprint uint64
	State       State
	// Targets are the lost targets that are the evidence for the state. A Clear
	// notice lists the targets whose loss no longer counts against the
	// fingerprint.
	Targets []string
}

const (
	// DefaultExpiry is the time after which a quarantine or suspicion ends.
	DefaultExpiry = 24 * time.Hour
	// DefaultBurstWindow is the time within which several losses count as
	// simultaneous. Notices must reach all daemons within 2 s of the loss, so a
	// quarantine can wait for about half of that.
	DefaultBurstWindow = time.Second
	// DefaultBurstTargets is the number of simultaneous losses, without a suspect
	// in flight, that make a burst.
	DefaultBurstTargets = 3
	// DefaultDuplicateLossWindow is the time within which two reports about one
	// target are the same loss. A restart of a target takes longer. For this time,
	// late notices about a cleared loss are also ignored.
	DefaultDuplicateLossWindow = 5 * time.Second
	// DefaultMaxRecords bounds the memory of a tracker to about 4 MB.
	DefaultMaxRecords = 10000
)

// Options are the limits of a Tracker. The Default constants explain them and are
// used for zero fields.
type Options struct {
	Expiry              time.Duration
	BurstWindow         time.Duration
	BurstTargets        int
	DuplicateLossWindow time.Duration
	MaxRecords          int
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
	if o.MaxRecords == 0 {
		o.MaxRecords = DefaultMaxRecords
	}
	return o
}

// loss describes one loss of one target.
type loss struct {
	target string
	lostAt time.Time
	// inFlight are the fingerprints in flight on the target; priorSuspects are
	// those of them that were suspects before this loss.
	inFlight      []uint64
	priorSuspects []uint64
	// explained is set when a quarantined request was in flight; causes are the
	// requests that were quarantined because of this loss.
	explained bool
	causes    []uint64
	// inBurst is set when the loss was part of a burst and is therefore
	// discounted.
	inBurst bool
}

// evictionClass selects the list that a record is in. Records of lower classes are
// evicted first.
type evictionClass uint8

const (
	classCleared evictionClass = iota
	classSuspect
	classQuarantined
	classCount
)

// record is the state of one fingerprint and the evidence for it.
type record struct {
	fingerprint uint64
	state       State
	class       evictionClass
	changedAt   time.Time // when the record was created or its state set
	// evidence are the losses that count against the fingerprint.
	evidence []*loss
	// explainedLosses are losses with this request in flight that another request
	// explains. They become evidence when that explanation fails or when this
	// request is quarantined, and are forgotten when it finishes.
	explainedLosses []*loss
	// pendingUntil is when a pending record is resolved. decidesLocally is set in
	// the daemon that saw the loss; the other daemons wait for its notice.
	// pendingLoss is the loss that made the record pending in that daemon.
	pendingUntil   time.Time
	decidesLocally bool
	pendingLoss    *loss
	// burstDiscounted is set when the request was in flight in a burst: its next
	// loss counts even if that is part of a burst again.
	burstDiscounted bool
	// clearedTargets are the targets whose loss was cleared last; notices that
	// arrive late are recognized by them.
	clearedTargets []string
	clearedAt      time.Time
}

// maxClearedTargets bounds the clearedTargets of a record.
const maxClearedTargets = 8

// markCleared records that the losses of targets no longer count.
func (r *record) markCleared(now time.Time, targets ...string) {
	r.clearedTargets = append(r.clearedTargets, targets...)
	r.clearedTargets = r.clearedTargets[max(0, len(r.clearedTargets)-maxClearedTargets):]
	r.clearedAt = now
}

// recentlyCleared reports whether the loss of a target was cleared within
// duplicateWindow, so that a notice about it is a late one.
func (r *record) recentlyCleared(now time.Time, target string, duplicateWindow time.Duration) bool {
	return now.Sub(r.clearedAt) <= duplicateWindow && slices.Contains(r.clearedTargets, target)
}

// cleared reports whether the record is clear because the losses of all these targets were
// cleared.
func (r *record) cleared(targets []string) bool {
	for _, target := range targets {
		if !slices.Contains(r.clearedTargets, target) {
			return false
		}
	}
	return r.state == Clear && len(targets) > 0
}

// maxExplainedLosses bounds the explainedLosses of a record.
const maxExplainedLosses = 4

// addExplainedLoss adds a loss that another request explains.
func (r *record) addExplainedLoss(l *loss) {
	if !slices.Contains(r.explainedLosses, l) && len(r.explainedLosses) < maxExplainedLosses {
		r.explainedLosses = append(r.explainedLosses, l)
	}
}

// explainedByOthers reports whether each loss that counts against the record also
// has another quarantined request as a cause.
func (r *record) explainedByOthers() bool {
	for _, l := range r.evidence {
		other := func(fp uint64) bool { return fp != r.fingerprint }
		if !slices.ContainsFunc(l.causes, other) {
			return false
		}
	}
	return len(r.evidence) > 0
}

// targets returns the targets whose losses are the record's evidence.
func (r *record) targets() []string {
	targets := make([]string, len(r.evidence))
	for i, l := range r.evidence {
		targets[i] = l.target
	}
	return targets
}
