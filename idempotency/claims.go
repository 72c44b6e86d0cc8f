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

// maxConcurrentBatches is the number of concurrent transactions that claim keys,
// and also of those that update states, so that one slow call does not delay the
// others.
const maxConcurrentBatches = 4

// Claims claims keys and records how their requests ended. Run must be running.
// All methods are safe for concurrent use.
type Claims struct {
	table    provider.Table
	options  Options
	newToken func() string

	claimQueue  *ring.Ring[*waiter]
	updateQueue *ring.Ring[*stateUpdate]
	stopped     chan struct{}

	openUpdates        atomic.Int64
	pendingAnswerBytes atomic.Int64
	droppedUpdates     atomic.Int64

	// recent holds the last records of this daemon, and restored an element from a restore of the
	// table until Run has handled it.
	recent   recentRecords
	restored chan struct{}
}

// New returns Claims that stores its rows in a table.
func New(table provider.Table, options Options) *Claims {
	options = options.withDefaults()
	return &Claims{
		table:       table,
		options:     options,
		newToken:    rand.Text,
		claimQueue:  ring.New[*waiter](options.QueueCapacity),
		updateQueue: ring.New[*stateUpdate](options.QueueCapacity),
		stopped:     make(chan struct{}),
		recent:      recentRecords{records: make(map[string]recentRecord)},
		restored:    make(chan struct{}, 1),
	}
}

// DroppedUpdates returns the number of claims whose final state could not be
// recorded. Their keys are in progress until MaxRunTime has passed, and unknown
// until they are swept.
func (c *Claims) DroppedUpdates() int64 {
	return c.droppedUpdates.Load()
}

// waiter is one call of Claim. Exactly one call of respond or cancel succeeds.
type waiter struct {
	rowKey      string
	fingerprint uint64
	token       string
	finished    atomic.Bool
	replies     chan reply
}

// reply is what Claim returns.
type reply struct {
	result Result
	err    error
}

// respond sends the reply and returns true, or returns false when the caller has
// cancelled.
func (w *waiter) respond(r reply) bool {
	if !w.finished.CompareAndSwap(false, true) {
		return false
	}
	w.replies <- r
	return true
}

// cancel stops waiting and returns true, or returns false when a reply was sent.
func (w *waiter) cancel() bool {
	return w.finished.CompareAndSwap(false, true)
}

// Claim claims a key for a request with the given fingerprint of its body. It
// waits until the claim is resolved or ctx ends. An error means that the request
// did not run and must not be dispatched: ErrBadKey, ErrOverloaded,
// ErrUnresolved, ErrStopped, the error of ctx, or that of decoding the row.
func (c *Claims) Claim(ctx context.Context, key Key, fingerprint uint64) (Result, error) {
	if err := key.validate(); err != nil {
		return Result{}, err
	}
	w := &waiter{rowKey: key.rowKey(), fingerprint: fingerprint, token: c.newToken(), replies: make(chan reply, 1)}
	if !c.claimQueue.TryPush(w) {
		return Result{}, fault.Wrap(ErrOverloaded, stepPrefix+".claim", key.Service)
	}
	var cause error
	select {
	case r := <-w.replies:
		return r.result, r.err
	case <-ctx.Done():
		cause = ctx.Err()
	case <-c.stopped:
		cause = ErrStopped
	}
	if !w.cancel() {
		r := <-w.replies
		return r.result, r.err
	}
	// If the claim is committed after this, its batch abandons it.
	return Result{}, fault.Wrap(cause, stepPrefix+".claim", key.Service)
}

// Lookup returns the state of a key without claiming it. It fails when the table
// service cannot be read within CallTimeout.
func (c *Claims) Lookup(ctx context.Context, key Key, fingerprint uint64) (Result, error) {
	rows, err := c.get(ctx, []string{key.rowKey()})
	if err != nil {
		return Result{}, err
	}
	if rows[0].Version == 0 {
		return Result{Outcome: Free}, nil
	}
	r, err := decodeRecord(rows[0])
	if err != nil {
		return Result{}, err
	}
	return r.resultFor(fingerprint, time.Now(), c.options.MaxRunTime), nil
}

// Run commits claims until ctx ends. Then it writes the state updates that are
// still open, for at most DrainTimeout, and drops the rest. It returns no error.
func (c *Claims) Run(ctx context.Context) error {
	updatesCtx, stopUpdates := context.WithCancel(context.WithoutCancel(ctx))
	defer stopUpdates()
	var tasks errgroup.Group
	tasks.Go(func() error {
		c.runUpdates(updatesCtx)
		return nil
	})
	tasks.Go(func() error {
		c.runRestores(ctx)
		return nil
	})
	c.runClaims(ctx)
	close(c.stopped)
	c.claimQueue.Close()
	c.awaitUpdates()
	c.updateQueue.Close()
	stopUpdates()
	err := tasks.Wait()
	c.dropQueuedUpdates()
	return err
}

// awaitUpdates waits until no state update is open, or until DrainTimeout.
func (c *Claims) awaitUpdates() {
	const pollInterval = 5 * time.Millisecond
	timeout := time.After(c.options.DrainTimeout)
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for c.openUpdates.Load() > 0 {
		select {
		case <-timeout:
			return
		case <-ticker.C:
		}
	}
}

// runClaims commits claims in batches until ctx ends.
func (c *Claims) runClaims(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentBatches)
	for {
		first, err := c.claimQueue.Pop(ctx)
		if err != nil {
			break
		}
		b := c.collectBatch(ctx, first)
		calls.Go(func() error {
			b.run(ctx)
			return nil
		})
	}
	_ = calls.Wait()
}

// collectBatch gathers claims for one transaction during BatchWindow. Claims of
// the same key share one keyClaim.
func (c *Claims) collectBatch(ctx context.Context, first *waiter) *batch {
	b := newBatch(c)
	b.add(first)
	timer := time.NewTimer(c.options.BatchWindow)
	defer timer.Stop()
	for len(b.keyClaims) < maxRowsPerBatch {
		select {
		case w := <-c.claimQueue.Items():
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
