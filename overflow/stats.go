package overflow

import (
	"maps"
	"slices"
	"time"
)

// Leaving counts requests that left for one data centre, and the expected bytes of their
// prompts and answers.
type Leaving struct {
	Requests, Bytes int64
}

// Stats are the figures for the metrics. All count since the start of the process.
type Stats struct {
	// Left counts what left, by data centre and reason.
	Left map[string]map[string]Leaving
	// QueriesAvoided counts the times that a data centre was not asked because nothing
	// promised a grant there, NotWorthIt those in which a grant would have cost more time
	// than it saved.
	QueriesAvoided, NotWorthIt int64
	// RefusedByBudget, RefusedByHysteresis and RefusedByRate count the times that leaving
	// was refused by the byte budget of the link, by the hysteresis between queues, and by
	// the rate toward a data centre.
	RefusedByBudget, RefusedByHysteresis, RefusedByRate int64
	// LeftOut are the data centres that are not asked now because they did not answer.
	LeftOut []string
}

func (s *Stats) addLeft(choice Choice, bytes int) {
	byReason := s.Left[choice.Key.DataCentre]
	if byReason == nil {
		byReason = make(map[string]Leaving)
		s.Left[choice.Key.DataCentre] = byReason
	}
	l := byReason[string(choice.Reason)]
	l.Requests++
	l.Bytes += int64(bytes)
	byReason[string(choice.Reason)] = l
}

// BudgetRefused counts a request that did not leave because of the byte budget.
func (p *Planner) BudgetRefused() {
	p.stats.RefusedByBudget++
}

// Stats returns a copy of the figures.
func (p *Planner) Stats(now time.Time) Stats {
	s := p.stats
	s.Left = make(map[string]map[string]Leaving, len(p.stats.Left))
	for dataCentre, byReason := range p.stats.Left {
		s.Left[dataCentre] = maps.Clone(byReason)
	}
	for dataCentre := range p.links {
		if p.paused(now, dataCentre) {
			s.LeftOut = append(s.LeftOut, dataCentre)
		}
	}
	slices.Sort(s.LeftOut)
	return s
}
