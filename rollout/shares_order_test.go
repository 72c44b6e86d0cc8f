package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// delivery is a message that reaches a daemon: a row, or a cut if row is nil.
type delivery struct {
	sequence uint64
	row      *Row
}

// countViolations delivers every sequence of messages of the given length, including
// repeated messages. It returns the number of sequences and of those in which the new
// version has a share after the attempt was cut or reversed. renumber replaces the
// sequence numbers of the rows by their order of arrival, and forgetCuts discards the
// cut whenever a row arrives; each disables one protection.
func countViolations(t *testing.T, length int, renumber, forgetCuts bool) (sequences, violations int) {
	t.Helper()
	shifting, full, reversed := testRow(Shifting, 5000), testRow(Soaking, FullShare), testRow(Reversed, 0)
	messages := []delivery{{1, &shifting}, {2, &full}, {3, &reversed}, {0, nil}}
	total := 1
	for range length {
		total *= len(messages)
	}
	for n := range total {
		s := NewTrafficSplitWithClock(func() time.Time { return startTime })
		s.SetConfig(testSet())
		ended, violated := false, false
		for i, rest := 0, n; i < length; i, rest = i+1, rest/len(messages) {
			d := messages[rest%len(messages)]
			switch {
			case d.row == nil:
				s.ApplyCut("m", 1, "errors")
				ended = true
			case renumber:
				applyTestRow(t, s, uint64(i+1), *d.row)
			default:
				applyTestRow(t, s, d.sequence, *d.row)
			}
			if forgetCuts && d.row != nil {
				delete(s.cuts, "m")
				s.rebuild()
			}
			ended = ended || (d.row != nil && d.row.Phase == Reversed)
			violated = violated || (ended && s.Pick("s", 0) == "v2")
		}
		if violated {
			violations++
		}
	}
	return total, violations
}

// Guards against any order or repetition of messages that gives a cut or reversed
// attempt a share again. Also shows that this needs both the sequence numbers of rows
// and the stored cuts.
func TestEndedAttemptGetsNoShareInAnyOrderOfMessages(t *testing.T) {
	sequences, violations := countViolations(t, 6, false, false)
	t.Logf("%d sequences of messages", sequences)
	assert.Equal(t, violations, 0)
	_, violations = countViolations(t, 3, true, false)
	assert.Assert(t, violations > 0, "rows out of order were not noticed")
	_, violations = countViolations(t, 3, false, true)
	assert.Assert(t, violations > 0, "a forgotten cut was not noticed")
}
