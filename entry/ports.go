package entry

import (
	"context"
	"net/http"
	"time"

	"github.com/marjoramflow/marjoramflow/engine"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/plainservice"
)

// Need describes the grant that a request asks for.
type Need struct {
	ID           string
	Service      string
	Version      string
	Account      string
	Tier         int
	PromptTokens int
	OutputTokens int
	Deadline     time.Time
	Preemptible  bool
	Suspect      bool
	Plain        bool
	Fingerprint  uint64
	Prefix       []uint64
	// Exclude lists targets that failed this request.
	Exclude []string
}

// Grant is the permission to run a request on a target.
type Grant struct {
	Need         Need
	Target       object.Target
	CachedTokens int
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
	Reserve(ctx context.Context, need Need) (*Grant, error)
	Release(grant *Grant, report Report)
	// Requeue releases a preempted grant and blocks until the request is granted
	// again. The request keeps its place in the owner's queue.
	Requeue(ctx context.Context, grant *Grant, report Report) (*Grant, error)
}

// Engines starts streams on model engines.
type Engines interface {
	Stream(ctx context.Context, call *engine.Call) (*engine.Stream, error)
}

// Plains runs calls on plain services.
type Plains interface {
	Do(ctx context.Context, call *plainservice.Call) (*plainservice.Answer, error)
}

// Versions chooses the version of a request by the shares of the moves in force.
type Versions interface {
	Pick(service *object.Service) string
}

// Observer takes what was seen of an attempt, as evidence for moves, ejection
// and metrics.
type Observer interface {
	Attempt(Observation)
}

// Observation is one finished attempt.
type Observation struct {
	Service  string
	Route    string
	Version  string
	Target   string
	Tier     string
	Account  string
	Failed   bool
	First    time.Duration
	Duration time.Duration
	Expected time.Duration
}

// KeyState is the state of an idempotency key.
type KeyState int

// States of an idempotency key.
const (
	KeyClaimed KeyState = iota + 1
	KeyDone
	KeyInProgress
	KeyUnknown
	KeyMismatch
)

// Stored is a stored answer.
type Stored struct {
	Status int
	Header http.Header
	Body   []byte
}

// Keys claims idempotency keys across all daemons.
type Keys interface {
	// Claim returns an error only when it is certain that the key was not claimed
	// by this call and nothing may be dispatched.
	Claim(ctx context.Context, service, account, key string, fingerprint uint64) (KeyClaim, error)
}

// KeyClaim is the result of a claim. The last three methods are for KeyClaimed.
type KeyClaim interface {
	State() KeyState
	// Stored returns the answer for KeyDone.
	Stored() *Stored
	Complete(answer *Stored)
	// Abandon gives the key back; the request is certain not to have run.
	Abandon()
	MarkUnknown()
}

// Suspects knows the fingerprints of requests that crash targets.
type Suspects interface {
	// Check says whether the fingerprint is quarantined, or suspect.
	Check(fingerprint uint64) (quarantined, suspect bool)
	// Finished clears a suspect that ran to its end.
	Finished(fingerprint uint64)
}

// RetryBudget bounds retries per service.
type RetryBudget interface {
	// Request counts a first attempt.
	Request(service string)
	// Allow takes one retry from the budget.
	Allow(service string) bool
}
