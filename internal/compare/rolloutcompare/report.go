package rolloutcompare

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/rollout"
)

// Options configures Run.
type Options struct {
	// Moves is the number of moves; a third of them are good. Seeds are 0 and up.
	Moves int
	// Workers is the maximum number of moves that run concurrently.
	Workers int
}

// System holds the results of one system for all moves.
type System struct {
	Name    string
	Results []Result
}

// Run runs all moves under both systems and waits for them to end.
func Run(o Options) []System {
	systems := []System{
		{Name: "rollout", Results: make([]Result, o.Moves)},
		{Name: "naive", Results: make([]Result, o.Moves)},
	}
	semaphore := make(chan struct{}, max(o.Workers, 1))
	var wg sync.WaitGroup
	for i := range o.Moves {
		for j := range systems {
			semaphore <- struct{}{}
			wg.Go(func() {
				defer func() { <-semaphore }()
				systems[j].Results[i] = runOne(uint64(i), j == 1)
			})
		}
	}
	wg.Wait()
	return systems
}

// Summary holds the totals of one group of moves.
type Summary struct {
	Name     string
	Moves    int
	Reversed int
	InTime   int
	// HarmedShares holds the share of harmed requests for each move and route with
	// requests, ascending.
	HarmedShares []float64
	// TimeToZero and TimeToReachableZero hold the times from the crossing of the
	// bound to zero share, at all daemons and at those that are not cut off,
	// ascending.
	TimeToZero          []time.Duration
	TimeToReachableZero []time.Duration
}

// Summarize computes the summary of the results for which selects is true.
func Summarize(name string, results []Result, selects func(*Result) bool) Summary {
	s := Summary{Name: name}
	for i := range results {
		r := &results[i]
		if !selects(r) {
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
			s.TimeToReachableZero = append(s.TimeToReachableZero, r.TimeToReachableZero)
		}
	}
	slices.Sort(s.HarmedShares)
	slices.Sort(s.TimeToZero)
	slices.Sort(s.TimeToReachableZero)
	return s
}

// ShareBelow returns the share of ascending values that are below the limit.
func ShareBelow[T float64 | time.Duration](values []T, limit T) float64 {
	n, _ := slices.BinarySearch(values, limit)
	return float64(n) / float64(max(len(values), 1))
}

// Quantile returns the quantile q, from 0 to 1, of ascending values, and 0 if there
// are none.
func Quantile[T float64 | time.Duration](values []T, q float64) T {
	if len(values) == 0 {
		return 0
	}
	return values[min(int(q*float64(len(values))), len(values)-1)]
}

// Summaries returns one summary for each line of the table that Print writes.
func Summaries(results []Result) []Summary {
	out := []Summary{
		Summarize("good", results, func(r *Result) bool { return r.Kind == Good }),
		Summarize("all bad", results, func(r *Result) bool { return r.Kind != Good }),
		Summarize("failing", results, func(r *Result) bool { return r.Kind != Good && !r.Slow }),
		Summarize("slow", results, func(r *Result) bool { return r.Kind != Good && r.Slow }),
	}
	for _, kind := range kinds {
		for _, slow := range []bool{false, true} {
			name := string(kind) + ", failing"
			if slow {
				name = string(kind) + ", slow"
			}
			out = append(out, Summarize(name, results, func(r *Result) bool { return r.Kind == kind && r.Slow == slow }))
		}
	}
	return out
}

// Print writes a table with one line for each system and group of moves.
func Print(w io.Writer, systems []System) error {
	const rowFormat = "%-8s %-26s %5s %9s %8s %9s %9s %9s %7s %8s %8s %7s %9s %7s\n"
	_, err := fmt.Fprintf(w, rowFormat, "system", "moves", "n", "reversed", "in time",
		"hurt mean", "hurt p95", "hurt max", "<1%", "zero p50", "zero max", "<2 s", "reach max", "<2 s")
	for _, system := range systems {
		for _, g := range Summaries(system.Results) {
			if err != nil {
				return err
			}
			mean := 0.0
			for _, share := range g.HarmedShares {
				mean += share / float64(len(g.HarmedShares))
			}
			n := float64(max(g.Moves, 1))
			_, err = fmt.Fprintf(w, rowFormat, system.Name, g.Name, fmt.Sprint(g.Moves),
				percent(float64(g.Reversed)/n), percent(float64(g.InTime)/n),
				percent(mean), percent(Quantile(g.HarmedShares, 0.95)), percent(Quantile(g.HarmedShares, 1)), percent(ShareBelow(g.HarmedShares, 0.01)),
				fmt.Sprintf("%.2fs", Quantile(g.TimeToZero, 0.5).Seconds()),
				fmt.Sprintf("%.2fs", Quantile(g.TimeToZero, 1).Seconds()), percent(ShareBelow(g.TimeToZero, 2*time.Second)),
				fmt.Sprintf("%.2fs", Quantile(g.TimeToReachableZero, 1).Seconds()), percent(ShareBelow(g.TimeToReachableZero, 2*time.Second)))
		}
	}
	return err
}

func percent(x float64) string {
	return fmt.Sprintf("%.2f%%", 100*x)
}
