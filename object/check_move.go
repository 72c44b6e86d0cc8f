package object

import (
	"fmt"
	"math"
	"time"
)

// The first and last year of a deadline. Times after the year 9999 cannot be
// encoded in JSON.
const (
	minDeadlineYear = 2000
	maxDeadlineYear = 9999
)

// MoveRecordLead is the time before the deadline of a move by which the end of
// the move must be recorded, so that every reachable daemon knows it by the
// deadline.
const MoveRecordLead = 4 * time.Second

func (c *checker) checkMove(i int, o *Move) {
	service := c.services[o.Service]
	if service == nil {
		c.report(KindMove, i, "service", "service %q does not exist", o.Service)
	} else {
		c.checkMoveVersions(i, o, service)
	}
	if year := o.Deadline.Year(); o.Deadline.IsZero() || year < minDeadlineYear || year > maxDeadlineYear {
		c.report(KindMove, i, "deadline", "deadline must be a time from %d to %d", minDeadlineYear, maxDeadlineYear)
	}
	if o.Attempt < 0 {
		c.report(KindMove, i, "attempt", "attempt %d is below zero", o.Attempt)
	}
	if o.Soak < 0 {
		c.report(KindMove, i, "soak", "soak %v is below zero", o.Soak)
	}
	c.checkSteps(i, o.Steps)
}

func (c *checker) checkMoveVersions(i int, o *Move, service *Service) {
	c.checkVersionOf(KindMove, i, "from", o.From, o.Service)
	c.checkVersionOf(KindMove, i, "to", o.To, o.Service)
	if o.From == o.To {
		c.report(KindMove, i, "to", "from and to are the same version %q", o.To)
	}
	if service.Version != o.From && service.Version != o.To {
		c.report(KindMove, i, "from", "service %q serves version %q, which is neither from nor to", o.Service, service.Version)
	}
}

// checkSteps checks that steps rise to 100 percent and are multiples of the
// resolution of shares.
func (c *checker) checkSteps(i int, steps []float64) {
	if len(steps) == 0 {
		return
	}
	previous := 0.0
	for j, step := range steps {
		field := fmt.Sprintf("steps[%d]", j)
		switch units := step * shareUnitsPerPercent; {
		case math.IsNaN(step) || step <= 0 || step > fullSharePercent:
			c.report(KindMove, i, field, "step %v must be above 0 and at most %d percent", step, fullSharePercent)
		case math.Abs(units-math.Round(units)) > 1e-6:
			c.report(KindMove, i, field, "step %v must be a multiple of %v percent", step, 1.0/shareUnitsPerPercent)
		case step <= previous:
			c.report(KindMove, i, field, "step %v must be above the step before, %v", step, previous)
		}
		previous = step
	}
	if previous != fullSharePercent {
		c.report(KindMove, i, "steps", "the last step must be %d percent, found %v", fullSharePercent, previous)
	}
}

// checkMoveOverlap reports a second move of a service. Moves have a deadline but
// no start time, so two moves of one service would always overlap.
func (c *checker) checkMoveOverlap() {
	first := map[string]int{}
	for i, o := range c.set.Moves {
		if earlier, taken := first[o.Service]; taken {
			c.report(KindMove, i, "service", "service %q already has %s; remove that move first", o.Service, c.describe(KindMove, earlier))
			continue
		}
		first[o.Service] = i
	}
}

// CheckChange returns the problems of replacing the set in force by next at time
// now: new and changed moves need a deadline that can still be met, and the
// attempt of a move must not decrease. A nil inForce means an empty set.
func CheckChange(inForce, next *Set, now time.Time) Problems {
	before := map[string]*Move{}
	if inForce != nil {
		before = byName(inForce.Moves)
	}
	c := newChecker(next)
	for i := range next.Moves {
		o := &next.Moves[i]
		old := before[o.Name]
		if old != nil && sameObject(*old, *o) {
			continue
		}
		if remaining := o.Deadline.Sub(now); remaining <= o.Soak+MoveRecordLead {
			c.report(KindMove, i, "deadline", "deadline %s leaves %v, but the soak of %v and %v for the record must fit",
				o.Deadline.UTC().Format(time.RFC3339), remaining.Round(time.Second), o.Soak, MoveRecordLead)
		}
		if old != nil && o.Attempt < old.Attempt {
			c.report(KindMove, i, "attempt", "attempt %d is below %d, which is in force", o.Attempt, old.Attempt)
		}
	}
	return c.sortedProblems()
}
