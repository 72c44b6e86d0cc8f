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

// versionPicker chooses the version of each request by the traffic shares in force. It
// implements entry.VersionPicker.
type versionPicker struct {
	trafficSplit *rollout.TrafficSplit
}

// Pick implements entry.VersionPicker. Without shares it returns the version that the
// service is configured with.
func (v versionPicker) Pick(service *object.Service, failed string) string {
	if version := v.trafficSplit.PickRetry(service.Name, failed, rand.Uint64()); version != "" {
		return version
	}
	return service.Version
}

// outputPredictor predicts the length of answers and the time to their first token from
// the requests of this daemon. It implements frontend.OutputPredictor and is safe for
// concurrent use.
type outputPredictor struct {
	// mu guards model, which observer uses too.
	mu    sync.Mutex
	model *estimate.Model
}

// OutputTokens implements frontend.OutputPredictor.
func (p *outputPredictor) OutputTokens(account, service string, maxTokens int) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.model.OutputTokens(service, account, maxTokens)
}

// ObserveOutput implements frontend.OutputPredictor.
func (p *outputPredictor) ObserveOutput(account, service string, maxTokens, tokens int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.model.ObserveOutput(service, account, maxTokens, tokens)
}

// retryPolicies holds one retry policy per service. It implements entry.RetryPolicy and is
// safe for concurrent use.
type retryPolicies struct {
	mu       sync.Mutex
	policies map[string]*retry.Policy
	// ratio and minPerSecond are the limits of each service's retry budget on this daemon:
	// retries per request, and retries per second that are permitted in any case.
	ratio, minPerSecond float64
}

func newRetryPolicies() *retryPolicies {
	return &retryPolicies{
		policies:     make(map[string]*retry.Policy),
		ratio:        retry.DefaultRatio,
		minPerSecond: retry.DefaultMinPerSecond,
	}
}

// setBudget changes the retry budgets of all services, present and future.
func (r *retryPolicies) setBudget(ratio, minPerSecond float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ratio, r.minPerSecond = ratio, minPerSecond
	for _, p := range r.policies {
		p.Budget.SetLimits(ratio, minPerSecond)
	}
}

// policy returns the policy of a service and creates it if needed. The caller holds mu.
func (r *retryPolicies) policy(service string) *retry.Policy {
	p := r.policies[service]
	if p == nil {
		p = retry.NewPolicy()
		p.Budget.SetLimits(r.ratio, r.minPerSecond)
		r.policies[service] = p
	}
	return p
}

// CountRequest implements entry.RetryPolicy.
func (r *retryPolicies) CountRequest(service string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.policy(service).Budget.CountRequest(time.Now())
}

// Decide implements entry.RetryPolicy.
func (r *retryPolicies) Decide(service string, a retry.Attempt) retry.Action {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.policy(service).Decide(time.Now(), a)
}

// hedgePolicy decides whether a slow call is sent to a second target. Hedges are charged to
// the retry budget of the service. It implements entry.HedgePolicy.
type hedgePolicy struct {
	hedger        *retry.Hedger
	retryPolicies *retryPolicies
}

// Observe implements entry.HedgePolicy.
func (h hedgePolicy) Observe(class string, duration time.Duration) {
	h.hedger.Observe(time.Now(), class, duration)
}

// Delay implements entry.HedgePolicy.
func (h hedgePolicy) Delay(class string) (time.Duration, bool) {
	return h.hedger.Delay(time.Now(), class)
}

// TryHedge implements entry.HedgePolicy.
func (h hedgePolicy) TryHedge(service string, hedge retry.HedgeCandidate) bool {
	h.retryPolicies.mu.Lock()
	budget := h.retryPolicies.policy(service).Budget
	h.retryPolicies.mu.Unlock()
	return h.hedger.TryHedge(time.Now(), budget, hedge)
}

// sleep waits for a duration or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	ctxtime.Sleep(ctx, d)
}
