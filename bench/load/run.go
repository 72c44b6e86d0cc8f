package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
)

// Histograms hold microseconds up to ten minutes with three digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Summary is what became of the requests of one class.
type Summary struct {
	Class    string
	Tier     string
	Sent     int
	Outcomes map[string]int
	// Good are whole answers within the class's times.
	Good   int
	Tokens int
	// LatePrompt counts the prompt tokens of whole answers that came too late.
	LatePrompt int
	// FirstToken and Gaps are in microseconds.
	FirstToken *hdrhistogram.Histogram
	Gaps       *hdrhistogram.Histogram
	Total      *hdrhistogram.Histogram
	// FirstTokenTransit and Transit are in microseconds; see caller.Result.
	FirstTokenTransit *hdrhistogram.Histogram
	Transit           *hdrhistogram.Histogram
}

func newSummary(class, tier string) *Summary {
	return &Summary{
		Class:             class,
		Tier:              tier,
		Outcomes:          make(map[string]int),
		FirstToken:        hdrhistogram.New(1, histogramMax, histogramDigits),
		Gaps:              hdrhistogram.New(1, histogramMax, histogramDigits),
		Total:             hdrhistogram.New(1, histogramMax, histogramDigits),
		FirstTokenTransit: hdrhistogram.New(1, histogramMax, histogramDigits),
		Transit:           hdrhistogram.New(1, histogramMax, histogramDigits),
	}
}

// Report is the result of one run, one summary per class.
type Report struct {
	Classes []*Summary
	Elapsed time.Duration
}

// Sender sends one chat to an address; caller.Client.Chat fits.
type Sender func(ctx context.Context, address string, chat caller.Chat) caller.Result

// Run sends the plan's requests to the entries. Requests that are open when the
// context ends count as broken.
func Run(ctx context.Context, plan *Plan, entries []string) *Report {
	senders := make(map[string]Sender)
	for _, c := range plan.Classes {
		client := caller.New(cluster.CallerToken(c.Account))
		client.KeepGaps = true
		senders[c.Account] = client.Chat
	}
	r := &runner{plan: plan, entries: entries, senders: senders}
	for _, c := range plan.Classes {
		r.report.Classes = append(r.report.Classes, newSummary(c.Name, c.Tier))
	}
	started := time.Now()
	r.run(ctx, started)
	r.report.Elapsed = time.Since(started)
	return &r.report
}

type runner struct {
	plan    *Plan
	entries []string
	senders map[string]Sender
	group   sync.WaitGroup
	mu      sync.Mutex
	report  Report
}

func (r *runner) run(ctx context.Context, started time.Time) {
	for _, a := range r.plan.Arrivals() {
		planned := started.Add(a.At)
		timer := time.NewTimer(time.Until(planned))
		select {
		case <-ctx.Done():
			timer.Stop()
		case <-timer.C:
		}
		if ctx.Err() != nil {
			break
		}
		r.group.Go(func() { r.send(ctx, &a, planned) })
	}
	r.group.Wait()
}

func (r *runner) send(ctx context.Context, a *Arrival, planned time.Time) {
	class := &r.plan.Classes[a.Class]
	address := r.entries[r.plan.entryOf(a.Entry, len(r.entries))]
	late := time.Since(planned)
	result := r.senders[class.Account](ctx, address, caller.Chat{Service: r.plan.Service, Prompt: a.Prompt, MaxTokens: a.MaxTokens})
	result.FirstToken += late
	result.Total += late
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Classes[a.Class].add(class, len(a.Prompt)/charactersPerToken, &result)
}

// add counts one result.
func (s *Summary) add(class *Class, promptTokens int, r *caller.Result) {
	s.Sent++
	s.Outcomes[r.Outcome]++
	if r.Outcome != caller.Complete {
		return
	}
	s.Tokens += r.Tokens
	record(s.FirstToken, r.FirstToken)
	record(s.Total, r.Total)
	for _, gap := range r.Gaps {
		record(s.Gaps, gap)
	}
	if len(r.Transits) > 0 {
		record(s.FirstTokenTransit, r.FirstTokenTransit)
	}
	for _, transit := range r.Transits {
		record(s.Transit, transit)
	}
	if r.FirstToken <= class.FirstToken && r.Total <= class.Total {
		s.Good++
		return
	}
	s.LatePrompt += promptTokens
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values beyond the range are recorded as its end.
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

// ByTier adds the summaries of each tier.
func (r *Report) ByTier() map[string]*Summary {
	tiers := make(map[string]*Summary)
	for _, c := range r.Classes {
		t := tiers[c.Tier]
		if t == nil {
			t = newSummary("", c.Tier)
			tiers[c.Tier] = t
		}
		t.merge(c)
	}
	return tiers
}

func (s *Summary) merge(other *Summary) {
	s.Sent += other.Sent
	s.Good += other.Good
	s.Tokens += other.Tokens
	s.LatePrompt += other.LatePrompt
	for outcome, n := range other.Outcomes {
		s.Outcomes[outcome] += n
	}
	s.FirstToken.Merge(other.FirstToken)
	s.Gaps.Merge(other.Gaps)
	s.Total.Merge(other.Total)
	s.FirstTokenTransit.Merge(other.FirstTokenTransit)
	s.Transit.Merge(other.Transit)
}
