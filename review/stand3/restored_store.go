package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// changeBefore is the time from a change of the manifest to the drill.
	changeBefore = 2 * time.Second
	// manifestAfter is the time from the return of the store to the change of the manifest.
	manifestAfter = 1500 * time.Millisecond
	// The bounds of the deployment, in the words of its page.
	contact     = 4 * time.Second
	configApply = 2500 * time.Millisecond
	outer       = 6 * time.Second
	// watchTime is how long requests are judged.
	watchTime = 15 * time.Second
)

// newManifest returns a manifest with a route "moved" to the given service, and other routes.
func newManifest(version int, movedTo string, more ...string) map[string]any {
	route := func(name, service string) map[string]any {
		return map[string]any{
			"name": name, "host": host, "prefix": "/" + name + "/", "kind": "safe", "timeoutMs": 2000, "targetLatencyMs": 300,
			"priority": 0, "service": service, "maxAttempts": 2, "public": false, "streamResume": false,
		}
	}
	routes := []any{route("moved", movedTo), route("kept", "ledger")}
	for _, name := range more {
		routes = append(routes, route(name, "depot"))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "ledger", "healthPath": "/health", "maxConnections": 300},
			map[string]any{"name": "depot", "healthPath": "/health", "maxConnections": 300},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 0, "ratePerS": 0, "burst": 0}},
	}
}

// restoredStore plays a drill of the store: it is away for a moment and comes back from a copy
// that is some seconds old. The operator has added a route just before, and writes that again. Then
// it moves one route to another service and adds a further one. All daemons have to follow.
func restoredStore(r *run) (bool, error) {
	var e executions
	s := newStore(r)
	putManifest(s, newManifest(10, "ledger"))
	if err := startServers(s, &e, "ledger", "v1", 18); err != nil {
		return false, err
	}
	if err := startServers(s, &e, "depot", "v1", 3); err != nil {
		return false, err
	}
	if err := startDaemons(r, s); err != nil {
		return false, err
	}
	r.say("%d daemons are ready", len(r.daemons))
	time.Sleep(6 * time.Second)
	changed := newManifest(12, "ledger", "early")
	if !putManifest(s, changed) {
		return false, fmt.Errorf("the store did not take the manifest")
	}
	r.say("the store acknowledged manifest 12 at its version %d", s.version())
	time.Sleep(changeBefore)
	if r.trouble {
		drill(r, s)
		// The operator writes again what the copy lacks; the servers do so with their heartbeats.
		putManifest(s, changed)
		r.say("the operator wrote manifest 12 again, at version %d", s.version())
	}
	time.Sleep(manifestAfter)
	if !putManifest(s, newManifest(13, "depot", "early", "added")) {
		return false, fmt.Errorf("the store did not take the manifest")
	}
	r.say("the store acknowledged manifest 13 at its version %d", s.version())
	time.Sleep(configApply + outer + contact)
	broken := r.judgeManifest(&e)
	r.say("store: %s", s.stats())
	return broken, nil
}

// judgeManifest sends requests to every daemon and reports whether one of them was handled as
// only the older manifest allows.
func (r *run) judgeManifest(e *executions) bool {
	var mu sync.Mutex
	wrong := map[string]int{}
	var group sync.WaitGroup
	for _, d := range r.daemons {
		group.Go(func() {
			for until := time.Now().Add(watchTime); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
				for _, path := range []string{"/moved/1", "/added/1", "/kept/1"} {
					a := ask(d, "GET", host, path)
					runs := e.of(a.id)
					r.note("%s %s sent to %s: status %d, error %v, runs %v", a.id, path, d.name, a.status, a.err, describeRuns(runs))
					old := path == "/added/1" && a.status == 404
					for _, x := range runs {
						old = old || path == "/moved/1" && x.service == "ledger"
					}
					if old {
						mu.Lock()
						wrong[d.name]++
						mu.Unlock()
					}
				}
			}
		})
	}
	group.Wait()
	for _, d := range r.daemons {
		if d.hasEnded() {
			r.say("the process of %s has ended", d.name)
		}
		r.say("%s: %d requests were handled as only the older manifest allows", d.name, wrong[d.name])
	}
	return len(wrong) > 0
}

func describeRuns(runs []execution) []string {
	var out []string
	for _, x := range runs {
		out = append(out, x.service+"/"+x.server)
	}
	return out
}
