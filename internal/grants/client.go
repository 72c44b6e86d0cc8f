package grants

import (
	"context"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/avoidance"
	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/internal/replytime"
	"github.com/marjoramflow/marjoramflow/object"
	"github.com/marjoramflow/marjoramflow/overflow"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/topology"
)

const (
	// minReplyTimeout, maxReplyTimeout and firstReplyTimeout bound the wait for any reply of
	// an owner, which follows its observed reply times. The minimum leaves time for a busy
	// processor, and the first wait for a dial and a round trip between regions.
	minReplyTimeout   = 60 * time.Millisecond
	maxReplyTimeout   = 500 * time.Millisecond
	firstReplyTimeout = 200 * time.Millisecond
	// avoidTime is how long the groups of an owner that did not reply in time are asked
	// last. A later reply ends it.
	avoidTime = 500 * time.Millisecond
	// replyBuffer bounds the unread replies to one request: queued, then granted or
	// refused.
	replyBuffer = 4
	// FallbackGroup is the number of the group in which a daemon schedules its own
	// requests when no owner answers. It has the daemon's share of the slots.
	FallbackGroup = 1 << 16
)

// Sender sends messages to daemons without blocking.
type Sender interface {
	Send(to string, m *peerpb.Envelope) error
}

// Topologies provides the groups and targets of each data centre.
type Topologies interface {
	// Local returns the groups of the own data centre.
	Local() *topology.Topology
	// Nearby returns the other data centres of the own region, Far those of
	// other regions, each in order of preference.
	Nearby() []*topology.Topology
	Far() []*topology.Topology
	// Target returns a target of the configuration in force, or nil.
	Target(name string) *object.Target
}

// LinkBudget is the byte budget of the paid link between regions.
type LinkBudget interface {
	// TryCharge charges the bytes of a prompt, and of its answer in the other direction, to
	// the budget and returns true. If the tier may not use that many, it returns false.
	TryCharge(tier, promptBytes, answerBytes int) bool
}

// Config holds the parts of a Client. All but Avoidance and Overflow are required.
type Config struct {
	// Self is the daemon's name.
	Self string
	// Region is the region of the daemon.
	Region     string
	Sender     Sender
	Topologies Topologies
	LinkBudget LinkBudget
	// Avoidance knows the targets that want no requests from this daemon; nil means none.
	Avoidance *avoidance.Set
	// Overflow, if not nil, decides for requests with AskAllGroups which other data centres
	// are asked. Without it, each of them is asked for each request.
	Overflow *Overflow
	// OnUnreachable is called when an owner could not be reached.
	OnUnreachable func(daemon string)
	// OnUnanswered is called when an owner did not reply in the usual time.
	OnUnanswered func(daemon string)
}

// Client asks owners for grants and tracks the grants in use.
type Client struct {
	Config

	mu      sync.Mutex
	pending map[string]*pendingReserve
	held    map[string]*heldGrant
	loads   map[topology.Key]*peerpb.GroupLoad
	// owners are the last known owners of the groups that this daemon has asked.
	owners map[topology.Key]string
	// unansweredAt is the time, by owner, at which a reply was missed; a reply clears it.
	unansweredAt map[string]time.Time
	// askedAt is the time of each ask without a reply so far. An ask outlives its request,
	// so that late replies are observed too.
	askedAt    map[ask]time.Time
	replyTimes *replytime.Estimator
	// planner decides about other data centres; nil without Config.Overflow.
	planner *overflow.Planner
	// resyncTimers holds the timer of each owner for which a later resync is due.
	resyncTimers map[string]*time.Timer
}

// pendingReserve is a request that waits for a reply.
type pendingReserve struct {
	request entry.GrantRequest
	reserve *peerpb.Reserve
	key     topology.Key
	owner   string
	replies chan *peerpb.ReserveReply
	// resend is signalled when the request has to be sent again, because the group has
	// another owner or the session with the owner ended.
	resend chan struct{}
}

// heldGrant is a grant in use.
type heldGrant struct {
	request     entry.GrantRequest
	reserve     *peerpb.Reserve
	key         topology.Key
	owner       string
	target      string
	preempted   chan struct{}
	preemptOnce sync.Once
}

