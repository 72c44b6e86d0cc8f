package rolloutcompare

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/rollout"
)

// Options say what to run.
type Options struct {
	// Moves is the number of moves; a third of them are good. Seeds are 0 and up.
	Moves int
	// Workers bounds the moves that run at once.
	Workers int
}

// System is the results of one system over all moves.
type System struct {
	Name    string
	Results []Result
}

// Run runs all moves under both systems.
func Run(o Options) []System {
	systems := []System{
		{Name: "rollout", Results: make([]Result, o.Moves)},
		{Name: "naive", Results: make([]Result, o.Moves)},
	}
	slots := make(chan struct{}, max(o.Workers, 1))
	var wg sync.WaitGroup
	for i := range o.Moves {
		for j := range systems {
			slots <- struct{}{}
			wg.Go(func() {
				defer func() { <-slots }()
				systems[j].Results[i] = runOne(uint64(i), j == 1)
			})
		}
	}
	wg.Wait()
	return systems
}

// Summary is the figures of one group of moves.
type Summary struct {
	Group    string
	Moves    int
	Reversed int
	InTime   int
	// Hurt parts of the requests of each route of each move, ascending.
	HarmedShares []float64
	// TimeToZero and TimeToReachable are times from the crossing of the bound to zero share,
	// everywhere and at the daemons that are not cut off, ascending.
	TimeToZero      []time.Duration
	TimeToReachable []time.Duration
}

// Summarize sums up the results that keep selects.
func Summarize(group string, results []Result, keep func(*Result) bool) Summary {
	s := Summary{Group: group}
	for i := range results {
		r := &results[i]
		if !keep(r) {
			continue
		}
		s.Moves++
		if r.Phase == rollout.Reversed {
			s.Reversed++
		}
		if r.InTime {
			s.InTime++
		}
		for route, n := range r.Requests {
			if n > 0 {
				s.HarmedShares = append(s.HarmedShares, float64(r.HarmedRequests[route])/float64(n))
			}
		}
		if r.Crossed && r.Phase == rollout.Reversed {
			s.TimeToZero = append(s.TimeToZero, r.TimeToZero)
			s.TimeToReachable = append(s.TimeToReachable, r.TimeToReachable)
		}
	}
	slices.Sort(s.HarmedShares)
	slices.Sort(s.TimeToZero)
	slices.Sort(s.TimeToReachable)
	return s
}

// ShareBelow returns the part of the values that are below the limit.
func ShareBelow[T float64 | time.Duration](values []T, limit T) float64 {
	n, _ := slices.BinarySearch(values, limit)
	return float64(n) / float64(max(len(values), 1))
}

// Quantile returns a quantile of ascending values.
func Quantile[T float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// Groups returns the summaries that the table shows.
func Groups(results []Result) []Summary {
	out := []Summary{
		Summarize("good", results, func(r *Result) bool { return r.Kind == Good }),
		Summarize("all bad", results, func(r *Result) bool { return r.Kind != Good }),
		Summarize("failing", results, func(r *Result) bool { return r.Kind != Good && !r.Slow }),
		Summarize("slow", results, func(r *Result) bool { return r.Kind != Good && r.Slow }),
	}
	for _, k := range kinds {
		for _, slow := range []bool{false, true} {
			name := string(k) + ", failing"
			if slow {
				name = string(k) + ", slow"
			}
			out = append(out, Summarize(name, results, func(r *Result) bool { return r.Kind == k && r.Slow == slow }))
		}
	}
	return out
}

// Print writes the table of all systems.
func Print(w io.Writer, systems []System) error {
	const head = "%-8s %-26s %5s %9s %8s %9s %9s %9s %7s %8s %8s %7s %9s %7s\n"
	_, err := fmt.Fprintf(w, head, "system", "moves", "n", "reversed", "in time",
		"hurt mean", "hurt p95", "hurt max", "<1%", "zero p50", "zero max", "<2 s", "reach max", "<2 s")
	for _, system := range systems {
		for _, g := range Groups(system.Results) {
			if err != nil {
				return err
			}
			mean := 0.0
			for _, h := range g.HarmedShares {
				mean += h / float64(len(g.HarmedShares))
			}
			n := float64(max(g.Moves, 1))
			_, err = fmt.Fprintf(w, head, system.Name, g.Group, fmt.Sprint(g.Moves),
				percent(float64(g.Reversed)/n), percent(float64(g.InTime)/n),
				percent(mean), percent(Quantile(g.HarmedShares, 0.95)), percent(Quantile(g.HarmedShares, 1)), percent(ShareBelow(g.HarmedShares, 0.01)),
				fmt.Sprintf("%.2fs", Quantile(g.TimeToZero, 0.5).Seconds()),
				fmt.Sprintf("%.2fs", Quantile(g.TimeToZero, 1).Seconds()), percent(ShareBelow(g.TimeToZero, 2*time.Second)),
				fmt.Sprintf("%.2fs", Quantile(g.TimeToReachable, 1).Seconds()), percent(ShareBelow(g.TimeToReachable, 2*time.Second)))
		}
	}
	return err
}

func percent(x float64) string {
	return fmt.Sprintf("%.2f%%", 100*x)
}
