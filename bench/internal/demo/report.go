package demo

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
)

// ErrViolation is returned when a check found a violation of a promise.
var ErrViolation = errors.New("a promise was violated")

// maxShownViolations is the largest number of violations that are printed per check.
const maxShownViolations = 5

// firstTokenObjective is the time within which the first token has to arrive for a
// stream to count as goodput.
const firstTokenObjective = 1800 * time.Millisecond

// Report prints the findings and the goodput. It returns ErrViolation if a check found
// a violation.
func (e *Evidence) Report(out io.Writer) error {
	var err error
	for _, f := range e.Check() {
		state := "held  "
		if len(f.Violations) > 0 {
			state = "BROKEN"
			err = ErrViolation
		}
		fmt.Fprintf(out, "%-5s %s  %s\n", f.Promise, state, f.Checked)
		for i, v := range f.Violations {
			if i == maxShownViolations {
				fmt.Fprintf(out, "              and %d more\n", len(f.Violations)-maxShownViolations)
				break
			}
			fmt.Fprintf(out, "              %s\n", v)
		}
	}
	e.printGoodput(out)
	return err
}

// printGoodput prints the goodput of each tier outside the burst and in it.
func (e *Evidence) printGoodput(out io.Writer) {
	for rank, name := range tierNames {
		sent, good := e.goodput(rank, false)
		burstSent, burstGood := e.goodput(rank, true)
		fmt.Fprintf(out, "goodput %-6s  %d of %d (%.1f%%) outside the burst, %d of %d (%.1f%%) in the burst\n",
			name, good, sent, percent(good, sent), burstGood, burstSent, percent(burstGood, burstSent))
	}
}

var tierNames = []string{"gold", "silver", "bronze"}

// goodput counts the chats of a tier, in the burst or outside it. Good are those with a
// complete answer whose first token came within firstTokenObjective.
func (e *Evidence) goodput(rank int, burst bool) (sent, good int) {
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind != kindChat || r.Rank != rank || e.Burst.overlaps(r) != burst {
			continue
		}
		sent++
		if r.Result.Outcome == caller.Complete && r.Result.FirstToken <= firstTokenObjective {
			good++
		}
	}
	return sent, good
}

// percent returns part as a percentage of whole, 0 if whole is 0.
func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
