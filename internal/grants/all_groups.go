package grants

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/topology"
)

// reserveImmediate asks one group after the other for an immediate grant of a target
// that serves the request in time, the own data centre first. It leaves out owners that did
// not reply in time. It returns nil if there is no such target.
func (c *Client) reserveImmediate(ctx context.Context, request *entry.GrantRequest) *entry.Grant {
	for _, stage := range []int{stageLocal, stageNearby, stageFar} {
		replying, _ := c.splitUnanswered(c.choices(stage, request))
		for _, pick := range replying {
			pick.immediate = true
			result := c.askGroup(ctx, request, pick)
			if result.grant != nil || ctx.Err() != nil {
				return result.grant
			}
		}
	}
	return nil
}

// Penalties that are added to the expected wait of groups in other data centres: a
// group there is preferred only if it saves more waiting time than this.
const (
	nearbyPenalty = 10 * time.Millisecond
	farPenalty    = 100 * time.Millisecond
)

// reserveQueued queues the request in the group with the shortest expected wait,
// then in the next one. When no owner answers, it uses the daemon's own share of the
// slots.
func (c *Client) reserveQueued(ctx context.Context, request *entry.GrantRequest) (*entry.Grant, error) {
	refusal := noTargetRefusal()
	answered := false
	for _, pick := range c.groupsByWait(request) {
		result := c.askWithRechecks(ctx, request, pick)
		if result.grant != nil {
			return result.grant, nil
		}
		if ctx.Err() != nil {
			return nil, expiredRefusal()
		}
		if result.refusal != nil {
			answered = true
			refusal = result.refusal
		}
		if answered && objectivePassed(request) {
			return nil, refusal
		}
	}
	if answered || !c.hasLocalTarget(request) {
		return nil, refusal
	}
	return c.reserveFallback(ctx, request)
}

// objectivePassed reports whether a request with an objective has missed it. Such a
// request has meanwhile looked for a free target in all data centres, and a later retry
// is better for its caller than waiting in one more queue.
func objectivePassed(request *entry.GrantRequest) bool {
	return !request.ObjectiveBy.IsZero() && time.Now().After(request.ObjectiveBy)
}

// maxGroupWait is how long a request waits in one group before it looks for a free
// target in the other groups again. It is short compared with objectives, which are
// 300 ms and more.
const maxGroupWait = 120 * time.Millisecond

// errGroupWaitOver is the cancellation cause when maxGroupWait in one group is over.
var errGroupWaitOver = errors.New("the time to wait in this group is over")

// askWithRechecks waits in a group for at most maxGroupWait, then looks for an immediate
// grant in any other group, then waits in the group with the shortest expected wait, and
// so on. The request does not lose its place, since queues order requests by the time at
// which they first arrived.
func (c *Client) askWithRechecks(ctx context.Context, request *entry.GrantRequest, pick groupChoice) askResult {
	for {
		groupCtx, cancel := context.WithTimeoutCause(ctx, maxGroupWait, errGroupWaitOver)
		result := c.askGroup(groupCtx, request, pick)
		waitOver := result.grant == nil && groupCtx.Err() != nil && ctx.Err() == nil
		cancel()
		if !waitOver {
			return result
		}
		if grant := c.reserveImmediate(ctx, request); grant != nil {
			return askResult{grant: grant}
		}
		if ctx.Err() != nil {
			return askResult{refusal: expiredRefusal()}
		}
		if others := c.groupsByWait(request); len(others) > 0 {
			pick = others[0]
		}
	}
}

// reserveFallback schedules a request in the daemon's own share of the slots.
func (c *Client) reserveFallback(ctx context.Context, request *entry.GrantRequest) (*entry.Grant, error) {
	own := groupChoice{key: topology.Key{Service: request.Service, Number: FallbackGroup}, owner: c.Self, preempt: true}
	result := c.askGroup(ctx, request, own)
	if result.grant == nil {
		return nil, orNoTarget(result.refusal)
	}
	return result.grant, nil
}

// groupsByWait returns all usable groups in order of their expected wait plus the
// penalty for their distance, those whose owners did not reply in time last.
func (c *Client) groupsByWait(request *entry.GrantRequest) []groupChoice {
	type groupWait struct {
		groupChoice
		wait time.Duration
	}
	var waits []groupWait
	add := func(topologies []*topology.Topology, penalty time.Duration) {
		for _, t := range topologies {
			for _, g := range usableGroups(t.Groups(request.Service), request) {
				waits = append(waits, groupWait{groupChoice{key: g.Key, owner: g.Owner, preempt: true}, c.expectedWait(g) + penalty})
			}
		}
	}
	add([]*topology.Topology{c.Topologies.Local()}, 0)
	add(c.Topologies.Nearby(), nearbyPenalty)
	add(c.Topologies.Far(), farPenalty)
	slices.SortStableFunc(waits, func(a, b groupWait) int { return cmp.Compare(a.wait, b.wait) })
	out := make([]groupChoice, len(waits))
	for i, w := range waits {
		out[i] = w.groupChoice
	}
	replying, unanswered := c.splitUnanswered(out)
	return append(replying, unanswered...)
}
