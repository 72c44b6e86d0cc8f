package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// records hold what callers sent and what targets ran, and the promises that were
// broken. It is safe for concurrent use.
type records struct {
	mu       sync.Mutex
	requests map[string]*request
	// broken are the promises that were broken, with their requests.
	broken []string
	// endedAt is when a boot of a target ended.
	endedAt map[string]time.Time
	counts  map[string]int
	// cuts are judged at the end, when all faults are known.
	cuts []cut
}

// request is one attempt of a caller.
type request struct {
	id, kind, path, body, daemon string
	sent                         time.Time
	runs                         []string
	// refused is set when the caller was told that the request has not run.
	refused bool
}

func newRecords() *records {
	return &records{requests: make(map[string]*request), endedAt: make(map[string]time.Time), counts: make(map[string]int)}
}

func (r *records) sent(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
}

// ran records that a target runs a request.
func (r *records) ran(id, target string, h *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil {
		r.breaksLocked("target %s runs request %q that no caller sent", target, id)
		return
	}
	q.runs = append(q.runs, target)
	switch {
	case h.URL.Path != q.path || string(body) != q.body:
		r.breaksLocked("request %s reached %s changed: path %s, %d bytes", id, target, h.URL.Path, len(body))
	case h.Header.Get("X-Api-Key") != "" || h.Header.Get("X-Tenant") != account:
		r.breaksLocked("request %s reached %s with the headers of another caller", id, target)
	case q.kind == kindOnce && len(q.runs) > 1:
		r.breaksLocked("request %s ran twice: %v", id, q.runs)
	case q.kind == kindOnce && q.refused:
		r.breaksLocked("request %s runs on %s after its caller was told that it has not run", id, target)
	}
}

// refusedNotRun records that a caller was told that its request has not run.
func (r *records) refusedNotRun(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.refused = true
	if q.kind == kindOnce && len(q.runs) > 0 {
		r.breaksLocked("request %s ran on %v, and its caller was told that it has not", q.id, q.runs)
	}
}

func (r *records) ended(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endedAt[target] = time.Now()
}

// soundRun reports whether a request ran on a target that has not crashed.
func (r *records) soundRun(q *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range q.runs {
		if r.endedAt[target].IsZero() {
			return true
		}
	}
	return false
}

func (r *records) count(what string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[what]++
}

func (r *records) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breaksLocked(format, args...)
}

// maxBroken bounds the promises that are listed.
const maxBroken = 50

func (r *records) breaksLocked(format string, args ...any) {
	if len(r.broken) < maxBroken {
		r.broken = append(r.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// cut is a request that was lost while its daemon stopped.
type cut struct {
	request *request
	at      time.Time
	err     error
}

func (r *records) suspectCut(q *request, at time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cuts = append(r.cuts, cut{q, at, err})
}
