package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/admission"
	"github.com/marjoramflow/marjoramflow/balancer"
	"github.com/marjoramflow/marjoramflow/estimate"
)

const (
	// maxAside bounds the requests that one dispatch round passes over because
	// they do not fit on any target with a free place.
	maxAside = 4
	// maxPassed is the number of times that a request may be passed over before
	// its targets wait for it.
	maxPassed = 32
)

// candidates are the targets that one request can go to now.
type candidates struct {
	targets []*target
	views   []balancer.Target
	starts  []prediction
}

// prediction is the expected course of a request on one target.
type prediction struct {
	prefillStart, prefillEnd, firstToken, finish time.Duration
	cached, ahead                                int
}

// dispatch grants waiting requests in order while targets have room.
func (g *Group) dispatch(now time.Time) {
	withheld := admission.Withheld{Tier: MaxTier}
	var aside []*job
	blocked := uint64(0)
	for {
		free, exclusive := g.places()
		item, usable := g.queue.Next(free&^blocked, exclusive, withheld)
		if item == nil {
			break
		}
		j := item.Value
		if rescued, mask := g.rescue(item.Tier, withheld.Allowed(item.Tier, free&^blocked), exclusive); rescued != nil {
			j, usable = rescued, mask
		}
		if g.grant(now, j, usable) {
			continue
		}
		if len(aside) == maxAside || j.passed >= maxPassed {
			blocked |= usable
			continue
		}
		withheld.Targets |= j.item.Class.Possible & free
		withheld.Tier = min(withheld.Tier, j.item.Tier)
		aside = append(aside, j)
		g.setAside(j)
	}
	for _, j := range aside {
		j.aside = false
		g.queue.Add(&j.item)
	}
}

// setAside passes a request over until the end of the dispatch round.
func (g *Group) setAside(j *job) {
	j.passed++
	j.aside = true
	g.queue.Remove(&j.item)
}

// places returns the targets with a free place, and those of them that run no
// suspect.
func (g *Group) places() (free, exclusive uint64) {
	for _, t := range g.targets {
		if !t.hasPlace(g.options.Backlog) {
			continue
		}
		free |= t.bit
		if t.suspects == 0 {
			exclusive |= t.bit
		}
	}
	return free, exclusive
}

// grant dispatches a waiting request to the best of the usable targets that it
// fits on, or refuses it when its first token would be late on each target. It
// reports false when it fits on none.
func (g *Group) grant(now time.Time, j *job, usable uint64) bool {
	c := &g.candidates
	c.targets, c.views, c.starts = c.targets[:0], c.views[:0], c.starts[:0]
	for _, t := range g.targets {
		if t.bit&usable == 0 || !t.fits(t.need(&j.request)) {
			continue
		}
		p := g.predictOn(now, &j.request, t)
		c.targets = append(c.targets, t)
		c.starts = append(c.starts, p)
		c.views = append(c.views, balancer.Target{
			Slots:         t.info.Slots,
			InFlight:      len(t.running),
			Reported:      t.reported,
			Finish:        p.finish,
			CachedTokens:  p.cached,
			FirstToken:    g.cautious(&j.request, t, p.firstToken),
			Due:           due(now, &j.request),
			Remaining:     j.request.Deadline.Sub(now),
			DelaysStreams: g.disturbs(&j.request, t, p.cached),
		})
	}
	if len(c.targets) == 0 {
		return false
	}
	if !g.keepTimely(now, j) {
		return g.abandon(now, j)
	}
	t := c.targets[g.options.Picker.Pick(c.views)]
	g.observeWait(now, j)
	g.queue.Dequeue(&j.item)
	g.pace.note(now, j.request.Tier)
	g.place(now, j, t)
	g.decide(Grant, j, Decision{Target: t.info.Name, CachedTokens: j.cached})
	return true
}

// place puts a registered job on a target.
func (g *Group) place(now time.Time, j *job, t *target) {
	p := g.predictOn(now, &j.request, t)
	j.granted = now
	j.prefillStart = now.Add(p.prefillStart)
	j.firstToken = now.Add(p.firstToken)
	j.finish = now.Add(p.finish)
	j.ahead = p.ahead
	j.cached = p.cached
	j.kv = t.need(&j.request)
	j.inBacklog = len(t.running) >= t.info.Slots
	j.batch = len(t.running) + 1
	j.passed = 0
	t.add(j)
	if !j.request.Plain {
		t.prefillEnd = now.Add(p.prefillEnd)
		t.index.Dispatched(now, j.request.Prefix)
	}
	g.meanWork += (j.item.Work - g.meanWork) / meanWorkWindow
}

// predictOn returns the expected course of a request on a target, with the
// prefill in progress there and the cached prefix taken into account.
func (g *Group) predictOn(now time.Time, r *Request, t *target) prediction {
	cached := min(t.index.Match(now, r.Prefix), max(r.PromptTokens-1, 0))
	own := g.options.Model.Predict(estimate.Job{
		Version:       r.Version,
		Hardware:      t.info.Hardware,
		PrefillTokens: r.PromptTokens - cached,
		OutputTokens:  r.OutputTokens,
		Batch:         min(len(t.running)+1, max(t.info.Slots, 1)),
		Plain:         r.Plain,
	})
	p := prediction{prefillEnd: own.FirstToken, firstToken: own.FirstToken, finish: own.Finish, cached: cached}
	if r.EventTokens > 1 {
		p.firstToken += time.Duration(r.EventTokens) * g.options.Model.TokenTime(r.Version, t.info.Hardware, len(t.running)+1)
	}
	delay := time.Duration(0)
	if !r.Plain {
		delay = max(t.prefillEnd.Sub(now), 0)
		p.ahead = g.tokensIn(delay, r.Version, t.info.Hardware)
	}
	if len(t.running) >= t.info.Slots {
		delay = max(delay, g.slotWait(t))
	}
	p.prefillStart = delay
	p.prefillEnd += delay
	p.firstToken += delay
	p.finish += delay
	return p
}

// tokensIn returns how many tokens are prefilled in a time.
func (g *Group) tokensIn(d time.Duration, version, hardware string) int {
	const sample = 1 << 20
	perSample := g.options.Model.PrefillTime(version, hardware, sample)
	return int(float64(sample) * float64(d) / float64(max(perSample, 1)))
}

// slotWait is the expected time until a full target frees a slot.
func (g *Group) slotWait(t *target) time.Duration {
	rate := float64(max(t.info.Slots, 1)) * t.speed
	return time.Duration(float64(g.meanWork) / rate)
}
