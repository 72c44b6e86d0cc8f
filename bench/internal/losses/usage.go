package losses

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// usageStep is the time between two samples of the slots in use.
const usageStep = 50 * time.Millisecond

// Usage holds the slots in use at the start of each step. The slots of a target are taken to
// be the most requests that ran on it at such a moment. Requests that ran when their daemon
// was killed have no line in the log, so the slots in use seem to sink in the seconds before.
type Usage struct {
	// inUse is the number of running requests in each step, by service and tier.
	inUse   map[class][]int
	targets []targetUse
}

// targetUse is one target, the first and the last step in which it ran a request, and its
// slots. Outside of these steps it counts as absent.
type targetUse struct {
	service            string
	first, last, slots int
}

type class struct{ service, tier string }

// NewUsage derives the slots in use from the times between grant and end of requests.
func NewUsage(log *Log) *Usage {
	u := &Usage{inUse: make(map[class][]int)}
	running := make(map[string]map[int]int)
	serviceOf := make(map[string]string)
	for i := range log.Requests {
		r := &log.Requests[i]
		if r.Target == "" {
			continue
		}
		serviceOf[r.Target] = r.Service
		if running[r.Target] == nil {
			running[r.Target] = make(map[int]int)
		}
		c := class{r.Service, r.Tier}
		for step := stepOf(r.Granted) + 1; step <= stepOf(r.Ended); step++ {
			running[r.Target][step]++
			for len(u.inUse[c]) <= step {
				u.inUse[c] = append(u.inUse[c], 0)
			}
			u.inUse[c][step]++
		}
	}
	for target, steps := range running {
		use := targetUse{service: serviceOf[target], first: math.MaxInt}
		for step, n := range steps {
			use.first, use.last, use.slots = min(use.first, step), max(use.last, step), max(use.slots, n)
		}
		u.targets = append(u.targets, use)
	}
	return u
}

func stepOf(at time.Duration) int {
	return max(0, int(at/usageStep))
}

// FreeShare returns the share of the slots of a service that was free at a time.
func (u *Usage) FreeShare(service string, at time.Duration) float64 {
	step, slots, busy := stepOf(at), 0, 0
	for _, t := range u.targets {
		if t.service == service && t.first <= step && step <= t.last {
			slots += t.slots
		}
	}
	for c, steps := range u.inUse {
		if c.service == service && step < len(steps) {
			busy += steps[step]
		}
	}
	if slots == 0 {
		return 0
	}
	return 1 - float64(busy)/float64(slots)
}

// Plot writes a plot of the slots in use by class over time to a file; its extension names
// the format.
func (u *Usage) Plot(file, title string) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time (s)"
	p.Y.Label.Text = "slots in use"
	classes := make([]class, 0, len(u.inUse))
	for c := range u.inUse {
		classes = append(classes, c)
	}
	slices.SortFunc(classes, func(x, y class) int {
		return cmp.Or(cmp.Compare(x.service, y.service), cmp.Compare(x.tier, y.tier))
	})
	for i, c := range classes {
		points := make(plotter.XYs, len(u.inUse[c]))
		for step, n := range u.inUse[c] {
			points[step] = plotter.XY{X: (time.Duration(step) * usageStep).Seconds(), Y: float64(n)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fmt.Errorf("plot of %s %s: %w", c.service, c.tier, err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(c.service+" "+c.tier, line)
	}
	p.Legend.Top = true
	return p.Save(30*vg.Centimeter, 12*vg.Centimeter, file)
}
