package idempotency

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/marjoramflow/marjoramflow/provider"
)

// start runs Claims until the test of the bubble ends.
func start(t *testing.T, table provider.Table, options Options) *Claims {
	c := New(table, options)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		_ = c.Run(ctx)
		close(done)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return c
}

func claim(t *testing.T, c *Claims, key string, fingerprint uint64) Result {
	t.Helper()
	r, err := c.Claim(context.Background(), Key{"s", "a", key}, fingerprint)
	assert.NilError(t, err)
	return r
}

// Guards against a state of a key that another daemon sees wrongly.
func TestLifeOfAKey(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemory()
		a, b := start(t, table, Options{}), start(t, table, Options{})
		first := claim(t, a, "k", 1)
		assert.Equal(t, first.Outcome, Claimed)
		assert.Equal(t, claim(t, b, "k", 1).Outcome, InProgress)
		assert.Equal(t, claim(t, b, "k", 2).Outcome, Mismatch)
		a.Abandon(first.HeldClaim)
		time.Sleep(time.Second)
		second := claim(t, b, "k", 2)
		assert.Equal(t, second.Outcome, Claimed, "an abandoned key may be claimed with another body")
		answer := Answer{Status: 201, Headers: http.Header{"X": {"y"}}, Body: []byte("stock")}
		assert.NilError(t, b.Complete(context.Background(), second.HeldClaim, answer))
		done := claim(t, a, "k", 2)
		assert.Equal(t, done.Outcome, Done)
		assert.DeepEqual(t, *done.Answer, answer)
		assert.Equal(t, claim(t, a, "k", 1).Outcome, Mismatch)
		assert.ErrorIs(t, a.Complete(context.Background(), first.HeldClaim, answer), ErrNotHeld)
	})
}

// Guards against a second dispatch after the daemon that held a claim died, and
// against unknown outcomes that look like running requests.
func TestUnknownStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemory()
		a, b := start(t, table, Options{}), start(t, table, Options{})
		assert.Equal(t, claim(t, a, "dies", 1).Outcome, Claimed)
		marked := claim(t, a, "marked", 1)
		a.MarkUnknown(marked.HeldClaim)
		time.Sleep(time.Second)
		assert.Equal(t, claim(t, b, "marked", 1).Outcome, Unknown)
		for range 23 {
			time.Sleep(time.Hour)
			_, err := b.Sweep(context.Background(), 100)
			assert.NilError(t, err)
			assert.Equal(t, claim(t, b, "dies", 1).Outcome, Unknown)
		}
		// A late answer replaces unknown.
		assert.NilError(t, a.Complete(context.Background(), marked.HeldClaim, Answer{Status: 200}))
		assert.Equal(t, claim(t, b, "marked", 1).Outcome, Done)
	})
}

// Guards against answers that exceed the row limit of 64 KiB.
func TestLargeAnswersAreStoredWithoutBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, newMemory(), Options{})
		for size, omitted := range map[int]bool{MaxAnswerBytes: false, MaxAnswerBytes + 1: true} {
			key := fmt.Sprint(size)
			held := claim(t, c, key, 1).HeldClaim
			assert.NilError(t, c.Complete(context.Background(), held, Answer{Status: 200, Body: []byte(strings.Repeat("x", size))}))
			got := claim(t, c, key, 1)
			assert.Equal(t, got.Outcome, Done)
			assert.Equal(t, got.Answer.Omitted, omitted)
			assert.Equal(t, len(got.Answer.Body) == 0, omitted)
		}
	})
}

// Guards against one transaction per claim, transactions over 100 rows, and a
// conflicting key that fails the others of its transaction.
func TestClaimsShareTransactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemory()
		a, b := start(t, table, Options{}), start(t, table, Options{})
		taken := claim(t, a, "k7", 1)
		assert.NilError(t, a.Complete(context.Background(), taken.HeldClaim, Answer{Status: 200}))
		before := table.commits
		var wg sync.WaitGroup
		outcomes := make([]Outcome, 250)
		for i := range outcomes {
			wg.Go(func() { outcomes[i] = claim(t, b, fmt.Sprint("k", i), 1).Outcome })
		}
		wg.Wait()
		for i, o := range outcomes {
			assert.Equal(t, o == Done, i == 7)
			assert.Equal(t, o == Claimed, i != 7)
		}
		assert.Assert(t, table.commits-before <= 4, "%d transactions for 250 claims", table.commits-before)
	})
}

// Guards against two claims of one key in one transaction.
func TestSameKeyInOneTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, newMemory(), Options{})
		var wg sync.WaitGroup
		var mu sync.Mutex
		count := map[Outcome]int{}
		for i := range 30 {
			wg.Go(func() {
				r := claim(t, c, "k", uint64(i/20))
				mu.Lock()
				defer mu.Unlock()
				count[r.Outcome]++
			})
		}
		wg.Wait()
		assert.Equal(t, count[Claimed], 1)
		assert.Equal(t, count[Claimed]+count[InProgress]+count[Mismatch], 30)
	})
}

// scripted answers the next commits as told.
type scripted struct {
	*memory
	mu   sync.Mutex
	next []func(writes []provider.Write) error
}

