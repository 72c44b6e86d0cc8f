package owner

import (
	"time"

	"github.com/marjoramflow/marjoramflow/estimate"
)

const (
	// speedInterval is the time between updates of the targets' relative speeds.
	speedInterval = time.Second
	// meanWorkWindow is the number of requests over which the mean work is taken.
	meanWorkWindow = 32
	// speedPromptTokens and speedOutputTokens describe the request by which the
	// speeds of targets are compared.
	speedPromptTokens = 512
	speedOutputTokens = 128
)

// refreshSpeeds updates the speed of each target relative to the first one.
func (g *Group) refreshSpeeds(now time.Time) {
	if now.Before(g.nextSpeed) || len(g.targets) == 0 {
		return
	}
	g.nextSpeed = now.Add(speedInterval)
	reference := g.standardTime(g.targets[0])
	for _, t := range g.targets {
		t.speed = float64(reference) / float64(max(g.standardTime(t), 1))
	}
}

func (g *Group) standardTime(t *target) time.Duration {
	version := ""
	if len(t.info.Versions) > 0 {
		version = t.info.Versions[0]
	}
	return g.options.Model.Predict(estimate.Job{
		Version:       version,
		Hardware:      t.info.Hardware,
		PrefillTokens: speedPromptTokens,
		OutputTokens:  speedOutputTokens,
		Batch:         max(t.info.Slots, 1),
	}).Finish
}

// workOf returns the time that a request takes in a slot of the first target of
// the group, with a full batch and nothing cached.
func (g *Group) workOf(r *Request, mask uint64) time.Duration {
	for _, t := range g.targets {
		if t.bit&mask == 0 {
			continue
		}
		p := g.fullBatch(r, t)
		return time.Duration(float64(p.Finish) * t.speed)
	}
	return 0
}

func (g *Group) fullBatch(r *Request, t *target) estimate.Prediction {
	return g.options.Model.Predict(estimate.Job{
		Version:       r.Version,
		Hardware:      t.info.Hardware,
		PrefillTokens: r.PromptTokens,
		OutputTokens:  r.OutputTokens,
		Batch:         max(t.info.Slots, 1),
		Plain:         r.Plain,
	})
}

// anyHolds reports whether the prompt fits into the KV cache of some target.
func (g *Group) anyHolds(r *Request, usable uint64) bool {
	for _, t := range g.targets {
		if t.bit&usable != 0 && (t.info.KVTokens == 0 || r.PromptTokens <= t.info.KVTokens) {
			return true
		}
	}
	return false
}

// tooLateWhenIdle reports whether the request would be late on each target even
// if it were idle. When nothing of the group runs, the request is tried anyway,
// since an estimate that is too slow would otherwise never be corrected.
func (g *Group) tooLateWhenIdle(now time.Time, j *job, usable uint64) bool {
	if !g.settled(j) || g.idle() {
		return false
	}
	for _, t := range g.targets {
		if t.bit&usable == 0 {
			continue
		}
		cached := t.index.Match(now, j.request.Prefix)
		p := g.options.Model.Predict(estimate.Job{
			Version:       j.request.Version,
			Hardware:      t.info.Hardware,
			PrefillTokens: j.request.PromptTokens - cached,
			OutputTokens:  j.request.OutputTokens,
			Batch:         1,
			Plain:         j.request.Plain,
		})
		if !now.Add(p.Finish).After(j.request.Deadline) {
			return false
		}
	}
	return true
}

func (g *Group) idle() bool {
	for _, t := range g.targets {
		if len(t.running) > 0 {
			return false
		}
	}
	return true
}

// settled reports whether the estimates for a request are good enough to refuse
// it because of them.
func (g *Group) settled(j *job) bool {
	for _, t := range g.targets {
		if t.bit&j.item.Class.Targets != 0 && !g.options.Model.Settled(j.request.Version, t.info.Hardware) {
			return false
		}
	}
	return true
}

// predictWait returns the time until a new request gets a target.
func (g *Group) predictWait(j *job, usable uint64) time.Duration {
	ahead := g.queue.Ahead(j.request.Tier, j.request.Account, j.item.Class, j.item.Work)
	if free, _ := g.places(); ahead == 0 && free&usable != 0 {
		return 0
	}
	return g.waitFor(ahead+g.meanWork, usable)
}

// waitFor returns the time in which the targets of a mask do some work.
func (g *Group) waitFor(work time.Duration, mask uint64) time.Duration {
	rate := 0.0
	for _, t := range g.targets {
		if t.bit&mask != 0 && t.state == Up {
			rate += float64(t.info.Slots) * t.speed
		}
	}
	if rate == 0 || work <= 0 {
		return 0
	}
	return time.Duration(float64(work) / rate)
}

// observe corrects the estimates with what a finished request showed.
func (g *Group) observe(j *job, report Report) {
	if report.Outcome != OutcomeDone || report.Duration <= 0 {
		return
	}
	version := report.Version
	if version == "" {
		version = j.request.Version
	}
	g.options.Model.Observe(estimate.Observation{
		Job: estimate.Job{
			Version:       version,
			Hardware:      j.target.info.Hardware,
			PrefillTokens: max(report.PromptTokens-report.CachedTokens, 0),
			OutputTokens:  report.OutputTokens,
			Batch:         min((j.batch+len(j.target.running)+1)/2, max(j.target.info.Slots, 1)),
			Plain:         j.request.Plain,
		},
		Queued:     j.inBacklog,
		Ahead:      j.ahead,
		FirstToken: report.FirstToken,
		Duration:   report.Duration,
	})
}
