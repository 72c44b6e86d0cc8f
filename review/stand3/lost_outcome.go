package main

import (
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// orderTime is the time that the operator's order allows.
	orderTime = 12 * time.Second
	// recovery is recoveryS of the deployment.
	recovery = 12 * time.Second
	// downTime is the time from the kill of a process to its restart.
	downTime = time.Second
	// judgeTime is how long requests are judged before and after the final fault.
	judgeTime = 10 * time.Second
)

// lostOutcome plays a roll-out that is completed, a drill of the store shortly after, which loses
// the record of its end, and a final fault that kills all processes. After it, the service has to
// be served again.
func lostOutcome(r *run) (bool, error) {
	var e executions
	s := newStore(r)
	putManifest(s, newManifest(10, "ledger"))
	if err := startServers(s, &e, "ledger", "v1", 9); err != nil {
		return false, err
	}
	if err := startDaemons(r, s); err != nil {
		return false, err
	}
	t := startTraffic(r, &e)
	defer t.stop()
	time.Sleep(3 * time.Second)
	if err := rollOut(r, s, &e, "ledger", "v2"); err != nil {
		return false, err
	}
	time.Sleep(1500 * time.Millisecond)
	if r.trouble {
		drill(r, s)
	} else {
		time.Sleep(awayTime)
	}
	// All machines are in touch again, and the store has dropped what is gone.
	time.Sleep(contact + 2*time.Second)
	from := time.Now()
	time.Sleep(judgeTime)
	before := t.served(from, time.Now())
	r.say("before the final fault: %s", before)
	r.say("final fault: all processes are killed")
	for _, d := range r.daemons {
		d.signal(syscall.SIGKILL)
	}
	back, err := r.restartDaemons()
	if err != nil {
		return false, err
	}
	time.Sleep(recovery)
	from = time.Now()
	time.Sleep(judgeTime)
	after := t.served(from, time.Now())
	r.say("from %v after the restart: %s", from.Sub(back).Round(time.Second), after)
	r.say("status of the order: %s", s.value("status", "rollout/ledger"))
	r.say("store: %s", s.stats())
	return before.share() >= 0.25 && after.share() < 0.25, nil
}

// restartDaemons starts the processes of all daemons, which were killed, after downTime, and returns
// when they were started.
func (r *run) restartDaemons() (time.Time, error) {
	time.Sleep(downTime)
	for _, d := range r.daemons {
		d.kill()
		if err := d.startProcess(); err != nil {
			return time.Time{}, err
		}
	}
	r.say("all processes are started again")
	return time.Now(), nil
}

// rollOut starts servers of a new version beside the old ones and orders to move the service to
// them. Once the order is completed, it stops the old servers.
func rollOut(r *run, s *store, e *executions, service, to string) error {
	old := s.servers
	if err := startServers(s, e, service, to, len(old)); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	order, _ := json.Marshal(map[string]any{"service": service, "to": to, "durationS": orderTime.Seconds()})
	s.put(row{Table: "op", Key: "rollout/" + service, Value: order})
	r.say("the operator orders to move %s to %s in %v", service, to, orderTime)
	for until := time.Now().Add(orderTime); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		var status struct{ State, To string }
		_ = json.Unmarshal(s.value("status", "rollout/"+service), &status)
		if status.To == to && status.State == "completed" {
			for _, v := range old {
				v.stop()
			}
			r.say("the order is completed; the old servers are stopped")
			return nil
		}
	}
	return fmt.Errorf("the order was not completed; its status is %s", s.value("status", "rollout/"+service))
}

// traffic sends requests to all daemons until it is stopped.
type traffic struct {
	ended chan struct{}
	group sync.WaitGroup

	mu      sync.Mutex
	answers []answer
}

// trafficPause is the time between two requests to a daemon.
const trafficPause = 120 * time.Millisecond

func startTraffic(r *run, e *executions) *traffic {
	t := &traffic{ended: make(chan struct{})}
	for _, d := range r.daemons {
		t.group.Go(func() {
			var asks sync.WaitGroup
			defer asks.Wait()
			ticker := time.NewTicker(trafficPause)
			defer ticker.Stop()
			for {
				select {
				case <-t.ended:
					return
				case <-ticker.C:
				}
				asks.Go(func() {
					a := ask(d, "GET", host, "/moved/1")
					r.note("%s sent to %s: status %d, error %v, runs %v", a.id, d.name, a.status, a.err, describeRuns(e.of(a.id)))
					t.mu.Lock()
					defer t.mu.Unlock()
					t.answers = append(t.answers, a)
				})
			}
		})
	}
	return t
}

func (t *traffic) stop() {
	close(t.ended)
	t.group.Wait()
}

// count is how many requests were sent and served.
type count struct {
	sent, served int
	byStatus     map[int]int
}

func (c count) share() float64 { return float64(c.served) / float64(max(1, c.sent)) }

func (c count) String() string {
	return fmt.Sprintf("%d of %d requests were served; by status (0: no answer): %v", c.served, c.sent, c.byStatus)
}

// served counts the requests that were sent in a span of time and have ended.
func (t *traffic) served(from, to time.Time) count {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := count{byStatus: map[int]int{}}
	for _, a := range t.answers {
		if a.sentAt.Before(from) || a.sentAt.After(to) {
			continue
		}
		c.sent++
		c.byStatus[a.status]++
		if a.status == 200 && a.err == nil {
			c.served++
		}
	}
	return c
}
