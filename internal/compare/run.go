package compare

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/prefix"
)

const (
	tickInterval   = 50 * time.Millisecond
	reportInterval = 500 * time.Millisecond
	// stopDelay is the time from a Preempt decision to the release of the preempted
	// request.
	stopDelay = 5 * time.Millisecond
	// preemptionRetryDelay is the time in a group's queue after which a refused call
	// asks the other groups with preemption again, since their load has changed.
	preemptionRetryDelay = time.Second
)

// epoch is the start of virtual time.
var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// call is one request and its state from arrival to end.
type call struct {
	arrival
	request owner.Request
	group   int
	// secondGroup is the second choice of group, -1 once it has been asked.
	secondGroup int
	// preemptionGroups are the groups still to be asked with preemption allowed.
	preemptionGroups []int
	attempt          *attempt
	engine           *engine
	generatedTokens  int // by preempted attempts
	prefilledTokens  int // by ended attempts
	evictedTokens    int // prefilled, then evicted
	usefulTokens     int // prefilled by the attempt that completed the call in time
	firstTokenAt     time.Time
	endedAt          time.Time
	// queuedAt is the time since which the call has waited in its group.
	queuedAt    time.Time
	waiting     bool
	ended       bool
	onTime      bool
	shed        bool
	preemptions int
	dispatched  bool
	// stopping is set from a Preempt decision until the attempt has stopped.
	stopping bool
}

// simulation is the state of one run in virtual time.
type simulation struct {
	setup             Setup
	variant           Variant
	now               time.Time
	events            eventHeap
	lastEventSequence int
	engines           []*engine
	enginesByName     map[string]*engine
	groups            []Scheduler
	chooser           *balancer.GroupChooser
	nextGroup         int
	outputPredictor   *estimate.Model
	callsByID         map[string]*call
	allCalls          []*call
	rng               *rand.Rand
	// activeCount is the number of open calls, plus one while requests may arrive.
	// Periodic events stop at 0.
	activeCount int
	// violations counts the calls that were shed in violation of promise R2.
	violations int
}

// Run replays the recorded input of a setup through one variant. The rate is the
// number of requests per second, usually Setup.Load times Capacity.
func Run(setup Setup, variant Variant, rate float64) Result {
	s := newSimulation(setup, variant)
	s.scheduleArrivals(recordArrivals(setup, rate))
	s.activeCount++
	s.scheduleAt(setup.Duration, func() { s.activeCount-- })
	s.scheduleAt(0, s.tick)
	s.scheduleAt(0, s.reportLoads)
	s.runUntil(epoch.Add(setup.Duration * 3))
	return s.result(rate)
}

// scheduleArrivals schedules the first of the recorded requests; each arrival
// schedules the next.
func (s *simulation) scheduleArrivals(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	s.scheduleAt(arrivals[0].offset, func() {
		s.handleArrival(arrivals[0])
		s.scheduleArrivals(arrivals[1:])
	})
}

// runUntil runs the events up to and including a time.
func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

func newSimulation(setup Setup, variant Variant) *simulation {
	s := &simulation{
		setup: setup, variant: variant, now: epoch, engines: setup.newEngines(), enginesByName: make(map[string]*engine),
		chooser: balancer.NewGroupChooser("assistant", setup.Groups, setup.Seed), outputPredictor: estimate.New(),
		callsByID: make(map[string]*call), rng: rand.New(rand.NewPCG(setup.Seed, 4)),
	}
	infos := make([][]owner.TargetInfo, setup.Groups)
	for _, e := range s.engines {
		s.enginesByName[e.info.Name] = e
		infos[e.group] = append(infos[e.group], e.info)
	}
	for i := range setup.Groups {
		g := variant.NewScheduler("assistant", i)
		g.SetTargets(s.now, infos[i])
		s.groups = append(s.groups, g)
	}
	return s
}

// handleArrival predicts the output of a new request, chooses its group and asks
// for a reservation.
func (s *simulation) handleArrival(a arrival) {
	c := &call{arrival: a, request: a.request, secondGroup: -1}
	c.request.OutputTokens = s.outputPredictor.OutputTokens("assistant", a.request.Account, a.maxTokens)
	c.request.Deadline = s.now.Add(s.setup.Deadlines[a.request.Tier])
	if s.setup.FirstTokenLimit > 0 {
		c.request.FirstTokenBy = s.now.Add(s.setup.FirstTokenLimit)
	}
	s.callsByID[c.request.ID] = c
	s.allCalls = append(s.allCalls, c)
	s.activeCount++
	s.scheduleAfter(s.setup.Deadlines[a.request.Tier], func() { s.handleDeadline(c) })
	if s.variant.ChooseByLoad {
		c.group, c.secondGroup = s.chooser.Choose(s.now, c.request.Tier, c.request.Prefix)
	} else {
		c.group = s.nextGroup % len(s.groups)
		s.nextGroup++
	}
	s.reserve(c)
}

