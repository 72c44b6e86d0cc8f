package entry

import (
	"context"
	"time"

	"github.com/marjoramflow/marjoramflow/blocklist"
	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/idempotency"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/quarantine"
	"github.com/marjoramflow/marjoramflow/residency"
	"github.com/marjoramflow/marjoramflow/retry"
)

// GrantRequest describes a request to the owner of a target group.
type GrantRequest struct {
	ID           string
	Service      string
	Version      string
	Account      string
	Tier         int
	PromptTokens int
	OutputTokens int
	// Deadline is the time by which the answer has to be complete. FinalDeadline is the
	// time at which a request that has already run is given up.
	Deadline      time.Time
	FinalDeadline time.Time
	// FirstTokenBy is the time by which the first token has to arrive; zero means no
	// bound.
	FirstTokenBy time.Time
	// ObjectiveBy is the time after which the answer, or its first event, misses its
	// objective; zero means no bound. MaxGap is the longest pause between events that
	// meets the objective, EventTokens the number of tokens in one event; for both, 0
	// means not stated.
	ObjectiveBy time.Time
	MaxGap      time.Duration
	EventTokens int
	// Regions are the regions whose targets may serve the request.
	Regions residency.Regions
	// WaitingSince is when the request began to wait; zero means now.
	WaitingSince time.Time
	// AskAllGroups is set when every group that may serve the request in time is asked
	// before the request waits in the queue of one.
	AskAllGroups bool
	// Accepted is set once an attempt of a chat was made, or once the answer to an opaque
	// request has started.
	Accepted    bool
	Preemptible bool
	// Suspect is set when the request may be the cause of lost targets.
	Suspect bool
	// Plain is set for calls without tokens.
	Plain       bool
	Fingerprint uint64
	// SharedParts are the ids of the parts of the prompt that other requests may hold too.
	SharedParts []uint64
	// Prefix holds the hashes of the prompt's leading blocks, for the prefix cache.
	Prefix []uint64
	// Exclude lists the targets on which this request failed.
	Exclude []string
}

// Grant is the permission to run a request on a target.
type Grant struct {
	Request      GrantRequest
	Target       object.Target
	CachedTokens int
	// InFlight is the number of requests on the target, including this one.
	InFlight int
	// GrantedAt is the time of the grant.
	GrantedAt time.Time
	// Preempted is closed when the owner revokes the grant.
	Preempted <-chan struct{}
}

// Result is how an attempt under a grant ended.
type Result int

// Results of attempts.
const (
	ResultDone Result = iota + 1
	ResultFailed
	ResultCanceled
	ResultPreempted
	ResultTargetLost
	ResultTimeout
	// ResultTargetReplaced means that a different target answers at the address.
	ResultTargetReplaced
)

// Report is the result of an attempt, sent to the owner when the grant is released.
type Report struct {
	Result       Result
	PromptTokens int
	CachedTokens int
	OutputTokens int
	// LostParts are the parts of the prompt that may have crashed the target, if the target was
	// lost after it got the request. Begun is set if it had begun to answer, see Blocklist.Begun.
	LostParts []uint64
	Begun     bool
	// FirstToken is the time from dispatch to the first token or, for an opaque answer
	// that is not streamed, to its head; 0 without one. Duration is the time from dispatch
	// to the end.
	FirstToken time.Duration
	Duration   time.Duration
}

// GrantClient reserves targets from the owners of target groups. Reserve blocks until it
// has a grant, a *Refusal, or the context ends. Each grant must be released exactly
// once.
type GrantClient interface {
	Reserve(ctx context.Context, request GrantRequest) (*Grant, error)
	Release(grant *Grant, report Report)
	// ReportUnresponsive tells the owner that the target of a grant has not answered for
	// longer than usual. The grant stays valid.
	ReportUnresponsive(grant *Grant)
	// Requeue releases a preempted grant and blocks until the request has a new one.
	// The request keeps its place in the owner's queue.
	Requeue(ctx context.Context, grant *Grant, report Report) (*Grant, error)
}

// Engines starts streams on model engines.
type Engines interface {
	Stream(ctx context.Context, call *engine.Call) (*engine.Stream, error)
}

// PlainServices runs calls on plain services.
type PlainServices interface {
	Do(ctx context.Context, call *plainservice.Call) (*plainservice.Answer, error)
}

