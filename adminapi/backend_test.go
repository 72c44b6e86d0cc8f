package adminapi

import (
	"context"
	"sync"

	"github.com/marjoramflow/marjoramflow/object"
)

// memoryBackend is a Backend that stores all generations in memory.
type memoryBackend struct {
	mu          sync.Mutex
	generations []*object.Set // index 0 is generation 0
	daemons     []DaemonStatus
	readyErr    error
	// publishErr is returned by the next Publish, which takes effect nevertheless
	// if publishBeforeErr is set. beforePublish runs once, before the next Publish
	// compares its base with the current generation.
	publishErr       error
	publishBeforeErr bool
	beforePublish    func()
}

func newMemoryBackend() *memoryBackend {
	return &memoryBackend{generations: []*object.Set{{}}}
}

func (b *memoryBackend) Current(context.Context) (Config, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	last := len(b.generations) - 1
	return Config{Generation: uint64(last), Set: b.generations[last]}, nil
}

func (b *memoryBackend) Generation(_ context.Context, n uint64) (*object.Set, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n >= uint64(len(b.generations)) {
		return nil, ErrNoGeneration
	}
	return b.generations[n], nil
}

func (b *memoryBackend) Publish(_ context.Context, base uint64, set *object.Set, _ string) (uint64, error) {
	if hook := b.beforePublish; hook != nil {
		b.beforePublish = nil
		hook()
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	publishErr := b.publishErr
	b.publishErr = nil
	if publishErr != nil && !b.publishBeforeErr {
		return 0, publishErr
	}
	current := uint64(len(b.generations) - 1)
	if base != current {
		return 0, &GenerationConflictError{Current: current}
	}
	b.generations = append(b.generations, set)
	return current + 1, publishErr
}

func (b *memoryBackend) Ready(context.Context) error { return b.readyErr }

func (b *memoryBackend) Daemons(context.Context) ([]DaemonStatus, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]DaemonStatus{}, b.daemons...), nil
}

func (b *memoryBackend) setDaemons(daemons ...DaemonStatus) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.daemons = daemons
}

func (b *memoryBackend) Moves(context.Context) ([]MoveStatus, error) {
	return []MoveStatus{{Name: "m", Phase: "shifting", SharePercent: 5}}, nil
}

func (b *memoryBackend) Targets(context.Context) ([]TargetStatus, error) {
	return []TargetStatus{{Name: "llm-1", State: "up"}}, nil
}

func (b *memoryBackend) Tiers(context.Context) ([]TierStatus, error) { return nil, nil }

func (b *memoryBackend) Accounts(context.Context) ([]AccountStatus, error) { return nil, nil }
