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

// startClaims runs Claims until the end of the test, which uses synctest.
func startClaims(t *testing.T, table provider.Table, options Options) *Claims {
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

func mustClaim(t *testing.T, c *Claims, key string, fingerprint uint64) Result {
	t.Helper()
	r, err := c.Claim(context.Background(), Key{"s", "a", key}, fingerprint)
	assert.NilError(t, err)
	return r
}

// Guards against daemons that see different states of the same key.
func TestKeyStatesAreTheSameInAllDaemons(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		a, b := startClaims(t, table, Options{}), startClaims(t, table, Options{})
		first := mustClaim(t, a, "k", 1)
		assert.Equal(t, first.Outcome, Claimed)
		assert.Equal(t, mustClaim(t, b, "k", 1).Outcome, InProgress)
		assert.Equal(t, mustClaim(t, b, "k", 2).Outcome, Mismatch)
		a.Abandon(first.HeldClaim)
		time.Sleep(time.Second)
		second := mustClaim(t, b, "k", 2)
		assert.Equal(t, second.Outcome, Claimed, "an abandoned key may be claimed with another body")
		answer := Answer{Status: 201, Headers: http.Header{"X": {"y"}}, Body: []byte("stock")}
		assert.NilError(t, b.Complete(context.Background(), second.HeldClaim, answer))
		done := mustClaim(t, a, "k", 2)
		assert.Equal(t, done.Outcome, Done)
		assert.DeepEqual(t, *done.Answer, answer)
		assert.Equal(t, mustClaim(t, a, "k", 1).Outcome, Mismatch)
		assert.ErrorIs(t, a.Complete(context.Background(), first.HeldClaim, answer), ErrNotHeld)
	})
}

// Guards against a second dispatch after the daemon that held a claim died, and
// against unknown outcomes that look like running requests.
func TestUnknownStaysUnknown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		a, b := startClaims(t, table, Options{}), startClaims(t, table, Options{})
		assert.Equal(t, mustClaim(t, a, "dies", 1).Outcome, Claimed)
		marked := mustClaim(t, a, "marked", 1)
		a.MarkUnknown(marked.HeldClaim)
		time.Sleep(time.Second)
		assert.Equal(t, mustClaim(t, b, "marked", 1).Outcome, Unknown)
		for range 23 {
			time.Sleep(time.Hour)
			_, err := b.Sweep(context.Background(), 100)
			assert.NilError(t, err)
			assert.Equal(t, mustClaim(t, b, "dies", 1).Outcome, Unknown)
		}
		// A late answer replaces unknown.
		assert.NilError(t, a.Complete(context.Background(), marked.HeldClaim, Answer{Status: 200}))
		assert.Equal(t, mustClaim(t, b, "marked", 1).Outcome, Done)
	})
}

