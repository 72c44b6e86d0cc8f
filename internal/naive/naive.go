package naive

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// Group is the naive version of owner.Group. It is not safe for concurrent use.
type Group struct {
	targets    []*target
	byName     map[string]*target
	queue      []owner.Request
	grants     map[string]grant
	nextTarget int
}

type target struct {
	info            owner.TargetInfo
	state           owner.TargetState
	runningRequests int
}

type grant struct {
	request owner.Request
	target  *target
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{byName: make(map[string]*target), grants: make(map[string]grant)}
}

// SetTargets replaces the targets.
func (g *Group) SetTargets(_ time.Time, infos []owner.TargetInfo) []owner.Decision {
	kept := make(map[string]*target, len(infos))
	g.targets = g.targets[:0]
	for _, info := range infos {
		t := g.byName[info.Name]
		if t == nil {
			t = &target{}
		}
		t.info = info
		kept[info.Name] = t
		g.targets = append(g.targets, t)
	}
	g.byName = kept
	return g.dispatch(nil)
}

// SetTargetState sets the state of a target. Only targets in state TargetUp get
// requests.
func (g *Group) SetTargetState(_ time.Time, name string, state owner.TargetState) []owner.Decision {
	if t := g.byName[name]; t != nil {
		t.state = state
	}
	return g.dispatch(nil)
}

// Reserve appends the request to the queue and grants it if a target is free.
func (g *Group) Reserve(_ time.Time, request owner.Request) []owner.Decision {
	g.queue = append(g.queue, request)
	out := g.dispatch(nil)
	if _, granted := g.grants[request.ID]; !granted {
		out = append(out, owner.Decision{Kind: owner.Queued, ID: request.ID, Entry: request.Entry})
	}
	return out
}

// Cancel removes a waiting request or ends the grant of a running one.
func (g *Group) Cancel(_ time.Time, id string) []owner.Decision {
	g.queue = slices.DeleteFunc(g.queue, func(r owner.Request) bool { return r.ID == id })
	g.releaseGrant(id)
	return g.dispatch(nil)
}

// Release ends a grant.
func (g *Group) Release(_ time.Time, report owner.Report) []owner.Decision {
	g.releaseGrant(report.ID)
	return g.dispatch(nil)
}

// DropEntry removes the waiting requests of an entry and ends its grants.
func (g *Group) DropEntry(_ time.Time, entry string) []owner.Decision {
	g.queue = slices.DeleteFunc(g.queue, func(r owner.Request) bool { return r.Entry == entry })
	for id, granted := range g.grants {
		if granted.request.Entry == entry {
			g.releaseGrant(id)
		}
	}
	return g.dispatch(nil)
}

// Resync registers grants that an earlier owner of the group gave.
func (g *Group) Resync(_ time.Time, _ string, held []owner.HeldGrant) []owner.Decision {
	for _, h := range held {
		if t := g.byName[h.Target]; t != nil && g.grants[h.Request.ID].target == nil {
			t.runningRequests++
			g.grants[h.Request.ID] = grant{request: h.Request, target: t}
		}
	}
	return g.dispatch(nil)
}

// CacheEvents does nothing: the naive scheduler ignores prefix caches.
func (g *Group) CacheEvents(time.Time, string, []prefix.Event) {}

// ReportLoad does nothing: the naive scheduler uses its own counts.
func (g *Group) ReportLoad(string, int) {}

// Tick refuses waiting requests whose deadline has come.
func (g *Group) Tick(now time.Time) []owner.Decision {
	var out []owner.Decision
	g.queue = slices.DeleteFunc(g.queue, func(r owner.Request) bool {
		expired := !now.Before(r.Deadline)
		if expired {
			out = append(out, owner.Decision{Kind: owner.Refuse, ID: r.ID, Entry: r.Entry, Reason: owner.ReasonExpired})
		}
		return expired
	})
	return g.dispatch(out)
}

// Load returns the number of waiting requests and of free slots.
func (g *Group) Load() owner.Load {
	load := owner.Load{Waiting: []int{len(g.queue)}, LowestTier: -1}
	for _, t := range g.targets {
		load.FreeSlots += max(t.info.Slots-t.runningRequests, 0)
	}
	return load
}

// InFlight returns the requests in flight on a target.
func (g *Group) InFlight(name string) []owner.RunningRequest {
	var all []owner.RunningRequest
	for id, granted := range g.grants {
		if granted.target.info.Name == name {
			all = append(all, owner.RunningRequest{ID: id, Fingerprint: granted.request.Fingerprint, Entry: granted.request.Entry})
		}
	}
	return all
}

func (g *Group) releaseGrant(id string) {
	if granted, ok := g.grants[id]; ok {
		granted.target.runningRequests--
		delete(g.grants, id)
	}
}

// dispatch grants requests from the front of the queue until no target can take the
// first one. It appends the decisions to out.
func (g *Group) dispatch(out []owner.Decision) []owner.Decision {
	for len(g.queue) > 0 {
		request := g.queue[0]
		t := g.pickTarget(&request)
		if t == nil {
			return out
		}
		g.queue = g.queue[1:]
		t.runningRequests++
		g.grants[request.ID] = grant{request: request, target: t}
		out = append(out, owner.Decision{Kind: owner.Grant, ID: request.ID, Entry: request.Entry, Target: t.info.Name})
	}
	return out
}

// pickTarget returns the next target in round-robin order that serves the request
// and has a free slot, or nil.
func (g *Group) pickTarget(r *owner.Request) *target {
	for i := range g.targets {
		t := g.targets[(g.nextTarget+i)%len(g.targets)]
		serves := r.Version == "" || len(t.info.Versions) == 0 || slices.Contains(t.info.Versions, r.Version)
		pinnedElsewhere := r.Target != "" && r.Target != t.info.Name
		if t.state == owner.TargetUp && t.runningRequests < t.info.Slots && serves && !pinnedElsewhere &&
			!slices.Contains(r.Exclude, t.info.Name) {
			g.nextTarget = (g.nextTarget + i + 1) % len(g.targets)
			return t
		}
	}
	return nil
}
