package blocklist

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	common   = uint64(0xc0ffee)
	crashing = uint64(0xdead)
)

var start = time.Date(2026, 12, 5, 10, 0, 0, 0, time.UTC)

func at(offset time.Duration) time.Time {
	return start.Add(offset)
}

// lose records the loss of a target with one attempt for each list of parts. Every attempt
// is of another request.
func lose(t *Tracker, now time.Time, target string, attempts ...[]uint64) []Block {
	loss := Loss{Target: target}
	for i, parts := range attempts {
		loss.Attempts = append(loss.Attempts, Attempt{Fingerprint: uint64(now.UnixNano()) + uint64(i), Parts: parts})
	}
	notices, _ := t.RecordLoss(now, loss, true)
	return notices
}

// blockCrashing lets three targets be lost with the crashing part, and decides.
func blockCrashing(t *testing.T, tracker *Tracker) (blockedAt time.Time) {
	t.Helper()
	for i := range 3 {
		lose(tracker, at(time.Duration(i)*2*time.Second), fmt.Sprint("t", i), []uint64{common, crashing})
		tracker.Answered(at(time.Duration(i)*2*time.Second+time.Second), []uint64{common})
	}
	blockedAt = at(5*time.Second + DefaultVetoWindow)
	tracker.Tick(blockedAt)
	assert.Equal(t, tracker.Check(blockedAt, []uint64{common, crashing}).State, Blocked)
	return blockedAt
}

// Guards against target after target being lost to requests that differ in all but one part.
func TestPartOfThreeLossesIsBlocked(t *testing.T) {
	tracker := New(Options{})
	assert.Equal(t, len(lose(tracker, at(0), "t0", []uint64{1, crashing}, []uint64{2})), 0)
	assert.Equal(t, len(lose(tracker, at(time.Second), "t1", []uint64{crashing, 3}, []uint64{4})), 0)
	accused := lose(tracker, at(2*time.Second), "t2", []uint64{crashing}, []uint64{5})
	assert.Equal(t, len(accused), 1)
	assert.DeepEqual(t, accused[0].Parts, []uint64{crashing})
	assert.Equal(t, tracker.Check(at(2*time.Second), []uint64{9, crashing}).State, Accused)
	blocked := tracker.Tick(at(2*time.Second + DefaultVetoWindow))
	assert.Equal(t, len(blocked), 1)
	assert.Equal(t, blocked[0].State, Blocked)
	assert.Equal(t, tracker.Check(at(3*time.Second), []uint64{9, crashing}).State, Blocked)
	assert.Equal(t, tracker.Check(at(3*time.Second), []uint64{1, 2, 3, 4, 5}).State, Allowed)
}

// Guards against refusing sound requests that begin like those that crash targets, when every
// one of the latter had the same beginning.
func TestCommonBeginningIsNotBlocked(t *testing.T) {
	tracker := New(Options{})
	for i := range 3 {
		lose(tracker, at(time.Duration(i)*2*time.Second), fmt.Sprint("t", i), []uint64{common, crashing})
	}
	now := at(4*time.Second + DefaultVetoWindow)
	tracker.Tick(now)
	assert.Equal(t, tracker.Check(now, []uint64{common, crashing}).State, Blocked)
	assert.Equal(t, tracker.Check(now, []uint64{common}).State, Allowed)
	answer, changed := tracker.Answered(now, []uint64{common})
	assert.Assert(t, changed)
	assert.DeepEqual(t, answer.Parts, []uint64{common})
	assert.Equal(t, tracker.Check(now, []uint64{crashing}).State, Blocked)
	assert.Equal(t, tracker.Check(now, []uint64{common}).State, Allowed)
}

// Guards against the failure of a rack, which takes many targets with whatever they were
// about to answer, being counted against what these requests have in common.
func TestLossesOfOneMomentAccuseNothing(t *testing.T) {
	tracker := New(Options{})
	for i := range 20 {
		notices := lose(tracker, at(time.Duration(i)*40*time.Millisecond), fmt.Sprint("t", i), []uint64{common})
		assert.Equal(t, len(notices), 0)
	}
	for now := at(0); now.Before(at(time.Minute)); now = now.Add(250 * time.Millisecond) {
		assert.Equal(t, len(tracker.Tick(now)), 0)
	}
}

