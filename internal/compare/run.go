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
	// stopDelay is the time from a Preempt decision to the victim's release.
	stopDelay = 5 * time.Millisecond
	// askAgainAfter is the wait in a group after which an entry that is refused
	// there asks the other groups again, since their load has changed.
	askAgainAfter = time.Second
)

// epoch is the start of virtual time.
var epoch = time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)

// call is one request on its way through the system.
type call struct {
	arrival
	request owner.Request
	group   int
	// second is the other group chosen for the call, -1 when it was asked.
	second int
	// ladder are the groups still to be asked with preemption allowed.
	ladder    []int
	attempt   *attempt
	engine    *engine
	generated int
	prefilled int
	evicted   int
	useful    int
	firstAt   time.Time
	endedAt   time.Time
	// reservedAt is the time since which the call waits in its group.
	reservedAt time.Time
	waiting    bool
	ended      bool
	onTime     bool
	shed       bool
	preempted  int
	dispatched bool
	// stopping is set while the call is asked to stop for a higher tier.
	stopping bool
}

// simulation is one run.
type simulation struct {
	setup   Setup
	way     Variant
	now     time.Time
	events  eventHeap
	counter int
	engines []*engine
	byName  map[string]*engine
	groups  []Scheduler
	choose  *balancer.GroupChooser
	turn    int
	lengths *estimate.Model
	calls   map[string]*call
	all     []*call
	rng     *rand.Rand
	active  int
	// violations counts calls shed against R2.
	violations int
}

// Run replays the recorded input of a setup through one way. Rate is the number
// of requests per second, see Capacity.
func Run(setup Setup, way Variant, rate float64) Result {
	s := newSimulation(setup, way)
	s.feed(record(setup, rate))
	s.active++
	s.at(setup.Length, func() { s.active-- })
	s.at(0, s.tick)
	s.at(0, s.report)
	s.runUntil(epoch.Add(setup.Length * 3))
	return s.result(rate)
}

// feed schedules the first of the recorded requests; each schedules the next.
func (s *simulation) feed(arrivals []arrival) {
	if len(arrivals) == 0 {
		return
	}
	s.at(arrivals[0].at, func() {
		s.arrive(arrivals[0])
		s.feed(arrivals[1:])
	})
}

// runUntil handles the events up to a time.
func (s *simulation) runUntil(end time.Time) {
	for len(s.events) > 0 && !s.events[0].at.After(end) {
		next := heap.Pop(&s.events).(event)
		s.now = next.at
		next.run()
	}
}

func newSimulation(setup Setup, way Variant) *simulation {
	s := &simulation{
		setup: setup, way: way, now: epoch, engines: setup.engines(), byName: make(map[string]*engine),
		choose: balancer.NewGroupChooser("assistant", setup.Groups, setup.Seed), lengths: estimate.New(),
		calls: make(map[string]*call), rng: rand.New(rand.NewPCG(setup.Seed, 4)),
	}
	infos := make([][]owner.TargetInfo, setup.Groups)
	for _, e := range s.engines {
		s.byName[e.info.Name] = e
		infos[e.group] = append(infos[e.group], e.info)
	}
	for i := range setup.Groups {
		g := way.New("assistant", i)
		g.SetTargets(s.now, infos[i])
		s.groups = append(s.groups, g)
	}
	return s
}

// arrive starts a call at its entry.
func (s *simulation) arrive(a arrival) {
	c := &call{arrival: a, request: a.request, second: -1}
	c.request.OutputTokens = s.lengths.OutputTokens("assistant", a.request.Account, a.maxTokens)
	c.request.Deadline = s.now.Add(s.setup.Deadlines[a.request.Tier])
	if s.setup.FirstToken > 0 {
		c.request.FirstTokenBy = s.now.Add(s.setup.FirstToken)
	}
	s.calls[c.request.ID] = c
	s.all = append(s.all, c)
	s.active++
	s.after(s.setup.Deadlines[a.request.Tier], func() { s.timeout(c) })
	if s.way.ByLoad {
		c.group, c.second = s.choose.Choose(s.now, c.request.Tier, c.request.Prefix)
	} else {
		c.group = s.turn % len(s.groups)
		s.turn++
	}
	s.reserve(c)
}

