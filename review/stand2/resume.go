package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// resumeEvents is the number of events of a whole stream, preemptAfter the event after
	// which a preempted one pauses, for preemptPause.
	resumeEvents = 40
	preemptAfter = 4
	preemptPause = 1800 * time.Millisecond
	// overlapAllowed is how long a server may still work on a request that goes on elsewhere.
	overlapAllowed = 400 * time.Millisecond
)

// span is the time in which a server works on a request. A zero end means that it still does.
type span struct {
	server     string
	start, end time.Time
	resumed    bool
}

// resumeWhileRunning sends streams that may be resumed. Two of the nine servers don't drop a
// request when its channel closes, and preempt one stream of five in the middle.
func resumeWhileRunning(rec *record) bool {
	f := newFleet(rec)
	defer f.stop()
	var mu sync.Mutex
	spans := map[string][]*span{}
	preempted := 0
	newRun := func(drops bool) func(*server, http.ResponseWriter, *http.Request) {
		return func(s *server, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Attempt-Id")
			first := 1
			if last := r.Header.Get("Last-Event-Id"); last != "" {
				fmt.Sscan(last, &first)
				first++
			}
			work := &span{server: s.id, start: time.Now(), resumed: first > 1}
			mu.Lock()
			spans[id] = append(spans[id], work)
			mu.Unlock()
			defer func() {
				mu.Lock()
				work.end = time.Now()
				mu.Unlock()
			}()
			preempt := trouble() && !drops && first == 1 && rand.IntN(5) == 0
			w.Header().Set("X-Response-Signature", signature)
			w.Header().Set("Content-Type", "text/event-stream")
			out := http.NewResponseController(w)
			for i := first; i <= resumeEvents; i++ {
				fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 40))
				_ = out.Flush()
				pause := eventGap
				if preempt && i == preemptAfter {
					pause = preemptPause
					mu.Lock()
					preempted++
					mu.Unlock()
				}
				select {
				case <-time.After(pause):
				case <-dropped(r.Context(), drops):
					return
				}
			}
		}
	}
	for i := range 9 {
		startServer(f, "huvo11a", zoneNames[i%3], "v1", 13, newRun(i >= 2))
	}
	route := streamRoute()
	route["streamResume"], route["maxAttempts"] = true, 2
	f.store.put("op", "config", manifest(7, []map[string]any{modelService()}, []map[string]any{route}))
	f.startDaemons(6)
	f.awaitReady()
	var clients sync.WaitGroup
	counts := map[string]int{}
	for i := range 20 * requestsPerSecond / 4 {
		clients.Go(func() {
			id := newID()
			parts := fmt.Sprintf("%08x:60,%s:568", 0x1000+rand.IntN(8), id)
			status, events := streamOf(f.daemons[i%len(f.daemons)].callers, "/lohu930/"+id, id, parts, 628)
			mu.Lock()
			defer mu.Unlock()
			counts[fmt.Sprintf("%d, %d events", status, events)]++
		})
		time.Sleep(4 * time.Second / requestsPerSecond)
	}
	clients.Wait()
	time.Sleep(4 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	overlaps := 0
	for id, list := range spans {
		for i := 1; i < len(list); i++ {
			before, next := list[i-1], list[i]
			if overlap := before.end.Sub(next.start); overlap > overlapAllowed {
				overlaps++
				rec.log("request %s goes on at %s while %s works on it for %v more", id, next.server, before.server, overlap.Round(time.Millisecond))
			}
		}
	}
	rec.log("answers: %v", counts)
	rec.log("%d streams were preempted; %d requests went on at another server while the one before worked on them 400 ms later, none is allowed", preempted, overlaps)
	return overlaps == 0
}

// dropped returns a channel that is closed when a server that drops requests has lost the
// channel of one.
func dropped(ctx context.Context, drops bool) <-chan struct{} {
	if drops {
		return ctx.Done()
	}
	return nil
}
