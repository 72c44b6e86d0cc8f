package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// spoiltShare is the share of their answers that garbleServers servers spoil.
const spoiltShare = 0.05

// garbledID sends streams that may not be resumed. Some servers spoil answers: the id of the
// last event has lost its first digit.
func garbledID(rec *record) bool {
	f := newFleet(rec)
	defer f.stop()
	var garbling atomic.Bool
	var mu sync.Mutex
	written := map[string]string{} // what the server wrote, by the id of the request
	spoilt := map[string]bool{}
	run := func(spoils bool) func(*server, http.ResponseWriter, *http.Request) {
		return func(s *server, w http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("X-Attempt-Id")
			spoil := spoils && garbling.Load() && rand.Float64() < spoiltShare
			w.Header().Set("X-Response-Signature", signature)
			w.Header().Set("Content-Type", "text/event-stream")
			out := http.NewResponseController(w)
			var body strings.Builder
			for i := 1; i <= streamEvents; i++ {
				number := strconv.Itoa(i)
				if spoil && i == streamEvents {
					number = number[1:]
				}
				event := fmt.Sprintf("id: %s\ndata: piece %d of %s\n\n", number, i, id)
				body.WriteString(event)
				_, _ = io.WriteString(w, event)
				_ = out.Flush()
				time.Sleep(eventGap)
			}
			mu.Lock()
			defer mu.Unlock()
			written[id] = body.String()
			spoilt[id] = spoil
		}
	}
	for i := range 9 {
		startServer(f, "huvo11a", zoneNames[i%3], "v1", 13, run(i < garbleServers))
	}
	f.store.put("op", "config", manifest(7, []map[string]any{modelService()}, []map[string]any{streamRoute()}))
	f.startDaemons(6)
	f.awaitReady()

	bodies := map[string]string{} // what the client got as a complete success
	broken := 0
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	clients.Go(func() {
		for i := 0; ctx.Err() == nil; i++ {
			clients.Go(func() {
				id := newID()
				r := streamRequest(f.daemons[i%len(f.daemons)].callers, "/lohu930/"+id, id, fmt.Sprintf("%08x:60,%s:568", 0x1000+rand.IntN(8), id), 628)
				answer, err := streamClient.Do(r)
				if err != nil {
					return
				}
				defer answer.Body.Close()
				body, err := io.ReadAll(answer.Body)
				mu.Lock()
				defer mu.Unlock()
				if err != nil || answer.StatusCode != http.StatusOK {
					broken++
					return
				}
				bodies[id] = string(body)
			})
			time.Sleep(time.Second / requestsPerSecond)
		}
	})
	time.Sleep(5 * time.Second)
	if trouble() {
		rec.log("%d of 9 servers spoil %g of their answers for %v", garbleServers, spoiltShare, garbleTime)
		garbling.Store(true)
	}
	time.Sleep(garbleTime)
	garbling.Store(false)
	rec.log("no answer is spoilt any more")
	time.Sleep(3 * time.Second)
	cancel()
	clients.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	spoiltCount, mixed := 0, 0
	for id, is := range spoilt {
		if is {
			spoiltCount++
		}
		if got, complete := bodies[id]; complete && got != written[id] {
			mixed++
			rec.log("request %s: the server wrote %d bytes, the last event %q; the client got 200 and %d bytes as a complete body", id, len(written[id]), lastEvent(written[id]), len(got))
		}
	}
	rec.log("%d answers, %d of them spoilt; %d clients got no complete success; %d got a success that is not the server's whole body, none is allowed", len(written), spoiltCount, broken, mixed)
	return mixed == 0
}

func lastEvent(body string) string {
	return body[strings.LastIndex(strings.TrimSuffix(body, "\n\n"), "\n\n")+2:]
}
