package demo

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
)

// checkDrainedTarget checks that the drained target got no new attempts later than
// maxLeavingDelay after the drain.
func (e *Evidence) checkDrainedTarget() Finding {
	d := e.Drain
	f := Finding{Promise: "R7"}
	f.Checked = fmt.Sprintf("%s drained under load: %d new attempts later than %s after that; %d on all engines", d.Target, d.AttemptsAtEnd-d.AttemptsAtBound, maxLeavingDelay, d.AttemptsOnAllEngines)
	if d.AttemptsAtEnd > d.AttemptsAtBound {
		f.addViolation("%s got %d new attempts", d.Target, d.AttemptsAtEnd-d.AttemptsAtBound)
	}
	if d.AttemptsAtBound == 0 || d.AttemptsOnAllEngines == 0 {
		f.addViolation("there was no load, so the check is inconclusive")
	}
	return f
}

// wasCut reports whether a request was interrupted: its connection or its stream broke,
// or its chat failed or has an unknown outcome for another reason than its deadline.
func wasCut(r *Record) bool {
	if r.Result.Outcome == caller.Broken {
		return true
	}
	if r.Kind != kindChat || r.Result.Code == codeDeadline {
		return false
	}
	return r.Result.Outcome == caller.Failed || r.Result.Outcome == caller.Unknown
}

// codeDeadline is the error code of requests whose deadline passed.
const codeDeadline = "deadline"

// checkExpiredStreams checks that no stream that began was ended at its tier's deadline.
// A stream that began has to continue to its end. When daemons enforced the deadline on
// such streams, the burst ended about 25 preempted or slow ones with an error event.
func (e *Evidence) checkExpiredStreams() Finding {
	f := Finding{Promise: "ends"}
	begun := 0
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind != kindChat || r.Result.Tokens == 0 {
			continue
		}
		begun++
		if r.Result.Code == codeDeadline {
			f.addViolation("%s of tier %d ended at its deadline after %d tokens, the first after %s", r.ID, r.Rank, r.Result.Tokens, r.Result.FirstToken)
		}
	}
	f.Checked = fmt.Sprintf("%d streams that began; none was ended at its deadline", begun)
	return f
}

// checkPlannedStop checks that no request, through any daemon, was cut during the
// graceful stop of a daemon.
func (e *Evidence) checkPlannedStop() Finding {
	f := Finding{Promise: "R8"}
	during, own := 0, 0
	for i := range e.Records {
		r := &e.Records[i]
		if !e.Stopped.overlaps(r) {
			continue
		}
		during++
		if r.Daemon == e.Stopped.Daemon {
			own++
		}
		if wasCut(r) {
			f.addViolation("%s through %s: %s %s", r.ID, r.Daemon, r.Result.Outcome, r.Result.Message)
		}
	}
	f.Checked = fmt.Sprintf("%s stopped by SIGTERM under load: %d requests at that time, %d through it; none cut", e.Stopped.Daemon, during, own)
	if own == 0 {
		f.addViolation("the stopped daemon had no requests, so the check is inconclusive")
	}
	return f
}

// checkKilledDaemon checks that over the whole run only requests through the killed
// daemon, during its kill, were cut. It leaves out the time of the planned stop, which
// checkPlannedStop covers.
func (e *Evidence) checkKilledDaemon() Finding {
	f := Finding{Promise: "F1"}
	own, served := 0, 0
	for i := range e.Records {
		r := &e.Records[i]
		switch {
		case r.Daemon == e.Killed.Daemon && e.Killed.overlaps(r):
			if wasCut(r) {
				own++
			}
		case e.Stopped.overlaps(r):
		case wasCut(r):
			f.addViolation("%s through %s at %s: %s %s %s", r.ID, r.Daemon, r.Started.Format(time.TimeOnly), r.Result.Outcome, r.Result.Code, r.Result.Message)
		case e.Killed.overlaps(r) && r.Result.Outcome == caller.Complete:
			served++
		}
	}
	f.Checked = fmt.Sprintf("%s killed under load: %d requests of its own callers cut, %d of other daemons answered meanwhile, none of them cut", e.Killed.Daemon, own, served)
	if own == 0 || served == 0 {
		f.addViolation("there was no load, so the check is inconclusive")
	}
	return f
}

// checkGoodVersion checks that the move to the good version was completed.
func (e *Evidence) checkGoodVersion() Finding {
	m := e.GoodMove
	f := Finding{Promise: "moves"}
	f.Checked = fmt.Sprintf("good version %s after %.1f s, got %d of %d attempts", m.Phase, m.Took.Seconds(), m.NewVersionAttempts, m.AllAttempts)
	if m.Phase != m.WantPhase {
		f.addViolation("the good move is %s: %s", m.Phase, m.Reason)
	}
	return f
}

// checkConfiguration checks that each publication was in force on all daemons within
// maxInForceDelay and that no daemon went back to an older generation.
func (e *Evidence) checkConfiguration() Finding {
	f := Finding{Promise: "R9"}
	worst := time.Duration(0)
	for _, p := range e.Publications {
		worst = max(worst, p.Took)
		if p.Err != "" {
			f.addViolation("%s: %s", p.Name, p.Err)
		}
		if p.Took > maxInForceDelay {
			f.addViolation("%s was in force after %s", p.Name, p.Took)
		}
	}
	last := make(map[string]uint64)
	for _, s := range e.Samples {
		if s.Generation < last[s.Daemon] {
			f.addViolation("%s went from generation %d back to %d", s.Daemon, last[s.Daemon], s.Generation)
		}
		last[s.Daemon] = s.Generation
	}
	f.Checked = fmt.Sprintf("%d publications, the slowest in force everywhere after %d ms; %d samples of generations, none went back", len(e.Publications), worst.Milliseconds(), len(e.Samples))
	if len(e.Publications) == 0 || len(e.Samples) == 0 {
		f.addViolation("nothing was published or sampled, so the check is inconclusive")
	}
	return f
}
