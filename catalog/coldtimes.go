package catalog

import (
	"sync"
	"time"

	"github.com/marjoramflow/marjoramflow/coldstart"
)

// ColdTimes holds what the registered targets last reported about their cold time. It is kept
// apart from the object set, since every target reports about once a second. It is safe for
// concurrent use and does not wait for an installation.
type ColdTimes struct {
	mu      sync.Mutex
	reports map[string]coldReport
}

// coldReport is the report of a target and the revision of the row that was read last.
type coldReport struct {
	coldstart.Report
	revision uint64
}

func newColdTimes() *ColdTimes {
	return &ColdTimes{reports: make(map[string]coldReport)}
}

// Report returns what a target last reported, or the zero value.
func (c *ColdTimes) Report(target string) coldstart.Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reports[target].Report
}

// Answered records that a target said in an answer to a call, which began at asked, that it
// stays cold for a time. A target that is not registered and stated no cold time in its entry
// is not recorded.
func (c *ColdTimes) Answered(now time.Time, target string, remaining time.Duration, asked time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if old, known := c.reports[target]; known {
		old.Report = old.Merge(coldstart.NewReport(now, now.Add(remaining), asked))
		c.reports[target] = old
	}
}

// record records the cold time of an entry that states one. An entry that has not changed is
// ignored, so that a cold time is not extended by reading the entry again. recent is set if
// the entry was written at most coldstart.ReportDelay ago.
func (c *ColdTimes) record(now time.Time, r *Record, recent bool) {
	if r.Instance.ColdUntil.IsZero() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	old, known := c.reports[r.Key]
	if known && old.revision == r.Revision {
		return
	}
	saidAfter := time.Time{}
	if recent {
		saidAfter = now.Add(-coldstart.ReportDelay)
	}
	c.reports[r.Key] = coldReport{Report: old.Merge(coldstart.NewReport(now, r.Instance.ColdUntil, saidAfter)), revision: r.Revision}
}

// forget removes the report of a target that has left the registry.
func (c *ColdTimes) forget(target string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reports, target)
}
