package grants

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
	"github.com/marjoramflow/marjoramflow/topology"
)

// choice is one group to ask.
type choice struct {
	key     topology.Key
	owner   string
	preempt bool
	// immediate asks for a grant now or a refusal.
	immediate bool
}

// answer is the result of asking one group. Exactly one field is set.
type answer struct {
	grant   *entry.Grant
	refusal *entry.Refusal
	// moved: the group has another owner now.
	moved bool
	// silent: the owner did not answer in time.
	silent bool
	// leaving names a granted target that this daemon knows to be leaving or gone;
	// the owner has not heard of it yet.
	leaving string
}

// maxMoves bounds how often a request follows a group to its next owner.
const maxMoves = 4

// Reserve implements entry.Grants. It asks the groups of the own data centre,
// then those that could preempt lower-tier work, then other data centres of the
// region, then other regions within the byte budget. When no owner answered, it
// schedules the request in the daemon's own share.
func (c *Client) Reserve(ctx context.Context, need entry.GrantRequest) (*entry.Grant, error) {
	if need.AskAllGroups {
		if grant := c.reserveNow(ctx, &need); grant != nil {
			return grant, nil
		}
		if ctx.Err() != nil {
			return nil, expired()
		}
		return c.reserveWaiting(ctx, &need)
	}
	refusal := noTarget()
	anyAnswer := false
	for stage := range stageCount {
		for _, pick := range c.choices(stage, &need) {
			result := c.ask(ctx, &need, pick)
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
		}
	}
	if anyAnswer || !c.localTargets(&need) {
		return nil, refusal
	}
	return c.reserveOwn(ctx, &need)
}

// Stages of a reservation, in order.
const (
	stageLocal = iota
	stagePreempt
	stageNearby
	stageFar
	stageCount
)

// choices returns the groups to ask in one stage.
func (c *Client) choices(stage int, need *entry.GrantRequest) []choice {
	switch stage {
	case stageLocal:
		return c.localChoices(need)
	case stagePreempt:
		return c.preemptChoices(need)
	case stageNearby:
		return c.remoteChoices(c.Topologies.Nearby(), need)
	}
	return c.farChoices(need)
}

// Sizes on the link: the prompt as text, and each token of the answer in its own
// event.
const (
	bytesPerPromptToken = 4
	bytesPerEvent       = 250
)

// farChoices returns groups of other regions, when there are any and the byte
// budget of the link allows it.
func (c *Client) farChoices(need *entry.GrantRequest) []choice {
	choices := c.remoteChoices(c.Topologies.Far(), need)
	if len(choices) == 0 {
		return nil
	}
	if !c.LinkBudget.Take(need.Tier, need.PromptTokens*bytesPerPromptToken, need.OutputTokens*bytesPerEvent) {
		return nil
	}
	return choices
}

// localChoices returns at most two groups: the one that likely holds the prefix
// and the one with the lowest known load. A service with one group may preempt
// at once, since no other group could have room.
func (c *Client) localChoices(need *entry.GrantRequest) []choice {
	groups := usable(c.Topologies.Local().Groups(need.Service), need)
	if len(groups) == 0 {
		return nil
	}
	if len(groups) == 1 {
		return []choice{{key: groups[0].Key, owner: groups[0].Owner, preempt: true}}
	}
	near := groups[c.affine(groups, need)]
	least := c.leastLoaded(groups)
	if c.score(near) > c.score(least)+affinityMargin {
		near, least = least, near
	}
	out := []choice{{key: near.Key, owner: near.Owner}}
	if least != near {
		out = append(out, choice{key: least.Key, owner: least.Owner})
	}
	return out
}

// affinityMargin is how much longer a request waits for the group that likely
// holds its prefix; about the prefill time of a long prompt.
const affinityMargin = 200 * time.Millisecond

// affine returns the group that requests with the same first block share.
func (c *Client) affine(groups []*topology.Group, need *entry.GrantRequest) int {
	key := need.ID
	if len(need.Prefix) > 0 {
		key = hexKey(need.Prefix[0])
	}
	names := make([]string, len(groups))
	position := make(map[string]int, len(groups))
	for i, g := range groups {
		names[i] = hexKey(uint64(g.Number))
		position[names[i]] = i
	}
	return position[rendezvous.Owner(key, names)]
}

func hexKey(v uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	return string(b[:])
}

