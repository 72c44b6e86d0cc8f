package avoidance

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/object"
)

var start = time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)

func target(name string) *object.Target {
	return &object.Target{Name: name, Service: "s", StartedAt: start}
}

// Guards against a target that is used again although it leaves, and against one that stays
// avoided after it started again under its name.
func TestLeavingTargetIsAvoidedUntilItStartsAgain(t *testing.T) {
	s := New()
	one := target("one")
	assert.Assert(t, !s.Avoids(start, one))
	s.Leave(start, one)
	s.Leave(start.Add(leaveExpiry/2), one)
	assert.Assert(t, s.Avoids(start.Add(leaveExpiry-time.Second), one))
	assert.Assert(t, !s.Avoids(start.Add(leaveExpiry), one))
	assert.Assert(t, !s.Avoids(start, target("two")))
	again := *one
	again.StartedAt = start.Add(time.Minute)
	assert.Assert(t, !s.Avoids(start.Add(2*time.Minute), &again))
	s.Pause(start.Add(2*time.Minute), &again, time.Second)
	assert.Assert(t, !s.Avoids(start.Add(3*time.Minute), &again), "what the earlier boot said is forgotten")
}

// Guards against requests before the end of a pause, against a shorter pause that ends a longer
// one, and against a faulty target that is never used again.
func TestPausedTargetIsAvoidedForTheTime(t *testing.T) {
	s := New()
	one := target("one")
	s.Pause(start, one, 3*time.Second)
	s.Pause(start.Add(time.Second), one, 500*time.Millisecond)
	assert.Assert(t, s.Avoids(start.Add(3*time.Second-1), one))
	assert.Assert(t, !s.Avoids(start.Add(3*time.Second), one))
	s.Pause(start, one, 1000*time.Hour)
	assert.Assert(t, !s.Avoids(start.Add(maxPause), one))
}

// Guards against a message to an owner that lists targets of other services, targets that are
// gone, or any number of targets.
func TestNamesOfAvoidedTargets(t *testing.T) {
	s := New()
	targets := make(map[string]*object.Target)
	for i := range 5 {
		one := target(fmt.Sprint("t", i))
		targets[one.Name] = one
		s.Pause(start, one, time.Duration(i+1)*time.Second)
	}
	s.Leave(start, target("gone"))
	s.Leave(start, &object.Target{Name: "other", Service: "o", StartedAt: start})
	find := func(name string) *object.Target { return targets[name] }
	assert.DeepEqual(t, s.Names(start, "s", 10, find), []string{"t4", "t3", "t2", "t1", "t0"})
	assert.DeepEqual(t, s.Names(start, "s", 2, find), []string{"t4", "t3"})
	assert.DeepEqual(t, s.Names(start.Add(4*time.Second), "s", 10, find), []string{"t4"})
	assert.Equal(t, s.NextUse(start, "s"), time.Second)
	assert.Equal(t, s.NextUse(start.Add(1500*time.Millisecond), "s"), 500*time.Millisecond)
	assert.Equal(t, s.NextUse(start, "o"), time.Duration(0), "a leaving target is not used again")
}

// Guards against memory that grows with every target there ever was.
func TestSetIsBounded(t *testing.T) {
	s := New()
	for i := range 2 * maxTargets {
		s.Leave(start, target(fmt.Sprint(i)))
	}
	assert.Equal(t, s.targets.Len(), maxTargets)
	assert.Assert(t, s.Avoids(start, target(fmt.Sprint(2*maxTargets-1))))
}
