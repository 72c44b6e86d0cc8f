package losses

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"time"
)

// Events of the daemons' log that are read, see docs/events.md.
const (
	eventStarted = "MF1001"
	eventMember  = "MF1203"
	eventSilent  = "MF1204"
	eventEnded   = "MF1303"
)

// maxLineBytes bounds one line of a log.
const maxLineBytes = 1 << 20

// Request is one request that a daemon ended. Times count from the start of the log's clock.
type Request struct {
	Daemon, Service, Tier, Outcome string
	// Arrived and Ended are its times at the daemon, First the time of its first byte of
	// answer, 0 without one. Granted is the time at which it got a target, 0 without one.
	Arrived, Granted, First, Ended time.Duration
	// Target is the last target that ran it, "" without one.
	Target      string
	Objective   time.Duration
	CallerRetry bool
	Failures    int
}

// inTime reports whether the request was answered completely and within its objective. A
// caller retry and a request without an objective count by their answer.
func (r *Request) inTime() bool {
	return r.Outcome == "ok" && (r.Objective == 0 || r.First-r.Arrived <= r.Objective)
}

// Log is what was read of the daemons' logs.
type Log struct {
	Requests []Request
	// Started are the times at which processes started, by daemon.
	Started map[string][]time.Duration
	// Silent are the times at which a daemon was found silent or suspect, by any other one.
	Silent []time.Duration
}

// line is one line of a daemon's log, with the fields that are used.
type line struct {
	Event, Daemon, To      string
	Service, Tier, Outcome string
	FirstMs, TotalMs       int64
	WaitMs, ObjectiveMs    int64
	CallerRetry            bool
	Targets, Failures      []string
	Time                   time.Time
}

// Read reads log lines. A line may begin with its time in seconds and the name of its
// machine, as simulations print them; otherwise the field "time" counts, from the first line
// on. Lines that are not JSON objects of a daemon are skipped.
func Read(in io.Reader) (*Log, error) {
	log := &Log{Started: make(map[string][]time.Duration)}
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	var start time.Time
	for scanner.Scan() {
		l, at, prefixed := parse(scanner.Bytes())
		if l == nil {
			continue
		}
		if !prefixed {
			if start.IsZero() {
				start = l.Time
			}
			at = l.Time.Sub(start)
		}
		log.add(l, at)
	}
	if err := scanner.Err(); err != nil {
		return nil, fmt.Errorf("read the log: %w", err)
	}
	return log, nil
}

// parse returns a line, and the time before its JSON object if there is one. The line is nil
// if it is not one of a daemon.
func parse(text []byte) (l *line, at time.Duration, prefixed bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return nil, 0, false
	}
	if words := bytes.Fields(text[:brace]); len(words) > 0 {
		seconds, err := strconv.ParseFloat(string(words[0]), 64)
		if err != nil {
			return nil, 0, false
		}
		at, prefixed = time.Duration(seconds*float64(time.Second)), true
	}
	l = &line{}
	if json.Unmarshal(text[brace:], l) != nil || l.Event == "" {
		return nil, 0, false
	}
	return l, at, prefixed
}

func (log *Log) add(l *line, at time.Duration) {
	switch {
	case l.Event == eventStarted:
		log.Started[l.Daemon] = append(log.Started[l.Daemon], at)
	case l.Event == eventSilent, l.Event == eventMember && l.To == "suspect":
		log.Silent = append(log.Silent, at)
	case l.Event == eventEnded:
		log.Requests = append(log.Requests, newRequest(l, at))
	}
}

func newRequest(l *line, ended time.Duration) Request {
	r := Request{
		Daemon: l.Daemon, Service: l.Service, Tier: l.Tier, Outcome: l.Outcome,
		Arrived: ended - milliseconds(l.TotalMs), Ended: ended,
		Objective: milliseconds(l.ObjectiveMs), CallerRetry: l.CallerRetry, Failures: len(l.Failures),
	}
	if l.FirstMs > 0 {
		r.First = r.Arrived + milliseconds(l.FirstMs)
	}
	if len(l.Targets) > 0 {
		r.Target = l.Targets[len(l.Targets)-1]
		r.Granted = r.Arrived + milliseconds(l.WaitMs)
	}
	return r
}

func milliseconds(n int64) time.Duration {
	return time.Duration(n) * time.Millisecond
}
