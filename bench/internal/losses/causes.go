package losses

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Cause is why a request was lost or late.
type Cause string

// The causes, in the order in which they are looked for.
const (
	CauseStart  Cause = "process start"
	CauseTarget Cause = "target lost"
	CauseRetry  Cause = "caller came back"
	CauseOwner  Cause = "silent owner"
	CauseFree   Cause = "queue, others free"
	CauseQueue  Cause = "queue"
	CauseEngine Cause = "engine"
	CauseOther  Cause = "other"
)

var causes = []Cause{CauseStart, CauseTarget, CauseRetry, CauseOwner, CauseFree, CauseQueue, CauseEngine, CauseOther}

const (
	// startTime is the time after the start of a process in which what goes wrong is put
	// down to the start.
	startTime = 600 * time.Millisecond
	// silentTime is how long before it is found silent an owner may have been silent.
	silentTime = 3500 * time.Millisecond
	// queueShare is the share of the objective from which a wait counts as the cause.
	queueShare = 0.5
	// freeShare is the share of the slots of a service that is free when others are said
	// to be free.
	freeShare = 0.15
)

// Row counts the requests of one class that arrived in one window.
type Row struct {
	From          time.Duration
	Service, Tier string
	Requests      int
	InTime        int
	Lost          map[Cause]int
}

// Analysis assigns causes to the requests of a log.
type Analysis struct {
	log   *Log
	usage *Usage
}

// Analyze prepares the analysis of a log.
func Analyze(log *Log) *Analysis {
	return &Analysis{log: log, usage: NewUsage(log)}
}

// Rows counts requests and causes by window and class.
func (a *Analysis) Rows(window time.Duration) []Row {
	type key struct {
		from          time.Duration
		service, tier string
	}
	rows := make(map[key]*Row)
	for i := range a.log.Requests {
		r := &a.log.Requests[i]
		k := key{r.Arrived.Truncate(window), r.Service, r.Tier}
		row := rows[k]
		if row == nil {
			row = &Row{From: k.from, Service: k.service, Tier: k.tier, Lost: make(map[Cause]int)}
			rows[k] = row
		}
		row.Requests++
		if r.inTime() && !r.CallerRetry {
			row.InTime++
		} else {
			row.Lost[a.causeOf(r)]++
		}
	}
	var sorted []Row
	for _, row := range rows {
		sorted = append(sorted, *row)
	}
	slices.SortFunc(sorted, func(x, y Row) int {
		return cmp.Or(cmp.Compare(x.From, y.From), cmp.Compare(x.Service, y.Service), cmp.Compare(x.Tier, y.Tier))
	})
	return sorted
}

// causeOf returns the cause of a request that was lost or late.
func (a *Analysis) causeOf(r *Request) Cause {
	wait := r.Ended - r.Arrived
	if r.Target != "" {
		wait = r.Granted - r.Arrived
	}
	waited := r.Objective > 0 && float64(wait) >= queueShare*float64(r.Objective)
	switch {
	case a.startedBefore(r):
		return CauseStart
	case r.Failures > 0:
		return CauseTarget
	case r.CallerRetry:
		return CauseRetry
	case (waited || r.Target == "") && a.silentNear(r):
		return CauseOwner
	case (waited || r.Target == "") && a.usage.FreeShare(r.Service, r.Arrived+wait/2) > freeShare:
		return CauseFree
	case waited || r.Target == "":
		return CauseQueue
	case r.First-r.Granted > r.Objective/2:
		return CauseEngine
	}
	return CauseOther
}

func (a *Analysis) startedBefore(r *Request) bool {
	return slices.ContainsFunc(a.log.Started[r.Daemon], func(at time.Duration) bool {
		return r.Arrived >= at && r.Arrived < at+startTime
	})
}

func (a *Analysis) silentNear(r *Request) bool {
	return slices.ContainsFunc(a.log.Silent, func(at time.Duration) bool {
		return r.Ended > at-silentTime && r.Arrived < at
	})
}

// Print writes the rows as a table, those with most losses first if worst is positive, and
// then only that many.
func Print(out io.Writer, rows []Row, worst int) error {
	if worst > 0 {
		rows = slices.Clone(rows)
		slices.SortStableFunc(rows, func(x, y Row) int { return (y.Requests - y.InTime) - (x.Requests - x.InTime) })
		rows = rows[:min(worst, len(rows))]
	}
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(table, "from\tservice\ttier\trequests\tin time\t")
	for _, c := range causes {
		fmt.Fprintf(table, "%s\t", c)
	}
	fmt.Fprintln(table)
	for _, row := range rows {
		fmt.Fprintf(table, "%.0f s\t%s\t%s\t%d\t%d\t", row.From.Seconds(), row.Service, row.Tier, row.Requests, row.InTime)
		for _, c := range causes {
			fmt.Fprintf(table, "%d\t", row.Lost[c])
		}
		fmt.Fprintln(table)
	}
	return table.Flush()
}
