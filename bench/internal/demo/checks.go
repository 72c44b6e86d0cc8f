package demo

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
)

// Finding is the result of one check.
type Finding struct {
	Promise string
	// Checked says what was checked and counted.
	Checked string
	// Violations are the cases that break the promise; none when it held.
	Violations []string
}

func (f *Finding) broken(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// Bounds of the design page and of the demo.
const (
	boundInForce = 4 * time.Second
	boundLeaving = 3 * time.Second
	// boundBadShare is the largest part of the attempts that may reach a bad
	// version; the first step of a move is 1%, the second 5%.
	boundBadShare = 0.10
	// streamMargin covers tokens on their way when a request is refused.
	streamMargin = 500 * time.Millisecond
)

// Check compares what callers were told with what ran.
func (e *Evidence) Check() []Finding {
	return []Finding{
		e.atMostOnce("R1", "keyed reservations", func(r *Record) bool { return r.Key != "" }),
		e.tierOrder(),
		e.badVersion(),
		e.wholeAnswers(),
		e.notRun(),
		e.atMostOnce("R6", "reservations without a key", func(r *Record) bool { return r.Key == "" }),
		e.leavingTarget(),
		e.plannedStop(),
		e.killedDaemon(),
		e.expiredStreams(),
		e.goodVersion(),
		e.configuration(),
	}
}

// atMostOnce compares the runs of each reservation with what its callers know.
func (e *Evidence) atMostOnce(promise, what string, selected func(*Record) bool) Finding {
	runs := make(map[string]int)
	for _, x := range e.Plain {
		runs[x.Body]++
	}
	f := Finding{Promise: promise}
	whole := make(map[string]bool)
	bodies := make(map[string]bool)
	repeats := 0
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind != kindPlain || !selected(r) {
			continue
		}
		bodies[r.Body] = true
		whole[r.Body] = whole[r.Body] || r.Result.Outcome == caller.Complete
		if r.Repeat {
			repeats++
		}
	}
	confirmed := 0
	for _, body := range sortedKeys(bodies) {
		if runs[body] > 1 {
			f.broken("%q ran %d times", body, runs[body])
		}
		if whole[body] {
			confirmed++
			if runs[body] == 0 {
				f.broken("%q was confirmed and did not run", body)
			}
		}
	}
	f.Checked = fmt.Sprintf("%d %s (%d sent again through other daemons), %d confirmed; none ran twice", len(bodies), what, repeats, confirmed)
	if confirmed == 0 {
		f.broken("no reservation was confirmed, so nothing was shown")
	}
	return f
}

// tierOrder looks for lower-tier streams that kept running in a data centre that
// refused a higher tier for lack of capacity.
func (e *Evidence) tierOrder() Finding {
	f := Finding{Promise: "R2"}
	shed := map[int]int{}
	for i := range e.Records {
		r := &e.Records[i]
		if !isShed(r) {
			continue
		}
		shed[r.Rank]++
		for j := range e.Records {
			if lower := &e.Records[j]; lower.Rank > r.Rank && lower.DataCentre == r.DataCentre && servedThrough(lower, r) {
				f.broken("%s of tier %d was refused (%s) while %s of tier %d was served", r.ID, r.Rank, r.Result.Code, lower.ID, lower.Rank)
			}
		}
	}
	sent := 0
	for i := range e.Records {
		if e.Records[i].Kind == kindChat && e.Burst.contains(&e.Records[i]) {
			sent++
		}
	}
	f.Checked = fmt.Sprintf("burst of %d requests; refused for lack of capacity by tier: %d gold, %d silver, %d bronze; no lower tier was served meanwhile", sent, shed[0], shed[1], shed[2])
	if shed[0]+shed[1]+shed[2] == 0 {
		f.broken("the burst overloaded nothing, so nothing was shown")
	}
	return f
}