// Guards against a part that targets answer all the time being accused after two bursts of
// losses, between which no answer came by chance.
func TestKnownPartNeedsLossesOfThreeMoments(t *testing.T) {
	tracker := New(Options{})
	tracker.Answered(at(-time.Minute), []uint64{common})
	for i, offset := range []time.Duration{0, 100 * time.Millisecond, 3 * time.Second, 3100 * time.Millisecond} {
		assert.Equal(t, len(lose(tracker, at(offset), fmt.Sprint("t", i), []uint64{common})), 0)
	}
	accused := lose(tracker, at(6*time.Second), "t9", []uint64{common})
	assert.Equal(t, len(accused), 1, "a part may begin to crash targets after a new version")
	assert.Assert(t, accused[0].Recurring)
}

// Guards against the parts of one request that crashes targets, and is sent again and again,
// being refused for other requests.
func TestRepeatsOfOneRequestAccuseNothing(t *testing.T) {
	tracker := New(Options{})
	for i := range 10 {
		now := at(time.Duration(i) * 2 * time.Second)
		loss := Loss{Target: fmt.Sprint("t", i), Attempts: []Attempt{{Fingerprint: 7, Parts: []uint64{common}}}}
		notices, _ := tracker.RecordLoss(now, loss, true)
		assert.Equal(t, len(notices), 0)
	}
}

// Guards against losses that count against a part although a target answered it since.
func TestAnswerEndsTheEvidence(t *testing.T) {
	tracker := New(Options{})
	for i := range 20 {
		now := at(time.Duration(i) * 3 * time.Second)
		assert.Equal(t, len(lose(tracker, now, fmt.Sprint("t", i), []uint64{common})), 0)
		if i%2 == 1 {
			tracker.Answered(now.Add(time.Second), []uint64{common})
		}
	}
	assert.Equal(t, tracker.Stats().Parts, 0)
}

// Guards against an accusation by a daemon that did not see the answers that others saw.
func TestVetoOfAnotherDaemonEndsAnAccusation(t *testing.T) {
	accuser, other := New(Options{}), New(Options{})
	var accused []Block
	for i := range 3 {
		now := at(time.Duration(i) * 2 * time.Second)
		accused = lose(accuser, now, fmt.Sprint("t", i), []uint64{common, crashing})
		other.Answered(now.Add(time.Second), []uint64{common})
	}
	assert.Equal(t, len(accused), 1)
	vetoes := other.Merge(at(4*time.Second), accused[0])
	assert.Equal(t, len(vetoes), 1)
	assert.DeepEqual(t, vetoes[0].Parts, []uint64{common})
	assert.DeepEqual(t, accuser.MergeAnswer(vetoes[0]), []uint64{common})
	blocked := accuser.Tick(at(4*time.Second + DefaultVetoWindow))
	assert.Equal(t, len(blocked), 1)
	assert.DeepEqual(t, blocked[0].Parts, []uint64{crashing})
	assert.Equal(t, len(other.Merge(at(5*time.Second), blocked[0])), 0)
	assert.Equal(t, other.Check(at(5*time.Second), []uint64{crashing, 8}).State, Blocked)
}

// Guards against an accusation that stays in force after the daemon that made it died.
func TestAccusationWithoutADecisionEnds(t *testing.T) {
	tracker := New(Options{})
	tracker.Merge(at(0), Block{State: Accused, Parts: []uint64{crashing}, FirstLoss: at(-3 * time.Second), LastLoss: at(0), Recurring: true})
	assert.Equal(t, tracker.Check(at(0), []uint64{crashing}).State, Accused)
	tracker.Tick(at(2 * DefaultVetoWindow))
	assert.Equal(t, tracker.Check(at(time.Second), []uint64{crashing}).State, Allowed)
}

// Guards against evidence that leads to nothing because the owner of each lost target has
// just started and knows no earlier loss.
func TestAnotherDaemonAccusesInstead(t *testing.T) {
	tracker := New(Options{AccuseDelay: 500 * time.Millisecond})
	for i := range 3 {
		loss := Loss{Target: fmt.Sprint("t", i), Attempts: []Attempt{{Fingerprint: uint64(i), Parts: []uint64{crashing}}}}
		notices, _ := tracker.RecordLoss(at(time.Duration(i)*2*time.Second), loss, false)
		assert.Equal(t, len(notices), 0)
	}
	assert.Equal(t, len(tracker.Tick(at(4*time.Second))), 0)
	assert.Equal(t, len(tracker.Tick(at(4500*time.Millisecond))), 1)
}

