package confsync

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/fault"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/provider"
)

const (
	// publishMinBackoff and publishMaxBackoff bound the time between attempts
	// while the store does not answer.
	publishMinBackoff = 100 * time.Millisecond
	publishMaxBackoff = 2 * time.Second
)

// ConflictError is returned by Publish when the base is not the generation in
// force. Nothing was published.
type ConflictError struct {
	// Current is the generation in force.
	Current uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the base is not in force any more: the current generation is %d", e.Current)
}

// OutcomeUnknownError is returned by Publish when the context ended before it was known
// whether the generation was published. Publishing again on the same base is
// safe: at most one of the two calls succeeds.
type OutcomeUnknownError struct {
	Generation uint64
	Cause      error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("it is not known whether generation %d was published: %v", e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error {
	return e.Cause
}

// Publisher publishes sets and reads published ones. It is safe for concurrent
// use.
type Publisher struct {
	table   provider.Table
	objects provider.Objects
	codec   Codec
}

// NewPublisher returns a publisher. A nil codec selects JSON.
func NewPublisher(table provider.Table, objects provider.Objects, codec Codec) *Publisher {
	if codec == nil {
		codec = jsonCodec{}
	}
	return &Publisher{table: table, objects: objects, codec: codec}
}

// Publish makes set the configuration in force, if base is the generation in
// force, and returns the new generation. The caller must have checked the set.
// While the store does not answer, Publish retries until ctx ends. It returns
// *ConflictError if another generation than base is in force, *OutcomeUnknownError if
// the outcome is not known, and another error if nothing was published.
func (p *Publisher) Publish(ctx context.Context, base uint64, set *object.Set, operator string) (generation uint64, err error) {
	data, err := p.codec.Encode(set)
	if err != nil {
		return 0, err
	}
	digest, err := p.codec.Digest(set)
	if err != nil {
		return 0, err
	}
	pub := &publication{Publisher: p, base: base, token: rand.Text(), digest: digest, operator: operator}
	if err := pub.putObject(ctx, data); err != nil {
		return 0, err
	}
	return pub.commit(ctx)
}

// publication is one call of Publish. The token identifies it in the row.
type publication struct {
	*Publisher
	base           uint64
	token, digest  string
	operator       string
	mayBeCommitted bool
	retries        int
}

// putObject writes the set to the object store and retries until ctx ends. It is
// called before the row names the set. A repeated write has the same name and
// content.
func (p *publication) putObject(ctx context.Context, data []byte) error {
	name := setObjectName(p.base+1, p.token)
	for {
		err := p.objects.Put(ctx, name, data)
		if err == nil {
			return nil
		}
		if !p.waitBackoff(ctx) {
			return fault.Wrap(errors.Join(err, ctx.Err()), "config.publish", name)
		}
	}
}

// commit replaces the row and retries until ctx ends. Each attempt reads the row
// first, which also resolves lost answers: if an earlier attempt succeeded, the
// row or its earlier generations hold the token. All attempts are conditional on
// the same version of the row, so a delayed one cannot take effect after a later
// one.
func (p *publication) commit(ctx context.Context) (uint64, error) {
	for {
		generation, done, err := p.tryCommit(ctx)
		if done {
			return generation, err
		}
		if !p.waitBackoff(ctx) {
			cause := fault.Wrap(errors.Join(err, ctx.Err()), "config.publish", currentKey)
			if p.mayBeCommitted {
				return 0, &OutcomeUnknownError{Generation: p.base + 1, Cause: cause}
			}
			return 0, cause
		}
	}
}

// tryCommit makes one attempt to replace the row. It reports done when the
// outcome of the publication is known; otherwise err is the reason to retry.
func (p *publication) tryCommit(ctx context.Context) (generation uint64, done bool, err error) {
	row, version, err := readRow(ctx, p.table)
	if err != nil {
		return 0, false, err
	}
	if generation, done, err := p.resolve(row); done {
		return generation, true, err
	}
	value, err := json.Marshal(row.next(p.digest, p.token, p.operator))
	if err != nil {
		return 0, true, fault.Wrap(err, "config.publish", currentKey)
	}
	err = p.table.Commit(ctx, provider.Write{Key: currentKey, Value: value, IfVersion: version})
	if err == nil {
		return p.base + 1, true, nil
	}
	var conflict *provider.ConflictError
	if !errors.As(err, &conflict) && !errors.Is(err, provider.ErrUnavailable) {
		p.mayBeCommitted = true
	}
	if row, _, readErr := readRow(ctx, p.table); readErr == nil {
		if generation, done, outcomeErr := p.resolve(row); done {
			return generation, true, outcomeErr
		}
	}
	return 0, false, err
}

// resolve derives the outcome of the publication from the row. It reports done
// with the new generation if the row holds the token, and done with a
// *ConflictError if another generation than the base is in force.
func (p *publication) resolve(row *currentRow) (generation uint64, done bool, err error) {
	if row.publishedWith(p.base+1, p.token) {
		return p.base + 1, true, nil
	}
	if row.Generation != p.base {
		return 0, true, &ConflictError{Current: row.Generation}
	}
	return 0, false, nil
}

// waitBackoff waits before the next attempt, with exponential backoff and
// jitter. It returns false if ctx ended.
func (p *publication) waitBackoff(ctx context.Context) bool {
	backoff := min(publishMinBackoff<<min(p.retries, 5), publishMaxBackoff)
	p.retries++
	timer := time.NewTimer(backoff/2 + mathrand.N(backoff/2))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// ErrNoGeneration is returned by Read for a generation that was never published
// or is older than those that the row keeps.
var ErrNoGeneration = errors.New("generation does not exist")

// Read returns the set of a generation, as far back as the row keeps earlier
// generations. It returns an error that wraps ErrNoGeneration if the row does not
// hold the generation.
func (p *Publisher) Read(ctx context.Context, generation uint64) (*object.Set, error) {
	row, _, err := readRow(ctx, p.table)
	if err != nil {
		return nil, err
	}
	generationRow, ok := row.atGeneration(generation)
	if !ok {
		return nil, fault.Wrap(ErrNoGeneration, "config.read", "")
	}
	return readSet(ctx, p.objects, p.codec, generationRow)
}
