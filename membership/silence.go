package membership

import (
	"maps"
	"slices"
	"time"
)

const (
	// silentAlone is the time without any frame, after a question, from which a daemon
	// counts as silent on the evidence of this daemon alone. It is longer than two
	// retransmissions of TCP after a lost packet (200 ms and 400 ms), behind which the answer
	// waits as well.
	silentAlone = 650 * time.Millisecond
	// silentPooled is that time if another daemon also waits for an answer: one
	// retransmission. Paths of several daemons rarely lose two packets in a row at the same
	// moment.
	silentPooled = 250 * time.Millisecond
	// reportAfter is the time without an answer after which the other daemons are told. Most
	// answers that are only late arrive before.
	reportAfter = 100 * time.Millisecond
	// reportAge is how long the report of another daemon that waits for an answer counts.
	reportAge = time.Second
	// recentlyHeard is the age of a frame up to which a report of another daemon raises no
	// question here.
	recentlyHeard = 50 * time.Millisecond
	// lateAnswerFactor is how much longer than its latest late answer a daemon may be
	// silent, so that a slow one is not taken for dead again and again.
	lateAnswerFactor = 2
	// lateAnswerMemory is the time for which a late answer counts.
	lateAnswerMemory = time.Minute
)

// Silence finds daemons that stopped answering within a few round trips, long before
// probes miss. A daemon that did not answer a request in the usual time is asked
// (a ping); one that sends no frame at all for a bound after the question is silent until
// it is heard again. The bound is shorter when other daemons wait for an answer too, and
// longer for a daemon whose answers were late before. It is not safe for concurrent use.
//
// A wrong verdict costs little: requests avoid the daemon until its next frame, and for
// that time its target groups may be granted by two owners.
type Silence struct {
	peers map[string]*silencePeer
}

// silencePeer is what is known about the answers of one daemon.
type silencePeer struct {
	heardAt time.Time
	// askedAt is the time of the open question; zero if there is none.
	askedAt time.Time
	// reported is set once this daemon told others about its question.
	reported bool
	silent   bool
	// reports holds the times of the latest reports of other daemons.
	reports map[string]time.Time
	// lateAnswer is the longest time of a late answer, and lateAt the time of it.
	lateAnswer time.Duration
	lateAt     time.Time
}

// SilenceReport asks the caller to tell other daemons that an answer of one is missing:
// those named in To, or all if there are none.
type SilenceReport struct {
	Name string
	To   []string
}

// SilenceChanges are the results of Silence.Tick.
type SilenceChanges struct {
	// Silent are the daemons that became silent.
	Silent  []string
	Reports []SilenceReport
	// Next is the time at which Tick is due again; zero if there is no open question.
	Next time.Time
}

// NewSilence returns a Silence without questions.
func NewSilence() *Silence {
	return &Silence{peers: make(map[string]*silencePeer)}
}

// Ask opens a question about a daemon that did not answer in the usual time. It reports
// whether the question is new, so that the daemon has to be pinged.
func (s *Silence) Ask(now time.Time, name string) bool {
	p := s.peer(name)
	if p.silent || !p.askedAt.IsZero() {
		return false
	}
	p.askedAt = now
	p.reported = false
	return true
}

// Reported records that another daemon waits for an answer. It opens a question here
// unless the daemon was heard just now, and reports whether it did.
func (s *Silence) Reported(now time.Time, by, name string) bool {
	p := s.peer(name)
	p.reports[by] = now
	if now.Sub(p.heardAt) < recentlyHeard {
		return false
	}
	return s.Ask(now, name)
}

// Heard records a frame of a daemon and reports whether it was silent before.
func (s *Silence) Heard(now time.Time, name string) bool {
	p := s.peer(name)
	if !p.askedAt.IsZero() {
		if took := now.Sub(p.askedAt); took > silentPooled {
			p.lateAnswer, p.lateAt = took, now
		}
	}
	wasSilent := p.silent
	p.heardAt, p.askedAt, p.silent = now, time.Time{}, false
	clear(p.reports)
	return wasSilent
}

// Restarted records that a daemon runs a new process, whose answers say nothing about those
// of the old one.
func (s *Silence) Restarted(name string) {
	delete(s.peers, name)
}

// IsSilent reports whether a daemon is silent.
func (s *Silence) IsSilent(name string) bool {
	p := s.peers[name]
	return p != nil && p.silent
}

// Tick closes the questions whose bound is over, and asks for a report of those that are
// open for reportAfter.
func (s *Silence) Tick(now time.Time) SilenceChanges {
	var changes SilenceChanges
	for _, name := range slices.Sorted(maps.Keys(s.peers)) {
		p := s.peers[name]
		if p.askedAt.IsZero() {
			continue
		}
		waited, due := now.Sub(p.askedAt), p.bound(now)
		if waited >= due {
			p.silent, p.askedAt = true, time.Time{}
			changes.Silent = append(changes.Silent, name)
			continue
		}
		switch {
		case p.reported:
		case waited >= reportAfter:
			p.reported = true
			changes.Reports = append(changes.Reports, SilenceReport{Name: name, To: slices.Sorted(maps.Keys(p.reports))})
		default:
			due = min(due, reportAfter)
		}
		if next := p.askedAt.Add(due); changes.Next.IsZero() || next.Before(changes.Next) {
			changes.Next = next
		}
	}
	return changes
}

// bound returns how long after the question the daemon may be silent.
func (p *silencePeer) bound(now time.Time) time.Duration {
	bound := silentAlone
	for by, at := range p.reports {
		if now.Sub(at) > reportAge {
			delete(p.reports, by)
			continue
		}
		bound = silentPooled
	}
	if !p.lateAt.IsZero() && now.Sub(p.lateAt) < lateAnswerMemory {
		bound = max(bound, min(lateAnswerFactor*p.lateAnswer, suspectAfter))
	}
	return bound
}

func (s *Silence) peer(name string) *silencePeer {
	p := s.peers[name]
	if p == nil {
		p = &silencePeer{reports: make(map[string]time.Time)}
		s.peers[name] = p
	}
	return p
}