func (s *simulation) reserve(c *call) {
	c.reservedAt = s.now
	s.choose.RecordSent(c.group)
	s.apply(c.group, s.groups[c.group].Reserve(s.now, c.request))
}

// apply carries out the decisions of a group.
func (s *simulation) apply(group int, decisions []owner.Decision) {
	s.choose.Update(s.now, group, s.groups[group].Load())
	for _, d := range decisions {
		c := s.calls[d.ID]
		if c == nil || c.ended {
			continue
		}
		switch d.Kind {
		case owner.Grant:
			s.dispatch(c, s.byName[d.Target])
		case owner.Queued:
			c.waiting = true
		case owner.Refuse:
			s.refused(c, d.Reason)
		case owner.Preempt:
			stopped := c.attempt
			c.stopping = true
			s.after(stopDelay, func() { s.stop(c, stopped) })
		}
	}
}

func (s *simulation) dispatch(c *call, e *engine) {
	c.waiting = false
	c.engine = e
	c.dispatched = true
	c.attempt = &attempt{
		call:    c,
		prompt:  c.arrival.request.PromptTokens + c.generated,
		output:  c.output - c.generated,
		started: s.now,
	}
	e.given[c.request.Tier] = s.now
	e.submit(c.attempt)
	s.wake(e)
}

// wake starts a step of an idle engine.
func (s *simulation) wake(e *engine) {
	if e.stepEnds.IsZero() && e.begin(s.now) {
		s.at(e.stepEnds.Sub(epoch), func() { s.stepEnd(e) })
	}
}

func (s *simulation) stepEnd(e *engine) {
	complete := e.end(s.now)
	s.deliverEvents(e)
	for _, a := range complete {
		s.complete(a)
	}
	s.wake(e)
}

// deliverEvents passes cache events on late; some are lost.
func (s *simulation) deliverEvents(e *engine) {
	if len(e.events) == 0 {
		return
	}
	var events []prefix.Event
	for _, event := range e.events {
		if s.rng.Float64() >= s.setup.EventLoss {
			events = append(events, event)
		}
	}
	e.events = nil
	s.after(s.setup.CacheDelay, func() { s.groups[e.group].CacheEvents(s.now, e.info.Name, events) })
}

func (s *simulation) complete(a *attempt) {
	c := a.call
	s.leave(c)
	if by := c.request.FirstTokenBy; by.IsZero() || !c.firstAt.After(by) {
		c.useful = a.prefilled
		c.onTime = true
	}
	s.lengths.ObserveOutput("assistant", c.request.Account, c.maxTokens, c.output)
	s.end(c)
	s.release(c, a, owner.OutcomeDone)
}

// generatedNow returns the output tokens so far.
func (c *call) generatedNow() int {
	if c.attempt == nil {
		return c.generated
	}
	return c.generated + c.attempt.generated
}

// leave accounts for the attempt that ends.
func (s *simulation) leave(c *call) {
	a := c.attempt
	c.prefilled += a.prefilled
	if c.firstAt.IsZero() {
		c.firstAt = a.firstAt
	}
	c.attempt = nil
}

func (s *simulation) release(c *call, a *attempt, outcome owner.Outcome) {
	report := owner.Report{
		ID: c.request.ID, Target: c.engine.info.Name, Version: "v1", Outcome: outcome,
		PromptTokens: a.prompt, CachedTokens: a.cached, OutputTokens: a.generated,
		Duration: s.now.Sub(a.started),
	}
	if !a.firstAt.IsZero() {
		report.FirstToken = a.firstAt.Sub(a.started)
	}
	s.apply(c.engine.group, s.groups[c.engine.group].Release(s.now, report))
}

