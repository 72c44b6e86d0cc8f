package rollout

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// delivery is a row or a cut that reaches a daemon; cuts have no row.
type delivery struct {
	sequence uint64
	row      *Row
}

// revived delivers all sequences of the given length, repeats included, and counts
// those after which the new version has a share although the attempt was cut or
// reversed. renumber replaces the row's sequence by the order of arrival.
func revived(t *testing.T, length int, renumber, forgetCuts bool) (sequences, broken int) {
	t.Helper()
	shifting, full, reversed := testRow(Shifting, 5000), testRow(Soaking, FullShare), testRow(Reversed, 0)
	messages := []delivery{{1, &shifting}, {2, &full}, {3, &reversed}, {0, nil}}
	total := 1
	for range length {
		total *= len(messages)
	}
	for n := range total {
		s := NewSharesAt(func() time.Time { return start })
		s.SetConfig(testSet())
		ended, bad := false, false
		for i, rest := 0, n; i < length; i, rest = i+1, rest/len(messages) {
			d := messages[rest%len(messages)]
			switch {
			case d.row == nil:
				s.ApplyCut("m", 1, "errors")
				ended = true
			case renumber:
				apply(t, s, uint64(i+1), *d.row)
			default:
				apply(t, s, d.sequence, *d.row)
			}
			if forgetCuts && d.row != nil {
				delete(s.cuts, "m")
				s.rebuild()
			}
			ended = ended || (d.row != nil && d.row.Phase == Reversed)
			bad = bad || (ended && s.Pick("s", 0) == "v2")
		}
		if bad {
			broken++
		}
	}
	return total, broken
}

// Guards against every order and repetition of messages that gives a cut or
// reversed attempt a share again, and shows that both guards are needed.
func TestNoOrderOfMessagesRevivesAnAttempt(t *testing.T) {
	sequences, broken := revived(t, 6, false, false)
	t.Logf("%d sequences of messages", sequences)
	assert.Equal(t, broken, 0)
	_, broken = revived(t, 3, true, false)
	assert.Assert(t, broken > 0, "rows out of order were not noticed")
	_, broken = revived(t, 3, false, true)
	assert.Assert(t, broken > 0, "a forgotten cut was not noticed")
}
