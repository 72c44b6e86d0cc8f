package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

// faulty loses and delays calls of a table. It runs in a synctest bubble, where
// a sleep advances the bubble's clock.
type faulty struct {
	provider.Table
	mu  sync.Mutex
	rng *rand.Rand
	// loss is the chance that a commit has a fault.
	loss float64
	down bool
	dead bool
}

type fate int

const (
	fateOK fate = iota
	fateRefused
	fateLostBefore
	fateLostAfter
	fateLate
)

func (f *faulty) set(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// draw returns what happens to a call and how long it takes.
func (f *faulty) draw() (fate, time.Duration, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := time.Duration(f.rng.IntN(5000)) * time.Microsecond
	late := time.Duration(f.rng.IntN(4000)) * time.Millisecond
	switch {
	case f.dead:
		return fateLostBefore, before, late
	case f.down && f.rng.IntN(2) == 0:
		return fateRefused, before, late
	case f.down:
		return fateLostBefore, before, late
	case f.rng.Float64() < f.loss:
		return fateRefused + fate(f.rng.IntN(4)), before, late
	}
	return fateOK, before, late
}

func (f *faulty) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	outcome, before, _ := f.draw()
	time.Sleep(before)
	if outcome != fateOK {
		return nil, provider.ErrUnavailable
	}
	rows, err := f.Table.Get(ctx, keys...)
	time.Sleep(before)
	return rows, err
}

func (f *faulty) Commit(ctx context.Context, writes ...provider.Write) error {
	outcome, before, late := f.draw()
	time.Sleep(before)
	switch outcome {
	case fateRefused:
		return provider.ErrUnavailable
	case fateLostBefore:
		return provider.ErrUnknown
	case fateLostAfter:
		_ = f.Table.Commit(ctx, writes...)
		return provider.ErrUnknown
	case fateLate:
		// The call is given up while its request is still on the way.
		time.AfterFunc(late, func() { _ = f.Table.Commit(context.Background(), writes...) })
		return provider.ErrUnknown
	}
	err := f.Table.Commit(ctx, writes...)
	time.Sleep(before)
	return err
}