// isShed says whether a chat was refused for lack of capacity.
func isShed(r *Record) bool {
	return r.Kind == kindChat && r.Result.Outcome == caller.NotRun && (r.Result.Code == "overloaded" || r.Result.Code == codeDeadline)
}

// servedThrough says whether a stream got tokens before the refusal and, without
// a pause that a preemption makes, after it.
func servedThrough(lower, refused *Record) bool {
	if lower.Kind != kindChat || lower.Result.Tokens == 0 {
		return false
	}
	at := lower.Started.Add(lower.Result.FirstToken)
	if !at.Before(refused.Started) {
		return false
	}
	after := refused.Ended.Add(streamMargin)
	for _, gap := range lower.Result.Gaps {
		next := at.Add(gap)
		if next.After(refused.Started) && gap > streamMargin {
			return false
		}
		if at.After(refused.Started) && next.After(after) {
			return true
		}
		at = next
	}
	return false
}

// badVersion checks the reversed move.
func (e *Evidence) badVersion() Finding {
	m := e.Bad
	f := Finding{Promise: "R3"}
	share := 0.0
	if m.AllRuns > 0 {
		share = float64(m.NewRuns) / float64(m.AllRuns)
	}
	f.Checked = fmt.Sprintf("bad version %s after %.1f s, got %d of %d attempts (%.1f%%), %d later than %s after that",
		m.Phase, m.Took.Seconds(), m.NewRuns, m.AllRuns, 100*share, m.LateRuns, boundLeaving)
	if m.Phase != m.Want {
		f.broken("the bad move is %s: %s", m.Phase, m.Reason)
	}
	if m.NewRuns == 0 {
		f.broken("the bad version got no traffic, so nothing was shown")
	}
	if share > boundBadShare {
		f.broken("the bad version got %.1f%% of the attempts", 100*share)
	}
	if m.LateRuns > 0 {
		f.broken("the bad version got %d attempts after it was reversed", m.LateRuns)
	}
	return f
}

// wholeAnswers checks that nobody got a wrong or short answer.
func (e *Evidence) wholeAnswers() Finding {
	f := Finding{Promise: "R4"}
	whole := map[string]int{}
	for i := range e.Records {
		r := &e.Records[i]
		switch r.Result.Outcome {
		case caller.Wrong:
			f.broken("%s got a wrong answer: %s", r.ID, r.Result.Message)
		case caller.Complete:
			whole[r.Kind]++
		}
	}
	f.Checked = fmt.Sprintf("%d streams and %d reservation answers compared with the expected text", whole[kindChat], whole[kindPlain])
	if whole[kindChat] == 0 || whole[kindPlain] == 0 {
		f.broken("no whole answer, so nothing was shown")
	}
	return f
}

// notRun looks for refused requests in the execution logs.
func (e *Evidence) notRun() Finding {
	f := Finding{Promise: "R5"}
	ran := make(map[string]bool)
	for _, x := range e.Plain {
		ran[x.RequestID] = true
	}
	for _, x := range e.Engine {
		ran[requestOf(x.RequestID)] = true
	}
	refused := map[string]int{}
	for i := range e.Records {
		r := &e.Records[i]
		if r.Result.Outcome != caller.NotRun {
			continue
		}
		refused[r.Kind]++
		if ran[r.ID] {
			f.broken("%s was refused as not run (%s) and ran", r.ID, r.Result.Code)
		}
	}
	f.Checked = fmt.Sprintf("%d chats and %d reservations refused as \"not run\"; none is in an execution log", refused[kindChat], refused[kindPlain])
	if refused[kindPlain] == 0 {
		f.broken("no reservation was refused during the outage, so nothing was shown")
	}
	return f
}

// requestOf removes the number of the attempt from an attempt's id.
func requestOf(attempt string) string {
	if i := strings.LastIndexByte(attempt, '.'); i > 0 {
		return attempt[:i]
	}
	return attempt
}

func sortedKeys(m map[string]bool) []string {
	var keys []string
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}
