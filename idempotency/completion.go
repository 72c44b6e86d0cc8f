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

// maxEndBytes bounds the answers in one transaction.
const maxEndBytes = 1 << 20

// end is the end of one claim, on its way to the table.
type end struct {
	row, token string
	state      rowState
	answer     *Answer
	bytes      int64
	// tombstone is written when the row is free, so that a late claim of ours
	// fails its condition.
	tombstone *record
	deadline  time.Time
	delay     time.Duration
	done      chan error
}

// Complete stores the answer of the request. When ctx ends first, storing goes
// on in the background; until it succeeds, the key is in progress, then unknown.
func (c *Claims) Complete(ctx context.Context, held *HeldClaim, answer Answer) error {
	size := int64(answer.size())
	if size > MaxAnswerBytes || c.pendingBytes.Load()+size > c.options.PendingBytes {
		answer = Answer{Status: answer.Status, Omitted: true}
		size = 0
	}
	e := &end{row: held.row, token: held.token, state: stateDone, answer: &answer, bytes: size}
	c.submit(e)
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), step+".complete", "")
	}
}

// Abandon frees the key, because the request is certain not to have run. It
// returns at once.
func (c *Claims) Abandon(held *HeldClaim) {
	c.submit(&end{row: held.row, token: held.token, state: stateAbandoned})
}

// MarkUnknown records that the request may or may not have run. It returns at once.
func (c *Claims) MarkUnknown(held *HeldClaim) {
	c.submit(&end{row: held.row, token: held.token, state: stateUnknown})
}

func (c *Claims) submit(e *end) {
	e.deadline = time.Now().Add(c.options.FinishTimeout)
	e.delay = retryDelay
	e.done = make(chan error, 1)
	c.openEnds.Add(1)
	c.pendingBytes.Add(e.bytes)
	if !c.ends.TryPush(e) {
		c.drop(e, ErrOverloaded)
	}
}

// finish closes an end. done has room for the one error.
func (c *Claims) finish(e *end, err error) {
	c.openEnds.Add(-1)
	c.pendingBytes.Add(-e.bytes)
	e.done <- err
}

// drop gives an end up: its key stays claimed and becomes unknown.
func (c *Claims) drop(e *end, cause error) {
	c.dropped.Add(1)
	c.finish(e, fault.Wrap(cause, step+"."+string(e.state), ""))
}

func (c *Claims) dropWaitingEnds() {
	for {
		select {
		case e := <-c.ends.Items():
			c.drop(e, ErrStopped)
		default:
			return
		}
	}
}

func (c *Claims) runEnds(ctx context.Context) {
	var calls errgroup.Group
	calls.SetLimit(concurrentCalls)
	for {
		first, err := c.ends.Pop(ctx)
		if err != nil {
			break
		}
		ends := c.collectEnds(ctx, first)
		calls.Go(func() error {
			c.commitEnds(ctx, ends)
			return nil
		})
	}
	_ = calls.Wait()
}

func (c *Claims) collectEnds(ctx context.Context, first *end) []*end {
	ends := []*end{first}
	bytes := first.bytes
	timer := time.NewTimer(c.options.BatchWindow)
	defer timer.Stop()
	for len(ends) < maxEntries && bytes < maxEndBytes {
		select {
		case e := <-c.ends.Items():
			ends = append(ends, e)
			bytes += e.bytes
		case <-timer.C:
			return ends
		case <-ctx.Done():
			return ends
		}
	}
	return ends
}

// commitEnds reads the rows of some ends and writes those that hold our token.
// What is not settled is tried again later.
func (c *Claims) commitEnds(ctx context.Context, ends []*end) {
	ends = c.oncePerRow(ends)
	keys := make([]string, len(ends))
	for i, e := range ends {
		keys[i] = e.row
	}
	rows, err := c.get(ctx, keys)
	if err != nil {
		c.retryAll(ends, err)
		return
	}
	var open []*end
	var writes []provider.Write
	for i, e := range ends {
		write, settled, err := e.next(rows[i])
		if settled {
			c.finish(e, err)
			continue
		}
		open = append(open, e)
		writes = append(writes, write)
	}
	c.commitWrites(ctx, open, writes)
}

func (c *Claims) commitWrites(ctx context.Context, open []*end, writes []provider.Write) {
	if len(open) == 0 {
		return
	}
	if inserted := insertedRows(writes); len(inserted) > 0 {
		writes = append(writes, indexWrite(time.Now(), c.newToken(), inserted))
	}
	if err := c.commit(ctx, writes); err != nil {
		// The next attempt reads the rows and sees what this one wrote.
		c.retryAll(open, err)
		return
	}
	for _, e := range open {
		c.finish(e, nil)
	}
}

// insertedRows returns the rows that are new, which are those of tombstones. All
// others are in the index since they were claimed.
func insertedRows(writes []provider.Write) (rows []string) {
	for _, w := range writes {
		if w.IfVersion == 0 {
			rows = append(rows, w.Key)
		}
	}
	return rows
}

// oncePerRow keeps the first end of each row and tries the others later, since a
// transaction writes a row once.
func (c *Claims) oncePerRow(ends []*end) []*end {
	seen := map[string]bool{}
	return slices.DeleteFunc(ends, func(e *end) bool {
		if seen[e.row] {
			c.retry(e, nil)
			return true
		}
		seen[e.row] = true
		return false
	})
}

func (c *Claims) retryAll(ends []*end, cause error) {
	for _, e := range ends {
		c.retry(e, cause)
	}
}

// retry queues an end again after a delay that doubles, until its deadline.
func (c *Claims) retry(e *end, cause error) {
	if !time.Now().Add(e.delay).Before(e.deadline) {
		c.drop(e, errors.Join(ErrUnreachable, cause))
		return
	}
	delay := e.delay
	e.delay = min(2*e.delay, maxRetryDelay)
	time.AfterFunc(delay, func() {
		if !c.ends.TryPush(e) {
			c.drop(e, errors.Join(ErrStopped, cause))
		}
	})
}

// next returns the write that an end needs, given its row, or says that the end
// is settled, with ErrNotHeld when the row is not ours to change.
func (e *end) next(row provider.Row) (write provider.Write, settled bool, err error) {
	var r record
	if row.Version != 0 {
		if r, err = decode(row); err != nil {
			return write, true, err
		}
	}
	switch {
	case r.Token == e.token && r.State == e.state:
		return write, true, nil
	case r.Token == e.token && e.mayFollow(r.State):
		r.State = e.state
		r.Answer = e.answer
	case e.tombstone != nil && (row.Version == 0 || r.free()):
		r = *e.tombstone
		r.State = stateAbandoned
	case e.state == stateAbandoned:
		// Another daemon claimed the key after ours was freed, or in place of it.
		return write, true, nil
	default:
		return write, true, fault.Wrap(ErrNotHeld, step+"."+string(e.state), "")
	}
	return provider.Write{Key: row.Key, Value: r.encode(), IfVersion: row.Version}, false, nil
}

// mayFollow reports whether a row in a state may get the state of this end. A
// late answer replaces unknown; nothing else follows the end of a claim.
func (e *end) mayFollow(s rowState) bool {
	return s == stateClaimed || (s == stateUnknown && e.state == stateDone)
}
