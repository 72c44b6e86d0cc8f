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
	// minRepeat and maxRepeat bound the delay between attempts to resolve a
	// write whose answer was lost.
	minRepeat = 50 * time.Millisecond
	maxRepeat = time.Second
)

// ErrOverwritten is returned by CommitWithToken, together with provider.ErrUnknown,
// when the answer was lost and another writer has changed the rows since, so
// that reading back does not tell whether the write took effect in between.
var ErrOverwritten = errors.New("the rows were changed by another writer")

// CommitWithToken commits conditional writes of which at least one value holds the
// token, and resolves a lost answer by reading the rows back: a row with the
// written value shows that the transaction took effect; when all rows still have
// the versions of their conditions, it is repeated. All attempts have the same
// conditions, so at most one takes effect.
//
// It returns nil when the write took effect, *provider.ConflictError or an error
// that wraps provider.ErrUnavailable when it did not, and provider.ErrUnknown
// when ctx ended before that was known. A write that certainly had no effect is
// not repeated.
func (c *Client) CommitWithToken(ctx context.Context, token string, writes ...provider.Write) error {
	if err := checkToken(token, writes); err != nil {
		return err
	}
	err := c.Commit(ctx, writes...)
	delay := minRepeat
	for err != nil && !hadNoEffect(err) {
		if !sleep(ctx, delay/2+rand.N(delay/2)) {
			return err
		}
		delay = min(2*delay, maxRepeat)
		state, readErr := c.readBack(ctx, token, writes)
		if readErr != nil {
			continue
		}
		switch state {
		case applied:
			c.stats.resolvedApplied.Add(1)
			return nil
		case overwritten:
			return errors.Join(ErrOverwritten, err)
		}
		c.stats.resolvedRepeated.Add(1)
		err = c.repeat(ctx, writes, err)
	}
	return err
}

// repeat commits again. While an earlier attempt may still take effect, a refusal
// or a conflict of this one is not the outcome: only reading back tells.
func (c *Client) repeat(ctx context.Context, writes []provider.Write, unknown error) error {
	if c.Commit(ctx, writes...) == nil {
		return nil
	}
	return unknown
}

// checkToken refuses writes that cannot be resolved by reading back.
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

// outcome is what reading back shows.
type outcome int

const (
	unchanged outcome = iota
	applied
	overwritten
)

func (c *Client) readBack(ctx context.Context, token string, writes []provider.Write) (outcome, error) {
	keys := make([]string, len(writes))
	for i, w := range writes {
		keys[i] = w.Key
	}
	rows, err := c.Get(ctx, keys...)
	if err != nil || len(rows) != len(writes) {
		return unchanged, errors.Join(err, provider.ErrUnavailable)
	}
	state := unchanged
	for i, w := range writes {
		ours := !w.Delete && bytes.Contains(w.Value, []byte(token))
		switch {
		case ours && rows[i].Version != 0 && bytes.Equal(rows[i].Value, w.Value):
			return applied, nil
		case rows[i].Version != w.IfVersion:
			state = overwritten
		}
	}
	return state, nil
}

// sleep reports false when ctx ended first.
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