func (c *Client) leastLoaded(groups []*topology.Group) *topology.Group {
	best := groups[0]
	for _, g := range groups[1:] {
		if c.score(g) < c.score(best) {
			best = g
		}
	}
	return best
}

// score is the last known wait of a group; an unknown group counts as idle.
func (c *Client) score(g *topology.Group) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	load := c.loads[g.Key]
	if load == nil {
		return 0
	}
	wait := time.Duration(load.PredictedWaitMs) * time.Millisecond
	if load.FreeSlots == 0 {
		wait += time.Millisecond
	}
	return wait
}

// preemptChoices returns the groups that last reported work of a lower tier.
func (c *Client) preemptChoices(need *entry.GrantRequest) []choice {
	groups := usable(c.Topologies.Local().Groups(need.Service), need)
	if len(groups) < 2 {
		return nil
	}
	var out []choice
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range groups {
		load := c.loads[g.Key]
		if load == nil || int(load.LowestTierPlusOne) > need.Tier+1 {
			out = append(out, choice{key: g.Key, owner: g.Owner, preempt: true})
		}
	}
	return out
}

func (c *Client) remoteChoices(places []*topology.Topology, need *entry.GrantRequest) []choice {
	var out []choice
	for _, place := range places {
		groups := usable(place.Groups(need.Service), need)
		if len(groups) == 0 {
			continue
		}
		g := groups[c.affine(groups, need)]
		out = append(out, choice{key: g.Key, owner: g.Owner, preempt: true})
	}
	return out
}

// usable returns the groups with an owner and a target that may run the request.
func usable(groups []*topology.Group, need *entry.GrantRequest) []*topology.Group {
	out := make([]*topology.Group, 0, len(groups))
	for _, g := range groups {
		if g.Owner != "" && g.Serves(need.Version, need.Exclude) {
			out = append(out, g)
		}
	}
	return out
}

func (c *Client) localTargets(need *entry.GrantRequest) bool {
	for _, g := range c.Topologies.Local().Groups(need.Service) {
		if g.Serves(need.Version, need.Exclude) {
			return true
		}
	}
	return false
}

// ask reserves at one group and follows it to its next owner.
func (c *Client) ask(ctx context.Context, need *entry.GrantRequest, pick choice) answer {
	for range maxMoves {
		if len(need.Exclude) > 0 && !c.servesElsewhere(need, pick) {
			return answer{refusal: noTarget()}
		}
		result := c.askOwner(ctx, need, pick)
		if result.leaving != "" && ctx.Err() == nil {
			need.Exclude = append(slices.Clone(need.Exclude), result.leaving)
			continue
		}
		if !result.moved || ctx.Err() != nil {
			return result
		}
		group := groupIn(c.allPlaces(), pick.key)
		if group == nil || group.Owner == "" {
			return answer{silent: true}
		}
		pick.owner = group.Owner
	}
	return answer{silent: true}
}

// servesElsewhere says whether the group has a target that is not excluded. The
// fallback group has all targets of the data centre.
func (c *Client) servesElsewhere(need *entry.GrantRequest, pick choice) bool {
	if pick.key.Number >= FallbackGroup {
		return c.localTargets(need)
	}
	group := groupIn(c.allPlaces(), pick.key)
	return group == nil || group.Serves(need.Version, need.Exclude)
}

func (c *Client) allPlaces() []*topology.Topology {
	places := []*topology.Topology{c.Topologies.Local()}
	places = append(places, c.Topologies.Nearby()...)
	return append(places, c.Topologies.Far()...)
}

func (c *Client) askOwner(ctx context.Context, need *entry.GrantRequest, pick choice) answer {
	reserve := encode(need, pick)
	c.mu.Lock()
	w := c.addWait(*need, reserve, pick.key, pick.owner)
	c.noteOwner(pick)
	c.mu.Unlock()
	if err := c.Sender.Send(pick.owner, envelope(reserve)); err != nil {
		c.removeWait(w)
		c.OnUnreachable(pick.owner)
		return answer{silent: true}
	}
	timer := time.NewTimer(replyTimeout)
	defer timer.Stop()
	return c.await(ctx, w, timer.C)
}

