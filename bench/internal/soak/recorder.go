package soak

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// recorder records the requests that callers sent and targets ran, and the violations found
// in them. It is safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	requests map[string]*request
	// violations describes each violation of a promise, with its time.
	violations []string
	// targetCrashedAt holds, by target id, when the target crashed.
	targetCrashedAt map[string]time.Time
	counts          map[string]int
	// possibleCuts are checked at the end of the run, when all faults are known.
	possibleCuts []possibleCut
}

// request is one request of a caller.
type request struct {
	id, kind, path, body, daemon string
	sentAt                       time.Time
	// ranOn holds the id of the target for each time that the request ran.
	ranOn []string
	// toldNotRun is set when the caller was told that the request has not run.
	toldNotRun bool
	// spoilt is set if a target spoiled its answer.
	spoilt bool
}

func newRecorder() *recorder {
	return &recorder{requests: make(map[string]*request), targetCrashedAt: make(map[string]time.Time), counts: make(map[string]int)}
}

func (r *recorder) recordSent(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests[q.id] = q
}

// recordRun records that a target runs a request, and a violation if the request was not
// sent by a caller, was changed, or must not run (again).
func (r *recorder) recordRun(id, target string, h *http.Request, body []byte) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q := r.requests[id]
	if q == nil {
		r.addViolationLocked("target %s runs request %q that no caller sent", target, id)
		return
	}
	q.ranOn = append(q.ranOn, target)
	switch {
	case h.URL.Path != q.path || string(body) != q.body:
		r.addViolationLocked("request %s reached %s changed: path %s, %d bytes", id, target, h.URL.Path, len(body))
	case h.Header.Get("X-Api-Key") != "" || h.Header.Get("X-Tenant") != account:
		r.addViolationLocked("request %s reached %s with the headers of another caller", id, target)
	case q.kind == kindOnce && len(q.ranOn) > 1:
		r.addViolationLocked("request %s ran twice: %v", id, q.ranOn)
	case q.kind == kindOnce && q.toldNotRun:
		r.addViolationLocked("request %s runs on %s after its caller was told that it has not run", id, target)
	}
}

// recordNotRun records that a caller was told that its request has not run, and a violation
// if a request that must not run twice ran nevertheless.
func (r *recorder) recordNotRun(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	q.toldNotRun = true
	if q.kind == kindOnce && len(q.ranOn) > 0 {
		r.addViolationLocked("request %s ran on %v, and its caller was told that it has not", q.id, q.ranOn)
	}
}

// recordSpoilt records that a target spoils its answer to a request.
func (r *recorder) recordSpoilt(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q := r.requests[id]; q != nil {
		q.spoilt = true
		r.counts["spoilt answers"]++
	}
}

func (r *recorder) recordTargetCrash(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.targetCrashedAt[target] = time.Now()
}

// ranOnLiveTarget reports whether a request ran on a target that has not crashed since, and no
// target spoiled its answer.
func (r *recorder) ranOnLiveTarget(q *request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, target := range q.ranOn {
		if !q.spoilt && r.targetCrashedAt[target].IsZero() {
			return true
		}
	}
	return false
}

func (r *recorder) countResult(result string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counts[result]++
}

func (r *recorder) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolationLocked(format, args...)
}

// maxViolations is the largest number of violations that are recorded.
const maxViolations = 50

func (r *recorder) addViolationLocked(format string, args ...any) {
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// possibleCut is a request that got no complete answer while its daemon was in a planned
// stop.
type possibleCut struct {
	request *request
	at      time.Time
	err     error
}

func (r *recorder) recordPossibleCut(q *request, at time.Time, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.possibleCuts = append(r.possibleCuts, possibleCut{q, at, err})
}
