package store

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

// fakeTable is an in-memory table with injected faults. It counts the calls that
// reach it, in total and by second.
type fakeTable struct {
	mu      sync.Mutex
	random  *rand.Rand
	start   time.Time
	rows    map[string]provider.Row
	version uint64
	// With silent, calls get no answer until their context ends; with refusing, they
	// fail immediately.
	silent, refusing                              bool
	latency                                       time.Duration
	loseRequestProbability, loseAnswerProbability float64
	perSecond                                     map[int]int
	calls                                         int
}

func newFakeTable(seed uint64) *fakeTable {
	return &fakeTable{
		random:    rand.New(rand.NewPCG(seed, 6)),
		start:     time.Now(),
		rows:      map[string]provider.Row{},
		latency:   5 * time.Millisecond,
		perSecond: map[int]int{},
	}
}

// simulateCall counts a call and waits for the latency. It fails the call as configured.
func (f *fakeTable) simulateCall(ctx context.Context) error {
	f.mu.Lock()
	f.calls++
	f.perSecond[int(time.Since(f.start)/time.Second)]++
	silent, refusing, latency := f.silent, f.refusing, f.latency
	f.mu.Unlock()
	if refusing {
		return provider.ErrUnavailable
	}
	if silent {
		<-ctx.Done()
		return ctx.Err()
	}
	select {
	case <-time.After(latency):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeTable) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	if err := f.simulateCall(ctx); err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]provider.Row, len(keys))
	for i, key := range keys {
		rows[i] = f.rows[key]
		rows[i].Key = key
	}
	return rows, nil
}

func (f *fakeTable) List(ctx context.Context, _ string, _ int) ([]provider.Row, error) {
	return nil, f.simulateCall(ctx)
}

func (f *fakeTable) Commit(ctx context.Context, writes ...provider.Write) error {
	if err := f.simulateCall(ctx); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.random.Float64() < f.loseRequestProbability {
		return provider.ErrOutcomeUnknown
	}
	for _, w := range writes {
		if f.rows[w.Key].Version != w.IfVersion {
			return &provider.ConflictError{Keys: []string{w.Key}}
		}
	}
	for _, w := range writes {
		f.version++
		f.rows[w.Key] = provider.Row{Key: w.Key, Value: w.Value, Version: f.version}
	}
	if f.random.Float64() < f.loseAnswerProbability {
		return provider.ErrOutcomeUnknown
	}
	return nil
}

func (f *fakeTable) withLock(update func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	update()
}

func (f *fakeTable) callCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.calls
}

// newClient returns a client whose start jitter has already passed.
func newClient(f *fakeTable, limits Limits) *Client {
	c := New(Config{Table: f, Limits: limits})
	time.Sleep(time.Second)
	return c
}

// Guards against a daemon that sends the store more calls than its budget allows.
func TestBudgetBoundsTheRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(1)
		c := newClient(f, Limits{ReadsPerSecond: 10, WritesPerSecond: 5})
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		var tasks sync.WaitGroup
		for range 50 {
			tasks.Go(func() {
				for ctx.Err() == nil {
					_, err := c.Get(ctx, "k")
					assert.Check(t, err == nil || errors.Is(err, provider.ErrUnavailable), "%v", err)
					// A refusal takes no virtual time.
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
		tasks.Wait()
		// 10 calls a second for 20 s, and the burst that the second before the test
		// accumulated.
		assert.Assert(t, f.callCount() <= 221 && f.callCount() >= 200, "%d calls", f.callCount())
		assert.Assert(t, c.Stats().RefusedBudget > 0)
	})
}

// Guards against calls that wait indefinitely for a silent store, and against reporting
// that a write without an answer had no effect.
func TestTimeoutOfSilentStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(1)
		f.silent = true
		c := newClient(f, Limits{Timeout: time.Second})
		begin := time.Now()
		_, err := c.Get(t.Context(), "k")
		assert.Equal(t, time.Since(begin), time.Second)
		assert.Assert(t, errors.Is(err, ErrNoAnswer) && errors.Is(err, provider.ErrUnavailable))
		err = c.Commit(t.Context(), provider.Write{Key: "k"})
		assert.ErrorIs(t, err, provider.ErrOutcomeUnknown)
		assert.Equal(t, c.Stats().Timeouts, uint64(2))
	})
}

