package rollout

import (
	"cmp"

	"github.com/marjoramflow/marjoramflow/provider"
)

// phaseOrder holds the order of the phases of an attempt. Both final phases are last.
var phaseOrder = map[Phase]int{Pending: 0, Loading: 1, Shifting: 2, Soaking: 3, Done: 4, Reversed: 4}

// follows reports whether the row is a later state of the move than another row. It is used for
// rows of different eras, whose sequences do not tell. A restored table has an earlier state, and
// a holder that does not know the later one may continue from there.
//
// The fencing numbers do not tell, since a holder that has just started may not know the highest one.
// The row is that of the earlier era. If both have ended, its outcome is the one that the operator
// was told, and only a cut that was recorded after done replaces it.
func (r *Row) follows(other *Row) bool {
	switch {
	case r.Attempt != other.Attempt:
		return r.Attempt > other.Attempt
	case r.Phase.Final() && other.Phase.Final():
		return r.Phase != other.Phase || r.Cut && !other.Cut
	}
	return cmp.Or(
		cmp.Compare(phaseOrder[r.Phase], phaseOrder[other.Phase]),
		cmp.Compare(r.Step, other.Step),
		cmp.Compare(r.Share, other.Share),
	) > 0
}

// replaces reports whether a row takes the place of the known one.
func (n newestRow) replaces(known newestRow) bool {
	switch era, knownEra := provider.Era(n.sequence), provider.Era(known.sequence); {
	case era > knownEra:
		return !known.row.follows(&n.row)
	case era < knownEra:
		return n.row.follows(&known.row)
	}
	return n.sequence > known.sequence
}
