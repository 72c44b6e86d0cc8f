package daemon

import (
	"time"

	"github.com/marjoramflow/marjoramflow/linkbudget"
)

// linkBytesPerSecond is the rate of the link between regions, 30 Mbit/s each way.
const linkBytesPerSecond = 30e6 / 8

// link bounds what requests move over the paid link. The answer, which comes
// back over the link, is by far the larger part of most requests; both
// directions are taken before a request leaves the region. It implements
// grants.Link.
type link struct {
	budget *linkbudget.Budget
}

func newLink() link {
	return link{budget: linkbudget.New(time.Now(), linkBytesPerSecond, 1)}
}

// Take implements grants.Link.
func (l link) Take(tier, promptBytes, answerBytes int) bool {
	now := time.Now()
	if !l.budget.Take(now, linkbudget.Out, tier, int64(promptBytes)) {
		return false
	}
	if l.budget.Take(now, linkbudget.In, tier, int64(answerBytes)) {
		return true
	}
	l.budget.Settle(now, linkbudget.Out, tier, int64(promptBytes), 0)
	return false
}

// setDaemons divides the link over the live daemons of the region.
func (l link) setDaemons(count int) {
	l.budget.SetRate(time.Now(), linkBytesPerSecond, max(1, count))
}
