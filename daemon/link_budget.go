package daemon

import (
	"time"

	"github.com/marjoramflow/marjoramflow/linkbudget"
)

// linkBytesPerSecond is the rate of the link between regions: 30 Mbit/s in each direction.
const linkBytesPerSecond = 30e6 / 8

// linkBudget bounds the bytes that requests send over the paid link between regions. For
// most requests the answer, which comes back over the link, is far larger than the prompt,
// so both directions are charged before a request leaves the region. It implements
// grants.LinkBudget.
type linkBudget struct {
	budget *linkbudget.Budget
}

func newLinkBudget() linkBudget {
	return linkBudget{budget: linkbudget.New(time.Now(), linkBytesPerSecond, 1)}
}

// TryCharge implements grants.LinkBudget. It charges both directions or none.
func (l linkBudget) TryCharge(tier, promptBytes, answerBytes int) bool {
	now := time.Now()
	if !l.budget.TryCharge(now, linkbudget.Out, tier, int64(promptBytes)) {
		return false
	}
	if l.budget.TryCharge(now, linkbudget.In, tier, int64(answerBytes)) {
		return true
	}
	l.budget.CorrectCharge(now, linkbudget.Out, tier, int64(promptBytes), 0)
	return false
}

// refund returns to the budget what TryCharge charged.
func (l linkBudget) refund(tier, promptBytes, answerBytes int) {
	now := time.Now()
	l.budget.CorrectCharge(now, linkbudget.Out, tier, int64(promptBytes), 0)
	l.budget.CorrectCharge(now, linkbudget.In, tier, int64(answerBytes), 0)
}

// setDaemons divides the link among the live daemons of the region.
func (l linkBudget) setDaemons(count int) {
	l.budget.SetRate(time.Now(), linkBytesPerSecond, max(1, count))
}
