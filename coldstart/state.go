package coldstart

import "time"

const (
	// MaxTime bounds every cold time. A target that claims a longer one, and then reports
	// nothing more, is warm after this time.
	MaxTime = 60 * time.Second
	// ReportDelay is the time that a report may be old when it arrives: targets write their
	// registry entries every 1.2 s, which arrive 0.8 s later.
	ReportDelay = 2 * time.Second
)

// Report is what a target last said about its cold time. The zero value says nothing.
type Report struct {
	// Until is when the target is warm, at most MaxTime after the report arrived.
	Until time.Time
	// SaidAfter is a time after which the target said so. It is zero if that is not known.
	SaidAfter time.Time
}

// NewReport returns a report for a cold time that was read at now.
func NewReport(now, until, saidAfter time.Time) Report {
	if limit := now.Add(MaxTime); until.After(limit) {
		until = limit
	}
	return Report{Until: until, SaidAfter: saidAfter}
}

// Merge returns the report that holds after another one arrived. One that the target may have
// said before this one can only make the cold time longer.
func (r Report) Merge(next Report) Report {
	if next.SaidAfter.Before(r.SaidAfter) {
		next.SaidAfter = r.SaidAfter
		if r.Until.After(next.Until) {
			next.Until = r.Until
		}
	}
	return next
}

// State is what one daemon assumes about the cold time of one target. The zero value assumes
// that the target is warm.
type State struct {
	assumedAt, assumedUntil time.Time
}

// Assume has the target taken as cold for the given time, at most MaxTime, or until a later
// report says otherwise. It is called when the target is used again after it was not: a
// target may be cold for ReportDelay before any daemon knows.
func (s *State) Assume(now time.Time, coldTime time.Duration) {
	s.assumedAt = now
	s.assumedUntil = now.Add(min(coldTime, MaxTime))
}

// ColdUntil returns when the target is warm, which may have passed.
func (s *State) ColdUntil(r Report) time.Time {
	if r.SaidAfter.Before(s.assumedAt) && s.assumedUntil.After(r.Until) {
		return s.assumedUntil
	}
	return r.Until
}
