package owner

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
	"github.com/marjoramflow/marjoramflow/estimate"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// resyncGrace is the age below which a grant is kept although its entry does not
// list it in a Resync: the entry may have sent the list before the grant arrived.
const resyncGrace = 2 * time.Second

// Group schedules the requests of one target group: it holds the queue, the
// targets and the requests in flight on them. It is not safe for concurrent use.
type Group struct {
	service string
	number  int
	options Options

	targets []*target
	byName  map[string]*target
	jobs    map[string]*job
	byEntry map[string]map[string]*job
	queue   *admission.Queue[*job]
	// pendingPreemptions counts the victims that were asked to stop and still run.
	pendingPreemptions int
	// preemptors are the waiting requests for which work was preempted.
	preemptors []*job
	// grantRate counts recent grants, overload records when requests were shed.
	grantRate grantRate
	// remoteRate counts those of the recent grants that went to other data centres.
	remoteRate grantRate
	overload   overload
	// meanWork is the moving average of the work of granted requests.
	meanWork        time.Duration
	nextSpeedUpdate time.Time
	// scheduled is the time of the last call that returned decisions.
	scheduled time.Time
	// waitRatios correct predicted waits by tier and amount of work: requests of
	// higher tiers that arrive later make lower tiers wait longer than the present
	// queue suggests.
	waitRatios [MaxTier + 1][admission.WorkBuckets]estimate.Ratio

	// decisions holds the decisions of the call in progress.
	decisions []Decision
	// candidates and prefillJobs are buffers reused between calls.
	candidates  candidates
	prefillJobs []*job
}

// NewGroup returns a group without targets.
func NewGroup(service string, number int, opts Options) *Group {
	return &Group{
		service: service,
		number:  number,
		options: opts.withDefaults(),
		byName:  make(map[string]*target),
		jobs:    make(map[string]*job),
		byEntry: make(map[string]map[string]*job),
		queue:   admission.New[*job](),
	}
}

// SetTargets replaces the targets of the group, at most 64. A target that is no
// longer listed gets no new work; its requests in flight stay until they are
// released. New targets start in state TargetUp.
func (g *Group) SetTargets(now time.Time, infos []TargetInfo) []Decision {
	g.targets = g.targets[:0]
	kept := make(map[string]*target, len(infos))
	for i, info := range infos {
		t := g.byName[info.Name]
		if t == nil {
			t = newTarget(info, 0, g.options.PrefixBlocks)
		}
		t.info = info
		t.bit = 1 << i
		g.targets = append(g.targets, t)
		kept[info.Name] = t
	}
	for name, t := range g.byName {
		if kept[name] == nil && len(t.running) > 0 {
			t.bit = 0
			kept[name] = t
		}
	}
	g.byName = kept
	g.nextSpeedUpdate = time.Time{}
	g.reclassifyWaiting(now)
	return g.schedule(now)
}

// SetTargetState changes whether a target gets new work. Waiting requests that
// no target in state TargetUp can run are refused, so that their entries ask
// another group. A target that leaves TargetDown loses its prefix index, since
// it may have been restarted.
func (g *Group) SetTargetState(now time.Time, name string, state TargetState) []Decision {
	t := g.byName[name]
	if t == nil || t.state == state {
		return nil
	}
	if t.state == TargetDown {
		t.prefixIndex.Reset()
	}
	t.state = state
	g.reclassifyWaiting(now)
	return g.schedule(now)
}

// ReportLoad records the number of running requests that a target reported. Only
// pickers that choose by reported load use it.
func (g *Group) ReportLoad(name string, running int) {
	if t := g.byName[name]; t != nil {
		t.reported = running
	}
}

// Cancel removes a request that waits or runs; an unknown id is ignored.
func (g *Group) Cancel(now time.Time, id string) []Decision {
	if j := g.jobs[id]; j != nil {
		g.drop(j)
	}
	return g.schedule(now)
}

