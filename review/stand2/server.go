package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// server is a stand-in for a server of the platform.
type server struct {
	id, service, zone, version string
	address                    string
	slots                      int
	born                       int64
	rec                        *record
	store                      *store
	// run handles a request that got a slot, and writes the answer.
	run func(s *server, w http.ResponseWriter, r *http.Request)

	sem      chan struct{}
	draining atomic.Bool
	sequence atomic.Int64
	stopOnce sync.Once
	stopped  chan struct{}
	http     *http.Server
}

var serverCount atomic.Int64

// startServer starts a server at a free port and registers it.
func startServer(f *fleet, service, zone, version string, slots int, run func(*server, http.ResponseWriter, *http.Request)) *server {
	l, err := net.Listen("tcp", freeAddress())
	if err != nil {
		cannotRun("%v", err)
	}
	return serveAt(f, l, service, zone, version, slots, run)
}

// serveAt starts a server with a new id on a listener and registers it.
func serveAt(f *fleet, l net.Listener, service, zone, version string, slots int, run func(*server, http.ResponseWriter, *http.Request)) *server {
	s := &server{
		id: fmt.Sprintf("i-%010x", 0x7f3a910000+serverCount.Add(1)*7919), service: service, zone: zone, version: version, slots: slots,
		born: time.Now().UnixMilli(), rec: f.rec, store: f.store, run: run, sem: make(chan struct{}, slots), stopped: make(chan struct{}),
	}
	s.address = l.Addr().String()
	s.http = &http.Server{Handler: s}
	go s.http.Serve(l)
	s.beat()
	go func() {
		for {
			select {
			case <-time.After(1200 * time.Millisecond):
				s.beat()
			case <-s.stopped:
				return
			}
		}
	}()
	f.rec.log("server %s of %s %s at %s", s.id, service, version, s.address)
	return s
}

// beat writes the server's entry.
func (s *server) beat() {
	select {
	case <-s.stopped:
		return
	default:
	}
	s.store.put("servers", s.id, map[string]any{
		"service": s.service, "address": s.address, "zone": s.zone, "version": s.version, "slots": s.slots,
		"state": s.state(), "coldRemainingMs": 0, "sequence": s.sequence.Add(1), "born": s.born,
	})
}

func (s *server) state() string {
	if s.draining.Load() {
		return "draining"
	}
	return "ready"
}

// drain reports that the server leaves. It serves for drainMs and a second more, and ends.
func (s *server) drain() {
	s.draining.Store(true)
	s.beat()
	s.rec.log("server %s drains", s.id)
	time.AfterFunc(3500*time.Millisecond, s.stop)
}

// stop ends the server at once and removes its entry.
func (s *server) stop() {
	s.stopOnce.Do(func() {
		close(s.stopped)
		s.http.Close()
		s.store.remove("servers", s.id)
		s.rec.log("server %s stopped", s.id)
	})
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Keep-Alive", "timeout=10")
	if r.URL.Path == "/health" {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusOK)
		return
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != s.id {
		w.Header().Set("X-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", r.Header.Get("X-Attempt-Id"))
	select {
	case s.sem <- struct{}{}:
	case <-time.After(500 * time.Millisecond):
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		return
	}
	defer func() { <-s.sem }()
	s.run(s, w, r)
}

// signature is the MAC of every answer; nothing here checks it.
const signature = "3e1b.07.5a2.600.0.c9f2a4d1"

// newID returns an id for one attempt of a client.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// succeed writes a complete signed answer.
func succeed(w http.ResponseWriter, body string) {
	w.Header().Set("X-Response-Signature", signature)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", fmt.Sprint(len(body)))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(body))
}
