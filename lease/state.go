package lease

import (
	"encoding/json"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// DefaultDuration is the term of a lease.
	DefaultDuration = 10 * time.Second
	// DefaultMargin is the time that the holder subtracts from its term. It covers
	// the difference between the rates of two monotonic clocks over one term (2%
	// of 10 s).
	DefaultMargin = 200 * time.Millisecond
	// maxSentWrites is the number of latest writes that a State keeps to recognize
	// their tokens in the row.
	maxSentWrites = 4
)

// Terms are the durations of a lease. All daemons must use the same terms.
type Terms struct {
	Duration time.Duration // term of the lease
	Margin   time.Duration // subtracted from the term by the holder
}

// DefaultTerms returns the terms that all daemons use.
func DefaultTerms() Terms {
	return Terms{Duration: DefaultDuration, Margin: DefaultMargin}
}

// Record is the value of a lease row.
type Record struct {
	Holder string `json:"holder"`
	// Fence rises by one with every acquisition.
	Fence uint64 `json:"fence"`
	// Token is unique to the write that made this version of the row.
	Token string `json:"token"`
	// Released is set when the holder gave the lease up before its term ended.
	Released bool `json:"released,omitempty"`
}

// sentWrite is a write of the lease row that this process has sent.
type sentWrite struct {
	token  string
	fence  uint64
	sentAt time.Time
}

// State holds what one process knows about one lease: the row as last read, the
// writes that it sent, and its term. A copy is an independent state. A State is not
// safe for concurrent use.
type State struct {
	key   string
	self  string
	terms Terms

	rowRead       bool // the row has been read
	version       uint64
	era           uint64 // era of the table in which the row was read last
	record        Record
	versionSeenAt time.Time // when this version of the row was first seen

	sentWrites [maxSentWrites]sentWrite // newest first
	termFence  uint64
	termEnd    time.Time // end of this process's term; zero when the lease is not held
	maxFence   uint64    // highest fencing number seen, also in earlier eras
	otherUntil time.Time // until when another process may hold a lease whose row was lost
}

// NewState returns the state before the row of key was read; self names the process.
func NewState(key, self string, terms Terms) State {
	return State{key: key, self: self, terms: terms}
}

// Observe updates the state with the row as read from the table, unless a newer
// version is known. Now must be a time after the answer arrived. An error means
// that the row's value is not a lease record; the state is then unchanged.
func (s *State) Observe(now time.Time, row provider.Row) error {
	restored := s.rowRead && row.Era > s.era
	if s.rowRead && !restored && (row.Era < s.era || row.Version < s.version) {
		return nil
	}
	var record Record
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return err
		}
	}
	if restored && s.version != 0 && !s.record.Released {
		s.otherUntil = s.versionSeenAt.Add(s.terms.Duration)
	}
	if !s.rowRead || row.Version != s.version {
		s.versionSeenAt = now
	}
	s.rowRead = true
	s.version, s.era = row.Version, row.Era
	s.record = record
	s.maxFence = max(s.maxFence, record.Fence)
	if restored {
		s.dropEndedWrites(now)
		if _, _, held := s.Held(now); held {
			// The table was restored to an older row. The holder keeps its term: others wait
			// for a whole term after they have seen that row. Its next write replaces the row.
			return nil
		}
	}
	s.updateTerm(now)
	return nil
}

// dropEndedWrites forgets writes whose term has ended. A restored table may show one of them
// again, although another process acquired the lease since.
func (s *State) dropEndedWrites(now time.Time) {
	for i, sent := range s.sentWrites {
		if !sent.sentAt.Add(s.terms.Duration - s.terms.Margin).After(now) {
			s.sentWrites[i] = sentWrite{}
		}
	}
}

// updateTerm sets the term if this process wrote the row's present version, and
// else ends it.
func (s *State) updateTerm(now time.Time) {
	sent, found := s.findSentWrite(s.record.Token)
	if !found || s.record.Released {
		s.termEnd = time.Time{}
		return
	}
	s.setTerm(sent, now)
}

