package owners

import (
	"time"

	"github.com/marjoramflow/marjoramflow/blocklist"
	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
	"github.com/marjoramflow/marjoramflow/residency"
)

// findGroup returns a group that this daemon holds, or nil. Fallback groups are
// created on demand, and only for messages from the daemon itself.
func (mgr *Manager) findGroup(now time.Time, from, service string, number uint32) (groupKey, *groupState) {
	k := groupKey{service: service, number: int(number)}
	s := mgr.groups[k]
	if s == nil && k.number >= grants.FallbackGroup && from == mgr.self {
		s = mgr.newGroupState(k, now)
		s.takenOver = true
		mgr.groups[k] = s
		mgr.applyTargets(now, k, s)
	}
	return k, s
}

func (mgr *Manager) reserve(now time.Time, from string, m *peerpb.Reserve) {
	k, s := mgr.findGroup(now, from, m.Service, m.Group)
	if s == nil {
		mgr.sendReply(from, &peerpb.ReserveReply{Id: m.Id, Outcome: peerpb.ReserveOutcome_RESERVE_NOT_OWNER})
		return
	}
	mgr.resumeIdleFallback(now, k, s)
	mgr.sendDecisions(k, s, s.group.Reserve(now, decodeRequest(now, from, m)))
}

func (mgr *Manager) cancel(now time.Time, m *peerpb.CancelReserve) {
	k, s := mgr.findGroup(now, "", m.Service, m.Group)
	if s == nil {
		return
	}
	mgr.sendDecisions(k, s, s.group.Cancel(now, m.Id))
}

func (mgr *Manager) release(now time.Time, m *peerpb.Release) {
	k, s := mgr.findGroup(now, "", m.Service, m.Group)
	if s == nil {
		return
	}
	switch {
	case m.Outcome == peerpb.ReleaseOutcome_RELEASE_TARGET_REPLACED && mgr.onReplaced != nil:
		// The target is taken out of use at once, so that it does not get the next
		// request of the queue.
		mgr.setTargetState(now, m.Target, owner.TargetDown)
		mgr.onReplaced(m.Target)
	case m.Outcome == peerpb.ReleaseOutcome_RELEASE_TARGET_LOST, m.Outcome == peerpb.ReleaseOutcome_RELEASE_TIMEOUT && mgr.groupOptions.CheckOnTimeout:
		mgr.onConnectionLost(m.Target, s.group.InFlight(m.Target))
	}
	if m.Lost != nil && mgr.onAttemptLost != nil {
		mgr.onAttemptLost(m.Target, blocklist.Attempt{Fingerprint: m.Lost.Fingerprint, Parts: m.Lost.Parts, Begun: m.Lost.Begun})
	}
	if m.Id == "" {
		return
	}
	mgr.observeTarget(now, s, m)
	mgr.sendDecisions(k, s, s.group.Release(now, owner.Report{
		ID:           m.Id,
		Target:       m.Target,
		Version:      m.Version,
		Outcome:      owner.Outcome(m.Outcome),
		PromptTokens: int(m.PromptTokens),
		CachedTokens: int(m.CachedTokens),
		OutputTokens: int(m.OutputTokens),
		FirstToken:   time.Duration(m.FirstTokenUs) * time.Microsecond,
		Duration:     time.Duration(m.DurationUs) * time.Microsecond,
	}))
}

func (mgr *Manager) resync(now time.Time, from string, m *peerpb.Resync) {
	k, s := mgr.findGroup(now, from, m.Service, m.Group)
	if s == nil {
		return
	}
	held := make([]owner.HeldGrant, len(m.Held))
	for i, h := range m.Held {
		held[i] = owner.HeldGrant{Request: decodeRequest(now, from, h.Reserve), Target: h.Target}
	}
	mgr.sendDecisions(k, s, s.group.Resync(now, from, held))
}

