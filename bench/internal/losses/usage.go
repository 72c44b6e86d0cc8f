package losses

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// usageStep is the time between two samples of the slots in use.
const usageStep = 50 * time.Millisecond

// Usage holds the slots in use over time. The slots of a target are taken to be the most
// requests that ran on it at once.
type Usage struct {
	// inUse is the number of running requests in each step, by service and tier.
	inUse map[class][]int
	// slots is the number of slots of each service.
	slots map[string]int
}

type class struct{ service, tier string }

// NewUsage derives the slots in use from the times between grant and end of requests.
func NewUsage(log *Log) *Usage {
	u := &Usage{inUse: make(map[class][]int), slots: make(map[string]int)}
	byTarget := make(map[string]map[int]int)
	serviceOf := make(map[string]string)
	for i := range log.Requests {
		r := &log.Requests[i]
		if r.Target == "" {
			continue
		}
		serviceOf[r.Target] = r.Service
		if byTarget[r.Target] == nil {
			byTarget[r.Target] = make(map[int]int)
		}
		c := class{r.Service, r.Tier}
		for step := stepOf(r.Granted); step <= stepOf(r.Ended); step++ {
			byTarget[r.Target][step]++
			for len(u.inUse[c]) <= step {
				u.inUse[c] = append(u.inUse[c], 0)
			}
			u.inUse[c][step]++
		}
	}
	for target, steps := range byTarget {
		most := 0
		for _, n := range steps {
			most = max(most, n)
		}
		u.slots[serviceOf[target]] += most
	}
	return u
}

func stepOf(at time.Duration) int {
	return max(0, int(at/usageStep))
}

// FreeShare returns the share of the slots of a service that was free at a time.
func (u *Usage) FreeShare(service string, at time.Duration) float64 {
	if u.slots[service] == 0 {
		return 0
	}
	busy := 0
	for c, steps := range u.inUse {
		if step := stepOf(at); c.service == service && step < len(steps) {
			busy += steps[step]
		}
	}
	return 1 - float64(busy)/float64(u.slots[service])
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