// script replaces the answers that are left.
func (s *scripted) script(next ...func(writes []provider.Write) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.next = next
}

func (s *scripted) Commit(ctx context.Context, writes ...provider.Write) error {
	s.mu.Lock()
	var f func([]provider.Write) error
	if len(s.next) > 0 {
		f, s.next = s.next[0], s.next[1:]
	}
	s.mu.Unlock()
	if f != nil {
		return f(writes)
	}
	return s.memory.Commit(ctx, writes...)
}

// Guards against losing a claim whose answer was lost after the write, and
// against dispatching one whose write never took effect.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scripted{memory: newMemory()}
		c := start(t, table, Options{})
		after := func(w []provider.Write) error {
			_ = table.memory.Commit(context.Background(), w...)
			return provider.ErrUnknown
		}
		before := func([]provider.Write) error { return provider.ErrUnknown }
		refused := func([]provider.Write) error { return provider.ErrUnavailable }
		table.script(after)
		assert.Equal(t, claim(t, c, "after", 1).Outcome, Claimed)
		table.script(before, before, refused)
		assert.Equal(t, claim(t, c, "before", 1).Outcome, Claimed)
		table.script(refused, refused, refused, refused)
		begin := time.Now()
		_, err := c.Claim(context.Background(), Key{"s", "a", "down"}, 1)
		assert.ErrorIs(t, err, ErrUnreachable)
		assert.Assert(t, time.Since(begin) < 500*time.Millisecond, "unreachable store reported after %s", time.Since(begin))
		assert.Equal(t, claim(t, c, "down", 1).Outcome, Claimed, "nothing was written")
	})
}

// Guards against a write that arrives after its claim was given up: the request
// was answered with "not run", so the key must be free again. Without the
// tombstone, the late write takes the key.
func TestLateWriteAfterGivingUp(t *testing.T) {
	for _, tombstone := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			table := &scripted{memory: newMemory()}
			c := start(t, table, Options{})
			late := func(w []provider.Write) error {
				if strings.Contains(string(w[0].Value), string(stateAbandoned)) {
					if tombstone {
						return table.memory.Commit(context.Background(), w...)
					}
					return nil
				}
				time.AfterFunc(time.Minute, func() { _ = table.memory.Commit(context.Background(), w...) })
				return provider.ErrUnknown
			}
			for range 20 {
				table.next = append(table.next, late)
			}
			_, err := c.Claim(context.Background(), Key{"s", "a", "k"}, 1)
			assert.ErrorIs(t, err, ErrUnreachable)
			time.Sleep(2 * time.Minute)
			table.script()
			want := Claimed
			if !tombstone {
				want = InProgress
			}
			assert.Equal(t, claim(t, c, "k", 1).Outcome, want)
		})
	}
}

// Guards against a batch that commits for ever when its rows always conflict.
func TestEndlessConflictsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scripted{memory: newMemory()}
		c := start(t, table, Options{})
		for range 1000 {
			table.next = append(table.next, func(w []provider.Write) error {
				time.Sleep(10 * time.Millisecond)
				return &provider.ConflictError{Keys: []string{w[0].Key}}
			})
		}
		_, err := c.Claim(context.Background(), Key{"s", "a", "k"}, 1)
		assert.ErrorIs(t, err, ErrUnreachable)
	})
}

// Guards against a claim that is held by nobody when its caller left before the
// transaction was committed.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := start(t, newMemory(), Options{BatchWindow: 50 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := c.Claim(ctx, Key{"s", "a", "k"}, 1)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(time.Second)
		assert.Equal(t, claim(t, c, "k", 1).Outcome, Claimed)
	})
}

// Guards against sweeping claims younger than 24 h, leaving old ones, and
// exceeding the write budget.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemory()
		c := start(t, table, Options{})
		for i := range 150 {
			held := claim(t, c, fmt.Sprint("old", i), 1).HeldClaim
			if i%2 == 0 {
				assert.NilError(t, c.Complete(context.Background(), held, Answer{Status: 200}))
			}
		}
		time.Sleep(Retention)
		claim(t, c, "new", 1)
		n, err := c.Sweep(context.Background(), 100)
		assert.NilError(t, err)
		assert.Equal(t, n, 0, "clocks of daemons may differ")
		time.Sleep(2 * clockMargin)
		before := table.commits
		n, err = c.Sweep(context.Background(), 2)
		assert.NilError(t, err)
		assert.Equal(t, table.commits-before, 2)
		assert.Equal(t, n, 100)
		n, err = c.Sweep(context.Background(), 100)
		assert.NilError(t, err)
		assert.Equal(t, n, 50)
		assert.Equal(t, table.count(rowPrefix), 1)
		assert.Equal(t, table.count(indexPrefix), 1)
	})
}

// Guards against names that collide through the separator, and against keys
// that the table could not hold.
func TestKeys(t *testing.T) {
	assert.Assert(t, Key{"a", "b/c", "d"}.row() != Key{"a/b", "c", "d"}.row())
	c := New(newMemory(), Options{})
	for _, key := range []string{"", strings.Repeat("x", MaxKeyBytes+1)} {
		_, err := c.Claim(context.Background(), Key{"s", "a", key}, 1)
		assert.ErrorIs(t, err, ErrBadKey)
	}
}