// reserve asks the call's group for a reservation.
func (s *simulation) reserve(c *call) {
	c.queuedAt = s.now
	s.chooser.RecordSent(c.group)
	s.applyDecisions(c.group, s.groups[c.group].Reserve(s.now, c.request))
}

// applyDecisions carries out the decisions of a group.
func (s *simulation) applyDecisions(group int, decisions []owner.Decision) {
	s.chooser.Update(s.now, group, s.groups[group].Load())
	for _, d := range decisions {
		c := s.callsByID[d.ID]
		if c == nil || c.ended {
			continue
		}
		switch d.Kind {
		case owner.Grant:
			s.dispatch(c, s.enginesByName[d.Target])
		case owner.Queued:
			c.waiting = true
		case owner.Refuse:
			s.handleRefusal(c, d.Reason)
		case owner.Preempt:
			stopped := c.attempt
			c.stopping = true
			s.scheduleAfter(stopDelay, func() { s.finishPreemption(c, stopped) })
		}
	}
}

// dispatch starts an attempt of a call on an engine.
func (s *simulation) dispatch(c *call, e *engine) {
	c.waiting = false
	c.engine = e
	c.dispatched = true
	c.attempt = &attempt{
		call:         c,
		promptTokens: c.arrival.request.PromptTokens + c.generatedTokens,
		outputTokens: c.outputTokens - c.generatedTokens,
		startedAt:    s.now,
	}
	e.lastDispatch[c.request.Tier] = s.now
	e.submit(c.attempt)
	s.startIfIdle(e)
}

// startIfIdle starts a step if the engine is idle and has attempts.
func (s *simulation) startIfIdle(e *engine) {
	if e.stepEndsAt.IsZero() && e.startStep(s.now) {
		s.scheduleAt(e.stepEndsAt.Sub(epoch), func() { s.finishStep(e) })
	}
}

// finishStep ends a step of an engine and starts the next.
func (s *simulation) finishStep(e *engine) {
	complete := e.finishStep(s.now)
	s.deliverEvents(e)
	for _, a := range complete {
		s.completeCall(a)
	}
	s.startIfIdle(e)
}

// deliverEvents sends the cache events of an engine to its group after
// CacheEventDelay. A share of CacheEventLoss is lost.
func (s *simulation) deliverEvents(e *engine) {
	if len(e.cacheEvents) == 0 {
		return
	}
	var events []prefix.Event
	for _, event := range e.cacheEvents {
		if s.rng.Float64() >= s.setup.CacheEventLoss {
			events = append(events, event)
		}
	}
	e.cacheEvents = nil
	s.scheduleAfter(s.setup.CacheEventDelay, func() { s.groups[e.group].CacheEvents(s.now, e.info.Name, events) })
}

// completeCall ends the call of an attempt that generated all its output.
func (s *simulation) completeCall(a *attempt) {
	c := a.call
	s.closeAttempt(c)
	if firstTokenBy := c.request.FirstTokenBy; firstTokenBy.IsZero() || !c.firstTokenAt.After(firstTokenBy) {
		c.usefulTokens = a.prefilledTokens
		c.onTime = true
	}
	s.outputPredictor.ObserveOutput("assistant", c.request.Account, c.maxTokens, c.outputTokens)
	s.endCall(c)
	s.releaseGrant(c, a, owner.OutcomeDone)
}

// totalGenerated returns the output tokens of all attempts so far.
func (c *call) totalGenerated() int {
	if c.attempt == nil {
		return c.generatedTokens
	}
	return c.generatedTokens + c.attempt.generatedTokens
}

// closeAttempt adds the figures of the current attempt to the call and detaches it.
func (s *simulation) closeAttempt(c *call) {
	a := c.attempt
	c.prefilledTokens += a.prefilledTokens
	if c.firstTokenAt.IsZero() {
		c.firstTokenAt = a.firstTokenAt
	}
	c.attempt = nil
}

// releaseGrant reports the end of an attempt to the group of its engine.
func (s *simulation) releaseGrant(c *call, a *attempt, outcome owner.Outcome) {
	report := owner.Report{
		ID: c.request.ID, Target: c.engine.info.Name, Version: "v1", Outcome: outcome,
		PromptTokens: a.promptTokens, CachedTokens: a.cachedTokens, OutputTokens: a.generatedTokens,
		Duration: s.now.Sub(a.startedAt),
	}
	if !a.firstTokenAt.IsZero() {
		report.FirstToken = a.firstTokenAt.Sub(a.startedAt)
	}
	s.applyDecisions(c.engine.group, s.groups[c.engine.group].Release(s.now, report))
}

