package grants

import (
	"cmp"
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/rendezvous"
	"github.com/marjoramflow/marjoramflow/topology"
)

// groupChoice is one group to ask, and how.
type groupChoice struct {
	key     topology.Key
	owner   string
	preempt bool
	// immediate asks the owner to grant at once or to refuse, without queueing.
	immediate bool
	// remote marks a request that leaves its data centre by the decision of package
	// overflow. The owner serves it after local work of its tier.
	remote bool
}

// askResult is the result of asking one group. Exactly one field is set.
type askResult struct {
	grant   *entry.Grant
	refusal *entry.Refusal
	// resend reports that the request has to be sent again, to the current owner of the
	// group.
	resend bool
	// unanswered reports that the group has no owner that can be reached and answers in
	// time.
	unanswered bool
	// leavingTarget names a granted target that the configuration of this daemon marks as
	// leaving or no longer contains, so that the owner does not have that configuration yet, or
	// that wants no requests from this daemon.
	leavingTarget string
}

// maxAsksPerGroup bounds how often a request is sent to one group. It is sent again when
// the owner changed or granted a target that is leaving.
const maxAsksPerGroup = 4

// Reserve implements entry.GrantClient. It asks the groups of the own data centre,
// then those that could preempt lower-tier work, then other data centres of the
// region, then other regions within the byte budget. When no owner answered, it
// schedules the request in the daemon's own share of the slots. With AskAllGroups, it
// first looks for an immediate grant in all data centres and then queues the request
// in the group with the shortest expected wait; with Config.Overflow, that decides which other
// data centres are asked. It excludes the targets that want no requests
// from this daemon.
func (c *Client) Reserve(ctx context.Context, request entry.GrantRequest) (*entry.Grant, error) {
	if request.Regions.None() {
		return nil, noTargetRefusal()
	}
	avoided := c.avoidedTargets(request.Service)
	if len(avoided) > 0 {
		request.Exclude = append(slices.Clone(request.Exclude), avoided...)
	}
	grant, err := c.reserve(ctx, request)
	var refusal *entry.Refusal
	if errors.As(err, &refusal) && refusal.Code == entry.CodeNoTarget && len(avoided) > 0 {
		refusal.RetryAfter = cmp.Or(c.Avoidance.NextUse(time.Now(), request.Service), refusal.RetryAfter)
	}
	return grant, err
}

// maxAvoided bounds the avoided targets that a message to an owner lists. A grant on a
// further one is given back.
const maxAvoided = 64

// avoidedTargets returns targets of a service that want no requests from this daemon.
func (c *Client) avoidedTargets(service string) []string {
	if c.Avoidance == nil {
		return nil
	}
	return c.Avoidance.Names(time.Now(), service, maxAvoided, c.Topologies.Target)
}

