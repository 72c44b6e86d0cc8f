package blocklist

import (
	"slices"
	"time"
)

const (
	// DefaultMinLosses is the number of losses, and of different requests, that accuse a
	// part.
	DefaultMinLosses = 3
	// DefaultMinLossesBegun is the number of losses, and of different requests, that accuse a part
	// although targets begin to answer requests with it.
	DefaultMinLossesBegun = 4
	// DefaultBurstWindow is the time within which several losses count as simultaneous.
	DefaultBurstWindow = time.Second
	// DefaultDuplicateLossWindow is the time within which two reports about one target are
	// the same loss. A restart of a target takes longer.
	DefaultDuplicateLossWindow = 2 * time.Second
	// DefaultVetoWindow is how long an accused set waits for vetoes: several round trips
	// between regions, and the delay that daemons add to spread their vetoes.
	DefaultVetoWindow = 400 * time.Millisecond
	// DefaultTrialDelay is the time from the last loss to the first trial, in which a target
	// that was lost to something else has long restarted. DefaultTrialBackoff multiplies the
	// delay after each failed trial.
	DefaultTrialDelay   = 30 * time.Second
	DefaultTrialBackoff = 10
	// DefaultTrialTimeout is the time after which a trial without a result is given up.
	DefaultTrialTimeout = 10 * time.Second
	// DefaultExpiry is the time without a loss after which evidence and blocked sets are
	// forgotten.
	DefaultExpiry = 24 * time.Hour
	// DefaultMaxParts bounds the parts with evidence, and those that are remembered as
	// answered, to about 1 MB each.
	DefaultMaxParts = 4096
	// DefaultMaxBlocks bounds the accused and blocked sets.
	DefaultMaxBlocks = 128
	// MaxAttempts bounds the attempts of one loss and MaxAttemptParts the parts of one
	// attempt; further ones are not recorded.
	MaxAttempts     = 64
	MaxAttemptParts = 64
	// maxEvidence bounds the attempts that are remembered against one part, and maxSameLoss those
	// of one loss, apart for attempts that were begun to be answered and others.
	maxEvidence = 32
	maxSameLoss = 3
	// answeredFactor multiplies MinLossesBegun for a part that was answered to its end before: most
	// requests with such a part that are lost ran beside the one that crashed the target.
	answeredFactor = 2
	// maxUnexplained bounds the losses that are remembered to compare with those of one part.
	maxUnexplained = 128
	// maxLossesPerExplained bounds the losses, since the first one that counts against a part, for
	// each that counts against it, if targets had begun to answer. Where targets crash for other
	// reasons, a rarer sound part may have been lost each time that it was sent.
	maxLossesPerExplained = 3
	// knownSoundTime is the time after a whole answer in which a part is not reported with a lost
	// attempt. The next answer would end such evidence.
	knownSoundTime = 2 * time.Second
	// maxTrialExponent bounds the growth of the trial delay.
	maxTrialExponent = 4
)

// Options are the limits of a Tracker. The Default constants explain them and are used for
// zero fields.
type Options struct {
	MinLosses           int
	MinLossesBegun      int
	BurstWindow         time.Duration
	DuplicateLossWindow time.Duration
	VetoWindow          time.Duration
	TrialDelay          time.Duration
	TrialTimeout        time.Duration
	Expiry              time.Duration
	MaxParts            int
	MaxBlocks           int
	// AccuseDelay is how long a daemon leaves an accusation to the one that reported the
	// last loss. It should differ between daemons, so that one of them accuses alone.
	AccuseDelay time.Duration
}

func (o Options) withDefaults() Options {
	setDefault(&o.MinLosses, DefaultMinLosses)
	setDefault(&o.MinLossesBegun, DefaultMinLossesBegun)
	setDefault(&o.BurstWindow, DefaultBurstWindow)
	setDefault(&o.DuplicateLossWindow, DefaultDuplicateLossWindow)
	setDefault(&o.VetoWindow, DefaultVetoWindow)
	setDefault(&o.TrialDelay, DefaultTrialDelay)
	setDefault(&o.TrialTimeout, DefaultTrialTimeout)
	setDefault(&o.Expiry, DefaultExpiry)
	setDefault(&o.MaxParts, DefaultMaxParts)
	setDefault(&o.MaxBlocks, DefaultMaxBlocks)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Attempt is an attempt that was lost with its target.
type Attempt struct {
	// Fingerprint identifies the request.
	Fingerprint uint64
	// Parts are the ids of the parts of its prompt that other requests may hold too, without
	// those that are known to be sound.
	Parts []uint64
	// Begun is set if the target had begun to answer, see Tracker.Begun, or had answered.
	Begun bool
}

// Loss describes the loss of one target.
type Loss struct {
	Target   string
	Attempts []Attempt
}

// State determines how requests with a set of parts are treated.
type State uint8

const (
	// Allowed requests run without restriction.
	Allowed State = iota
	// Accused requests wait until their set is blocked or cleared, at most 2*VetoWindow.
	Accused
	// Blocked requests are refused.
	Blocked
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"allowed", "accused", "blocked"}[s]
}

// Verdict says how one request is treated.
type Verdict struct {
	State State
	// Parts is the set that accuses or blocks the request, sorted.
	Parts []uint64
	// TrialDue is set for a blocked request when a trial is due, and RetryAfter is the time
	// until then.
	TrialDue   bool
	RetryAfter time.Duration
}

// Block is an accused or blocked set of parts, as daemons tell it to each other.
type Block struct {
	State State
	// Parts are the ids of the set, sorted.
	Parts []uint64
	// FirstLoss and LastLoss are the times of the losses that count against the set.
	FirstLoss, LastLoss time.Time
	// Recurring is set when these losses fall into MinLosses burst windows or more.
	Recurring bool
	// FailedTrials counts the losses after the set was blocked.
	FailedTrials int
	// Targets are the lost targets, one for each loss.
	Targets []string
	// Begun is set when targets had begun to answer before they were lost, so that only whole
	// answers contradict the accusation.
	Begun bool
}

// Answer tells that targets answered requests with these parts.
type Answer struct {
	Parts []uint64
	At    time.Time
	// Whole is set if the answers were whole, and not only begun.
	Whole bool
}

// Key returns a text that identifies a set of parts.
func Key(parts []uint64) string {
	key := make([]byte, 0, 17*len(parts))
	for _, part := range parts {
		key = appendHex(key, part)
	}
	return string(key)
}

func appendHex(text []byte, id uint64) []byte {
	const digits = "0123456789abcdef"
	for shift := 60; shift >= 0; shift -= 4 {
		text = append(text, digits[id>>shift&0xf])
	}
	return append(text, '.')
}

// containsAll reports whether parts holds every part of a set.
func containsAll(parts, set []uint64) bool {
	for _, part := range set {
		if !slices.Contains(parts, part) {
			return false
		}
	}
	return len(set) > 0
}
