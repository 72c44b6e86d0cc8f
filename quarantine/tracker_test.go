package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a crash request that crashes more than two targets.
func TestQuarantinedAfterTwoTargets(t *testing.T) {
	tracker := New(Options{})
	tracker.TargetLost(at(0), "t1", []uint64{1, 2, 3})
	assert.Equal(t, tracker.StateOf(1), Suspect)
	tracker.TargetLost(at(4*time.Second), "t2", []uint64{1, 9})
	assert.Equal(t, tracker.StateOf(1), Pending)
	assert.Equal(t, tracker.StateOf(9), Clear, "the suspect explains the loss")
	tracker.Tick(at(5 * time.Second))
	assert.Equal(t, tracker.StateOf(1), Quarantined)
	assert.Equal(t, tracker.StateOf(2), Clear, "its loss is explained by the quarantined request")
	tracker.Tick(at(5*time.Second + DefaultExpiry))
	assert.Equal(t, tracker.StateOf(1), Clear, "expired")
}

// Guards against quarantining a request that was on the first lost target by
// chance.
func TestSuspectThatFinishesIsCleared(t *testing.T) {
	tracker := New(Options{})
	tracker.TargetLost(at(0), "t1", []uint64{1, 2})
	tracker.RequestFinished(at(time.Second), 2)
	assert.Equal(t, tracker.StateOf(2), Clear)
	tracker.TargetLost(at(4*time.Second), "t2", []uint64{2, 5})
	tracker.Tick(at(10 * time.Second))
	assert.Equal(t, tracker.StateOf(2), Suspect, "evidence before it finished does not count")
}

// Guards against counting one loss twice when two entry daemons report it.
func TestSameLossIsCountedOnce(t *testing.T) {
	tracker := New(Options{})
	tracker.TargetLost(at(0), "t1", []uint64{1})
	tracker.TargetLost(at(100*time.Millisecond), "t1", []uint64{1, 2})
	tracker.Tick(at(3 * time.Second))
	assert.Equal(t, tracker.StateOf(1), Suspect)
	assert.Equal(t, tracker.StateOf(2), Suspect)
}

// Guards against quarantining one of several suspects in flight on a second lost
// target.
func TestTwoSuspectsOnOneTargetAreNotQuarantined(t *testing.T) {
	tracker := New(Options{})
	tracker.TargetLost(at(0), "t1", []uint64{1, 2})
	tracker.TargetLost(at(4*time.Second), "t2", []uint64{1})
	tracker.TargetLost(at(4*time.Second+10*time.Millisecond), "t2", []uint64{2})
	tracker.Tick(at(10 * time.Second))
	assert.Equal(t, tracker.StateOf(1), Suspect)
	assert.Equal(t, tracker.StateOf(2), Suspect)
}

// Guards against suspecting all requests of a data centre when it is lost, and
// against quarantining a suspect that ran there.
func TestLossOfADataCentreIsNoEvidence(t *testing.T) {
	tracker := New(Options{})
	tracker.TargetLost(at(0), "other", []uint64{1000, 7})
	for i := range 20 {
		fps := []uint64{uint64(2 * i), uint64(2*i + 1)}
		if i == 0 {
			fps = append(fps, 1000)
		}
		tracker.TargetLost(at(6*time.Second+time.Duration(i)*20*time.Millisecond), fmt.Sprint("t", i), fps)
	}
	tracker.Tick(at(10 * time.Second))
	for i := range 40 {
		if i != 7 {
			assert.Equal(t, tracker.StateOf(uint64(i)), Clear)
		}
	}
	assert.Equal(t, tracker.StateOf(1000), Suspect)
}

// Guards against crash requests that are never quarantined because they are sent at
// once and their losses are discounted as a burst.
func TestSimultaneousCrashRequestsAreQuarantined(t *testing.T) {
	tracker := New(Options{})
	lost := 0
	for round := range 4 {
		for i := range 5 {
			if tracker.StateOf(uint64(i)) == Quarantined {
				continue
			}
			lost++
			tracker.TargetLost(at(time.Duration(round)*10*time.Second), fmt.Sprintf("r%d-%d", round, i), []uint64{uint64(i)})
		}
		tracker.Tick(at(time.Duration(round)*10*time.Second + 2*time.Second))
	}
	for i := range 5 {
		assert.Equal(t, tracker.StateOf(uint64(i)), Quarantined)
	}
	assert.Assert(t, lost <= 15, "lost %d targets", lost)
}

