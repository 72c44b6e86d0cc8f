package demo

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/standin/engine"
	"github.com/marjoramflow/marjoramflow/bench/standin/plain"
)

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time {
	return startTime.Add(time.Duration(seconds * float64(time.Second)))
}

func chatRecord(id, daemon string, rank int, from, to float64, outcome, code string) Record {
	return Record{Kind: kindChat, ID: id, Daemon: daemon, DataCentre: "a", Rank: rank, Started: at(from), Ended: at(to), Result: caller.Result{Outcome: outcome, Code: code}}
}

func plainRecord(id, body, key, outcome string) Record {
	return Record{Kind: kindReservation, ID: id, Daemon: "a-2", Body: body, Key: key, Started: at(30), Ended: at(31), Result: caller.Result{Outcome: outcome}}
}

// streamRecord returns the record of a complete stream with a token every 100 ms.
func streamRecord(id string, rank int, from, to float64) Record {
	r := chatRecord(id, "a-2", rank, from, to, caller.Complete, "")
	for t := from + 0.1; t < to; t += 0.1 {
		r.Result.Gaps = append(r.Result.Gaps, 100*time.Millisecond)
		r.Result.Tokens++
	}
	return r
}

// evidenceWithoutViolations returns the evidence of a run in which every promise held.
func evidenceWithoutViolations() *Evidence {
	return &Evidence{
		Records: []Record{
			chatRecord("c1", "a-1", 0, 9, 11, caller.Broken, ""),
			chatRecord("c2", "a-2", 0, 9, 11, caller.Complete, ""),
			chatRecord("c3", "a-3", 0, 20, 21, caller.Complete, ""),
			streamRecord("c4", 2, 40, 41),
			chatRecord("c5", "a-2", 1, 45, 45.1, caller.NotRun, "overloaded"),
			plainRecord("p1", "one", "k1", caller.Complete),
			plainRecord("p2", "two", "", caller.Complete),
			plainRecord("p3", "three", "k3", caller.NotRun),
		},
		PlainExecutions:  []plain.Execution{{RequestID: "p1", Body: "one"}, {RequestID: "p2", Body: "two"}},
		EngineExecutions: []engine.Execution{{RequestID: "c2.1"}, {RequestID: "c4.1"}},
		Killed:           Window{Daemon: "a-1", From: at(10), To: at(12)},
		Stopped:          Window{Daemon: "a-3", From: at(20), To: at(22)},
		Burst:            Window{From: at(40), To: at(50)},
		Publications:     []Publication{{Name: "set", Took: time.Second}},
		Samples:          []Sample{{Daemon: "a-1", Generation: 1}, {Daemon: "a-1", Generation: 2}},
		Drain:            DrainResult{Target: "t", AttemptsAtBound: 5, AttemptsAtEnd: 5, AttemptsOnAllEngines: 7},
		GoodMove:         MoveResult{WantPhase: "done", Phase: "done"},
		BadMove:          MoveResult{WantPhase: "reversed", Phase: "reversed", NewVersionAttempts: 3, AllAttempts: 100},
	}
}

// Guards against checks that report a violation where there is none.
func TestReportWithoutViolations(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, evidenceWithoutViolations().Report(&out), out.String())
}