// New returns a Client.
func New(config Config) *Client {
	c := &Client{
		Config:  config,
		pending: make(map[string]*pendingReserve),
		held:    make(map[string]*heldGrant),
		loads:   make(map[topology.Key]*peerpb.GroupLoad),

		owners:       make(map[topology.Key]string),
		resyncTimers: make(map[string]*time.Timer),
		unansweredAt: make(map[string]time.Time),
		askedAt:      make(map[ask]time.Time),
		replyTimes:   replytime.New(replytime.Bounds{Min: minReplyTimeout, Max: maxReplyTimeout, Initial: firstReplyTimeout}),
	}
	if config.Overflow != nil {
		c.planner = overflow.New(config.Overflow.Options)
	}
	return c
}

// Release implements entry.GrantClient.
func (c *Client) Release(grant *entry.Grant, report entry.Report) {
	c.mu.Lock()
	h := c.held[grant.Request.ID]
	delete(c.held, grant.Request.ID)
	c.mu.Unlock()
	if h != nil {
		// A release that could not be sent is repaired by a resync.
		_ = c.sendRelease(h, grant, report)
	}
}

// ReportUnresponsive implements entry.GrantClient. It sends a release without a request ID,
// which asks the owner to check the target.
func (c *Client) ReportUnresponsive(grant *entry.Grant) {
	c.mu.Lock()
	h := c.held[grant.Request.ID]
	c.mu.Unlock()
	if h != nil {
		// Without the message, the target is checked after the next request fails.
		_ = c.send(h.owner, &peerpb.Release{
			Service: h.key.Service,
			Group:   uint32(h.key.Number),
			Target:  h.target,
			Outcome: peerpb.ReleaseOutcome_RELEASE_TIMEOUT,
		})
	}
}

func (c *Client) sendRelease(h *heldGrant, grant *entry.Grant, report entry.Report) error {
	return c.send(h.owner, &peerpb.Release{
		Id:           grant.Request.ID,
		Service:      h.key.Service,
		Group:        uint32(h.key.Number),
		Target:       h.target,
		Outcome:      releaseOutcomes[report.Result],
		PromptTokens: uint32(report.PromptTokens),
		CachedTokens: uint32(report.CachedTokens),
		OutputTokens: uint32(report.OutputTokens),
		FirstTokenUs: uint32(report.FirstToken.Microseconds()),
		DurationUs:   uint32(report.Duration.Microseconds()),
		Version:      grant.Request.Version,
		Lost:         encodeLostAttempt(grant, report),
	})
}

// encodeLostAttempt returns what the owner has to know about an attempt that may have crashed its
// target, and nil for other attempts.
func encodeLostAttempt(grant *entry.Grant, report entry.Report) *peerpb.LostAttempt {
	if len(report.LostParts) == 0 {
		return nil
	}
	return &peerpb.LostAttempt{Fingerprint: grant.Request.Fingerprint, Parts: report.LostParts, Begun: report.Begun}
}

var releaseOutcomes = map[entry.Result]peerpb.ReleaseOutcome{
	entry.ResultDone:       peerpb.ReleaseOutcome_RELEASE_DONE,
	entry.ResultFailed:     peerpb.ReleaseOutcome_RELEASE_FAILED,
	entry.ResultCanceled:   peerpb.ReleaseOutcome_RELEASE_CANCELLED,
	entry.ResultPreempted:  peerpb.ReleaseOutcome_RELEASE_PREEMPTED,
	entry.ResultTargetLost: peerpb.ReleaseOutcome_RELEASE_TARGET_LOST,
	entry.ResultTimeout:    peerpb.ReleaseOutcome_RELEASE_TIMEOUT,

	entry.ResultTargetReplaced: peerpb.ReleaseOutcome_RELEASE_TARGET_REPLACED,
}

