package idempotency

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
	"github.com/marjoramflow/marjoramflow/ring"
)

// concurrentCalls is the number of transactions in flight, per direction. A slow
// answer of one then does not hold up the others.
const concurrentCalls = 4

// Claims claims keys and records how their requests ended. Run must be running.
type Claims struct {
	table    provider.Table
	options  Options
	newToken func() string

	claims  *ring.Ring[*waiter]
	ends    *ring.Ring[*end]
	stopped chan struct{}

	openEnds     atomic.Int64
	pendingBytes atomic.Int64
	dropped      atomic.Int64
}

// New returns Claims over a table.
func New(table provider.Table, options Options) *Claims {
	options = options.withDefaults()
	return &Claims{
		table:    table,
		options:  options,
		newToken: rand.Text,
		claims:   ring.New[*waiter](options.Capacity),
		ends:     ring.New[*end](options.Capacity),
		stopped:  make(chan struct{}),
	}
}

// Dropped returns the number of claims whose end could not be recorded. Their
// keys are unknown until they are swept.
func (c *Claims) Dropped() int64 {
	return c.dropped.Load()
}

// waiter is one call of Claim. Exactly one of answer and leave succeeds.
type waiter struct {
	row         string
	fingerprint uint64
	token       string
	settled     atomic.Bool
	reply       chan reply
}

type reply struct {
	result Result
	err    error
}

// answer reports whether the caller still waited.
func (w *waiter) answer(r reply) bool {
	if !w.settled.CompareAndSwap(false, true) {
		return false
	}
	w.reply <- r
	return true
}

// leave reports whether no answer was given before.
func (w *waiter) leave() bool {
	return w.settled.CompareAndSwap(false, true)
}

// Claim claims a key for a request with the given fingerprint of its body. An
// error means that the request did not run and must not be dispatched.
func (c *Claims) Claim(ctx context.Context, key Key, fingerprint uint64) (Result, error) {
	if err := key.check(); err != nil {
		return Result{}, err
	}
	w := &waiter{row: key.row(), fingerprint: fingerprint, token: c.newToken(), reply: make(chan reply, 1)}
	if !c.claims.TryPush(w) {
		return Result{}, fault.Wrap(ErrOverloaded, step+".claim", key.Service)
	}
	var cause error
	select {
	case r := <-w.reply:
		return r.result, r.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-c.stopped:
		cause = ErrStopped
	}
	if !w.leave() {
		r := <-w.reply
		return r.result, r.err
	}
	// When the claim succeeds after all, the batch abandons it.
	return Result{}, fault.Wrap(cause, step+".claim", key.Service)
}

// Lookup returns the state of a key without claiming it.
func (c *Claims) Lookup(ctx context.Context, key Key, fingerprint uint64) (Result, error) {
	rows, err := c.get(ctx, []string{key.row()})
	if err != nil {
		return Result{}, err
	}
	if rows[0].Version == 0 {
		return Result{Outcome: Free}, nil
	}
	r, err := decode(rows[0])
	if err != nil {
		return Result{}, err
	}
	return r.result(fingerprint, time.Now(), c.options.MaxRunTime), nil
}

// Run commits claims until ctx ends, then finishes the ends of claims that still
// wait, for at most DrainTimeout.
func (c *Claims) Run(ctx context.Context) error {
	endsCtx, stopEnds := context.WithCancel(context.WithoutCancel(ctx))
	defer stopEnds()
	var tasks errgroup.Group
	tasks.Go(func() error {
		c.runEnds(endsCtx)
		return nil
	})
	c.runClaims(ctx)
	close(c.stopped)
	c.claims.Close()
	c.drain()
	c.ends.Close()
	stopEnds()
	err := tasks.Wait()
	c.dropWaitingEnds()
	return err
}

// drain waits until no end of a claim is open.
func (c *Claims) drain() {
	const interval = 5 * time.Millisecond
	timeout := time.After(c.options.DrainTimeout)
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for c.openEnds.Load() > 0 {
		select {
		case <-timeout:
			return
		case <-ticker.C:
		}
	}
}

func (c *Claims) runClaims(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(concurrentCalls)
	for {
		first, err := c.claims.Pop(ctx)
		if err != nil {
			break
		}
		b := c.collect(ctx, first)
		calls.Go(func() error {
			b.run(ctx)
			return nil
		})
	}
	_ = calls.Wait()
}

// collect gathers claims for one transaction. Claims of the same key share one
// entry.
func (c *Claims) collect(ctx context.Context, first *waiter) *batch {
	b := newBatch(c)
	b.add(first)
	timer := time.NewTimer(c.options.BatchWindow)
	defer timer.Stop()
	for len(b.entries) < maxEntries {
		select {
		case w := <-c.claims.Items():
			b.add(w)
		case <-timer.C:
			return b
		case <-ctx.Done():
			return b
		}
	}
	return b
}

func (c *Claims) get(ctx context.Context, keys []string) ([]provider.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return c.table.Get(ctx, keys...)
}

func (c *Claims) commit(ctx context.Context, writes []provider.Write) error {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return c.table.Commit(ctx, writes...)
}
