package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// crashDown is how long a crashed server is away.
const crashDown = 3 * time.Second

// restart crashes the server: its listener and connections end, and a new boot of it, with a
// new id, is back at the address after crashDown.
func (s *server) restart(f *fleet) {
	s.stopOnce.Do(func() {
		close(s.stopped)
		s.http.Close()
		f.rec.log("server %s crashed", s.id)
		go func() {
			time.Sleep(crashDown)
			l, err := net.Listen("tcp", s.address)
			if err != nil {
				f.rec.log("server at %s could not start again: %v", s.address, err)
				return
			}
			serveAt(f, l, s.service, s.zone, s.version, s.slots, s.run)
		}()
		time.AfterFunc(3600*time.Millisecond, func() { f.store.remove("servers", s.id) })
	})
}

// partCrash sends sound streams and, twice a second, one with a part that crashes servers. A
// prompt has sharedParts parts beside its own; the crashing part stands at position, where sound
// prompts have one of eight others. All other shared parts are the same for all. A server crashes
// when it has written events of an answer on the crashing part, at once with the head.
func partCrash(sharedParts, position, events int) func(*record) bool {
	return func(rec *record) bool {
		f := newFleet(rec)
		defer f.stop()
		const poison = "deadbeef"
		var crashes, lateArrivals atomic.Int64
		var fifthAt atomic.Int64
		run := func(s *server, w http.ResponseWriter, r *http.Request) {
			poisoned := strings.Contains(r.Header.Get("X-Prompt-Prefix"), poison)
			if poisoned {
				late := fifthAt.Load() != 0 && time.Now().UnixNano() > fifthAt.Load()+int64(5*time.Second)
				if late {
					lateArrivals.Add(1)
				}
				rec.log("server %s runs a request with the crashing part (late: %v)", s.id, late)
			}
			if !poisoned {
				writeStream(w, streamEvents, eventGap)
				return
			}
			writeStream(w, events, 0)
			time.Sleep(5 * time.Millisecond)
			if n := crashes.Add(1); n == 5 {
				fifthAt.Store(time.Now().UnixNano())
				rec.log("the fifth crash")
			}
			s.restart(f)
		}
		for i := range 9 {
			startServer(f, "huvo11a", zoneNames[i%3], "v1", 13, run)
		}
		f.store.put("op", "config", manifest(7,
			[]map[string]any{modelService()}, []map[string]any{streamRoute()}))
		f.startDaemons(6)
		f.awaitReady()

		ctx, cancel := context.WithCancel(context.Background())
		var clients sync.WaitGroup
		var mu sync.Mutex
		counts := map[string]int{}
		send := func(i int, poisoned bool) {
			clients.Go(func() {
				id := newID()
				var parts []string
				for p := range sharedParts {
					if p == position {
						if poisoned {
							parts = append(parts, poison+":40")
						} else {
							parts = append(parts, fmt.Sprintf("%08x:40", 0x5000+rand.IntN(8)))
						}
						continue
					}
					parts = append(parts, fmt.Sprintf("%08x:40", 0x1000+p))
				}
				parts = append(parts, id+":100")
				status, whole := stream(f.daemons[i%len(f.daemons)].callers, "/lohu930/"+id, id, strings.Join(parts, ","), 40*sharedParts+100)
				mu.Lock()
				defer mu.Unlock()
				kind := "sound"
				if poisoned {
					kind = "crashing"
				}
				counts[fmt.Sprintf("%s %d whole=%v", kind, status, whole)]++
			})
		}
		clients.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				send(i, false)
				if i%100 == 0 && i > 0 {
					mu.Lock()
					rec.log("answers: %v; crashes %d", counts, crashes.Load())
					counts = map[string]int{}
					mu.Unlock()
				}
				time.Sleep(25 * time.Millisecond)
			}
		})
		time.Sleep(4 * time.Second)
		if trouble() {
			rec.log("requests with the crashing part begin, 2 a second")
			for i := range 80 {
				send(i, true)
				time.Sleep(500 * time.Millisecond)
			}
		} else {
			time.Sleep(20 * time.Second)
		}
		cancel()
		clients.Wait()
		rec.log("%d crashes; later than 5 s after the fifth, %d requests with the crashing part reached servers, at most 3 are allowed", crashes.Load(), lateArrivals.Load())
		return lateArrivals.Load() <= 3
	}
}

const (
	// streamEvents is the number of events of a whole stream, and eventGap the time between
	// two of them.
	streamEvents = 12
	eventGap     = 40 * time.Millisecond
)

func modelService() map[string]any {
	return map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 360, "engine": map[string]any{"slots": 13, "kvCapacity": 754877, "stride": 6}}
}

func streamRoute() map[string]any {
	return map[string]any{"name": "r-1", "host": "ficu95.example", "prefix": "/lohu930/", "kind": "streaming", "timeoutMs": 12000, "targetLatencyMs": 300, "priority": 1, "service": "huvo11a", "maxAttempts": 1, "sessionAffinity": true, "gapAimMs": 200}
}

// writeStream writes the first events of a stream, with a gap between two of them.
func writeStream(w http.ResponseWriter, events int, gap time.Duration) {
	w.Header().Set("X-Response-Signature", signature)
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	for i := 1; i <= events; i++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", 40))
		if gap > 0 {
			_ = out.Flush()
			time.Sleep(gap)
		}
	}
	_ = out.Flush()
}

// stream sends a request to a daemon and reads the stream. It returns the status, 0 without an
// answer, and whether the stream was whole.
func stream(daemon, path, id, parts string, tokens int) (status int, whole bool) {
	status, events := streamOf(daemon, path, id, parts, tokens)
	return status, events == streamEvents
}

// streamOf is stream and returns the number of events of a stream that ended as complete, or -1.
func streamOf(daemon, path, id, parts string, tokens int) (status, events int) {
	answer, err := streamClient.Do(streamRequest(daemon, path, id, parts, tokens))
	if err != nil {
		return 0, -1
	}
	defer answer.Body.Close()
	lines := bufio.NewReader(answer.Body)
	for {
		line, err := lines.ReadString('\n')
		if strings.HasPrefix(line, "id: ") {
			events++
		}
		if err == io.EOF {
			return answer.StatusCode, events
		}
		if err != nil {
			return answer.StatusCode, -1
		}
	}
}

// streamRequest returns the request for a stream.
func streamRequest(daemon, path, id, parts string, tokens int) *http.Request {
	r, _ := http.NewRequest(http.MethodPost, "http://"+daemon+path, strings.NewReader("prompt of "+id))
	r.Host = "ficu95.example"
	r.Header.Set("X-Attempt-Id", id)
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Deadline-Ms", "12000")
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Usage", fmt.Sprintf("%d,72", tokens))
	r.Header.Set("X-Prompt-Prefix", parts)
	return r
}

var streamClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}, Timeout: 14 * time.Second}
