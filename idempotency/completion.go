package idempotency

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

// maxBatchAnswerBytes is the size of the answers at which a batch of state updates
// is full.
const maxBatchAnswerBytes = 1 << 20

// stateUpdate changes the row of one claim to its final state: done, abandoned or
// unknown. It waits in a queue and is retried until its deadline.
type stateUpdate struct {
	rowKey, token string
	state         rowState
	answer        *Answer
	answerBytes   int64
	// tombstone is set when a write of the claim may still arrive. It is stored
	// as an abandoned row if the row is free, so that the condition of the late
	// write fails.
	tombstone *record
	deadline  time.Time
	nextDelay time.Duration
	done      chan error
}

// Complete stores the answer of the request and waits for it. When ctx ends first,
// it returns the error of ctx, and storing continues in the background; until it
// succeeds, the key is in progress, then unknown. Answers larger than
// MaxAnswerBytes are stored without headers and body. Other errors: ErrNotHeld,
// ErrOverloaded, ErrUnresolved, ErrStopped, or that of decoding the row.
func (c *Claims) Complete(ctx context.Context, held *HeldClaim, answer Answer) error {
	size := int64(answer.size())
	if size > MaxAnswerBytes || c.pendingAnswerBytes.Load()+size > c.options.MaxPendingAnswerBytes {
		answer = Answer{Status: answer.Status, Omitted: true}
		size = 0
	}
	u := &stateUpdate{rowKey: held.rowKey, token: held.token, state: stateDone, answer: &answer, answerBytes: size}
	c.submit(u)
	select {
	case err := <-u.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), stepPrefix+".complete", "")
	}
}

// Abandon frees the key, because the request is certain not to have run. It
// returns at once; the row is changed in the background.
func (c *Claims) Abandon(held *HeldClaim) {
	c.submit(&stateUpdate{rowKey: held.rowKey, token: held.token, state: stateAbandoned})
}

// MarkUnknown records that the request may or may not have run. It returns at
// once; the row is changed in the background.
func (c *Claims) MarkUnknown(held *HeldClaim) {
	c.submit(&stateUpdate{rowKey: held.rowKey, token: held.token, state: stateUnknown})
}

// submit queues a state update, or drops it when the queue is full.
func (c *Claims) submit(u *stateUpdate) {
	u.deadline = time.Now().Add(c.options.UpdateTimeout)
	u.nextDelay = initialRetryDelay
	u.done = make(chan error, 1)
	c.openUpdates.Add(1)
	c.pendingAnswerBytes.Add(u.answerBytes)
	if !c.updateQueue.TryPush(u) {
		c.dropUpdate(u, ErrOverloaded)
	}
}

// finishUpdate ends a state update. done has a buffer of one and never blocks.
func (c *Claims) finishUpdate(u *stateUpdate, err error) {
	c.openUpdates.Add(-1)
	c.pendingAnswerBytes.Add(-u.answerBytes)
	u.done <- err
}

// dropUpdate gives up a state update: the key stays claimed, and counts as unknown
// after MaxRunTime.
func (c *Claims) dropUpdate(u *stateUpdate, cause error) {
	c.droppedUpdates.Add(1)
	c.finishUpdate(u, fault.Wrap(cause, stepPrefix+"."+string(u.state), ""))
}

func (c *Claims) dropQueuedUpdates() {
	for {
		select {
		case u := <-c.updateQueue.Items():
			c.dropUpdate(u, ErrStopped)
		default:
			return
		}
	}
}

// runUpdates writes state updates in batches until ctx ends.
func (c *Claims) runUpdates(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(maxConcurrentBatches)
	for {
		first, err := c.updateQueue.Pop(ctx)
		if err != nil {
			break
		}
		updates := c.collectUpdates(ctx, first)
		calls.Go(func() error {
			c.commitUpdates(ctx, updates)
			return nil
		})
	}
	_ = calls.Wait()
}

// collectUpdates gathers state updates for one transaction during BatchWindow.
func (c *Claims) collectUpdates(ctx context.Context, first *stateUpdate) []*stateUpdate {
	updates := []*stateUpdate{first}
	answerBytes := first.answerBytes
	timer := time.NewTimer(c.options.BatchWindow)
	defer timer.Stop()
	for len(updates) < maxRowsPerBatch && answerBytes < maxBatchAnswerBytes {
		select {
		case u := <-c.updateQueue.Items():
			updates = append(updates, u)
			answerBytes += u.answerBytes
		case <-timer.C:
			return updates
		case <-ctx.Done():
			return updates
		}
	}
	return updates
}

