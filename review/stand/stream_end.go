package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["stream-end"] = streamEnd }

const (
	streamService = "ustad"
	streamPath    = "/appeal/"
	// rounds is the number of streams that are resumed.
	rounds = 8
	// wholeStreams is the number of clients in each round that read their stream to its end,
	// beside the one whose channel breaks.
	wholeStreams = 3
	// resumeAfter is the last event that the client has when its channel breaks.
	resumeAfter = 5
	// killDelay is the time from the start of a run to the crash of its server.
	killDelay = 200 * time.Millisecond
	// backAfter is the time after which a crashed server is back.
	backAfter = 2 * time.Second
)

// streamManifest returns a manifest with one model service and a resumable streaming route.
func streamManifest() manifest {
	m := plainManifest("godown")
	m.Routes = append(m.Routes, route{
		Name: "r-appeal", Host: routeHost, Prefix: streamPath, Kind: "streaming", TimeoutMs: 12000, TargetLatencyMs: 800,
		Service: streamService, MaxAttempts: 2, SessionAffinity: true, StreamResume: true, GapAimMs: 250,
	})
	m.Services = append(m.Services, service{Name: streamService, HealthPath: "/health", MaxConnections: 300, Protocol: "h1", Engine: map[string]any{
		"slots": 10, "kvCapacity": 531657, "kvTokenBytes": 327680, "linkMbps": 550000.0, "moves": true, "backups": true, "stride": 6, "most": 12, "pinMs": 4000.0, "holdMs": 2000.0, "handleS": 5.0, "models": []map[string]any{{"name": "m"}},
	}})
	return m
}

// modelServer is a model server in a process of its own.
type modelServer struct {
	id      string
	process *exec.Cmd
}

// startModelServer starts and registers a model server. Its runs are sent to runs.
func (b *bench) startModelServer(id, zone string, runs chan<- serverRun) (*modelServer, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	program, err := os.Executable()
	if err != nil {
		return nil, err
	}
	s := &modelServer{id: id, process: exec.Command(program, "server", "--id", id, "--address", address)}
	output, err := s.process.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := b.spawn(s.process); err != nil {
		return nil, err
	}
	go func() {
		lines := bufio.NewScanner(output)
		for lines.Scan() {
			if attempt, found := strings.CutPrefix(lines.Text(), "run "); found {
				b.rec.line("run %s on %s", attempt, id)
				runs <- serverRun{attempt, s}
			}
		}
		_ = s.process.Wait()
		b.reaped.Done()
	}()
	b.store.put("servers", id, entry{Service: streamService, Address: address, Zone: zone, Version: "v1", Slots: 10, State: "ready", Sequence: 1, Born: time.Now().UnixMilli()})
	b.rec.line("model server %s starts", id)
	return s, nil
}

// serverRun is a request that a model server began to run.
type serverRun struct {
	attempt string
	server  *modelServer
}

// crash kills a model server.
func (b *bench) crash(s *modelServer) {
	b.rec.line("model server %s crashes", s.id)
	_ = s.process.Process.Kill()
	time.AfterFunc(3*1200*time.Millisecond, func() { b.store.remove("servers", s.id) })
}

// streamResult is what a client saw of a stream.
type streamResult struct {
	status    int
	lastEvent int
	// complete is set if the body ended in order.
	complete bool
}

// stream sends a streaming request that goes on after an event, 0 for a new one. It leaves
// after the event stopAt, unless that is 0.
func (b *bench) stream(id string, d *daemon, after, stopAt int) streamResult {
	ctx, cancel := context.WithTimeout(context.Background(), 12*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, "POST", "http://"+d.callers+streamPath+"1", strings.NewReader("prompt"))
	if err != nil {
		return streamResult{}
	}
	request.Host = routeHost
	for name, value := range map[string]string{
		"X-Attempt-Id": id, "X-Deadline-Ms": "12000", "X-Api-Key": "key-wuny96-a", "X-Model": "m",
		"X-Token-Usage": "600,300", "X-Prompt-Prefix": "5c1e07a2:60," + id[:8] + ":540",
	} {
		request.Header.Set(name, value)
	}
	if after > 0 {
		request.Header.Set("Last-Event-Id", strconv.Itoa(after))
	}
	b.rec.line("sent %s to %s, after event %d", id, d.name, after)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		b.rec.line("answered %s: %v", id, err)
		return streamResult{status: -1, lastEvent: after}
	}
	defer response.Body.Close()
	result := streamResult{status: response.StatusCode, lastEvent: after}
	lines := bufio.NewReader(response.Body)
	for {
		line, err := lines.ReadString('\n')
		if number, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			result.lastEvent, _ = strconv.Atoi(number)
		}
		if stopAt > 0 && result.lastEvent >= stopAt {
			b.rec.line("client leaves %s after event %d", id, result.lastEvent)
			return result
		}
		if err != nil {
			result.complete = errors.Is(err, io.EOF)
			b.rec.line("answered %s: status %d, last event %d of %d, complete=%v (%v)", id, result.status, result.lastEvent, streamEvents, result.complete, err)
			return result
		}
	}
}

// streamEnd breaks the channel of a client after some events. The client resumes the stream
// with Last-Event-Id, and the server that runs the rest crashes before its first event.
func streamEnd(b *bench) (string, error) {
	b.publish(streamManifest())
	runs := make(chan serverRun, 100)
	for i := range 4 {
		if _, err := b.startModelServer(fmt.Sprintf("i-model-%d", i), zoneNames[i%len(zoneNames)], runs); err != nil {
			return "", err
		}
	}
	if err := b.startDaemons(); err != nil {
		return "", err
	}
	short, whole, failed := 0, 0, 0
	for round := range rounds {
		d := b.daemons[round%len(b.daemons)]
		var others sync.WaitGroup
		for i := range wholeStreams {
			others.Go(func() {
				b.stream(fmt.Sprintf("%016x", rand.Uint64()), b.daemons[(round+i+1)%len(b.daemons)], 0, 0)
			})
		}
		b.stream(fmt.Sprintf("%016x", rand.Uint64()), d, 0, resumeAfter)
		others.Wait()
		for len(runs) > 0 {
			<-runs
		}
		id := fmt.Sprintf("%016x", rand.Uint64())
		done := make(chan streamResult, 1)
		go func() { done <- b.stream(id, d, resumeAfter, 0) }()
		if b.trouble {
			select {
			case r := <-runs:
				time.Sleep(killDelay)
				b.crash(r.server)
				number := round
				time.AfterFunc(backAfter, func() {
					_, _ = b.startModelServer(fmt.Sprintf("i-model-back-%d", number), zoneNames[number%len(zoneNames)], runs)
				})
			case <-time.After(5 * time.Second):
				return "", errors.New("no server ran the resumed request")
			}
		}
		result := <-done
		switch {
		case result.status == http.StatusOK && result.complete && result.lastEvent < streamEvents:
			short++
		case result.status == http.StatusOK && result.complete:
			whole++
		default:
			failed++
		}
		time.Sleep(3 * time.Second)
	}
	fmt.Printf("%d resumed streams: %d whole, %d ended as complete before their last event, %d not complete\n", rounds, whole, short, failed)
	if short > 0 {
		return fmt.Sprintf("ORDER: %d of %d resumed streams ended as complete before their last event", short, rounds), nil
	}
	if !b.trouble && whole < rounds {
		return "", errors.New("streams failed without a disruption")
	}
	return "", nil
}
