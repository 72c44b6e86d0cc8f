package demo

import (
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
	"github.com/marjoramflow/marjoramflow/bench/standin/plain"
)

// Kinds of requests of the demo.
const (
	kindChat  = "chat"
	kindPlain = "reservation"
)

// Record is one request and what its caller was told.
type Record struct {
	Kind string
	// ID is the request id, which the execution logs repeat.
	ID         string
	Daemon     string
	DataCentre string
	// Rank is the tier of the account; 0 is the highest.
	Rank int
	// Body and Key are those of a reservation. A repeated key has the same body.
	Body, Key string
	Repeat    bool
	Started   time.Time
	Ended     time.Time
	Result    caller.Result
}

// Window is a span of time with a fault on one daemon, or on the platform when
// Daemon is empty.
type Window struct {
	Daemon   string
	From, To time.Time
}

// contains says whether the window overlaps the record's time.
func (w Window) contains(r *Record) bool {
	return r.Ended.After(w.From) && r.Started.Before(w.To)
}

// Publication is one published generation.
type Publication struct {
	Name string
	// Took is the time until every reachable daemon had the generation.
	Took time.Duration
	Err  string
}

// Sample is the generation that a daemon reported.
type Sample struct {
	Daemon     string
	At         time.Time
	Generation uint64
}

// Drained counts the work of a target that was taken out of service.
type Drained struct {
	Target string
	// AtBound is the number of executions at the bound of R7, AtEnd the number
	// when the target was put back.
	AtBound, AtEnd int
	// Elsewhere is the work of other targets meanwhile.
	Elsewhere int
}

// Move is how a move ended, with the traffic of its new version.
type Move struct {
	Want, Phase, Reason string
	Took                time.Duration
	// NewRuns and AllRuns count attempts on engines from the publication to the
	// end of the move, LateRuns those of the new version after it was reversed.
	NewRuns, AllRuns, LateRuns int
}

// Evidence is everything that the report is made from.
type Evidence struct {
	Records      []Record
	Plain        []plain.Execution
	Engine       []engine.Execution
	Killed       Window
	Stopped      Window
	Outage       Window
	Burst        Window
	Publications []Publication
	Samples      []Sample
	Drained      Drained
	Good, Bad    Move
}
