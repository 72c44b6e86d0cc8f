package quarantinesync

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// Guards against a broadcast storm: daemons that relay two contradictory notices to one
// another endlessly, which delays all other work.
func TestOppositeNoticesDoNotCirculate(t *testing.T) {
	const daemons = 6
	var syncers [daemons]*Syncer
	var messages atomic.Int64
	var inFlight sync.WaitGroup
	var stopped atomic.Bool
	for i := range daemons {
		syncers[i] = New(Config{Self: fmt.Sprint("d", i), Logger: eventlog.Discard(), Broadcast: func(m *peerpb.Envelope) {
			for j := range daemons {
				if j == i || stopped.Load() {
					continue
				}
				messages.Add(1)
				inFlight.Add(1)
				time.AfterFunc(time.Millisecond, func() {
					defer inFlight.Done()
					syncers[j].OnMessage(m)
				})
			}
		}})
	}
	for round := range 5 {
		target := fmt.Sprint("t", round)
		syncers[0].TargetLost(target, []uint64{7})
		syncers[1].TargetLost(target, []uint64{7})
		time.Sleep(3 * time.Millisecond)
		syncers[2].RequestFinished(7)
		syncers[3].RequestFinished(7)
	}
	time.Sleep(300 * time.Millisecond)
	stopped.Store(true)
	inFlight.Wait()
	// 20 notices to five peers, and each of two states relayed once by each daemon.
	assert.Assert(t, messages.Load() <= 20*5+2*daemons*5, "%d messages", messages.Load())
}
