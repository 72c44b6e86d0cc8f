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

// UnknownError is returned by Publish when the context ended before the store
// told whether the generation was published. Publishing again on the same base
// is safe: at most one of the two attempts succeeds.
type UnknownError struct {
	Generation uint64
	Cause      error
}

// Error implements error.
func (e *UnknownError) Error() string {
	return fmt.Sprintf("it is not known whether generation %d was published: %v", e.Generation, e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownError) Unwrap() error {
	return e.Cause
}

// Publisher publishes sets. It is safe for concurrent use.
type Publisher struct {
	table   provider.Table
	objects provider.Objects
	codec   Codec
}

// NewPublisher returns a publisher. A nil codec takes the default one.
func NewPublisher(table provider.Table, objects provider.Objects, codec Codec) *Publisher {
	if codec == nil {
		codec = jsonCodec{}
	}
	return &Publisher{table: table, objects: objects, codec: codec}
}

// Publish makes set the configuration in force, if base is the generation in
// force now, and returns its generation. The caller has checked the set. It
// repeats until ctx ends while the store does not answer. It returns
// *ConflictError when another generation is in force, *UnknownError when the
// outcome is not known, and another error when nothing was published.
func (p *Publisher) Publish(ctx context.Context, base uint64, set *object.Set, operator string) (generation uint64, err error) {
	data, err := p.codec.Encode(set)
	if err != nil {
		return 0, err
	}
	digest, err := p.codec.Digest(set)
	if err != nil {
		return 0, err
	}
	attempt := &publication{Publisher: p, base: base, token: rand.Text(), digest: digest, operator: operator}
	if err := attempt.putObject(ctx, data); err != nil {
		return 0, err
	}
	return attempt.commit(ctx)
}

// publication is one call of Publish.
type publication struct {
	*Publisher
	base            uint64
	token, digest   string
	operator        string
	mayHaveEffect   bool
	previousAttempt int
}

// putObject writes the set before the row names it. A repeated write has the
// same name and content.
func (p *publication) putObject(ctx context.Context, data []byte) error {
	name := objectName(p.base+1, p.token)
	for {
		err := p.objects.Put(ctx, name, data)
		if err == nil {
			return nil
		}
		if !p.pause(ctx) {
			return fault.Wrap(errors.Join(err, ctx.Err()), "config.publish", name)
		}
	}
}

// commit replaces the row. Each round reads it first, which also resolves lost
// answers: the row, or its history, then holds the token. All attempts have the
// same condition, so a delayed one cannot take effect after a later one.
func (p *publication) commit(ctx context.Context) (uint64, error) {
	for {
		generation, done, err := p.round(ctx)
		if done {
			return generation, err
		}
		if !p.pause(ctx) {
			cause := fault.Wrap(errors.Join(err, ctx.Err()), "config.publish", currentKey)
			if p.mayHaveEffect {
				return 0, &UnknownError{Generation: p.base + 1, Cause: cause}
			}
			return 0, cause
		}
	}
}

func (p *publication) round(ctx context.Context) (generation uint64, done bool, err error) {
	row, version, err := readRow(ctx, p.table)
	if err != nil {
		return 0, false, err
	}
	if generation, done, err := p.outcome(row); done {
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
		p.mayHaveEffect = true
	}
	if row, _, readErr := readRow(ctx, p.table); readErr == nil {
		if generation, done, outcome := p.outcome(row); done {
			return generation, true, outcome
		}
	}
	return 0, false, err
}

// outcome tells whether a row settles the publication: it holds the token, or
// another generation than the base is in force.
func (p *publication) outcome(row *currentRow) (generation uint64, done bool, err error) {
	if row.holds(p.base+1, p.token) {
		return p.base + 1, true, nil
	}
	if row.Generation != p.base {
		return 0, true, &ConflictError{Current: row.Generation}
	}
	return 0, false, nil
}

// pause waits before the next attempt and reports false when ctx has ended.
func (p *publication) pause(ctx context.Context) bool {
	backoff := min(publishMinBackoff<<min(p.previousAttempt, 5), publishMaxBackoff)
	p.previousAttempt++
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
// or is older than the history.
var ErrNoGeneration = errors.New("generation does not exist")

// Read returns the set of a generation, as far back as the history reaches.
func (p *Publisher) Read(ctx context.Context, generation uint64) (*object.Set, error) {
	row, _, err := readRow(ctx, p.table)
	if err != nil {
		return nil, err
	}
	then, ok := row.at(generation)
	if !ok {
		return nil, fault.Wrap(ErrNoGeneration, "config.read", "")
	}
	return readSet(ctx, p.objects, p.codec, then)
}
