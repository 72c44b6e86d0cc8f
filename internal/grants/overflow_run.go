package grants

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/internal/ctxtime"
	"github.com/marjoramflow/marjoramflow/overflow"
	"github.com/marjoramflow/marjoramflow/topology"
)

// overflowRun reserves a target for one request by the decisions of package overflow.
type overflowRun struct {
	*Client
	request *entry.GrantRequest
	// refusal is the last refusal of the own data centre, or else of another one.
	refusal *entry.Refusal
	// hindered is set when free slots are known that the rate did not allow yet.
	hindered bool
	// rateWait is the next wait of a hindered request; 0 means firstRateWait.
	rateWait time.Duration
}

// reserveOverflow looks for a free target in the own data centre, then where the planner
// expects one, and then waits in the queue with the shortest expected wait. The decision is
// made again every maxGroupWait: asked anew, an owner also refuses early what it can no
// longer serve in time, which keeps its queue short. After a refusal, the data centres are
// asked that may still take the request.
func (c *Client) reserveOverflow(ctx context.Context, request *entry.GrantRequest) (*entry.Grant, error) {
	run := &overflowRun{Client: c, request: request}
	for attempt := 0; ; {
		grant := run.askLocalNow(ctx)
		if grant == nil && ctx.Err() == nil {
			grant = run.askElsewhereNow(ctx)
		}
		if grant != nil {
			return grant, nil
		}
		result, again := run.wait(ctx)
		if result.grant == nil && !again && ctx.Err() == nil {
			result, again = run.askAfterRefusal(ctx)
		}
		switch {
		case result.grant != nil:
			return result.grant, nil
		case ctx.Err() != nil:
			return nil, expiredRefusal()
		case again:
			continue
		case run.refusal != nil:
			return nil, run.refusal
		case c.hasLocalTarget(request):
			return c.reserveFallback(ctx, request)
		}
		attempt++
		grant, err := c.reserveQueued(ctx, request)
		unanswered := err != nil && entry.AsRefusal(err).Code == entry.CodeNoTarget && len(c.groupsByWait(request)) > 0
		if !unanswered || attempt == maxUnanswered {
			return grant, err
		}
		ctxtime.Sleep(ctx, unansweredPause)
	}
}

// A request for which no owner has answered, and whose data centre has no target, is tried
// maxUnanswered times more with a pause in between. Together this is about the time in which
// daemons notice that an owner is dead, and another one takes its groups.
const (
	maxUnanswered   = 20
	unansweredPause = 50 * time.Millisecond
)

// askLocalNow asks groups of the own data centre for an immediate grant.
func (run *overflowRun) askLocalNow(ctx context.Context) *entry.Grant {
	replying, _ := run.splitUnanswered(run.localChoices(run.request))
	for _, pick := range replying {
		pick.immediate = true
		if result := run.askGroup(ctx, run.request, pick); result.grant != nil || ctx.Err() != nil {
			return result.grant
		}
	}
	return nil
}

// askElsewhereNow asks other data centres for an immediate grant where that has hope. The
// plan is made once, so that the number of asks is bounded.
func (run *overflowRun) askElsewhereNow(ctx context.Context) *entry.Grant {
	r := run.overflowRequest(run.request)
	run.mu.Lock()
	choices := run.planner.Immediate(time.Now(), r)
	run.mu.Unlock()
	run.hindered = false
	for _, choice := range choices {
		taken := run.takeChoice(r, run.request.Tier, choice)
		if taken == nil {
			run.hindered = run.hindered || choice.Reason == overflow.ReasonRoom && !choice.Far
			continue
		}
		if result, _ := run.askChoice(ctx, r, taken); result.grant != nil || ctx.Err() != nil {
			return result.grant
		}
	}
	return nil
}

// askChoice asks a group of another data centre. A request that is queued there waits for
// at most maxGroupWait or the usual time of a reply; waitOver reports that this has passed.
func (run *overflowRun) askChoice(ctx context.Context, r *overflow.Request, choice *overflow.Choice) (result askResult, waitOver bool) {
	group := findGroup(run.allTopologies(), choice.Key)
	if group == nil || group.Owner == "" {
		run.finishChoice(r, run.request.Tier, choice, false)
		return askResult{unanswered: true}, false
	}
	pick := groupChoice{key: choice.Key, owner: group.Owner, preempt: true, immediate: choice.Immediate, remote: true}
	limit := time.Duration(0)
	if !choice.Immediate {
		limit = max(maxGroupWait, run.replyTimes.Bound(group.Owner)+time.Millisecond)
	}
	result, waitOver = run.askInTurn(ctx, pick, limit)
	run.finishChoice(r, run.request.Tier, choice, result.grant != nil)
	return result, waitOver
}

