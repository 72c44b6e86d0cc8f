package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/estimate"
)

// TargetInfo is the configuration of one target.
type TargetInfo struct {
	Name     string
	Hardware string
	// Slots is the batch size of the target.
	Slots int
	// KVTokens is the size of the engine's KV cache; 0 is no limit.
	KVTokens int
	// Versions are the versions that the target serves; empty is any version.
	Versions []string
}

// TargetState says whether a target gets new work.
type TargetState uint8

// States of a target. Only an Up target gets new work; in every other state the
// requests in flight stay until they are released.
const (
	TargetUp TargetState = iota
	TargetDown
	TargetLeaving
	TargetEjected
)

// Request asks for a target.
type Request struct {
	ID, Entry, Service, Version, Account string
	// Target pins the request to one target; "" is any.
	Target string
	// Exclude lists targets that failed this request before.
	Exclude []string
	// Tier 0 is the highest.
	Tier                       int
	PromptTokens, OutputTokens int
	// Deadline is the time by which the answer has to end, Final the time until
	// which a request that has run is followed; the zero Final is Deadline.
	Deadline, FinalDeadline time.Time
	// FirstTokenBy is the time by which the first token has to come; zero is no
	// bound. It does not apply to an accepted request.
	FirstTokenBy time.Time
	// ObjectiveBy is the time after which the answer, or its first event, is late;
	// zero is no bound. MaxGap and EventTokens describe a stream: the longest pause
	// between events in time, and the tokens of one event; 0 is not stated.
	ObjectiveBy time.Time
	MaxGap      time.Duration
	EventTokens int
	// ObjectiveMissed says that the objective has passed already.
	ObjectiveMissed bool
	// Waited is the time that the request waited in other groups; it keeps its place
	// by arrival.
	Waited time.Duration
	// Immediate requests are refused when no target can serve them in time now.
	Immediate bool
	// Accepted marks a request that has run before. It is not shed: its caller may
	// have received a part of the answer.
	Accepted bool
	// Preemptible work may be stopped and resumed. Plain calls never are.
	Preemptible bool
	// Suspect runs only on a target that runs no other suspect.
	Suspect bool
	// Plain marks a call without tokens.
	Plain bool
	// MayPreempt permits preemption on behalf of this request at once. Without
	// it, a request that waits may still preempt shortly before it would be late.
	MayPreempt  bool
	Fingerprint uint64
	// Prefix are the block hashes of the prompt, see package prefix.
	Prefix []uint64
}

// Outcome says how a granted request ended.
type Outcome uint8

// Outcomes, in the order of the peer messages.
const (
	OutcomeUnknown Outcome = iota
	OutcomeDone
	OutcomeFailed
	OutcomeCanceled
	// OutcomePreempted puts the request back into the queue; the entry need not
	// reserve again, and a Reserve with the same ID changes nothing.
	OutcomePreempted
	OutcomeTargetLost
	OutcomeTimeout
	OutcomeTargetReplaced
)

// Report ends a grant and tells what was observed.
type Report struct {
	ID, Target, Version                      string
	Outcome                                  Outcome
	PromptTokens, CachedTokens, OutputTokens int
	FirstToken, Duration                     time.Duration
}

// DecisionKind is the kind of a Decision.
type DecisionKind uint8

// Kinds of decisions.
const (
	// Grant permits the entry to dispatch the request to Target.
	Grant DecisionKind = iota
	// Queued tells that the request waits here.
	Queued
	// Refuse tells that the request does not run here. It has not run, unless
	// it was preempted before.
	Refuse
	// Preempt asks the entry to stop a granted request and to release it with
	// OutcomePreempted.
	Preempt
)

// Reason says why a request was refused.
type Reason uint8

// Reasons of refusals; see the package documentation.
const (
	ReasonNone Reason = iota
	ReasonCapacity
	ReasonExpired
	ReasonDeadline
	ReasonNoTarget
	ReasonTooLarge
	ReasonPreemptionNeeded
	ReasonBusy
)

var reasonNames = [...]string{
	"none", "capacity", "expired", "deadline", "no-target", "too-large", "preemption-needed", "busy",
}

// String returns the name used in messages and logs.
func (r Reason) String() string {
	if int(r) < len(reasonNames) {
		return reasonNames[r]
	}
	return "unknown"
}

// Shed reports whether a refusal with this reason is for lack of capacity.
func (r Reason) Shed() bool {
	return r == ReasonCapacity || r == ReasonExpired
}

// Decision tells the entry of a request what to do.
type Decision struct {
	Kind              DecisionKind
	ID, Entry, Target string
	// CachedTokens is the expected length of the cached prefix on Target.
	CachedTokens int
	Reason       Reason
	// RetryAfter is set on shed requests.
	RetryAfter time.Duration
}

// HeldGrant is a grant that an entry holds, told to a new owner.
type HeldGrant struct {
	Request Request
	Target  string
}

// RunningRequest is a request in flight.
type RunningRequest struct {
	ID          string
	Fingerprint uint64
	Entry       string
}

// Load is the summary that rides on replies to entries.
type Load = balancer.Load

// Options configure a group. The zero value is usable.
type Options struct {
	// Model predicts times; nil takes a new one. Groups driven by the same
	// goroutine may share a model.
	Model *estimate.Model
	// Picker chooses the target; nil takes balancer.PredictedFinish.
	Picker balancer.Picker
	// Backlog is the number of requests beyond Slots that a target gets, so
	// that it finds the next one at once when a slot frees; 0 takes
	// DefaultBacklog, a negative number is none.
	Backlog int
	// MaxWaiting bounds the queue; 0 takes DefaultMaxWaiting.
	MaxWaiting int
	// PreemptAfter is the time that a request waits while lower-tier work runs,
	// before it preempts; 0 takes DefaultPreemptAfter.
	PreemptAfter time.Duration
	// CheckStalled has targets checked on which a request made no progress, like
	// those on which one was lost.
	CheckStalled bool
	// PrefixBlocks bounds the prefix index of one target; 0 takes the default of
	// package prefix.
	PrefixBlocks int
}

const (
	// DefaultBacklog is one request, as the design states.
	DefaultBacklog = 1
	// DefaultMaxWaiting holds more than a minute of requests at the planned
	// 51 requests/s of a group, in about 3 MB.
	DefaultMaxWaiting = 4096
	// DefaultPreemptAfter leaves time to prefill within the 1.8 s that the
	// design allows for the first token.
	DefaultPreemptAfter = time.Second
	// MaxTier is the largest tier number; larger ones count as MaxTier.
	MaxTier = 15
)

func (o Options) withDefaults() Options {
	if o.Model == nil {
		o.Model = estimate.New()
	}
	if o.Picker == nil {
		o.Picker = balancer.PredictedFinish{}.Build(0)
	}
	if o.Backlog == 0 {
		o.Backlog = DefaultBacklog
	}
	o.Backlog = max(o.Backlog, 0)
	if o.MaxWaiting == 0 {
		o.MaxWaiting = DefaultMaxWaiting
	}
	if o.PreemptAfter == 0 {
		o.PreemptAfter = DefaultPreemptAfter
	}
	return o
}
