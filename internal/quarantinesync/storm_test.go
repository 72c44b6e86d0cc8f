package quarantinesync

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/eventlog"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// Guards against a broadcast storm between daemons that attribute the same loss differently.
// One daemon knows a single suspect on the lost target and makes it pending; another
// knows two suspects there and leaves both as suspects. Their notices then switch the
// request between pending and suspect at every other daemon, and notices that are
// relayed at each change multiply. The delay is 1 ms on links within a region and 12 ms
// between regions.
func TestPendingAndSuspectNoticesDieOut(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			const crasher, other = 7, 8
			mesh := newStormMesh(8, seed)
			mesh.syncers[0].TargetLost("t1", []uint64{crasher})
			time.Sleep(100 * time.Millisecond)
			mesh.syncers[4].TargetLost("t2", []uint64{other})
			mesh.syncers[4].TargetLost("t3", []uint64{other, crasher})
			mesh.syncers[0].TargetLost("t3", []uint64{crasher})
			time.Sleep(4 * time.Second)
			// At most three states of two requests, each relayed once by each daemon, and
			// the notices themselves.
			const notices = 12
			daemons := len(mesh.syncers)
			maxSent := (notices + 3*2*daemons) * (daemons - 1)
			assert.Assert(t, mesh.sent() <= maxSent, "seed %d: %d messages, at most %d", seed, mesh.sent(), maxSent)
		})
	}
}

// stormMesh is a full mesh of syncers that counts the messages between them.
type stormMesh struct {
	syncers []*Syncer

	mu       sync.Mutex
	messages int
	// lastArrival is the arrival time of the last message of each link; links deliver in
	// order.
	lastArrival map[[2]int]time.Time
	random      *rand.Rand
}

// maxMessages stops delivery in a test in which messages multiply.
const maxMessages = 50_000

func newStormMesh(daemons int, seed uint64) *stormMesh {
	s := &stormMesh{lastArrival: make(map[[2]int]time.Time), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		s.syncers = append(s.syncers, New(Config{
			Self:      fmt.Sprint("d", i),
			Logger:    eventlog.Discard(),
			Broadcast: func(m *peerpb.Envelope) { s.broadcast(i, m) },
		}))
	}
	return s
}

func (s *stormMesh) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messages
}

func (s *stormMesh) broadcast(from int, m *peerpb.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	half := len(s.syncers) / 2
	for to := range s.syncers {
		if to == from || s.messages >= maxMessages {
			continue
		}
		s.messages++
		delay := time.Millisecond
		if (from < half) != (to < half) {
			delay = 12 * time.Millisecond
		}
		at := time.Now().Add(delay + time.Duration(s.random.Int64N(int64(time.Millisecond))))
		link := [2]int{from, to}
		if last := s.lastArrival[link]; !at.After(last) {
			at = last.Add(time.Microsecond)
		}
		s.lastArrival[link] = at
		time.AfterFunc(time.Until(at), func() { s.syncers[to].OnMessage(m) })
	}
}
