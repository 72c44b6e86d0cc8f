package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const apiKey = "i9n73hh2b9wu3fexd9dn"

func manifest(version int, services []map[string]any, routes []map[string]any) map[string]any {
	return map[string]any{
		"version": version, "services": services, "routes": routes,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1, "unit": "tokens", "plainTokens": 200, "ratePerS": 247583, "burst": 247583}},
	}
}

// load counts the requests of the last second at the servers of one version.
type load struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *load) add() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	l.times = append(l.times, now)
	for len(l.times) > 0 && now.Sub(l.times[0]) > time.Second {
		l.times = l.times[1:]
	}
	return len(l.times)
}

// order is a roll-out that the operator ordered, and what its version got.
type order struct {
	version string
	at      time.Time
	limit   time.Time
	// all and own count the requests that reached the service, and the version, between the
	// order and its time limit.
	all, own int
	// bad counts the bad answers of the version, and fiftieth is the time of the 50th.
	bad      int
	fiftieth time.Time
	// late counts the requests that reached the version later than rollbackMs, and a second
	// for their way, after the 50th bad answer.
	late int
}

// rollouts is a deployment with one service and safe requests to it, in which the operator
// orders roll-outs.
type rollouts struct {
	*fleet
	mu     sync.Mutex
	orders []*order
	status chan string
	// isBad reports whether an answer of a version is bad, given its requests in the last
	// second.
	isBad map[string]func(lastSecond int) bool
	loads map[string]*load
	// streams is set if the service is one of model servers, with streams of half a second.
	streams bool
}

const (
	requestsPerSecond = 100
	orderTime         = 12 * time.Second
	rollbackTime      = 5 * time.Second
	exposeShare       = 0.1
	exposeSlack       = 50
)

func newRollouts(rec *record, streams bool) *rollouts {
	r := &rollouts{fleet: newFleet(rec), streams: streams, status: make(chan string, 100), isBad: make(map[string]func(int) bool), loads: make(map[string]*load)}
	for _, version := range []string{"v1", "v2", "v3"} {
		r.loads[version] = &load{}
		r.isBad[version] = func(int) bool { return false }
	}
	service := map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 360}
	route := map[string]any{"name": "r-1", "host": "ficu95.example", "prefix": "/cufi504/", "kind": "safe", "timeoutMs": 3000, "targetLatencyMs": 300, "priority": 1, "service": "huvo11a", "maxAttempts": 2}
	if streams {
		service, route = modelService(), streamRoute()
	}
	r.store.put("op", "config", manifest(7, []map[string]any{service}, []map[string]any{route}))
	r.store.onPut = func(row wireRow) {
		if row.Table != "status" {
			return
		}
		var status struct{ State, To string }
		_ = json.Unmarshal(row.Value, &status)
		rec.log("status of the roll-out: %s %s", status.To, status.State)
		r.status <- status.To + " " + status.State
	}
	return r
}

// startServers starts the nine servers of a version.
func (r *rollouts) startServers(version string) []*server {
	var servers []*server
	for i := range 9 {
		servers = append(servers, startServer(r.fleet, "huvo11a", zoneNames[i%3], version, 13, r.answer))
	}
	return servers
}

// answer runs a request.
func (r *rollouts) answer(s *server, w http.ResponseWriter, request *http.Request) {
	lastSecond := r.loads[s.version].add()
	r.mu.Lock()
	now := time.Now()
	for _, o := range r.orders {
		own := o.version == s.version
		if now.Before(o.limit) {
			o.all++
			if own {
				o.own++
			}
		}
		if own && !o.fiftieth.IsZero() && now.Sub(o.fiftieth) > rollbackTime+time.Second {
			o.late++
		}
	}
	r.mu.Unlock()
	bad := r.isBad[s.version](lastSecond)
	if !bad && r.streams {
		writeStream(w, streamEvents, eventGap)
		return
	}
	time.Sleep(time.Duration(40+rand.IntN(40)) * time.Millisecond)
	if !bad {
		succeed(w, s.version+" "+request.Header.Get("X-Attempt-Id"))
		return
	}
	r.mu.Lock()
	for _, o := range r.orders {
		if o.version != s.version {
			continue
		}
		if o.bad++; o.bad == 50 {
			o.fiftieth = time.Now()
			r.rec.log("the 50th bad answer of %s", s.version)
		}
	}
	r.mu.Unlock()
	w.WriteHeader(http.StatusInternalServerError)
}

// order orders a roll-out.
func (r *rollouts) order(version string) {
	now := time.Now()
	r.mu.Lock()
	r.orders = append(r.orders, &order{version: version, at: now, limit: now.Add(orderTime)})
	r.mu.Unlock()
	r.store.put("op", "rollout/huvo11a", map[string]any{"service": "huvo11a", "to": version, "durationS": orderTime.Seconds()})
	r.rec.log("roll-out to %s ordered, %v", version, orderTime)
}

// awaitStatus waits for a status and reports whether it was written in time.
func (r *rollouts) awaitStatus(want string, timeout time.Duration) bool {
	after := time.After(timeout)
	for {
		select {
		case status := <-r.status:
			if status == want {
				return true
			}
		case <-after:
			return false
		}
	}
}