// Release ends a grant and corrects the estimates with the report. A preempted
// request goes back into the queue. A report for an unknown request, or for
// another target than the one granted, is ignored.
func (g *Group) Release(now time.Time, report Report) []Decision {
	j := g.jobs[report.ID]
	if j == nil || j.target == nil || (report.Target != "" && report.Target != j.target.info.Name) {
		return g.schedule(now)
	}
	g.observeReport(now, j, report)
	if report.Outcome == OutcomePreempted {
		g.requeue(now, j, report)
	} else {
		g.drop(j)
	}
	return g.schedule(now)
}

// DropEntry removes every request of an entry that no longer exists.
func (g *Group) DropEntry(now time.Time, entry string) []Decision {
	for _, j := range g.byEntry[entry] {
		g.drop(j)
	}
	return g.schedule(now)
}

// Resync registers the grants that an entry holds, after this daemon has become
// the owner or a session was lost. Grants of the entry that are not listed and
// are older than resyncGrace are removed; its waiting requests stay.
func (g *Group) Resync(now time.Time, entry string, grants []HeldGrant) []Decision {
	listed := make(map[string]bool, len(grants))
	for _, grant := range grants {
		listed[grant.Request.ID] = true
		g.adoptGrant(now, entry, grant)
	}
	for id, j := range g.byEntry[entry] {
		if j.target != nil && !listed[id] && now.Sub(j.granted) > resyncGrace {
			g.drop(j)
		}
	}
	g.rearmTimers(now)
	return g.schedule(now)
}

// adoptGrant registers a grant made by an earlier owner. A grant on an unknown
// target is ignored.
func (g *Group) adoptGrant(now time.Time, entry string, grant HeldGrant) {
	t := g.byName[grant.Target]
	old := g.jobs[grant.Request.ID]
	if t == nil || (old != nil && old.target == t) {
		return
	}
	if old != nil {
		g.drop(old)
	}
	grant.Request.Entry = entry
	j := g.newJob(now, grant.Request)
	g.register(j)
	g.placeOn(now, j, t)
}

// CacheEvents applies cache events of a target to its prefix index.
func (g *Group) CacheEvents(now time.Time, name string, events []prefix.Event) {
	t := g.byName[name]
	if t == nil {
		return
	}
	for _, event := range events {
		t.prefixIndex.ApplyEvent(now, event)
	}
}

// Tick refuses waiting requests that have expired, preempts work for those that
// would be late, and grants those that have room. Call it about every 50 ms.
func (g *Group) Tick(now time.Time) []Decision {
	return g.schedule(now)
}

// Load returns the load summary of the group for replies to entries.
func (g *Group) Load() Load {
	load := Load{Waiting: g.queue.Counts(), LowestTier: g.queue.LowestTier()}
	for _, t := range g.targets {
		if t.state == TargetUp {
			load.FreeSlots += t.freeSlots(g.scheduled)
		}
		for tier, list := range slices.Backward(t.victims[:]) {
			if list.count > 0 {
				load.LowestTier = max(load.LowestTier, tier)
				break
			}
		}
	}
	load.PredictedWait = g.timeToServe(g.queue.Work(), g.upMask())
	load.PredictedWait = max(load.PredictedWait, g.coldWait(g.scheduled, g.queue.Len(), g.upMask()))
	return load
}

// Turnover describes how much work a group does.
type Turnover struct {
	// Slots counts the slots of the targets that are up.
	Slots int
	// Grants counts the grants of the last second, RemoteGrants those of them for
	// requests from other data centres.
	Grants, RemoteGrants int
}

// Turnover returns the slots of the group and its grants of the last second.
func (g *Group) Turnover(now time.Time) Turnover {
	turnover := Turnover{Grants: g.grantRate.count(now), RemoteGrants: g.remoteRate.count(now)}
	for _, t := range g.targets {
		if t.state == TargetUp {
			turnover.Slots += t.info.Slots
		}
	}
	return turnover
}

