package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// garbleServers of the nine servers spoil answers for garbleTime: together one to each
	// daemon, which is about one of fifty of their answers.
	garbleServers = 5
	garbleTime    = 5500 * time.Millisecond
	// killedFor is how long the daemons are away after the final fault.
	killedFor    = 700 * time.Millisecond
	recoveryTime = 12 * time.Second
)

// garbledLength sends unsafe requests, kills all daemons at once and, after they are back, has
// some servers send answers with a wrong length and bytes without end.
func garbledLength(rec *record) bool {
	f := newFleet(rec)
	defer f.stop()
	var garbling atomic.Bool
	var ran, answered, spoilt atomic.Int64
	var spoiltTo sync.Map // by the number of the daemon that sent the request
	run := func(spoils bool) func(*server, http.ResponseWriter, *http.Request) {
		return func(s *server, w http.ResponseWriter, r *http.Request) {
			ran.Add(1)
			time.Sleep(time.Duration(350+rand.IntN(100)) * time.Millisecond)
			id := r.Header.Get("X-Attempt-Id")
			if !spoils || !garbling.Load() {
				succeed(w, "done "+id)
				return
			}
			answered.Add(1)
			if _, done := spoiltTo.LoadOrStore(id[len(id)-1:], true); done {
				succeed(w, "done "+id)
				return
			}
			spoilt.Add(1)
			rec.log("server %s spoils its answer to %s", s.id, id)
			writeEndless(w, id)
		}
	}
	for i := range 9 {
		startServer(f, "huvo11a", zoneNames[i%3], "v1", 6, run(i < garbleServers))
	}
	f.store.put("op", "config", manifest(7,
		[]map[string]any{{"name": "huvo11a", "healthPath": "/health", "maxConnections": 360}},
		[]map[string]any{{"name": "r-1", "host": "ficu95.example", "prefix": "/puxa403/", "kind": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 300, "priority": 1, "service": "huvo11a", "maxAttempts": 1}}))
	f.startDaemons(6)
	f.awaitReady()

	var mu sync.Mutex
	var killed, back time.Time
	var sentBefore, servedBefore, sentAfter, servedAfter int
	counts := map[string]int{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}, Timeout: 4 * time.Second}
	send := func(i int) {
		// The last digit of an id is the number of the daemon that the client sends it to.
		id := newID()[:15] + strconv.Itoa(i%len(f.daemons))
		sent := time.Now()
		request, _ := http.NewRequest(http.MethodPost, "http://"+f.daemons[i%len(f.daemons)].callers+"/puxa403/"+id, nil)
		request.Host = "ficu95.example"
		request.Header.Set("X-Attempt-Id", id)
		request.Header.Set("X-Api-Key", apiKey)
		request.Header.Set("X-Deadline-Ms", "3000")
		outcome := "no answer"
		if answer, err := client.Do(request); err == nil {
			body, err := io.ReadAll(answer.Body)
			answer.Body.Close()
			outcome = strconv.Itoa(answer.StatusCode)
			if err != nil || answer.StatusCode == http.StatusOK && string(body) != "done "+id {
				outcome += " not whole"
			}
		}
		mu.Lock()
		defer mu.Unlock()
		counts[outcome]++
		served := outcome == "200"
		switch {
		case killed.IsZero():
			sentBefore++
			if served {
				servedBefore++
			}
		case !back.IsZero() && sent.Sub(back) > recoveryTime:
			sentAfter++
			if served {
				servedAfter++
			}
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() {
		ticker := time.NewTicker(time.Second / requestsPerSecond)
		defer ticker.Stop()
		for i := 1; ; i++ {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
			clients.Go(func() { send(i) })
			if i%requestsPerSecond == 0 {
				mu.Lock()
				rec.log("answers in the last second: %v; %d requests ran so far, %d answers were spoilt", counts, ran.Load(), spoilt.Load())
				counts = map[string]int{}
				mu.Unlock()
			}
		}
	})
	time.Sleep(6 * time.Second)
	mu.Lock()
	killed = time.Now()
	mu.Unlock()
	rec.log("all daemons are killed")
	for _, d := range f.daemons {
		_ = d.process.Process.Kill()
	}
	time.Sleep(killedFor)
	for _, d := range f.daemons {
		<-d.ended
		f.start(d)
	}
	mu.Lock()
	back = time.Now()
	mu.Unlock()
	time.Sleep(2 * time.Second)
	if trouble() {
		rec.log("%d of 9 servers spoil answers for %v", garbleServers, garbleTime)
		garbling.Store(true)
		time.Sleep(garbleTime)
		garbling.Store(false)
		rec.log("no answer is spoilt any more; %d of %d answers of these servers were", spoilt.Load(), answered.Load())
	}
	time.Sleep(time.Until(back.Add(recoveryTime + 8*time.Second)))
	cancel()
	clients.Wait()
	mu.Lock()
	defer mu.Unlock()
	rec.log("before the final fault, %d of %d requests were served; of those sent later than %v after the daemons were back, %d of %d; a quarter is the least",
		servedBefore, sentBefore, recoveryTime, servedAfter, sentAfter)
	return 4*servedAfter >= sentAfter || 4*servedBefore < sentBefore
}

// writeEndless writes an answer whose stated length is the largest that fits, and bytes until the
// caller closes the channel, for at most two seconds.
func writeEndless(w http.ResponseWriter, id string) {
	conn, out, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	fmt.Fprintf(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: %s\r\nContent-Length: 9223372036854775807\r\n\r\n", id, signature)
	_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
	for {
		if _, err := out.WriteString("wrong bytes "); err != nil {
			return
		}
		if err := out.Flush(); err != nil {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
}