// Guards against daemons that do not apply the quarantines of others, and against
// a late Suspect notice that undoes a Clear notice.
func TestMerge(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	first := a.TargetLost(at(0), "t1", []uint64{1, 2})
	for _, n := range first {
		b.Merge(at(0), n)
	}
	assert.Equal(t, b.StateOf(2), Suspect)
	for _, n := range a.RequestFinished(at(time.Second), 2) {
		b.Merge(at(time.Second), n)
	}
	b.Merge(at(time.Second), first[1])
	assert.Equal(t, b.StateOf(2), Clear)
	// The second loss is seen by the other daemon.
	for _, n := range b.TargetLost(at(6*time.Second), "t2", []uint64{1}) {
		a.Merge(at(6*time.Second), n)
	}
	assert.Equal(t, a.StateOf(1), Pending)
	for _, n := range b.Tick(at(7 * time.Second)) {
		a.Merge(at(7*time.Second), n)
	}
	assert.Equal(t, a.StateOf(1), Quarantined)
}

// Guards against records and pending requests that grow without bound.
func TestMemoryIsBounded(t *testing.T) {
	tracker := New(Options{MaxRecords: 100})
	tracker.Merge(at(0), Notice{Fingerprint: 1 << 40, State: Quarantined, Targets: []string{"a", "b"}})
	for i := range 10000 {
		tracker.TargetLost(at(time.Duration(i)*10*time.Second), fmt.Sprint(i), []uint64{uint64(i), uint64(i + 1)})
	}
	tracker.Tick(at(10000 * 10 * time.Second))
	assert.Assert(t, tracker.Len() <= 100)
	assert.Equal(t, len(tracker.pending), 0)
}

// Guards against a quarantine that stays, in this or another daemon, after one of
// its two losses was discounted.
func TestDiscountLoss(t *testing.T) {
	tracker, peer := New(Options{}), New(Options{})
	tracker.TargetLost(at(0), "t1", []uint64{1})
	tracker.TargetLost(at(6*time.Second), "t2", []uint64{1})
	for _, n := range tracker.Tick(at(7 * time.Second)) {
		peer.Merge(at(7*time.Second), n)
	}
	assert.Equal(t, peer.StateOf(1), Quarantined)
	for _, n := range tracker.DiscountLoss(at(16*time.Second), "t2") {
		peer.Merge(at(16*time.Second), n)
	}
	assert.Equal(t, tracker.StateOf(1), Suspect)
	assert.Equal(t, peer.StateOf(1), Suspect)
}

// Guards against quarantines read from the table service whose losses count as a
// burst, so that a new loss makes no suspect.
func TestMergedQuarantinesAreNoBurst(t *testing.T) {
	tracker := New(Options{})
	for i := range 10 {
		tracker.Merge(at(0), Notice{Fingerprint: uint64(100 + i), State: Quarantined, Targets: []string{fmt.Sprint("x", i), fmt.Sprint("y", i)}})
	}
	tracker.TargetLost(at(0), "t1", []uint64{1})
	assert.Equal(t, tracker.StateOf(1), Suspect)
}

// Guards against a quarantine that has ended coming back with a daemon that was cut off when
// its losses were explained.
func TestEndedQuarantineIsNotRevived(t *testing.T) {
	now := time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)
	tracker, cutOff := New(Options{}), New(Options{})
	notice := Notice{Fingerprint: 7, State: Quarantined, Targets: []string{"t1", "t2"}}
	tracker.Merge(now, notice)
	cutOff.Merge(now, notice)
	tracker.DiscountLoss(now, "t1")
	tracker.DiscountLoss(now, "t2")
	assert.Equal(t, tracker.StateOf(7), Clear)
	told := cutOff.Quarantined(10)
	assert.Equal(t, len(told), 1)
	tracker.Merge(now.Add(time.Minute), told[0])
	assert.Equal(t, tracker.StateOf(7), Clear)
	tracker.Merge(now.Add(time.Minute), Notice{Fingerprint: 7, State: Quarantined, Targets: []string{"t3", "t4"}})
	assert.Equal(t, tracker.StateOf(7), Quarantined, "later losses count")
	assert.Equal(t, len(tracker.Quarantined(0)), 0)
}
