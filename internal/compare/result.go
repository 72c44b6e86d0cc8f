package compare

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result is what one run showed. Its window begins after the warm-up and
// ends early enough that every call that arrived in it has ended by the end of the run.
type Result struct {
	Variant string
	Load    float64
	// Rate is the offered load in requests/s.
	Rate  float64
	Tiers []TierResult
	// Prefilled and Wasted are prompt tokens of all calls of the run. Wasted
	// ones were computed for attempts that were canceled, repeated, evicted or
	// too late.
	Prefilled, Wasted int
	Preemptions       int
	// Violations counts calls that were shed while lower-tier work ran that
	// could have been stopped for them in time (R2).
	Violations int
}

// TierResult is the part of a result for one tier.
type TierResult struct {
	Offered, OnTime, Shed int
	// Goodput is the number of requests per second answered in time, and
	// GoodTokens the output tokens per second of these. Both count the answers
	// that ended in the window, whenever the calls arrived: counting by arrival
	// would credit a way that lets a queue grow with work done after the window.
	Goodput, GoodTokens float64
	// FirstToken95 is the 95th percentile of the time to the first token of
	// calls in time; Short95 is the same for the shortest length class.
	FirstToken95, Short95 time.Duration
}

// OnTimeShare returns the part of the offered requests that were answered in time.
func (t TierResult) OnTimeShare() float64 {
	if t.Offered == 0 {
		return 1
	}
	return float64(t.OnTime) / float64(t.Offered)
}

// Goodput returns the requests per second of all tiers answered in time.
func (r Result) Goodput() float64 {
	total := 0.0
	for _, t := range r.Tiers {
		total += t.Goodput
	}
	return total
}

// GoodTokens returns the output tokens per second of all tiers in time.
func (r Result) GoodTokens() float64 {
	total := 0.0
	for _, t := range r.Tiers {
		total += t.GoodTokens
	}
	return total
}

// WastedShare returns the wasted part of all prefill.
func (r Result) WastedShare() float64 {
	if r.Prefilled == 0 {
		return 0
	}
	return float64(r.Wasted) / float64(r.Prefilled)
}

// shortOutput is the output length of a one-line answer.
const shortOutput = 40

func (s *simulation) result(rate float64) Result {
	r := Result{Variant: s.way.Name, Load: s.setup.Load, Rate: rate, Violations: s.violations}
	r.Tiers = make([]TierResult, len(s.setup.TierShares))
	from, to := s.setup.Warmup, s.setup.Length-slices.Max(s.setup.Deadlines)
	first := make([][]time.Duration, len(r.Tiers))
	short := make([][]time.Duration, len(r.Tiers))
	for _, c := range s.all {
		r.Prefilled += c.prefilled + c.evicted
		r.Wasted += c.prefilled + c.evicted - c.useful
		if end := c.endedAt.Sub(epoch); c.onTime && end >= from && end < to {
			t := &r.Tiers[c.request.Tier]
			t.Goodput += 1 / (to - from).Seconds()
			t.GoodTokens += float64(c.output) / (to - from).Seconds()
		}
		if c.at < from || c.at >= to {
			continue
		}
		r.Preemptions += c.preempted
		t := &r.Tiers[c.request.Tier]
		t.Offered++
		if c.shed {
			t.Shed++
		}
		if !c.onTime {
			continue
		}
		t.OnTime++
		wait := c.firstAt.Sub(epoch.Add(c.at))
		first[c.request.Tier] = append(first[c.request.Tier], wait)
		if c.output <= shortOutput {
			short[c.request.Tier] = append(short[c.request.Tier], wait)
		}
	}
	for i := range r.Tiers {
		r.Tiers[i].FirstToken95 = percentile95(first[i])
		r.Tiers[i].Short95 = percentile95(short[i])
	}
	return r
}

func percentile95(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*95/100]
}

// Capacity returns the requests per second that the engines of a setup complete
// when they are always full, without deadlines.
func Capacity(setup Setup) float64 {
	const plenty = 40.0
	setup.Warmup = 60 * time.Second
	setup.Length = 180 * time.Second
	setup.Deadlines = slices.Repeat([]time.Duration{2 * setup.Length}, len(setup.Deadlines))
	s := newSimulation(setup, Naive())
	s.feed(record(setup, plenty*float64(setup.Groups)*float64(setup.PerGroup)/4))
	s.runUntil(epoch.Add(setup.Length))
	done := 0
	for _, c := range s.all {
		if c.onTime && c.endedAt.Sub(epoch) >= setup.Warmup {
			done++
		}
	}
	return float64(done) / (setup.Length - setup.Warmup).Seconds()
}

// Table writes one line for each result.
func Table(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "load\tway\treq/s\ttokens/s\ttier 0\ttier 1\ttier 2\twasted\tpreempted\tR2\tTTFT p95 tier 0\tshort\ttier 1\tshort\t")
	for _, r := range results {
		fmt.Fprintf(tw, "%.1f\t%s\t%.1f\t%.0f\t", r.Load, r.Variant, r.Goodput(), r.GoodTokens())
		for _, t := range r.Tiers {
			fmt.Fprintf(tw, "%.1f%%\t", 100*t.OnTimeShare())
		}
		fmt.Fprintf(tw, "%.2f%%\t%d\t%d\t", 100*r.WastedShare(), r.Preemptions, r.Violations)
		for _, t := range r.Tiers[:2] {
			fmt.Fprintf(tw, "%.2fs\t%.2fs\t", t.FirstToken95.Seconds(), t.Short95.Seconds())
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}