// Guards against a sound part that stays refused for ever, since no request with it can be
// answered any more.
func TestTrialLiftsABlock(t *testing.T) {
	tracker := New(Options{})
	blockCrashing(t, tracker)
	lastLoss := at(4 * time.Second)
	set := []uint64{crashing}
	early := tracker.Check(lastLoss.Add(DefaultTrialDelay-time.Second), set)
	assert.Assert(t, !early.TrialDue)
	assert.Equal(t, early.RetryAfter, time.Second)
	due := lastLoss.Add(DefaultTrialDelay)
	assert.Assert(t, tracker.Check(due, set).TrialDue)
	assert.Assert(t, tracker.StartTrial(due, set))
	assert.Assert(t, !tracker.StartTrial(due, set), "one trial at a time")
	assert.Assert(t, !tracker.Check(due, set).TrialDue)
	answer, changed := tracker.Answered(due.Add(time.Second), []uint64{common, crashing})
	assert.Assert(t, changed)
	assert.DeepEqual(t, answer.Parts, set)
	assert.Equal(t, tracker.Check(due.Add(time.Second), set).State, Allowed)
}

// Guards against trials that crash a target each time they are due, over a whole day.
func TestFailedTrialsBecomeRare(t *testing.T) {
	tracker := New(Options{})
	blockCrashing(t, tracker)
	set := []uint64{crashing}
	trials := 0
	for now := at(10 * time.Second); now.Before(at(24 * time.Hour)); now = now.Add(time.Second) {
		if tracker.Check(now, set).TrialDue && tracker.StartTrial(now, set) {
			trials++
			lose(tracker, now, fmt.Sprint("trial", trials), []uint64{common, crashing}, []uint64{common, 77})
		}
	}
	// After 30 s, 300 s, 50 min and 8 h.
	assert.Equal(t, trials, 4)
	assert.Equal(t, tracker.Check(at(24*time.Hour), set).State, Blocked)
	assert.Equal(t, tracker.Check(at(24*time.Hour), []uint64{common, 77}).State, Allowed)
}

// Guards against a trial that is not repeated when its request was never sent.
func TestTrialWithoutAResultIsRepeated(t *testing.T) {
	tracker := New(Options{})
	blockCrashing(t, tracker)
	due := at(4 * time.Second).Add(DefaultTrialDelay)
	assert.Assert(t, tracker.StartTrial(due, []uint64{crashing}))
	assert.Assert(t, tracker.StartTrial(due.Add(DefaultTrialTimeout), []uint64{crashing}))
}

// Guards against the requests beside a blocked one being blamed for the target that it takes
// with it.
func TestBlockedSetExplainsFurtherLosses(t *testing.T) {
	tracker := New(Options{})
	now := blockCrashing(t, tracker)
	for i := range 10 {
		now = now.Add(2 * time.Second)
		loss := Loss{Target: fmt.Sprint("x", i), Attempts: []Attempt{
			{Fingerprint: uint64(100 + i), Parts: []uint64{common, crashing}},
			{Fingerprint: uint64(200 + i), Parts: []uint64{common, 42}},
		}}
		notices, explained := tracker.RecordLoss(now, loss, true)
		assert.Assert(t, explained)
		assert.Equal(t, len(notices), 0)
	}
	assert.Equal(t, tracker.Check(now, []uint64{common, 42}).State, Allowed)
	assert.Equal(t, tracker.Stats().Parts, 0)
}

// Guards against a second crashing part that stays unknown behind the first.
func TestSecondCrashingPartIsBlockedToo(t *testing.T) {
	tracker := New(Options{})
	now := blockCrashing(t, tracker)
	for i := range 3 {
		now = now.Add(2 * time.Second)
		lose(tracker, now, fmt.Sprint("x", i), []uint64{common, 0xbad})
		tracker.Answered(now.Add(time.Second), []uint64{common})
	}
	now = now.Add(time.Second)
	tracker.Tick(now)
	assert.Equal(t, tracker.Check(now, []uint64{common, 0xbad}).State, Blocked)
	assert.Equal(t, tracker.Check(now, []uint64{common, crashing}).State, Blocked)
	assert.Equal(t, tracker.Check(now, []uint64{common}).State, Allowed)
}

// Guards against a blocked set that is told or stored for longer than it is in force.
func TestBlocksExpire(t *testing.T) {
	tracker := New(Options{})
	blockCrashing(t, tracker)
	told := tracker.Snapshot()
	assert.Equal(t, len(told), 1)
	late := at(4*time.Second + DefaultExpiry + time.Second)
	tracker.Tick(late)
	assert.Equal(t, tracker.Check(late, []uint64{crashing}).State, Allowed)
	other := New(Options{})
	other.Merge(late, told[0])
	assert.Equal(t, other.Check(late, []uint64{crashing}).State, Allowed)
}

