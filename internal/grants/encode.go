package grants

import (
	"time"

	"github.com/marjoramflow/marjoramflow/entry"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

// encodeReserve builds the message to the owner of one group. Deadlines are sent as the
// time left, since the clocks of two VMs may differ.
func encodeReserve(request *entry.GrantRequest, pick groupChoice) *peerpb.Reserve {
	return &peerpb.Reserve{
		Id:           request.ID,
		Service:      request.Service,
		Group:        uint32(pick.key.Number),
		Version:      request.Version,
		Tier:         uint32(request.Tier),
		Account:      request.Account,
		PromptTokens: uint32(request.PromptTokens),
		OutputTokens: uint32(request.OutputTokens),
		RemainingMs:  uint32(max(0, time.Until(request.Deadline).Milliseconds())),
		FinalMs:      uint32(max(0, time.Until(request.FinalDeadline).Milliseconds())),
		FirstTokenMs: millisecondsUntil(request.FirstTokenBy),
		ObjectiveMs:  millisecondsUntil(request.ObjectiveBy),
		MaxGapMs:     uint32(request.MaxGap.Milliseconds()),
		EventTokens:  uint32(request.EventTokens),
		Immediate:    pick.immediate,
		Remote:       pick.remote,
		WaitedMs:     millisecondsSince(request.WaitingSince),
		Accepted:     request.Accepted,
		Preemptible:  request.Preemptible,
		Fingerprint:  request.Fingerprint,
		Suspect:      request.Suspect,
		Prefix:       request.Prefix,
		Preempt:      pick.preempt,
		Exclude:      request.Exclude,
		Plain:        request.Plain,

		AllowedRegions: request.Regions.Names(),
	}
}

// millisecondsSince returns the milliseconds since a time, 0 for the zero time.
func millisecondsSince(since time.Time) uint32 {
	if since.IsZero() {
		return 0
	}
	return uint32(max(0, time.Since(since).Milliseconds()))
}

// millisecondsUntil returns the milliseconds left until a time, at least 1, and 0 for
// the zero time, which means no bound.
func millisecondsUntil(by time.Time) uint32 {
	if by.IsZero() {
		return 0
	}
	return uint32(max(1, time.Until(by).Milliseconds()))
}