// Guards against a breaker that opens for a slow store whose answers still arrive
// within the timeout.
func TestSlowStoreStaysInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(1)
		f.latency = 900 * time.Millisecond
		c := newClient(f, Limits{Timeout: time.Second})
		for range 20 {
			_, err := c.Get(t.Context(), "k")
			assert.NilError(t, err)
		}
		f.withLock(func() { f.latency = 1100 * time.Millisecond })
		for range failuresToOpen {
			_, err := c.Get(t.Context(), "k")
			assert.ErrorIs(t, err, ErrNoAnswer)
		}
		_, err := c.Get(t.Context(), "k")
		assert.ErrorIs(t, err, ErrBreakerOpen)
	})
}

// Guards against conflicts opening the breaker. Like absent objects, they are answers
// of a store that works.
func TestConflictsDoNotOpenTheBreaker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(1)
		c := newClient(f, Limits{})
		for range 3 * failuresToOpen {
			err := c.Commit(t.Context(), provider.Write{Key: "k", IfVersion: 99})
			var conflict *provider.ConflictError
			assert.Assert(t, errors.As(err, &conflict))
		}
		assert.Equal(t, c.Stats().BreakerOpened, uint64(0))
	})
}

// Guards against the breaker opening because callers give up before an answer arrives.
func TestCallsAbandonedByCallerAreNotFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(1)
		c := newClient(f, Limits{})
		for range 3 * failuresToOpen {
			ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
			_, err := c.Get(ctx, "k")
			cancel()
			assert.Assert(t, err != nil)
		}
		assert.Equal(t, c.Stats().Failures, uint64(0))
		_, err := c.Get(t.Context(), "k")
		assert.NilError(t, err)
	})
}

// Guards against a transaction that takes effect twice or is reported with the wrong
// outcome, when requests are lost before they take effect and answers after it.
func TestCommitWithTokenResolvesLostAnswers(t *testing.T) {
	for seed := range uint64(100) {
		synctest.Test(t, func(t *testing.T) {
			f := newFakeTable(seed)
			f.loseRequestProbability, f.loseAnswerProbability = 0.4, 0.4
			c := newClient(f, Limits{ReadsPerSecond: 100, WritesPerSecond: 100})
			first := []byte(fmt.Sprintf("token-%d first", seed))
			// Lost answers open the breaker, so the writer needs a long deadline.
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Minute)
			defer cancel()
			err := c.CommitWithToken(ctx, fmt.Sprintf("token-%d", seed),
				provider.Write{Key: "a", Value: first}, provider.Write{Key: "b", Value: []byte("plain")})
			assert.NilError(t, err)
			assert.Equal(t, string(f.rows["a"].Value), string(first))
			assert.Equal(t, f.version, uint64(2), "the transaction took effect more than once")
		})
	}
}

// Guards against a lost race being reported as a success, and against an overwritten
// success being reported as a failure without effect.
func TestCommitWithTokenAgainstOtherWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(1)
		c := newClient(f, Limits{})
		other := provider.Row{Key: "a", Value: []byte("other"), Version: 7}
		f.rows["a"] = other
		write := provider.Write{Key: "a", Value: []byte("mine token-1")}
		var conflict *provider.ConflictError
		assert.Assert(t, errors.As(c.CommitWithToken(t.Context(), "token-1", write), &conflict))

		f.withLock(func() { f.loseRequestProbability = 1 })
		err := c.CommitWithToken(t.Context(), "token-1", write)
		assert.Assert(t, errors.Is(err, ErrOverwritten) && errors.Is(err, provider.ErrOutcomeUnknown), "%v", err)
	})
}