// askInTurn asks a group and waits in its queue for at most limit, or without a bound if it
// is 0. waitOver reports that the limit has passed.
func (run *overflowRun) askInTurn(ctx context.Context, pick groupChoice, limit time.Duration) (result askResult, waitOver bool) {
	groupCtx, cancel := ctx, context.CancelFunc(func() {})
	if limit > 0 {
		groupCtx, cancel = context.WithTimeoutCause(ctx, limit, errGroupWaitOver)
	}
	defer cancel()
	result = run.askGroup(groupCtx, run.request, pick)
	return result, result.grant == nil && groupCtx.Err() != nil && ctx.Err() == nil
}

// firstRateWait is how long a request waits in its data centre before it tries again to leave
// for known free slots. The rate allows the next request after about two round trips. The wait
// doubles, since many requests of an entry may compete for few slots.
const firstRateWait = 10 * time.Millisecond

// turn returns how long the request waits in the queue of its data centre before the decision
// is made again.
func (run *overflowRun) turn() time.Duration {
	if !run.hindered {
		return maxGroupWait
	}
	limit := min(cmp.Or(run.rateWait, firstRateWait), maxGroupWait)
	run.rateWait = 2 * limit
	return limit
}

// wait waits in the queue of another data centre if the planner says so, else in those of the
// own one. again reports that the request should look for a free target once more.
func (run *overflowRun) wait(ctx context.Context) (result askResult, again bool) {
	r := run.overflowRequest(run.request)
	if choice := run.queueElsewhere(r); choice != nil {
		result, waitOver := run.askChoice(ctx, r, choice)
		if result.grant != nil || waitOver || ctx.Err() != nil {
			return result, waitOver
		}
		run.keepRefusal(result.refusal)
	}
	limit := run.turn()
	for _, pick := range run.localByWait() {
		result, waitOver := run.askInTurn(ctx, pick, limit)
		if result.grant != nil || waitOver || ctx.Err() != nil {
			return result, waitOver
		}
		if result.refusal != nil {
			run.refusal = result.refusal
		}
		if run.refusal != nil && objectivePassed(run.request) {
			break
		}
	}
	return askResult{}, false
}

// queueElsewhere returns the group of another data centre in which the request should wait,
// or nil.
func (run *overflowRun) queueElsewhere(r *overflow.Request) *overflow.Choice {
	run.mu.Lock()
	choice, leave := run.planner.Queue(time.Now(), r)
	run.mu.Unlock()
	if !leave {
		return nil
	}
	return run.takeChoice(r, run.request.Tier, choice)
}

// keepRefusal records the refusal of another data centre, unless the own one has refused.
func (run *overflowRun) keepRefusal(refusal *entry.Refusal) {
	run.refusal = cmp.Or(run.refusal, refusal)
}

// localByWait returns the usable groups of the own data centre in the order of their expected
// wait, those whose owners did not reply in time last.
func (run *overflowRun) localByWait() []groupChoice {
	groups := usableGroups(run.Topologies.Local().Groups(run.request.Service), run.request)
	slices.SortStableFunc(groups, func(a, b *topology.Group) int { return cmp.Compare(run.expectedWait(a), run.expectedWait(b)) })
	picks := make([]groupChoice, len(groups))
	for i, g := range groups {
		picks[i] = groupChoice{key: g.Key, owner: g.Owner, preempt: true}
	}
	replying, unanswered := run.splitUnanswered(picks)
	return append(replying, unanswered...)
}

// askAfterRefusal asks the other data centres that may take a request that its own one
// refused. Once its objective has passed, only those that serve lower tiers are asked.
func (run *overflowRun) askAfterRefusal(ctx context.Context) (result askResult, again bool) {
	r := run.overflowRequest(run.request)
	run.mu.Lock()
	choices := run.planner.AfterRefusal(time.Now(), r)
	run.mu.Unlock()
	for _, choice := range choices {
		if choice.Reason != overflow.ReasonTier && objectivePassed(run.request) {
			continue
		}
		taken := run.takeChoice(r, run.request.Tier, choice)
		if taken == nil {
			continue
		}
		result, waitOver := run.askChoice(ctx, r, taken)
		if result.grant != nil || waitOver || ctx.Err() != nil {
			return result, waitOver
		}
		run.keepRefusal(result.refusal)
	}
	return askResult{}, false
}
