package lease

import (
	"encoding/json"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// DefaultDuration is the term of a lease.
	DefaultDuration = 10 * time.Second
	// DefaultMargin is what the holder subtracts from its term. It covers the
	// difference in the rates of two monotonic clocks over one term (2% of 10 s).
	DefaultMargin = 200 * time.Millisecond
	// maxAttempts bounds the writes whose outcome a State remembers.
	maxAttempts = 4
)

// Terms are the durations of a lease. All daemons use the same terms.
type Terms struct {
	Duration time.Duration
	Margin   time.Duration
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
	// Released says that the holder gave the lease up before its term ended.
	Released bool `json:"released,omitempty"`
}

// attempt is a write that this process has sent.
type attempt struct {
	token  string
	fence  uint64
	sentAt time.Time
}

// State is what one process knows about one lease. It is a value: a copy is an
// independent state. It is not safe for concurrent use.
type State struct {
	key   string
	self  string
	terms Terms

	known   bool // the row has been read
	version uint64
	record  Record
	seenAt  time.Time // when this version of the row was first seen

	attempts [maxAttempts]attempt // newest first
	fence    uint64
	end      time.Time // end of our term; zero when the lease is not held
}

// NewState returns a state that has not read the row of key yet.
func NewState(key, self string, terms Terms) State {
	return State{key: key, self: self, terms: terms}
}

// Observe takes in the row as read from the table; now is a time after the answer
// arrived. An error means that the row's value is not a lease record.
func (s *State) Observe(now time.Time, row provider.Row) error {
	if s.known && row.Version < s.version {
		return nil
	}
	var record Record
	if row.Version != 0 {
		if err := json.Unmarshal(row.Value, &record); err != nil {
			return err
		}
	}
	if !s.known || row.Version != s.version {
		s.seenAt = now
	}
	s.known = true
	s.version = row.Version
	s.record = record
	s.resolve(now)
	return nil
}

// resolve sets our term from the token in the row.
func (s *State) resolve(now time.Time) {
	a, ours := s.attempt(s.record.Token)
	if !ours || s.record.Released {
		s.end = time.Time{}
		return
	}
	s.hold(a, now)
}

// hold starts or extends our term from the time the write was sent.
func (s *State) hold(a attempt, now time.Time) {
	end := a.sentAt.Add(s.terms.Duration - s.terms.Margin)
	if !end.After(now) {
		s.end = time.Time{}
		return
	}
	s.fence = a.fence
	s.end = end
}

// Held returns the fencing number and the time left while the lease is held at
// now. It errs on the side of reporting the lease as not held.
func (s *State) Held(now time.Time) (fence uint64, left time.Duration, ok bool) {
	if s.end.IsZero() {
		return 0, 0, false
	}
	left = s.end.Sub(now)
	if left <= 0 {
		return 0, 0, false
	}
	return s.fence, left, true
}

// Claimable reports whether the lease may be taken at now, and otherwise how
// long to wait before asking again. The row must have been read.
func (s *State) Claimable(now time.Time) (wait time.Duration, ok bool) {
	if !s.known {
		return 0, false
	}
	if _, left, held := s.Held(now); held {
		return left, false
	}
	if s.version == 0 || s.record.Released {
		return 0, true
	}
	if _, ours := s.attempt(s.record.Token); ours {
		// Our own term ended and nobody else took the lease.
		return 0, true
	}
	wait = s.seenAt.Add(s.terms.Duration).Sub(now)
	return max(wait, 0), wait <= 0
}

// Acquire returns the write that takes the lease with the next fencing number.
// It must only be called while Claimable; now is a time before it is sent.
func (s *State) Acquire(now time.Time, token string) provider.Write {
	return s.write(now, Record{Holder: s.self, Fence: s.record.Fence + 1, Token: token})
}

// Renew returns the write that extends our term. It reports false when the lease
// is not held.
func (s *State) Renew(now time.Time, token string) (provider.Write, bool) {
	if _, _, ok := s.Held(now); !ok {
		return provider.Write{}, false
	}
	return s.write(now, Record{Holder: s.self, Fence: s.fence, Token: token}), true
}

// Release returns the write that gives the lease up and ends our term at once,
// whether the write takes effect or not.
func (s *State) Release(now time.Time, token string) (provider.Write, bool) {
	fence, _, ok := s.Held(now)
	if !ok {
		return provider.Write{}, false
	}
	s.end = time.Time{}
	s.attempts = [maxAttempts]attempt{}
	return s.marshal(Record{Holder: s.self, Fence: fence, Token: token, Released: true}), true
}

// Committed takes in that the write with this token took effect. The row's new
// version is learned from the next Read.
func (s *State) Committed(now time.Time, token string) {
	if a, ok := s.attempt(token); ok {
		s.hold(a, now)
	}
}

// HasToken reports whether the row, as last read, was written with this token.
func (s *State) HasToken(token string) bool {
	return s.known && token != "" && s.record.Token == token
}

// Version returns the version of the row as last read.
func (s *State) Version() uint64 {
	return s.version
}

func (s *State) write(now time.Time, r Record) provider.Write {
	copy(s.attempts[1:], s.attempts[:maxAttempts-1])
	s.attempts[0] = attempt{token: r.Token, fence: r.Fence, sentAt: now}
	return s.marshal(r)
}

func (s *State) marshal(r Record) provider.Write {
	// A struct of strings, a number and a bool always marshals.
	value, _ := json.Marshal(r)
	return provider.Write{Key: s.key, Value: value, IfVersion: s.version}
}

func (s *State) attempt(token string) (attempt, bool) {
	if token == "" {
		return attempt{}, false
	}
	for _, a := range s.attempts {
		if a.token == token {
			return a, true
		}
	}
	return attempt{}, false
}
