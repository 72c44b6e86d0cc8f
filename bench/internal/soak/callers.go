package soak

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	// callPause is the mean time between two requests of a caller.
	callPause = 15 * time.Millisecond
	// timeLimit is the time that callers wait.
	timeLimit = 8 * time.Second
)

// caller sends requests to random daemons over kept connections.
type caller struct {
	world  *world
	number int
	random *rand.Rand
	client *http.Client
	next   int
}

func newCaller(w *world, number int, seed uint64) *caller {
	return &caller{
		world: w, number: number, random: rand.New(rand.NewPCG(seed, uint64(number)+100)),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 12 * time.Second}},
	}
}

// run calls until the context ends.
func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		d := c.world.daemons[c.random.IntN(len(c.world.daemons))]
		kind := []string{kindSafe, kindOnce, kindOnce, kindStream}[c.random.IntN(4)]
		c.call(d, kind, "/"+kind+"/x")
		if c.random.IntN(8) == 0 {
			c.probe(d)
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * callPause))))
	}
	c.client.CloseIdleConnections()
}

// call sends one request and checks its answer. It returns the status, 0 for none.
func (c *caller) call(d *daemon, kind, path string) int {
	c.next++
	q := &request{
		id: fmt.Sprintf("c%d-%d", c.number, c.next), kind: kind, path: path, daemon: d.Name,
		body: strings.Repeat("b", c.random.IntN(300)), sent: time.Now(),
	}
	c.world.records.sent(q)
	ctx, cancel := context.WithTimeout(context.Background(), timeLimit)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.callers+path, strings.NewReader(q.body))
	if err != nil {
		c.world.records.breaks("request %s cannot be made: %v", q.id, err)
		return 0
	}
	r.Host = host
	r.Header.Set("X-Attempt-Id", q.id)
	r.Header.Set("X-Api-Key", apiKey)
	r.Header.Set("X-Tenant", "somebody-else")
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(timeLimit.Milliseconds(), 10))
	if kind == kindStream {
		r.Header.Set("X-Token-Usage", "500,60")
	}
	answer, err := c.client.Do(r)
	if err != nil {
		c.lost(d, q, err)
		return 0
	}
	defer answer.Body.Close()
	c.check(d, q, answer)
	return answer.StatusCode
}

// check compares an answer with the promises.
func (c *caller) check(d *daemon, q *request, answer *http.Response) {
	records := c.world.records
	records.count(fmt.Sprintf("%s %d", q.kind, answer.StatusCode))
	switch {
	case answer.StatusCode == http.StatusOK && answer.Header.Get("X-Response-Signature") != signature(q.id):
		records.breaks("request %s got an answer with signature %q", q.id, answer.Header.Get("X-Response-Signature"))
	case answer.StatusCode == http.StatusOK && q.kind == kindStream:
		c.checkStream(d, q, answer.Body)
	case answer.StatusCode == http.StatusOK:
		body, err := io.ReadAll(answer.Body)
		if err != nil {
			c.lost(d, q, err)
		} else if string(body) != wholeBody(q.id) {
			records.breaks("request %s got %d bytes that are not its answer", q.id, len(body))
		}
	case notRun(answer.StatusCode):
		records.refusedNotRun(q)
	case answer.StatusCode == http.StatusUnauthorized, answer.StatusCode == http.StatusForbidden:
		records.breaks("request %s of a known caller got %d", q.id, answer.StatusCode)
	}
	_, _ = io.Copy(io.Discard, answer.Body)
}

// notRun reports whether a status says that the request has not run.
func notRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// checkStream reads a stream: each event once and in order, and all of them when it ends
// without an error.
func (c *caller) checkStream(d *daemon, q *request, body io.Reader) {
	reader := bufio.NewReader(body)
	for number := 0; ; number++ {
		var got strings.Builder
		for !strings.HasSuffix(got.String(), "\n\n") {
			line, err := reader.ReadString('\n')
			got.WriteString(line)
			if err == io.EOF && got.Len() == 0 {
				if number != eventCount(q.id) {
					c.world.records.breaks("stream %s ended after %d of %d events as if complete", q.id, number, eventCount(q.id))
				}
				return
			}
			if err != nil {
				c.lost(d, q, err)
				return
			}
		}
		if got.String() != event(q.id, number) {
			c.world.records.breaks("stream %s: event %d is %q", q.id, number, got.String())
			return
		}
	}
}

// lost judges a request without a whole answer. A planned stop may not cut one that a
// sound target runs; whatever else happened meanwhile excuses it.
func (c *caller) lost(d *daemon, q *request, err error) {
	c.world.records.count(q.kind + " lost")
	d.mu.Lock()
	stopped := d.stoppedAt
	d.mu.Unlock()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if stopped.IsZero() || refused || errors.Is(err, context.DeadlineExceeded) || q.sent.Before(stopped.Add(-grace)) {
		return
	}
	if c.world.records.soundRun(q) {
		c.world.records.suspectCut(q, time.Now(), err)
	}
}

// probe asks a daemon for the route of the newest manifest. A daemon that has served it
// must go on doing so in the same boot.
func (c *caller) probe(d *daemon) {
	version := c.world.newestManifest()
	d.mu.Lock()
	boot, newest := d.boot, d.newest
	d.mu.Unlock()
	status := c.call(d, kindSafe, markPath(version)+"x")
	d.mu.Lock()
	defer d.mu.Unlock()
	switch {
	case d.boot != boot || status == 0:
	case status == http.StatusNotFound && newest >= version:
		c.world.records.breaks("%s has served manifest %d and answers 404 for its route", d.Name, version)
	case status == http.StatusOK:
		d.newest = max(d.newest, version)
	}
}
