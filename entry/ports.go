package entry

import (
	"context"
	"time"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/idempotency"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
	"github.com/marjoramflow/marjoramflow/quarantine"
	"github.com/marjoramflow/marjoramflow/retry"
)

// Need describes the grant that a request asks for.
type GrantRequest struct {
	ID           string
	Service      string
	Version      string
	Account      string
	Tier         int
	PromptTokens int
	OutputTokens int
	// Deadline is the time by which the answer has to end, Final the time until
	// which a request that has run is followed.
	Deadline      time.Time
	FinalDeadline time.Time
	// FirstTokenBy is the time by which the first token has to come; zero is no
	// bound.
	FirstTokenBy time.Time
	// ObjectiveBy is the time after which the answer, or its first event, is late;
	// zero is no bound. MaxGap is the longest pause between events of an answer in
	// time, EventTokens the tokens of one event; 0 is not stated.
	ObjectiveBy time.Time
	MaxGap      time.Duration
	EventTokens int
	// ObjectiveMissed says that the objective has passed, since the caller was sent away before.
	ObjectiveMissed bool
	// WaitingSince is when the request began to wait; zero is now.
	WaitingSince time.Time
	// AskAllGroups asks every group that may serve the request in time before it waits
	// in the queue of one.
	AskAllGroups bool
	// Accepted is set once the request has run.
	Accepted    bool
	Preemptible bool
	Suspect     bool
	Plain       bool
	Fingerprint uint64
	Prefix      []uint64
	// Exclude lists targets that failed this request.
	Exclude []string
}

// Grant is the permission to run a request on a target.
type Grant struct {
	Request      GrantRequest
	Target       object.Target
	CachedTokens int
	// InFlight is the number of requests on the target, this one included.
	InFlight int
	// At is the time of the grant.
	At time.Time
	// Preempted is closed when the owner takes the grant back.
	Preempted <-chan struct{}
}

// Result says how an attempt under a grant ended.
type Result int

// Results of attempts.
const (
	ResultDone Result = iota + 1
	ResultFailed
	ResultCanceled
	ResultPreempted
	ResultTargetLost
	ResultTimeout
	// ResultTargetReplaced: another target answers at the address.
	ResultTargetReplaced
)

// Report ends a grant.
type Report struct {
	Result       Result
	PromptTokens int
	CachedTokens int
	OutputTokens int
	FirstToken   time.Duration
	Duration     time.Duration
}

// Grants asks the owners of target groups. Reserve blocks until a grant, a
// *Refusal or the end of the context. Each grant is released exactly once.
type Grants interface {
	Reserve(ctx context.Context, request GrantRequest) (*Grant, error)
	Release(grant *Grant, report Report)
	// ReportUnresponsive tells the owner that a target has not answered a granted request for
	// longer than usual. The grant goes on.
	ReportUnresponsive(grant *Grant)
	// Requeue releases a preempted grant and blocks until the request is granted
	// again. The request keeps its place in the owner's queue.
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
	Pick(service *object.Service) string
}

// Observer takes what was seen of an attempt, as evidence for moves, ejection
// and metrics.
type Observer interface {
	ObserveAttempt(Observation)
}

// Observation is one finished attempt.
type Observation struct {
	// CountRequest is the request's id, and Err why its attempt failed; set for opaque
	// requests.
	Request string
	Err     error
	Service string
	Route   string
	Version string
	Target  string
	Tier    string
	Account string
	// Failed says that the target did not answer properly. Attempts that the
	// caller or the scheduler stopped are not failures.
	Failed bool
	// Stopped says that the caller or the scheduler ended the attempt.
	Stopped  bool
	First    time.Duration
	Duration time.Duration
	// InFlight and Slots are the use of the target at dispatch.
	InFlight, Slots int
	// PromptTokens and CachedTokens are the work before the first token.
	PromptTokens, CachedTokens, OutputTokens int
	// Hardware is the target's hardware generation.
	Hardware string
	// QueueWait is the time from arrival to the first grant; 0 for later attempts.
	QueueWait time.Duration
	// Plain is set for calls of plain services, which have no first token.
	Plain bool
}

// IdempotencyKeys claims idempotency keys across all daemons; idempotency.Claims implements
// it. An error of Claim means that nothing may be dispatched.
type IdempotencyKeys interface {
	Claim(ctx context.Context, key idempotency.Key, fingerprint uint64) (idempotency.Result, error)
	Complete(ctx context.Context, claim *idempotency.HeldClaim, answer idempotency.Answer) error
	Abandon(claim *idempotency.HeldClaim)
	MarkUnknown(claim *idempotency.HeldClaim)
}

// Quarantine knows the fingerprints of requests that crash targets.
type Quarantine interface {
	Check(fingerprint uint64) quarantine.State
	// RequestFinished clears a suspect that ran to its end.
	RequestFinished(fingerprint uint64)
}

// HedgePolicy decides whether an idempotent call that has no answer yet is sent to a
// second target.
type HedgePolicy interface {
	// Observe records the time of an answered call of a class.
	Observe(class string, took time.Duration)
	// Delay returns the time after which a call is hedged; false is never.
	Delay(class string) (time.Duration, bool)
	// TryHedge takes one hedge from the retry budget of the service.
	TryHedge(service string, h retry.Hedge) bool
}

// RetryPolicy decides about further attempts within the retry budget of a service.
type RetryPolicy interface {
	// CountRequest counts a first attempt.
	CountRequest(service string)
	// Decide says what to do after an attempt.
	Decide(service string, a retry.Attempt) retry.Action
}
