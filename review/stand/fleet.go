package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// serverSlots and serverQueue are those of a server of a plain service in a small
	// deployment.
	serverSlots = 6
	serverQueue = 24
	// workTime is the mean time of a run, and maxWorkTime the longest.
	workTime    = 60 * time.Millisecond
	maxWorkTime = workTime * 3 / 2
	// drainTime is drainMs; drainExtra is how much longer a leaving server serves.
	drainTime  = 2500 * time.Millisecond
	drainExtra = 1500 * time.Millisecond
)

// run is one request that a server began to work on.
type run struct {
	attempt, server, service, version string
	at                                time.Time
	bad                               bool
}

// fleet plays the servers and their entries in the store.
type fleet struct {
	b *bench

	mu   sync.Mutex
	runs []run
}

func newFleet(b *bench) *fleet { return &fleet{b: b} }

// entry is the value of a server's row in the store.
type entry struct {
	Service         string `json:"service"`
	Address         string `json:"address"`
	Zone            string `json:"zone"`
	Version         string `json:"version"`
	Slots           int    `json:"slots"`
	State           string `json:"state"`
	ColdRemainingMs int    `json:"coldRemainingMs"`
	Sequence        int    `json:"sequence"`
	Born            int64  `json:"born"`
}

// server is one server of a plain service.
type server struct {
	fleet *fleet
	id    string
	entry entry
	// badShare is the share of the answers that are failures.
	badShare float64
	slots    chan struct{}
	waiting  atomic.Int32
	http     *http.Server
	draining atomic.Bool
}

// start starts a server and registers it.
func (f *fleet) start(id, service, zone, version string, badShare float64) (*server, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &server{fleet: f, id: id, badShare: badShare, slots: make(chan struct{}, serverSlots)}
	s.entry = entry{Service: service, Address: listener.Addr().String(), Zone: zone, Version: version, Slots: serverSlots, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()}
	s.http = &http.Server{Handler: s}
	go func() { _ = s.http.Serve(listener) }()
	f.b.store.put("servers", id, s.entry)
	f.b.rec.line("server %s of %s starts: version %s, share of failures %g", id, service, version, badShare)
	return s, nil
}

// startInZones starts one server in each zone.
func (f *fleet) startInZones(prefix, service, version string, badShare float64) ([]*server, error) {
	var out []*server
	for i, zone := range zoneNames {
		s, err := f.start(fmt.Sprintf("i-%s-%d", prefix, i+1), service, zone, version, badShare)
		if err != nil {
			return nil, err
		}
		out = append(out, s)
	}
	return out, nil
}

// drain takes a server away: it reports draining, serves for drainMs and a little longer, and
// exits.
func (s *server) drain() {
	s.draining.Store(true)
	s.entry.State = "draining"
	s.entry.Sequence++
	s.fleet.b.store.put("servers", s.id, s.entry)
	s.fleet.b.rec.line("server %s reports draining", s.id)
	time.AfterFunc(drainTime+drainExtra, func() {
		s.fleet.b.rec.line("server %s exits", s.id)
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = s.http.Shutdown(ctx)
		s.fleet.b.store.remove("servers", s.id)
	})
}

// stop ends a server at once, as the operator does with old ones after a completed move.
func (s *server) stop() {
	s.fleet.b.rec.line("server %s is stopped", s.id)
	_ = s.http.Close()
	s.fleet.b.store.remove("servers", s.id)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", s.id)
	if s.draining.Load() {
		h.Set("Server-Leaving", "1")
	}
	if r.URL.Path == "/health" {
		if s.draining.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	attempt := r.Header.Get("X-Attempt-Id")
	h.Set("X-Attempt-Id", attempt)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.takeSlot(r.Context()) {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	failed := rand.Float64() < s.badShare
	s.fleet.record(run{attempt: attempt, server: s.id, service: s.entry.Service, version: s.entry.Version, at: time.Now(), bad: failed})
	time.Sleep(time.Duration((0.5 + rand.Float64()) * float64(workTime)))
	h.Set("X-Response-Signature", "sig."+attempt)
	if failed {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "%s %s\n", s.id, attempt)
}

// takeSlot waits for a slot. It returns false if the queue is full or the caller has left.
func (s *server) takeSlot(ctx context.Context) bool {
	if s.waiting.Add(1) > serverQueue {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *fleet) record(r run) {
	f.mu.Lock()
	f.runs = append(f.runs, r)
	f.mu.Unlock()
	f.b.rec.line("run %s on %s (%s), fails=%v", r.attempt, r.server, r.version, r.bad)
}

// runsOf returns the runs of a service so far.
func (f *fleet) runsOf(service string) []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []run
	for _, r := range f.runs {
		if r.service == service {
			out = append(out, r)
		}
	}
	return out
}