// InFlight returns the requests in flight on a target, in no particular order.
func (g *Group) InFlight(name string) []RunningRequest {
	t := g.byName[name]
	if t == nil {
		return nil
	}
	all := make([]RunningRequest, 0, len(t.running))
	for _, j := range t.running {
		all = append(all, RunningRequest{ID: j.request.ID, Fingerprint: j.request.Fingerprint, Entry: j.request.Entry})
	}
	return all
}

// schedule handles expired timers, grants waiting requests that have room, and
// returns the decisions of the call in progress. The calls that return decisions
// end with it.
func (g *Group) schedule(now time.Time) []Decision {
	g.scheduled = now
	g.replanPrefills(now)
	g.refreshSpeeds(now)
	g.handleTimers(now)
	g.dispatch(now)
	decisions := g.decisions
	g.decisions = nil
	return decisions
}

// addDecision appends d, completed with its kind and the job's ID and entry, to the
// decisions of the call in progress.
func (g *Group) addDecision(kind DecisionKind, j *job, d Decision) {
	d.Kind = kind
	d.ID = j.request.ID
	d.Entry = j.request.Entry
	g.decisions = append(g.decisions, d)
}

func (g *Group) register(j *job) {
	g.jobs[j.request.ID] = j
	entryJobs := g.byEntry[j.request.Entry]
	if entryJobs == nil {
		entryJobs = make(map[string]*job)
		g.byEntry[j.request.Entry] = entryJobs
	}
	entryJobs[j.request.ID] = j
}

// drop removes a job from its target, the queue and the maps.
func (g *Group) drop(j *job) {
	g.leaveTarget(j)
	if j.item.Waiting() {
		g.queue.Remove(&j.item)
	}
	delete(g.jobs, j.request.ID)
	entryJobs := g.byEntry[j.request.Entry]
	delete(entryJobs, j.request.ID)
	if len(entryJobs) == 0 {
		delete(g.byEntry, j.request.Entry)
	}
}

// leaveTarget removes a job from its target, if it is on one.
func (g *Group) leaveTarget(j *job) {
	if j.target == nil {
		return
	}
	if j.beingPreempted {
		g.pendingPreemptions--
	}
	j.target.needsReplan = true
	j.target.remove(j)
}

// refuse removes a job and adds a Refuse decision for its entry.
func (g *Group) refuse(j *job, reason Reason, retryAfter time.Duration) {
	g.addDecision(Refuse, j, Decision{Reason: reason, RetryAfter: retryAfter})
	g.drop(j)
}

// reclassifyWaiting recomputes the classes of the waiting requests after a change
// of the targets and refuses those that no target can run any more.
func (g *Group) reclassifyWaiting(now time.Time) {
	g.queue.Reclassify(func(item *admission.Item[*job]) admission.Class {
		class, _ := g.feasibleClass(now, item.Value)
		return class
	})
	g.refuseWithoutTarget()
	g.rearmTimers(now)
}

// refuseWithoutTarget refuses waiting requests that no target in state TargetUp
// can run.
func (g *Group) refuseWithoutTarget() {
	up := g.upMask()
	g.queue.ForEachMatching(func(class admission.Class) bool { return class.Possible&up == 0 },
		func(item *admission.Item[*job]) { g.refuse(item.Value, ReasonNoTarget, 0) })
}

// upMask returns the targets in state TargetUp.
func (g *Group) upMask() uint64 {
	mask := uint64(0)
	for _, t := range g.targets {
		if t.state == TargetUp {
			mask |= t.bit
		}
	}
	return mask
}

// permittedClass returns the targets that the configuration permits for a request,
// whatever their state.
func (g *Group) permittedClass(r *Request) admission.Class {
	class := admission.Class{Exclusive: r.Suspect, Remote: r.Remote && !r.Accepted}
	for _, t := range g.targets {
		if t.serves(r) {
			class.Suitable |= t.bit
		}
	}
	class.Possible = class.Suitable
	return class
}

func clampTier(tier int) int {
	return max(0, min(tier, MaxTier))
}
