package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// versions chooses versions by the shares in force.
type versions struct {
	shares *rollout.Shares
}

// Pick implements entry.Versions.
func (v versions) Pick(service *object.Service) string {
	if version := v.shares.Pick(service.Name, rand.Uint64()); version != "" {
		return version
	}
	return service.Version
}

// lengths predicts the length of answers from those this daemon has seen.
type lengths struct {
	mu    sync.Mutex
	model *estimate.Model
}

// Output implements frontend.Lengths.
func (l *lengths) Output(account, service string, maxTokens int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.OutputTokens(service, account, maxTokens)
}

// Finished implements frontend.Lengths.
func (l *lengths) Finished(account, service string, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.ObserveOutput(service, account, tokens)
}

// pause waits, but not beyond the end of the context.
func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

var _ entry.Versions = versions{}
