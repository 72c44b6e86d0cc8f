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

// reserveNow asks one group after the other for a target that serves the request
// in time, the own data centre first. It returns nil when there is none.
func (c *Client) reserveNow(ctx context.Context, need *entry.GrantRequest) *entry.Grant {
	for _, stage := range []int{stageLocal, stageNearby, stageFar} {
		for _, pick := range c.choices(stage, need) {
			pick.immediate = true
			result := c.ask(ctx, need, pick)
			if result.grant != nil || ctx.Err() != nil {
				return result.grant
			}
		}
	}
	return nil
}

// Waits that a group elsewhere must save to be worth its distance.
const (
	nearbyCost = 10 * time.Millisecond
	farCost    = 100 * time.Millisecond
)

// reserveWaiting queues the request in the group with the shortest expected wait,
// then in the next one. When no owner answers, it uses the daemon's own share.
func (c *Client) reserveWaiting(ctx context.Context, need *entry.GrantRequest) (*entry.Grant, error) {
	refusal := noTarget()
	anyAnswer := false
	for _, pick := range c.byWait(need) {
		result := c.askTurns(ctx, need, pick)
		if result.grant != nil {
			return result.grant, nil
		}
		if ctx.Err() != nil {
			return nil, expired()
		}
		if result.refusal != nil {
			anyAnswer = true
			refusal = result.refusal
		}
		if anyAnswer && objectivePassed(need) {
			return nil, refusal
		}
	}
	if anyAnswer || !c.localTargets(need) {
		return nil, refusal
	}
	return c.reserveOwn(ctx, need)
}

// objectivePassed says whether a request that could have been in time no longer
// can. It has looked for a free target everywhere meanwhile, and its caller is
// better off coming back than waiting in one more queue.
func objectivePassed(need *entry.GrantRequest) bool {
	return !need.ObjectiveBy.IsZero() && time.Now().After(need.ObjectiveBy)
}

// turnTime is how long a request waits in one group before it looks for a free
// target in the others again. Objectives are 300 ms and more.
const turnTime = 120 * time.Millisecond

// errTurn ends a turn.
var errTurn = errors.New("the turn in this group is over")

// askTurns waits in a group, and looks between turns for a free target in any other
// one. The request keeps its place by the time at which it arrived.
func (c *Client) askTurns(ctx context.Context, need *entry.GrantRequest, pick choice) answer {
	for {
		turn, cancel := context.WithTimeoutCause(ctx, turnTime, errTurn)
		result := c.ask(turn, need, pick)
		over := result.grant == nil && turn.Err() != nil && ctx.Err() == nil
		cancel()
		if !over {
			return result
		}
		if grant := c.reserveNow(ctx, need); grant != nil {
			return answer{grant: grant}
		}
		if ctx.Err() != nil {
			return answer{refusal: expired()}
		}
		if others := c.byWait(need); len(others) > 0 {
			pick = others[0]
		}
	}
}

// reserveOwn schedules a request in the daemon's own share of the slots.
func (c *Client) reserveOwn(ctx context.Context, need *entry.GrantRequest) (*entry.Grant, error) {
	own := choice{key: topology.Key{Service: need.Service, Number: FallbackGroup}, owner: c.Self, preempt: true}
	result := c.ask(ctx, need, own)
	if result.grant == nil {
		return nil, orExpired(result.refusal)
	}
	return result.grant, nil
}

// byWait returns all usable groups in order of their expected wait.
func (c *Client) byWait(need *entry.GrantRequest) []choice {
	type option struct {
		choice
		wait time.Duration
	}
	var options []option
	add := func(places []*topology.Topology, cost time.Duration) {
		for _, place := range places {
			for _, g := range usable(place.Groups(need.Service), need) {
				options = append(options, option{choice{key: g.Key, owner: g.Owner, preempt: true}, c.score(g) + cost})
			}
		}
	}
	add([]*topology.Topology{c.Topologies.Local()}, 0)
	add(c.Topologies.Nearby(), nearbyCost)
	add(c.Topologies.Far(), farCost)
	slices.SortStableFunc(options, func(a, b option) int { return cmp.Compare(a.wait, b.wait) })
	out := make([]choice, len(options))
	for i, o := range options {
		out[i] = o.choice
	}
	return out
}