// reserve is Reserve for a request that excludes the avoided targets.
func (c *Client) reserve(ctx context.Context, request entry.GrantRequest) (*entry.Grant, error) {
	if request.AskAllGroups && c.planner != nil {
		return c.reserveOverflow(ctx, &request)
	}
	if request.AskAllGroups {
		if grant := c.reserveImmediate(ctx, &request); grant != nil {
			return grant, nil
		}
		if ctx.Err() != nil {
			return nil, expiredRefusal()
		}
		return c.reserveQueued(ctx, &request)
	}
	refusal := noTargetRefusal()
	answered := false
	for stage := range stageCount {
		for _, pick := range c.choices(stage, &request) {
			result := c.askGroup(ctx, &request, pick)
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
		}
	}
	if answered || !c.hasLocalTarget(&request) {
		return nil, refusal
	}
	return c.reserveFallback(ctx, &request)
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
func (c *Client) choices(stage int, request *entry.GrantRequest) []groupChoice {
	switch stage {
	case stageLocal:
		return c.localChoices(request)
	case stagePreempt:
		return c.preemptChoices(request)
	case stageNearby:
		return c.remoteChoices(c.Topologies.Nearby(), request)
	}
	return c.farChoices(request)
}

// Estimated sizes on the link: the prompt is sent as text, and each token of the answer
// in its own event.
const (
	bytesPerPromptToken = 4
	bytesPerEvent       = 250
)

// farChoices returns groups of other regions, when there are any and the byte
// budget of the link allows it. A request that may not be served in the own region is not
// bound by the budget, since it has no other choice.
func (c *Client) farChoices(request *entry.GrantRequest) []groupChoice {
	choices := c.remoteChoices(c.Topologies.Far(), request)
	if len(choices) == 0 || !request.Regions.Allows(c.Region) {
		return choices
	}
	if !c.LinkBudget.TryCharge(request.Tier, request.PromptTokens*bytesPerPromptToken, request.OutputTokens*bytesPerEvent) {
		return nil
	}
	return choices
}

// localChoices returns at most two groups: the one that likely holds the prefix
// and the one with the lowest known load. A service with one group may preempt
// at once, since no other group could have room.
func (c *Client) localChoices(request *entry.GrantRequest) []groupChoice {
	groups := usableGroups(c.Topologies.Local().Groups(request.Service), request)
	if len(groups) == 0 {
		return nil
	}
	if len(groups) == 1 {
		return []groupChoice{{key: groups[0].Key, owner: groups[0].Owner, preempt: true}}
	}
	affine := groups[c.affinityGroup(groups, request)]
	leastLoaded := c.leastLoaded(groups)
	if c.expectedWait(affine) > c.expectedWait(leastLoaded)+affinityMargin {
		affine, leastLoaded = leastLoaded, affine
	}
	out := []groupChoice{{key: affine.Key, owner: affine.Owner}}
	if leastLoaded != affine {
		out = append(out, groupChoice{key: leastLoaded.Key, owner: leastLoaded.Owner})
	}
	return out
}

// affinityMargin is how much longer the expected wait at the group that likely holds
// the prefix may be. It is about the prefill time of a long prompt.
const affinityMargin = 200 * time.Millisecond

// affinityGroup returns the index of the group that all requests with the same first
// prefix block share, by rendezvous hashing.
func (c *Client) affinityGroup(groups []*topology.Group, request *entry.GrantRequest) int {
	key := request.ID
	if len(request.Prefix) > 0 {
		key = byteKey(request.Prefix[0])
	}
	names := make([]string, len(groups))
	position := make(map[string]int, len(groups))
	for i, g := range groups {
		names[i] = byteKey(uint64(g.Number))
		position[names[i]] = i
	}
	return position[rendezvous.Owner(key, names)]
}

// byteKey returns the 8 bytes of v, in little-endian order, as a string.
func byteKey(v uint64) string {
	var b [8]byte
	for i := range b {
		b[i] = byte(v >> (8 * i))
	}
	return string(b[:])
}

func (c *Client) leastLoaded(groups []*topology.Group) *topology.Group {
	best := groups[0]
	for _, g := range groups[1:] {
		if c.expectedWait(g) < c.expectedWait(best) {
			best = g
		}
	}
	return best
}

// expectedWait returns the predicted wait that a group reported last, plus 1 ms if it
// has no free slot. It returns 0 for a group without a reported load.
func (c *Client) expectedWait(g *topology.Group) time.Duration {
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

// preemptChoices returns the groups to ask with preemption: those that last reported
// work of a lower tier, and those without a reported load.
func (c *Client) preemptChoices(request *entry.GrantRequest) []groupChoice {
	groups := usableGroups(c.Topologies.Local().Groups(request.Service), request)
	if len(groups) < 2 {
		return nil
	}
	var out []groupChoice
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range groups {
		load := c.loads[g.Key]
		if load == nil || int(load.LowestTierPlusOne) > request.Tier+1 {
			out = append(out, groupChoice{key: g.Key, owner: g.Owner, preempt: true})
		}
	}
	return out
}

// remoteChoices returns one group of each data centre, the one that likely holds the
// prefix.
func (c *Client) remoteChoices(topologies []*topology.Topology, request *entry.GrantRequest) []groupChoice {
	var out []groupChoice
	for _, remote := range topologies {
		groups := usableGroups(remote.Groups(request.Service), request)
		if len(groups) == 0 {
			continue
		}
		g := groups[c.affinityGroup(groups, request)]
		out = append(out, groupChoice{key: g.Key, owner: g.Owner, preempt: true})
	}
	return out
}

// usableGroups returns the groups with an owner and a target that may run the request.
func usableGroups(groups []*topology.Group, request *entry.GrantRequest) []*topology.Group {
	out := make([]*topology.Group, 0, len(groups))
	for _, g := range groups {
		if g.Owner != "" && g.Serves(request.Version, request.Exclude, request.Regions) {
			out = append(out, g)
		}
	}
	return out
}

// hasLocalTarget reports whether the own data centre has a target that may run the
// request.
func (c *Client) hasLocalTarget(request *entry.GrantRequest) bool {
	for _, g := range c.Topologies.Local().Groups(request.Service) {
		if g.Serves(request.Version, request.Exclude, request.Regions) {
			return true
		}
	}
	return false
}

// askGroup reserves at one group, and again when the group gets another owner. A granted
// target that is leaving is excluded from request, and the group is asked again.
func (c *Client) askGroup(ctx context.Context, request *entry.GrantRequest, pick groupChoice) askResult {
	for range maxAsksPerGroup {
		if len(request.Exclude) > 0 && !c.hasUsableTarget(request, pick) {
			return askResult{refusal: noTargetRefusal()}
		}
		result := c.askOwner(ctx, request, pick)
		if result.leavingTarget != "" && ctx.Err() == nil {
			request.Exclude = append(slices.Clone(request.Exclude), result.leavingTarget)
			continue
		}
		if !result.resend || ctx.Err() != nil {
			return result
		}
		group := findGroup(c.allTopologies(), pick.key)
		if group == nil || group.Owner == "" {
			return askResult{unanswered: true}
		}
		pick.owner = group.Owner
	}
	return askResult{unanswered: true}
}

// hasUsableTarget reports whether the group has a target that is not excluded. The
// fallback group has all targets of the data centre.
func (c *Client) hasUsableTarget(request *entry.GrantRequest, pick groupChoice) bool {
	if pick.key.Number >= FallbackGroup {
		return c.hasLocalTarget(request)
	}
	group := findGroup(c.allTopologies(), pick.key)
	return group == nil || group.Serves(request.Version, request.Exclude, request.Regions)
}

func (c *Client) allTopologies() []*topology.Topology {
	all := []*topology.Topology{c.Topologies.Local()}
	all = append(all, c.Topologies.Nearby()...)
	return append(all, c.Topologies.Far()...)
}

// askOwner sends one reserve to the owner of a group and waits for the result.
func (c *Client) askOwner(ctx context.Context, request *entry.GrantRequest, pick groupChoice) askResult {
	reserve := encodeReserve(request, pick)
	askedAt := time.Now()
	c.mu.Lock()
	p := c.addPending(*request, reserve, pick.key, pick.owner)
	c.recordOwner(pick)
	c.recordAsk(ask{id: reserve.Id, owner: pick.owner})
	c.mu.Unlock()
	if err := c.Sender.Send(pick.owner, envelope(reserve)); err != nil {
		c.removePending(p)
		c.OnUnreachable(pick.owner)
		c.observeTimeout(pick.key, askedAt)
		return askResult{unanswered: true}
	}
	timer := time.NewTimer(c.replyTimes.Bound(pick.owner))
	defer timer.Stop()
	result := c.awaitReply(ctx, p, timer.C)
	if result.unanswered {
		c.observeTimeout(pick.key, askedAt)
	}
	return result
}

// addPending registers a request that waits for replies. The caller holds the lock.
func (c *Client) addPending(request entry.GrantRequest, reserve *peerpb.Reserve, key topology.Key, owner string) *pendingReserve {
	p := &pendingReserve{
		request: request,
		reserve: reserve,
		key:     key,
		owner:   owner,
		replies: make(chan *peerpb.ReserveReply, replyBuffer),
		resend:  make(chan struct{}, 1),
	}
	c.pending[reserve.Id] = p
	return p
}

func (c *Client) removePending(p *pendingReserve) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[p.reserve.Id] == p {
		delete(c.pending, p.reserve.Id)
	}
}

// awaitReply waits for the final reply to a request. The timer bounds the wait for the
// first reply only. In every other case than a final reply, the request is cancelled.
func (c *Client) awaitReply(ctx context.Context, p *pendingReserve, timer <-chan time.Time) askResult {
	defer c.removePending(p)
	for {
		select {
		case reply := <-p.replies:
			timer = nil
			if result, final := c.handleReply(p, reply); final {
				return result
			}
		case <-p.resend:
			c.cancel(p)
			return askResult{resend: true}
		case <-timer:
			c.cancel(p)
			c.recordUnanswered(p.owner)
			return askResult{unanswered: true}
		case <-ctx.Done():
			c.cancel(p)
			return askResult{refusal: expiredRefusal()}
		}
	}
}

// cancel withdraws a request. A grant that is already in transit is cancelled by
// onReply when it arrives.
func (c *Client) cancel(p *pendingReserve) {
	c.removePending(p)
	_ = c.send(p.owner, &peerpb.CancelReserve{Id: p.reserve.Id, Service: p.key.Service, Group: uint32(p.key.Number)})
}

// handleReply handles one reply and reports whether it is the final one.
func (c *Client) handleReply(p *pendingReserve, reply *peerpb.ReserveReply) (askResult, bool) {
	switch reply.Outcome {
	case peerpb.ReserveOutcome_RESERVE_QUEUED:
		return askResult{}, false
	case peerpb.ReserveOutcome_RESERVE_NOT_OWNER:
		return askResult{resend: true}, true
	case peerpb.ReserveOutcome_RESERVE_GRANTED:
		return c.acceptGrant(p, reply), true
	}
	return askResult{refusal: refusalOf(reply)}, true
}

// acceptGrant registers a granted request and returns its grant. If the target takes no
// new requests, is no longer configured or is avoided, it cancels the grant and returns the name of the target.
func (c *Client) acceptGrant(p *pendingReserve, reply *peerpb.ReserveReply) askResult {
	target := c.Topologies.Target(reply.Target)
	if target == nil || !target.TakesRequests() || !p.request.Regions.Allows(target.Region) || (c.Avoidance != nil && c.Avoidance.Avoids(time.Now(), target)) {
		c.cancel(p)
		return askResult{leavingTarget: reply.Target}
	}
	h := &heldGrant{request: p.request, reserve: p.reserve, key: p.key, owner: p.owner, target: reply.Target, preempted: make(chan struct{})}
	c.mu.Lock()
	delete(c.pending, p.reserve.Id)
	c.held[p.reserve.Id] = h
	c.mu.Unlock()
	return askResult{grant: &entry.Grant{
		Request:      p.request,
		Target:       *target,
		CachedTokens: int(reply.CachedTokens),
		InFlight:     int(reply.InFlight),
		GrantedAt:    time.Now(),
		Preempted:    h.preempted,
	}}
}

// noTargetRetryAfter is the Retry-After hint to callers while no target is known to be
// up. Targets that are down are probed several times a second.
const noTargetRetryAfter = 500 * time.Millisecond

func noTargetRefusal() *entry.Refusal {
	r := entry.Refuse(http.StatusServiceUnavailable, entry.CodeNoTarget, "no target can run this request")
	r.RetryAfter = noTargetRetryAfter
	return r
}

// expiredRetryAfter is the Retry-After hint to callers whose request got no target
// before its deadline.
const expiredRetryAfter = 2 * time.Second

func expiredRefusal() *entry.Refusal {
	r := entry.Refuse(http.StatusServiceUnavailable, entry.CodeDeadline, "the request waited for a target until it was too late")
	r.RetryAfter = expiredRetryAfter
	return r
}

func orNoTarget(r *entry.Refusal) *entry.Refusal {
	if r == nil {
		return noTargetRefusal()
	}
	return r
}

// codeByReason maps the refusal reasons of owners to the error codes for callers.
var codeByReason = map[string]entry.Code{
	owner.ReasonExpired.String():  entry.CodeDeadline,
	owner.ReasonDeadline.String(): entry.CodeTooLate,
	owner.ReasonNoTarget.String(): entry.CodeNoTarget,
	owner.ReasonTooLarge.String(): entry.CodeTooLarge,
}

func refusalOf(reply *peerpb.ReserveReply) *entry.Refusal {
	code, ok := codeByReason[reply.Reason]
	if !ok {
		code = entry.CodeOverloaded
	}
	r := entry.Refuse(http.StatusServiceUnavailable, code, "the request was refused: "+reply.Reason)
	r.RetryAfter = time.Duration(reply.RetryAfterMs) * time.Millisecond
	return r
}
