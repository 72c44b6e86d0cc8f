package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/coldstart"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/residency"
)

// TargetInfo is the configuration of one target.
type TargetInfo struct {
	Name     string
	Hardware string
	// Region is compared with Request.Regions.
	Region string
	// Slots is the batch size of the target.
	Slots int
	// KVTokens is the size of the engine's KV cache in tokens; 0 is no limit.
	KVTokens int
	// Versions are the versions that the target serves; empty means any version.
	Versions []string
	// Cold limits the grants of the target while it is cold; nil is no limit. The caller sets
	// the time until which the target is cold, and calls Limiter.Resume when the group changes
	// its owner.
	Cold *coldstart.Limiter
}

// TargetState says whether a target gets new work.
type TargetState uint8

// States of a target. Only a target in TargetUp gets new work; in every other
// state the requests in flight stay until they are released.
const (
	TargetUp TargetState = iota
	TargetDown
	TargetLeaving
	TargetEjected
	TargetEvacuated
)

// Request describes a request that needs a target.
type Request struct {
	ID, Entry, Service, Version, Account string
	// Target pins the request to one target; "" means any target.
	Target string
	// Exclude lists targets that failed this request before.
	Exclude []string
	// Regions are the regions whose targets may serve the request.
	Regions residency.Regions
	// Tier is the priority class; 0 is the highest.
	Tier                       int
	PromptTokens, OutputTokens int
	// Deadline is the time by which the answer has to end. FinalDeadline replaces
	// it once the request has run; a zero FinalDeadline leaves Deadline unchanged.
	Deadline, FinalDeadline time.Time
	// FirstTokenBy is the time by which the first token has to come; zero is no
	// bound. It does not apply to an accepted request.
	FirstTokenBy time.Time
	// ObjectiveBy is the time after which the answer, or its first event, is late;
	// zero is no bound. MaxGap and EventTokens describe a stream: the longest pause
	// between two events that still meets the objective, and the number of tokens
	// in one event; 0 means not stated.
	ObjectiveBy time.Time
	MaxGap      time.Duration
	EventTokens int
	// WaitedElsewhere is the time that the request has waited in other groups. It counts
	// towards the request's position in the queue.
	WaitedElsewhere time.Duration
	// Immediate has the request refused with ReasonBusy instead of queued when no
	// target can serve it in time now.
	Immediate bool
	// Accepted marks a request that has run before. It is not shed, because its
	// caller may have received a part of the answer.
	Accepted bool
	// Preemptible permits that the request is stopped and resumed. Plain calls are
	// never preempted.
	Preemptible bool
	// Suspect marks a quarantine suspect: it runs only on a target that runs no
	// other suspect.
	Suspect bool
	// Plain marks a call of a plain service, which has no tokens.
	Plain bool
	// MayPreempt permits preemption for this request on arrival. Without it, a
	// request that waits may still preempt after Options.PreemptAfter, or shortly
	// before it would be late.
	MayPreempt bool
	// Remote marks a request from another data centre. It is served after the other
	// requests of its tier, unless it is accepted: its answer would break otherwise.
	Remote      bool
	Fingerprint uint64
	// Prefix holds the block hashes of the prompt, see package prefix.
	Prefix []uint64
}

// Outcome says how a granted request ended.
type Outcome uint8

// Outcomes, in the order of peerpb.ReleaseOutcome.
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

// Report ends a grant and carries what was observed about the request.
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
	// Queued means that the request waits in this group.
	Queued
	// Refuse means that the request will not run in this group. It has not run
	// yet, unless it was preempted before.
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

// Shed reports whether a refusal with this reason is caused by lack of capacity.
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
	// RetryAfter is the time after which the caller of a shed request should retry.
	RetryAfter time.Duration
	// ColdDelayed marks a grant of a request that had to wait on arrival although a target
	// had room, because that target was cold.
	ColdDelayed bool
}

// HeldGrant is a grant that an entry holds and reports to a new owner.
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

// Load is the load summary that is sent along with replies to entries.
type Load = balancer.Load

// Options configure a group. The zero value is usable.
type Options struct {
	// Model predicts times; nil means a new model. Groups used by the same
	// goroutine may share a model.
	Model *estimate.Model
	// Picker chooses the target; nil means balancer.PredictedFinish.
	Picker balancer.Picker
	// Backlog is the number of requests beyond Slots that a target gets, so that
	// it can start the next one at once when a slot becomes free; 0 means
	// DefaultBacklog, a negative number none.
	Backlog int
	// MaxWaiting bounds the number of waiting requests; 0 means DefaultMaxWaiting.
	MaxWaiting int
	// PreemptAfter is the time that a request waits while lower-tier work runs,
	// before it preempts; 0 means DefaultPreemptAfter.
	PreemptAfter time.Duration
	// CheckOnTimeout has a target checked after a request on it ended with
	// OutcomeTimeout, as after OutcomeTargetLost. It is read by the daemon that
	// runs the group, not by Group.
	CheckOnTimeout bool
	// PrefixBlocks bounds the number of blocks in the prefix index of one target; 0
	// means the default of package prefix.
	PrefixBlocks int
}

const (
	// DefaultBacklog is one request, the value stated in the design.
	DefaultBacklog = 1
	// DefaultMaxWaiting holds more than a minute of requests at the planned
	// 51 requests/s of a group, in about 3 MB.
	DefaultMaxWaiting = 4096
	// DefaultPreemptAfter leaves time to prefill within the 1.8 s that the
	// design allows for the first token.
	DefaultPreemptAfter = time.Second
	// MaxTier is the largest tier number; larger numbers are treated as MaxTier.
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