// VersionPicker chooses the version of a request by the shares of the moves in force.
type VersionPicker interface {
	// Pick returns the version for an attempt. failed is the version of the attempt before, or
	// empty for the first one.
	Pick(service *object.Service, failed string) string
}

// Observer receives finished attempts, as evidence for moves, ejection and metrics.
type Observer interface {
	ObserveAttempt(Observation)
}

// Observation is one finished attempt.
type Observation struct {
	// Request is the id of the request and Err the error of the attempt; both are set
	// only for opaque requests.
	Request string
	Err     error
	// Fingerprint, SharedParts and Suspect are those of an opaque request, and Number counts
	// its attempts from 1. Begun is set when a part of the answer arrived.
	Fingerprint uint64
	SharedParts []uint64
	Suspect     bool
	Number      int
	Begun       bool
	Service     string
	Route       string
	Version     string
	Target      string
	Tier        string
	Account     string
	// Failed is set when the target gave no valid answer. Attempts that the caller or the
	// scheduler stopped are not failures.
	Failed bool
	// Stopped is set when the caller or the scheduler ended the attempt.
	Stopped bool
	// FirstToken is Report.FirstToken, Duration is Report.Duration.
	FirstToken time.Duration
	Duration   time.Duration
	// Pace is the mean time between two events of a stream; 0 with fewer than two.
	Pace time.Duration
	// InFlight is the number of requests on the target at dispatch, this one included;
	// Slots is the number that the target can run at once.
	InFlight, Slots int
	// PromptTokens and CachedTokens determine the prefill work before the first token.
	PromptTokens, CachedTokens, OutputTokens int
	// Hardware is the target's hardware generation.
	Hardware string
	// QueueWait is the time from arrival to the first grant; 0 for later attempts.
	QueueWait time.Duration
	// Plain is set for calls of plain services, which have no first token.
	Plain bool
}

// IdempotencyKeys claims idempotency keys across all daemons; idempotency.Claims implements
// it. When Claim returns an error, the request must not be dispatched.
type IdempotencyKeys interface {
	Claim(ctx context.Context, key idempotency.Key, fingerprint uint64) (idempotency.Result, error)
	Complete(ctx context.Context, claim *idempotency.HeldClaim, answer idempotency.Answer) error
	Abandon(claim *idempotency.HeldClaim)
	MarkUnknown(claim *idempotency.HeldClaim)
}

// Quarantine tracks the fingerprints of requests that crash targets.
type Quarantine interface {
	StateOf(fingerprint uint64) quarantine.State
	// RequestFinished clears a suspect request that ran to its end.
	RequestFinished(fingerprint uint64)
}

// Blocklist knows the parts of prompts that crash targets.
type Blocklist interface {
	// Check returns how a request with these shared parts is treated.
	Check(parts []uint64) blocklist.Verdict
	// StartTrial lets one request of a blocked set through, and reports whether it did.
	StartTrial(set []uint64) bool
	// Begun records that a target began to answer a request with these shared parts: it sent the
	// second event of a stream, or an answer that is not streamed. A target may crash while it
	// writes the first event.
	Begun(parts []uint64)
	// Finished records that a target answered a request with these shared parts to its end. It may
	// still be lost to this request.
	Finished(target string, fingerprint uint64, parts []uint64)
	// Suspects returns the shared parts of a request that may have crashed its target.
	Suspects(fingerprint uint64, parts []uint64) []uint64
}

// Avoidance remembers the targets that want no more requests from this daemon. The grant
// client does not return grants for them.
type Avoidance interface {
	// Leave records that a target said that it leaves, Pause that it wants no requests for a
	// time.
	Leave(now time.Time, target *object.Target)
	Pause(now time.Time, target *object.Target, pause time.Duration)
}

// HedgePolicy decides whether an idempotent call that has no answer yet is sent to a
// second target.
type HedgePolicy interface {
	// Observe records how long an answered call of a class took.
	Observe(class string, took time.Duration)
	// Delay returns the time after which a call is hedged; false means that calls of
	// the class are not hedged.
	Delay(class string) (time.Duration, bool)
	// TryHedge charges one hedge to the retry budget of the service, and reports whether
	// it is allowed.
	TryHedge(service string, h retry.HedgeCandidate) bool
}

// RetryPolicy decides whether a request is retried, within the retry budget of its
// service.
type RetryPolicy interface {
	// CountRequest counts a request, before its first attempt, for the retry budget.
	CountRequest(service string)
	// Decide returns the action to take after an attempt.
	Decide(service string, a retry.Attempt) retry.Action
}