// Guards against checks that cannot fail: evidence of each kind of violation has to be
// reported under its promise, and Report has to return an error.
func TestEachViolationIsReported(t *testing.T) {
	cases := []struct {
		name, promise string
		violate       func(*Evidence)
	}{
		{"keyed reservation ran twice", "R1", func(e *Evidence) {
			e.PlainExecutions = append(e.PlainExecutions, plain.Execution{RequestID: "p9", Body: "one"})
		}},
		{"confirmed reservation did not run", "R1", func(e *Evidence) { e.PlainExecutions = e.PlainExecutions[1:] }},
		{"no keyed reservation was confirmed", "R1", func(e *Evidence) { e.Records[5].Result.Outcome = caller.Unknown }},
		{"lower tier served while a higher one is shed", "R2", func(e *Evidence) { e.Records = append(e.Records, streamRecord("c9", 2, 43, 47)) }},
		{"nothing was overloaded", "R2", func(e *Evidence) { e.Records[4].Result.Outcome = caller.Complete }},
		{"bad version stayed", "R3", func(e *Evidence) { e.BadMove.Phase = "done" }},
		{"bad version got much traffic", "R3", func(e *Evidence) { e.BadMove.NewVersionAttempts = 30 }},
		{"bad version got traffic after its reversal", "R3", func(e *Evidence) { e.BadMove.LateAttempts = 1 }},
		{"bad version got no traffic at all", "R3", func(e *Evidence) { e.BadMove.NewVersionAttempts = 0 }},
		{"answer of another request", "R4", func(e *Evidence) { e.Records[3].Result.Outcome = caller.Wrong }},
		{"refused reservation ran", "R5", func(e *Evidence) {
			e.PlainExecutions = append(e.PlainExecutions, plain.Execution{RequestID: "p3", Body: "three"})
		}},
		{"refused chat ran", "R5", func(e *Evidence) {
			e.EngineExecutions = append(e.EngineExecutions, engine.Execution{RequestID: "c5.2"})
		}},
		{"reservation without a key ran twice", "R6", func(e *Evidence) {
			e.PlainExecutions = append(e.PlainExecutions, plain.Execution{RequestID: "p2", Body: "two"})
		}},
		{"drained target got work", "R7", func(e *Evidence) { e.Drain.AttemptsAtEnd++ }},
		{"drained target had no load", "R7", func(e *Evidence) { e.Drain = DrainResult{Target: "t"} }},
		{"planned stop cut a connection", "R8", func(e *Evidence) { e.Records[2].Result.Outcome = caller.Broken }},
		{"planned stop cut a stream of another daemon", "R8", func(e *Evidence) {
			e.Records = append(e.Records, chatRecord("c9", "a-2", 0, 20, 21, caller.Failed, "target_failed"))
		}},
		{"kill cut a caller of another daemon", "F1", func(e *Evidence) { e.Records[1].Result.Outcome = caller.Broken }},
		{"reservation broke long after the kill", "F1", func(e *Evidence) {
			e.Records[6].Result.Outcome = caller.Broken
			e.Records[6].Key = "k2"
			e.PlainExecutions = nil
		}},
		{"chat failed long after the kill", "F1", func(e *Evidence) {
			e.Records = append(e.Records, chatRecord("c9", "a-1", 0, 60, 61, caller.Failed, "target_failed"))
		}},
		{"stream ended at its deadline without an overload", "ends", func(e *Evidence) {
			e.Records = append(e.Records, expiredStream(60))
		}},
		{"stream ended at its deadline in the burst", "ends", func(e *Evidence) {
			e.Records = append(e.Records, expiredStream(42))
		}},
		{"good version was reversed", "moves", func(e *Evidence) { e.GoodMove.Phase = "reversed" }},
		{"publication was late", "R9", func(e *Evidence) { e.Publications[0].Took = 5 * time.Second }},
		{"publication failed", "R9", func(e *Evidence) { e.Publications[0].Err = "exit status 5" }},
		{"daemon went back to an older generation", "R9", func(e *Evidence) { e.Samples[1].Generation = 0 }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			e := evidenceWithoutViolations()
			c.violate(e)
			assert.Assert(t, hasViolation(e, c.promise))
			var out bytes.Buffer
			assert.Assert(t, errors.Is(e.Report(&out), ErrViolation))
			assert.Assert(t, strings.Contains(out.String(), "BROKEN"))
		})
	}
}

// expiredStream returns the record of a stream that was ended at its deadline.
func expiredStream(from float64) Record {
	r := chatRecord("c9", "a-2", 2, from, from+8, caller.Failed, codeDeadline)
	r.Result.Tokens = 4
	return r
}

// hasViolation reports whether a check of the promise found a violation.
func hasViolation(e *Evidence, promise string) bool {
	for _, f := range e.Check() {
		if f.Promise == promise && len(f.Violations) > 0 {
			return true
		}
	}
	return false
}
