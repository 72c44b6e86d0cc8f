package grants

import (
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// encode builds the message for one group. Deadlines travel as time left, since
// the clocks of two VMs are not compared.
func encode(need *entry.GrantRequest, pick choice) *peerpb.Reserve {
	return &peerpb.Reserve{
		Id:           need.ID,
		Service:      need.Service,
		Group:        uint32(pick.key.Number),
		Version:      need.Version,
		Tier:         uint32(need.Tier),
		Account:      need.Account,
		PromptTokens: uint32(need.PromptTokens),
		OutputTokens: uint32(need.OutputTokens),
		RemainingMs:  uint32(max(0, time.Until(need.Deadline).Milliseconds())),
		FinalMs:      uint32(max(0, time.Until(need.FinalDeadline).Milliseconds())),
		FirstTokenMs: timeLeft(need.FirstTokenBy),
		ObjectiveMs:  timeLeft(need.ObjectiveBy),
		MaxGapMs:     uint32(need.MaxGap.Milliseconds()),
		EventTokens:  uint32(need.EventTokens),
		Immediate:    pick.immediate,
		Late:         need.ObjectiveMissed,
		WaitedMs:     waited(need.WaitingSince),
		Accepted:     need.Accepted,
		Preemptible:  need.Preemptible,
		Fingerprint:  need.Fingerprint,
		Suspect:      need.Suspect,
		Prefix:       need.Prefix,
		Preempt:      pick.preempt,
		Exclude:      need.Exclude,
		Plain:        need.Plain,
	}
}

// waited returns the milliseconds since a time, 0 for the zero time.
func waited(since time.Time) uint32 {
	if since.IsZero() {
		return 0
	}
	return uint32(max(0, time.Since(since).Milliseconds()))
}

// timeLeft returns the time left until a bound, at least 1 ms, and 0 without one.
func timeLeft(by time.Time) uint32 {
	if by.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(by).Milliseconds()))
}
