package naive

import (
	"slices"
	"time"

	"github.com/marjoramflow/marjoramflow/owner"
	"github.com/marjoramflow/marjoramflow/prefix"
)

// Group is the naive version of owner.Group. It is not safe for concurrent use.
type Group struct {
	targets []*target
	byName  map[string]*target
	queue   []owner.Request
	running map[string]grant
	next    int
}

type target struct {
	info    owner.TargetInfo
	state   owner.TargetState
	running int
}

type grant struct {
	request owner.Request
	target  *target
}

// NewGroup returns an empty group.
func NewGroup() *Group {
	return &Group{byName: make(map[string]*target), running: make(map[string]grant)}
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

// SetTargetState changes whether a target gets new work.
func (g *Group) SetTargetState(_ time.Time, name string, state owner.TargetState) []owner.Decision {
	if t := g.byName[name]; t != nil {
		t.state = state
	}
	return g.dispatch(nil)
}

// Reserve appends the request to the queue.
func (g *Group) Reserve(_ time.Time, request owner.Request) []owner.Decision {
	g.queue = append(g.queue, request)
	out := g.dispatch(nil)
	if _, granted := g.running[request.ID]; !granted {
		out = append(out, owner.Decision{Kind: owner.Queued, ID: request.ID, Entry: request.Entry})
	}
	return out
}

// Cancel drops a request.
func (g *Group) Cancel(_ time.Time, id string) []owner.Decision {
	g.queue = slices.DeleteFunc(g.queue, func(r owner.Request) bool { return r.ID == id })
	g.free(id)
	return g.dispatch(nil)
}

// Release ends a grant.
func (g *Group) Release(_ time.Time, report owner.Report) []owner.Decision {
	g.free(report.ID)
	return g.dispatch(nil)
}

// DropEntry drops the requests of an entry.
func (g *Group) DropEntry(_ time.Time, entry string) []owner.Decision {
	g.queue = slices.DeleteFunc(g.queue, func(r owner.Request) bool { return r.Entry == entry })
	for id, held := range g.running {
		if held.request.Entry == entry {
			g.free(id)
		}
	}
	return g.dispatch(nil)
}

// Resync registers grants of an earlier owner.
func (g *Group) Resync(_ time.Time, _ string, held []owner.HeldGrant) []owner.Decision {
	for _, h := range held {
		if t := g.byName[h.Target]; t != nil && g.running[h.Request.ID].target == nil {
			t.running++
			g.running[h.Request.ID] = grant{request: h.Request, target: t}
		}
	}
	return g.dispatch(nil)
}

// CacheEvents does nothing: the naive version knows no caches.
func (g *Group) CacheEvents(time.Time, string, []prefix.Event) {}

// ReportLoad does nothing: the naive version uses its own counts.
func (g *Group) ReportLoad(string, int) {}

// Tick refuses waiting requests at their deadline.
func (g *Group) Tick(now time.Time) []owner.Decision {
	var out []owner.Decision
	g.queue = slices.DeleteFunc(g.queue, func(r owner.Request) bool {
		late := !now.Before(r.Deadline)
		if late {
			out = append(out, owner.Decision{Kind: owner.Refuse, ID: r.ID, Entry: r.Entry, Reason: owner.ReasonExpired})
		}
		return late
	})
	return g.dispatch(out)
}

// Load returns the summary of the group.
func (g *Group) Load() owner.Load {
	load := owner.Load{Waiting: []int{len(g.queue)}, LowestTier: -1}
	for _, t := range g.targets {
		load.FreeSlots += max(t.info.Slots-t.running, 0)
	}
	return load
}

// InFlight returns the requests in flight on a target.
func (g *Group) InFlight(name string) []owner.RunningRequest {
	var all []owner.RunningRequest
	for id, held := range g.running {
		if held.target.info.Name == name {
			all = append(all, owner.RunningRequest{ID: id, Fingerprint: held.request.Fingerprint, Entry: held.request.Entry})
		}
	}
	return all
}

func (g *Group) free(id string) {
	if held, ok := g.running[id]; ok {
		held.target.running--
		delete(g.running, id)
	}
}

// dispatch grants the first waiting requests while targets have free slots.
func (g *Group) dispatch(out []owner.Decision) []owner.Decision {
	for len(g.queue) > 0 {
		request := g.queue[0]
		t := g.pick(&request)
		if t == nil {
			return out
		}
		g.queue = g.queue[1:]
		t.running++
		g.running[request.ID] = grant{request: request, target: t}
		out = append(out, owner.Decision{Kind: owner.Grant, ID: request.ID, Entry: request.Entry, Target: t.info.Name})
	}
	return out
}

// pick returns the next target in turn that serves the request and has a free
// slot.
func (g *Group) pick(r *owner.Request) *target {
	for i := range g.targets {
		t := g.targets[(g.next+i)%len(g.targets)]
		serves := r.Version == "" || len(t.info.Versions) == 0 || slices.Contains(t.info.Versions, r.Version)
		pinned := r.Target != "" && r.Target != t.info.Name
		if t.state == owner.TargetUp && t.running < t.info.Slots && serves && !pinned &&
			!slices.Contains(r.Exclude, t.info.Name) {
			g.next = (g.next + i + 1) % len(g.targets)
			return t
		}
	}
	return nil
}
