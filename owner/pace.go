package owner

import "time"

const (
	// paceBucket and paceBuckets are the span over which grants are counted: long
	// against the time of one short request, short against a burst.
	paceBucket  = 250 * time.Millisecond
	paceBuckets = 4
	// minPaceGrants is the number of grants below which the pace says nothing.
	minPaceGrants = 4
)

// pace counts the grants of the last second.
type pace struct {
	counts [paceBuckets]int
	at     int64
}

// note counts one grant.
func (p *pace) note(now time.Time) {
	p.advance(now)
	p.counts[p.at%paceBuckets]++
}

func (p *pace) advance(now time.Time) {
	at := now.UnixNano() / int64(paceBucket)
	for next := max(p.at+1, at-paceBuckets+1); next <= at; next++ {
		p.counts[next%paceBuckets] = 0
	}
	p.at = max(p.at, at)
}

// perSecond returns the grants per second; false when there were too few.
func (p *pace) perSecond(now time.Time) (float64, bool) {
	p.advance(now)
	sum := 0
	for _, n := range p.counts {
		sum += n
	}
	return float64(sum) / (paceBuckets * paceBucket).Seconds(), sum >= minPaceGrants
}

// turnsUpLate reports whether a new request would find its first token late at the
// pace of the last second, and the wait until its turn. A caller that is told so at
// once can come back when the queue is shorter; one that is told when its time is
// over has waited for nothing.
func (g *Group) turnsUpLate(now time.Time, j *job, usable uint64) (time.Duration, bool) {
	by := j.request.FirstTokenBy
	ahead := g.queue.CountUpTo(j.request.Tier)
	rate, known := g.pace.perSecond(now)
	if by.IsZero() || ahead == 0 || !known || j.request.Accepted || j.request.MaxGap == 0 {
		return 0, false
	}
	wait := time.Duration(float64(ahead) / rate * float64(time.Second))
	for _, t := range g.targets {
		if t.bit&usable == 0 {
			continue
		}
		p := g.options.Model.Predict(g.prefillOn(now, &j.request, t))
		if !now.Add(wait + p.FirstToken).After(by) {
			return wait, false
		}
	}
	return wait, true
}
