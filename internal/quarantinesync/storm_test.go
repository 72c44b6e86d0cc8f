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

// Guards against a storm between daemons that see the same loss differently. One holds
// the only suspect that it knows on a lost target, another knows two suspects there
// and keeps both. A held request that is suspected again changes the book of each
// daemon that decides nothing, in both directions, so that notices that are passed
// on at each change multiply. Links within a region take 1 ms, between regions 12 ms.
func TestHeldAndSuspectedNoticesDieOut(t *testing.T) {
	for seed := range uint64(20) {
		synctest.Test(t, func(t *testing.T) {
			const crasher, other = 7, 8
			storm := newStorm(8, seed)
			storm.duties[0].TargetLost("t1", []uint64{crasher})
			time.Sleep(100 * time.Millisecond)
			storm.duties[4].TargetLost("t2", []uint64{other})
			storm.duties[4].TargetLost("t3", []uint64{other, crasher})
			storm.duties[0].TargetLost("t3", []uint64{crasher})
			time.Sleep(4 * time.Second)
			// At most three states of two requests, passed on once by each daemon, and
			// the notices themselves.
			const notices = 12
			daemons := len(storm.duties)
			most := (notices + 3*2*daemons) * (daemons - 1)
			assert.Assert(t, storm.sent() <= most, "seed %d: %d messages, at most %d", seed, storm.sent(), most)
		})
	}
}

// storm is a full mesh of duties that counts the messages between them.
type storm struct {
	duties []*Syncer

	mu       sync.Mutex
	messages int
	// arrives is when the last message of a link arrives: links keep the order.
	arrives map[[2]int]time.Time
	random  *rand.Rand
}

// maxStorm ends a test in which messages multiply.
const maxStorm = 50_000

func newStorm(daemons int, seed uint64) *storm {
	s := &storm{arrives: make(map[[2]int]time.Time), random: rand.New(rand.NewPCG(seed, 1))}
	for i := range daemons {
		s.duties = append(s.duties, New(Config{
			Self:      fmt.Sprint("d", i),
			Logger:    eventlog.Discard(),
			Broadcast: func(m *peerpb.Envelope) { s.broadcast(i, m) },
		}))
	}
	return s
}

func (s *storm) sent() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.messages
}

func (s *storm) broadcast(from int, m *peerpb.Envelope) {
	s.mu.Lock()
	defer s.mu.Unlock()
	half := len(s.duties) / 2
	for to := range s.duties {
		if to == from || s.messages >= maxStorm {
			continue
		}
		s.messages++
		delay := time.Millisecond
		if (from < half) != (to < half) {
			delay = 12 * time.Millisecond
		}
		at := time.Now().Add(delay + time.Duration(s.random.Int64N(int64(time.Millisecond))))
		link := [2]int{from, to}
		if last := s.arrives[link]; !at.After(last) {
			at = last.Add(time.Microsecond)
		}
		s.arrives[link] = at
		time.AfterFunc(time.Until(at), func() { s.duties[to].OnMessage(m) })
	}
}
