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

// register is what a daemon needs of Claims; naive versions implement it too.
type register interface {
	Claim(ctx context.Context, key Key, fingerprint uint64) (Result, error)
	Complete(ctx context.Context, held *HeldClaim, answer Answer) error
	Abandon(held *HeldClaim)
	MarkUnknown(held *HeldClaim)
}

// variant is a simulation with a guard removed. The zero value removes none.
type variant struct {
	register        func() register
	table           func(provider.Table) provider.Table
	dispatchOnError bool
	abandonOnLoss   bool
	notRunOnLoss    bool
}

// sim runs daemons and callers against one table with faults.
type sim struct {
	variant variant
	table   *memory
	history *history

	mu         sync.Mutex
	rng        *rand.Rand
	daemons    []*simDaemon
	loss       float64
	down       bool
	executions map[string]int
	ran        map[int]bool               // attempts that the target executed
	answers    map[string]map[string]bool // bodies seen for each key
	stuckable  map[string]bool            // keys that may rightly stay blocked
	violations []string
	outcomes   map[string]int
	attempts   atomic.Int64
}

type simDaemon struct {
	table *faulty
	// touched is when each key was last handled here.
	touched  map[string]time.Time
	register register
	cancel   context.CancelFunc
	dead     atomic.Bool
}

func (s *sim) chance(p float64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.Float64() < p
}

func (s *sim) between(low, high time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

func (s *sim) start() {
	f := &faulty{Table: s.table, rng: rand.New(rand.NewPCG(s.rng.Uint64(), 1)), loss: s.loss, down: s.down}
	d := &simDaemon{table: f, cancel: func() {}, touched: map[string]time.Time{}}
	if s.variant.register != nil {
		d.register = s.variant.register()
	} else {
		var table provider.Table = f
		if s.variant.table != nil {
			table = s.variant.table(f)
		}
		c := New(table, Options{})
		ctx, cancel := context.WithCancel(context.Background())
		d.register, d.cancel = c, cancel
		go func() { _ = c.Run(ctx) }()
	}
	s.daemons = append(s.daemons, d)
}

// kill ends a daemon: none of its further calls reaches the table, and none of
// its callers gets an answer. Another daemon takes its place.
func (s *sim) kill(d *simDaemon) {
	d.dead.Store(true)
	d.table.set(func() { d.table.dead = true })
	d.cancel()
	s.mu.Lock()
	defer s.mu.Unlock()
	// What the daemon had still to write in the background is lost with it.
	c, _ := d.register.(*Claims)
	for key, at := range d.touched {
		if (c != nil && c.openEnds.Load() > 0) || time.Since(at) < 5*time.Second {
			s.stuckable[key] = true
		}
	}
	for i, other := range s.daemons {
		if other == d {
			s.daemons = append(s.daemons[:i], s.daemons[i+1:]...)
			s.start()
			return
		}
	}
}

func (s *sim) setFaults(loss float64, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.loss, s.down = loss, down
	for _, d := range s.daemons {
		d.table.set(func() { d.table.loss, d.table.down = loss, down })
	}
}

func (s *sim) pick() *simDaemon {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[s.rng.IntN(len(s.daemons))]
}

// execute is the target: it runs every request that reaches it.
func (s *sim) execute(key string, attempt int) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.executions[key]++
	s.ran[attempt] = true
	return fmt.Sprintf("%s ran as %d", key, attempt)
}

func (s *sim) answer(key, body string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers[key] == nil {
		s.answers[key] = map[string]bool{}
	}
	s.answers[key][body] = true
	return "done"
}

func (s *sim) mayBlock(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stuckable[key] = true
}

// call sends one request for a key through a daemon, as one attempt of a caller.
func (s *sim) call(d *simDaemon, key string) (outcome string) {
	attempt := int(s.attempts.Add(1))
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		if d.dead.Load() {
			outcome = "broken"
		}
		s.outcomes[outcome]++
		d.touched[key] = time.Now()
		if outcome == "not run" && s.ran[attempt] {
			s.violations = append(s.violations, fmt.Sprintf("attempt %d of %s ran and was answered with not run", attempt, key))
		}
	}()
	ctx, cancel := context.WithTimeout(context.Background(), s.between(5*time.Millisecond, 10*time.Second))
	defer cancel()
	recorded := s.history.begin(key, attempt)
	result, err := d.register.Claim(ctx, Key{"s", "a", key}, 1)
	recorded.end(result, err)
	switch {
	case err != nil && d.dead.Load():
		s.mayBlock(key)
		return "broken"
	case err != nil && !s.variant.dispatchOnError:
		return "not run"
	case err == nil && result.Outcome == Done:
		return s.answer(key, string(result.Answer.Body))
	case err == nil && result.Outcome != Claimed:
		return result.Outcome.String()
	}
	held := result.HeldClaim
	if held == nil {
		held = &HeldClaim{}
	}
	return s.dispatch(d, key, attempt, held)
}