// Guards against answers that exceed the row limit of 64 KiB.
func TestLargeAnswersAreStoredWithoutBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startClaims(t, newMemoryTable(), Options{})
		for size, omitted := range map[int]bool{MaxAnswerBytes: false, MaxAnswerBytes + 1: true} {
			key := fmt.Sprint(size)
			held := mustClaim(t, c, key, 1).HeldClaim
			assert.NilError(t, c.Complete(context.Background(), held, Answer{Status: 200, Body: []byte(strings.Repeat("x", size))}))
			got := mustClaim(t, c, key, 1)
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
		table := newMemoryTable()
		a, b := startClaims(t, table, Options{}), startClaims(t, table, Options{})
		taken := mustClaim(t, a, "k7", 1)
		assert.NilError(t, a.Complete(context.Background(), taken.HeldClaim, Answer{Status: 200}))
		before := table.commits
		var wg sync.WaitGroup
		outcomes := make([]Outcome, 250)
		for i := range outcomes {
			wg.Go(func() { outcomes[i] = mustClaim(t, b, fmt.Sprint("k", i), 1).Outcome })
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
		c := startClaims(t, newMemoryTable(), Options{})
		var wg sync.WaitGroup
		var mu sync.Mutex
		count := map[Outcome]int{}
		for i := range 30 {
			wg.Go(func() {
				r := mustClaim(t, c, "k", uint64(i/20))
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

// scriptedTable calls the functions in commits instead of the next commits, and
// commits normally when none is left.
type scriptedTable struct {
	*memoryTable
	mu      sync.Mutex
	commits []func(writes []provider.Write) error
}

// setCommits replaces the functions that are left.
func (s *scriptedTable) setCommits(commits ...func(writes []provider.Write) error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commits = commits
}

func (s *scriptedTable) Commit(ctx context.Context, writes ...provider.Write) error {
	s.mu.Lock()
	var commit func([]provider.Write) error
	if len(s.commits) > 0 {
		commit, s.commits = s.commits[0], s.commits[1:]
	}
	s.mu.Unlock()
	if commit != nil {
		return commit(writes)
	}
	return s.memoryTable.Commit(ctx, writes...)
}

// Guards against losing a claim that was written although the answer of the commit
// was lost, and against dispatching a claim that was never written.
func TestLostAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scriptedTable{memoryTable: newMemoryTable()}
		c := startClaims(t, table, Options{})
		writtenAnswerLost := func(w []provider.Write) error {
			_ = table.memoryTable.Commit(context.Background(), w...)
			return provider.ErrOutcomeUnknown
		}
		notWritten := func([]provider.Write) error { return provider.ErrOutcomeUnknown }
		unavailable := func([]provider.Write) error { return provider.ErrUnavailable }
		table.setCommits(writtenAnswerLost)
		assert.Equal(t, mustClaim(t, c, "after", 1).Outcome, Claimed)
		table.setCommits(notWritten, notWritten, unavailable)
		assert.Equal(t, mustClaim(t, c, "before", 1).Outcome, Claimed)
		table.setCommits(unavailable, unavailable, unavailable, unavailable)
		begin := time.Now()
		_, err := c.Claim(context.Background(), Key{"s", "a", "down"}, 1)
		assert.ErrorIs(t, err, ErrUnresolved)
		assert.Assert(t, time.Since(begin) < 500*time.Millisecond, "unreachable table reported after %s", time.Since(begin))
		assert.Equal(t, mustClaim(t, c, "down", 1).Outcome, Claimed, "nothing was written")
	})
}

// Guards against a claim write that takes effect after Claim has failed. The
// caller was told that the request did not run, so the key must be free again.
// Without the tombstone, the late write takes the key.
func TestLateWriteAfterGivingUp(t *testing.T) {
	for _, tombstone := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			table := &scriptedTable{memoryTable: newMemoryTable()}
			c := startClaims(t, table, Options{})
			commitLate := func(w []provider.Write) error {
				if strings.Contains(string(w[0].Value), string(stateAbandoned)) {
					if tombstone {
						return table.memoryTable.Commit(context.Background(), w...)
					}
					return nil
				}
				time.AfterFunc(time.Minute, func() { _ = table.memoryTable.Commit(context.Background(), w...) })
				return provider.ErrOutcomeUnknown
			}
			for range 20 {
				table.commits = append(table.commits, commitLate)
			}
			_, err := c.Claim(context.Background(), Key{"s", "a", "k"}, 1)
			assert.ErrorIs(t, err, ErrUnresolved)
			time.Sleep(2 * time.Minute)
			table.setCommits()
			want := Claimed
			if !tombstone {
				want = InProgress
			}
			assert.Equal(t, mustClaim(t, c, "k", 1).Outcome, want)
		})
	}
}

// Guards against a batch that is retried without end when its rows always conflict.
func TestClaimWithPermanentConflictFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &scriptedTable{memoryTable: newMemoryTable()}
		c := startClaims(t, table, Options{})
		for range 1000 {
			table.commits = append(table.commits, func(w []provider.Write) error {
				time.Sleep(10 * time.Millisecond)
				return &provider.ConflictError{Keys: []string{w[0].Key}}
			})
		}
		_, err := c.Claim(context.Background(), Key{"s", "a", "k"}, 1)
		assert.ErrorIs(t, err, ErrUnresolved)
	})
}

// Guards against a claim that stays in progress because its caller left before the
// transaction was committed.
func TestCallerLeaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := startClaims(t, newMemoryTable(), Options{BatchWindow: 50 * time.Millisecond})
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		_, err := c.Claim(ctx, Key{"s", "a", "k"}, 1)
		assert.ErrorIs(t, err, context.DeadlineExceeded)
		time.Sleep(time.Second)
		assert.Equal(t, mustClaim(t, c, "k", 1).Outcome, Claimed)
	})
}

// Guards against sweeping claims younger than 24 h, leaving older ones, and
// exceeding the limit on transactions.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := newMemoryTable()
		c := startClaims(t, table, Options{})
		for i := range 150 {
			held := mustClaim(t, c, fmt.Sprint("old", i), 1).HeldClaim
			if i%2 == 0 {
				assert.NilError(t, c.Complete(context.Background(), held, Answer{Status: 200}))
			}
		}
		time.Sleep(Retention)
		mustClaim(t, c, "new", 1)
		n, err := c.Sweep(context.Background(), 100)
		assert.NilError(t, err)
		assert.Equal(t, n, 0, "clocks of daemons may differ")
		time.Sleep(2 * maxClockSkew)
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

// Guards against two keys with the same row key, because a part contains the
// separator, and against keys that are empty or too long for the table.
func TestKeys(t *testing.T) {
	assert.Assert(t, Key{"a", "b/c", "d"}.rowKey() != Key{"a/b", "c", "d"}.rowKey())
	c := New(newMemoryTable(), Options{})
	for _, key := range []string{"", strings.Repeat("x", MaxKeyBytes+1)} {
		_, err := c.Claim(context.Background(), Key{"s", "a", key}, 1)
		assert.ErrorIs(t, err, ErrBadKey)
	}
}