// commitUpdates reads the rows of the updates and changes those that hold the
// token of the claim. If reading or committing fails, the updates are retried
// later.
func (c *Claims) commitUpdates(ctx context.Context, updates []*stateUpdate) {
	updates = c.firstPerRow(updates)
	keys := make([]string, len(updates))
	for i, u := range updates {
		keys[i] = u.rowKey
	}
	rows, err := c.get(ctx, keys)
	if err != nil {
		c.retryAll(updates, err)
		return
	}
	var pending []*stateUpdate
	var writes []provider.Write
	for i, u := range updates {
		write, settled, err := u.nextWrite(rows[i])
		if settled {
			c.finishUpdate(u, err)
			continue
		}
		pending = append(pending, u)
		writes = append(writes, write)
	}
	c.commitUpdateWrites(ctx, pending, writes)
}

// commitUpdateWrites commits the writes of the pending updates. New rows also get
// an index row.
func (c *Claims) commitUpdateWrites(ctx context.Context, pending []*stateUpdate, writes []provider.Write) {
	if len(pending) == 0 {
		return
	}
	if inserted := insertedKeys(writes); len(inserted) > 0 {
		writes = append(writes, indexWrite(time.Now(), c.newToken(), inserted))
	}
	if err := c.commit(ctx, writes); err != nil {
		// The next attempt reads the rows and finds what this one has written.
		c.retryAll(pending, err)
		return
	}
	for _, u := range pending {
		c.recent.update(time.Now(), u)
		c.finishUpdate(u, nil)
	}
}

// insertedKeys returns the keys of the rows that are new, which are those of
// tombstones. All others have been in the index since they were claimed.
func insertedKeys(writes []provider.Write) (keys []string) {
	for _, w := range writes {
		if w.IfVersion == 0 {
			keys = append(keys, w.Key)
		}
	}
	return keys
}

// firstPerRow keeps the first update of each row and retries the others later,
// since a transaction may write a row only once.
func (c *Claims) firstPerRow(updates []*stateUpdate) []*stateUpdate {
	seen := map[string]bool{}
	return slices.DeleteFunc(updates, func(u *stateUpdate) bool {
		if seen[u.rowKey] {
			c.retry(u, nil)
			return true
		}
		seen[u.rowKey] = true
		return false
	})
}

func (c *Claims) retryAll(updates []*stateUpdate, cause error) {
	for _, u := range updates {
		c.retry(u, cause)
	}
}

// retry queues an update again after a delay that doubles each time, and drops it
// when the deadline would pass.
func (c *Claims) retry(u *stateUpdate, cause error) {
	if !time.Now().Add(u.nextDelay).Before(u.deadline) {
		c.dropUpdate(u, errors.Join(ErrUnresolved, cause))
		return
	}
	delay := u.nextDelay
	u.nextDelay = min(2*u.nextDelay, maxRetryDelay)
	time.AfterFunc(delay, func() {
		if !c.updateQueue.TryPush(u) {
			c.dropUpdate(u, errors.Join(ErrStopped, cause))
		}
	})
}

// nextWrite returns the write that an update needs, given its row. It returns
// settled when there is nothing to write. Then err is ErrNotHeld if the update is to
// done or unknown and the claim no longer holds the row, the error of decoding the
// row, or nil.
func (u *stateUpdate) nextWrite(row provider.Row) (write provider.Write, settled bool, err error) {
	var r record
	if row.Version != 0 {
		if r, err = decodeRecord(row); err != nil {
			return write, true, err
		}
	}
	switch {
	case r.Token == u.token && r.State == u.state:
		return write, true, nil
	case r.Token == u.token && u.canReplace(r.State):
		r.State = u.state
		r.Answer = u.answer
	case u.tombstone != nil && (row.Version == 0 || r.free()):
		r = *u.tombstone
		r.State = stateAbandoned
	case u.state == stateAbandoned:
		// There is nothing to free: another claim took the key after this one was
		// freed, or instead of it.
		return write, true, nil
	default:
		return write, true, fault.Wrap(ErrNotHeld, stepPrefix+"."+string(u.state), "")
	}
	return provider.Write{Key: row.Key, Value: r.encode(), IfVersion: row.Version}, false, nil
}

// canReplace reports whether the state of a row may change to that of the update.
// A late answer replaces unknown; no other final state is replaced.
func (u *stateUpdate) canReplace(current rowState) bool {
	return current == stateClaimed || (current == stateUnknown && u.state == stateDone)
}
