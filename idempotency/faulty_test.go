package idempotency

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/provider"
)

// faultyTable loses, refuses and delays calls of a table. It is used with synctest,
// where a sleep advances the fake clock.
type faultyTable struct {
	provider.Table
	mu  sync.Mutex
	rng *rand.Rand
	// loss is the probability that a call has a fault. While down is set, no
	// call reaches the table; dead does the same for good, for a killed daemon.
	loss float64
	down bool
	dead bool
}

// injectedFault is what happens to a call of the table.
type injectedFault int

const (
	faultNone injectedFault = iota
	faultUnavailable
	faultRequestLost
	faultAnswerLost
	faultRequestLate
)

func (f *faultyTable) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// nextFault returns the fault of a call, its latency in each direction, and the
// delay of a write that arrives late.
func (f *faultyTable) nextFault() (injectedFault, time.Duration, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	latency := time.Duration(f.rng.IntN(5000)) * time.Microsecond
	lateBy := time.Duration(f.rng.IntN(4000)) * time.Millisecond
	switch {
	case f.dead:
		return faultRequestLost, latency, lateBy
	case f.down && f.rng.IntN(2) == 0:
		return faultUnavailable, latency, lateBy
	case f.down:
		return faultRequestLost, latency, lateBy
	case f.rng.Float64() < f.loss:
		return faultUnavailable + injectedFault(f.rng.IntN(4)), latency, lateBy
	}
	return faultNone, latency, lateBy
}

func (f *faultyTable) Get(ctx context.Context, keys ...string) ([]provider.Row, error) {
	injected, latency, _ := f.nextFault()
	time.Sleep(latency)
	if injected != faultNone {
		return nil, provider.ErrUnavailable
	}
	rows, err := f.Table.Get(ctx, keys...)
	time.Sleep(latency)
	return rows, err
}

func (f *faultyTable) Commit(ctx context.Context, writes ...provider.Write) error {
	injected, latency, lateBy := f.nextFault()
	time.Sleep(latency)
	switch injected {
	case faultUnavailable:
		return provider.ErrUnavailable
	case faultRequestLost:
		return provider.ErrOutcomeUnknown
	case faultAnswerLost:
		_ = f.Table.Commit(ctx, writes...)
		return provider.ErrOutcomeUnknown
	case faultRequestLate:
		// The call ends while its request is still on the way.
		time.AfterFunc(lateBy, func() { _ = f.Table.Commit(context.Background(), writes...) })
		return provider.ErrOutcomeUnknown
	}
	err := f.Table.Commit(ctx, writes...)
	time.Sleep(latency)
	return err
}
