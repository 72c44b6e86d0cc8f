package blocklistsync

import (
	"fmt"
	"time"

	"github.com/marjoramflow/marjoramflow/blocklist"
	"github.com/marjoramflow/marjoramflow/peer/peerpb"
)

func encodeLoss(loss blocklist.Loss) *peerpb.Envelope {
	m := &peerpb.PartLoss{Target: loss.Target}
	for _, a := range loss.Attempts {
		m.Attempts = append(m.Attempts, &peerpb.LostAttempt{Fingerprint: a.Fingerprint, Parts: a.Parts, Begun: a.Begun})
	}
	return &peerpb.Envelope{Body: &peerpb.Envelope_PartLoss{PartLoss: m}}
}

func decodeLoss(m *peerpb.PartLoss) blocklist.Loss {
	loss := blocklist.Loss{Target: m.Target}
	for _, a := range m.Attempts {
		loss.Attempts = append(loss.Attempts, blocklist.Attempt{Fingerprint: a.Fingerprint, Parts: a.Parts, Begun: a.Begun})
	}
	return loss
}

var wireStates = map[blocklist.State]peerpb.PartBlockState{
	blocklist.Accused: peerpb.PartBlockState_PART_BLOCK_ACCUSED,
	blocklist.Blocked: peerpb.PartBlockState_PART_BLOCK_BLOCKED,
}

func encodeBlock(now time.Time, b blocklist.Block) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_PartBlock{PartBlock: &peerpb.PartBlock{
		State:          wireStates[b.State],
		Parts:          b.Parts,
		FirstLossAgoMs: millisecondsAgo(now, b.FirstLoss),
		LastLossAgoMs:  millisecondsAgo(now, b.LastLoss),
		Recurring:      b.Recurring,
		FailedTrials:   uint32(b.FailedTrials),
		Targets:        b.Targets,
		Begun:          b.Begun,
	}}}
}

func decodeBlock(now time.Time, m *peerpb.PartBlock) blocklist.Block {
	b := blocklist.Block{
		Parts:        m.Parts,
		FirstLoss:    timeAgo(now, m.FirstLossAgoMs),
		LastLoss:     timeAgo(now, m.LastLossAgoMs),
		Recurring:    m.Recurring,
		FailedTrials: int(m.FailedTrials),
		Targets:      m.Targets,
		Begun:        m.Begun,
	}
	for state, wire := range wireStates {
		if wire == m.State {
			b.State = state
		}
	}
	return b
}

func encodeAnswered(now time.Time, b blocklist.Answer) *peerpb.Envelope {
	return &peerpb.Envelope{Body: &peerpb.Envelope_PartAnswered{PartAnswered: &peerpb.PartAnswered{
		Parts: b.Parts,
		AgoMs: millisecondsAgo(now, b.At),
		Whole: b.Whole,
	}}}
}

func decodeAnswered(now time.Time, m *peerpb.PartAnswered) blocklist.Answer {
	return blocklist.Answer{Parts: m.Parts, At: timeAgo(now, m.AgoMs), Whole: m.Whole}
}

func millisecondsAgo(now, at time.Time) uint32 {
	return uint32(max(0, now.Sub(at).Milliseconds()))
}

func timeAgo(now time.Time, ms uint32) time.Time {
	return now.Add(-time.Duration(ms) * time.Millisecond)
}

// formatParts formats the ids of parts for the log.
func formatParts(parts []uint64) []string {
	out := make([]string, len(parts))
	for i, part := range parts {
		out[i] = fmt.Sprintf("%016x", part)
	}
	return out
}
