package demo

import (
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/marjoramflow/marjoramflow/bench/internal/caller"
)

// ErrPromiseBroken is returned when a promise broke.
var ErrPromiseBroken = errors.New("a promise broke")

// maxShown bounds the violations that are printed per check.
const maxShown = 5

// goodFirstToken is the time to the first token within which a stream is good.
const goodFirstToken = 1800 * time.Millisecond

// Report prints the findings and the goodput. It returns ErrPromiseBroken when a
// promise broke.
func (e *Evidence) Report(out io.Writer) error {
	var err error
	for _, f := range e.Check() {
		state := "held  "
		if len(f.Violations) > 0 {
			state = "BROKEN"
			err = ErrPromiseBroken
		}
		fmt.Fprintf(out, "%-5s %s  %s\n", f.Promise, state, f.Checked)
		for i, v := range f.Violations {
			if i == maxShown {
				fmt.Fprintf(out, "              and %d more\n", len(f.Violations)-maxShown)
				break
			}
			fmt.Fprintf(out, "              %s\n", v)
		}
	}
	e.printGoodput(out)
	return err
}

func (e *Evidence) printGoodput(out io.Writer) {
	for rank, name := range tierNames {
		sent, good := e.goodput(rank, false)
		burstSent, burstGood := e.goodput(rank, true)
		fmt.Fprintf(out, "goodput %-6s  %d of %d (%.1f%%) outside the burst, %d of %d (%.1f%%) in the burst\n",
			name, good, sent, percent(good, sent), burstGood, burstSent, percent(burstGood, burstSent))
	}
}

var tierNames = []string{"gold", "silver", "bronze"}

// goodput counts the chats of a tier and those that were whole and in time.
func (e *Evidence) goodput(rank int, burst bool) (sent, good int) {
	for i := range e.Records {
		r := &e.Records[i]
		if r.Kind != kindChat || r.Rank != rank || e.Burst.contains(r) != burst {
			continue
		}
		sent++
		if r.Result.Outcome == caller.Complete && r.Result.FirstToken <= goodFirstToken {
			good++
		}
	}
	return sent, good
}

func percent(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return 100 * float64(part) / float64(whole)
}