// startClients sends requests until the returned function is called.
func (r *rollouts) startClients() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var clients sync.WaitGroup
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 50}, Timeout: 4 * time.Second}
	var mu sync.Mutex
	counts := map[string]int{}
	count := func(outcome string) {
		mu.Lock()
		defer mu.Unlock()
		counts[outcome]++
	}
	send := func(i int) {
		id := newID()
		if r.streams {
			parts := fmt.Sprintf("%08x:60,%s:568", 0x1000+rand.IntN(8), id)
			status, whole := stream(r.daemons[i%len(r.daemons)].callers, "/lohu930/"+id, id, parts, 628)
			count(fmt.Sprintf("%d whole=%v", status, whole))
			return
		}
		request, _ := http.NewRequest(http.MethodGet, "http://"+r.daemons[i%len(r.daemons)].callers+"/cufi504/"+id+"/", nil)
		request.Host = "ficu95.example"
		request.Header.Set("X-Attempt-Id", id)
		request.Header.Set("X-Api-Key", apiKey)
		request.Header.Set("X-Deadline-Ms", "3000")
		outcome := "no answer"
		if answer, err := client.Do(request); err == nil {
			body, _ := io.ReadAll(answer.Body)
			answer.Body.Close()
			outcome = strconv.Itoa(answer.StatusCode)
			if answer.StatusCode == http.StatusOK {
				outcome += " of " + string(body[:2])
			}
		}
		count(outcome)
	}
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
				r.rec.log("answers in the last second: %v", counts)
				counts = map[string]int{}
				mu.Unlock()
			}
		}
	})
	return func() {
		cancel()
		clients.Wait()
	}
}

// judge reports whether the rule EXPOSURE held for the order of a version.
func (r *rollouts) judge(version string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	held := true
	for _, o := range r.orders {
		if o.version != version {
			continue
		}
		allowed := exposeShare*float64(o.all) + exposeSlack
		r.rec.log("%s: %d of %d requests reached it between its order and its time limit, %.0f are allowed if it is bad; %d bad answers; %d requests reached it later than 6 s after the 50th",
			version, o.own, o.all, allowed, o.bad, o.late)
		held = held && (o.bad == 0 || float64(o.own) <= allowed) && o.late == 0
	}
	return held
}

// rolloutUnderLoad orders a version that fails 4 of 10 requests while its servers get more
// than 40 requests a second together.
func rolloutUnderLoad(rec *record) bool {
	r := newRollouts(rec, false)
	defer r.stop()
	if trouble() {
		r.isBad["v2"] = func(lastSecond int) bool { return lastSecond > 40 && rand.Float64() < 0.4 }
	}
	old := r.startServers("v1")
	r.startDaemons(6)
	r.awaitReady()
	stopClients := r.startClients()
	time.Sleep(6 * time.Second)
	r.startServers("v2")
	time.Sleep(time.Second)
	r.order("v2")
	completed := r.awaitStatus("v2 completed", 14*time.Second)
	if completed {
		for _, s := range old {
			s.stop()
		}
	}
	time.Sleep(12 * time.Second)
	stopClients()
	if !trouble() && !completed {
		rec.log("a good version was not completed")
		return false
	}
	return r.judge("v2")
}

// rolloutAgain orders a version that fails 8 of 10 requests and, one second after it was rolled
// back, the next one, which is good. The servers of the first drain 6 s after it was rolled back.
func rolloutAgain(rec *record) bool {
	r := newRollouts(rec, true)
	defer r.stop()
	r.isBad["v2"] = func(int) bool { return rand.Float64() < 0.8 }
	old := r.startServers("v1")
	r.startDaemons(6)
	r.awaitReady()
	stopClients := r.startClients()
	time.Sleep(6 * time.Second)
	bad := r.startServers("v2")
	time.Sleep(time.Second)
	r.order("v2")
	if !r.awaitStatus("v2 rolled_back", 14*time.Second) {
		rec.log("the bad version was not rolled back")
		stopClients()
		return r.judge("v2")
	}
	time.AfterFunc(6*time.Second, func() {
		for _, s := range bad {
			s.drain()
		}
	})
	time.Sleep(time.Second)
	if trouble() {
		r.startServers("v3")
		r.order("v3")
		if r.awaitStatus("v3 completed", 14*time.Second) {
			for _, s := range old {
				s.stop()
			}
		}
	} else {
		time.Sleep(12 * time.Second)
	}
	time.Sleep(4 * time.Second)
	stopClients()
	return r.judge("v2")
}

// orderBack orders a version that fails 3 of 10 requests and, three seconds later, the version
// that serves, as an operator does who wants the first order undone.
func orderBack(rec *record) bool {
	r := newRollouts(rec, true)
	defer r.stop()
	r.isBad["v2"] = func(int) bool { return rand.Float64() < 0.3 }
	r.startServers("v1")
	r.startDaemons(6)
	r.awaitReady()
	stopClients := r.startClients()
	time.Sleep(6 * time.Second)
	r.startServers("v2")
	time.Sleep(time.Second)
	r.order("v2")
	time.Sleep(3 * time.Second)
	if trouble() {
		r.order("v1")
	}
	time.Sleep(14 * time.Second)
	stopClients()
	return r.judge("v2")
}
