package grants

import (
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/overflow"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/topology"
)

// Overflow configures the decision about other data centres.
type Overflow struct {
	Options overflow.Options
	// Entries returns the number of live daemons that may send work to a data centre.
	Entries func() int
	// RefundLink returns to the byte budget of the link what LinkBudget.TryCharge charged
	// for a request that was not granted. Nil means that charges are kept.
	RefundLink func(tier, promptBytes, answerBytes int)
	// OnLink is called when another data centre is left out because its owners do not
	// answer, and when one answers again. It must neither block nor call the Client. Nil
	// means that nothing is called.
	OnLink func(dataCentre string, answers bool)
}

// reportLink calls OnLink.
func (o *Overflow) reportLink(dataCentre string, answers bool) {
	if o.OnLink != nil {
		o.OnLink(dataCentre, answers)
	}
}

// OverflowStats returns figures for the metrics; the zero value without Config.Overflow.
func (c *Client) OverflowStats() overflow.Stats {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner == nil {
		return overflow.Stats{}
	}
	return c.planner.Stats(time.Now())
}

// updatePlanner tells the planner the entries and drops the views of groups that no longer
// exist.
func (c *Client) updatePlanner() {
	if c.planner == nil {
		return
	}
	entries := c.Overflow.Entries()
	topologies := c.allTopologies()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.planner.SetSenders(entries)
	c.planner.Forget(func(key topology.Key) bool { return findGroup(topologies, key) != nil })
}

// observeView records the load in a reply of the current owner of a group, also when no
// request waits for the reply any more. roundTrip is known for the first reply to an ask.
// The caller holds the lock.
func (c *Client) observeView(from string, load *peerpb.GroupLoad, roundTrip time.Duration, first bool) {
	if c.planner == nil || load == nil || load.DataCentre == "" || load.Group >= FallbackGroup {
		return
	}
	key := topology.Key{DataCentre: load.DataCentre, Service: load.Service, Number: int(load.Group)}
	if c.owners[key] != from {
		return
	}
	now := time.Now()
	c.planner.Observe(now, key, viewOf(load))
	if first && c.planner.ObserveReply(now, load.DataCentre, roundTrip) {
		c.Overflow.reportLink(load.DataCentre, true)
	}
}

// viewOf returns what the planner uses of a load.
func viewOf(load *peerpb.GroupLoad) overflow.Load {
	waiting := make([]int, len(load.Waiting))
	for i, n := range load.Waiting {
		waiting[i] = int(n)
	}
	return overflow.Load{
		FreeSlots:     int(load.FreeSlots),
		Slots:         int(load.Slots),
		Waiting:       waiting,
		LowestTier:    int(load.LowestTierPlusOne) - 1,
		PredictedWait: time.Duration(load.PredictedWaitMs) * time.Millisecond,
		Grants:        int(load.GrantsPerSecond),
		RemoteGrants:  int(load.RemoteGrantsPerSecond),
	}
}

// observeTimeout records an ask of another data centre that was not answered in time.
func (c *Client) observeTimeout(key topology.Key, askedAt time.Time) {
	if c.planner == nil || key.Number >= FallbackGroup || key.DataCentre == c.Topologies.Local().DataCentre {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.planner.ObserveTimeout(time.Now(), key.DataCentre, askedAt) {
		c.Overflow.reportLink(key.DataCentre, false)
	}
}

// overflowRequest describes a request to the planner. Groups whose owners did not reply in
// time are left out.
func (c *Client) overflowRequest(request *entry.GrantRequest) *overflow.Request {
	r := &overflow.Request{
		Service:     request.Service,
		Tier:        request.Tier,
		PromptBytes: request.PromptTokens * bytesPerPromptToken,
		AnswerBytes: request.OutputTokens * bytesPerEvent,
		Unbudgeted:  !request.Regions.Allows(c.Region),
		LateAt:      lateAt(request),
		Local:       c.planGroups(c.Topologies.Local(), request),
	}
	add := func(topologies []*topology.Topology, far bool) {
		for _, t := range topologies {
			if keys := c.planGroups(t, request); len(keys) > 0 {
				r.Elsewhere = append(r.Elsewhere, overflow.Place{DataCentre: t.DataCentre, Far: far, Groups: keys})
			}
		}
	}
	add(c.Topologies.Nearby(), false)
	add(c.Topologies.Far(), true)
	return r
}

// lateAt returns the time of the objective of a request, or of its deadline if it has no
// objective or has missed it.
func lateAt(request *entry.GrantRequest) time.Time {
	if request.ObjectiveBy.IsZero() || objectivePassed(request) {
		return request.Deadline
	}
	return request.ObjectiveBy
}

// planGroups returns the usable groups of a data centre whose owners reply, the one that
// likely holds the prefix first.
func (c *Client) planGroups(t *topology.Topology, request *entry.GrantRequest) []topology.Key {
	groups := usableGroups(t.Groups(request.Service), request)
	if len(groups) == 0 {
		return nil
	}
	affine := c.affinityGroup(groups, request)
	groups[0], groups[affine] = groups[affine], groups[0]
	keys := make([]topology.Key, 0, len(groups))
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, g := range groups {
		if !c.isUnanswered(g.Owner) {
			keys = append(keys, g.Key)
		}
	}
	return keys
}

// takeChoice returns the first of some choices that the rate toward its data centre and the
// byte budget allow, or nil.
func (c *Client) takeChoice(r *overflow.Request, tier int, choices ...overflow.Choice) *overflow.Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, choice := range choices {
		if !c.planner.Take(time.Now(), choice) {
			continue
		}
		if choice.Far && !r.Unbudgeted && !c.LinkBudget.TryCharge(tier, r.PromptBytes, r.AnswerBytes) {
			c.planner.BudgetRefused()
			continue
		}
		return &choice
	}
	return nil
}

// finishChoice records the result of a choice that takeChoice returned, and returns the
// charge of a request that did not leave.
func (c *Client) finishChoice(r *overflow.Request, tier int, choice *overflow.Choice, granted bool) {
	c.mu.Lock()
	c.planner.ObserveResult(r, *choice, granted)
	c.mu.Unlock()
	if choice.Far && !granted && !r.Unbudgeted && c.Overflow.RefundLink != nil {
		c.Overflow.RefundLink(tier, r.PromptBytes, r.AnswerBytes)
	}
}
