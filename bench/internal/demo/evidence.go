package demo

import (
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
	"github.com/marjoramflow/marjoramflow/bench/standin/plain"
)

// Kinds of the requests that the demo sends.
const (
	kindChat        = "chat"
	kindReservation = "reservation"
)

// Record is one request with the result that its caller got.
type Record struct {
	Kind string
	// ID is the request id, which also appears in the execution logs.
	ID         string
	Daemon     string
	DataCentre string
	// Rank is the tier of the account; 0 is the highest.
	Rank int
	// Body and Key are the body and the idempotency key of a reservation. Requests with
	// the same key have the same body.
	Body, Key string
	// Repeat is set if the request repeats the key of another request.
	Repeat  bool
	Started time.Time
	Ended   time.Time
	Result  caller.Result
}

// Window is a span of time with a fault of one daemon, or with a platform outage or a
// burst when Daemon is empty.
type Window struct {
	Daemon   string
	From, To time.Time
}

// overlaps reports whether a request was in progress at any time within the window.
func (w Window) overlaps(r *Record) bool {
	return r.Ended.After(w.From) && r.Started.Before(w.To)
}

// Publication is the publication of one generation.
type Publication struct {
	Name string
	// Took is the time until the generation was in force on every reachable daemon.
	Took time.Duration
	// Err is the error and output of marjoramctl, empty if it succeeded.
	Err string
}

// Sample is the generation that a daemon reported at a time.
type Sample struct {
	Daemon     string
	At         time.Time
	Generation uint64
}

// DrainResult counts the attempts on a target that was drained.
type DrainResult struct {
	Target string
	// AttemptsAtBound is the number of attempts on the target when maxLeavingDelay, the
	// bound of promise R7, had passed, AttemptsAtEnd the number when the drain ended.
	AttemptsAtBound, AttemptsAtEnd int
	// AttemptsOnAllEngines is the number of attempts on all engines, the drained one
	// included, between these two times.
	AttemptsOnAllEngines int
}

// MoveResult is the outcome of a move and the traffic that its new version got.
type MoveResult struct {
	WantPhase, Phase, Reason string
	// Took is the time from the publication in force to the end of the move.
	Took time.Duration
	// NewVersionAttempts and AllAttempts count the attempts on engines, of the new version
	// and of all versions, from the publication to the end of the move. LateAttempts counts
	// those of the new version later than maxLeavingDelay after the reversal.
	NewVersionAttempts, AllAttempts, LateAttempts int
}

// Evidence holds all data that the checks and the report use.
type Evidence struct {
	Records           []Record
	PlainExecutions   []plain.Execution
	EngineExecutions  []engine.Execution
	Killed            Window
	Stopped           Window
	Outage            Window
	Burst             Window
	Publications      []Publication
	Samples           []Sample
	Drain             DrainResult
	GoodMove, BadMove MoveResult
}
