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
	// Promise is the label of the check in the report: the number of a promise or a fault,
	// such as "R1" or "F1", or a word for another property, such as "ends".
	Promise string
	// Checked describes what was checked, with its counts.
	Checked string
	// Violations describes each case that violates the promise. It also has an entry if
	// the evidence is not sufficient for the check.
	Violations []string
}

func (f *Finding) addViolation(format string, args ...any) {
	f.Violations = append(f.Violations, fmt.Sprintf(format, args...))
}

// Bounds of the design page and of the demo.
const (
	// maxInForceDelay is the longest time until a publication is in force everywhere.
	maxInForceDelay = 4 * time.Second
	// maxLeavingDelay is the longest time until a target that leaves, or a version whose
	// move was reversed, gets no new attempts.
	maxLeavingDelay = 3 * time.Second
	// maxBadVersionShare is the largest share of the attempts that a bad version may
	// get. The first step of a move is 1%, the second 5%.
	maxBadVersionShare = 0.10
	// streamMargin allows for tokens that are in transit when a request is refused. A
	// longer gap in a stream counts as a preemption.
	streamMargin = 500 * time.Millisecond
)

// Check runs all checks. They compare the answers that callers got with the execution
// logs of the targets.
func (e *Evidence) Check() []Finding {
	return []Finding{
		e.checkAtMostOnce("R1", "keyed reservations", func(r *Record) bool { return r.Key != "" }),
		e.checkTierOrder(),
		e.checkBadVersion(),
		e.checkCompleteAnswers(),
		e.checkNotRun(),
		e.checkAtMostOnce("R6", "reservations without a key", func(r *Record) bool { return r.Key == "" }),
		e.checkDrainedTarget(),
		e.checkPlannedStop(),
		e.checkKilledDaemon(),
		e.checkExpiredStreams(),
		e.checkGoodVersion(),
		e.checkConfiguration(),
	}
}

// checkAtMostOnce checks, for the selected reservations, that none ran more than once
// and that each one that was confirmed ran.
func (e *Evidence) checkAtMostOnce(promise, requests string, selected func(*Record) bool) Finding {
	runs := make(map[string]int)
	for _, x := range e.PlainExecutions {
		runs[x.Body]++
	}
	f := Finding{Promise: promise}
	completed := make(map[string]bool)
	bodies := make(map[string]bool)
	repeats := 0
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind != kindReservation || !selected(r) {
			continue
		}
		bodies[r.Body] = true
		completed[r.Body] = completed[r.Body] || r.Result.Outcome == caller.Complete
		if r.Repeat {
			repeats++
		}
	}
	confirmed := 0
	for _, body := range sortedKeys(bodies) {
		if runs[body] > 1 {
			f.addViolation("%q ran %d times", body, runs[body])
		}
		if completed[body] {
			confirmed++
			if runs[body] == 0 {
				f.addViolation("%q was confirmed and did not run", body)
			}
		}
	}
	f.Checked = fmt.Sprintf("%d %s (%d sent again through other daemons), %d confirmed; none ran twice", len(bodies), requests, repeats, confirmed)
	if confirmed == 0 {
		f.addViolation("no reservation was confirmed, so the check is inconclusive")
	}
	return f
}

// checkTierOrder checks that no stream of a lower tier kept running in a data centre
// that refused a request of a higher tier for lack of capacity.
func (e *Evidence) checkTierOrder() Finding {
	f := Finding{Promise: "R2"}
	shedByTier := map[int]int{}
	for i := range e.Records {
		r := &e.Records[i]
		if !isShed(r) {
			continue
		}
		shedByTier[r.Rank]++
		for j := range e.Records {
			if lower := &e.Records[j]; lower.Rank > r.Rank && lower.DataCentre == r.DataCentre && ranDuringRefusal(lower, r) {
				f.addViolation("%s of tier %d was refused (%s) while %s of tier %d was served", r.ID, r.Rank, r.Result.Code, lower.ID, lower.Rank)
			}
		}
	}
	sent := 0
	for i := range e.Records {
		if e.Records[i].Kind == kindChat && e.Burst.overlaps(&e.Records[i]) {
			sent++
		}
	}
	f.Checked = fmt.Sprintf("burst of %d requests; refused for lack of capacity by tier: %d gold, %d silver, %d bronze; no lower tier was served meanwhile", sent, shedByTier[0], shedByTier[1], shedByTier[2])
	if shedByTier[0]+shedByTier[1]+shedByTier[2] == 0 {
		f.addViolation("the burst caused no overload, so the check is inconclusive")
	}
	return f
}

