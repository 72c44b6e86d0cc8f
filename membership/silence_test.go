package membership

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silenceVM is the behaviour of one daemon that others ask.
type silenceVM struct {
	// loss is the share of pings or answers that are lost and retransmitted.
	loss float64
	// answerTime is the time that the daemon takes to answer.
	answerTime time.Duration
	// deadAt is when it stops answering; zero for never.
	deadAt time.Duration
}

const (
	// retransmission is the least time after which TCP sends a lost packet again.
	retransmission = 200 * time.Millisecond
	roundTrip      = 3 * time.Millisecond
)

// answerDelay draws the time until the answer to a ping arrives.
func (vm silenceVM) answerDelay(random *rand.Rand) time.Duration {
	delay := roundTrip + vm.answerTime
	for backoff := retransmission; random.Float64() < vm.loss; backoff *= 2 {
		delay += backoff
	}
	return delay
}

// silenceRun plays a minute in which five daemons each send one a request every 300 ms and ask
// it when the reply is later than usual. It returns the verdicts while the daemon was alive,
// and the time from its death until all five knew of it.
func silenceRun(seed uint64, vm silenceVM, detectors []*Silence) (wrong int, noticed time.Duration) {
	const step = 5 * time.Millisecond
	random := rand.New(rand.NewPCG(seed, 5))
	start := time.Unix(1_700_000_000, 0)
	usual := 50*time.Millisecond + vm.answerTime
	// replies and answers are the times at which the latest reply and the answer to a ping
	// arrive at each daemon. A ping is answered behind a lost packet of the request.
	replies, answers := make([]time.Time, len(detectors)), make([]time.Time, len(detectors))
	sentAt := make([]time.Time, len(detectors))
	for elapsed := time.Duration(0); elapsed < time.Minute; elapsed += step {
		now := start.Add(elapsed)
		dead := vm.deadAt > 0 && elapsed >= vm.deadAt
		ping := func(i int) {
			if !dead && answers[i].IsZero() {
				answers[i] = now.Add(vm.answerDelay(random))
				if replies[i].After(answers[i]) {
					answers[i] = replies[i]
				}
			}
		}
		silent := 0
		for i, s := range detectors {
			if !dead && !answers[i].IsZero() && !now.Before(answers[i]) {
				answers[i] = time.Time{}
				s.Heard(now, "vm")
			}
			if (elapsed/step)%60 == time.Duration(i*7) {
				sentAt[i], replies[i] = now, now.Add(vm.answerDelay(random))
			}
			replied := !dead && !now.Before(replies[i])
			if !replied && now.Sub(sentAt[i]) == usual && s.Ask(now, "vm") {
				ping(i)
			}
			changes := s.Tick(now)
			if len(changes.Silent) > 0 && !dead {
				wrong++
			}
			for _, report := range changes.Reports {
				for j, other := range detectors {
					if j != i && other.Reported(now, fmt.Sprint(i), report.Name) {
						ping(j)
					}
				}
			}
			if s.IsSilent("vm") {
				silent++
			}
		}
		if dead && silent == len(detectors) {
			return wrong, elapsed - vm.deadAt
		}
	}
	return wrong, 0
}

func newDetectors() []*Silence {
	detectors := make([]*Silence, 5)
	for i := range detectors {
		detectors[i] = NewSilence()
	}
	return detectors
}

// Guards against target groups that stand still for seconds because their owner lost power:
// probes miss it after 3 s, while the callers of the first tier wait for 400 ms.
func TestSilenceIsNoticedWithinRoundTrips(t *testing.T) {
	for seed := range uint64(100) {
		_, noticed := silenceRun(seed, silenceVM{deadAt: 30 * time.Second}, newDetectors())
		// Two requests are due within 150 ms among five daemons; then the usual reply time, a
		// report and the bound.
		assert.Assert(t, noticed > 0 && noticed <= 200*time.Millisecond+silentPooled+reportAfter, "seed %d: %v", seed, noticed)
	}
}

// Guards against taking the living for dead where packets are lost or a VM is slow, which
// would move target groups to and fro. A fixed bound of a few round trips does so all the
// time; it is the counterpart here.
func TestLivingDaemonsAreRarelySilent(t *testing.T) {
	for name, vm := range map[string]silenceVM{
		"lossy":          {loss: 0.025},
		"slow":           {answerTime: 120 * time.Millisecond},
		"lossy and slow": {loss: 0.025, answerTime: 60 * time.Millisecond},
	} {
		wrong, fixedBound := 0, 0
		for seed := range uint64(60) {
			w, _ := silenceRun(seed, vm, newDetectors())
			wrong += w
			fixedBound += countLateAnswers(seed, vm, 50*time.Millisecond)
		}
		// 60 runs are five daemon-hours; the aim is at most one wrong verdict in a minute.
		assert.Assert(t, wrong <= 300, "%s: %d wrong verdicts in 5 hours", name, wrong)
		assert.Assert(t, fixedBound > 10*max(wrong, 1), "%s: %d with a fixed bound, %d without", name, fixedBound, wrong)
		t.Logf("%s: %d wrong verdicts in five daemon-hours, %d late replies", name, wrong, fixedBound)
	}
}

// countLateAnswers returns how often a fixed bound takes a living daemon for dead in the
// asks of silenceRun.
func countLateAnswers(seed uint64, vm silenceVM, bound time.Duration) int {
	random := rand.New(rand.NewPCG(seed, 5))
	late := 0
	for range 5 * int(time.Minute/(300*time.Millisecond)) {
		if vm.answerDelay(random) > bound {
			late++
		}
	}
	return late
}

// Guards against a silent daemon that stays silent after it was heard, and against old
// reports and answers that count after a restart.
func TestHeardDaemonIsNoLongerSilent(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	s := NewSilence()
	assert.Assert(t, s.Ask(now, "vm"))
	assert.Assert(t, !s.Ask(now, "vm"))
	assert.DeepEqual(t, s.Tick(now.Add(reportAfter)).Reports, []SilenceReport{{Name: "vm"}})
	assert.DeepEqual(t, s.Tick(now.Add(silentAlone)).Silent, []string{"vm"})
	assert.Assert(t, s.IsSilent("vm") && !s.Ask(now.Add(silentAlone), "vm"))
	assert.Assert(t, s.Heard(now.Add(time.Second), "vm"))
	assert.Assert(t, !s.IsSilent("vm"))

	// An answer that was late before is waited for longer.
	now = now.Add(time.Minute)
	s.Ask(now, "vm")
	s.Heard(now.Add(450*time.Millisecond), "vm")
	now = now.Add(time.Second)
	s.Ask(now, "vm")
	assert.Equal(t, len(s.Tick(now.Add(silentAlone)).Silent), 0)
	assert.DeepEqual(t, s.Tick(now.Add(900*time.Millisecond)).Silent, []string{"vm"})
	s.Restarted("vm")
	now = now.Add(time.Second)
	s.Ask(now, "vm")
	assert.DeepEqual(t, s.Tick(now.Add(silentAlone)).Silent, []string{"vm"})
}