func (s *sim) dispatch(d *simDaemon, key string, attempt int, held *HeldClaim) string {
	if s.chance(0.1) {
		s.kill(d)
	}
	if d.dead.Load() {
		s.mayBlock(key)
		return "broken"
	}
	if s.chance(0.1) {
		s.history.maybe(key, opFree, attempt, "")
		d.register.Abandon(held)
		return "not run"
	}
	body := s.execute(key, attempt)
	time.Sleep(s.between(time.Millisecond, 300*time.Millisecond))
	if s.chance(0.1) {
		s.kill(d)
	}
	if s.chance(0.1) {
		if s.variant.abandonOnLoss {
			s.history.maybe(key, opFree, attempt, "")
			d.register.Abandon(held)
		} else {
			s.history.maybe(key, opUnknown, attempt, "")
			d.register.MarkUnknown(held)
		}
		if s.variant.notRunOnLoss {
			return "not run"
		}
		return "unknown"
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	// The caller has its answer whether or not it could be stored.
	recorded := s.history.beginComplete(key, attempt, body)
	recorded.endComplete(d.register.Complete(ctx, held, Answer{Status: 200, Body: []byte(body)}))
	return s.answer(key, body)
}

const (
	simKeys    = 10
	simCallers = 2
	simCalls   = 4
)

// run simulates a fault schedule and returns what was violated.
func (s *sim) run() {
	for range 4 {
		s.start()
	}
	stop := make(chan struct{})
	var schedule, callers sync.WaitGroup
	schedule.Go(func() { s.schedule(stop) })
	for k := range simKeys {
		for range simCallers {
			callers.Go(func() {
				for range simCalls {
					time.Sleep(s.between(0, 3*time.Second))
					s.call(s.pick(), fmt.Sprint("key", k))
				}
			})
		}
	}
	callers.Wait()
	close(stop)
	schedule.Wait()
	s.setFaults(0, false)
	// All background work and late writes end within FinishTimeout.
	time.Sleep(3 * time.Minute)
	s.history.close()
	s.check()
	for _, d := range s.daemons {
		d.cancel()
	}
	synctest.Wait()
}

func (s *sim) schedule(stop chan struct{}) {
	for {
		s.setFaults(0.25, s.chance(0.3))
		select {
		case <-stop:
			return
		case <-time.After(s.between(200*time.Millisecond, 4*time.Second)):
		}
	}
}

// check runs after all faults have ended.
func (s *sim) check() {
	for k := range simKeys {
		key := fmt.Sprint("key", k)
		if n := s.executions[key]; n > 1 {
			s.violations = append(s.violations, fmt.Sprintf("%s was executed %d times", key, n))
		}
		if n := len(s.answers[key]); n > 1 {
			s.violations = append(s.violations, fmt.Sprintf("%s has %d answers", key, n))
		}
		result, err := s.daemons[0].register.Claim(context.Background(), Key{"s", "a", key}, 1)
		if err != nil {
			s.violations = append(s.violations, fmt.Sprintf("%s without faults: %v", key, err))
		}
		if s.executions[key] == 0 && !s.stuckable[key] && result.Outcome != Claimed {
			s.violations = append(s.violations, fmt.Sprintf("%s never ran and is %s", key, result.Outcome))
		}
	}
	s.violations = append(s.violations, s.history.check()...)
}

// simulate runs one seed with a variant.
func simulate(t *testing.T, seed uint64, v variant) *sim {
	s := &sim{
		variant: v, table: newMemory(), history: &history{},
		rng: rand.New(rand.NewPCG(seed, 2)), executions: map[string]int{}, ran: map[int]bool{},
		answers: map[string]map[string]bool{}, stuckable: map[string]bool{}, outcomes: map[string]int{},
	}
	synctest.Test(t, func(*testing.T) { s.run() })
	return s
}
