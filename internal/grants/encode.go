package grants

import (
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// encode builds the message for one group. Deadlines travel as time left, since
// the clocks of two VMs are not compared.
func encode(need *entry.Need, pick choice) *peerpb.Reserve {
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
		FinalMs:      uint32(max(0, time.Until(need.Final).Milliseconds())),
		FirstTokenMs: firstTokenLeft(need),
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

// firstTokenLeft returns the time left until the first token is due, at least
// 1 ms, and 0 without a bound.
func firstTokenLeft(need *entry.Need) uint32 {
	if need.FirstTokenBy.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(need.FirstTokenBy).Milliseconds()))
}
