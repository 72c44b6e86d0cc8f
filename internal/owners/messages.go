package owners

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/internal/grants"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// find returns a group that this daemon holds. Fallback groups are made on
// demand and only for the daemon itself.
func (d *Manager) find(now time.Time, from, service string, number uint32) (key, *state) {
	k := key{service: service, number: int(number)}
	s := d.groups[k]
	if s == nil && k.number >= grants.FallbackGroup && from == d.self {
		s = d.newState(k, now)
		s.open = true
		d.groups[k] = s
		d.applyTargets(now, k, s)
	}
	return k, s
}

func (d *Manager) reserve(now time.Time, from string, m *peerpb.Reserve) {
	k, s := d.find(now, from, m.Service, m.Group)
	if s == nil {
		d.reply(from, &peerpb.ReserveReply{Id: m.Id, Outcome: peerpb.ReserveOutcome_RESERVE_NOT_OWNER})
		return
	}
	if s.open {
		d.send(k, s, s.group.Reserve(now, request(now, from, m)))
		return
	}
	// A request that finds no room gets no reply, and its entry asks elsewhere.
	if len(s.early) < maxEarly {
		s.early = append(s.early, earlyRequest{from: from, at: now, m: m})
	}
}

func (d *Manager) cancel(now time.Time, m *peerpb.CancelReserve) {
	k, s := d.find(now, "", m.Service, m.Group)
	if s == nil {
		return
	}
	s.early = slices.DeleteFunc(s.early, func(e earlyRequest) bool { return e.m.Id == m.Id })
	d.send(k, s, s.group.Cancel(now, m.Id))
}

func (d *Manager) release(now time.Time, m *peerpb.Release) {
	k, s := d.find(now, "", m.Service, m.Group)
	if s == nil {
		return
	}
	switch {
	case m.Outcome == peerpb.ReleaseOutcome_RELEASE_TARGET_REPLACED && d.onReplaced != nil:
		// At once, so that the next request of the queue does not follow.
		d.setTargetState(now, m.Target, owner.TargetDown)
		d.onReplaced(m.Target)
	case m.Outcome == peerpb.ReleaseOutcome_RELEASE_TARGET_LOST, m.Outcome == peerpb.ReleaseOutcome_RELEASE_TIMEOUT && d.group.CheckStalled:
		d.onLost(m.Target, s.group.InFlight(m.Target))
	}
	if m.Id == "" {
		return
	}
	d.observeTarget(now, s, m)
	d.send(k, s, s.group.Release(now, owner.Report{
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

func (d *Manager) resync(now time.Time, from string, m *peerpb.Resync) {
	k, s := d.find(now, from, m.Service, m.Group)
	if s == nil {
		return
	}
	held := make([]owner.HeldGrant, len(m.Held))
	for i, h := range m.Held {
		held[i] = owner.HeldGrant{Request: request(now, from, h.Reserve), Target: h.Target}
	}
	d.send(k, s, s.group.Resync(now, from, held))
}

func request(now time.Time, from string, m *peerpb.Reserve) owner.Request {
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
		Fingerprint:   m.Fingerprint,
		Prefix:        m.Prefix,
	}
	r.Immediate = m.Immediate
	r.ObjectiveMissed = m.Late
	r.Waited = time.Duration(m.WaitedMs) * time.Millisecond
	r.MaxGap = time.Duration(m.MaxGapMs) * time.Millisecond
	r.EventTokens = int(m.EventTokens)
	if m.ObjectiveMs > 0 {
		r.ObjectiveBy = now.Add(time.Duration(m.ObjectiveMs) * time.Millisecond)
	}
	if m.FirstTokenMs > 0 {
		r.FirstTokenBy = now.Add(time.Duration(m.FirstTokenMs) * time.Millisecond)
	}
	return r
}

// send turns decisions into messages. A grant that cannot be sent is taken back,
// since its entry will reserve again.
func (d *Manager) send(k key, s *state, decisions []owner.Decision) {
	for len(decisions) > 0 {
		var undelivered []string
		for _, decision := range decisions {
			if !d.sendOne(k, s, decision) && decision.Kind == owner.Grant {
				undelivered = append(undelivered, decision.ID)
			}
		}
		decisions = nil
		for _, id := range undelivered {
			decisions = append(decisions, s.group.Cancel(time.Now(), id)...)
		}
	}
}

func (d *Manager) sendOne(k key, s *state, decision owner.Decision) bool {
	if decision.Kind == owner.Preempt {
		m := &peerpb.Envelope{Body: &peerpb.Envelope_Preempt{Preempt: &peerpb.Preempt{Id: decision.ID}}}
		return d.sender.Send(decision.Entry, m) == nil
	}
	return d.reply(decision.Entry, &peerpb.ReserveReply{
		Id:           decision.ID,
		Outcome:      replyOutcomes[decision.Kind],
		Target:       decision.Target,
		CachedTokens: uint32(decision.CachedTokens),
		Reason:       reason(decision),
		RetryAfterMs: uint32(decision.RetryAfter.Milliseconds()),
		Load:         d.load(k, s),
		InFlight:     inFlight(s, decision),
	})
}

var replyOutcomes = map[owner.DecisionKind]peerpb.ReserveOutcome{
	owner.Grant:  peerpb.ReserveOutcome_RESERVE_GRANTED,
	owner.Queued: peerpb.ReserveOutcome_RESERVE_QUEUED,
	owner.Refuse: peerpb.ReserveOutcome_RESERVE_REFUSED,
}

func reason(decision owner.Decision) string {
	if decision.Kind != owner.Refuse {
		return ""
	}
	return decision.Reason.String()
}

// inFlight counts the requests on a granted target.
func inFlight(s *state, decision owner.Decision) uint32 {
	if decision.Kind != owner.Grant {
		return 0
	}
	return uint32(len(s.group.InFlight(decision.Target)))
}

func (d *Manager) reply(to string, reply *peerpb.ReserveReply) bool {
	return d.sender.Send(to, &peerpb.Envelope{Body: &peerpb.Envelope_ReserveReply{ReserveReply: reply}}) == nil
}

func (d *Manager) load(k key, s *state) *peerpb.GroupLoad {
	load := s.group.Load()
	waiting := make([]uint32, len(load.Waiting))
	for i, n := range load.Waiting {
		waiting[i] = uint32(n)
	}
	return &peerpb.GroupLoad{
		Service:           k.service,
		Group:             uint32(k.number),
		FreeSlots:         uint32(max(0, load.FreeSlots)),
		Waiting:           waiting,
		LowestTierPlusOne: uint32(load.LowestTier + 1),
		PredictedWaitMs:   uint32(load.PredictedWait.Milliseconds()),
	}
}
