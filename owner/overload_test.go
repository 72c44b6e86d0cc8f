package owner

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// surge drives a group with one target, which serves ten requests a second, with more
// requests than that.
type surge struct {
	t      *testing.T
	g      *Group
	now    time.Time
	lastID int
}

func newSurge(t *testing.T) *surge {
	s := &surge{t: t, g: NewGroup("s", 0, Options{Backlog: -1}), now: time.Unix(1000, 0)}
	s.g.SetTargets(s.now, []TargetInfo{{Name: "t", Slots: 1}})
	return s
}

// reserve sends a Reserve for a new request with an objective of 400 ms, less the time
// waited, and returns the decision about it.
func (s *surge) reserve(tier int, waited time.Duration) Decision {
	s.lastID++
	r := Request{
		ID: fmt.Sprint("r", s.lastID), Entry: "e", Account: "a", Tier: tier, PromptTokens: 100, OutputTokens: 10,
		Deadline: s.now.Add(10 * time.Second), FirstTokenBy: s.now.Add(400*time.Millisecond - waited),
		ObjectiveBy: s.now.Add(400*time.Millisecond - waited), MaxGap: time.Second, EventTokens: 6, WaitedElsewhere: waited,
	}
	for _, d := range s.g.Reserve(s.now, r) {
		if d.ID == r.ID {
			return d
		}
	}
	s.t.Fatal("no decision")
	return Decision{}
}

// serveFor releases one running request and reserves for a new one of a tier, ten
// times a second for the duration of span.
func (s *surge) serveFor(tier int, span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for id, j := range s.g.jobs {
			if j.target != nil {
				s.g.Release(s.now, Report{ID: id, Outcome: OutcomeDone})
				break
			}
		}
		s.reserve(tier, 0)
	}
}

// Guards against low-tier requests that wait until they are late, because requests of
// a higher tier that arrive later go first (load pattern: a surge of a high tier that
// takes all of the capacity).
func TestLowTierIsRefusedOnArrivalWhileHighTierTakesAllCapacity(t *testing.T) {
	s := newSurge(t)
	s.serveFor(0, 2*time.Second)
	assert.Equal(t, s.reserve(0, 0).Kind, Queued)
	assert.Equal(t, s.reserve(1, 0).Kind, Refuse)
	// A request that has waited in another group keeps its position by arrival time.
	assert.Equal(t, s.reserve(0, 150*time.Millisecond).Kind, Queued)
}

// Guards against callers that retry during the same overload and are then shed for
// good (load pattern: a surge of several seconds).
func TestRetryAfterGrowsWithTheOverload(t *testing.T) {
	s := newSurge(t)
	s.serveFor(0, 2*time.Second)
	s.reserve(0, 0)
	first := s.reserve(1, 0)
	assert.Equal(t, first.Kind, Refuse)
	for range 40 {
		s.serveFor(0, 100*time.Millisecond)
		s.reserve(1, 0)
	}
	lasting := s.reserve(1, 0)
	assert.Assert(t, lasting.RetryAfter >= 4*time.Second, "%s", lasting.RetryAfter)
	assert.Assert(t, first.RetryAfter <= 2*time.Second, "%s", first.RetryAfter)
	s.serveFor(0, 1500*time.Millisecond)
	assert.Assert(t, s.reserve(1, 0).RetryAfter <= 2*time.Second)
}
