package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxEvents bounds the published history; older events are a gap to readers.
const maxEvents = 4096

// CacheEvent says that a prefix block was stored or evicted. Sequence numbers
// rise by one; a missing number is a lost event.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Block    uint64 `json:"block,string"`
	at       time.Time
}

// eventLog keeps the newest cache events.
type eventLog struct {
	mu     sync.Mutex
	random *rand.Rand
	loss   float64
	last   uint64
	events []CacheEvent
}

func (l *eventLog) add(op string, block uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.last++
	if l.random.Float64() < l.loss {
		return
	}
	l.events = append(l.events, CacheEvent{Sequence: l.last, Op: op, Block: block, at: time.Now()})
	l.events = l.events[max(0, len(l.events)-maxEvents):]
}

// since returns the events after a sequence number that are older than lag.
func (l *eventLog) since(after uint64, lag time.Duration) []CacheEvent {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := time.Now().Add(-lag)
	out := []CacheEvent{}
	for _, e := range l.events {
		if e.Sequence > after && e.at.Before(limit) {
			out = append(out, e)
		}
	}
	return out
}

func (s *Server) cacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, map[string]any{"events": s.events.since(after, s.config.Lag)})
}