// finishPreemption ends an attempt that was preempted; the group queues the call
// again. It does nothing if the attempt has ended meanwhile.
func (s *simulation) finishPreemption(c *call, a *attempt) {
	if c.ended || c.attempt != a {
		return
	}
	c.engine.remove(a)
	s.closeAttempt(c)
	c.generatedTokens += a.generatedTokens
	c.preemptions++
	c.stopping = false
	c.waiting = true
	c.queuedAt = s.now
	s.releaseGrant(c, a, owner.OutcomePreempted)
}

// handleDeadline cancels a call that has not ended by its deadline.
func (s *simulation) handleDeadline(c *call) {
	if c.ended {
		return
	}
	s.endCall(c)
	if generated := c.totalGenerated(); generated > c.request.OutputTokens {
		s.outputPredictor.ObserveOutput("assistant", c.request.Account, c.maxTokens, generated)
	}
	if !c.dispatched {
		c.shed = true
		if s.violatesR2(c) {
			s.violations++
		}
	}
	if a := c.attempt; a != nil {
		c.engine.remove(a)
		s.closeAttempt(c)
		s.releaseGrant(c, a, owner.OutcomeCanceled)
		return
	}
	s.applyDecisions(c.group, s.groups[c.group].Cancel(s.now, c.request.ID))
}

// handleRefusal asks the second group, then the groups that run lower-tier work with
// preemption allowed. The call is shed when all have refused, when it was dispatched
// before, or when the variant does not choose groups by load.
func (s *simulation) handleRefusal(c *call, reason owner.Reason) {
	c.waiting = false
	if c.dispatched || !s.variant.ChooseByLoad {
		s.shedCall(c, reason)
		return
	}
	waited := s.now.Sub(c.queuedAt) >= preemptionRetryDelay
	switch {
	case c.secondGroup >= 0:
		c.group, c.secondGroup = c.secondGroup, -1
	case !c.request.MayPreempt || waited:
		c.request.MayPreempt = true
		c.preemptionGroups = s.chooser.Preemptible(s.now, c.request.Tier)
		fallthrough
	default:
		if len(c.preemptionGroups) == 0 {
			s.shedCall(c, reason)
			return
		}
		c.group, c.preemptionGroups = c.preemptionGroups[0], c.preemptionGroups[1:]
	}
	s.reserve(c)
}

// shedCall ends a call that no group accepts. It counts as shed if reason.Shed
// reports true.
func (s *simulation) shedCall(c *call, reason owner.Reason) {
	c.shed = reason.Shed()
	if c.shed && s.violatesR2(c) {
		s.violations++
	}
	s.endCall(c)
}

// violatesR2 reports whether shedding a call violates R2: preempting the lower-tier
// work on an engine of any group would let the call still end in time there, or an
// engine of its own group was given lower-tier work while the call waited there and
// could have ended in time.
func (s *simulation) violatesR2(c *call) bool {
	for _, e := range s.engines {
		minTime := e.minServiceTime(c)
		if firstTokenBy := c.request.FirstTokenBy; !firstTokenBy.IsZero() {
			// A call that would miss its first-token bound counts as late for its
			// deadline, too.
			minTime = max(minTime, c.request.Deadline.Sub(firstTokenBy)+e.minFirstTokenTime(c))
		}
		if e.group == c.group && e.dispatchedLowerTier(c, minTime) {
			return true
		}
		if !s.now.Add(minTime).After(c.request.Deadline) && e.canPreemptFor(c) {
			return true
		}
	}
	return false
}

func (s *simulation) endCall(c *call) {
	c.ended = true
	c.endedAt = s.now
	c.waiting = false
	s.activeCount--
}

// tick ticks all groups, periodically while calls are open.
func (s *simulation) tick() {
	for i, g := range s.groups {
		s.applyDecisions(i, g.Tick(s.now))
	}
	if s.activeCount > 0 {
		s.scheduleAfter(tickInterval, s.tick)
	}
}

// reportLoads reports the load of the engines to their groups after
// LoadReportDelay, periodically while calls are open.
func (s *simulation) reportLoads() {
	for _, e := range s.engines {
		running := len(e.running) + len(e.waiting)
		s.scheduleAfter(s.setup.LoadReportDelay, func() { s.groups[e.group].ReportLoad(e.info.Name, running) })
	}
	if s.activeCount > 0 {
		s.scheduleAfter(reportInterval, s.reportLoads)
	}
}

// scheduleAfter schedules run at a duration from now.
func (s *simulation) scheduleAfter(d time.Duration, run func()) {
	s.scheduleAt(s.now.Sub(epoch)+d, run)
}

// scheduleAt schedules run at a duration from the epoch.
func (s *simulation) scheduleAt(d time.Duration, run func()) {
	s.lastEventSequence++
	heap.Push(&s.events, event{at: epoch.Add(d), sequence: s.lastEventSequence, run: run})
}
