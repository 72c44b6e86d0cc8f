package engine

import (
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maxEvents bounds the published history; readers see older events as a gap in the
// sequence numbers.
const maxEvents = 4096

// CacheEvent reports that a prefix block was stored or evicted. Sequence numbers
// increase by one; a missing number is a lost event.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Op       string `json:"op"`
	Block    uint64 `json:"block,string"`
	at       time.Time
}

// eventLog keeps the newest cache events. It is safe for concurrent use.
type eventLog struct {
	mu           sync.Mutex
	rng          *rand.Rand
	lossShare    float64
	lastSequence uint64
	events       []CacheEvent
}

// add appends an event. A share lossShare of the events only uses a sequence number and
// is not kept.
func (l *eventLog) add(op string, block uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastSequence++
	if l.rng.Float64() < l.lossShare {
		return
	}
	l.events = append(l.events, CacheEvent{Sequence: l.lastSequence, Op: op, Block: block, at: time.Now()})
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

func (s *Server) handleCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	writeJSON(w, map[string]any{"events": s.events.since(after, s.config.Lag)})
}