// Guards against repeating a write that certainly had no effect until the caller's
// deadline while the store is down.
func TestCommitWithTokenFailsAtOnceWithoutEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTable(1)
		f.refusing = true
		c := newClient(f, Limits{})
		err := c.CommitWithToken(t.Context(), "t", provider.Write{Key: "a", Value: []byte("t")})
		assert.Assert(t, errors.Is(err, provider.ErrUnavailable) && !errors.Is(err, provider.ErrOutcomeUnknown))
		assert.Equal(t, f.callCount(), 1)
	})
}

// Guards against accepting writes whose outcome reading back cannot determine.
func TestCommitWithTokenRejectsUnresolvableWrites(t *testing.T) {
	c := New(Config{Table: newFakeTable(1)})
	err := c.CommitWithToken(t.Context(), "t", provider.Write{Key: "a", Value: []byte("x")})
	assert.ErrorContains(t, err, "no value holds the token")
	err = c.CommitWithToken(t.Context(), "t", provider.Write{Key: "a", Value: []byte("t"), Unconditional: true})
	assert.ErrorContains(t, err, "unconditional")
}

// runOutage runs 160 clients that each try one read every 100 ms. The store is down
// from second 60 to second 240. It returns the table and the longest time that a client
// took to get an answer after the outage.
func runOutage(t *testing.T, setOutage func(*fakeTable, bool)) (f *fakeTable, recovered time.Duration) {
	f = newFakeTable(1)
	const clients = 160
	ctx, cancel := context.WithTimeout(t.Context(), 300*time.Second)
	defer cancel()
	var tasks sync.WaitGroup
	recoveryTimes := make([]time.Duration, clients)
	for i := range clients {
		c := New(Config{Table: f, Limits: Limits{ReadsPerSecond: 5, WritesPerSecond: 5}})
		tasks.Go(func() {
			for ctx.Err() == nil {
				if _, err := c.Get(ctx, "k"); err == nil && recoveryTimes[i] == 0 && time.Since(f.start) > 240*time.Second {
					recoveryTimes[i] = time.Since(f.start) - 240*time.Second
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	time.Sleep(60 * time.Second)
	f.withLock(func() { setOutage(f, true) })
	time.Sleep(180 * time.Second)
	f.withLock(func() { setOutage(f, false) })
	tasks.Wait()
	for _, recoveryTime := range recoveryTimes {
		assert.Assert(t, recoveryTime > 0, "a client never recovered")
		recovered = max(recovered, recoveryTime)
	}
	return f, recovered
}

// requestRates returns the mean and the highest number of calls a second, from second
// from up to but not including second to.
func (f *fakeTable) requestRates(from, to int) (mean float64, highest int) {
	sum := 0
	for second := from; second < to; second++ {
		sum += f.perSecond[second]
		highest = max(highest, f.perSecond[second])
	}
	return float64(sum) / float64(to-from), highest
}

// Guards against clients that overload a store at their start, during an outage of
// minutes and after it, so that it cannot recover. Logs the request rates.
func TestOutageWith160Clients(t *testing.T) {
	outageKinds := map[string]func(*fakeTable, bool){
		"refusing": func(f *fakeTable, on bool) { f.refusing = on },
		"silent":   func(f *fakeTable, on bool) { f.silent = on },
	}
	for name, setOutage := range outageKinds {
		synctest.Test(t, func(t *testing.T) {
			f, recovered := runOutage(t, setOutage)
			_, start := f.requestRates(0, 2)
			before, beforeMax := f.requestRates(10, 60)
			during, duringMax := f.requestRates(70, 239)
			after, afterMax := f.requestRates(240, 299)
			t.Logf("%s store, requests/s: first 2 s max %d; before %.0f (max %d); during %.1f (max %d); after %.0f (max %d); all recovered after %v",
				name, start, before, beforeMax, during, duringMax, after, afterMax, recovered)
			assert.Assert(t, start <= 2*160*5, "%d requests in one second at the start", start)
			assert.Assert(t, during <= 60, "%.1f requests/s during the outage", during)
			// The budget that accumulated in 2 s may be spent at once after the outage.
			assert.Assert(t, afterMax <= 3*160*5, "%d requests in one second after the outage", afterMax)
			assert.Assert(t, recovered <= maxProbeDelay+2*defaultTimeout, "%v", recovered)
		})
	}
}
