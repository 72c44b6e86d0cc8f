package idempotency

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

// claimStore is the part of Claims that a daemon uses; naive implementations that
// the simulation must reject have it too.
type claimStore interface {
	Claim(ctx context.Context, key Key, fingerprint uint64) (Result, error)
	Complete(ctx context.Context, held *HeldClaim, answer Answer) error
	Abandon(held *HeldClaim)
	MarkUnknown(held *HeldClaim)
}

// variant is the simulation with one safeguard removed. The zero value removes none.
type variant struct {
	newStore        func() claimStore
	wrapTable       func(provider.Table) provider.Table
	dispatchOnError bool
	abandonOnLoss   bool
	notRunOnLoss    bool
}

// sim simulates daemons and callers that use one table with faults.
type sim struct {
	variant variant
	table   *memoryTable
	history *history

	mu               sync.Mutex
	rng              *rand.Rand
	daemons          []*simDaemon
	loss             float64
	down             bool
	executions       map[string]int
	executedAttempts map[int]bool               // attempts that the target executed
	answers          map[string]map[string]bool // bodies of the answers for each key
	mayStayBlocked   map[string]bool            // keys that may stay blocked although nothing ran
	violations       []string
	outcomes         map[string]int
	attempts         atomic.Int64
}

type simDaemon struct {
	table *faultyTable
	// lastHandled is the time of the last request for each key on this daemon.
	lastHandled map[string]time.Time
	store       claimStore
	cancel      context.CancelFunc
	dead        atomic.Bool
}

func (s *sim) withProbability(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *sim) randomDuration(low, high time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) startDaemon() {
	f := &faultyTable{Table: s.table, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 1)), loss: s.loss, down: s.down}
	d := &simDaemon{table: f, cancel: func() {}, lastHandled: map[string]time.Time{}}
	if s.variant.newStore != nil {
		d.store = s.variant.newStore()
	} else {
		var table provider.Table = f
		if s.variant.wrapTable != nil {
			table = s.variant.wrapTable(f)
		}
		c := New(table, Options{})
		ctx, cancel := context.WithCancel(context.Background())
		d.store, d.cancel = c, cancel
		go func() { _ = c.Run(ctx) }()
	}
	s.daemons = append(s.daemons, d)
}

// kill crashes a daemon: none of its further calls reaches the table, and none of
// its callers gets an answer. A new daemon replaces it.
func (s *sim) kill(d *simDaemon) {
	d.dead.Store(true)
	d.table.update(func() { d.table.dead = true })
	d.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	// State updates that the daemon had not written yet are lost.
	c, _ := d.store.(*Claims)
	for key, at := range d.lastHandled {
		if (c != nil && c.openUpdates.Load() > 0) || time.Since(at) < 5*time.Second {
			s.mayStayBlocked[key] = true
		}
	}
	for i, other := range s.daemons {
		if other == d {
			s.daemons = append(s.daemons[:i], s.daemons[i+1:]...)
			s.startDaemon()
			return
		}
	}
}

func (s *sim) setFaults(loss float64, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss, s.down = loss, down
	for _, d := range s.daemons {
		d.table.update(func() { d.table.loss, d.table.down = loss, down })
	}
}

func (s *sim) pickDaemon() *simDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[s.rng.IntN(len(s.daemons))]
}

// execute simulates the target, which runs every request that reaches it.
func (s *sim) execute(key string, attempt int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.executedAttempts[attempt] = true
	return fmt.Sprintf("%s ran as %d", key, attempt)
}

func (s *sim) recordAnswer(key, body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers[key] == nil {
		s.answers[key] = map[string]bool{}
	}
	s.answers[key][body] = true
	return "done"
}

func (s *sim) allowBlocked(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayStayBlocked[key] = true
}

// sendRequest sends one request for a key to a daemon, as one attempt of a caller,
// and returns its outcome.
func (s *sim) sendRequest(d *simDaemon, key string) (outcome string) {
	attempt := int(s.attempts.Add(1))
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if d.dead.Load() {
			outcome = "broken"
		}
		s.outcomes[outcome]++
		d.lastHandled[key] = time.Now()
		if outcome == "not run" && s.executedAttempts[attempt] {
			s.violations = append(s.violations, fmt.Sprintf("attempt %d of %s ran and was answered with not run", attempt, key))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), s.randomDuration(5*time.Millisecond, 10*time.Second))
	defer cancel()
	claimOp := s.history.beginClaim(key, attempt)
	result, err := d.store.Claim(ctx, Key{"s", "a", key}, 1)
	claimOp.endClaim(result, err)
	switch {
	case err != nil && d.dead.Load():
		s.allowBlocked(key)
		return "broken"
	case err != nil && !s.variant.dispatchOnError:
		return "not run"
	case err == nil && result.Outcome == Done:
		return s.recordAnswer(key, string(result.Answer.Body))
	case err == nil && result.Outcome != Claimed:
		return result.Outcome.String()
	}
	held := result.HeldClaim
	if held == nil {
		held = &HeldClaim{}
	}
	return s.dispatch(d, key, attempt, held)
}