// Guards against memory that grows with what callers, targets and peers send.
func TestRecordsAreBounded(t *testing.T) {
	const maxParts, maxBlocks = 500, 20
	tracker := New(Options{MaxParts: maxParts, MaxBlocks: maxBlocks})
	random := rand.New(rand.NewPCG(1, 2))
	for i := range 5000 {
		now := at(time.Duration(i) * 700 * time.Millisecond)
		loss := Loss{Target: fmt.Sprint("t", i)}
		for range random.IntN(2 * MaxAttempts) {
			parts := make([]uint64, random.IntN(2*MaxAttemptParts))
			for j := range parts {
				parts[j] = random.Uint64N(1 << random.UintN(64))
			}
			loss.Attempts = append(loss.Attempts, Attempt{Fingerprint: random.Uint64(), Parts: parts})
		}
		tracker.RecordLoss(now, loss, random.IntN(2) == 0)
		tracker.Answered(now, []uint64{random.Uint64(), random.Uint64N(64)})
		tracker.Merge(now, Block{State: State(random.IntN(3)), Parts: []uint64{random.Uint64()}, FirstLoss: now, LastLoss: now})
		tracker.Tick(now)
		stats := tracker.Stats()
		assert.Assert(t, stats.Parts <= maxParts && stats.Answered <= maxParts && stats.Accused+stats.Blocked <= maxBlocks, "%+v", stats)
		assert.Assert(t, len(tracker.ready) <= maxParts && len(tracker.recentLosses) <= 4)
	}
	for _, r := range tracker.records.Values() {
		assert.Assert(t, len(r.evidence) <= maxEvidence)
		for _, e := range r.evidence {
			assert.Assert(t, len(e.attempt.Parts) <= MaxAttemptParts && len(e.loss.attempts) <= MaxAttempts)
		}
	}
}

// Guards against a crashing part that is not found, or sound requests that stay refused, when
// targets are lost to other causes too: single crashes, and racks that fail.
func TestCrashingPartIsFoundBesideOtherLosses(t *testing.T) {
	for seed := range uint64(50) {
		random := rand.New(rand.NewPCG(seed, 3))
		tracker := New(Options{})
		soundRefused, soundSent, crashedAfter, crashes := 0, 0, 0, 0
		learnedAt := time.Time{}
		// Each step is one request. Half of them share a beginning with those that crash
		// targets, the others one of 100 beginnings.
		const steps, step = 6000, 10 * time.Millisecond
		for i := range steps {
			now := at(time.Duration(i) * step)
			if i%25 == 0 {
				tracker.Tick(now)
			}
			parts := []uint64{common, 1000 + random.Uint64N(20)}
			if random.IntN(2) == 0 {
				parts[0] = 2000 + random.Uint64N(100)
			}
			crashes1 := random.IntN(100) < 2
			if crashes1 {
				parts = []uint64{common, crashing}
			}
			if tracker.Check(now, parts).State == Blocked {
				if !crashes1 {
					soundRefused++
				}
				continue
			}
			if !crashes1 {
				soundSent++
			}
			switch {
			case crashes1:
				crashes++
				if crashes == 5 {
					learnedAt = now.Add(4 * time.Second)
				} else if !learnedAt.IsZero() && now.After(learnedAt) {
					crashedAfter++
				}
				lose(tracker, now, fmt.Sprint("c", i), parts, []uint64{2000 + random.Uint64N(100), 1000 + random.Uint64N(20)})
			case random.IntN(300) == 0:
				lose(tracker, now, fmt.Sprint("o", i), parts, []uint64{common, 1000 + random.Uint64N(20)})
			case random.IntN(1000) == 0:
				for n := range 5 {
					lose(tracker, now, fmt.Sprint("r", i, n), []uint64{common, 1000 + random.Uint64N(20)}, []uint64{2000 + random.Uint64N(100)})
				}
			default:
				tracker.Answered(now, parts)
			}
		}
		assert.Assert(t, crashedAfter <= 3, "seed %d: %d", seed, crashedAfter)
		assert.Assert(t, soundRefused*200 <= soundSent, "seed %d: %d of %d sound requests refused", seed, soundRefused, soundSent)
	}
}

// Guards against sets that are taken for each other.
func TestKeyTellsSetsApart(t *testing.T) {
	sets := [][]uint64{{}, {0}, {1}, {16}, {1, 6}, {0x10, 6}, {1, 6, 0}}
	var keys []string
	for _, set := range sets {
		key := Key(set)
		assert.Assert(t, !slices.Contains(keys, key))
		keys = append(keys, key)
	}
}
