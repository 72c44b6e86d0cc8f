package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the time between two writes of a server to the store.
const heartbeat = 1200 * time.Millisecond

// execution is one run of a request at a server.
type execution struct {
	id, server, service, version string
	at                           time.Time
}

// executions collects the runs at all servers of a case.
type executions struct {
	mu   sync.Mutex
	list []execution
}

func (e *executions) add(x execution) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.list = append(e.list, x)
}

// of returns the runs of a request.
func (e *executions) of(id string) []execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []execution
	for _, x := range e.list {
		if x.id == id {
			out = append(out, x)
		}
	}
	return out
}

// serverConfig describes a server to start.
type serverConfig struct {
	id, service, version, zone string
	work                       time.Duration
}

// server stands in for a server of a plain service.
type server struct {
	serverConfig
	store      *store
	executions *executions
	http       *http.Server
	address    string
	born       int64
	sequence   int
	// stopped is closed when the server has left.
	stopped chan struct{}
}

// startServer opens a server and registers it in the store with a heartbeat.
func startServer(s *store, e *executions, config serverConfig) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &server{serverConfig: config, store: s, executions: e, address: listener.Addr().String(), born: time.Now().UnixMilli(), stopped: make(chan struct{})}
	v.http = &http.Server{Handler: v}
	go func() { _ = v.http.Serve(listener) }()
	v.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ticker.C:
				v.register()
			case <-v.stopped:
				return
			}
		}
	}()
	return v, nil
}

// register writes the server's entry. A write that the store does not take is not repeated
// before the next heartbeat.
func (v *server) register() {
	v.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": v.service, "address": v.address, "zone": v.zone, "version": v.version, "slots": 6,
		"state": "ready", "coldRemainingMs": 0, "sequence": v.sequence, "born": v.born,
	})
	v.store.put(row{Table: "servers", Key: v.id, Value: value})
}

// stop ends the server at once, without draining, and removes its entry.
func (v *server) stop() {
	close(v.stopped)
	v.http.Close()
	v.store.remove(row{Table: "servers", Key: v.id})
}

func (v *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", v.id)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != v.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	v.executions.add(execution{id, v.id, v.service, v.version, time.Now()})
	time.Sleep(v.work)
	w.Header().Set("X-Response-Signature", "signed."+id)
	fmt.Fprintf(w, "%-800s", "answer of "+v.id+" to "+id)
}
