package load

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
	"github.com/marjoramflow/marjoramflow/bench/internal/cluster"
)

// Range and precision of the histograms: microseconds up to ten minutes, with three
// significant digits.
const (
	histogramMax    = int64(10 * time.Minute / time.Microsecond)
	histogramDigits = 3
)

// Summary holds the results of the requests of one class.
type Summary struct {
	Class    string
	Tier     string
	Sent     int
	Outcomes map[string]int
	// Good is the number of complete answers within the class's limits.
	Good   int
	Tokens int
	// LatePromptTokens counts the prompt tokens of complete answers that exceeded a
	// limit of the class.
	LatePromptTokens int
	// FirstToken, Gaps and Total are in microseconds.
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

// Sender sends one chat to an address, as caller.Client.Chat does.
type Sender func(ctx context.Context, address string, chat caller.Chat) caller.Result

// Run sends the plan's requests to the entries, the addresses of the schedulers, and
// returns when all have ended. When the context ends, it sends no more requests, and
// those still open count as caller.Broken.
func Run(ctx context.Context, plan *Plan, entries []string) *Report {
	senders := make(map[string]Sender)
	for _, c := range plan.Classes {
		client := caller.New(cluster.CallerToken(c.Account))
		client.RecordGaps = true
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
	plan     *Plan
	entries  []string
	senders  map[string]Sender
	requests sync.WaitGroup
	mu       sync.Mutex
	report   Report
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
		r.requests.Go(func() { r.send(ctx, &a, planned) })
	}
	r.requests.Wait()
}

func (r *runner) send(ctx context.Context, a *Arrival, planned time.Time) {
	class := &r.plan.Classes[a.Class]
	address := r.entries[r.plan.chooseEntry(a.EntryDraw, len(r.entries))]
	sendDelay := time.Since(planned)
	result := r.senders[class.Account](ctx, address, caller.Chat{Service: r.plan.Service, Prompt: a.Prompt, MaxTokens: a.MaxTokens})
	result.FirstToken += sendDelay
	result.Total += sendDelay
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Classes[a.Class].addResult(class, len(a.Prompt)/charactersPerToken, &result)
}

// addResult adds one result of a request of the class.
func (s *Summary) addResult(class *Class, promptTokens int, r *caller.Result) {
	s.Sent++
	s.Outcomes[r.Outcome]++
	if r.Outcome != caller.Complete {
		return
	}
	s.Tokens += r.Tokens
	recordDuration(s.FirstToken, r.FirstToken)
	recordDuration(s.Total, r.Total)
	for _, gap := range r.Gaps {
		recordDuration(s.Gaps, gap)
	}
	if len(r.Transits) > 0 {
		recordDuration(s.FirstTokenTransit, r.FirstTokenTransit)
	}
	for _, transit := range r.Transits {
		recordDuration(s.Transit, transit)
	}
	if r.FirstToken <= class.FirstTokenLimit && r.Total <= class.TotalLimit {
		s.Good++
		return
	}
	s.LatePromptTokens += promptTokens
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range are recorded as its nearest end.
	_ = h.RecordValue(min(max(1, d.Microseconds()), histogramMax))
}

// ByTier returns, by the name of the tier, the merged summaries of its classes.
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
	s.LatePromptTokens += other.LatePromptTokens
	for outcome, n := range other.Outcomes {
		s.Outcomes[outcome] += n
	}
	s.FirstToken.Merge(other.FirstToken)
	s.Gaps.Merge(other.Gaps)
	s.Total.Merge(other.Total)
	s.FirstTokenTransit.Merge(other.FirstTokenTransit)
	s.Transit.Merge(other.Transit)
}