func decodeRequest(now time.Time, from string, m *peerpb.Reserve) owner.Request {
	r := owner.Request{
		ID:            m.Id,
		Entry:         from,
		Service:       m.Service,
		Version:       m.Version,
		Account:       m.Account,
		Target:        m.Target,
		Exclude:       m.Exclude,
		Tier:          int(m.Tier),
		PromptTokens:  int(m.PromptTokens),
		OutputTokens:  int(m.OutputTokens),
		Deadline:      now.Add(time.Duration(m.RemainingMs) * time.Millisecond),
		FinalDeadline: now.Add(time.Duration(m.FinalMs) * time.Millisecond),
		Accepted:      m.Accepted,
		Preemptible:   m.Preemptible,
		Suspect:       m.Suspect,
		Plain:         m.Plain,
		MayPreempt:    m.Preempt,
		Remote:        m.Remote,
		Fingerprint:   m.Fingerprint,
		Prefix:        m.Prefix,
	}
	r.Immediate = m.Immediate
	r.WaitedElsewhere = time.Duration(m.WaitedMs) * time.Millisecond
	r.MaxGap = time.Duration(m.MaxGapMs) * time.Millisecond
	r.EventTokens = int(m.EventTokens)
	r.Regions = residency.Permit(m.AllowedRegions)
	if m.ObjectiveMs > 0 {
		r.ObjectiveBy = now.Add(time.Duration(m.ObjectiveMs) * time.Millisecond)
	}
	if m.FirstTokenMs > 0 {
		r.FirstTokenBy = now.Add(time.Duration(m.FirstTokenMs) * time.Millisecond)
	}
	return r
}

// sendDecisions sends decisions to their entries. A grant that cannot be sent is
// cancelled, since its entry will reserve again.
func (mgr *Manager) sendDecisions(k groupKey, s *groupState, decisions []owner.Decision) {
	for len(decisions) > 0 {
		var undelivered []string
		for _, decision := range decisions {
			if !mgr.sendDecision(k, s, decision) && decision.Kind == owner.Grant {
				undelivered = append(undelivered, decision.ID)
			}
		}
		decisions = nil
		for _, id := range undelivered {
			decisions = append(decisions, s.group.Cancel(time.Now(), id)...)
		}
	}
}

// sendDecision sends one decision and reports whether it was sent.
func (mgr *Manager) sendDecision(k groupKey, s *groupState, decision owner.Decision) bool {
	if decision.Kind == owner.Preempt {
		m := &peerpb.Envelope{Body: &peerpb.Envelope_Preempt{Preempt: &peerpb.Preempt{Id: decision.ID}}}
		return mgr.sender.Send(decision.Entry, m) == nil
	}
	if decision.ColdDelayed {
		mgr.cold.delayedGrants.Add(1)
	}
	return mgr.sendReply(decision.Entry, &peerpb.ReserveReply{
		Id:           decision.ID,
		Outcome:      replyOutcomes[decision.Kind],
		Target:       decision.Target,
		CachedTokens: uint32(decision.CachedTokens),
		Reason:       refusalReason(decision),
		RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
		Load:         mgr.groupLoad(k, s),
		InFlight:     inFlightOnTarget(s, decision),
	})
}

var replyOutcomes = map[owner.DecisionKind]peerpb.ReserveOutcome{
	owner.Grant:  peerpb.ReserveOutcome_RESERVE_GRANTED,
	owner.Queued: peerpb.ReserveOutcome_RESERVE_QUEUED,
	owner.Refuse: peerpb.ReserveOutcome_RESERVE_REFUSED,
}

func refusalReason(decision owner.Decision) string {
	if decision.Kind != owner.Refuse {
		return ""
	}
	return decision.Reason.String()
}

// inFlightOnTarget counts the requests on the target of a grant; it returns 0 for
// other decisions.
func inFlightOnTarget(s *groupState, decision owner.Decision) uint32 {
	if decision.Kind != owner.Grant {
		return 0
	}
	return uint32(len(s.group.InFlight(decision.Target)))
}

func (mgr *Manager) sendReply(to string, reply *peerpb.ReserveReply) bool {
	return mgr.sender.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: reply}}) == nil
}

// groupLoad returns the load of a group, with its place and its turnover if the manager
// reports them.
func (mgr *Manager) groupLoad(k groupKey, s *groupState) *peerpb.GroupLoad {
	load := s.group.Load()
	waiting := make([]uint32, len(load.Waiting))
	for i, n := range load.Waiting {
		waiting[i] = uint32(n)
	}
	m := &peerpb.GroupLoad{
		Service:           k.service,
		Group:             uint32(k.number),
		FreeSlots:         uint32(max(0, load.FreeSlots)),
		Waiting:           waiting,
		LowestTierPlusOne: uint32(load.LowestTier + 1),
		PredictedWaitMs:   uint32(load.PredictedWait.Milliseconds()),
	}
	if mgr.dataCentre != "" {
		turnover := s.group.Turnover(time.Now())
		m.DataCentre = mgr.dataCentre
		m.Slots = uint32(max(0, turnover.Slots))
		m.GrantsPerSecond = uint32(turnover.Grants)
		m.RemoteGrantsPerSecond = uint32(turnover.RemoteGrants)
	}
	return m
}
