package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(d time.Duration) time.Time { return start.Add(d) }

// Guards against a crashing request that takes more than two targets with it.
func TestConvictedAfterTwoTargets(t *testing.T) {
	b := New(Options{})
	b.TargetLost(at(0), "t1", []uint64{1, 2, 3})
	assert.Equal(t, b.Check(1), Suspect)
	b.TargetLost(at(4*time.Second), "t2", []uint64{1, 9})
	assert.Equal(t, b.Check(1), Pending)
	assert.Equal(t, b.Check(9), Clear, "the suspect explains the loss")
	b.Tick(at(5 * time.Second))
	assert.Equal(t, b.Check(1), Quarantined)
	assert.Equal(t, b.Check(2), Clear, "its loss is explained by the conviction")
	b.Tick(at(5*time.Second + DefaultExpiry))
	assert.Equal(t, b.Check(1), Clear, "expired")
}

// Guards against convicting a request that was on the first lost target by chance.
func TestSuspectThatFinishesIsCleared(t *testing.T) {
	b := New(Options{})
	b.TargetLost(at(0), "t1", []uint64{1, 2})
	b.RequestFinished(at(time.Second), 2)
	assert.Equal(t, b.Check(2), Clear)
	b.TargetLost(at(4*time.Second), "t2", []uint64{2, 5})
	b.Tick(at(10 * time.Second))
	assert.Equal(t, b.Check(2), Suspect, "evidence before it finished does not count")
}

// Guards against taking one loss that two entries report for two losses.
func TestSameLossIsCountedOnce(t *testing.T) {
	b := New(Options{})
	b.TargetLost(at(0), "t1", []uint64{1})
	b.TargetLost(at(100*time.Millisecond), "t1", []uint64{1, 2})
	b.Tick(at(3 * time.Second))
	assert.Equal(t, b.Check(1), Suspect)
	assert.Equal(t, b.Check(2), Suspect)
}

// Guards against convicting one of several suspects of a second target.
func TestTwoSuspectsOnOneTargetAreNotConvicted(t *testing.T) {
	b := New(Options{})
	b.TargetLost(at(0), "t1", []uint64{1, 2})
	b.TargetLost(at(4*time.Second), "t2", []uint64{1})
	b.TargetLost(at(4*time.Second+10*time.Millisecond), "t2", []uint64{2})
	b.Tick(at(10 * time.Second))
	assert.Equal(t, b.Check(1), Suspect)
	assert.Equal(t, b.Check(2), Suspect)
}

// Guards against suspecting a whole data centre's requests when it is lost, and
// against convicting a suspect that ran there.
func TestLossOfADataCentreIsNoEvidence(t *testing.T) {
	b := New(Options{})
	b.TargetLost(at(0), "other", []uint64{1000, 7})
	for i := range 20 {
		fps := []uint64{uint64(2 * i), uint64(2*i + 1)}
		if i == 0 {
			fps = append(fps, 1000)
		}
		b.TargetLost(at(6*time.Second+time.Duration(i)*20*time.Millisecond), fmt.Sprint("t", i), fps)
	}
	b.Tick(at(10 * time.Second))
	for i := range 40 {
		if i != 7 {
			assert.Equal(t, b.Check(uint64(i)), Clear)
		}
	}
	assert.Equal(t, b.Check(1000), Suspect)
}

// Guards against a sender who hides behind the burst rule by sending several
// crashing requests at once.
func TestSimultaneousCrashRequestsAreConvicted(t *testing.T) {
	b := New(Options{})
	lost := 0
	for round := range 4 {
		for i := range 5 {
			if b.Check(uint64(i)) == Quarantined {
				continue
			}
			lost++
			b.TargetLost(at(time.Duration(round)*10*time.Second), fmt.Sprintf("r%d-%d", round, i), []uint64{uint64(i)})
		}
		b.Tick(at(time.Duration(round)*10*time.Second + 2*time.Second))
	}
	for i := range 5 {
		assert.Equal(t, b.Check(uint64(i)), Quarantined)
	}
	assert.Assert(t, lost <= 15, "lost %d targets", lost)
}

// Guards against daemons that do not learn of convictions, and against a late
// suspicion that undoes a clearing.
func TestMerge(t *testing.T) {
	a, b := New(Options{}), New(Options{})
	first := a.TargetLost(at(0), "t1", []uint64{1, 2})
	for _, n := range first {
		b.Merge(at(0), n)
	}
	assert.Equal(t, b.Check(2), Suspect)
	for _, n := range a.RequestFinished(at(time.Second), 2) {
		b.Merge(at(time.Second), n)
	}
	b.Merge(at(time.Second), first[1])
	assert.Equal(t, b.Check(2), Clear)
	// The second loss is seen by the other daemon.
	for _, n := range b.TargetLost(at(6*time.Second), "t2", []uint64{1}) {
		a.Merge(at(6*time.Second), n)
	}
	assert.Equal(t, a.Check(1), Pending)
	for _, n := range b.Tick(at(7 * time.Second)) {
		a.Merge(at(7*time.Second), n)
	}
	assert.Equal(t, a.Check(1), Quarantined)
}

// Guards against growth without bound.
func TestMemoryIsBounded(t *testing.T) {
	b := New(Options{MaxEntries: 100})
	b.Merge(at(0), Notice{Fingerprint: 1 << 40, State: Quarantined, Targets: []string{"a", "b"}})
	for i := range 10000 {
		b.TargetLost(at(time.Duration(i)*10*time.Second), fmt.Sprint(i), []uint64{uint64(i), uint64(i + 1)})
	}
	b.Tick(at(10000 * 10 * time.Second))
	assert.Assert(t, b.Len() <= 100)
	assert.Equal(t, len(b.held), 0)
}

// Guards against a conviction that stays although the cause of one of its two
// losses is known to be another one, here and in other daemons.
func TestExonerate(t *testing.T) {
	b, peer := New(Options{}), New(Options{})
	b.TargetLost(at(0), "t1", []uint64{1})
	b.TargetLost(at(6*time.Second), "t2", []uint64{1})
	for _, n := range b.Tick(at(7 * time.Second)) {
		peer.Merge(at(7*time.Second), n)
	}
	assert.Equal(t, peer.Check(1), Quarantined)
	for _, n := range b.DiscountLoss(at(16*time.Second), "t2") {
		peer.Merge(at(16*time.Second), n)
	}
	assert.Equal(t, b.Check(1), Suspect)
	assert.Equal(t, peer.Check(1), Suspect)
}

// Guards against convictions read from the store that look like a burst of
// losses and hide a real suspicion.
func TestMergedConvictionsAreNoBurst(t *testing.T) {
	b := New(Options{})
	for i := range 10 {
		b.Merge(at(0), Notice{Fingerprint: uint64(100 + i), State: Quarantined, Targets: []string{fmt.Sprint("x", i), fmt.Sprint("y", i)}})
	}
	b.TargetLost(at(0), "t1", []uint64{1})
	assert.Equal(t, b.Check(1), Suspect)
}
