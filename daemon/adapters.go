package daemon

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/retry"
	"github.com/marjoramflow/marjoramflow/rollout"
)

// versions chooses versions by the shares in force. It implements entry.Versions.
type versions struct {
	shares *rollout.Shares
}

func (v versions) Pick(service *object.Service) string {
	if version := v.shares.Pick(service.Name, rand.Uint64()); version != "" {
		return version
	}
	return service.Version
}

// lengths predicts the length of answers and the time to their first token from
// the requests of this daemon. It implements frontend.Lengths.
type lengths struct {
	mu    sync.Mutex
	model *estimate.Model
}

func (l *lengths) OutputTokens(account, service string, maxTokens int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.model.OutputTokens(service, account, maxTokens)
}

func (l *lengths) ObserveOutput(account, service string, maxTokens, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.model.ObserveOutput(service, account, maxTokens, tokens)
}

// retries holds one retry policy per service. It implements entry.Retries.
type retries struct {
	mu       sync.Mutex
	policies map[string]*retry.Policy
	// ratio and minPerSecond are the budget of each service on this daemon.
	ratio, minPerSecond float64
}

func newRetries() *retries {
	return &retries{
		policies:     make(map[string]*retry.Policy),
		ratio:        retry.DefaultRatio,
		minPerSecond: retry.DefaultMinPerSecond,
	}
}

// setBudget changes the budgets of all services.
func (r *retries) setBudget(ratio, minPerSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio, r.minPerSecond = ratio, minPerSecond
	for _, p := range r.policies {
		p.Budget.SetLimits(ratio, minPerSecond)
	}
}

// policy returns the policy of a service; the caller holds the lock.
func (r *retries) policy(service string) *retry.Policy {
	p := r.policies[service]
	if p == nil {
		p = retry.NewPolicy()
		p.Budget.SetLimits(r.ratio, r.minPerSecond)
		r.policies[service] = p
	}
	return p
}

func (r *retries) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy(service).Budget.CountRequest(time.Now())
}

func (r *retries) Decide(service string, a retry.Attempt) retry.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy(service).Decide(time.Now(), a)
}

// hedges decides about second attempts within the budgets of retries. It
// implements entry.Hedges.
type hedges struct {
	hedger  *retry.Hedger
	retries *retries
}

func (h hedges) Observe(class string, took time.Duration) {
	h.hedger.Observe(time.Now(), class, took)
}

func (h hedges) Delay(class string) (time.Duration, bool) {
	return h.hedger.Delay(time.Now(), class)
}

func (h hedges) TryHedge(service string, r retry.Hedge) bool {
	h.retries.mu.Lock()
	budget := h.retries.policy(service).Budget
	h.retries.mu.Unlock()
	return h.hedger.TryHedge(time.Now(), budget, r)
}

// sleep waits, but not beyond the end of the context.
func sleep(ctx context.Context, d time.Duration) {
	ctxtime.Sleep(ctx, d)
}
