package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// clientTimeLimit is the time limit of a request of a plain service.
const clientTimeLimit = 3 * time.Second

// sentRequest is one client attempt.
type sentRequest struct {
	at     time.Time
	key    string
	daemon string
	// status is 0 while there is no answer, and -1 when the channel ended without one.
	status int
}

// clients plays the clients. Each holds a channel open to a daemon of its zone.
type clients struct {
	b *bench

	mu   sync.Mutex
	sent map[string]*sentRequest
}

func newClients(b *bench) *clients { return &clients{b: b, sent: make(map[string]*sentRequest)} }

// traffic describes the requests of one kind.
type traffic struct {
	method, host, path string
	key                string
	perSecond          float64
}

// start sends requests until the returned function is called, which waits for the answers.
func (c *clients) start(kinds ...traffic) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	for _, kind := range kinds {
		for _, d := range c.b.daemons {
			group.Go(func() { c.send(kind, d, kind.perSecond/float64(len(c.b.daemons)), done) })
		}
	}
	return func() {
		close(done)
		group.Wait()
	}
}

// send sends requests of one kind to one daemon at a rate, with up to a few at once.
func (c *clients) send(kind traffic, d *daemon, perSecond float64, done <-chan struct{}) {
	transport := &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 10 * time.Second, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client := &http.Client{Transport: transport}
	var group sync.WaitGroup
	defer group.Wait()
	for {
		pause := time.Duration((0.5 + rand.Float64()) / perSecond * float64(time.Second))
		select {
		case <-done:
			return
		case <-time.After(pause):
		}
		group.Go(func() { c.request(client, kind, d) })
	}
}

// request sends one request, and once more to another daemon of the zone if the answer
// promises that it has not run.
func (c *clients) request(client *http.Client, kind traffic, d *daemon) {
	deadline := time.Now().Add(clientTimeLimit)
	status, retryAfter := c.attempt(client, kind, d, deadline)
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return
	}
	left := time.Until(deadline)
	time.Sleep(min(retryAfter, left/3))
	zone := c.b.inZone(d.zone)
	other := zone[rand.IntN(len(zone))]
	fresh := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	c.attempt(fresh, kind, other, deadline)
}

// attempt sends one client attempt and returns the status of its answer, or -1 without one.
func (c *clients) attempt(client *http.Client, kind traffic, d *daemon, deadline time.Time) (status int, retryAfter time.Duration) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	left := time.Until(deadline)
	request, err := http.NewRequest(kind.method, "http://"+d.callers+kind.path, strings.NewReader(""))
	if err != nil {
		return -1, 0
	}
	request.Host = kind.host
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(left.Milliseconds(), 10))
	if kind.key != "" {
		request.Header.Set("X-Api-Key", kind.key)
	}
	s := &sentRequest{at: time.Now(), key: kind.key, daemon: d.name}
	c.mu.Lock()
	c.sent[id] = s
	c.mu.Unlock()
	c.b.rec.line("sent %s %s%s key=%s to %s", id, kind.method, kind.path, kind.key, d.name)
	timed := *client
	timed.Timeout = left
	response, err := timed.Do(request)
	status = -1
	if err == nil {
		if _, err = io.Copy(io.Discard, response.Body); err == nil {
			status = response.StatusCode
		}
		response.Body.Close()
		if seconds, parseErr := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); parseErr == nil {
			retryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	c.mu.Lock()
	s.status = status
	c.mu.Unlock()
	c.b.rec.line("answered %s %d (%v)", id, status, err)
	return status, retryAfter
}

// get returns a client attempt by its id, and false for an id that no client sent.
func (c *clients) get(id string) (sentRequest, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s, found := c.sent[id]
	if !found {
		return sentRequest{}, false
	}
	return *s, true
}

// answers counts the client attempts that were sent in a time by their status.
func (c *clients) answers(from, to time.Time) map[int]int {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := make(map[int]int)
	for _, s := range c.sent {
		if !s.at.Before(from) && s.at.Before(to) {
			out[s.status]++
		}
	}
	return out
}

// count returns the number of client attempts with a key that were sent after a time and
// ended with a status.
func (c *clients) count(key string, status int, after time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, s := range c.sent {
		if s.key == key && s.status == status && s.at.After(after) {
			n++
		}
	}
	return n
}