// addWait registers a request; the caller holds the lock.
func (c *Client) addWait(need entry.GrantRequest, reserve *peerpb.Reserve, key topology.Key, owner string) *wait {
	w := &wait{
		need:    need,
		reserve: reserve,
		key:     key,
		owner:   owner,
		replies: make(chan *peerpb.ReserveReply, replyBuffer),
		moved:   make(chan struct{}, 1),
	}
	c.waiting[reserve.Id] = w
	return w
}

func (c *Client) removeWait(w *wait) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waiting[w.reserve.Id] == w {
		delete(c.waiting, w.reserve.Id)
	}
}

// await waits for the final reply. A first reply stops the timer.
func (c *Client) await(ctx context.Context, w *wait, timer <-chan time.Time) answer {
	defer c.removeWait(w)
	for {
		select {
		case reply := <-w.replies:
			timer = nil
			if result, final := c.take(w, reply); final {
				return result
			}
		case <-w.moved:
			c.cancel(w)
			return answer{moved: true}
		case <-timer:
			c.cancel(w)
			c.OnUnreachable(w.owner)
			return answer{silent: true}
		case <-ctx.Done():
			c.cancel(w)
			return answer{refusal: expired()}
		}
	}
}

// cancel withdraws a request. A grant that is already on its way is given back
// by onReply.
func (c *Client) cancel(w *wait) {
	c.removeWait(w)
	_ = c.send(w.owner, &peerpb.CancelReserve{Id: w.reserve.Id, Service: w.key.Service, Group: uint32(w.key.Number)})
}

// take handles one reply and says whether it is the final one.
func (c *Client) take(w *wait, reply *peerpb.ReserveReply) (answer, bool) {
	switch reply.Outcome {
	case peerpb.ReserveOutcome_RESERVE_QUEUED:
		return answer{}, false
	case peerpb.ReserveOutcome_RESERVE_NOT_OWNER:
		return answer{moved: true}, true
	case peerpb.ReserveOutcome_RESERVE_GRANTED:
		return c.accept(w, reply), true
	}
	return answer{refusal: refused(reply)}, true
}

// accept turns a granted reply into a grant.
func (c *Client) accept(w *wait, reply *peerpb.ReserveReply) answer {
	target := c.Topologies.Target(reply.Target)
	if target == nil || target.Leaving {
		c.cancel(w)
		return answer{leaving: reply.Target}
	}
	h := &held{need: w.need, reserve: w.reserve, key: w.key, owner: w.owner, target: reply.Target, preempted: make(chan struct{})}
	c.mu.Lock()
	delete(c.waiting, w.reserve.Id)
	c.held[w.reserve.Id] = h
	c.mu.Unlock()
	return answer{grant: &entry.Grant{
		Request:      w.need,
		Target:       *target,
		CachedTokens: int(reply.CachedTokens),
		InFlight:     int(reply.InFlight),
		At:           time.Now(),
		Preempted:    h.preempted,
	}}
}

// noTargetRetryAfter is the hint to callers while no target is known to be up. Targets
// that are down are probed several times a second.
const noTargetRetryAfter = 500 * time.Millisecond

func noTarget() *entry.Refusal {
	r := entry.Refuse(http.StatusServiceUnavailable, entry.CodeNoTarget, "no target can run this request")
	r.RetryAfter = noTargetRetryAfter
	return r
}

// expiredRetryAfter is the hint to callers whose request waited in vain.
const expiredRetryAfter = 2 * time.Second

func expired() *entry.Refusal {
	r := entry.Refuse(http.StatusServiceUnavailable, entry.CodeDeadline, "the request waited for a target until it was too late")
	r.RetryAfter = expiredRetryAfter
	return r
}

func orExpired(r *entry.Refusal) *entry.Refusal {
	if r == nil {
		return noTarget()
	}
	return r
}

// codes maps the reasons of owners to codes for callers.
var codes = map[string]entry.Code{
	owner.ReasonExpired.String():  entry.CodeDeadline,
	owner.ReasonDeadline.String(): entry.CodeLate,
	owner.ReasonNoTarget.String(): entry.CodeNoTarget,
	owner.ReasonTooLarge.String(): entry.CodeTooLarge,
}

func refused(reply *peerpb.ReserveReply) *entry.Refusal {
	code, ok := codes[reply.Reason]
	if !ok {
		code = entry.CodeOverloaded
	}
	r := entry.Refuse(http.StatusServiceUnavailable, code, "the request was refused: "+reply.Reason)
	r.RetryAfter = time.Duration(reply.RetryAfterMs) * time.Millisecond
	return r
}