// setTerm starts or extends the term, counted from the sending of the write. It
// ends the term when that time is already over.
func (s *State) setTerm(sent sentWrite, now time.Time) {
	end := sent.sentAt.Add(s.terms.Duration - s.terms.Margin)
	if !end.After(now) {
		s.termEnd = time.Time{}
		return
	}
	s.termFence = sent.fence
	s.termEnd = end
}

// Held returns the fencing number and the time left of the term. It reports false
// when the lease is not held at now. In case of doubt the lease counts as not held.
func (s *State) Held(now time.Time) (fence uint64, left time.Duration, ok bool) {
	if s.termEnd.IsZero() {
		return 0, 0, false
	}
	left = s.termEnd.Sub(now)
	if left <= 0 {
		return 0, 0, false
	}
	return s.termFence, left, true
}

// Claimable reports whether the lease may be acquired at now, and otherwise how long
// to wait before calling it again. It reports false before the row was read.
func (s *State) Claimable(now time.Time) (wait time.Duration, ok bool) {
	if !s.rowRead {
		return 0, false
	}
	if _, left, held := s.Held(now); held {
		return left, false
	}
	if wait := s.otherUntil.Sub(now); wait > 0 {
		return wait, false
	}
	if s.version == 0 || s.record.Released {
		return 0, true
	}
	if _, found := s.findSentWrite(s.record.Token); found {
		// The term of this process ended and no other one acquired the lease.
		return 0, true
	}
	wait = s.versionSeenAt.Add(s.terms.Duration).Sub(now)
	return max(wait, 0), wait <= 0
}

// Acquire returns the write that acquires the lease with the next fencing number.
// It must only be called while Claimable reports true. Now must be a time before
// the write is sent.
func (s *State) Acquire(now time.Time, token string) provider.Write {
	return s.recordWrite(now, Record{Holder: s.self, Fence: s.maxFence + 1, Token: token})
}

// Renew returns the write that extends the term. It reports false when the lease is
// not held. Now must be a time before the write is sent.
func (s *State) Renew(now time.Time, token string) (provider.Write, bool) {
	if _, _, ok := s.Held(now); !ok {
		return provider.Write{}, false
	}
	return s.recordWrite(now, Record{Holder: s.self, Fence: s.termFence, Token: token}), true
}

// Release returns the write that gives the lease up. The term ends at once, whether
// or not that write takes effect. It reports false when the lease is not held.
func (s *State) Release(now time.Time, token string) (provider.Write, bool) {
	fence, _, ok := s.Held(now)
	if !ok {
		return provider.Write{}, false
	}
	s.termEnd = time.Time{}
	s.sentWrites = [maxSentWrites]sentWrite{}
	return s.rowWrite(Record{Holder: s.self, Fence: fence, Token: token, Released: true}), true
}

// ObserveCommit starts or extends the term after the write with this token took effect.
// The row's new version is only known after the next Observe.
func (s *State) ObserveCommit(now time.Time, token string) {
	if sent, ok := s.findSentWrite(token); ok {
		s.setTerm(sent, now)
	}
}

// HasToken reports whether the row, as last read, was written with this token.
func (s *State) HasToken(token string) bool {
	return s.rowRead && token != "" && s.record.Token == token
}

// Version returns the version of the row as last read.
func (s *State) Version() uint64 {
	return s.version
}

// recordWrite returns the write of a record and adds it to the sent writes.
func (s *State) recordWrite(now time.Time, r Record) provider.Write {
	copy(s.sentWrites[1:], s.sentWrites[:maxSentWrites-1])
	s.sentWrites[0] = sentWrite{token: r.Token, fence: r.Fence, sentAt: now}
	return s.rowWrite(r)
}

// rowWrite returns the write of a record to the row's last known version.
func (s *State) rowWrite(r Record) provider.Write {
	// Marshalling a struct of strings, a number and a bool cannot fail.
	value, _ := json.Marshal(r)
	return provider.Write{Key: s.key, Value: value, IfVersion: s.version}
}

// findSentWrite returns the sent write with a token.
func (s *State) findSentWrite(token string) (sentWrite, bool) {
	if token == "" {
		return sentWrite{}, false
	}
	for _, sent := range s.sentWrites {
		if sent.token == token {
			return sent, true
		}
	}
	return sentWrite{}, false
}
