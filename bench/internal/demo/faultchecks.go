package demo

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
)

// leavingTarget checks the target that was drained.
func (e *Evidence) leavingTarget() Finding {
	d := e.Drained
	f := Finding{Promise: "R7"}
	f.Checked = fmt.Sprintf("%s drained under load: %d new attempts later than %s after that; %d on other targets", d.Target, d.AtEnd-d.AtBound, boundLeaving, d.Elsewhere)
	if d.AtEnd > d.AtBound {
		f.broken("%s got %d new attempts", d.Target, d.AtEnd-d.AtBound)
	}
	if d.AtBound == 0 || d.Elsewhere == 0 {
		f.broken("no load, so nothing was shown")
	}
	return f
}

// cut says whether a request was interrupted: its connection or its stream broke.
func cut(r *Record) bool {
	if r.Result.Outcome == caller.Broken {
		return true
	}
	if r.Kind != kindChat || r.Result.Code == codeDeadline {
		return false
	}
	return r.Result.Outcome == caller.Failed || r.Result.Outcome == caller.Unknown
}

// codeDeadline is the code of requests whose deadline passed.
const codeDeadline = "deadline"

// expiredStreams looks for streams that began and were ended at their tier's
// deadline. A request that began is followed to its end: before that was so, the
// burst ended about 25 preempted or slow streams with an error event.
func (e *Evidence) expiredStreams() Finding {
	f := Finding{Promise: "ends"}
	begun := 0
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind != kindChat || r.Result.Tokens == 0 {
			continue
		}
		begun++
		if r.Result.Code == codeDeadline {
			f.broken("%s of tier %d ended at its deadline after %d tokens, the first after %s", r.ID, r.Rank, r.Result.Tokens, r.Result.FirstToken)
		}
	}
	f.Checked = fmt.Sprintf("%d streams that began; none was ended at its deadline", begun)
	return f
}

// plannedStop checks all requests around the graceful stop of a daemon.
func (e *Evidence) plannedStop() Finding {
	f := Finding{Promise: "R8"}
	during, own := 0, 0
	for i := range e.Records {
		r := &e.Records[i]
		if !e.Stopped.contains(r) {
			continue
		}
		during++
		if r.Daemon == e.Stopped.Daemon {
			own++
		}
		if cut(r) {
			f.broken("%s through %s: %s %s", r.ID, r.Daemon, r.Result.Outcome, r.Result.Message)
		}
	}
	f.Checked = fmt.Sprintf("%s stopped by SIGTERM under load: %d requests at that time, %d through it; none cut", e.Stopped.Daemon, during, own)
	if own == 0 {
		f.broken("the stopped daemon had no requests, so nothing was shown")
	}
	return f
}

// killedDaemon checks that only the killed daemon's own callers were cut, over
// the whole run. The planned stop has its own check.
func (e *Evidence) killedDaemon() Finding {
	f := Finding{Promise: "F1"}
	own, served := 0, 0
	for i := range e.Records {
		r := &e.Records[i]
		switch {
		case r.Daemon == e.Killed.Daemon && e.Killed.contains(r):
			if cut(r) {
				own++
			}
		case e.Stopped.contains(r):
		case cut(r):
			f.broken("%s through %s at %s: %s %s %s", r.ID, r.Daemon, r.Started.Format(time.TimeOnly), r.Result.Outcome, r.Result.Code, r.Result.Message)
		case e.Killed.contains(r) && r.Result.Outcome == caller.Complete:
			served++
		}
	}
	f.Checked = fmt.Sprintf("%s killed under load: %d requests of its own callers cut, %d of other daemons answered meanwhile, none of them cut", e.Killed.Daemon, own, served)
	if own == 0 || served == 0 {
		f.broken("no load, so nothing was shown")
	}
	return f
}

// goodVersion checks the move that should be done.
func (e *Evidence) goodVersion() Finding {
	m := e.Good
	f := Finding{Promise: "moves"}
	f.Checked = fmt.Sprintf("good version %s after %.1f s, got %d of %d attempts", m.Phase, m.Took.Seconds(), m.NewRuns, m.AllRuns)
	if m.Phase != m.Want {
		f.broken("the good move is %s: %s", m.Phase, m.Reason)
	}
	return f
}

// configuration checks the publications and that no daemon went back.
func (e *Evidence) configuration() Finding {
	f := Finding{Promise: "R9"}
	worst := time.Duration(0)
	for _, p := range e.Publications {
		worst = max(worst, p.Took)
		if p.Err != "" {
			f.broken("%s: %s", p.Name, p.Err)
		}
		if p.Took > boundInForce {
			f.broken("%s was in force after %s", p.Name, p.Took)
		}
	}
	last := make(map[string]uint64)
	for _, s := range e.Samples {
		if s.Generation < last[s.Daemon] {
			f.broken("%s went from generation %d back to %d", s.Daemon, last[s.Daemon], s.Generation)
		}
		last[s.Daemon] = s.Generation
	}
	f.Checked = fmt.Sprintf("%d publications, the slowest in force everywhere after %d ms; %d samples of generations, none went back", len(e.Publications), worst.Milliseconds(), len(e.Samples))
	if len(e.Publications) == 0 || len(e.Samples) == 0 {
		f.broken("nothing was published, so nothing was shown")
	}
	return f
}
