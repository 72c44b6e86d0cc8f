package compare

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Result holds the measurements of one run. The measured window begins after the
// warm-up and ends early enough that every call that arrived in it has ended by the
// end of the run.
type Result struct {
	Variant string
	// Load is Setup.Load.
	Load float64
	// Rate is the offered load in requests/s.
	Rate  float64
	Tiers []TierResult
	// PrefilledTokens and WastedTokens are prompt tokens of all calls of the run.
	// Wasted ones were computed for attempts that were cancelled, repeated, evicted
	// or too late.
	PrefilledTokens, WastedTokens int
	Preemptions                   int
	// Violations counts calls that were shed while lower-tier work ran that
	// could have been stopped for them in time (promise R2).
	Violations int
}

// TierResult holds the measurements of one tier.
type TierResult struct {
	Offered, OnTime, Shed int
	// Goodput is the number of requests per second answered in time, and
	// TokenGoodput the output tokens per second of these. Both count the answers
	// that ended in the window, whenever the calls arrived: counting by arrival
	// would credit a scheduler that lets a queue grow with work done after the window.
	Goodput, TokenGoodput float64
	// FirstTokenP95 is the 95th percentile of the time to the first token of calls
	// answered in time; ShortFirstTokenP95 is the same for the calls among them with
	// at most maxShortOutputTokens of output.
	FirstTokenP95, ShortFirstTokenP95 time.Duration
}

// OnTimeShare returns the share of the offered requests that were answered in time,
// and 1 if none were offered.
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

// TokenGoodput returns the output tokens per second of all tiers in answers given
// in time.
func (r Result) TokenGoodput() float64 {
	total := 0.0
	for _, t := range r.Tiers {
		total += t.TokenGoodput
	}
	return total
}

// WastedShare returns the share of the prefilled tokens that was wasted.
func (r Result) WastedShare() float64 {
	if r.PrefilledTokens == 0 {
		return 0
	}
	return float64(r.WastedTokens) / float64(r.PrefilledTokens)
}

// maxShortOutputTokens is the length of a one-line answer.
const maxShortOutputTokens = 40

// result computes the measurements of a run that has ended.
func (s *simulation) result(rate float64) Result {
	r := Result{Variant: s.variant.Name, Load: s.setup.Load, Rate: rate, Violations: s.violations}
	r.Tiers = make([]TierResult, len(s.setup.TierShares))
	windowStart, windowEnd := s.setup.Warmup, s.setup.Duration-slices.Max(s.setup.Deadlines)
	firstTokenWaits := make([][]time.Duration, len(r.Tiers))
	shortFirstTokenWaits := make([][]time.Duration, len(r.Tiers))
	for _, c := range s.allCalls {
		r.PrefilledTokens += c.prefilledTokens + c.evictedTokens
		r.WastedTokens += c.prefilledTokens + c.evictedTokens - c.usefulTokens
		if end := c.endedAt.Sub(epoch); c.onTime && end >= windowStart && end < windowEnd {
			t := &r.Tiers[c.request.Tier]
			t.Goodput += 1 / (windowEnd - windowStart).Seconds()
			t.TokenGoodput += float64(c.outputTokens) / (windowEnd - windowStart).Seconds()
		}
		if c.offset < windowStart || c.offset >= windowEnd {
			continue
		}
		r.Preemptions += c.preemptions
		t := &r.Tiers[c.request.Tier]
		t.Offered++
		if c.shed {
			t.Shed++
		}
		if !c.onTime {
			continue
		}
		t.OnTime++
		wait := c.firstTokenAt.Sub(epoch.Add(c.offset))
		firstTokenWaits[c.request.Tier] = append(firstTokenWaits[c.request.Tier], wait)
		if c.outputTokens <= maxShortOutputTokens {
			shortFirstTokenWaits[c.request.Tier] = append(shortFirstTokenWaits[c.request.Tier], wait)
		}
	}
	for i := range r.Tiers {
		r.Tiers[i].FirstTokenP95 = percentile95(firstTokenWaits[i])
		r.Tiers[i].ShortFirstTokenP95 = percentile95(shortFirstTokenWaits[i])
	}
	return r
}

// percentile95 sorts the values and returns their 95th percentile, or 0 if there
// are none.
func percentile95(values []time.Duration) time.Duration {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[len(values)*95/100]
}

// Capacity returns the requests per second that the engines of a setup complete
// under the naive scheduler when they are always busy and no deadline applies.
func Capacity(setup Setup) float64 {
	const saturatingRate = 40.0 // requests/s for every 4 engines
	setup.Warmup = 60 * time.Second
	setup.Duration = 180 * time.Second
	setup.Deadlines = slices.Repeat([]time.Duration{2 * setup.Duration}, len(setup.Deadlines))
	s := newSimulation(setup, Naive())
	s.scheduleArrivals(recordArrivals(setup, saturatingRate*float64(setup.Groups)*float64(setup.EnginesPerGroup)/4))
	s.runUntil(epoch.Add(setup.Duration))
	done := 0
	for _, c := range s.allCalls {
		if c.onTime && c.endedAt.Sub(epoch) >= setup.Warmup {
			done++
		}
	}
	return float64(done) / (setup.Duration - setup.Warmup).Seconds()
}

// Table writes a table with one line for each result.
func Table(w io.Writer, results []Result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tw, "load\tway\treq/s\ttokens/s\ttier 0\ttier 1\ttier 2\twasted\tpreempted\tR2\tTTFT p95 tier 0\tshort\ttier 1\tshort\t")
	for _, r := range results {
		fmt.Fprintf(tw, "%.1f\t%s\t%.1f\t%.0f\t", r.Load, r.Variant, r.Goodput(), r.TokenGoodput())
		for _, t := range r.Tiers {
			fmt.Fprintf(tw, "%.1f%%\t", 100*t.OnTimeShare())
		}
		fmt.Fprintf(tw, "%.2f%%\t%d\t%d\t", 100*r.WastedShare(), r.Preemptions, r.Violations)
		for _, t := range r.Tiers[:2] {
			fmt.Fprintf(tw, "%.2fs\t%.2fs\t", t.FirstTokenP95.Seconds(), t.ShortFirstTokenP95.Seconds())
		}
		fmt.Fprintln(tw)
	}
	return tw.Flush()
}