// stop ends an attempt that was preempted; the group queues it again.
func (s *simulation) stop(c *call, a *attempt) {
	if c.ended || c.attempt != a {
		return
	}
	c.engine.remove(a)
	s.leave(c)
	c.generated += a.generated
	c.preempted++
	c.stopping = false
	c.waiting = true
	c.reservedAt = s.now
	s.release(c, a, owner.OutcomePreempted)
}

// timeout ends a call whose caller gives up at the deadline.
func (s *simulation) timeout(c *call) {
	if c.ended {
		return
	}
	s.end(c)
	if generated := c.generatedNow(); generated > c.request.OutputTokens {
		s.lengths.ObserveOutput("assistant", c.request.Account, c.maxTokens, generated)
	}
	if !c.dispatched {
		c.shed = true
		if s.passedOver(c) {
			s.violations++
		}
	}
	if a := c.attempt; a != nil {
		c.engine.remove(a)
		s.leave(c)
		s.release(c, a, owner.OutcomeCanceled)
		return
	}
	s.apply(c.group, s.groups[c.group].Cancel(s.now, c.request.ID))
}

// refused asks the next group, then the groups with lower-tier work with
// preemption allowed, then gives up.
func (s *simulation) refused(c *call, reason owner.Reason) {
	c.waiting = false
	if c.dispatched || !s.way.ByLoad {
		s.shed(c, reason)
		return
	}
	waited := s.now.Sub(c.reservedAt) >= askAgainAfter
	switch {
	case c.second >= 0:
		c.group, c.second = c.second, -1
	case !c.request.MayPreempt || waited:
		c.request.MayPreempt = true
		c.ladder = s.choose.Preemptible(s.now, c.request.Tier)
		fallthrough
	default:
		if len(c.ladder) == 0 {
			s.shed(c, reason)
			return
		}
		c.group, c.ladder = c.ladder[0], c.ladder[1:]
	}
	s.reserve(c)
}

func (s *simulation) shed(c *call, reason owner.Reason) {
	c.shed = reason.Shed()
	if c.shed && s.passedOver(c) {
		s.violations++
	}
	s.end(c)
}

// passedOver reports whether a call is shed against R2: an engine of any group on
// which it could still end in time runs lower-tier work that could make room, or an engine of its own group was given such work while it waited there
// and could have ended in time.
func (s *simulation) passedOver(c *call) bool {
	for _, e := range s.engines {
		best := e.bestTime(c)
		if by := c.request.FirstTokenBy; !by.IsZero() {
			// A start that is late for the first token is late for the answer.
			best = max(best, c.request.Deadline.Sub(by)+e.bestFirstToken(c))
		}
		if e.group == c.group && e.gaveBelow(c, best) {
			return true
		}
		if !s.now.Add(best).After(c.request.Deadline) && e.couldYield(c) {
			return true
		}
	}
	return false
}

func (s *simulation) end(c *call) {
	c.ended = true
	c.endedAt = s.now
	c.waiting = false
	s.active--
}

func (s *simulation) tick() {
	for i, g := range s.groups {
		s.apply(i, g.Tick(s.now))
	}
	if s.active > 0 {
		s.after(tickInterval, s.tick)
	}
}

// report passes the load of the engines on, late.
func (s *simulation) report() {
	for _, e := range s.engines {
		running := len(e.running) + len(e.waiting)
		s.after(s.setup.Staleness, func() { s.groups[e.group].ReportLoad(e.info.Name, running) })
	}
	if s.active > 0 {
		s.after(reportInterval, s.report)
	}
}

func (s *simulation) after(d time.Duration, run func()) {
	s.at(s.now.Sub(epoch)+d, run)
}

func (s *simulation) at(d time.Duration, run func()) {
	s.counter++
	heap.Push(&s.events, event{at: epoch.Add(d), number: s.counter, run: run})
}