// Requeue implements entry.GrantClient: it gives a preempted grant back and waits for
// the next one. The owner keeps the request's place in its queue. If the owner
// cannot be reached or no longer owns the group, the request is reserved anew.
func (c *Client) Requeue(ctx context.Context, grant *entry.Grant, report entry.Report) (*entry.Grant, error) {
	c.mu.Lock()
	h := c.held[grant.Request.ID]
	delete(c.held, grant.Request.ID)
	if h == nil {
		c.mu.Unlock()
		return c.Reserve(ctx, grant.Request)
	}
	p := c.addPending(h.request, h.reserve, h.key, h.owner)
	c.mu.Unlock()
	if c.sendRelease(h, grant, report) != nil {
		c.removePending(p)
		return c.Reserve(ctx, grant.Request)
	}
	reply := c.awaitReply(ctx, p, nil)
	if reply.grant != nil {
		return reply.grant, nil
	}
	if reply.resend {
		return c.Reserve(ctx, grant.Request)
	}
	return nil, reply.refusal
}

// OnMessage handles a message of an owner. It reports whether the message was one of
// the grant protocol.
func (c *Client) OnMessage(from string, m *peerpb.Envelope) bool {
	switch body := m.Body.(type) {
	case *peerpb.Envelope_ReserveReply:
		c.onReply(from, body.ReserveReply)
	case *peerpb.Envelope_Preempt:
		c.onPreempt(body.Preempt.Id)
	default:
		return false
	}
	return true
}

func (c *Client) onReply(from string, reply *peerpb.ReserveReply) {
	c.mu.Lock()
	roundTrip, first := c.observeReply(from, reply.Id)
	c.observeView(from, reply.Load, roundTrip, first)
	p := c.pending[reply.Id]
	if p != nil && p.owner == from {
		c.storeLoad(p.key, reply.Load)
		select {
		case p.replies <- reply:
		default:
		}
		c.mu.Unlock()
		return
	}
	h := c.held[reply.Id]
	c.mu.Unlock()
	switch {
	case reply.Outcome != peerpb.ReserveOutcome_RESERVE_GRANTED:
	case h == nil || h.owner != from:
		c.cancelUnwantedGrant(from, reply)
	case h.target != reply.Target:
		// The owner did not know that the request runs already and granted another
		// target; the resync registers the target in use.
		c.resync(from)
	}
}

// cancelUnwantedGrant cancels a grant for which no request waits any more.
func (c *Client) cancelUnwantedGrant(owner string, reply *peerpb.ReserveReply) {
	if reply.Load == nil {
		return
	}
	_ = c.send(owner, &peerpb.CancelReserve{Id: reply.Id, Service: reply.Load.Service, Group: reply.Load.Group})
}

func (c *Client) storeLoad(key topology.Key, load *peerpb.GroupLoad) {
	if load != nil {
		c.loads[key] = load
	}
}

func (c *Client) onPreempt(id string) {
	c.mu.Lock()
	h := c.held[id]
	c.mu.Unlock()
	if h != nil {
		h.preemptOnce.Do(func() { close(h.preempted) })
	}
}

// send sends a message. If that fails, the message is dropped, and a later resync with
// the daemon makes up for it. A lost reserve is covered by its timeout.
func (c *Client) send(to string, body any) error {
	err := c.Sender.Send(to, envelope(body))
	if err != nil {
		c.resyncLater(to)
	}
	return err
}

func envelope(body any) *peerpb.Envelope {
	switch b := body.(type) {
	case *peerpb.Reserve:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Reserve{Reserve: b}}
	case *peerpb.CancelReserve:
		return &peerpb.Envelope{Body: &peerpb.Envelope_CancelReserve{CancelReserve: b}}
	case *peerpb.Release:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Release{Release: b}}
	case *peerpb.Resync:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Resync{Resync: b}}
	}
	return &peerpb.Envelope{}
}

// InFlight returns the number of requests of this daemon on a target.
func (c *Client) InFlight(target string) int {
	return c.countHeld(func(h *heldGrant) bool { return h.target == target })
}

// RunningInTier returns the number of requests of this daemon in a tier that run.
func (c *Client) RunningInTier(tier int) int {
	return c.countHeld(func(h *heldGrant) bool { return h.request.Tier == tier })
}

func (c *Client) countHeld(match func(*heldGrant) bool) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, h := range c.held {
		if match(h) {
			n++
		}
	}
	return n
}

// WaitingInTier returns the number of requests of this daemon in a tier that wait for
// a grant.
func (c *Client) WaitingInTier(tier int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, p := range c.pending {
		if p.request.Tier == tier {
			n++
		}
	}
	return n
}