// dispatch runs a claimed request at the target and records how it ended.
func (s *sim) dispatch(d *simDaemon, key string, attempt int, held *HeldClaim) string {
	if s.withProbability(0.1) {
		s.kill(d)
	}
	if d.dead.Load() {
		s.allowBlocked(key)
		return "broken"
	}
	if s.withProbability(0.1) {
		s.history.recordMaybe(key, opMaybeAbandon, attempt, "")
		d.store.Abandon(held)
		return "not run"
	}
	body := s.execute(key, attempt)
	time.Sleep(s.randomDuration(time.Millisecond, 300*time.Millisecond))
	if s.withProbability(0.1) {
		s.kill(d)
	}
	if s.withProbability(0.1) {
		if s.variant.abandonOnLoss {
			s.history.recordMaybe(key, opMaybeAbandon, attempt, "")
			d.store.Abandon(held)
		} else {
			s.history.recordMaybe(key, opMaybeMarkUnknown, attempt, "")
			d.store.MarkUnknown(held)
		}
		if s.variant.notRunOnLoss {
			return "not run"
		}
		return "unknown"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// The caller gets the answer whether or not it could be stored.
	completeOp := s.history.beginComplete(key, attempt, body)
	completeOp.endComplete(d.store.Complete(ctx, held, Answer{Status: 200, Body: []byte(body)}))
	return s.recordAnswer(key, body)
}

const (
	simKeys    = 10
	simCallers = 2
	simCalls   = 4
)

// run simulates one fault schedule and collects the violations.
func (s *sim) run() {
	for range 4 {
		s.startDaemon()
	}
	stop := make(chan struct{})
	var faults, callers sync.WaitGroup
	faults.Go(func() { s.runFaultSchedule(stop) })
	for k := range simKeys {
		for range simCallers {
			callers.Go(func() {
				for range simCalls {
					time.Sleep(s.randomDuration(0, 3*time.Second))
					s.sendRequest(s.pickDaemon(), fmt.Sprint("key", k))
				}
			})
		}
	}
	callers.Wait()
	close(stop)
	faults.Wait()
	s.setFaults(0, false)
	// All background work and late writes end within UpdateTimeout.
	time.Sleep(3 * time.Minute)
	s.history.close()
	s.checkInvariants()
	for _, d := range s.daemons {
		d.cancel()
	}
	synctest.Wait()
}

// runFaultSchedule changes the faults at random intervals until stop is closed.
func (s *sim) runFaultSchedule(stop chan struct{}) {
	for {
		s.setFaults(0.25, s.withProbability(0.3))
		select {
		case <-stop:
			return
		case <-time.After(s.randomDuration(200*time.Millisecond, 4*time.Second)):
		}
	}
}

// checkInvariants looks for violations after all faults have ended.
func (s *sim) checkInvariants() {
	for k := range simKeys {
		key := fmt.Sprint("key", k)
		if n := s.executions[key]; n > 1 {
			s.violations = append(s.violations, fmt.Sprintf("%s was executed %d times", key, n))
		}
		if n := len(s.answers[key]); n > 1 {
			s.violations = append(s.violations, fmt.Sprintf("%s has %d answers", key, n))
		}
		result, err := s.daemons[0].store.Claim(context.Background(), Key{"s", "a", key}, 1)
		if err != nil {
			s.violations = append(s.violations, fmt.Sprintf("%s without faults: %v", key, err))
		}
		if s.executions[key] == 0 && !s.mayStayBlocked[key] && result.Outcome != Claimed {
			s.violations = append(s.violations, fmt.Sprintf("%s never ran and is %s", key, result.Outcome))
		}
	}
	s.violations = append(s.violations, s.history.checkLinearizable()...)
}

// simulate runs a variant with one seed.
func simulate(t *testing.T, seed uint64, v variant) *sim {
	s := &sim{
		variant: v, table: newMemoryTable(), history: &history{},
		rng: rand.New(rand.NewPCG(seed, 2)), executions: map[string]int{}, executedAttempts: map[int]bool{},
		answers: map[string]map[string]bool{}, mayStayBlocked: map[string]bool{}, outcomes: map[string]int{},
	}
	synctest.Test(t, func(*testing.T) { s.run() })
	return s
}
