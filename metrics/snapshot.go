package metrics

import (
	"cmp"
	"encoding/json"
	"expvar"
	"slices"
)

// Snapshot is the content of a registry at one moment. Counts and histograms
// are read one after the other, so they may differ by requests in flight.
type Snapshot struct {
	Requests   []RequestCount             `json:"requests"`
	FirstToken Distributions              `json:"firstToken"`
	TokenGap   Distributions              `json:"tokenGap"`
	Total      Distributions              `json:"total"`
	QueueWait  Distributions              `json:"queueWait"`
	Variables  map[string]json.RawMessage `json:"variables,omitempty"`
}

// Distributions holds the summaries of one kind of duration by label value.
type Distributions struct {
	Tier    map[string]Summary `json:"tier"`
	Account map[string]Summary `json:"account"`
	Service map[string]Summary `json:"service"`
}

// Snapshot returns the content of the registry. Distributions without a value
// and variables that are not valid JSON are left out.
func (r *Registry) Snapshot() Snapshot {
	s := Snapshot{
		Requests:   r.requestCounts(),
		FirstToken: newDistributions(),
		TokenGap:   newDistributions(),
		Total:      newDistributions(),
		QueueWait:  newDistributions(),
		Variables:  map[string]json.RawMessage{},
	}
	r.visitHistograms(func(name label, value string, histograms *durationHistograms) {
		s.FirstToken.add(name, value, histograms.firstToken)
		s.TokenGap.add(name, value, histograms.tokenGap)
		s.Total.add(name, value, histograms.total)
		s.QueueWait.add(name, value, histograms.queueWait)
	})
	r.variables.Do(func(kv expvar.KeyValue) {
		if text := []byte(kv.Value.String()); json.Valid(text) {
			s.Variables[kv.Key] = text
		}
	})
	return s
}

func newDistributions() Distributions {
	return Distributions{Tier: map[string]Summary{}, Account: map[string]Summary{}, Service: map[string]Summary{}}
}

func (d Distributions) add(name label, value string, h *Histogram) {
	summary := h.Summary()
	if summary.Count == 0 {
		return
	}
	switch name {
	case tierLabel:
		d.Tier[value] = summary
	case accountLabel:
		d.Account[value] = summary
	case serviceLabel:
		d.Service[value] = summary
	}
}

func (r *Registry) requestCounts() []RequestCount {
	r.mu.Lock()
	defer r.mu.Unlock()
	counts := make([]RequestCount, 0, len(r.counters))
	for key, c := range r.counters {
		counts = append(counts, RequestCount{
			Tier:    key.labels.Tier,
			Account: key.labels.Account,
			Service: key.labels.Service,
			Outcome: key.outcome,
			Count:   c.Load(),
		})
	}
	slices.SortFunc(counts, func(a, b RequestCount) int {
		return cmp.Or(
			cmp.Compare(a.Tier, b.Tier),
			cmp.Compare(a.Account, b.Account),
			cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Outcome, b.Outcome),
		)
	})
	return counts
}