// isShed reports whether a chat was refused for lack of capacity, at once or because
// its deadline passed before it ran.
func isShed(r *Record) bool {
	return r.Kind == kindChat && r.Result.Outcome == caller.NotRun && (r.Result.Code == "overloaded" || r.Result.Code == codeDeadline)
}

// ranDuringRefusal reports whether the lower-tier stream got tokens before the refused
// request started and still got them streamMargin after the refusal, without a gap long
// enough to be a preemption.
func ranDuringRefusal(lower, refused *Record) bool {
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

// checkBadVersion checks that the move to the bad version was reversed, and that this
// version got few attempts before and none after the reversal.
func (e *Evidence) checkBadVersion() Finding {
	m := e.BadMove
	f := Finding{Promise: "R3"}
	share := 0.0
	if m.AllAttempts > 0 {
		share = float64(m.NewVersionAttempts) / float64(m.AllAttempts)
	}
	f.Checked = fmt.Sprintf("bad version %s after %.1f s, got %d of %d attempts (%.1f%%), %d later than %s after that",
		m.Phase, m.Took.Seconds(), m.NewVersionAttempts, m.AllAttempts, 100*share, m.LateAttempts, maxLeavingDelay)
	if m.Phase != m.WantPhase {
		f.addViolation("the bad move is %s: %s", m.Phase, m.Reason)
	}
	if m.NewVersionAttempts == 0 {
		f.addViolation("the bad version got no traffic, so the check is inconclusive")
	}
	if share > maxBadVersionShare {
		f.addViolation("the bad version got %.1f%% of the attempts", 100*share)
	}
	if m.LateAttempts > 0 {
		f.addViolation("the bad version got %d attempts after it was reversed", m.LateAttempts)
	}
	return f
}

// checkCompleteAnswers checks that no caller got a wrong or truncated answer.
func (e *Evidence) checkCompleteAnswers() Finding {
	f := Finding{Promise: "R4"}
	complete := map[string]int{}
	for i := range e.Records {
		r := &e.Records[i]
		switch r.Result.Outcome {
		case caller.Wrong:
			f.addViolation("%s got a wrong answer: %s", r.ID, r.Result.Message)
		case caller.Complete:
			complete[r.Kind]++
		}
	}
	f.Checked = fmt.Sprintf("%d streams and %d reservation answers compared with the expected text", complete[kindChat], complete[kindReservation])
	if complete[kindChat] == 0 || complete[kindReservation] == 0 {
		f.addViolation("no complete answer, so the check is inconclusive")
	}
	return f
}

// checkNotRun checks that no request that was refused as "not run" appears in an
// execution log.
func (e *Evidence) checkNotRun() Finding {
	f := Finding{Promise: "R5"}
	ran := make(map[string]bool)
	for _, x := range e.PlainExecutions {
		ran[x.RequestID] = true
	}
	for _, x := range e.EngineExecutions {
		ran[requestIDOf(x.RequestID)] = true
	}
	refused := map[string]int{}
	for i := range e.Records {
		r := &e.Records[i]
		if r.Result.Outcome != caller.NotRun {
			continue
		}
		refused[r.Kind]++
		if ran[r.ID] {
			f.addViolation("%s was refused as not run (%s) and ran", r.ID, r.Result.Code)
		}
	}
	f.Checked = fmt.Sprintf("%d chats and %d reservations refused as \"not run\"; none is in an execution log", refused[kindChat], refused[kindReservation])
	if refused[kindReservation] == 0 {
		f.addViolation("no reservation was refused during the outage, so the check is inconclusive")
	}
	return f
}

// requestIDOf returns the request id of an attempt id, which has the form
// "request.number".
func requestIDOf(attempt string) string {
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
