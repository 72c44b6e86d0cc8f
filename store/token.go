package store

import (
	"bytes"
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// minResolveDelay and maxResolveDelay bound the delay between attempts to
	// resolve a write whose answer was lost.
	minResolveDelay = 50 * time.Millisecond
	maxResolveDelay = time.Second
)

// ErrOverwritten is returned by CommitWithToken, together with provider.ErrOutcomeUnknown,
// when the answer was lost and another writer has changed the rows since. Reading
// back cannot show then whether the write took effect before that change.
var ErrOverwritten = errors.New("the rows were changed by another writer")

// CommitWithToken commits conditional writes, at least one of which has the token in
// its value. It resolves a lost answer by reading the rows back: a row that has the
// token and the written value shows that the transaction took effect; if all rows
// still have the versions that the conditions require, the transaction is committed
// again. All attempts have the same conditions, so at most one takes effect.
//
// It returns nil when the write took effect, *provider.ConflictError or an error
// that wraps provider.ErrUnavailable when it did not, and an error that wraps
// provider.ErrOutcomeUnknown when ctx ended before the outcome was known or the rows were
// overwritten (see ErrOverwritten). A write that certainly had no effect is not
// repeated.
func (c *Client) CommitWithToken(ctx context.Context, token string, writes ...provider.Write) error {
	if err := checkToken(token, writes); err != nil {
		return err
	}
	err := c.Commit(ctx, writes...)
	delay := minResolveDelay
	for err != nil && !hadNoEffect(err) {
		if !sleep(ctx, delay/2+rand.N(delay/2)) {
			return err
		}
		delay = min(2*delay, maxResolveDelay)
		result, readErr := c.readBack(ctx, token, writes)
		if readErr != nil {
			continue
		}
		switch result {
		case applied:
			c.stats.resolvedApplied.Add(1)
			return nil
		case overwritten:
			return errors.Join(ErrOverwritten, err)
		}
		c.stats.resolvedRepeated.Add(1)
		err = c.commitAgain(ctx, writes, err)
	}
	return err
}

// commitAgain commits the writes once more and returns nil when that succeeds. Any
// other result is not the outcome, because an earlier attempt may still take effect:
// it then returns unknownErr, and only reading back can determine the outcome.
func (c *Client) commitAgain(ctx context.Context, writes []provider.Write, unknownErr error) error {
	if c.Commit(ctx, writes...) == nil {
		return nil
	}
	return unknownErr
}

// checkToken returns an error for writes whose outcome cannot be determined by
// reading back: an unconditional write, or no value with the token.
func checkToken(token string, writes []provider.Write) error {
	found := false
	for _, w := range writes {
		if w.Unconditional {
			return fault.New("table.commit", "", "an unconditional write cannot be resolved by its token: "+w.Key)
		}
		if !w.Delete && token != "" && bytes.Contains(w.Value, []byte(token)) {
			found = true
		}
	}
	if !found {
		return fault.New("table.commit", "", "no value holds the token")
	}
	return nil
}

// readBackResult is the state of the rows after a write whose answer was lost.
type readBackResult int

const (
	// unchanged means that all rows have the versions that the conditions require.
	unchanged readBackResult = iota
	// applied means that the write took effect.
	applied
	// overwritten means that another writer has changed a row.
	overwritten
)

// readBack reads the rows of the writes and compares them with the written values and
// the versions of the conditions.
func (c *Client) readBack(ctx context.Context, token string, writes []provider.Write) (readBackResult, error) {
	keys := make([]string, len(writes))
	for i, w := range writes {
		keys[i] = w.Key
	}
	rows, err := c.Get(ctx, keys...)
	if err != nil || len(rows) != len(writes) {
		return unchanged, errors.Join(err, provider.ErrUnavailable)
	}
	result := unchanged
	for i, w := range writes {
		holdsToken := !w.Delete && bytes.Contains(w.Value, []byte(token))
		switch {
		case holdsToken && rows[i].Version != 0 && bytes.Equal(rows[i].Value, w.Value):
			return applied, nil
		case rows[i].Version != w.IfVersion:
			result = overwritten
		}
	}
	return result, nil
}

// sleep waits for d. It returns false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
